/// Protobuf codec of the messages between the quarantines of the daemons, and
/// of the records in which they share them through a store.
///
///     auto bytes = encode_quarantine(isolation_release{"4f..."});
///     auto message = decode_quarantine(bytes);
///     auto record = encode_quarantine(quarantine_record{now, {mark}});
///
/// Stateless; safe to call from several threads.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"

namespace basilstream::protocol {

/// A message between quarantines.
using quarantine_message = std::variant<
    coordination::suspicion, coordination::clearance,
    coordination::isolation_request, coordination::isolation_answer,
    coordination::isolation_release, coordination::quarantine_mark,
    coordination::prompt_crash, coordination::prompt_crash_refutation,
    coordination::prompt_part_clearance, coordination::prompt_part_mark,
    coordination::prompt_part_release>;

/// Messages written to the shared store together.
struct quarantine_record {
    /// Unix time of the writer. The ages in the messages are relative to it.
    milliseconds written_at_{0};
    std::vector<quarantine_message> messages_;
};

/// Returns the bytes of a message.
[[nodiscard]] auto encode_quarantine(const quarantine_message& message)
    -> std::string;

/// Returns the message, or `invalid_argument` at step peer.
[[nodiscard]] auto decode_quarantine(std::string_view bytes)
    -> result<quarantine_message>;

/// Returns the bytes of a record.
[[nodiscard]] auto encode_quarantine(const quarantine_record& record)
    -> std::string;

/// Returns the record, or `invalid_argument` at step log. Messages of unknown
/// kinds are left out.
[[nodiscard]] auto decode_quarantine_record(std::string_view bytes)
    -> result<quarantine_record>;

} // namespace basilstream::protocol
