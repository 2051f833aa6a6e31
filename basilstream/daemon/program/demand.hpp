/// Aggregates the demand for each model across the deployment, as input to
/// placement planning. Each daemon measures its own demand and reports it once
/// per interval to the owners of the control shards, which are the only
/// daemons that plan.
///
///     auto demand = demand_monitor{context, settings, peers, owners};
///     demand.add("acme/chat", 120);
///     demand.tick();
///
/// Control thread only.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/placement_control/placement_control.hpp"

namespace basilstream::daemon {

/// Returns the names of the daemons that own a control shard.
using owner_reader = std::function<std::set<std::string>()>;

/// Measures local demand, reports it to shard owners and sums peers' reports.
class demand_monitor {
public:
    demand_monitor(const context& base, const daemon_settings& settings,
                   cluster& peers, owner_reader owners);

    /// Counts a request that generated `tokens` with `model`.
    auto add(const std::string& model, std::uint64_t tokens) -> void;
    /// Computes and sends the rates once the measuring interval has elapsed.
    auto tick() -> void;
    /// Returns the demand summed over this daemon and all unexpired reports.
    [[nodiscard]] auto by_model() const
        -> std::map<std::string, measured_demand>;

private:
    using demand_by_model = std::map<std::string, measured_demand>;
    struct received_demand {
        demand_by_model models_;
        time_point received_at_;
    };
    struct count {
        std::uint64_t tokens_ = 0;
        std::uint64_t requests_ = 0;
    };

    auto on_report(const std::string& sender, const std::string& bytes) -> void;
    auto send() -> void;

    context base_;
    std::string name_;
    cluster& peers_;
    owner_reader owners_;
    time_point interval_start_;
    std::map<std::string, count> counts_;
    demand_by_model own_demand_;
    std::map<std::string, received_demand> received_;
};

} // namespace basilstream::daemon
