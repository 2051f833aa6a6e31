/// State that all exchanges of a relay share.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "basilstream/coordination/body_admission/body_admission.hpp"
#include "basilstream/coordination/byte_budget/byte_budget.hpp"
#include "basilstream/coordination/liveness/liveness.hpp"
#include "basilstream/coordination/organisations/organisations.hpp"
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/coordination/retries/retries.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "basilstream/coordination/server_reachability/server_reachability.hpp"
#include "basilstream/daemon/organisation_usage/organisation_usage.hpp"
#include "basilstream/daemon/relay/internal/load_shedding.hpp"
#include "basilstream/daemon/relay/internal/server_speed_use.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/http_session/http_session.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

namespace basilstream::daemon::internal {

class exchange;

/// Metrics of a relay.
struct relay_counters {
    explicit relay_counters(transport::metrics_registry& metrics);
    transport::counter& requests_;
    transport::counter& answered_;
    transport::counter& refused_;
    transport::counter& failed_;
    transport::counter& retries_;
    transport::counter& resumed_;
    transport::counter& resume_requests_;
    transport::counter& client_disconnects_;
    transport::counter& ended_by_connection_;
    transport::counter& oversized_answers_;
    transport::counter& forwarded_;
    transport::counter& taken_from_peers_;
    transport::counter& unauthenticated_;
    transport::counter& bodies_too_slow_;
    transport::counter& bodies_without_memory_;
    transport::counter& unread_answers_ended_;
    transport::counter& discards_ended_;
    transport::counter& discarded_bytes_;
    transport::duration_histogram& first_byte_;
    transport::duration_histogram& total_time_;
};

/// Tries whether a server is reached: sends a request on a connection of its
/// own and waits for the first byte of an answer. Without a request, the
/// connection suffices.
class server_probe final : public transport::tcp_observer {
public:
    server_probe(transport::reactor_thread& thread, const std::string& address,
                 const std::string& request);
    [[nodiscard]] auto connected() const -> bool;
    [[nodiscard]] auto answered() const -> bool;
    auto on_data(std::string_view /*bytes*/) -> void override { heard_ = true; }
    auto on_closed(transport::close_reason /*reason*/) -> void override;

private:
    const bool waits_for_answer_;
    bool heard_ = false;
    std::unique_ptr<transport::tcp_stream> stream_;
};

/// State shared by all exchanges. Not thread-safe: used on the reactor thread
/// only.
struct relay_state {
    relay_state(const relay_context& context, relay_settings settings,
                const backend_dialect& dialect, model_provisioner& provisioner);
    ~relay_state();

    /// Returns the retry policy of a service, created on first use.
    [[nodiscard]] auto retry_policy_of(const std::string& service)
        -> coordination::retry_policy&;
    /// Returns the number of connections that this daemon may open to each
    /// backend server of the service; at least 1.
    [[nodiscard]] auto connection_limit(const std::string& service) const
        -> int;
    /// Returns when the process of a backend server started, in Unix
    /// milliseconds; 0 if not known.
    [[nodiscard]] auto start_time(const std::string& backend) const
        -> std::int64_t;
    /// Returns the software version of a backend server; empty if not known.
    [[nodiscard]] auto software_version(const std::string& backend) const
        -> std::string;
    /// Counts a crash of a backend server for the requests that were on it.
    /// `evidence` is logged.
    auto on_backend_crash(const std::string& backend, const char* evidence)
        -> void;
    /// Routes a client request and starts its exchange, or refuses it.
    auto on_request(transport::request_message message,
                    transport::http_session& session) -> void;
    /// Charges a request to the allowance of its organisation. Refuses it if
    /// that is used up, and returns false.
    [[nodiscard]] auto charge(const std::string& organisation, double units,
                              const std::string& request_id,
                              transport::http_session& session) -> bool;
    /// Calls exchange::end_on_shutdown() on every exchange.
    auto end_on_shutdown(bool include_running) -> void;
    /// Returns whether requests compete for capacity, so that they wait and are
    /// refused by what that costs their callers.
    [[nodiscard]] auto callers_compete() const -> bool;
    /// Returns whether the loads of the other daemons are known, or would be if
    /// there were any.
    [[nodiscard]] auto knows_loads(time_point now) const -> bool;
    /// Notifies exchanges whose backend server exceeded a silence time-out and
    /// whose request may be sent again.
    auto log_cut(const transport::cut_connection& cut) -> void;
    auto handle_silent_calls() -> void;
    /// Routes a request that another daemon has forwarded, and starts its
    /// exchange, or refuses it.
    auto on_forwarded_request(transport::request_message message,
                              transport::http_session& session) -> void;
    /// Returns how well the servers of a service are reached.
    [[nodiscard]] auto reachability_of(const std::string& service)
        -> coordination::server_reachability&;
    /// Returns whether a request of the service should go to another daemon.
    [[nodiscard]] auto prefers_forwarding(const std::string& service) -> bool;
    /// Notices services that cannot be reached any more, and probes their
    /// servers now and then.
    auto check_reachability() -> void;
    /// Whether the bytes of all answers are below their bound.
    [[nodiscard]] auto has_answer_memory() const -> bool;
    /// Adds what servers have counted of clients since the last call.
    auto count_clients() -> void;
    /// Ends answers that clients do not take, to free memory.
    auto end_unread_answers(std::size_t bytes) -> void;
    /// Lets answers go on that wait for memory.
    auto resume_answers() -> void;
    /// Whether one more answer may go on beyond the bound: if unfinished
    /// answers fill it, none of them would end otherwise.
    [[nodiscard]] auto may_exceed_answer_memory() const -> bool;
    /// Sets what other daemons may send. Call once `forwarding_server_` exists.
    auto set_forwarding_limits(const coordination::client_limits& limits)
        -> void;
    /// Options of a server for requests at `address`.
    [[nodiscard]] auto make_server_options(const std::string& address)
        -> transport::http_session_options;
    auto refuse(transport::http_session& session, int status,
                const std::string& request_id, const char* reason) -> void;

