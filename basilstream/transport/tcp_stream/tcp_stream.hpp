/// Non-blocking TCP connections and listeners on a reactor thread.
///
///     auto stream = tcp_stream::connect(thread, "10.0.0.2:8080", owner);
///     stream->write("GET / HTTP/1.1\r\n\r\n");   // buffered if need be
///     // owner.on_data(bytes), owner.on_closed(reason) follow
///
/// Everything happens on the reactor's thread; no member is safe elsewhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/transport/reactor/reactor.hpp"

namespace basilstream::transport {

/// Why a connection ended.
enum class close_reason {
    /// The peer has closed its side in order.
    end_of_stream,
    /// The connection was reset.
    reset,
    /// The peer acknowledged nothing within the silence time-out.
    timed_out,
    /// The connection was never established.
    not_connected,
};

inline constexpr auto close_reason_names = name_table<close_reason, 4>{
    {{{close_reason::end_of_stream, "end_of_stream"},
      {close_reason::reset, "reset"},
      {close_reason::timed_out, "timed_out"},
      {close_reason::not_connected, "not_connected"}}}};

/// Receives what happens on a connection. A call may destroy the stream.
class tcp_observer {
public:
    tcp_observer() = default;
    tcp_observer(const tcp_observer&) = delete;
    auto operator=(const tcp_observer&) -> tcp_observer& = delete;
    virtual ~tcp_observer() = default;

    /// Bytes have arrived; the view is valid during the call.
    virtual auto on_data(std::string_view bytes) -> void = 0;
    /// All buffered output has been handed to the kernel.
    virtual auto on_drained() -> void {}
    /// The connection is over; nothing follows.
    virtual auto on_closed(close_reason reason) -> void = 0;
};

/// Bounds of a connection.
struct tcp_options {
    /// A connection whose peer acknowledges nothing for this long is reset
    /// (TCP_USER_TIMEOUT, and keep-alive probes while it is idle). Silent
    /// connections show themselves in no other way. A peer that acknowledges
    /// all but reads nothing may take any time: callers bound it.
    milliseconds silence_timeout_{3000};
};

/// One connection. Destroying it closes the connection without a callback.
class tcp_stream {
public:
    /// Starts to connect to `address` ("IP:PORT"). A failure is reported by
    /// on_closed(not_connected), never during this call.
    [[nodiscard]] static auto
    connect(reactor_thread& thread, const std::string& address,
            tcp_observer& observer, const tcp_options& options = {})
        -> std::unique_ptr<tcp_stream>;
    /// Takes over an accepted socket.
    [[nodiscard]] static auto adopt(reactor_thread& thread, int descriptor,
                                    tcp_observer& observer,
                                    const tcp_options& options = {})
        -> std::unique_ptr<tcp_stream>;

    tcp_stream(const tcp_stream&) = delete;
    auto operator=(const tcp_stream&) -> tcp_stream& = delete;
    ~tcp_stream();

    /// Sends `bytes`, buffering what the kernel does not take.
    auto write(std::string_view bytes) -> void;
    /// Stops or resumes reading, for back-pressure. While reading is paused
    /// the end of the stream is not noticed either.
    auto set_reading(bool wanted) -> void;
    /// Ends the sending side in order, once the buffered output is out.
    auto finish_writing() -> void;
    /// Closes with a reset instead of an orderly end, so that the peer cannot
    /// take the bytes sent so far for a whole message.
    auto reset() -> void;

    /// Bytes that wait for the kernel.
    [[nodiscard]] auto buffered() const -> std::size_t;
    /// Bytes that the kernel has taken so far.
    [[nodiscard]] auto sent() const -> std::uint64_t;
    [[nodiscard]] auto established() const -> bool;

private:
    class handler;
    explicit tcp_stream(std::unique_ptr<handler> made);
    std::unique_ptr<handler> handler_;
};

/// Lets other processes listen at the local port that the connection of a new
/// socket will have, unless connections without this share the port. Otherwise
/// the port is closed to them while the connection is open, and for a minute
/// after its end. Call before connect().
auto share_local_port(int descriptor) -> void;

/// Bounds the kernel's buffers of a connection, which then no longer grow by
/// themselves; 0 leaves a buffer as it is. The kernel takes up to twice as
/// much, for what it stores beside the bytes.
auto bound_buffers(int descriptor, std::size_t receive_bytes,
                   std::size_t send_bytes) -> void;

/// Returns the IPv4 address of a connection's peer as a number; 0 if it is not
/// known.
[[nodiscard]] auto peer_address(int descriptor) -> std::uint32_t;

/// Accepts connections.
class tcp_listener {
public:
    using accept_handler = std::function<void(int descriptor)>;
    /// Returns whether a further connection may be accepted; it is asked again
    /// a moment later if not.
    using room_check = std::function<bool()>;

    /// Listens on `address`, "IP:PORT"; port 0 picks an ephemeral one.
    /// `unavailable` at step settings when the address is taken or not local,
    /// `invalid_argument` if it is no address. Call before the thread starts or
    /// on it.
    [[nodiscard]] static auto
    open(reactor_thread& thread, const std::string& address,
         accept_handler accepted, room_check has_room = {})
        -> result<std::unique_ptr<tcp_listener>>;

    tcp_listener(const tcp_listener&) = delete;
    auto operator=(const tcp_listener&) -> tcp_listener& = delete;
    ~tcp_listener();

    /// "IP:PORT" with the port in use.
    [[nodiscard]] auto address() const -> std::string;
    /// Leaves new connections in the kernel's queue, or accepts them again.
    /// Initially they are accepted.
    auto set_accepting(bool wanted) -> void;
    /// Bounds the segments of connections accepted from now on to those of an
    /// Ethernet, for small buffers: a segment of a loopback interface, 64 KiB,
    /// does not fit into them, and its sender waits 200 ms for each window.
    auto bound_segments() -> void;

private:
    class handler;
    explicit tcp_listener(std::unique_ptr<handler> made);
    std::unique_ptr<handler> handler_;
};

} // namespace basilstream::transport
