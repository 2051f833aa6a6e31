/// Limits that hold for the whole deployment without a coordinator. The units
/// of a limit are divided among daemons by records in the log; every reader
/// replays the same division, whose sum never exceeds the limit.
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
/// A limit on a rate is a limit on units that are each held for the period:
/// two loads a second are two units, each held for at least a second.
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

/// What a record does to the division.
enum class limit_action {
    /// Sets the holder's wish to `units_` in all. Free units are granted one by
    /// one to the waiting holder that has the fewest.
    acquire,
    /// Gives `units_` back; the holder no longer uses them.
    give_back,
    /// Renews the holder's lease.
    renew,
    /// Takes all units from `subject_`, whose lease lapsed.
    recover,
};

inline constexpr auto limit_action_names =
    name_table<limit_action, 4>{{{{limit_action::acquire, "acquire"},
                                  {limit_action::give_back, "give_back"},
                                  {limit_action::renew, "renew"},
                                  {limit_action::recover, "recover"}}}};

/// A record in the log.
struct limit_record {
    limit_action action_ = limit_action::renew;
    /// The writer: unique for each start of each daemon.
    std::string holder_;
    /// Counts up by writer. A record that is not newer than the newest of its
    /// writer is invalid, so that a repeated append counts once.
    std::uint64_t sequence_ = 0;
    std::string limit_ = {};
    int units_ = 0;
    /// For recover: whose units, and the newest sequence read of it.
    std::string subject_ = {};
    std::uint64_t subject_sequence_ = 0;
    auto operator==(const limit_record&) const -> bool = default;
};

/// One limit.
struct limit_definition {
    int units_ = 0;
    /// How long a unit is held at the least once acquired.
    duration hold_ = {};
};

/// Checks by name. A test replaces one to show that its check can fail.
struct limit_guards {
    bool (*grantable_)(int granted, int limit) = [](int granted, int limit) {
        return granted < limit;
    };
    bool (*is_new_)(std::uint64_t sequence, std::uint64_t newest) =
        [](std::uint64_t sequence, std::uint64_t newest) {
            return sequence > newest;
        };
    bool (*same_lease_)(std::uint64_t read, std::uint64_t newest) =
        [](std::uint64_t read, std::uint64_t newest) {
            return read == newest;
        };
    bool (*lease_valid_)(time_point now, time_point until) =
        [](time_point now, time_point until) {
            return now < until;
        };
};

/// The division of all limits: a pure function of the records in log order.
/// A value type, so that it can be kept in a snapshot.
class limit_ledger {
public:
    struct share {
        int units_ = 0;
        /// Units wished for and not granted yet.
        int missing_ = 0;
        /// Place in the order of the wishes.
        std::uint64_t wished_at_ = 0;
        auto operator==(const share&) const -> bool = default;
    };
    struct holder {
        std::uint64_t newest_sequence_ = 0;
        std::map<std::string, share, std::less<>> shares_;
        auto operator==(const holder&) const -> bool = default;
    };

    explicit limit_ledger(limit_guards guards = {}) : guards_{guards} {}

    /// Returns the ledger that a snapshot describes; set_limit() follows.
    [[nodiscard]] static auto
    restore(std::map<std::string, holder, std::less<>> holders,
            std::uint64_t next_wish) -> limit_ledger;

    /// Sets the units of a limit. A limit lowered below what is granted grants
    /// nothing until enough has been given back.
    auto set_limit(const std::string& name, int units) -> void;
    /// Applies a record; returns whether it was valid.
    auto apply(const limit_record& record) -> bool;

    [[nodiscard]] auto limit(std::string_view name) const -> int;
    [[nodiscard]] auto granted(std::string_view name) const -> int;
    [[nodiscard]] auto missing(std::string_view name) const -> int;
    /// Returns the holder's share; zeros if it has none.
    [[nodiscard]] auto share_of(std::string_view holder,
                                std::string_view name) const -> share;
    /// Returns how many holders have or want units of the limit.
    [[nodiscard]] auto holders_of(std::string_view name) const -> int;
    [[nodiscard]] auto holders() const
        -> const std::map<std::string, holder, std::less<>>& {
        return holders_;
    }
    /// Returns the place that the next wish takes in the order of the wishes.
    [[nodiscard]] auto next_wish() const -> std::uint64_t { return next_wish_; }

private:
    auto apply_acquire(const limit_record& record) -> bool;
    auto apply_give_back(const limit_record& record) -> bool;
    auto apply_renew(const limit_record& record) -> bool;
    auto apply_recover(const limit_record& record) -> bool;
    auto known(const limit_record& record) -> holder*;
    auto grant_free_units(const std::string& name) -> void;
    auto next_waiting(const std::string& name) -> share*;

