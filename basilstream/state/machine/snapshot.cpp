// Conversion of the state to snapshot items and back, and its digest.
#include <algorithm>
#include <memory>

#include <xxhash.h>

#include "basilstream/state/machine/machine.hpp"

namespace basilstream::state {
namespace {

constexpr auto ids_per_item = std::size_t{1024};

// Feeds values to XXH3 in a form that no two different states share: lengths
// go before variable parts.
class digest_writer {
public:
    digest_writer() : hash_{XXH3_createState()} {
        XXH3_64bits_reset(hash_.get());
    }

    auto add(std::uint64_t number) -> void {
        XXH3_64bits_update(hash_.get(), &number, sizeof(number));
    }
    auto add(std::string_view text) -> void {
        add(text.size());
        XXH3_64bits_update(hash_.get(), text.data(), text.size());
    }
    auto add(double number) -> void {
        XXH3_64bits_update(hash_.get(), &number, sizeof(number));
    }
    auto add(const record_id& id) -> void {
        add(id.high_);
        add(id.low_);
    }
    auto add(const std::vector<std::string>& texts) -> void {
        add(texts.size());
        for (const auto& text : texts) {
            add(std::string_view{text});
        }
    }
    auto add(const resident_key& key) -> void {
        add_all(key.model_, key.adapter_, key.version_);
    }

    template <class... Values>
    auto add_all(const Values&... values) -> void {
        (add_one(values), ...);
    }

    [[nodiscard]] auto value() const -> std::uint64_t {
        return XXH3_64bits_digest(hash_.get());
    }

private:
    template <class Value>
    auto add_one(const Value& value) -> void {
        if constexpr (std::is_enum_v<Value> || std::is_integral_v<Value>) {
            add(static_cast<std::uint64_t>(value));
        } else if constexpr (std::is_same_v<Value, std::string>) {
            add(std::string_view{value});
        } else {
            add(value);
        }
    }

