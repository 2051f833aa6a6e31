/// Elects the daemon that sends orders to runners, by a lease (Gray and
/// Cheriton, "Leases", SOSP 1989) in a log that all daemons share. The daemon
/// with the latest claim in the log owns the lease while it renews it in time.
/// The offset of the claim is the epoch of the lease and the fencing number.
///
///     auto lease = placement_lease{settings, "entry-1", random};
///     lease.on_entry(offset, entry, now);           // read from the log
///     if (const auto due = lease.poll(now)) { /* append at its offset */ }
///     lease.on_appended(offset, sent_at);           // append succeeded
///     if (const auto epoch = lease.valid_epoch(now)) { /* send orders */ }
///
/// Load pattern: the owner may be paused, partitioned from the store or killed
/// while it sends orders. Its lease expires by its own clock before another
/// daemon may claim it, and a pause between two owners separates their orders.
///
/// `now` must come from a clock that advances while the machine is suspended.
/// Sans-I/O; not safe for concurrent use.
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

/// An entry of the lease log.
struct lease_entry {
    lease_entry_kind kind_ = lease_entry_kind::claim;
    /// The VM that wrote it.
    std::string holder_;
    /// Offset of the claim that this entry renews or releases; 0 in a claim.
    std::uint64_t epoch_ = 0;
};

/// An entry to be appended at an offset. The append must fail if the log does
/// not end at that offset.
struct lease_append {
    std::uint64_t offset_ = 0;
    lease_entry entry_;
};

/// Settings of a placement_lease.
struct placement_lease_settings {
    /// Validity of a claim or renewal, from when its append was sent.
    duration term_ = milliseconds{2500};
    /// Interval between renewals. Also the maximum age of a read of the log on
    /// which a claim is based.
    duration renewal_interval_ = milliseconds{800};
    /// Minimum time between the last order of one owner and the first order of
    /// the next.
    duration pause_between_owners_ = milliseconds{3000};
    /// Added to the pause between owners, because clocks of different machines
    /// run at different rates.
    duration clock_margin_ = milliseconds{200};
    /// Upper bound of the random delay of a claim, which keeps daemons from
    /// claiming at the same time.
    duration claim_jitter_ = milliseconds{300};
    /// Mean delay after a failed append or read.
    duration retry_delay_ = milliseconds{250};
};

/// The state of the lease as known to one daemon.
class placement_lease {
public:
    placement_lease(placement_lease_settings settings, std::string holder,
                    random_source& random);

    /// Applies an entry read from the log; call in log order.
    auto on_entry(std::uint64_t offset, const lease_entry& entry,
                  time_point now) -> void;
    /// Records that all entries before the offset `end` have been read.
    auto on_read(std::uint64_t end, time_point now) -> void;
    /// Applies a message from the owner of the lease with this epoch: the lease
    /// is valid for `remaining`, and the last entry of the owner is before the
    /// offset `end`.
    auto on_owner_heartbeat(std::uint64_t epoch, duration remaining,
                            std::uint64_t end, time_point now) -> void;

    /// Applies a message from the owner of this epoch: it sends no more orders,
    /// and its last renewal is before the offset `end`.
    auto on_owner_released(std::uint64_t epoch, std::uint64_t end,
                           time_point now) -> void;

    /// Returns the append that is due, if any. No other append is due until
    /// on_appended() or on_append_failed() has been called.
    [[nodiscard]] auto poll(time_point now) -> std::optional<lease_append>;
    /// The append that poll() returned was sent at `sent_at` and succeeded.
    auto on_appended(std::uint64_t offset, time_point sent_at) -> void;
    /// The append was refused because the log ends at another offset, or its
    /// outcome is unknown, or a read of the log failed. The log must be read
    /// before the next append.
    auto on_append_failed(time_point now) -> void;

    /// Returns the epoch if this daemon may send orders at `now`.
    [[nodiscard]] auto valid_epoch(time_point now) const
        -> std::optional<std::uint64_t>;
    /// Returns how long this daemon may send orders from `now` on without a
    /// renewal; zero if it may not.
    [[nodiscard]] auto remaining(time_point now) const -> duration;
    /// Returns the offset after the last known entry of the log.
    [[nodiscard]] auto log_end() const -> std::uint64_t {
        return log_end_.value_or(0);
    }
    /// Returns the latest time at which the previous owner may have sent
    /// orders; nothing if there was none. Meaningful only while valid_epoch()
    /// has a value.
    [[nodiscard]] auto previous_owner_valid_until() const
        -> std::optional<time_point> {
        return previous_owner_valid_until_;
    }
    /// Returns the VM that made the latest known claim; empty if there is none.
    [[nodiscard]] auto owner() const -> std::string {
        return owner_.value_or("");
    }
    /// Returns whether any daemon is known to own the lease at `now`.
    [[nodiscard]] auto has_owner(time_point now) const -> bool;
    /// Returns whether the log must be read before poll() can return an append.
    [[nodiscard]] auto needs_read(time_point now) const -> bool;
    /// Stops claiming the lease, and makes poll() return its release if this
    /// daemon owns it.
    auto stop() -> void { stopping_ = true; }
    /// Returns whether this process owns no lease or has released it.
    [[nodiscard]] auto released() const -> bool;

private:
    [[nodiscard]] auto owner_is_this_vm() const -> bool {
        return owner_ && *owner_ == holder_;
    }
    [[nodiscard]] auto claimable_at() const -> time_point;

    placement_lease_settings settings_;
    std::string holder_;
    random_source& random_;
    // Owner according to the log, its epoch, and the latest time at which it
    // may still send orders.
    std::optional<std::string> owner_;
    std::uint64_t epoch_ = 0;
    bool owner_released_ = false;
    time_point owner_valid_until_{};
    // Entries before this offset do not extend the lease: the owner had written
    // them before its last message to this daemon.
    std::uint64_t stale_before_ = 0;
    std::optional<time_point> previous_owner_valid_until_;
    // False if the claim was made by an earlier process on this VM.
    bool claimed_by_this_process_ = false;
    // End of this process's own lease.
    time_point valid_until_{};
    time_point renewed_at_{};
    // Empty until the log has been read.
    std::optional<std::uint64_t> log_end_;
    time_point read_at_{};
    bool read_needed_ = true;
    // The append in progress.
    std::optional<lease_append> pending_;
    // No append or read before this time.
    time_point retry_at_{};
    // Random delay of claims by this daemon.
    duration jitter_{};
    bool stopping_ = false;
};

} // namespace basilstream::coordination
