/// Protobuf codec of the records that divide deployment-wide limits.
///
///     auto bytes = encode_limit(record);
///     auto entry = decode_limit(bytes);
///
/// Stateless; safe to call from several threads.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "basilstream/coordination/limits/limits.hpp"

namespace basilstream::protocol {

/// The division after every record below `at_offset_`.
struct limit_checkpoint {
    std::uint64_t at_offset_ = 0;
    coordination::limit_ledger ledger_;
};

/// Torn, foreign or newer bytes; skipped by every reader alike.
struct unknown_limit_record {};

/// A record of the stream.
using limit_entry = std::variant<unknown_limit_record,
                                 coordination::limit_record, limit_checkpoint>;

/// Returns the payload of a change.
[[nodiscard]] auto encode_limit(const coordination::limit_record& record)
    -> std::string;

/// Returns the payload of a checkpoint.
[[nodiscard]] auto encode_limit(const limit_checkpoint& checkpoint)
    -> std::string;

/// Returns the record.
[[nodiscard]] auto decode_limit(std::string_view bytes) -> limit_entry;

} // namespace basilstream::protocol
