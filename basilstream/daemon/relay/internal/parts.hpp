/// What the exchanges of a relay share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "basilstream/coordination/liveness/liveness.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/coordination/retries/retries.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/http_session/http_session.hpp"

namespace basilstream::daemon::internal {

class exchange;

/// Counters of a relay.
struct relay_counters {
    explicit relay_counters(transport::metrics_registry& metrics);
    transport::counter& requests_;
    transport::counter& answered_;
    transport::counter& refused_;
    transport::counter& failed_;
    transport::counter& retries_;
    transport::counter& resumed_;
    transport::counter& client_disconnects_;
    transport::duration_histogram& first_byte_;
    transport::duration_histogram& total_time_;
};

/// State shared by all exchanges; used on one thread.
struct relay_state {
    relay_state(const relay_context& context, relay_settings settings,
                const backend_dialect& dialect, model_provisioner& provisioner);
    ~relay_state();

    /// Returns the retry policy of a service.
    [[nodiscard]] auto retry_policy_of(const std::string& service)
        -> coordination::retry_policy&;
    /// Returns how many connections this daemon may have to a server of the
    /// service.
    [[nodiscard]] auto connection_limit(const std::string& service) const
        -> int;
    auto on_request(transport::request_message message,
                    transport::http_session& session) -> void;
    auto end_on_shutdown(bool include_running) -> void;
    /// Moves requests away from servers that have gone silent.
    auto handle_silent_calls() -> void;
    auto refuse(transport::http_session& session, int status,
                const std::string& request_id, const char* reason) -> void;

    const relay_context context_;
    relay_settings settings_;
    const backend_dialect& dialect_;
    model_provisioner& provisioner_;
    relay_counters counters_;
    coordination::route_table routes_;
    coordination::router router_;
    transport::http_pool pool_;
    std::unique_ptr<transport::http_session_server> server_;
    std::unordered_map<std::string, coordination::retry_policy> retries_;
    // What a crash is told by.
    struct backend_info {
        std::string service_;
        std::int64_t started_at_ = 0;
        bool draining_ = false;
    };
    std::unordered_map<std::string, backend_info> backends_;
    coordination::quarantine quarantine_;
    request_journal journal_;
    std::unordered_set<std::shared_ptr<exchange>> exchanges_;
    // Watches the calls to backend servers; keys are call numbers.
    coordination::connection_monitor call_monitor_;
    std::unordered_map<std::uint64_t, exchange*> monitored_calls_;
    // When each backend server last showed a byte of any answer.
    std::unordered_map<std::string, time_point> last_received_at_;
    std::uint64_t last_call_number_ = 0;
    std::uint64_t peer_load_reports_ = 0;
    std::size_t daemons_ = 1;
    bool accepting_ = true;
};

/// Returns the router's name of a service's model; plain services have none.
[[nodiscard]] auto routing_key(const std::string& service,
                               const std::string& model) -> std::string;

} // namespace basilstream::daemon::internal
