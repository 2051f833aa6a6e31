/// Tracks the state of each runner for the owner of the placement lease: the
/// models and adapters it holds, the number of orders it has accepted, and the
/// orders in progress.
///
///     ledger.set_runner(server);
///     for (const auto& id : ledger.reports_due(now)) { /* request it */ }
///     ledger.on_report(id, report, now);
///     const auto expected = ledger.begin_order(step, now);
///     ledger.on_answer(id, order_result::accepted, now);
///     for (auto& change : ledger.take_changes(now)) { /* broadcast */ }
///
/// Load pattern: answers to orders may be lost, and orders may be executed
/// seconds late. Each order carries the number of orders that the runner has
/// accepted before it, so that the runner rejects an order that is based on an
/// outdated state. A runner for which this number is uncertain gets no order
/// until a report has stated it. Reports lag by several hundred milliseconds;
/// accepted orders that a report does not show yet are kept for that long.
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

/// Outcome of sending an order.
enum class order_result {
    accepted,
    /// The runner already is in the state that the order asks for.
    already_done,
    /// The runner refused the order; its state differs from the tracked one.
    rejected,
    /// The runner may have accepted the order, or may still accept it.
    unknown,
};

/// A runner's report of its own state.
struct fleet_report {
    std::vector<backend_model> models_;
    /// Adapters that are loading, as MODEL/ADAPTER.
    std::vector<std::string> adapters_loading_;
    /// Whether an order for a model is in progress.
    bool model_order_open_ = false;
    /// Number of orders accepted since the runner started.
    std::uint64_t accepted_orders_ = 0;
};

/// A change of state of a model or adapter on a runner.
struct holding_change {
    std::string runner_;
    std::string model_;
    /// Empty for the model itself.
    std::string adapter_;
    load_state state_ = load_state::ready;
    /// Expected time until it is ready, if it is loading; zero otherwise.
    duration ready_in_{};
};

struct fleet_ledger_settings {
    /// Maximum age of the state that a report shows.
    duration report_lag_ = milliseconds{700};
    /// Interval between reports while an order is in progress, and delay after
    /// a failed report.
    duration report_interval_ = milliseconds{400};
    /// A runner has restarted if, for this long, its reports show fewer
    /// accepted orders than the ledger has counted.
    duration restart_detection_time_ = milliseconds{2500};
    /// Maximum number of adapter orders in progress on one runner.
    int max_open_adapter_orders_ = 4;
};

/// The state of all runners as known from their reports and answers.
class fleet_ledger {
public:
    explicit fleet_ledger(fleet_ledger_settings settings = {})
        : settings_{settings} {}

    /// Discards all orders and holdings and requests new reports. Call when
    /// this daemon becomes the owner.
    auto reset() -> void;
    /// Adds a runner or updates its announcement. A new start time or address
    /// discards its state.
    auto set_runner(const backend_server& server) -> void;
    auto remove_runner(const std::string& id) -> void;

    /// Returns the runners to request a report from. A runner is not returned
    /// again before on_report() or on_report_failed() is called for it.
    [[nodiscard]] auto reports_due(time_point now) -> std::vector<std::string>;
    auto on_report(const std::string& id, const fleet_report& report,
                   time_point now) -> void;
    auto on_report_failed(const std::string& id, time_point now) -> void;

    /// Returns the runners of a service, as input for plan_fleet().
    [[nodiscard]] auto runners_of(const std::string& service,
                                  time_point now) const
        -> std::vector<fleet_runner>;
    /// Records that the order is being sent. Returns the number of accepted
    /// orders that the order must carry, or nothing if no order may be sent to
    /// the runner now.
    [[nodiscard]] auto begin_order(const fleet_step& step, time_point now)
        -> std::optional<std::uint64_t>;
    /// Withdraws the order that begin_order() recorded, which was not sent. The
    /// runner gets no order before `next_order_at`.
    auto on_order_postponed(const std::string& id, time_point next_order_at)
        -> void;
    /// Applies the outcome of the order that begin_order() recorded.
    auto on_answer(const std::string& id, order_result result, time_point now)
        -> void;

    /// Returns the changes since the last call. Adapters whose load time has
    /// passed become ready without a report.
    [[nodiscard]] auto take_changes(time_point now)
        -> std::vector<holding_change>;
    /// Returns an empty string for an unknown runner.
    [[nodiscard]] auto address_of(const std::string& id) const -> std::string;

private:
    struct open_order {
        std::string model_;
        std::string adapter_;
        bool is_load_ = true;
        time_point accepted_at_{};
        time_point completion_due_at_{};
    };
    struct runner_state {
        backend_server server_;
        // False until a report has come, and after an order with an uncertain
        // outcome.
        bool state_known_ = false;
        bool report_pending_ = false;
        std::uint64_t accepted_orders_ = 0;
        std::vector<held_model> models_;
        // Order that has been sent and not been answered.
        std::optional<fleet_step> sent_step_;
        // Orders that have been accepted and not been completed.
        std::vector<open_order> open_orders_;
        // Whether a model order of a previous owner is in progress.
        bool previous_owner_order_ = false;
        // Empty if no report is needed.
        std::optional<time_point> next_report_at_;
        // Time of the first of the consecutive reports that showed fewer
        // accepted orders than tracked; empty if the last one did not.
        std::optional<time_point> stale_since_;
        // In the past unless the last order was postponed.
        time_point next_order_at_{};
    };

    auto apply_accepted_order(runner_state& runner, const fleet_step& step,
                              time_point now) -> void;
    auto complete_order(runner_state& runner, const open_order& order) -> void;
    auto apply_report(runner_state& runner, const fleet_report& report,
                      time_point now) -> void;
    auto carry_over_open_orders(runner_state& runner,
                                const fleet_report& report, time_point now)
        -> void;
    auto add_change(const runner_state& runner, const std::string& model,
                    const std::string& adapter, load_state state,
                    duration ready_in) -> void;
    [[nodiscard]] static auto model_order_open(const runner_state& runner)
        -> bool;

    fleet_ledger_settings settings_;
    std::map<std::string, runner_state> runners_;
    std::vector<holding_change> changes_;
};

} // namespace basilstream::coordination
