/// Decides which daemon gives orders to runners: the one whose claim is the
/// latest in a log, while it renews it in time (Gray and Cheriton, "Leases",
/// SOSP 1989). The claim's offset is the fencing number.
///
///     auto lease = placement_lease{settings, "entry-1", random};
///     lease.on_entry(offset, entry, now);           // entries read from it
///     if (const auto due = lease.poll(now)) { /* append if it ends there */ }
///     lease.on_appended(offset, sent_at);           // the store has it
///     if (const auto fence = lease.held(now)) { /* may order */ }
///
/// Load pattern: the owner is paused, cut off from the store or killed while
/// it gives orders. Its lease ends by its own clock before anybody else may
/// claim it, and a pause between two owners keeps their orders apart.
///
/// `now` must count time during which the machine is suspended. Sans-I/O; not
/// safe for concurrent use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {

enum class lease_entry_kind : std::uint8_t { claim, renewal, release };

inline constexpr auto lease_entry_kind_names =
    name_table<lease_entry_kind, 3>{{{{lease_entry_kind::claim, "claim"},
                                      {lease_entry_kind::renewal, "renewal"},
                                      {lease_entry_kind::release, "release"}}}};

/// An entry of the log.
struct lease_entry {
    lease_entry_kind kind_ = lease_entry_kind::claim;
    /// The VM that wrote it.
    std::string holder_;
    /// Offset of the claim that is renewed or released; 0 in a claim.
    std::uint64_t epoch_ = 0;
};

/// An append that is due: only valid if the log ends at `at_`.
struct lease_append {
    std::uint64_t offset_ = 0;
    lease_entry entry_;
};

/// Settings of a lease.
struct placement_lease_settings {
    /// How long an entry gives the right to order, counted from its sending.
    duration term_ = milliseconds{2500};
    duration renew_every_ = milliseconds{800};
    /// Least time between the last order of one owner and the first of the
    /// next.
    duration pause_between_owners_ = milliseconds{3000};
    /// Added for clocks that run at different rates.
    duration clock_margin_ = milliseconds{200};
    /// Claims are spread over this time, so that one daemon comes first.
    duration claim_jitter_ = milliseconds{300};
    /// Pause after an append that failed.
    duration retry_delay_ = milliseconds{250};
};

class placement_lease {
public:
    placement_lease(placement_lease_settings settings, std::string holder,
                    random_source& random);

    /// An entry was read from the log, in log order.
    auto on_entry(std::uint64_t offset, const lease_entry& entry,
                  time_point now) -> void;
    /// The log was read up to `end`.
    auto on_read(std::uint64_t end, time_point now) -> void;
    /// A daemon said that it holds the lease with this epoch, which runs out
    /// after `left` unless it is renewed, and that its last entry stands
    /// before `end`.
    auto on_owner_heartbeat(std::uint64_t epoch, duration remaining,
                            std::uint64_t end, time_point now) -> void;

    /// The owner of this epoch said that it has stopped to order, and that its
    /// last renewal stands before `end`.
    auto on_owner_released(std::uint64_t epoch, std::uint64_t end,
                           time_point now) -> void;

    /// Returns the append that is due, if any; one at a time.
    [[nodiscard]] auto poll(time_point now) -> std::optional<lease_append>;
    /// The append that poll() gave at `sent_at` has this offset.
    auto on_appended(std::uint64_t offset, time_point sent_at) -> void;
    /// It was refused since the log ends elsewhere, or its outcome is not
    /// known: the log has to be read.
    auto on_append_failed(time_point now) -> void;

    /// Returns the epoch if this daemon may order at `now`.
    [[nodiscard]] auto valid_epoch(time_point now) const
        -> std::optional<std::uint64_t>;
    /// How long this daemon may order from `now` on without a renewal.
    [[nodiscard]] auto remaining(time_point now) const -> duration;
    /// The log's end after the last entry that is known.
    [[nodiscard]] auto log_end() const -> std::uint64_t {
        return log_end_.value_or(0);
    }
    /// Until when the owner before this one may have ordered; nothing if there
    /// was none. Of use while held() has a value.
    [[nodiscard]] auto previous_owner_valid_until() const
        -> std::optional<time_point> {
        return previous_owner_valid_until_;
    }
    /// The VM that owns the lease as far as is known; empty if there is none.
    [[nodiscard]] auto owner() const -> std::string {
        return owner_.value_or("");
    }
    /// Whether any daemon is known to hold the lease at `now`.
    [[nodiscard]] auto has_owner(time_point now) const -> bool;
    /// Whether the log must be read before poll() can decide.
    [[nodiscard]] auto needs_read(time_point now) const -> bool;
    /// Gives the lease up and claims it no more.
    auto stop() -> void { stopping_ = true; }
    /// Whether nothing is left to release.
    [[nodiscard]] auto released() const -> bool;

private:
    [[nodiscard]] auto owner_is_this_vm() const -> bool {
        return owner_ && *owner_ == holder_;
    }
    [[nodiscard]] auto claimable_at() const -> time_point;

    placement_lease_settings settings_;
    std::string holder_;
    random_source& random_;
    // The owner by the log, its epoch, and until when it may order at most.
    std::optional<std::string> owner_;
    std::uint64_t epoch_ = 0;
    bool owner_released_ = false;
    time_point owner_valid_until_{};
    // Entries before this offset are no news, whenever they are read.
    std::uint64_t stale_before_ = 0;
    std::optional<time_point> previous_owner_valid_until_;
    // Whether epoch_ is a claim of this process, not of an earlier one.
    bool claimed_by_this_process_ = false;
    time_point valid_until_{};
    time_point renewed_at_{};
    std::optional<std::uint64_t> log_end_;
    time_point read_at_{};
    bool read_needed_ = true;
    std::optional<lease_append> pending_;
    time_point retry_at_{};
    duration jitter_{};
    bool stopping_ = false;
};

} // namespace basilstream::coordination
