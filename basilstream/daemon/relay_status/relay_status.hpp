/// What a relaying daemon tells operators: its status, its gauges, and why a
/// model, a backend server or a request fared as it did.
///
///     auto status = relay_status{"entry-1", "zone-a", parts};
///     status.add_gauges(metrics);
///     status.status().dump();            // as basilctl status reads it
///     status.explain("i-7f3a").dump();   // as basilctl explain reads it
///
/// On the thread of its parts only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/model_control/model_control.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/daemon/store_watch/store_watch.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// What is shown; all outlive it.
struct relay_status_parts {
    const clock& clock_;
    const transport::logger& log_;
    relay& traffic_;
    const store_watch& watch_;
    model_control& models_;
    const coordination::drain_controller& drain_;
    /// Empty until the daemon has joined the others.
    const std::optional<cluster>& peers_;
};

class relay_status {
public:
    relay_status(std::string name, std::string zone, relay_status_parts parts)
        : name_{std::move(name)}, zone_{std::move(zone)}, parts_{parts} {}

    /// Adds what the metrics show beside the relay's counters.
    auto add_gauges(transport::metrics_registry& metrics) const -> void;
    /// Whether requests can be served.
    [[nodiscard]] auto ready() const -> bool;
    [[nodiscard]] auto status() const -> protocol::json;
    /// `name`: a model, a backend server or the id of a request that ended
    /// here lately. `planner` is set if this daemon has something to say.
    [[nodiscard]] auto explain(const std::string& name) const -> protocol::json;

private:
    [[nodiscard]] auto members() const -> protocol::json;
    [[nodiscard]] auto models() const -> protocol::json;
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