    struct state_deleter {
        auto operator()(XXH3_state_t* state) const -> void {
            XXH3_freeState(state);
        }
    };
    std::unique_ptr<XXH3_state_t, state_deleter> hash_;
};

auto add_item(digest_writer& out, const organisation_resource& value) -> void {
    out.add_all(value.name_, value.token_hashes_, value.weight_,
                value.move_price_, value.labels_.size());
    for (const auto& [key, text] : value.labels_) {
        out.add_all(key, text);
    }
}

auto add_item(digest_writer& out, const model_resource& value) -> void {
    out.add_all(value.organisation_, value.name_, value.versions_,
                value.priority_, value.zones_, value.memory_bytes_,
                value.minimum_replicas_);
}

auto add_item(digest_writer& out, const adapter_resource& value) -> void {
    out.add_all(value.organisation_, value.name_, value.model_, value.priority_,
                value.memory_bytes_, value.minimum_replicas_);
}

auto add_item(digest_writer& out, const service_resource& value) -> void {
    out.add_all(value.organisation_, value.name_, value.priority_, value.zones_,
                value.non_idempotent_methods_);
}

auto add_item(digest_writer& out, const resource_item& item) -> void {
    out.add_all(item.resource_.index(), item.generation_);
    std::visit([&](const auto& value) { add_item(out, value); },
               item.resource_);
}

auto add_item(digest_writer& out, const shard_item& item) -> void {
    out.add_all(item.shard_, item.epoch_, item.owner_);
}

auto add_item(digest_writer& out, const runner_item& item) -> void {
    out.add_all(item.name_, item.shard_, item.address_, item.zone_,
                item.boot_id_, item.memory_bytes_, item.role_, item.gone_,
                item.boot_offset_, item.residents_.size());
    for (const auto& entry : item.residents_) {
        out.add_all(entry.key_, entry.bytes_, entry.state_, entry.load_order_);
    }
}

auto add_item(digest_writer& out, const order_item& item) -> void {
    const auto& intent = item.intent_;
    out.add_all(item.id_, intent.shard_, intent.epoch_, intent.runner_,
                intent.boot_id_, intent.action_, intent.resident_,
                intent.bytes_, intent.role_);
}

auto add_item(digest_writer& out, const quarantine_item& item) -> void {
    const auto& mark = item.mark_;
    out.add_all(mark.fingerprint_, mark.organisation_, mark.model_,
                mark.detail_, mark.expires_at_ms_);
}

auto add_item(digest_writer& out, const recent_ids_item& item) -> void {
    out.add(item.ids_.size());
    for (const auto offset : item.offsets_) {
        out.add(offset);
    }
    for (const auto& id : item.ids_) {
        out.add(id);
    }
}

auto add_item(digest_writer& out, const format_item& item) -> void {
    out.add_all(item.level_);
}

auto runner_item_of(const runner_state& runner) -> runner_item {
    return {runner.name_,     runner.shard_,   runner.address_,
            runner.zone_,     runner.boot_id_, runner.memory_bytes_,
            runner.role_,     runner.gone_,    runner.boot_offset_,
            runner.residents_};
}

template <class Pointers, class Order>
auto sorted(Pointers pointers, Order order) -> Pointers {
    std::sort(pointers.begin(), pointers.end(), order);
    return pointers;
}

} // namespace

auto machine::resources() const -> std::vector<const resource_state*> {
    auto keyed =
        std::vector<std::pair<const resource_key*, const resource_state*>>{};
    keyed.reserve(resources_.size());
    for (const auto& [key, value] : resources_) {
        keyed.emplace_back(&key, &value);
    }
    std::sort(keyed.begin(), keyed.end(),
              [](const auto& a, const auto& b) { return *a.first < *b.first; });
    auto all = std::vector<const resource_state*>{};
    all.reserve(keyed.size());
    for (const auto& entry : keyed) {
        all.push_back(entry.second);
    }
    return all;
}

auto machine::runners() const -> std::vector<const runner_state*> {
    auto all = std::vector<const runner_state*>{};
    all.reserve(runners_.size());
    for (const auto& [name, runner] : runners_) {
        if (!runner.gone_) {
            all.push_back(&runner);
        }
    }
    return sorted(std::move(all), [](const auto* a, const auto* b) {
        return a->name_ < b->name_;
    });
}

auto machine::items() const -> std::vector<snapshot_item> {
    auto all = std::vector<snapshot_item>{};
    all.emplace_back(format_item{level_});
    for (const auto* entry : resources()) {
        all.emplace_back(resource_item{entry->resource_, entry->generation_});
    }
    for (const auto& [name, shard] : shards_) {
        all.emplace_back(shard_item{name, shard.epoch_, shard.owner_});
    }
    for (const auto* runner : runners()) {
        all.emplace_back(runner_item_of(*runner));
    }
    for (const auto& name : gone_) {
        all.emplace_back(runner_item_of(runners_.find(name)->second));
    }
    auto orders = std::vector<const open_order*>{};
    for (const auto& [id, order] : orders_) {
        orders.push_back(&order);
    }
    for (const auto* order :
         sorted(std::move(orders),
                [](const auto*a, const auto*b) { return a->id_ < b->id_; })) {
        all.emplace_back(order_item{order->id_, order->intent_});
    }
    for (const auto& [fingerprint, mark] : quarantines_) {
        all.emplace_back(quarantine_item{mark});
    }
    for (auto at = std::size_t{0}; at < recent_.size(); at += ids_per_item) {
        auto chunk = recent_ids_item{};
        const auto end = std::min(recent_.size(), at + ids_per_item);
        for (auto i = at; i < end; ++i) {
            chunk.offsets_.push_back(recent_[i].first);
            chunk.ids_.push_back(recent_[i].second);
        }
        all.emplace_back(std::move(chunk));
    }
    return all;
}

auto machine::digest() const -> std::uint64_t {
    auto out = digest_writer{};
    out.add(next_);
    for (const auto& item : items()) {
        out.add(item.index());
        std::visit([&](const auto& value) { add_item(out, value); }, item);
    }
    return out.value();
}

auto machine::restore(log_offset at_offset,
                      const std::vector<snapshot_item>& items,
                      std::uint64_t digest, machine_guards guards,
                      log_offset window) -> result<machine> {
    auto restored = machine{guards, window};
    restored.next_ = at_offset;
    for (const auto& item : items) {
        if (!restored.restore_item(item)) {
            return tl::unexpected(error{error_code::internal,
                                        step::state,
                                        {},
                                        "snapshot contradicts itself"});
        }
    }
    if (restored.digest() != digest) {
        return tl::unexpected(error{error_code::internal,
                                    step::state,
                                    {},
                                    "snapshot does not match its digest"});
    }
    return restored;
}

auto machine::restore_item(const snapshot_item& item) -> bool {
    if (const auto* format = std::get_if<format_item>(&item)) {
        level_ = format->level_;
    } else if (const auto* value = std::get_if<resource_item>(&item)) {
        resources_.insert_or_assign(
            key_of(value->resource_),
            resource_state{value->resource_, value->generation_});
    } else if (const auto* shard = std::get_if<shard_item>(&item)) {
        shards_[shard->shard_] = {shard->epoch_, shard->owner_};
    } else if (const auto* mark = std::get_if<quarantine_item>(&item)) {
        quarantines_.insert_or_assign(mark->mark_.fingerprint_, mark->mark_);
    } else if (const auto* order = std::get_if<order_item>(&item)) {
        const auto found = runners_.find(order->intent_.runner_);
        if (found == runners_.end()) {
            return false;
        }
        orders_.insert_or_assign(order->id_,
                                 open_order{order->id_, order->intent_});
        found->second.open_orders_.push_back(order->id_);
    } else if (const auto* ids = std::get_if<recent_ids_item>(&item)) {
        if (ids->ids_.size() != ids->offsets_.size()) {
            return false;
        }
        for (auto i = std::size_t{0}; i < ids->ids_.size(); ++i) {
            remember(ids->offsets_[i], ids->ids_[i]);
        }
    } else if (const auto* entry = std::get_if<runner_item>(&item)) {
        auto& runner = runners_[entry->name_];
        runner.name_ = entry->name_;
        runner.shard_ = entry->shard_;
        runner.address_ = entry->address_;
        runner.zone_ = entry->zone_;
        runner.boot_id_ = entry->boot_id_;
        runner.memory_bytes_ = entry->memory_bytes_;
        runner.role_ = entry->role_;
        runner.gone_ = entry->gone_;
        runner.boot_offset_ = entry->boot_offset_;
        for (const auto& held : entry->residents_) {
            add_resident(runner, held);
        }
        if (entry->gone_) {
            gone_.push_back(entry->name_);
        }
    }
    return true;
}

} // namespace basilstream::state
