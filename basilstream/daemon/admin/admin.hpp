/// Serves one daemon's read-only HTTP API for operators: `GET /status`,
/// `GET /explain?name=`, `GET /metrics`.
///
///     auto routes = admin{context, parts};
///     http_server::open(options, routes.handler());
///
/// Operators make changes with basilctl, which appends records to the log.
#pragma once

#include <string>

#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/daemon/api/api.hpp"
#include "basilstream/daemon/claim_log/claim_log.hpp"
#include "basilstream/daemon/placement_control/placement_control.hpp"
#include "basilstream/protocol/json/json.hpp"

namespace basilstream::daemon {

/// The daemon components that the status is read from; must outlive `admin`.
struct admin_parts {
    const daemon_settings& settings_;
    const api& api_;
    control_log& log_;
    fleet& fleet_;
    cluster& cluster_;
    completions& completions_;
    services& services_;
    claim_log& claims_;
    placement_control& placement_;
    coordination::quarantine& quarantine_;
    coordination::admission& admission_;
    const coordination::drain_controller& drain_;
    telemetry& telemetry_;
};

/// Answers operators' requests for status, placement reasons and metrics.
class admin {
public:
    admin(const context& base, admin_parts parts);

    /// Returns the handler for the HTTP server; valid while this object lives.
    [[nodiscard]] auto handler() -> transport::http_handler;

private:
    // Called on the control thread.
    [[nodiscard]] auto status() const -> protocol::json;
    [[nodiscard]] auto members() const -> protocol::json;
    [[nodiscard]] auto models() const -> protocol::json;
    [[nodiscard]] auto runners() const -> protocol::json;
    [[nodiscard]] auto counters() const -> protocol::json;
    [[nodiscard]] auto quarantined() const -> protocol::json;
    auto answer(const transport::http_request& request,
                const transport::http_exchange_ptr& reply) -> void;

    context base_;
    admin_parts parts_;
};

} // namespace basilstream::daemon
