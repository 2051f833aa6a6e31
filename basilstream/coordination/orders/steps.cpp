// Selects the next safe step of a runner towards the desired placement.
#include <algorithm>

#include "basilstream/coordination/orders/orders.hpp"

namespace basilstream::coordination {
namespace {

using state::resident;
using state::resident_key;
using state::resident_state;

auto is_settled(const resident& entry) -> bool {
    return entry.state_ != resident_state::loading &&
           entry.state_ != resident_state::unloading;
}

auto base_of(const resident_key& adapter) -> resident_key {
    return {adapter.model_, {}, adapter.version_};
}

auto is_ready(const state::runner_state& runner, const resident_key& key)
    -> bool {
    const auto* entry = runner.find(key);
    return entry != nullptr && entry->state_ == resident_state::ready;
}

auto has_loaded_adapters(const state::runner_state& runner,
                         const resident_key& model) -> bool {
    return model.adapter_.empty() &&
           std::any_of(runner.residents_.begin(), runner.residents_.end(),
                       [&](const auto& entry) {
                           return !entry.key_.adapter_.empty() &&
                                  base_of(entry.key_) == model;
                       });
}

auto declares_version(const state::model_resource& model,
                      const std::string& version) -> bool {
    return std::find(model.versions_.begin(), model.versions_.end(), version) !=
           model.versions_.end();
}

auto reports_ready(const runner_report& report,
                   const state::runner_state& runner, const resident_key& key)
    -> bool {
    const auto loaded_by = runner.find(key)->load_order_;
    return report.boot_id_ == runner.boot_id_ &&
           std::any_of(report.residents_.begin(), report.residents_.end(),
                       [&](const auto& entry) {
                           return entry.key_ == key &&
                                  entry.order_ == loaded_by &&
                                  entry.phase_ ==
                                      reported_resident::phase::ready;
                       });
}

auto allows_zone(const state::model_resource& model, const std::string& zone)
    -> bool {
    return model.zones_.empty() ||
           std::find(model.zones_.begin(), model.zones_.end(), zone) !=
               model.zones_.end();
}

// Failed and foreign residents serve no calls and are unloaded first.
auto is_unusable(const resident& entry) -> bool {
    return entry.state_ == resident_state::failed ||
           entry.state_ == resident_state::foreign;
}

} // namespace

auto order_executor::submit_next_step(poll_context& context,
                                      const owned_runner& runner) -> void {
    const auto desired = desired_.find(runner.state_.name_);
    if (desired == desired_.end() ||
        runner.state_.open_orders_.size() >= options_.orders_per_runner_) {
        return;
    }
    if (change_role(context, runner, desired->second.role_)) {
        return;
    }
    if (!load_missing(context, runner, desired->second)) {
        unload_surplus(context, runner);
    }
}

auto order_executor::change_role(poll_context& context,
                                 const owned_runner& runner,
                                 state::runner_role role) -> bool {
    const auto& residents = runner.state_.residents_;
    const auto stops_serving = role == state::runner_role::prefill;
    const auto may_stop_serving = [&](const auto& entry) {
        return is_removable(context, runner.state_, entry, true);
    };
    if (role == runner.state_.role_ || !runner.state_.open_orders_.empty()) {
        return false;
    }
    if (stops_serving &&
        !std::all_of(residents.begin(), residents.end(), may_stop_serving)) {
        record_blocked_step(runner.state_.name_, {},
                            "a model would have no serving replica");
        return false;
    }
    auto intent = state::order_intent{};
    intent.shard_ = runner.state_.shard_;
    intent.epoch_ = runner.epoch_;
    intent.runner_ = runner.state_.name_;
    intent.boot_id_ = runner.state_.boot_id_;
    intent.action_ = state::order_action::set_role;
    intent.role_ = role;
    return submit_intent(context, intent);
}

auto order_executor::load_missing(poll_context& context,
                                  const owned_runner& runner,
                                  const desired_runner& desired) -> bool {
    for (const auto& next : desired.residents_) {
        if (runner.state_.find(next.key_) != nullptr) {
            continue;
        }
        if (!next.key_.adapter_.empty() &&
            !is_ready(runner.state_, base_of(next.key_))) {
            record_blocked_step(
                runner.state_.name_, next.key_,
                "the base model of the adapter is not ready on the runner");
            continue;
        }
        if (next.bytes_ <= runner.state_.free_bytes()) {
            if (!load(context, runner.state_, next, runner.epoch_)) {
                record_blocked_step(runner.state_.name_, next.key_,
                                    "waits for a load permit or a log record");
            }
            return true;
        }
        return free_memory(context, runner, next);
    }
    return false;
}

auto order_executor::free_memory(poll_context& context,
                                 const owned_runner& runner,
                                 const desired_resident& desired) -> bool {
    const resident* blocking = nullptr;
    const resident* eviction_candidate = nullptr;
    for (const auto& entry : runner.state_.residents_) {
        if (!is_settled(entry)) {
            record_blocked_step(runner.state_.name_, desired.key_,
                                "waits for an open order to be settled");
            return true;
        }
        const auto must_keep =
            !is_unusable(entry) && is_desired(runner.state_.name_, entry.key_);
        if (must_keep || has_loaded_adapters(runner.state_, entry.key_)) {
            continue;
        }
        if (!is_removable(context, runner.state_, entry, false)) {
            blocking = &entry;
        } else if (eviction_candidate == nullptr || is_unusable(entry)) {
            eviction_candidate = &entry;
        }
    }
    if (eviction_candidate != nullptr) {
        return unload(context, runner, eviction_candidate->key_);
    }
    if (blocking != nullptr) {
        record_blocked_step(runner.state_.name_, desired.key_,
                            "waits for another replica of " +
                                to_string(blocking->key_));
        return load_temporary_replica(context, runner, *blocking);
    }
    record_blocked_step(runner.state_.name_, desired.key_,
                        "not enough memory, and no resident can be unloaded");
    return false;
}

// Loads a replacement for the last replica on another runner, so that the last
// replica can be unloaded while the model stays reachable. Returns whether the
// replacement is loading.
auto order_executor::load_temporary_replica(poll_context& context,
                                            const owned_runner& runner,
                                            const resident& blocking) -> bool {
    const auto temporary = temporary_replica_of(context, blocking);
    if (!temporary) {
        return false;
    }
    for (const auto& placement :
         context.state_.placements(temporary->key_.model_)) {
        if (placement.key_ == temporary->key_ &&
            placement.state_ == resident_state::loading) {
            return true;
        }
    }
    for (const auto& [name, observed] : runners_) {
        const auto* other = context.state_.find_runner(name);
        if (other == nullptr || other == &runner.state_ || observed.gone_ ||
            !fits_temporary_replica(context, *other, *temporary)) {
            continue;
        }
        return load(context, *other, *temporary,
                    context.owned_shards_.at(other->shard_));
    }
    return false;
}

auto order_executor::temporary_replica_of(const poll_context& context,
                                          const resident& blocking) const
    -> std::optional<desired_resident> {
    const auto* model = context.state_.find_model(blocking.key_.model_);
    if (model == nullptr) {
        return std::nullopt;
    }
    const auto declared = declares_version(*model, blocking.key_.version_);
    auto temporary = desired_resident{blocking.key_, blocking.bytes_};
    if (!declared) {
        temporary.key_.version_ = model->versions_.front();
        temporary.bytes_ = temporary.key_.adapter_.empty()
                               ? model->memory_bytes_
                               : blocking.bytes_;
    }
    return temporary;
}

auto order_executor::fits_temporary_replica(
    const poll_context& context, const state::runner_state& other,
    const desired_resident& temporary) const -> bool {
    const auto* model = context.state_.find_model(temporary.key_.model_);
    const auto needed = temporary.bytes_ + pending_load_bytes(other);
    return !other.gone_ && context.owned_shards_.contains(other.shard_) &&
           other.role_ != state::runner_role::prefill &&
           allows_zone(*model, other.zone_) &&
           other.find(temporary.key_) == nullptr &&
           (temporary.key_.adapter_.empty() ||
            is_ready(other, base_of(temporary.key_))) &&
           needed <= other.free_bytes();
}

// Returns the memory of the desired residents that the runner has yet to load.
auto order_executor::pending_load_bytes(const state::runner_state& runner) const
    -> std::uint64_t {
    const auto desired = desired_.find(runner.name_);
    if (desired == desired_.end()) {
        return 0;
    }
    auto sum = std::uint64_t{0};
    for (const auto& next : desired->second.residents_) {
        sum += runner.find(next.key_) == nullptr ? next.bytes_ : 0;
    }
    return sum;
}

auto order_executor::unload_surplus(poll_context& context,
                                    const owned_runner& runner) -> bool {
    for (const auto& entry : runner.state_.residents_) {
        const auto removable =
            is_unusable(entry) || !is_desired(runner.state_.name_, entry.key_);
        const auto surplus = removable && is_settled(entry) &&
                             !has_loaded_adapters(runner.state_, entry.key_);
        if (!surplus || !is_removable(context, runner.state_, entry, false)) {
            continue;
        }
        if (is_unusable(entry) || is_replaced(context.state_, entry.key_)) {
            return unload(context, runner, entry.key_);
        }
    }
    return false;
}

// Returns whether `entry` may stop serving; with `whole_runner`, together with
// all other residents of the runner. The state may not reflect a crash of a
// runner yet, so another ready replica counts only if a fresh report confirms
// it.
auto order_executor::is_removable(const poll_context& context,
                                  const state::runner_state& runner,
                                  const resident& entry,
                                  bool whole_runner) const -> bool {
    const auto& key = entry.key_;
    if (is_unusable(entry) ||
        context.state_.find_model(key.model_) == nullptr) {
        return true;
    }
    if (context.state_.is_last_replica(runner, key, whole_runner)) {
        return false;
    }
    const auto any_version =
        !declares_version(*context.state_.find_model(key.model_), key.version_);
    const auto replicas = context.state_.placements(key.model_);
    return std::any_of(
        replicas.begin(), replicas.end(), [&](const auto& placement) {
            const auto observed = runners_.find(placement.runner_->name_);
            const auto is_same_replica =
                placement.runner_ == &runner &&
                (whole_runner || placement.key_ == key);
            return !is_same_replica &&
                   placement.key_.adapter_ == key.adapter_ &&
                   (any_version || placement.key_.version_ == key.version_) &&
                   placement.state_ == resident_state::ready &&
                   observed != runners_.end() && !observed->second.gone_ &&
                   context.now_ - observed->second.received_at_ <=
                       options_.fresh_report_age_ &&
                   reports_ready(observed->second.observation_.report_,
                                 *placement.runner_, placement.key_);
        });
}

auto order_executor::load(poll_context& context,
                          const state::runner_state& runner,
                          const desired_resident& desired, state::epoch epoch)
    -> bool {
    auto intent = state::order_intent{};
    intent.shard_ = runner.shard_;
    intent.epoch_ = epoch;
    intent.runner_ = runner.name_;
    intent.boot_id_ = runner.boot_id_;
    intent.action_ = desired.key_.adapter_.empty()
                         ? state::order_action::load_model
                         : state::order_action::load_adapter;
    intent.resident_ = desired.key_;
    intent.bytes_ = desired.bytes_;
    return submit_intent(context, intent);
}

auto order_executor::unload(poll_context& context, const owned_runner& runner,
                            const resident_key& key) -> bool {
    auto intent = state::order_intent{};
    intent.shard_ = runner.state_.shard_;
    intent.epoch_ = runner.epoch_;
    intent.runner_ = runner.state_.name_;
    intent.boot_id_ = runner.state_.boot_id_;
    intent.action_ = key.adapter_.empty() ? state::order_action::unload_model
                                          : state::order_action::unload_adapter;
    intent.resident_ = key;
    return submit_intent(context, intent);
}

auto order_executor::is_desired(std::string_view runner,
                                const resident_key& key) const -> bool {
    const auto desired = desired_.find(runner);
    if (desired == desired_.end()) {
        return true;
    }
    const auto& all = desired->second.residents_;
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& next) { return next.key_ == key; });
}

// Returns whether all desired replicas of the same model or adapter are ready,
// so that replicas outside the desired placement may be unloaded.
auto order_executor::is_replaced(const state::machine& state,
                                 const resident_key& key) const -> bool {
    if (state.find_model(key.model_) == nullptr) {
        return true;
    }
    auto desired_somewhere = false;
    for (const auto& [name, desired] : desired_) {
        const auto* runner = state.find_runner(name);
        for (const auto& next : desired.residents_) {
            if (next.key_.model_ != key.model_ ||
                next.key_.adapter_ != key.adapter_) {
                continue;
            }
            desired_somewhere = true;
            if (runner == nullptr || !is_ready(*runner, next.key_)) {
                return false;
            }
        }
    }
    const auto undeclared =
        !key.adapter_.empty() &&
        state.find_resource(
            {state::resource_kind::adapter,
             state::qualified_name(key.model_, key.adapter_)}) == nullptr;
    return desired_somewhere || undeclared;
}

} // namespace basilstream::coordination
