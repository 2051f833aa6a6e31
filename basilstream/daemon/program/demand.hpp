/// Demand by model over the whole deployment, for the planner: each daemon
/// measures its own and sends it to the owners of the control shards, one
/// message an interval, as nobody else plans.
///
///     auto demand = demand_monitor{context, peers, owners};
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

/// Measures, sends and adds up.
class demand_monitor {
public:
    demand_monitor(const context& base, const daemon_settings& settings,
                   cluster& peers, owner_reader owners);

    /// A request of `model` generated `tokens`.
    auto add(const std::string& model, std::uint64_t tokens) -> void;
    /// Closes a measuring interval when it is over.
    auto tick() -> void;
    /// The sum over all daemons whose figures are fresh.
    [[nodiscard]] auto by_model() const
        -> std::map<std::string, measured_demand>;

private:
    using demand_by_model = std::map<std::string, measured_demand>;
    struct heard_demand {
        demand_by_model models_;
        time_point heard_;
    };
    struct count {
        std::uint64_t tokens_ = 0;
        std::uint64_t requests_ = 0;
    };

    auto take(const std::string& sender, const std::string& bytes) -> void;
    auto send() -> void;

    context base_;
    std::string name_;
    cluster& peers_;
    owner_reader owners_;
    time_point interval_began_;
    std::map<std::string, count> counts_;
    demand_by_model own_;
    std::map<std::string, heard_demand> heard_;
};

} // namespace basilstream::daemon
