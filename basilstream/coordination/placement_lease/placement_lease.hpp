/// Elects the daemon that sends orders to runners, by a lease (Gray and
/// Cheriton, "Leases", SOSP 1989) in a log that all daemons share. The daemon
/// with the latest claim in the log owns the lease while it renews it in time.
/// Each claim has a higher epoch than the one before; the epoch is also the
/// fencing number. The store may come back from an older copy, in a new era:
/// claims may be lost then, and epochs rise by at least `epochs_per_era`.
///
///     auto lease = placement_lease{settings, "entry-1", random};
///     if (!lease.on_answer(era_when_sent, era, now)) { /* read again */ }
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

/// Added to the epoch for each era of the store. More than the number of claims
/// that a return to an older copy can remove; small, so that fencing numbers
/// stay below 2^53, up to which all readers of JSON keep integers exactly.
inline constexpr auto epochs_per_era = std::uint64_t{1} << 20U;

/// Era of a store that has never come back from a copy. In a higher one a log
/// without claims may have lost them.
inline constexpr auto first_era = std::uint64_t{1};

/// An entry of the lease log.
struct lease_entry {
    lease_entry_kind kind_ = lease_entry_kind::claim;
    /// The VM that wrote it.
    std::string holder_;
    /// Epoch of the claim. In a claim, the offset of the entry if that is
    /// higher: claims of earlier builds name no epoch.
    std::uint64_t epoch_ = 0;
    /// Era of the store in which the entry was written. Absent if the store
    /// names none, and in entries of earlier builds.
    std::optional<std::uint64_t> era_ = std::nullopt;
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

    /// Applies the era of the store that an answer names, if it names one. Call
    /// first for each answer to a read or append, with the value of era() when
    /// the call was sent. Returns whether the answer counts: if not, it is of a
    /// former era, or the era changed while the call was under way. An append
    /// in progress is then given up, and the newest entry must be read, not
    /// those from a known offset on.
    [[nodiscard]] auto on_answer(std::optional<std::uint64_t> era_when_sent,
                                 std::optional<std::uint64_t> era,
                                 time_point now) -> bool;
    /// Returns the latest known era of the store.
    [[nodiscard]] auto era() const -> std::optional<std::uint64_t> {
        return era_;
    }
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
    // Returns whether the known claim was made before the store's last return
    // to an older copy, so that a later one may have been lost.
    [[nodiscard]] auto claim_is_of_former_era() const -> bool {
        return epoch_era_ != era_;
    }
    // Returns whether the log holds no claim, but may have lost some.
    [[nodiscard]] auto may_have_lost_all_claims() const -> bool {
        return !owner_ && era_.value_or(first_era) > first_era;
    }
    [[nodiscard]] auto claimable_at() const -> time_point;
    // Returns the epoch of a claim at this offset: higher than that of any
    // claim before, also of those that the store has lost.
    [[nodiscard]] auto next_epoch(std::uint64_t offset) const -> std::uint64_t;
    auto begin_era(std::uint64_t era, time_point now) -> void;
    // Forgets the log's end and the append in progress.
    auto require_newest_entry() -> void;
    // Takes over the claim that an entry tells.
    auto adopt_claim(const lease_entry& entry, std::uint64_t epoch,
                     time_point now) -> void;
    // Applies a renewal or the release of the known claim.
    auto apply_to_owner(const lease_entry& entry, time_point now) -> void;

    placement_lease_settings settings_;
    std::string holder_;
    random_source& random_;
    // Owner according to the log, its epoch, and the latest time at which it,
    // or an owner whose claim the log has lost, may still send orders.
    std::optional<std::string> owner_;
    std::uint64_t epoch_ = 0;
    std::optional<std::uint64_t> epoch_era_;
    bool owner_released_ = false;
    time_point owner_valid_until_{};
    // Entries before this offset do not extend the lease: the owner had written
    // them before its last message to this daemon.
    std::uint64_t stale_before_ = 0;
    std::optional<time_point> previous_owner_valid_until_;
    // A later claim than the log tells of, known from its owner's messages, and
    // the latest time at which that owner may still send orders.
    std::uint64_t unread_epoch_ = 0;
    time_point unread_owner_valid_until_{};
    // True if this process held the lease when the era changed, so that nobody
    // else may have sent orders since.
    bool may_reclaim_ = false;
    // False if the claim was made by an earlier process on this VM.
    bool claimed_by_this_process_ = false;
    // End of this process's own lease.
    time_point valid_until_{};
    time_point renewed_at_{};
    // Empty until the log has been read in this era.
    std::optional<std::uint64_t> log_end_;
    std::optional<std::uint64_t> era_;
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
