/// Protobuf codec of the messages between daemons.
///
///     auto bytes = encode(peer_envelope{peer_channel::claims, "d1", payload});
///     auto envelope = decode_envelope(bytes);
///
/// Stateless; safe to call from several threads.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "basilstream/base/error/error.hpp"
#include "basilstream/coordination/membership/membership.hpp"

namespace basilstream::protocol {

/// Which module of the receiving daemon a message is for.
enum class peer_channel : std::uint8_t {
    membership,
    claims,
    quarantine,
    limits,
    opaque,
    relay,
};

/// A message with its channel and its sender's name.
struct peer_envelope {
    peer_channel channel_ = peer_channel::opaque;
    std::string sender_;
    std::string payload_;
};

/// Returns the bytes of an envelope.
[[nodiscard]] auto encode(const peer_envelope& envelope) -> std::string;

/// Returns the envelope, or `invalid_argument` at step peer.
[[nodiscard]] auto decode_envelope(std::string_view bytes)
    -> result<peer_envelope>;

/// Returns the bytes of a membership message (one datagram).
[[nodiscard]] auto encode(const coordination::membership_message& message)
    -> std::string;

/// Returns the message, or `invalid_argument` at step peer.
[[nodiscard]] auto decode_membership(std::string_view bytes)
    -> result<coordination::membership_message>;

/// A fingerprint suspected of crashing backend servers, as it travels in a
/// gossip payload or on the quarantine channel.
struct quarantine_suspicion {
    std::string organisation_;
    std::string model_;
    std::uint64_t fingerprint_high_ = 0;
    std::uint64_t fingerprint_low_ = 0;
    /// Backend server that crashed.
    std::string runner_;
    std::uint32_t crashes_ = 1;
    bool lifted_ = false;
};

/// Returns the bytes of a suspicion.
[[nodiscard]] auto encode(const quarantine_suspicion& suspicion) -> std::string;

/// Returns the suspicion, or `invalid_argument` at step peer.
[[nodiscard]] auto decode_suspicion(std::string_view bytes)
    -> result<quarantine_suspicion>;

} // namespace basilstream::protocol
