/// Stand-in for the backend servers of a service. A server announces itself in
/// the store, answers requests, and crashes under a certain one.
///
///     auto server = stand_in_server{context, "s1"};
///     server.crash(same_id);
///
/// Use on the reactor's thread only.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/transport/http_session/http_session.hpp"
#include "testing/fault_soak/fault_proxy.hpp"
#include "testing/fault_soak/promises.hpp"
#include "testing/fault_soak/stand_in_store.hpp"

namespace basilstream::testing {

/// Path of the status checks that servers answer.
inline constexpr auto health_path = "/health";

/// What the servers share; all must outlive them.
struct server_context {
    transport::reactor_thread& thread_;
    const clock& clock_;
    random_source& random_;
    stand_in_store& store_;
    promise_checker& promises_;
};

/// Body of a request that crashes the server which begins to run it.
inline constexpr auto crashing_body = "crash";
/// Header field in which clients say whether the daemon to which they send was
/// undisturbed for long enough.
inline constexpr auto settled_field = "X-Settled";
/// Header field in which clients name the daemon to which they send.
inline constexpr auto daemon_field = "X-Daemon";
/// Header field in which a server that names its rate limit names itself.
inline constexpr auto server_field = "X-Server";

class stand_in_server {
public:
    stand_in_server(const server_context& context, std::string name);
    stand_in_server(const stand_in_server&) = delete;
    auto operator=(const stand_in_server&) -> stand_in_server& = delete;
    ~stand_in_server();

    /// Ends the process without notice. A new one starts after a second or
    /// more, under the id of the former or another.
    auto crash(bool same_id) -> void;
    /// Names a rate limit in all answers from now on, or none if empty. A new
    /// process names none.
    auto set_limit(std::optional<double> per_second) -> void;
    /// Software version of the process.
    [[nodiscard]] auto version() const -> const std::string& {
        return version_;
    }
    /// Whether the process runs.
    [[nodiscard]] auto running() const -> bool { return server_ != nullptr; }
    /// The proxy before the server, whose address is announced.
    [[nodiscard]] auto proxy() -> fault_proxy& { return *proxy_; }

private:
    struct stream;
    auto start() -> void;
    auto announce() -> void;
    auto expire(const std::string& id, int start) -> void;
    auto answer(const transport::request_message& request,
                transport::http_session& session) -> void;
    auto send_event(const std::shared_ptr<stream>& open, int number) -> void;

    server_context context_;
    std::string name_;
    std::string id_;
    std::string version_;
    int starts_ = 0;
    int ids_ = 0;
    std::optional<double> limit_;
    std::unique_ptr<fault_proxy> proxy_;
    std::unique_ptr<transport::http_session_server> server_;
    std::set<std::shared_ptr<stream>> streams_;
};

} // namespace basilstream::testing
