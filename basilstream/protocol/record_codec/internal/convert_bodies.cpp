// Conversions of the record kinds.
#include "basilstream/protocol/record_codec/internal/convert.hpp"

namespace basilstream::protocol::internal {

auto write_body(const state::resource_put& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_resource_put();
    write(from.resource_, *body.mutable_resource());
    body.set_expected_generation(from.expected_generation_);
}

auto write_body(const state::resource_delete& from, wire::envelope& to)
    -> void {
    auto& body = *to.mutable_resource_delete();
    body.set_kind(static_cast<std::uint32_t>(from.key_.kind_));
    body.set_name(from.key_.name_);
    body.set_expected_generation(from.expected_generation_);
}

auto write_body(const state::shard_claim& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_shard_claim();
    body.set_shard(from.shard_);
    body.set_daemon(from.daemon_);
    body.set_expected_epoch(from.expected_epoch_);
}

auto write_body(const state::shard_renewal& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_shard_renewal();
    body.set_shard(from.shard_);
    body.set_epoch(from.epoch_);
}

auto write_body(const state::shard_release& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_shard_release();
    body.set_shard(from.shard_);
    body.set_epoch(from.epoch_);
}

auto write_body(const state::order_intent& from, wire::envelope& to) -> void {
    write(from, *to.mutable_order_intent());
}

auto write_body(const state::order_outcome& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_order_outcome();
    body.set_shard(from.shard_);
    body.set_epoch(from.epoch_);
    write(from.order_, *body.mutable_order());
    body.set_result(static_cast<std::uint32_t>(from.result_));
    body.set_detail(from.detail_);
}

auto write_body(const state::runner_boot& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_runner_boot();
    body.set_shard(from.shard_);
    body.set_epoch(from.epoch_);
    body.set_runner(from.runner_);
    body.set_address(from.address_);
    body.set_zone(from.zone_);
    body.set_boot_id(from.boot_id_);
    body.set_previous_boot_id(from.previous_boot_id_);
    body.set_memory_bytes(from.memory_bytes_);
}

auto write_body(const state::runner_gone& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_runner_gone();
    body.set_shard(from.shard_);
    body.set_epoch(from.epoch_);
    body.set_runner(from.runner_);
    body.set_boot_id(from.boot_id_);
}

auto write_body(const state::resident_seen& from, wire::envelope& to) -> void {
    auto& body = *to.mutable_resident_seen();
    body.set_shard(from.shard_);
    body.set_epoch(from.epoch_);
    body.set_runner(from.runner_);
    body.set_boot_id(from.boot_id_);
    write(from.resident_, *body.mutable_resident());
    body.set_bytes(from.bytes_);
}

auto write_body(const state::quarantine_mark& from, wire::envelope& to)
    -> void {
    write(from, *to.mutable_quarantine_mark());
}

auto write_body(const state::quarantine_lift& from, wire::envelope& to)
    -> void {
    to.mutable_quarantine_lift()->set_fingerprint(from.fingerprint_);
}

auto write_body(const state::format_level& from, wire::envelope& to) -> void {
    to.mutable_format_level()->set_level(from.level_);
}

auto write_body(const state::snapshot_part& from, wire::envelope& to) -> void {
    write(from, *to.mutable_snapshot_part());
}

auto write_body(const state::unknown_record& /*from*/, wire::envelope& /*to*/)
    -> void {}

namespace {

// Returns `body` when `known`, an unknown_record of that kind otherwise.
auto known_or_skipped(bool known, state::record body,
                      const wire::envelope& from) -> state::record {
    if (known) {
        return body;
    }
    return state::unknown_record{static_cast<std::uint32_t>(from.body_case())};
}

auto read_put(const wire::envelope& from) -> state::record {
    auto body = state::resource_put{};
    body.expected_generation_ = from.resource_put().expected_generation();
    const auto known = read(from.resource_put().resource(), body.resource_);
    return known_or_skipped(known, std::move(body), from);
}

auto read_delete(const wire::envelope& from) -> state::record {
    const auto& message = from.resource_delete();
    auto body = state::resource_delete{};
    body.key_.name_ = message.name();
    body.expected_generation_ = message.expected_generation();
    const auto known =
        read_enum(message.kind(), state::resource_kind_names.rows_.size(),
                  body.key_.kind_);
    return known_or_skipped(known, std::move(body), from);
}

auto read_intent(const wire::envelope& from) -> state::record {
    auto body = state::order_intent{};
    const auto known = read(from.order_intent(), body);
    return known_or_skipped(known, std::move(body), from);
}

auto read_outcome(const wire::envelope& from) -> state::record {
    const auto& message = from.order_outcome();
    auto body = state::order_outcome{
        message.shard(), message.epoch(), read(message.order()),
        state::order_result::done, message.detail()};
    const auto known = read_enum(
        message.result(), state::order_result_names.rows_.size(), body.result_);
    return known_or_skipped(known, std::move(body), from);
}

auto read_boot(const wire::runner_boot& from) -> state::record {
    return state::runner_boot{from.shard(),
                              from.epoch(),
                              from.runner(),
                              from.address(),
                              from.zone(),
                              from.boot_id(),
                              from.previous_boot_id(),
                              from.memory_bytes()};
}

auto read_seen(const wire::resident_seen& from) -> state::record {
    return state::resident_seen{from.shard(),          from.epoch(),
                                from.runner(),         from.boot_id(),
                                read(from.resident()), from.bytes()};
}

auto read_part(const wire::envelope& from) -> state::record {
    auto body = state::snapshot_part{};
    const auto known = read(from.snapshot_part(), body);
    return known_or_skipped(known, std::move(body), from);
}

// Kinds without anything that could be unknown.
auto read_plain(const wire::envelope& from) -> state::record {
    switch (from.body_case()) {
    case wire::envelope::kShardClaim:
        return state::shard_claim{from.shard_claim().shard(),
                                  from.shard_claim().daemon(),
                                  from.shard_claim().expected_epoch()};
    case wire::envelope::kShardRenewal:
        return state::shard_renewal{from.shard_renewal().shard(),
                                    from.shard_renewal().epoch()};
    case wire::envelope::kShardRelease:
        return state::shard_release{from.shard_release().shard(),
                                    from.shard_release().epoch()};
    case wire::envelope::kRunnerGone:
        return state::runner_gone{
            from.runner_gone().shard(), from.runner_gone().epoch(),
            from.runner_gone().runner(), from.runner_gone().boot_id()};
    case wire::envelope::kQuarantineMark:
        return read(from.quarantine_mark());
    case wire::envelope::kQuarantineLift:
        return state::quarantine_lift{from.quarantine_lift().fingerprint()};
    case wire::envelope::kFormatLevel:
        return state::format_level{from.format_level().level()};
    default:
        return state::unknown_record{
            static_cast<std::uint32_t>(from.body_case())};
    }
}

} // namespace

auto read_body(const wire::envelope& from) -> state::record {
    switch (from.body_case()) {
    case wire::envelope::kResourcePut:
        return read_put(from);
    case wire::envelope::kResourceDelete:
        return read_delete(from);
    case wire::envelope::kOrderIntent:
        return read_intent(from);
    case wire::envelope::kOrderOutcome:
        return read_outcome(from);
    case wire::envelope::kRunnerBoot:
        return read_boot(from.runner_boot());
    case wire::envelope::kResidentSeen:
        return read_seen(from.resident_seen());
    case wire::envelope::kSnapshotPart:
        return read_part(from);
    default:
        return read_plain(from);
    }
}

} // namespace basilstream::protocol::internal
