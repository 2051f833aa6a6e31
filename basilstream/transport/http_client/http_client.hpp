/// HTTP client over libcurl's multi interface on one reactor thread.
///
///     auto client = http_client{"engine"};
///     client.fetch(call, [](result<http_reply> reply) { ... });
///     client.start(call, sink);       // streamed answer
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"

namespace basilstream::transport {

/// A request to another system.
struct http_call {
    std::string method_ = "GET";
    /// `http://IP:PORT/path`.
    std::string url_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    milliseconds connect_timeout_{1000};
    /// Whole duration; zero means unlimited (streams).
    milliseconds total_timeout_{0};
    /// Uses a connection of its own. libcurl sends a request again by itself
    /// when a reused connection turns out to be dead; a request that may not
    /// be repeated must therefore never use an old connection.
    bool fresh_connection_ = false;
    /// Leaves the connection for `reuse_only_` calls instead of closing it.
    /// Only with `fresh_connection_`.
    bool keep_connection_ = false;
    /// Uses a connection that is open already, or fails as not run; closes it
    /// afterwards.
    bool reuse_only_ = false;
    /// Step named in errors.
    step step_ = step::runner;
    /// Largest answer that `fetch` collects, in bytes.
    std::size_t max_reply_bytes_ = std::size_t{8} << 20U;
};

/// A whole answer. Header names are in lower case.
struct http_reply {
    int status_ = 0;
    std::map<std::string, std::string> headers_;
    std::string body_;
};

/// How a call ended.
struct call_end {
    /// Set unless the answer came whole. Its `run_` is `not_run` only when no
    /// byte of the request was sent.
    std::optional<error> error_;
};

using call_id = std::uint64_t;

/// Receives a streamed answer on the client's thread. Must not block.
class http_sink {
public:
    http_sink() = default;
    http_sink(const http_sink&) = delete;
    auto operator=(const http_sink&) -> http_sink& = delete;
    virtual ~http_sink() = default;

    /// The call is about to begin under this id, for `resume` and `cancel`.
    virtual auto on_start(call_id /*call*/) -> void {}
    /// Status line and headers have arrived.
    virtual auto on_response(int status,
                             const std::map<std::string, std::string>& headers)
        -> void = 0;
    /// A piece of the body. Returning false pauses the transfer until
    /// `http_client::resume`; the piece counts as taken all the same.
    virtual auto on_data(std::string_view data) -> bool = 0;
    /// The call is over; nothing follows.
    virtual auto on_end(const call_end& end) -> void = 0;
};

/// The client. All members are safe to call from any thread.
class http_client {
public:
    /// `name` names the thread. At most `max_calls` calls are open at once.
    explicit http_client(std::string name, std::size_t max_calls = 8192);
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;
    /// Stops the client.
    ~http_client();

    /// Ends open calls with `cancelled` and joins the thread; later calls end
    /// at once with `overloaded`. Idempotent. Not from the client's thread.
    auto stop() -> void;

    /// Starts a call with a streamed answer. `on_end` is always called, also
    /// when the call could not be started.
    auto start(http_call call, std::shared_ptr<http_sink> sink) -> call_id;

    /// Starts a call and hands over its whole answer, on the client's thread.
    auto fetch(http_call call, std::function<void(result<http_reply>)> done)
        -> call_id;

    /// As `fetch`, but waits. Not from the client's thread.
    [[nodiscard]] auto fetch_wait(http_call call) -> result<http_reply>;

    /// Breaks a call off; `on_end` follows with `cancelled`. Unknown ids are
    /// ignored.
    auto cancel(call_id call) -> void;

    /// Goes on with a paused call.
    auto resume(call_id call) -> void;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::transport
