/// Conversions between record types and their protobuf messages. A field that
/// holds a value unknown to this program makes `read_body` give an
/// unknown_record.
#pragma once

#include "basilstream/protocol/generated/record.pb.h"
#include "basilstream/state/record/record.hpp"

namespace basilstream::protocol::internal {

namespace wire = ::basilstream::wire::control;

auto write(const state::record_id& from, wire::record_id& to) -> void;
[[nodiscard]] auto read(const wire::record_id& from) -> state::record_id;

auto write(const state::resource& from, wire::resource& to) -> void;
/// Returns false for a kind of resource that is unknown.
[[nodiscard]] auto read(const wire::resource& from, state::resource& to)
    -> bool;

auto write(const state::order_intent& from, wire::order_intent& to) -> void;
/// Returns false for an unknown action or role.
[[nodiscard]] auto read(const wire::order_intent& from, state::order_intent& to)
    -> bool;

auto write(const state::resident_key& from, wire::resident_key& to) -> void;
[[nodiscard]] auto read(const wire::resident_key& from) -> state::resident_key;

auto write(const state::quarantine_mark& from, wire::quarantine_mark& to)
    -> void;
[[nodiscard]] auto read(const wire::quarantine_mark& from)
    -> state::quarantine_mark;

auto write(const state::snapshot_part& from, wire::snapshot_part& to) -> void;
/// Returns false when an item is unknown.
[[nodiscard]] auto read(const wire::snapshot_part& from,
                        state::snapshot_part& to) -> bool;

// One overload per kind sets the envelope's body.
auto write_body(const state::resource_put& from, wire::envelope& to) -> void;
auto write_body(const state::resource_delete& from, wire::envelope& to) -> void;
auto write_body(const state::shard_claim& from, wire::envelope& to) -> void;
auto write_body(const state::shard_renewal& from, wire::envelope& to) -> void;
auto write_body(const state::shard_release& from, wire::envelope& to) -> void;
auto write_body(const state::order_intent& from, wire::envelope& to) -> void;
auto write_body(const state::order_outcome& from, wire::envelope& to) -> void;
auto write_body(const state::runner_boot& from, wire::envelope& to) -> void;
auto write_body(const state::runner_gone& from, wire::envelope& to) -> void;
auto write_body(const state::resident_seen& from, wire::envelope& to) -> void;
auto write_body(const state::quarantine_mark& from, wire::envelope& to) -> void;
auto write_body(const state::quarantine_lift& from, wire::envelope& to) -> void;
auto write_body(const state::format_level& from, wire::envelope& to) -> void;
auto write_body(const state::snapshot_part& from, wire::envelope& to) -> void;
auto write_body(const state::unknown_record& from, wire::envelope& to) -> void;

/// Returns the body of `from`.
[[nodiscard]] auto read_body(const wire::envelope& from) -> state::record;

/// Returns `value` as `Enum` in `to` when the enum has fewer than `count`
/// values and it is one of them.
template <class Enum>
[[nodiscard]] auto read_enum(std::uint32_t value, std::size_t count, Enum& to)
    -> bool {
    to = static_cast<Enum>(value);
    return value < count;
}

/// Copies a repeated field.
template <class Repeated>
[[nodiscard]] auto read_texts(const Repeated& from)
    -> std::vector<std::string> {
    return {from.begin(), from.end()};
}

/// Sets a repeated field.
template <class Repeated>
auto write_texts(const std::vector<std::string>& from, Repeated& to) -> void {
    to.Assign(from.begin(), from.end());
}

} // namespace basilstream::protocol::internal
