/// Serves the callers' HTTP API: validates each request on the HTTP server's
/// threads and posts it to the control thread as typed values.
///
///     auto routes = api{context, parts};
///     http_server::open(options, routes.handler());
#pragma once

#include <atomic>
#include <map>
#include <string>

#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/completions/completions.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/control_log/control_log.hpp"
#include "basilstream/daemon/fleet/fleet.hpp"
#include "basilstream/daemon/services/services.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/daemon/telemetry/telemetry.hpp"
#include "basilstream/transport/http_server/http_server.hpp"

namespace basilstream::daemon {

/// The daemon components that the routes use; must outlive the `api`.
struct api_parts {
    const daemon_settings& settings_;
    control_log& log_;
    fleet& fleet_;
    cluster& cluster_;
    completions& completions_;
    services& services_;
    telemetry& telemetry_;
};

/// Routes, authenticates and admits callers' HTTP requests.
class api {
public:
    api(const context& base, api_parts parts);

    /// Returns the handler for the HTTP server; valid while this object lives.
    [[nodiscard]] auto handler() -> transport::http_handler;
    /// Rebuilds the map from token hash to organisation from the replicated
    /// state. Control thread only.
    auto rebuild_token_index() -> void;
    /// Rejects all further authenticated requests with `not_ready` and
    /// `run_status::not_run`. Thread-safe.
    auto stop_accepting() -> void { accepting_.store(false); }
    /// Returns whether the control log is ready, the fleet has been listed and
    /// the daemon still accepts requests. Control thread only.
    [[nodiscard]] auto ready() const -> bool;

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;
    using route_member = auto(api::*)(const call_ptr&) -> void;
    struct route_row {
        const char* method_;
        const char* path_;
        bool prefix_;
        route_member member_;
    };

    auto route(transport::http_request request,
               transport::http_exchange_ptr reply) -> void;
    auto post_to_control(const call_ptr& received,
                         void (api::*member)(const call_ptr&)) -> void;
    static auto refuse(const call_ptr& received, const error& failure) -> void;

    // Called on the HTTP server's threads.
    auto text_completion(const call_ptr& received) -> void;
    auto chat_completion(const call_ptr& received) -> void;
    auto completion(const call_ptr& received, protocol::completion_style style)
        -> void;
    auto service(const call_ptr& received) -> void;
    auto models(const call_ptr& received) -> void;
    auto endpoints(const call_ptr& received) -> void;
    auto health(const call_ptr& received) -> void;
    auto readiness(const call_ptr& received) -> void;
    auto metrics(const call_ptr& received) -> void;

    // Called on the control thread.
    auto start_completion(const call_ptr& received) -> void;
    auto start_service(const call_ptr& received) -> void;
    auto answer_models(const call_ptr& received) -> void;
    auto answer_endpoints(const call_ptr& received) -> void;
    auto answer_readiness(const call_ptr& received) -> void;
    auto authenticate(const call_ptr& received) -> bool;

    context base_;
    api_parts parts_;
    std::atomic<bool> accepting_{true};
    std::atomic<std::uint64_t> next_request_{0};
    std::uint64_t id_seed_;
    // Organisation name by token hash. Control thread only.
    std::map<std::string, std::string, std::less<>> tokens_;
};

} // namespace basilstream::daemon