    const relay_context context_;
    relay_settings settings_;
    const backend_dialect& dialect_;
    model_provisioner& provisioner_;
    relay_counters counters_;
    // Makes the ids of runs unique among those of all daemons and processes.
    const std::string run_id_prefix_;
    // Outlive all that keeps a request or an answer.
    coordination::byte_budget request_bodies_;
    coordination::body_admission bodies_;
    // Bytes of answers that wait for the rest of an event or of an answer, and
    // of answers that their clients have not taken.
    coordination::byte_budget buffered_answers_;
    coordination::byte_budget undelivered_answers_;
    coordination::route_table routes_;
    // Of the current configuration; null until there is one.
    std::shared_ptr<const coordination::organisation_index> organisations_;
    organisation_usage usage_;
    coordination::router router_;
    server_speed_use speeds_;
    transport::http_pool pool_;
    std::unique_ptr<transport::http_session_server> server_;
    // For requests that other daemons forward; null before it is opened.
    std::unique_ptr<transport::http_session_server> forwarding_server_;
    std::unordered_map<std::string, coordination::retry_policy> retry_policies_;
    // From when on the retry allowance may be used.
    const time_point retry_allowance_from_;
    // Last reported state of a backend server, to detect crashes.
    struct backend_info {
        std::string service_;
        std::string address_;
        std::int64_t started_at_ = 0;
        std::string software_version_;
        bool draining_ = false;
    };
    std::unordered_map<std::string, backend_info> backends_;
    struct service_links {
        coordination::server_reachability reachability_{{}};
        bool reached_ = true;
        std::vector<std::unique_ptr<server_probe>> probes_;
    };
    std::map<std::string, service_links> links_;

    struct server_address {
        std::string id_;
        std::string address_;
    };

    auto check_links(const std::string& service, service_links& links,
                     const std::vector<server_address>& servers) -> void;
    // Probes some of the servers.
    auto start_probes(const std::string& service, service_links& links,
                      std::vector<server_address> servers) -> void;
    // Returns a status check for a server; empty if it should not get one, as
    // it counts requests or bears few rejections.
    [[nodiscard]] auto make_status_check(const std::string& service,
                                         const server_address& server) const
        -> std::string;
    // Logs the change, and lets requests that wait for connections go another
    // way.
    auto on_reachability_changed(const std::string& service, bool reached,
                                 const std::vector<server_address>& servers)
        -> void;

    coordination::quarantine quarantine_;
    coordination::prompt_quarantine prompts_;
    request_journal journal_;
    std::unordered_set<std::shared_ptr<exchange>> exchanges_;
    // Detects calls to backend servers that receive no bytes. Identifies each
    // call by its call number.
    coordination::connection_monitor call_monitor_;
    std::unordered_map<std::uint64_t, exchange*> monitored_calls_;
    // Time of the last byte received from each backend server, by backend id.
    std::unordered_map<std::string, time_point> last_received_at_;
    std::uint64_t last_call_number_ = 0;
    std::uint64_t peer_load_reports_ = 0;
    std::size_t daemons_ = 1;
    const time_point started_at_;
    load_shedding shedding_;
    transport::client_counts counted_;
    // Exchanges that wait for memory for the rest of an answer, the first one
    // first.
    std::deque<std::weak_ptr<exchange>> awaiting_memory_;
    // The one whose answer may go beyond the bound of all.
    std::weak_ptr<exchange> preferred_answer_;
    bool accepting_ = true;
    // When the daemon stopped to accept requests.
    std::optional<time_point> refuses_from_;
};

/// Returns the settings of a relay's quarantine.
[[nodiscard]] auto make_quarantine_settings()
    -> coordination::quarantine_settings;

/// Returns the id of a backend server's process, which started at `started_at`
/// (Unix milliseconds); empty if that is 0, not known.
[[nodiscard]] auto boot_id_of(std::int64_t started_at) -> std::string;

/// Returns the key under which the router knows a model of a service. For a
/// service without models, `model` is empty and the key is the service name.
[[nodiscard]] auto routing_key(const std::string& service,
                               const std::string& model) -> std::string;

} // namespace basilstream::daemon::internal
