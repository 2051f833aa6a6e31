/// Keeps the daemons together within the request rates that backend servers
/// name in their answers.
///
///     auto permits = server_permits{{clock, log, metrics}};
///     permits.on_notice("i-7f3a", dialect.rate_limit(headers), sent_at);
///
/// Not thread-safe: use on the traffic thread only.
#pragma once

#include <optional>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/server_limits/server_limits.hpp"
#include "basilstream/daemon/backend_dialect/backend_dialect.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Dependencies of server_permits; each must outlive it.
struct server_permits_context {
    const clock& clock_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

class server_permits {
public:
    explicit server_permits(const server_permits_context& context);

    /// Sets when the current process of a backend server started, in Unix
    /// milliseconds; 0 if not known.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Handles what an answer to a request sent at `sent_at` states.
    auto on_notice(const std::string& server, const rate_limit_notice& notice,
                   time_point sent_at) -> void;
    /// Counts a request that is sent to a backend server.
    auto on_sent(const std::string& server) -> void;
    /// Returns the limit that the backend server has named, empty if none.
    [[nodiscard]] auto limit_of(const std::string& server) const
        -> std::optional<double>;

private:
    auto log_change(const std::string& server, const char* source) -> void;

    const server_permits_context context_;
    coordination::named_limits limits_;
    transport::counter& named_;
    transport::counter& malformed_;
    transport::counter& limited_requests_;
};

} // namespace basilstream::daemon
