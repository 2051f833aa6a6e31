/// Places models on runners: plans for the shards that this daemon owns and
/// carries the resulting orders to the engines.
///
///     auto placing = placement_control{context, settings, log, servers, load};
///     placing.tick();
///     placing.explain("acme/chat");
///
/// Control thread only.
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

/// Demand for one model, as this or another daemon measured it.
struct measured_demand {
    double tokens_per_second_ = 0;
    double requests_per_second_ = 0;
};

/// Demand of the whole deployment by model.
using demand_reader = std::function<std::map<std::string, measured_demand>()>;

/// Plans and orders.
class placement_control {
public:
    placement_control(const context& base, const daemon_settings& settings,
                      control_log& log, fleet& servers, demand_reader demand);

    /// Plans when it is due; call every few milliseconds.
    auto tick() -> void;
    /// Lines that explain what was decided about a model or a runner, from
    /// which figures, and what was rejected. Empty on a daemon that owns no
    /// shard.
    [[nodiscard]] auto explain(const std::string& name) const
        -> std::vector<std::string>;
    /// The newest plan.
    [[nodiscard]] auto plan() const -> const coordination::placement_plan& {
        return plan_;
    }
    /// Orders sent by this daemon since its start.
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
    control_log& log_;
    fleet& fleet_;
    demand_reader demand_;
    coordination::planner planner_;
    coordination::placement_plan plan_;
    time_point next_plan_;
    std::uint64_t orders_sent_ = 0;
};

} // namespace basilstream::daemon
