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
    already_done,
    /// It was not accepted; the runner's state is not what was thought.
    rejected,
    /// It may have been accepted, or may be later.
    unknown,
};

/// A runner's answer about itself.
struct fleet_report {
    std::vector<backend_model> models_;
    /// Adapters on their way, as MODEL/ADAPTER.
    std::vector<std::string> adapters_loading_;
    bool model_order_open_ = false;
    std::uint64_t accepted_orders_ = 0;
};

/// A model or adapter that has come to a runner, is on its way, or leaves.
struct holding_change {
    std::string runner_;
    std::string model_;
    std::string adapter_;
    load_state state_ = load_state::ready;
    duration ready_in_{};
};

struct fleet_ledger_settings {
    /// Reports show what held at most this long ago.
    duration report_lag_ = milliseconds{700};
    /// Pause between two reports while an order is under way.
    duration report_interval_ = milliseconds{400};
    /// A report that is older than what is known for this long shows a
    /// restart.
    duration restart_detection_time_ = milliseconds{2500};
    /// Adapters that may be on their way to one runner.
    int max_adapters_loading_ = 4;
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
    struct open_order {
        std::string model_;
        std::string adapter_;
        bool load_ = true;
        time_point accepted_at_{};
        time_point completion_due_at_{};
    };
    struct runner_state {
        backend_server server_;
        bool state_known_ = false;
        bool report_pending_ = false;
        std::uint64_t accepted_orders_ = 0;
        std::vector<held_model> models_;
        // Sent and not answered.
        std::optional<fleet_step> sent_step_;
        // Accepted and not carried out yet.
        std::vector<open_order> open_orders_;
        // A model order of an earlier owner is in progress.
        bool previous_owner_order_ = false;
        std::optional<time_point> next_report_at_;
        std::optional<time_point> stale_since_;
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