    limit_guards guards_;
    std::map<std::string, int, std::less<>> limits_;
    std::map<std::string, holder, std::less<>> holders_;
    std::uint64_t next_wish_ = 0;
};

/// Settings of a limit_holder.
struct limit_settings {
    /// How long units may be used after the newest record that was sent by
    /// the holder and read back.
    duration lease_ = seconds{30};
    /// The longest that work under a unit goes on without its holder.
    duration longest_work_ = seconds{30};
    /// Margin for clocks that run at different rates.
    duration drift_margin_ = seconds{3};
    /// Units unused for this long are given back when others want them.
    duration idle_ = seconds{1};
    /// Units unused for this long are given back in any case.
    duration retire_ = std::chrono::minutes{5};
    /// An append not read back by then is repeated.
    duration append_timeout_ = seconds{2};
};

/// A permit to use one unit.
using permit_id = std::uint64_t;

/// One daemon's side: its permits, and the records it has to append.
class limit_holder {
public:
    /// `name` is unique for each start of each daemon.
    limit_holder(std::string name, limit_settings settings,
                 limit_guards guards = {});

    /// Sets a limit, in the order of configuration records in the log.
    auto define(const std::string& limit, limit_definition definition) -> void;

    /// Takes a unit, or returns nothing and asks for more at the next poll().
    /// The work has to end within limit_settings::longest_work_.
    [[nodiscard]] auto try_acquire(const std::string& limit, time_point now)
        -> std::optional<permit_id>;
    /// Gives a unit back. It stays held until limit_definition::hold_ is over.
    auto release(permit_id permit, time_point now) -> void;

    /// Takes in a limit record read from the log, own or foreign.
    auto on_record(const limit_record& record, time_point now) -> void;
    /// Starts from the ledger of a snapshot.
    auto restore(limit_ledger ledger, time_point now) -> void;

    /// Returns the records to append: at most one new record is under way, and
    /// it is returned again when it has not been read back in time.
    [[nodiscard]] auto poll(time_point now) -> std::vector<limit_record>;

    /// Returns how many units of the limit this daemon uses or holds.
    [[nodiscard]] auto in_use(std::string_view limit, time_point now) const
        -> int;
    /// Returns how many units it may use now.
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
        // Acquisitions that failed since the last record.
        int unmet_ = 0;
        // Units of this daemon after the newest record.
        int units_ = 0;
        time_point last_used_ = {};
    };
    struct pending_record {
        limit_record record_;
        time_point first_sent_;
        time_point last_sent_;
    };

    auto drop_released(time_point now) -> void;
    auto note_new_units(time_point now) -> void;
    auto leased(time_point now) const -> bool;
    auto has_share() const -> bool;
    auto spare_units(const std::string& name, const local_limit& local,
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
    // When the newest valid record of each other holder was read.
    std::map<std::string, time_point, std::less<>> last_read_;
    std::optional<pending_record> pending_;
    time_point lease_until_{};
    std::uint64_t next_sequence_ = 1;
    permit_id next_permit_ = 1;
};

/// Names of the limits that loads count against.
struct weight_store_limits {
    std::string models_at_once_ = "models_at_once";
    std::string models_per_second_ = "models_per_second";
    std::string adapters_at_once_ = "adapters_at_once";
};

/// Permits for loads from the weight store out of the daemon's share. A model
/// takes a unit of the loads at once for the whole load and one of the loads a
/// second for its start; an adapter takes one of the adapters in flight.
class weight_store_permits final : public load_permits {
public:
    explicit weight_store_permits(limit_holder& holder,
                                  weight_store_limits limits = {});

    auto try_acquire(load_kind kind, time_point now) -> bool override;
    auto release(load_kind kind, time_point now) -> void override;

private:
    auto name_of(load_kind kind) const -> const std::string&;

    limit_holder& holder_;
    weight_store_limits limits_;
    std::map<load_kind, std::vector<permit_id>> permits_;
};

} // namespace basilstream::coordination
