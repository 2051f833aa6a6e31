/// Demand by model over the whole deployment, for the planner: each daemon
/// measures its own and gossips it.
#pragma once

#include <map>
#include <string>

#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/placement_control/placement_control.hpp"

namespace basilstream::daemon {

/// Measures, spreads and adds up. Control thread only.
class demand_monitor {
public:
    demand_monitor(const context& base, cluster& peers);

    /// A request of `model` generated `tokens`.
    auto add(const std::string& model, std::uint64_t tokens) -> void;
    /// Closes a measuring interval when it is over.
    auto tick() -> void;
    /// The sum over all daemons whose figures are fresh.
    [[nodiscard]] auto by_model() const
        -> std::map<std::string, measured_demand>;

private:
    struct heard_demand {
        measured_demand demand_;
        time_point heard_;
    };
    struct count {
        std::uint64_t tokens_ = 0;
        std::uint64_t requests_ = 0;
    };

    auto take(const coordination::gossip_payload& payload) -> void;

    context base_;
    cluster& peers_;
    time_point interval_began_;
    std::map<std::string, count> counts_;
    std::map<std::string, measured_demand> own_;
    // By model, then by daemon.
    std::map<std::string, std::map<std::string, heard_demand>> heard_;
};

} // namespace basilstream::daemon
