#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "basilstream/coordination/placement/internal/draft.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

// Adapters whose old version this plan unloads before the new one is there.
using replaced_adapters = std::set<std::pair<std::size_t, std::string>>;

auto is_declared(const placement_model& model,
                 const placement_resident& resident) -> bool {
    return std::any_of(model.adapters_.begin(), model.adapters_.end(),
                       [&](const placement_adapter& adapter) {
                           return adapter.name_ == resident.adapter_ &&
                                  adapter.version_ == resident.version_;
                       });
}

auto name_is_declared(const placement_model& model, const std::string& name)
    -> bool {
    return std::any_of(model.adapters_.begin(), model.adapters_.end(),
                       [&](const placement_adapter& adapter) {
                           return adapter.name_ == name;
                       });
}

auto has_ready(const replica& one, const placement_model& model,
               const std::string& adapter) -> bool {
    return std::any_of(one.parts_.begin(), one.parts_.end(),
                       [&](const placement_resident* part) {
                           return part->adapter_ == adapter &&
                                  part->state_ == resident_state::ready &&
                                  is_declared(model, *part);
                       });
}

auto holds_ready(const replica& one, const std::string& adapter) -> bool {
    return std::any_of(one.parts_.begin(), one.parts_.end(),
                       [&](const placement_resident* part) {
                           return part->adapter_ == adapter &&
                                  part->state_ == resident_state::ready;
                       });
}

// True when every other serving replica of the model has `adapter`, in
// whichever version.
auto held_elsewhere(const draft& plan, const replica& one,
                    const std::string& adapter) -> bool {
    auto others = 0;
    for (const auto index : plan.fleet_.models_[one.model_].replicas_) {
        const auto& other = plan.fleet_.replicas_[index];
        if (&other == &one || !other.ready_ || !other.current_) {
            continue;
        }
        if (other.unloading_ || other.removed_ ||
            !holds_ready(other, adapter)) {
            return false;
        }
        ++others;
    }
    return others > 0;
}

// Two versions of an adapter don't fit beside each other here: the old one
// goes first, on one runner at a time.
auto make_room(draft& plan, const replica& one,
               const placement_adapter& adapter, replaced_adapters& replaced)
    -> void {
    const auto name = std::pair{one.model_, adapter.name_};
    if (replaced.count(name) > 0 || !held_elsewhere(plan, one, adapter.name_)) {
        return;
    }
    for (const auto* part : one.parts_) {
        if (part->adapter_ == adapter.name_ &&
            part->state_ == resident_state::ready) {
            plan.unload(*part, placement_reason::eviction);
            replaced.insert(name);
        }
    }
}

auto load_missing(draft& plan, replica& one, unsigned& left,
                  replaced_adapters& replaced) -> void {
    const auto& model = *plan.fleet_.models_[one.model_].declared_;
    auto& runner = plan.fleet_.runners_[one.runner_];
    for (const auto* adapter : one.missing_) {
        const auto after = runner.committed_ + adapter->memory_bytes_;
        if (after > runner.declared_->memory_bytes_) {
            make_room(plan, one, *adapter, replaced);
            continue;
        }
        if (left == 0) {
            return;
        }
        auto step = placement_step{};
        step.action_ = placement_action::load_adapter;
        step.resident_ = {runner.declared_->name_, model.name_,
                          adapter->name_,          adapter->version_,
                          adapter->memory_bytes_,  resident_state::loading};
        step.reason_ = placement_reason::adapter;
        plan.steps_.push_back(std::move(step));
        runner.committed_ = after;
        --left;
    }
}

// An adapter goes when it isn't declared any more, or when its new version is
// ready beside it.
auto unload_old(draft& plan, replica& one) -> void {
    const auto& model = *plan.fleet_.models_[one.model_].declared_;
    for (const auto* part : one.parts_) {
        if (part->adapter_.empty() || is_declared(model, *part) ||
            part->state_ != resident_state::ready) {
            continue;
        }
        if (!name_is_declared(model, part->adapter_) ||
            has_ready(one, model, part->adapter_)) {
            plan.unload(*part, placement_reason::undeclared);
        }
    }
}

} // namespace

auto complete_adapters(draft& plan) -> void {
    auto left = plan.settings_.adapters_per_plan_;
    auto replaced = replaced_adapters{};
    for (auto& one : plan.fleet_.replicas_) {
        const auto& runner = *plan.fleet_.runners_[one.runner_].declared_;
        if (!one.current_ || !one.ready_ || one.removed_ || one.unloading_ ||
            runner.leaving_) {
            continue;
        }
        load_missing(plan, one, left, replaced);
        unload_old(plan, one);
    }
}

} // namespace basilstream::coordination::internal::placement
