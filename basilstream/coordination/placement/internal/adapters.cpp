#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "basilstream/coordination/placement/internal/draft.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

// Model and name of the adapters whose old version this plan unloads before the
// new version is loaded.
using replaced_adapters = std::set<std::pair<std::size_t, std::string>>;

auto is_declared(const placement_model& model,
                 const placement_resident& resident) -> bool {
    return std::any_of(model.adapters_.begin(), model.adapters_.end(),
                       [&](const placement_adapter& adapter) {
                           return adapter.name_ == resident.adapter_ &&
                                  adapter.version_ == resident.version_;
                       });
}

auto is_declared_name(const placement_model& model, const std::string& name)
    -> bool {
    return std::any_of(model.adapters_.begin(), model.adapters_.end(),
                       [&](const placement_adapter& adapter) {
                           return adapter.name_ == name;
                       });
}

auto has_ready_declared_version(const replica_view& replica,
                                const placement_model& model,
                                const std::string& adapter) -> bool {
    return std::any_of(replica.residents_.begin(), replica.residents_.end(),
                       [&](const placement_resident* resident) {
                           return resident->adapter_ == adapter &&
                                  resident->state_ == resident_state::ready &&
                                  is_declared(model, *resident);
                       });
}

auto has_ready_version(const replica_view& replica, const std::string& adapter)
    -> bool {
    return std::any_of(replica.residents_.begin(), replica.residents_.end(),
                       [&](const placement_resident* resident) {
                           return resident->adapter_ == adapter &&
                                  resident->state_ == resident_state::ready;
                       });
}

// Returns true if the model has another ready replica of the desired version
// and every such replica has a ready `adapter` in any version.
auto is_ready_on_all_other_replicas(const plan_builder& builder,
                                    const replica_view& replica,
                                    const std::string& adapter) -> bool {
    auto others = 0;
    for (const auto index : builder.fleet_.models_[replica.model_].replicas_) {
        const auto& other = builder.fleet_.replicas_[index];
        if (&other == &replica || !other.ready_ || !other.up_to_date_) {
            continue;
        }
        if (other.unloading_ || other.removed_ ||
            !has_ready_version(other, adapter)) {
            return false;
        }
        ++others;
    }
    return others > 0;
}

// Unloads the old version of `adapter` from `replica`; called if the runner's
// memory does not hold both versions. Does so for one replica of the
// model per plan, and only while all others have the adapter ready, so that it
// stays available.
auto unload_replaced_version(plan_builder& builder, const replica_view& replica,
                             const placement_adapter& adapter,
                             replaced_adapters& replaced) -> void {
    const auto key = std::pair{replica.model_, adapter.name_};
    if (replaced.count(key) > 0 ||
        !is_ready_on_all_other_replicas(builder, replica, adapter.name_)) {
        return;
    }
    for (const auto* resident : replica.residents_) {
        if (resident->adapter_ == adapter.name_ &&
            resident->state_ == resident_state::ready) {
            builder.unload(*resident, placement_reason::eviction);
            replaced.insert(key);
        }
    }
}

auto load_missing_adapters(plan_builder& builder, replica_view& replica,
                           unsigned& remaining_loads,
                           replaced_adapters& replaced) -> void {
    const auto& model = *builder.fleet_.models_[replica.model_].declared_;
    auto& runner = builder.fleet_.runners_[replica.runner_];
    for (const auto* adapter : replica.missing_adapters_) {
        const auto committed_after_load =
            runner.committed_bytes_ + adapter->memory_bytes_;
        if (committed_after_load > runner.declared_->memory_bytes_) {
            unload_replaced_version(builder, replica, *adapter, replaced);
            continue;
        }
        if (remaining_loads == 0) {
            return;
        }
        auto step = placement_step{};
        step.action_ = placement_action::load_adapter;
        step.resident_ = {runner.declared_->name_, model.name_,
                          adapter->name_,          adapter->version_,
                          adapter->memory_bytes_,  resident_state::loading};
        step.reason_ = placement_reason::adapter;
        builder.steps_.push_back(std::move(step));
        runner.committed_bytes_ = committed_after_load;
        --remaining_loads;
    }
}

// Unloads adapters that are no longer declared, and old versions of adapters
// whose declared version is ready on the same replica.
auto unload_outdated(plan_builder& builder, replica_view& replica) -> void {
    const auto& model = *builder.fleet_.models_[replica.model_].declared_;
    for (const auto* resident : replica.residents_) {
        if (resident->adapter_.empty() || is_declared(model, *resident) ||
            resident->state_ != resident_state::ready) {
            continue;
        }
        if (!is_declared_name(model, resident->adapter_) ||
            has_ready_declared_version(replica, model, resident->adapter_)) {
            builder.unload(*resident, placement_reason::undeclared);
        }
    }
}

} // namespace

auto reconcile_adapters(plan_builder& builder) -> void {
    auto remaining_loads = builder.settings_.adapters_per_plan_;
    auto replaced = replaced_adapters{};
    for (auto& replica : builder.fleet_.replicas_) {
        const auto& runner =
            *builder.fleet_.runners_[replica.runner_].declared_;
        if (!replica.up_to_date_ || !replica.ready_ || replica.removed_ ||
            replica.unloading_ || runner.leaving_) {
            continue;
        }
        load_missing_adapters(builder, replica, remaining_loads, replaced);
        unload_outdated(builder, replica);
    }
}

} // namespace basilstream::coordination::internal::placement
