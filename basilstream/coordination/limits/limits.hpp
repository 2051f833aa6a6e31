/// Enforces deployment-wide limits without a coordinator. Daemons request and
/// give back units of a limit by records in a shared log. Every daemon replays
/// the log to the same allocation, whose sum never exceeds the limit.
///
///     auto share = limit_holder{"entry-1/4f21", limit_settings{}};
///     share.define("models_at_once", {.units_ = 25});
///     share.define("models_per_second", {.units_ = 2, .hold_ = seconds{1}});
///     share.define("adapters_at_once", {.units_ = 190});
///     auto loads = weight_store_permits{share};
///     if (loads.try_acquire(load_kind::model, now)) {
///         // ... load ...
///         loads.release(load_kind::model, now);
///     }
///     for (const auto& record : share.poll(now)) { /* append to the log */ }
///     share.on_record(record, now);   // every limit record, in log order
///
/// A rate limit is expressed as units that are held for a minimum time: two
/// loads per second are two units, each held for at least one second.
/// Not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/orders/orders.hpp"

namespace basilstream::coordination {

/// The effect of a record on the allocation.
enum class limit_action {
    /// Requests a total of `units_` for the holder. Free units are granted one
    /// at a time to the waiting holder with the fewest units; among equals, to
    /// the earliest request.
    acquire,
    /// Gives back `units_` units that the holder no longer uses.
    give_back,
    /// Renews the holder's lease.
    renew,
    /// Removes the holder `subject_`, whose lease expired, and frees its units.
    recover,
};

inline constexpr auto limit_action_names =
    name_table<limit_action, 4>{{{{limit_action::acquire, "acquire"},
                                  {limit_action::give_back, "give_back"},
                                  {limit_action::renew, "renew"},
                                  {limit_action::recover, "recover"}}}};

/// A limit record in the log.
struct limit_record {
    limit_action action_ = limit_action::renew;
    /// The writer of the record, unique for each start of each daemon.
    std::string holder_;
    /// Sequence number of the writer. A record is invalid unless its number is
    /// above all earlier ones of its writer, which makes appends idempotent.
    std::uint64_t sequence_ = 0;
    std::string limit_ = {};
    int units_ = 0;
    /// For recover only: the expired holder, and its newest sequence number
    /// that the writer had read.
    std::string subject_ = {};
    std::uint64_t subject_sequence_ = 0;
    auto operator==(const limit_record&) const -> bool = default;
};

/// The size of a limit.
struct limit_definition {
    int units_ = 0;
    /// Minimum time for which an acquired unit stays in use.
    duration hold_ = {};
};

/// The safety checks of the protocol. A test replaces one of them to show that
/// the protocol fails without it.
struct limit_guards {
    bool (*may_grant_)(int granted, int limit) = [](int granted, int limit) {
        return granted < limit;
    };
    bool (*is_new_)(std::uint64_t sequence, std::uint64_t newest) =
        [](std::uint64_t sequence, std::uint64_t newest) {
            return sequence > newest;
        };
    bool (*lease_unchanged_)(std::uint64_t read, std::uint64_t newest) =
        [](std::uint64_t read, std::uint64_t newest) {
            return read == newest;
        };
    bool (*lease_valid_)(time_point now, time_point until) =
        [](time_point now, time_point until) {
            return now < until;
        };
};

/// The allocation of all limits: a pure function of the limit definitions and
/// the records, in log order. A value type, so that a snapshot can store it.
class limit_ledger {
public:
    /// A holder's units of one limit.
    struct share {
        int units_ = 0;
        /// Units requested and not granted yet.
        int outstanding_ = 0;
        /// Position of the request among all requests; the lowest is the
        /// oldest.
        std::uint64_t request_order_ = 0;
        auto operator==(const share&) const -> bool = default;
    };
    /// A daemon process that has requested units.
    struct holder {
        std::uint64_t newest_sequence_ = 0;
        std::map<std::string, share, std::less<>> shares_;
        auto operator==(const holder&) const -> bool = default;
    };

    explicit limit_ledger(limit_guards guards = {}) : guards_{guards} {}

    /// Returns the ledger of a snapshot. Limits are not part of it: the caller
    /// sets them by set_limit().
    [[nodiscard]] static auto
    restore(std::map<std::string, holder, std::less<>> holders,
            std::uint64_t next_request_order) -> limit_ledger;

    /// Sets the units of a limit. If more are already granted, they stay
    /// granted, and no further unit is granted until the sum is below the
    /// limit.
    auto set_limit(const std::string& name, int units) -> void;
    /// Applies a record. Returns false, with no unit granted or freed, if the
    /// record is invalid.
    auto apply(const limit_record& record) -> bool;

    /// Returns the units of a limit, 0 if it is not defined.
    [[nodiscard]] auto limit(std::string_view name) const -> int;
    /// Returns the units granted to all holders together.
    [[nodiscard]] auto granted(std::string_view name) const -> int;
    /// Returns the units requested and not granted yet, of all holders.
    [[nodiscard]] auto outstanding(std::string_view name) const -> int;
    /// Returns the holder's share of a limit, all zeros if it has none.
    [[nodiscard]] auto share_of(std::string_view holder,
                                std::string_view name) const -> share;
    /// Returns the number of holders with granted or outstanding units.
    [[nodiscard]] auto count_holders(std::string_view name) const -> int;
    [[nodiscard]] auto holders() const
        -> const std::map<std::string, holder, std::less<>>& {
        return holders_;
    }
    /// Returns the position that the next request will get.
    [[nodiscard]] auto next_request_order() const -> std::uint64_t {
        return next_request_order_;
    }

private:
    auto apply_acquire(const limit_record& record) -> bool;
    auto apply_give_back(const limit_record& record) -> bool;
    auto apply_renew(const limit_record& record) -> bool;
    auto apply_recover(const limit_record& record) -> bool;
    auto accept_sequence(const limit_record& record) -> holder*;
    auto grant_free_units(const std::string& name) -> void;
    auto next_waiting(const std::string& name) -> share*;

