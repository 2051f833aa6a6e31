#include "basilstream/state/machine/machine.hpp"

#include <algorithm>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::state {
namespace {

auto contains(const std::vector<std::string>& texts, std::string_view text)
    -> bool {
    return std::find(texts.begin(), texts.end(), text) != texts.end();
}

// Returns the key of the resource that `value` depends on, if any.
auto required_key(const resource& value) -> std::optional<resource_key> {
    if (const auto* model = std::get_if<model_resource>(&value)) {
        return resource_key{resource_kind::organisation, model->organisation_};
    }
    if (const auto* adapter = std::get_if<adapter_resource>(&value)) {
        return resource_key{
            resource_kind::model,
            qualified_name(adapter->organisation_, adapter->model_)};
    }
    if (const auto* service = std::get_if<service_resource>(&value)) {
        return resource_key{resource_kind::organisation,
                            service->organisation_};
    }
    return std::nullopt;
}

} // namespace

auto runner_state::find(const resident_key& key) const -> const resident* {
    const auto found =
        std::find_if(residents_.begin(), residents_.end(),
                     [&](const auto& entry) { return entry.key_ == key; });
    return found == residents_.end() ? nullptr : &*found;
}

auto runner_state::find(const resident_key& key) -> resident* {
    const auto found =
        std::find_if(residents_.begin(), residents_.end(),
                     [&](const auto& entry) { return entry.key_ == key; });
    return found == residents_.end() ? nullptr : &*found;
}

auto runner_state::free_bytes() const -> std::uint64_t {
    const auto used = committed_bytes_ + foreign_bytes_;
    return used >= memory_bytes_ ? 0 : memory_bytes_ - used;
}

machine::machine(machine_guards guards, log_offset window)
    : guards_{guards}, window_{window} {}

auto machine::unsupported() const -> bool {
    return level_ > supported_format_level;
}

auto machine::apply(log_offset offset, const envelope& entry) -> apply_outcome {
    if (unsupported()) {
        return {rejection::format_too_new};
    }
    if (!holds(offset == next_, "offsets_follow", to_string(entry.id_))) {
        return {rejection::duplicate_id};
    }
    forget_old_ids(offset);
    const auto reason = judge(offset, entry);
    if (reason != rejection::expired) {
        remember(offset, entry.id_);
    }
    next_ = offset + 1;
    ++counters_.applied_;
    ++counters_.rejected_.at(static_cast<std::size_t>(reason));
    return {reason};
}

auto machine::skip(log_offset offset) -> void {
    if (!unsupported() && holds(offset == next_, "offsets_follow")) {
        forget_old_ids(offset);
        next_ = offset + 1;
    }
}

auto machine::rebase(log_offset offset) -> void {
    next_ = std::max(next_, offset);
}

auto machine::judge(log_offset offset, const envelope& entry) -> rejection {
    if (entry.written_at_ > offset) {
        return rejection::malformed;
    }
    if (offset - entry.written_at_ > window_) {
        return rejection::expired;
    }
    if (guards_.duplicate_check_ && is_duplicate(entry.id_)) {
        return rejection::duplicate_id;
    }
    const auto reason = std::visit(
        [&](const auto& body) { return accept(offset, entry.id_, body); },
        entry.body_);
    if (reason == rejection::none) {
        std::ignore = holds(!is_duplicate(entry.id_),
                            "record_takes_effect_once", to_string(entry.id_));
        std::ignore = holds(owner_only(entry.body_), "one_valid_owner",
                            to_string(entry.id_));
    }
    return reason;
}

auto machine::is_duplicate(const record_id& id) const -> bool {
    return recent_ids_.contains(id);
}

auto machine::remember(log_offset offset, const record_id& id) -> void {
    if (recent_ids_.insert(id).second) {
        recent_.emplace_back(offset, id);
    }
}

auto machine::forget_old_ids(log_offset offset) -> void {
    while (!recent_.empty() && offset - recent_.front().first > window_) {
        recent_ids_.erase(recent_.front().second);
        recent_.pop_front();
    }
}

auto machine::check_owner(std::string_view shard, epoch held) const
    -> rejection {
    if (!guards_.epoch_check_) {
        return rejection::none;
    }
    const auto found = shards_.find(shard);
    const auto valid = found != shards_.end() &&
                       !found->second.owner_.empty() &&
                       found->second.epoch_ == held;
    return valid ? rejection::none : rejection::stale_epoch;
}

// The property that check_owner() is to give, stated apart from it.
auto machine::owner_only(const record& body) const -> bool {
    return std::visit(
        [&](const auto& typed) {
            if constexpr (
                requires { typed.epoch_; } && !requires { typed.level_; }) {
                using body_type = std::decay_t<decltype(typed)>;
                const auto seen = find_shard(typed.shard_);
                return seen.epoch_ == typed.epoch_ &&
                       (std::is_same_v<body_type, shard_release> ||
                        !seen.owner_.empty());
            } else {
                return true;
            }
        },
        body);
}

