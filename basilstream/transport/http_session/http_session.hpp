/// HTTP/1.1 server connections on a reactor thread. One request at a time is
/// read whole and handed to a handler, which answers at once or later.
///
///     auto server = http_session_server::open(thread, clock, options,
///         [](request_message request, http_session& session) {
///             session.respond(200, {}, "hello");
///         });
///
/// Unlike `http_server`, sessions, handlers and decisions share one thread, so
/// that an event passes from one socket to another without a hand-over.
/// Requests that a client sends before it has the answer to the one before are
/// not read: that connection closes after the answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/coordination/body_admission/body_admission.hpp"
#include "basilstream/coordination/byte_budget/byte_budget.hpp"
#include "basilstream/coordination/client_limits/client_limits.hpp"
#include "basilstream/transport/http_message/http_message.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

namespace basilstream::transport {

/// Learns what becomes of a client that waits for an answer.
class client_observer {
public:
    client_observer() = default;
    client_observer(const client_observer&) = delete;
    auto operator=(const client_observer&) -> client_observer& = delete;
    virtual ~client_observer() = default;

    /// The client's connection has ended; the session is gone.
    virtual auto on_client_left() -> void = 0;
    /// All buffered output has left.
    virtual auto on_client_drained() -> void = 0;
};

/// A connection that ended before its client had the whole answer.
struct cut_connection {
    close_reason reason_ = close_reason::reset;
    /// Whether the answer was still being made.
    bool answering_ = false;
    /// Bytes of the answer that wait for the kernel.
    std::size_t unsent_bytes_ = 0;
    /// Time since the request was read, or since its answer was complete.
    duration waited_{};
    /// Handler of the request; null if there is none or it has finished.
    const client_observer* observer_ = nullptr;
};

class http_session_server;

/// A client's connection. Handlers answer each request exactly once: by
/// respond(), or by begin_stream() up to end_stream() or abort().
class http_session final : public tcp_observer,
                           public coordination::body_holder,
                           public std::enable_shared_from_this<http_session> {
public:
    http_session(http_session_server& server, int descriptor);
    ~http_session() override;

    /// Who learns that the client left; null for nobody.
    auto observe(client_observer* observer) -> void { observer_ = observer; }

    auto respond(int status, const header_list& headers, std::string_view body)
        -> void;
    /// Begins an answer of unknown length. Its end is a last chunk, or the end
    /// of the connection for a client that does not understand chunks.
    auto begin_stream(int status, const header_list& headers) -> void;
    auto write_piece(std::string_view piece) -> void;
    auto end_stream() -> void;
    /// Breaks the answer off so that it cannot be taken for a whole one. The
    /// session does not exist afterwards.
    auto abort() -> void;
    /// Until when the client may take the answer to the current request; the
    /// idle time-out after its arrival if nothing is said.
    auto set_delivery_deadline(time_point deadline) -> void {
        delivery_deadline_ = deadline;
    }
    /// Bytes that the client has not taken yet.
    [[nodiscard]] auto buffered() const -> std::size_t;

    /// Closes the connection if its client is late; called periodically.
    auto check(time_point now) -> void;
    /// Whether a request is being answered.
    [[nodiscard]] auto busy() const -> bool { return busy_; }
    /// Since when the connection waits for a request that is not whole;
    /// nothing while it is needed for something else.
    [[nodiscard]] auto waiting_since() const -> std::optional<time_point>;
    /// Since when its body waits for memory; nothing if it does not.
    [[nodiscard]] auto awaiting_memory_since() const
        -> std::optional<time_point>;
    /// Whether the rest of a request that began by then is still to come.
    [[nodiscard]] auto receiving(time_point began_by) const -> bool;
    /// Closes the connection if no request has begun.
    auto close_if_idle() -> void;

    auto on_data(std::string_view bytes) -> void override;
    auto on_drained() -> void override;
    auto on_closed(close_reason reason) -> void override;
    auto on_body_memory() -> void override;
    auto on_body_refused(coordination::body_refusal reason) -> void override;

private:
    friend class http_session_server;
    // Counts the body that is arriving. Returns whether it may be read on; if
    // not, reading is paused until there is memory.
    auto admit_body() -> bool;
    // Returns what accounts for the body, which no longer arrives.
    auto leave_bodies() -> std::shared_ptr<coordination::byte_lease>;
    // Discards what a client sends after its refusal, within bounds.
    auto discard(std::size_t bytes) -> void;
    auto continue_if_expected() -> void;
    auto note_output(time_point now) -> void;
    auto refuse_malformed() -> void;
    auto refuse_late_request() -> void;
    [[nodiscard]] auto request_begun() const -> bool;
    auto report_cut(close_reason reason) const -> void;
    // Counts what the client has not taken.
    auto count_output() -> void;
    auto finish_answer() -> void;
    auto begin_linger() -> void;
    auto close() -> void;

    http_session_server& server_;
    std::unique_ptr<tcp_stream> stream_;
    request_reader reader_;
    client_observer* observer_ = nullptr;
    time_point since_;
    // When the first byte of the current request arrived.
    time_point began_at_{};
    time_point delivery_deadline_{};
    bool busy_ = false;
    bool keep_alive_ = true;
    body_framing stream_framing_ = body_framing::chunked;
    // Whether the answer has a head only: the request is a HEAD.
    bool without_body_ = false;
    bool lingering_ = false;
    time_point linger_limit_{};
    const std::uint64_t id_;
    const std::uint32_t peer_address_;
    // The body that is being read, if it is counted.
    std::optional<coordination::body_admission::body_id> body_;
    // Whether it waits for memory.
    bool body_waits_ = false;
    time_point body_waits_since_{};
    duration body_waited_{};
    std::optional<coordination::byte_lease> output_lease_;
    // Bytes that were discarded since the refusal, or that came before the
    // answer to the request before.
    std::size_t discarded_bytes_ = 0;
    // Bytes that the kernel had taken at the last change, and when that was.
    std::uint64_t sent_bytes_ = 0;
    time_point output_since_{};
    // Sizes of the kernel's buffers; 0 if the kernel chooses them.
    const std::size_t receive_buffer_;
    const std::size_t send_buffer_;
};

using request_handler =
    std::function<void(request_message request, http_session& session)>;

/// What a server's clients are.
enum class client_kind { callers, forwarding_daemons, control };

/// The connections of clients that a process can bear, by the descriptors that
/// it may open. The rest is for its own connections and files.
[[nodiscard]] auto max_sessions_of(client_kind kind) -> std::size_t;

/// Settings of a server.
struct http_session_options {
    /// "IP:PORT"; port 0 picks an ephemeral one.
    std::string address_;
    request_limits limits_ = {};
    milliseconds header_timeout_{3000};
    milliseconds idle_timeout_{15'000};
    /// A request that is not whole after this time, or the idle time-out if
    /// that is longer, gets 408 even if bytes of it still come. The longest
    /// timeout of a route.
    milliseconds max_request_time_{20'000};
    /// At this number of connections, a further one takes the place of the one
    /// that has waited longest for a request; it waits if there is none.
    std::size_t max_sessions_ = max_sessions_of(client_kind::callers);
    /// Called when a connection ends during an answer or with bytes unsent, for
    /// logs; none if empty.
    std::function<void(const cut_connection&)> on_cut_ = {};
    /// Memory for bodies of more than some KiB, shared by all sessions; must
    /// outlive the requests. No bound if null.
    coordination::byte_budget* body_budget_ = nullptr;
    /// Divides that memory, for servers that share it; must outlive the server.
    /// With a budget and null the server does so for itself.
    coordination::body_admission* bodies_ = nullptr;
    /// Returns how long a request, which has no body yet, may wait for that.
    std::function<milliseconds(const request_message&)> max_body_wait_ = {};
    /// Refuses a request, which has no body yet, that has waited for longer.
    /// Both are required with a budget.
    request_handler refuse_body_ = {};
    /// Counts the bytes of answers that clients have not taken; not counted if
    /// null. Must outlive the server.
    coordination::byte_budget* output_budget_ = nullptr;
    /// Bytes that are read after a refusal, for each connection.
    std::size_t discarded_bytes_ = std::size_t{4} << 20U;
    /// The kernel's buffers for all connections; 0 for its own choice.
    std::size_t receive_buffer_bytes_ = 0;
    std::size_t send_buffer_bytes_ = 0;
    /// Whether connections wait in the kernel's queue until begin_accepting().
    bool defers_accepting_ = false;
};

/// Counts what was done to clients that exceed bounds.
struct client_counts {
    std::uint64_t bodies_too_slow_ = 0;
    std::uint64_t bodies_without_memory_ = 0;
    std::uint64_t unread_answers_ended_ = 0;
    std::uint64_t discards_ended_ = 0;
    std::uint64_t discarded_bytes_ = 0;
};

/// Accepts connections and owns their sessions.
class http_session_server {
public:
    /// Makes a server and calls listen().
    [[nodiscard]] static auto open(reactor_thread& thread, const clock& time,
                                   http_session_options options,
                                   request_handler handler)
        -> result<std::unique_ptr<http_session_server>>;
    /// Makes a server that does not listen yet. `thread` and `time` must
    /// outlive it.
    http_session_server(reactor_thread& thread, const clock& time,
                        http_session_options options, request_handler handler);
    http_session_server(const http_session_server&) = delete;
    auto operator=(const http_session_server&) -> http_session_server& = delete;
    ~http_session_server();

    /// Starts to listen; fails as tcp_listener::open() does, and may be called
    /// again then. Call before the thread starts or on it.
    [[nodiscard]] auto listen() -> result<void>;
    [[nodiscard]] auto listening() const -> bool {
        return listener_ != nullptr;
    }
    /// Accepts connections from now on; see
    /// http_session_options::defers_accepting_.
    auto begin_accepting() -> void;

    /// Changes the bounds for connections accepted from now on, and the
    /// time-outs of all.
    auto set_limits(const request_limits& limits, milliseconds header_timeout,
                    milliseconds idle_timeout) -> void;
    /// From now on each answer is the last one of its connection.
    auto set_draining() -> void { draining_ = true; }
    /// Closes the connections that wait for a request.
    auto close_idle() -> void;
    /// Closes what has waited too long; call every 100 ms or so.
    auto sweep() -> void;
    /// Ends answers of which clients take nothing, so that `wanted` bytes
    /// become free if there are enough of them.
    auto end_unread_answers(std::size_t wanted) -> void;
    [[nodiscard]] auto counts() const -> const client_counts& {
        return counts_;
    }

    /// "IP:PORT" with the port in use, or that of the options before listen().
    [[nodiscard]] auto address() const -> std::string {
        return listener_ ? listener_->address() : options_.address_;
    }
    [[nodiscard]] auto connections() const -> std::size_t {
        return sessions_.size();
    }
    [[nodiscard]] auto busy() const -> std::size_t;
    /// Returns the number of connections whose clients have not taken all of an
    /// answer that is complete here.
    [[nodiscard]] auto undelivered() const -> std::size_t;
    /// Returns the number of requests that began by then and are incomplete.
    [[nodiscard]] auto receiving(time_point began_by) const -> std::size_t;

private:
    friend class http_session;

    reactor_thread& thread_;
    const clock& clock_;
    http_session_options options_;
    request_handler handler_;
    std::unique_ptr<tcp_listener> listener_;
    // Makes room for one more session.
    auto make_room() -> bool;
    // Returns the session for which a time is longest past; null if none has
    // it.
    [[nodiscard]] auto
    find_longest(std::optional<time_point> (http_session::*since)() const) const
        -> std::shared_ptr<http_session>;

    // Outlive the sessions.
    std::unique_ptr<coordination::body_admission> own_bodies_;
    // Null if bodies are not counted.
    coordination::body_admission* bodies_ = nullptr;
    coordination::discard_budget discards_;
    client_counts counts_;
    // Sizes of the kernel's buffers of all sessions.
    std::size_t receive_buffers_ = 0;
    std::size_t send_buffers_ = 0;
    std::unordered_set<std::shared_ptr<http_session>> sessions_;
    std::uint64_t last_session_id_ = 0;
    bool draining_ = false;
};

} // namespace basilstream::transport