    limit_guards guards_;
    std::map<std::string, int, std::less<>> limits_;
    std::map<std::string, holder, std::less<>> holders_;
    std::uint64_t next_request_order_ = 0;
};

/// Settings of a limit_holder.
struct limit_settings {
    /// Duration of a holder's lease on its units. Reading back one of its own
    /// valid records renews the lease, counted from that record's first send.
    duration lease_ = seconds{30};
    /// Maximum time for which work under a permit continues after its daemon
    /// has crashed.
    duration max_work_duration_ = seconds{30};
    /// Margin for the drift between the clocks of two daemons.
    duration drift_margin_ = seconds{3};
    /// Units idle for this long are given back if other holders wait for units
    /// or the limit was lowered.
    duration contended_idle_timeout_ = seconds{1};
    /// Units idle for this long are given back in any case.
    duration idle_timeout_ = std::chrono::minutes{5};
    /// A record not read back within this time is appended again.
    duration append_timeout_ = seconds{2};
};

/// A permit to use one unit.
using permit_id = std::uint64_t;

/// Manages the permits of one daemon and the records that it has to append.
class limit_holder {
public:
    /// `name` is unique for each start of each daemon.
    limit_holder(std::string name, limit_settings settings,
                 limit_guards guards = {});

    /// Defines or changes a limit. All daemons have to call it at the same
    /// position of the log, in the order of its configuration records.
    auto define(const std::string& limit, limit_definition definition) -> void;

    /// Acquires a unit. If none is usable, returns nothing and requests more at
    /// the next poll(). The work under the permit has to end within
    /// limit_settings::max_work_duration_.
    [[nodiscard]] auto try_acquire(const std::string& limit, time_point now)
        -> std::optional<permit_id>;
    /// Releases a permit. Its unit counts as in use until
    /// limit_definition::hold_ has passed since it was acquired.
    auto release(permit_id permit, time_point now) -> void;

    /// Applies a limit record read from the log, written by any daemon.
    auto on_record(const limit_record& record, time_point now) -> void;
    /// Replaces the ledger by that of a snapshot.
    auto restore(limit_ledger ledger, time_point now) -> void;

    /// Returns the records to append. At most one record is in flight; it is
    /// returned again if not read back within append_timeout_.
    [[nodiscard]] auto poll(time_point now) -> std::vector<limit_record>;

    /// Returns the number of units in use. A unit is in use until its permit is
    /// released and its minimum hold time is over.
    [[nodiscard]] auto in_use(std::string_view limit, time_point now) const
        -> int;
    /// Returns how many more units this daemon may acquire now, 0 without a
    /// valid lease.
    [[nodiscard]] auto usable(std::string_view limit, time_point now) const
        -> int;
    [[nodiscard]] auto ledger() const -> const limit_ledger& { return ledger_; }

private:
    struct permit {
        std::string limit_;
        time_point held_until_;
        bool released_ = false;
    };
    struct local_limit {
        limit_definition definition_;
        // Acquisitions that failed since poll() last decided whether to request
        // units.
        int failed_acquisitions_ = 0;
        // Units granted to this daemon as of the newest record.
        int units_ = 0;
        time_point last_used_ = {};
    };
    struct pending_record {
        limit_record record_;
        time_point first_sent_;
        time_point last_sent_;
    };

    auto erase_expired_permits(time_point now) -> void;
    auto refresh_last_used(time_point now) -> void;
    auto has_valid_lease(time_point now) const -> bool;
    auto has_share() const -> bool;
    auto units_to_give_back(const std::string& name, const local_limit& local,
                            time_point now) const -> int;
    auto next_record(time_point now) -> std::optional<limit_record>;
    auto give_back_record(time_point now) const -> std::optional<limit_record>;
    auto acquire_record(time_point now) -> std::optional<limit_record>;
    auto recover_record(time_point now) const -> std::optional<limit_record>;
    auto renew_record(time_point now) const -> std::optional<limit_record>;
    auto make_record(limit_action action) const -> limit_record;

    std::string name_;
    limit_settings settings_;
    limit_guards guards_;
    limit_ledger ledger_;
    std::map<std::string, local_limit, std::less<>> limits_;
    std::map<permit_id, permit> permits_;
    // When this daemon read the newest valid record of each other holder.
    std::map<std::string, time_point, std::less<>> last_read_;
    std::optional<pending_record> pending_;
    time_point lease_until_{};
    std::uint64_t next_sequence_ = 1;
    permit_id next_permit_ = 1;
};

/// Names of the limits on loads from the weight store.
struct weight_store_limits {
    std::string models_at_once_ = "models_at_once";
    std::string models_per_second_ = "models_per_second";
    std::string adapters_at_once_ = "adapters_at_once";
};

/// Issues permits for loads from the weight store out of the daemon's share.
/// A model load holds a unit of `models_at_once_` until it ends and takes a
/// unit of `models_per_second_` at its start. An adapter load holds a unit of
/// `adapters_at_once_` until it ends.
class weight_store_permits final : public load_permits {
public:
    explicit weight_store_permits(limit_holder& holder,
                                  weight_store_limits limits = {});

    auto try_acquire(load_kind kind, time_point now) -> bool override;
    auto release(load_kind kind, time_point now) -> void override;

private:
    auto concurrency_limit_name(load_kind kind) const -> const std::string&;

    limit_holder& holder_;
    weight_store_limits limits_;
    std::map<load_kind, std::vector<permit_id>> permits_;
};

} // namespace basilstream::coordination
