/// Protobuf codec of the control stream's records.
///
///     auto payload = encode_record(entry);
///     auto read = decode_record(payload);   // nothing when torn or foreign
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "basilstream/state/record/record.hpp"

namespace basilstream::protocol {

/// Returns the payload of `entry`. An unknown_record encodes as an envelope
/// without body.
[[nodiscard]] auto encode_record(const state::envelope& entry) -> std::string;

/// Returns the record in `payload`: an unknown_record for a kind, an enum
/// value or a snapshot item that this program does not know; nothing when the
/// bytes are torn, foreign, or lack an id.
[[nodiscard]] auto decode_record(std::string_view payload)
    -> std::optional<state::envelope>;

} // namespace basilstream::protocol
