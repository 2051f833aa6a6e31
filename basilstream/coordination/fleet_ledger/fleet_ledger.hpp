/// What the owner of placement knows of each runner: holdings, the number of
/// orders that it has accepted, and the order that is under way.
///
///     ledger.set_runner(server);
///     for (const auto& id : ledger.reports_due(now)) { /* ask it */ }
///     ledger.on_report(id, report, now);
///     const auto expected = ledger.begin_order(step, now);
///     ledger.on_answer(id, order_result::accepted, now);
///     for (auto& change : ledger.take_changes(now)) { /* tell others */ }
///
/// Load pattern: answers to orders are lost, and orders are carried out
/// seconds late. Each order names the number of orders accepted before it, so
/// that the runner itself refuses one that was decided on an older state. A
/// runner whose number is uncertain gets no order until a report has told it.
/// Reports lag by some hundred milliseconds; an order that one does not show
/// yet is kept for that long.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/backend_directory/backend_directory.hpp"
#include "basilstream/coordination/demand_placement/demand_placement.hpp"

namespace basilstream::coordination {

/// How an order ended, as far as it matters here.
enum class order_result {
    accepted,
    /// What it asks for holds already.
    holds,
    /// It was not accepted; the runner's state is not what was thought.
    rejected,
    /// It may have been accepted, or may be later.
    unknown,
};

/// A runner's answer about itself.
struct fleet_report {
    std::vector<backend_model> models_;
    /// Adapters on their way, as MODEL/ADAPTER.
    std::vector<std::string> coming_;
    bool model_order_open_ = false;
    std::uint64_t orders_ = 0;
};

/// A model or adapter that has come to a runner, is on its way, or leaves.
struct holding_change {
    std::string runner_;
    std::string model_;
    std::string adapter_;
    holding_state state_ = holding_state::ready;
    duration ready_in_{};
};

struct fleet_ledger_settings {
    /// Reports show what held at most this long ago.
    duration report_lag_ = milliseconds{700};
    /// Pause between two reports while an order is under way.
    duration report_interval_ = milliseconds{400};
    /// A report that is older than what is known for this long shows a
    /// restart.
    duration restart_after_ = milliseconds{2500};
    /// Adapters that may be on their way to one runner.
    int adapters_coming_ = 4;
};

class fleet_ledger {
public:
    explicit fleet_ledger(fleet_ledger_settings settings = {})
        : settings_{settings} {}

    /// Forgets all orders and holdings, as a new owner must.
    auto reset() -> void;
    /// Learns a runner or what it announces of itself.
    auto set_runner(const backend_server& server) -> void;
    auto remove_runner(const std::string& id) -> void;

    /// Runners to be asked for a report; each is due once until its answer.
    [[nodiscard]] auto reports_due(time_point now) -> std::vector<std::string>;
    auto on_report(const std::string& id, const fleet_report& report,
                   time_point now) -> void;
    auto on_report_failed(const std::string& id, time_point now) -> void;

    /// The runners of a service, for plan_fleet().
    [[nodiscard]] auto runners_of(const std::string& service) const
        -> std::vector<fleet_runner>;
    /// Notes that the order leaves. Returns the number of orders that the
    /// runner must have accepted, or nothing if no order may go to it.
    [[nodiscard]] auto begin_order(const fleet_step& step, time_point now)
        -> std::optional<std::uint64_t>;
    auto on_answer(const std::string& id, order_result result, time_point now)
        -> void;

    /// Advances adapters that load without a report and takes the changes
    /// since the last call.
    [[nodiscard]] auto take_changes(time_point now)
        -> std::vector<holding_change>;
    [[nodiscard]] auto address_of(const std::string& id) const -> std::string;

private:
    struct open_item {
        std::string model_;
        std::string adapter_;
        bool load_ = true;
        time_point accepted_{};
        time_point due_{};
    };
    struct runner_state {
        backend_server server_;
        bool known_ = false;
        bool asked_ = false;
        std::uint64_t orders_ = 0;
        std::vector<held_model> models_;
        // Sent and not answered.
        std::optional<fleet_step> sent_;
        // Accepted and not carried out yet.
        std::vector<open_item> open_;
        // A model order of an earlier owner is in progress.
        bool foreign_order_ = false;
        std::optional<time_point> report_due_;
        std::optional<time_point> older_since_;
    };

    auto accept(runner_state& runner, const fleet_step& step, time_point now)
        -> void;
    auto finish(runner_state& runner, const open_item& item) -> void;
    auto take_report(runner_state& runner, const fleet_report& report,
                     time_point now) -> void;
    auto keep_open(runner_state& runner, const fleet_report& report,
                   time_point now) -> void;
    auto note(const runner_state& runner, const std::string& model,
              const std::string& adapter, holding_state state,
              duration ready_in) -> void;
    [[nodiscard]] static auto model_order_open(const runner_state& runner)
        -> bool;

    fleet_ledger_settings settings_;
    std::map<std::string, runner_state> runners_;
    std::vector<holding_change> changes_;
};

} // namespace basilstream::coordination
