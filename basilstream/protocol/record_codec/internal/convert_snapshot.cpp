// Conversions of snapshot parts.
#include "basilstream/protocol/record_codec/internal/convert.hpp"

namespace basilstream::protocol::internal {
namespace {

auto write_item(const state::resource_item& from, wire::snapshot_item& all)
    -> void {
    auto& to = *all.mutable_resource();
    write(from.resource_, *to.mutable_resource());
    to.set_generation(from.generation_);
}

auto write_item(const state::shard_item& from, wire::snapshot_item& all)
    -> void {
    auto& to = *all.mutable_shard();
    to.set_shard(from.shard_);
    to.set_epoch(from.epoch_);
    to.set_owner(from.owner_);
}

auto write_resident(const state::resident& from, wire::resident& to) -> void {
    write(from.key_, *to.mutable_key());
    to.set_bytes(from.bytes_);
    to.set_state(static_cast<std::uint32_t>(from.state_));
    write(from.load_order_, *to.mutable_load_order());
}

auto write_item(const state::runner_item& from, wire::snapshot_item& all)
    -> void {
    auto& to = *all.mutable_runner();
    to.set_name(from.name_);
    to.set_shard(from.shard_);
    to.set_address(from.address_);
    to.set_zone(from.zone_);
    to.set_boot_id(from.boot_id_);
    to.set_memory_bytes(from.memory_bytes_);
    to.set_role(static_cast<std::uint32_t>(from.role_));
    to.set_gone(from.gone_);
    to.set_boot_offset(from.boot_offset_);
    for (const auto& entry : from.residents_) {
        write_resident(entry, *to.add_residents());
    }
}

auto write_item(const state::order_item& from, wire::snapshot_item& all)
    -> void {
    auto& to = *all.mutable_order();
    write(from.id_, *to.mutable_id());
    write(from.intent_, *to.mutable_intent());
}

auto write_item(const state::quarantine_item& from, wire::snapshot_item& all)
    -> void {
    write(from.mark_, *all.mutable_quarantine());
}

auto write_item(const state::recent_ids_item& from, wire::snapshot_item& all)
    -> void {
    auto& to = *all.mutable_recent_ids();
    to.mutable_offsets()->Assign(from.offsets_.begin(), from.offsets_.end());
    for (const auto& id : from.ids_) {
        to.add_ids(id.high_);
        to.add_ids(id.low_);
    }
}

auto write_item(const state::format_item& from, wire::snapshot_item& all)
    -> void {
    all.set_format_level(from.level_);
}

auto read_item(const wire::resource_item& from, state::snapshot_item& to)
    -> bool {
    auto item = state::resource_item{};
    item.generation_ = from.generation();
    const auto known = read(from.resource(), item.resource_);
    to = std::move(item);
    return known;
}

auto read_item(const wire::shard_item& from, state::snapshot_item& to) -> bool {
    to = state::shard_item{from.shard(), from.epoch(), from.owner()};
    return true;
}

auto read_resident(const wire::resident& from, state::resident& to) -> bool {
    to.key_ = read(from.key());
    to.bytes_ = from.bytes();
    to.load_order_ = read(from.load_order());
    return read_enum(from.state(), state::resident_state_names.rows_.size(),
                     to.state_);
}

auto read_item(const wire::runner_item& from, state::snapshot_item& to)
    -> bool {
    auto item = state::runner_item{};
    item.name_ = from.name();
    item.shard_ = from.shard();
    item.address_ = from.address();
    item.zone_ = from.zone();
    item.boot_id_ = from.boot_id();
    item.memory_bytes_ = from.memory_bytes();
    item.gone_ = from.gone();
    item.boot_offset_ = from.boot_offset();
    auto known = read_enum(from.role(), state::runner_role_names.rows_.size(),
                           item.role_);
    for (const auto& entry : from.residents()) {
        known = read_resident(entry, item.residents_.emplace_back()) && known;
    }
    to = std::move(item);
    return known;
}

auto read_item(const wire::order_item& from, state::snapshot_item& to) -> bool {
    auto item = state::order_item{};
    item.id_ = read(from.id());
    const auto known = read(from.intent(), item.intent_);
    to = std::move(item);
    return known;
}

auto read_item(const wire::recent_ids_item& from, state::snapshot_item& to)
    -> bool {
    auto item = state::recent_ids_item{};
    item.offsets_.assign(from.offsets().begin(), from.offsets().end());
    for (auto i = 0; i + 1 < from.ids_size(); i += 2) {
        item.ids_.push_back({from.ids(i), from.ids(i + 1)});
    }
    to = std::move(item);
    return true;
}

auto read_any(const wire::snapshot_item& from, state::snapshot_item& to)
    -> bool {
    switch (from.kind_case()) {
    case wire::snapshot_item::kResource:
        return read_item(from.resource(), to);
    case wire::snapshot_item::kShard:
        return read_item(from.shard(), to);
    case wire::snapshot_item::kRunner:
        return read_item(from.runner(), to);
    case wire::snapshot_item::kOrder:
        return read_item(from.order(), to);
    case wire::snapshot_item::kQuarantine:
        to = state::quarantine_item{read(from.quarantine())};
        return true;
    case wire::snapshot_item::kRecentIds:
        return read_item(from.recent_ids(), to);
    case wire::snapshot_item::kFormatLevel:
        to = state::format_item{from.format_level()};
        return true;
    case wire::snapshot_item::KIND_NOT_SET:
        break;
    }
    return false;
}

} // namespace

auto write(const state::snapshot_part& from, wire::snapshot_part& to) -> void {
    write(from.snapshot_, *to.mutable_snapshot());
    to.set_at_offset(from.at_offset_);
    to.set_part(from.part_);
    to.set_parts(from.parts_);
    to.set_digest(from.digest_);
    for (const auto& item : from.items_) {
        auto& out = *to.add_items();
        std::visit([&](const auto& value) { write_item(value, out); }, item);
    }
}

auto read(const wire::snapshot_part& from, state::snapshot_part& to) -> bool {
    to.snapshot_ = read(from.snapshot());
    to.at_offset_ = from.at_offset();
    to.part_ = from.part();
    to.parts_ = from.parts();
    to.digest_ = from.digest();
    to.items_.resize(static_cast<std::size_t>(from.items_size()));
    auto known = true;
    for (auto i = 0; i < from.items_size(); ++i) {
        known =
            read_any(from.items(i), to.items_[static_cast<std::size_t>(i)]) &&
            known;
    }
    return known;
}

} // namespace basilstream::protocol::internal
