/// The callers' HTTP routes: checks each request on the server's threads and
/// hands it to the control thread as typed values.
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

/// What the routes lead to.
struct api_parts {
    const daemon_settings& settings_;
    control_log& log_;
    fleet& fleet_;
    cluster& cluster_;
    completions& completions_;
    services& services_;
    telemetry& measured_;
};

/// The routes.
class api {
public:
    api(const context& base, api_parts parts);

    /// The server's handler; valid as long as this object.
    [[nodiscard]] auto handler() -> transport::http_handler;
    /// Derives the token index from the state. Control thread.
    auto rebuild_tokens() -> void;
    /// Refuses new requests as not run from now on. Any thread.
    auto stop_accepting() -> void { accepting_.store(false); }
    /// Whether the daemon has all that it needs to serve. Control thread.
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
    auto post(const call_ptr& received, void (api::*member)(const call_ptr&))
        -> void;
    static auto refuse(const call_ptr& received, const error& failure) -> void;

    // Server's threads.
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

    // Control thread.
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
    // Organisations by token hash. Control thread.
    std::map<std::string, std::string, std::less<>> tokens_;
};

} // namespace basilstream::daemon
