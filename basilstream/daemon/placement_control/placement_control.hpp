/// Places models on runners: plans the placement of the shards that this daemon
/// owns and sends the resulting orders to the engines.
///
///     auto control = placement_control{context, settings, log, fleet, demand};
///     control.tick();
///     control.explain("acme/chat");
///
/// Not thread-safe: use on the control thread only.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "basilstream/coordination/placement/placement.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/control_log/control_log.hpp"
#include "basilstream/daemon/fleet/fleet.hpp"
#include "basilstream/daemon/settings/settings.hpp"

namespace basilstream::daemon {

/// Demand for one model, measured by this or another daemon.
struct measured_demand {
    double tokens_per_second_ = 0;
    double requests_per_second_ = 0;
};

/// Returns the demand of the whole deployment by model.
using demand_reader = std::function<std::map<std::string, measured_demand>()>;

/// Runs the planner at a fixed interval and sends orders to the runners.
class placement_control {
public:
    placement_control(const context& base, const daemon_settings& settings,
                      control_log& log, fleet& servers, demand_reader demand);

    /// Computes a new plan if the plan interval has passed; call every few
    /// milliseconds.
    auto tick() -> void;
    /// Returns lines that explain the decisions about a model or a runner, the
    /// figures behind them and the rejected alternatives. Empty on a daemon
    /// that owns no shard.
    [[nodiscard]] auto explain(const std::string& name) const
        -> std::vector<std::string>;
    /// Returns the newest plan.
    [[nodiscard]] auto plan() const -> const coordination::placement_plan& {
        return plan_;
    }
    /// Returns the number of orders sent since the daemon started.
    [[nodiscard]] auto orders_sent() const -> std::uint64_t {
        return orders_sent_;
    }

private:
    auto handle_report(const runner_view& runner) -> void;
    auto make_plan() -> void;
    auto make_plan_input() const -> coordination::placement_input;
    auto add_runners(coordination::placement_input& input) const -> void;
    auto add_resources(coordination::placement_input& input) const -> void;
    auto send_order(const coordination::order_command& order) -> void;
    auto send_on_checked_connection(const coordination::order_command& order)
        -> void;
    auto deliver_answer(const coordination::order_command& order,
                        coordination::order_answer answer) -> void;
    [[nodiscard]] auto shard_of(const std::string& zone) const -> std::string;

    context base_;
    const daemon_settings& settings_;
    control_log& control_log_;
    fleet& fleet_;
    demand_reader demand_;
    coordination::planner planner_;
    coordination::placement_plan plan_;
    time_point next_plan_;
    std::uint64_t orders_sent_ = 0;
};

} // namespace basilstream::daemon
