/// Reports the state of a relaying daemon to operators: its status, its gauges,
/// and explanations of a model, a backend server or a request.
///
///     auto status = relay_status{"entry-1", "zone-a", parts};
///     status.add_gauges(metrics);
///     status.status().dump();            // for basilctl status
///     status.explain("i-7f3a").dump();   // for basilctl explain
///
/// Not thread-safe: call on the thread of the components it reads.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/listeners/listeners.hpp"
#include "basilstream/daemon/model_control/model_control.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/daemon/store_watch/store_watch.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Components whose state is reported. All must outlive the relay_status.
struct relay_status_parts {
    const clock& clock_;
    const transport::logger& log_;
    relay& relay_;
    const store_watch& watch_;
    model_control& models_;
    const coordination::drain_controller& drain_;
    /// Empty until the daemon has joined the cluster.
    const std::optional<cluster>& cluster_;
    const allowance_sharing& allowances_;
    const listeners& listeners_;
};

class relay_status {
public:
    relay_status(std::string name, std::string zone, relay_status_parts parts)
        : name_{std::move(name)}, zone_{std::move(zone)}, parts_{parts} {}

    /// Registers the gauges that complement the relay's counters.
    auto add_gauges(transport::metrics_registry& metrics) const -> void;
    /// Returns whether the daemon can serve requests: it listens for callers,
    /// has read the configuration, the backend servers and the quarantine, and
    /// is not draining.
    [[nodiscard]] auto ready() const -> bool;
    [[nodiscard]] auto status() const -> protocol::json;
    /// Explains `name`, which is a model, the id of a backend server or the id
    /// of a request that ended recently on this daemon. Key `planner` of the
    /// result is true if this daemon has information on it.
    [[nodiscard]] auto explain(const std::string& name) const -> protocol::json;

private:
    auto add_quarantine_gauges(transport::metrics_registry& metrics) const
        -> void;
    auto
    add_prompt_quarantine_gauges(transport::metrics_registry& metrics) const
        -> void;
    [[nodiscard]] auto members() const -> protocol::json;
    [[nodiscard]] auto models() const -> protocol::json;
    [[nodiscard]] auto organisations() const -> protocol::json;
    [[nodiscard]] auto explain_model(const std::string& name) const
        -> std::vector<std::string>;
    [[nodiscard]] auto
    explain_backend(const coordination::backend_server& server) const
        -> std::vector<std::string>;

    std::string name_;
    std::string zone_;
    relay_status_parts parts_;
};

} // namespace basilstream::daemon
