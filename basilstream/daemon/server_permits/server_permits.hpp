/// Keeps the daemons together within the request rates that backend servers
/// name in their answers. Asks the daemon that owns a server's limit for a
/// permit for each request, and hands out permits for the servers that this
/// daemon owns.
///
///     auto permits = server_permits{{clock, log, metrics}, "entry-1"};
///     permits.connect(send);
///     permits.set_daemons({"entry-1", "entry-2"});
///     permits.on_notice("i-7f3a", dialect.rate_limit(headers), sent_at);
///     if (permits.limit_of("i-7f3a")) {
///         permits.acquire("i-7f3a", max_wait, [](const permit& given) {...});
///     }
///
/// Costs two messages for each request to a limited server that another daemon
/// owns, and nothing for other requests.
///
/// Not thread-safe: use on the traffic thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/server_limits/server_limits.hpp"
#include "basilstream/daemon/backend_dialect/backend_dialect.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Dependencies of server_permits; each must outlive it.
struct server_permits_context {
    const clock& clock_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

/// Sends an update to another daemon. Returns false if it is not known.
using update_sender = std::function<bool(const std::string& daemon,
                                         const protocol::relay_update& update)>;
using permit_handler = std::function<void(const coordination::permit&)>;

class server_permits {
public:
    server_permits(const server_permits_context& context, std::string self);

    /// Sets how updates are sent; until then, this daemon owns all servers.
    auto connect(update_sender send) -> void { send_ = std::move(send); }
    /// Sets the daemons considered alive, this one included.
    auto set_daemons(const std::vector<std::string>& daemons) -> void;
    /// Handles limits, permit requests and permits sent by another daemon.
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;
    /// Adds the limits that changed within `age` to an update.
    auto add_changes(protocol::relay_update& update, duration age) const
        -> void;
    /// Refuses the requests for permits that no daemon has answered. Call about
    /// every 50 ms.
    auto tick() -> void;

    /// Sets when the current process of a backend server started, in Unix
    /// milliseconds; 0 if not known.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Handles what an answer to a request sent at `sent_at` states.
    auto on_notice(const std::string& server, const rate_limit_notice& notice,
                   time_point sent_at) -> void;
    /// Asks for a permit to send one request to a backend server. Waits for it
    /// at most `max_wait`, apart from the time for the messages. Calls `done`
    /// exactly once, possibly before it returns.
    auto acquire(const std::string& server, duration max_wait,
                 permit_handler done) -> void;
    /// Counts a request that is sent to a backend server.
    auto on_sent(const std::string& server) -> void;
    /// Returns the backend servers that have named a limit.
    [[nodiscard]] auto limited_servers() const -> std::vector<std::string> {
        return limits_.servers();
    }
    /// Returns the limit that the backend server has named, empty if none.
    [[nodiscard]] auto limit_of(const std::string& server) const
        -> std::optional<double>;

private:
    struct pending_request {
        permit_handler done_;
        time_point expires_at_{};
    };

    auto log_change(const std::string& server, const char* source) -> void;
    // Hands out or refuses a permit of a server that this daemon owns.
    [[nodiscard]] auto reserve(const std::string& server, duration max_wait)
        -> coordination::permit;
    auto ask_owner(const std::string& owner, const std::string& server,
                   duration max_wait, permit_handler done) -> void;
    // Counts the permit and passes it on.
    auto settle(const permit_handler& done, const coordination::permit& given)
        -> void;

    const server_permits_context context_;
    const std::string self_;
    update_sender send_;
    coordination::named_limits limits_;
    coordination::permit_ownership ownership_;
    coordination::permit_ledger ledger_;
    // Requests to other daemons that have not been answered, by id.
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_request_ = 0;
    transport::counter& named_;
    transport::counter& malformed_;
    transport::counter& limited_requests_;
    transport::counter& granted_;
    transport::counter& refused_;
    transport::counter& unanswered_;
};

} // namespace basilstream::daemon
