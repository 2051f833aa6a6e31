/// Defines the entries of the router's replica index.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "basilstream/coordination/routing/routing.hpp"

namespace basilstream::coordination::internal {

/// The load on a runner that other daemons cause, from its latest load report.
struct external_load {
    std::uint64_t sequence_ = 0;
    /// Running and waiting requests, less this daemon's attempts in flight.
    int requests_ = 0;
    time_point received_;
};

/// A runner with this daemon's counts and its ejection state.
struct runner_entry {
    runner_info info_;
    bool leaving_ = false;
    /// Attempts of this daemon.
    int in_flight_ = 0;
    /// The largest allowed in_flight_; unlimited until it is set.
    int limit_ = std::numeric_limits<int>::max();
    /// In the past if the runner is not at its rate limit.
    time_point rate_limited_until_{};
    /// In the past if the runner has not asked for a pause.
    time_point paused_until_{};
    /// Empty until a load report of the current process has arrived.
    std::optional<external_load> external_load_;
    /// Sequence number of the latest cache event; 0 if there was none.
    std::uint64_t cache_sequence_ = 0;
    /// Consecutive failures.
    int failures_ = 0;
    /// In the past if the runner is not ejected.
    time_point ejected_until_{};
    /// Length of the next ejection; doubles with each one.
    duration next_ejection_{};
    /// By its speed; the default unless speeds differ.
    server_weight weight_;

    /// Returns how many requests the runner takes.
    [[nodiscard]] auto room() const -> server_room {
        return {weight_.slot_share_ * info_.slots_, weight_.base_};
    }
    /// Returns the number of requests on the runner as last known.
    [[nodiscard]] auto last_known_load() const -> int {
        return in_flight_ + (external_load_ ? external_load_->requests_ : 0);
    }

    /// Returns the estimated number of requests on the runner: this daemon's
    /// attempts plus the external load, which decays linearly to zero as its
    /// report reaches the age `report_lifetime`.
    [[nodiscard]] auto load(time_point now, duration report_lifetime) const
        -> double;
};

/// Holds the hashes of the prefixes in a replica's cache, as known from its
/// cache events. Evicts the oldest insertion when the capacity is exceeded.
class prefix_set {
public:
    auto insert(std::uint64_t hash, std::size_t capacity) -> void;
    auto erase(std::uint64_t hash) -> void { hashes_.erase(hash); }
    auto clear() -> void;
    [[nodiscard]] auto contains(std::uint64_t hash) const -> bool {
        return hashes_.contains(hash);
    }

private:
    std::unordered_set<std::uint64_t> hashes_;
    /// In order of insertion; may contain hashes that were erased.
    std::deque<std::uint64_t> order_;
};

/// A model loaded on a runner.
struct replica {
    runner_entry* runner_ = nullptr;
    resident_model resident_;
    prefix_set prefixes_;
    /// Share of the model's requests that the replica should get; 0 for all
    /// replicas if the loads of the models are unknown.
    double share_ = 0;

    /// Returns whether the adapter is loaded. An empty name stands for the base
    /// model and always returns true.
    [[nodiscard]] auto has_adapter(std::string_view adapter) const -> bool;
};

/// A replica that met all hard criteria of the current decision. Each bit of
/// the tier is a soft criterion that it fails; the numerically lowest tier
/// wins.
struct candidate {
    const replica* replica_ = nullptr;
    double load_ = 0;
    unsigned tier_ = 0;
};

/// The soft criteria, in descending order of precedence.
enum tier_bit : unsigned {
    saturated = 1U << 5U,
    avoided = 1U << 4U,
    adapter_missing = 1U << 3U,
    over_load_bound = 1U << 2U,
    prefix_not_cached = 1U << 1U,
    other_zone = 1U << 0U,
};

} // namespace basilstream::coordination::internal
