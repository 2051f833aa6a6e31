/// Keeps what backend servers state about themselves in their answers to any
/// call of this daemon, for all that call them: the relay and the placement of
/// models.
///
///     auto notices = server_notices{{clock, log, metrics}};
///     notices.on_pause_stated("i-7f3a", dialect.pause(503, headers));
///     if (dialect.is_leaving("i-7f3a", headers)) {
///         notices.on_leaving_stated("i-7f3a");
///     }
///     if (notices.pause_left("i-7f3a") == duration{0}) { ... }
///
/// Not thread-safe: use on the traffic thread only.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/leaving_servers/leaving_servers.hpp"
#include "basilstream/coordination/server_pauses/server_pauses.hpp"
#include "basilstream/daemon/backend_dialect/backend_dialect.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Dependencies of server_notices; each must outlive it.
struct server_notices_context {
    const clock& clock_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

/// Kinds of calls to a backend server.
enum class server_call { first_attempt, further_attempt, order, report };

inline constexpr auto server_call_names = name_table<server_call, 4>{
    {{{server_call::first_attempt, "first_attempt"},
      {server_call::further_attempt, "further_attempt"},
      {server_call::order, "order"},
      {server_call::report, "report"}}}};

class server_notices {
public:
    explicit server_notices(const server_notices_context& context);

    /// Sets when the current process of a backend server started, in Unix
    /// milliseconds; 0 if not known.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Sets the function that learns when the pause of a server ends, each time
    /// that this has changed. It must be callable for as long as answers are
    /// handled.
    auto on_pause(std::function<void(const std::string&, time_point)> handler)
        -> void {
        pause_handler_ = std::move(handler);
    }
    /// Adds a function that is called once for each process that says that it
    /// is leaving. It must be callable for as long as answers are handled.
    auto on_leaving(std::function<void(const std::string&)> handler) -> void {
        leaving_handlers_.push_back(std::move(handler));
    }
    /// Handles an answer in which the server says that it is leaving.
    auto on_leaving_stated(const std::string& server) -> void;
    /// Handles what an answer of the server states about a pause.
    auto on_pause_stated(const std::string& server, const pause_notice& notice)
        -> void;
    /// Logs and counts a call if it is sent to a server that wants none.
    /// `request` is empty for calls that no client made.
    auto on_sent(const std::string& server, server_call call,
                 const std::string& request) -> void;
    /// Returns whether the server has said that it is leaving.
    [[nodiscard]] auto is_leaving(const std::string& server) const -> bool {
        return leaving_.contains(server);
    }
    /// Returns for how long the server wants no calls from this daemon; zero
    /// if it takes them.
    [[nodiscard]] auto pause_left(const std::string& server) const -> duration;
    /// Returns the end of the server's pause; `time_point::min()` if it has
    /// asked for none.
    [[nodiscard]] auto end_of_pause(const std::string& server) const
        -> time_point {
        return pauses_.end_of_pause(server);
    }

private:
    const server_notices_context context_;
    coordination::server_pauses pauses_;
    std::function<void(const std::string&, time_point)> pause_handler_;
    coordination::leaving_servers leaving_;
    std::vector<std::function<void(const std::string&)>> leaving_handlers_;
    transport::counter& left_;
    transport::counter& requested_;
    transport::counter& malformed_;
    // Calls to servers that wanted none, by their kind.
    std::array<transport::counter*, server_call_names.rows_.size()> unwanted_;
};

} // namespace basilstream::daemon
