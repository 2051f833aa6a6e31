/// HTTP/1.1 server over libmicrohttpd with answers from any thread, streamed
/// answers with back-pressure, and bounds on everything a client can send.
///
///     auto server = http_server::open(options, [](http_request request,
///                                                 http_exchange_ptr reply) {
///         reply->respond(200, {{"Content-Type", "text/plain"}}, "hello");
///     });
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"

namespace basilstream::transport {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A whole request. Header names are in lower case.
struct http_request {
    std::string method_;
    std::string path_;
    std::map<std::string, std::string> query_;
    std::map<std::string, std::string> headers_;
    std::string body_;
    std::string peer_;

    /// Returns a header's value, or an empty view. `name` in lower case.
    [[nodiscard]] auto header(const std::string& name) const
        -> std::string_view;
    /// Returns a query argument's value, or an empty view.
    [[nodiscard]] auto query(const std::string& name) const -> std::string_view;
};

/// What became of a streamed piece.
enum class write_state {
    /// Taken; more may follow.
    accepted,
    /// Taken, and the buffer is over its limit: pause until `on_writable`.
    full,
    /// The client is gone; the piece is dropped.
    closed,
};

/// One request's answer. Safe to use from any thread. Exactly one of `respond`
/// or `start` takes effect; later ones are ignored.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    auto operator=(const http_exchange&) -> http_exchange& = delete;
    virtual ~http_exchange() = default;

    /// Sends a whole answer.
    virtual auto respond(int status, header_list headers, std::string body)
        -> void = 0;
    /// Begins a streamed answer; `write` and `finish` follow.
    virtual auto start(int status, header_list headers) -> void = 0;
    /// Adds a piece to a streamed answer.
    virtual auto write(std::string_view piece) -> write_state = 0;
    /// Ends a streamed answer.
    virtual auto finish() -> void = 0;
    /// Ends a streamed answer by breaking the connection, so that the client
    /// cannot mistake it for a whole one.
    virtual auto abort() -> void = 0;
    /// Sets what to call, from the server's thread, when the buffer has room
    /// again after `write_state::full`.
    virtual auto on_writable(std::function<void()> callback) -> void = 0;
    /// Sets what to call once, from the server's thread, when the client has
    /// left before the answer was whole. Called at once if it already has.
    virtual auto on_closed(std::function<void()> callback) -> void = 0;
    /// Whether an answer was begun.
    [[nodiscard]] virtual auto started() const -> bool = 0;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

/// Called on one of the server's threads for each whole request. It must not
/// block; it may keep the exchange and answer later.
using http_handler = std::function<void(http_request, http_exchange_ptr)>;

/// Limits and address of a server.
struct http_server_options {
    std::string address_ = "127.0.0.1";
    /// 0 picks an ephemeral port.
    std::uint16_t port_ = 0;
    unsigned threads_ = 2;
    unsigned max_connections_ = 4096;
    std::size_t max_body_bytes_ = std::size_t{1} << 20U;
    /// Header memory of a connection.
    std::size_t max_header_bytes_ = std::size_t{16} << 10U;
    /// Streamed bytes that may wait for a slow client.
    std::size_t stream_buffer_bytes_ = std::size_t{64} << 10U;
    /// How long an idle connection is kept.
    seconds idle_timeout_{30};
    /// How long a client may take to send its request's body.
    seconds body_timeout_{10};
    /// How often waiting exchanges are checked for a client that has left.
    milliseconds disconnect_check_{200};
};

/// A listening server. Destruction aborts what is still open.
class http_server {
public:
    /// Opens a server. Fails with `unavailable` when the address is taken.
    [[nodiscard]] static auto open(const http_server_options& options,
                                   http_handler handler)
        -> result<std::unique_ptr<http_server>>;

    http_server() = default;
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    virtual ~http_server() = default;

    /// The bound port.
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;
    /// The number of requests whose answers are not whole yet.
    [[nodiscard]] virtual auto open_exchanges() const -> std::size_t = 0;
    /// Closes the listening socket; open connections go on.
    virtual auto stop_listening() -> void = 0;
};

} // namespace basilstream::transport
