/// Protobuf codec of claim records and claim messages.
///
///     auto bytes = encode(claim_log_record{claim});
///     auto record = decode_claim_record(bytes);
///
/// Stateless; safe to call from several threads.
#pragma once

#include <string>
#include <string_view>

#include "basilstream/base/error/error.hpp"
#include "basilstream/coordination/claims/claims.hpp"

namespace basilstream::protocol {

/// Returns the payload of a log record.
[[nodiscard]] auto encode(const coordination::claim_log_record& record)
    -> std::string;

/// Returns the record; torn or foreign bytes and unknown kinds become
/// `unknown_claim_record`, which every reader skips alike.
[[nodiscard]] auto decode_claim_record(std::string_view bytes)
    -> coordination::claim_log_record;

/// Returns the bytes of a message between daemons.
[[nodiscard]] auto encode(const coordination::claim_message& message)
    -> std::string;

/// Returns the message, or `invalid_argument` at step peer.
[[nodiscard]] auto decode_claim_message(std::string_view bytes)
    -> result<coordination::claim_message>;

} // namespace basilstream::protocol
