/// The entries of the router's replica index.
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

/// What the newest report said about the load that is not this daemon's own.
struct external_load {
    std::uint64_t sequence_ = 0;
    int requests_ = 0;
    time_point received_;
};

/// A runner and this daemon's own counts on it.
struct runner_entry {
    runner_info info_;
    bool leaving_ = false;
    int in_flight_ = 0;
    int limit_ = std::numeric_limits<int>::max();
    std::optional<external_load> external_load_;
    std::uint64_t cache_sequence_ = 0;
    int failures_ = 0;
    time_point ejected_until_{};
    duration next_ejection_{};

    /// Returns the estimated number of requests on the runner: own attempts,
    /// and those of others as far as the report is still of use.
    [[nodiscard]] auto load(time_point now, duration report_lifetime) const
        -> double;
};

/// Prefixes that a replica holds, as its cache events say. Bounded: the oldest
/// is forgotten first.
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
    std::deque<std::uint64_t> order_;
};

/// A model on a runner.
struct replica {
    runner_entry* runner_ = nullptr;
    resident_model resident_;
    prefix_set prefixes_;

    /// Returns whether the adapter is in place; the empty one always is.
    [[nodiscard]] auto has_adapter(std::string_view adapter) const -> bool;
};

/// A replica that may be chosen, while a decision is made. Tiers are compared
/// as numbers, the lowest wins; each bit is one soft criterion.
struct candidate {
    const replica* replica_ = nullptr;
    double load_ = 0;
    unsigned tier_ = 0;
};

/// The soft criteria, the strongest first.
enum tier_bit : unsigned {
    saturated = 1U << 4U,
    adapter_missing = 1U << 3U,
    over_load_bound = 1U << 2U,
    prefix_not_cached = 1U << 1U,
    other_zone = 1U << 0U,
};

} // namespace basilstream::coordination::internal