auto machine::accept(log_offset offset, const record_id& /*id*/,
                     const resource_put& body) -> rejection {
    if (!find_defect(body.resource_).empty()) {
        return rejection::malformed;
    }
    auto key = key_of(body.resource_);
    const auto* current = find_resource(key);
    const auto held = current == nullptr ? 0 : current->generation_;
    if (held != body.expected_generation_) {
        return rejection::stale_generation;
    }
    const auto required = required_key(body.resource_);
    if (required && find_resource(*required) == nullptr) {
        return rejection::missing_resource;
    }
    const auto accepted = offset + 1;
    if (!holds(accepted > held, "generation_grows", key.name_)) {
        return rejection::stale_generation;
    }
    resources_.insert_or_assign(std::move(key),
                                resource_state{body.resource_, accepted});
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const resource_delete& body) -> rejection {
    const auto* current = find_resource(body.key_);
    if (current == nullptr) {
        return rejection::missing_resource;
    }
    if (current->generation_ != body.expected_generation_) {
        return rejection::stale_generation;
    }
    const auto depends = [&](const auto& entry) {
        return required_key(entry.second.resource_) == body.key_;
    };
    if (std::any_of(resources_.begin(), resources_.end(), depends)) {
        return rejection::referenced;
    }
    resources_.erase(body.key_);
    return rejection::none;
}

auto machine::accept(log_offset offset, const record_id& /*id*/,
                     const shard_claim& body) -> rejection {
    if (body.shard_.empty() || body.daemon_.empty()) {
        return rejection::malformed;
    }
    auto& shard = shards_[body.shard_];
    if (shard.epoch_ != body.expected_epoch_) {
        return rejection::stale_epoch;
    }
    const auto claimed = offset + 1;
    if (!holds(claimed > shard.epoch_, "epoch_grows", body.shard_)) {
        return rejection::stale_epoch;
    }
    shard = {claimed, body.daemon_};
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const shard_renewal& body) -> rejection {
    return check_owner(body.shard_, body.epoch_);
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const shard_release& body) -> rejection {
    const auto reason = check_owner(body.shard_, body.epoch_);
    if (reason == rejection::none) {
        shards_[body.shard_].owner_.clear();
    }
    return reason;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const quarantine_mark& body) -> rejection {
    if (body.fingerprint_.empty()) {
        return rejection::malformed;
    }
    quarantines_.insert_or_assign(body.fingerprint_, body);
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const quarantine_lift& body) -> rejection {
    return quarantines_.erase(body.fingerprint_) > 0
               ? rejection::none
               : rejection::missing_resource;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const format_level& body) -> rejection {
    if (body.level_ <= level_) {
        return rejection::malformed;
    }
    level_ = body.level_;
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const snapshot_part& /*body*/) -> rejection {
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const unknown_record& /*body*/) -> rejection {
    return rejection::unknown_kind;
}

auto machine::find_resource(const resource_key& key) const
    -> const resource_state* {
    const auto found = resources_.find(key);
    return found == resources_.end() ? nullptr : &found->second;
}

auto machine::find_model(std::string_view name) const -> const model_resource* {
    const auto* found =
        find_resource({resource_kind::model, std::string{name}});
    return found == nullptr ? nullptr
                            : std::get_if<model_resource>(&found->resource_);
}

auto machine::find_shard(std::string_view name) const -> shard_state {
    const auto found = shards_.find(name);
    return found == shards_.end() ? shard_state{} : found->second;
}

auto machine::find_quarantine(std::string_view fingerprint) const
    -> const quarantine_mark* {
    const auto found = quarantines_.find(fingerprint);
    return found == quarantines_.end() ? nullptr : &found->second;
}

auto machine::find_order(const record_id& id) const -> const open_order* {
    const auto found = orders_.find(id);
    return found == orders_.end() ? nullptr : &found->second;
}

auto machine::find_runner(std::string_view name) const -> const runner_state* {
    const auto found = runners_.find(name);
    return found == runners_.end() ? nullptr : &found->second;
}

auto machine::is_last_replica(const runner_state& runner,
                              const resident_key& key, bool whole_runner) const
    -> bool {
    const auto* model = find_model(key.model_);
    const auto* entry = runner.find(key);
    if (model == nullptr || entry == nullptr ||
        entry->state_ != resident_state::ready) {
        return false;
    }
    if (!key.adapter_.empty() &&
        find_resource({resource_kind::adapter,
                       qualified_name(key.model_, key.adapter_)}) == nullptr) {
        return false;
    }
    // A version that is declared no more may be replaced by any other.
    const auto any_version = !contains(model->versions_, key.version_);
    return !has_ready_elsewhere(runner, key, any_version, whole_runner);
}

auto machine::has_ready_elsewhere(const runner_state& runner,
                                  const resident_key& key, bool any_version,
                                  bool whole_runner) const -> bool {
    const auto found = residents_.find(key.model_);
    if (found == residents_.end()) {
        return false;
    }
    const auto serves = [&](const auto& other) {
        const auto& [name, other_key] = other;
        if (other_key.adapter_ != key.adapter_ ||
            (!any_version && other_key.version_ != key.version_) ||
            (name == runner.name_ && (whole_runner || other_key == key))) {
            return false;
        }
        const auto* holder = find_runner(name);
        const auto* entry = holder->find(other_key);
        return entry->state_ == resident_state::ready && is_serving(*holder);
    };
    return std::any_of(found->second.begin(), found->second.end(), serves);
}

auto machine::is_serving(const runner_state& runner) const -> bool {
    if (runner.gone_ || runner.role_ == runner_role::prefill) {
        return false;
    }
    return std::none_of(runner.open_orders_.begin(), runner.open_orders_.end(),
                        [&](const auto& id) {
                            const auto& intent = orders_.at(id).intent_;
                            return intent.action_ == order_action::set_role &&
                                   intent.role_ == runner_role::prefill;
                        });
}

} // namespace basilstream::state
