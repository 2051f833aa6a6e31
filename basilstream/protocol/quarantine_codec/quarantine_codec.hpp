/// Protobuf codec of what the daemons' quarantines tell each other.
///
///     auto bytes = encode_quarantine(isolation_release{"4f..."});
///     auto message = decode_quarantine(bytes);
///
/// Stateless; safe to call from several threads.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "basilstream/base/error/error.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"

namespace basilstream::protocol {

/// A message between quarantines.
using quarantine_message =
    std::variant<coordination::suspicion, coordination::clearance,
                 coordination::isolation_request,
                 coordination::isolation_answer,
                 coordination::isolation_release>;

/// Returns the bytes of a message.
[[nodiscard]] auto encode_quarantine(const quarantine_message& message)
    -> std::string;

/// Returns the message, or `invalid_argument` at step peer.
[[nodiscard]] auto decode_quarantine(std::string_view bytes)
    -> result<quarantine_message>;

} // namespace basilstream::protocol
