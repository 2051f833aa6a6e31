// Conversions of the messages that several kinds of records share.
#include "basilstream/protocol/record_codec/internal/convert.hpp"

namespace basilstream::protocol::internal {

auto write(const state::record_id& from, wire::record_id& to) -> void {
    to.set_high(from.high_);
    to.set_low(from.low_);
}

auto read(const wire::record_id& from) -> state::record_id {
    return {from.high(), from.low()};
}

auto write(const state::resident_key& from, wire::resident_key& to) -> void {
    to.set_model(from.model_);
    to.set_adapter(from.adapter_);
    to.set_version(from.version_);
}

auto read(const wire::resident_key& from) -> state::resident_key {
    return {from.model(), from.adapter(), from.version()};
}

namespace {

auto write_kind(const state::organisation_resource& from, wire::resource& all)
    -> void {
    auto& to = *all.mutable_organisation();
    to.set_name(from.name_);
    write_texts(from.token_hashes_, *to.mutable_token_hashes());
    to.set_weight(from.weight_);
    to.set_move_price(from.move_price_);
    to.mutable_labels()->insert(from.labels_.begin(), from.labels_.end());
}

auto write_kind(const state::model_resource& from, wire::resource& all)
    -> void {
    auto& to = *all.mutable_model();
    to.set_organisation(from.organisation_);
    to.set_name(from.name_);
    write_texts(from.versions_, *to.mutable_versions());
    to.set_priority(from.priority_);
    write_texts(from.zones_, *to.mutable_zones());
    to.set_memory_bytes(from.memory_bytes_);
    to.set_minimum_replicas(from.minimum_replicas_);
}

auto write_kind(const state::adapter_resource& from, wire::resource& all)
    -> void {
    auto& to = *all.mutable_adapter();
    to.set_organisation(from.organisation_);
    to.set_name(from.name_);
    to.set_model(from.model_);
    to.set_priority(from.priority_);
    to.set_memory_bytes(from.memory_bytes_);
    to.set_minimum_replicas(from.minimum_replicas_);
}

auto write_kind(const state::service_resource& from, wire::resource& all)
    -> void {
    auto& to = *all.mutable_service();
    to.set_organisation(from.organisation_);
    to.set_name(from.name_);
    to.set_priority(from.priority_);
    write_texts(from.zones_, *to.mutable_zones());
    write_texts(from.non_idempotent_methods_,
                *to.mutable_non_idempotent_methods());
}

auto read_kind(const wire::organisation& from) -> state::organisation_resource {
    return {from.name(),
            read_texts(from.token_hashes()),
            from.weight(),
            from.move_price(),
            {from.labels().begin(), from.labels().end()}};
}

auto read_kind(const wire::model& from) -> state::model_resource {
    return {from.organisation(),         from.name(),
            read_texts(from.versions()), from.priority(),
            read_texts(from.zones()),    from.memory_bytes(),
            from.minimum_replicas()};
}

auto read_kind(const wire::adapter& from) -> state::adapter_resource {
    return {from.organisation(), from.name(),         from.model(),
            from.priority(),     from.memory_bytes(), from.minimum_replicas()};
}

auto read_kind(const wire::service& from) -> state::service_resource {
    return {from.organisation(), from.name(), from.priority(),
            read_texts(from.zones()),
            read_texts(from.non_idempotent_methods())};
}

} // namespace

auto write(const state::resource& from, wire::resource& to) -> void {
    std::visit([&](const auto& value) { write_kind(value, to); }, from);
}

auto read(const wire::resource& from, state::resource& to) -> bool {
    switch (from.kind_case()) {
    case wire::resource::kOrganisation:
        to = read_kind(from.organisation());
        return true;
    case wire::resource::kModel:
        to = read_kind(from.model());
        return true;
    case wire::resource::kAdapter:
        to = read_kind(from.adapter());
        return true;
    case wire::resource::kService:
        to = read_kind(from.service());
        return true;
    case wire::resource::KIND_NOT_SET:
        break;
    }
    return false;
}

auto write(const state::order_intent& from, wire::order_intent& to) -> void {
    to.set_shard(from.shard_);
    to.set_epoch(from.epoch_);
    to.set_runner(from.runner_);
    to.set_boot_id(from.boot_id_);
    to.set_action(static_cast<std::uint32_t>(from.action_));
    write(from.resident_, *to.mutable_resident());
    to.set_bytes(from.bytes_);
    to.set_role(static_cast<std::uint32_t>(from.role_));
}

auto read(const wire::order_intent& from, state::order_intent& to) -> bool {
    to.shard_ = from.shard();
    to.epoch_ = from.epoch();
    to.runner_ = from.runner();
    to.boot_id_ = from.boot_id();
    to.resident_ = read(from.resident());
    to.bytes_ = from.bytes();
    return read_enum(from.action(), state::order_action_names.rows_.size(),
                     to.action_) &&
           read_enum(from.role(), state::runner_role_names.rows_.size(),
                     to.role_);
}

auto write(const state::quarantine_mark& from, wire::quarantine_mark& to)
    -> void {
    to.set_fingerprint(from.fingerprint_);
    to.set_organisation(from.organisation_);
    to.set_model(from.model_);
    to.set_detail(from.detail_);
    to.set_expires_at_ms(from.expires_at_ms_);
}

auto read(const wire::quarantine_mark& from) -> state::quarantine_mark {
    return {from.fingerprint(), from.organisation(), from.model(),
            from.detail(), from.expires_at_ms()};
}

} // namespace basilstream::protocol::internal
