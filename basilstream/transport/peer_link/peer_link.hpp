/// Messages between daemons over ZeroMQ: one ROUTER socket that receives, and
/// one that sends and has a connection to each peer, both on one thread.
/// Delivery is best effort: a message to a peer that is slow or gone is
/// dropped, as the modules above repeat what matters.
///
///     auto link = peer_link::open({.address_ = "127.0.0.1", .port_ = 0},
///         [](std::string from, std::string bytes) { ... });
///     (*link)->send("127.0.0.2:7100", bytes);
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"

namespace basilstream::transport {

/// Receives a message: the sender's own peer address and the bytes. Called on
/// the link's thread; must not block.
using peer_handler =
    std::function<void(std::string from_address, std::string bytes)>;

/// Address and bounds of a link.
struct peer_link_options {
    std::string address_ = "127.0.0.1";
    /// 0 picks an ephemeral port.
    std::uint16_t port_ = 0;
    /// The link takes the first free port from `port_` to this one; only
    /// `port_` if this one is lower.
    std::uint16_t last_port_ = 0;
    /// Messages that may wait for one peer; further ones are dropped.
    int peer_queue_ = 256;
    /// Messages from other threads that may wait; further ones are dropped.
    std::size_t ring_capacity_ = 8192;
    std::size_t max_message_bytes_ = std::size_t{1} << 20U;
    /// A peer not written to for this long loses its connection.
    seconds idle_timeout_{120};
    /// A connection that shows no sign of life for this long is replaced.
    milliseconds heartbeat_timeout_{3000};
};

/// Counters of a link.
struct peer_link_statistics {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t messages_received_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t dropped_ = 0;
};

/// The link. All members are safe to call from any thread.
class peer_link {
public:
    /// Opens the link; `unavailable` at step peer when its ports are taken.
    [[nodiscard]] static auto open(const peer_link_options& options,
                                   peer_handler handler)
        -> result<std::unique_ptr<peer_link>>;

    peer_link() = default;
    peer_link(const peer_link&) = delete;
    auto operator=(const peer_link&) -> peer_link& = delete;
    virtual ~peer_link() = default;

    /// "IP:PORT" under which other daemons reach this link.
    [[nodiscard]] virtual auto address() const -> const std::string& = 0;
    /// Sends `bytes` to the daemon at `address`; false when dropped at once.
    virtual auto send(std::string address, std::string bytes) -> bool = 0;
    [[nodiscard]] virtual auto statistics() const -> peer_link_statistics = 0;
};

} // namespace basilstream::transport
