#include "basilstream/coordination/placement/internal/draft.hpp"

#include <algorithm>

#include "basilstream/coordination/placement/internal/flow.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

struct eviction_candidate {
    std::size_t index_ = 0;
    eviction_tier tier_ = eviction_tier::obsolete;
    double loss_ = 0;
};

auto is_cheaper(const eviction_candidate& a, const eviction_candidate& b)
    -> bool {
    if (a.tier_ != b.tier_) {
        return a.tier_ < b.tier_;
    }
    if (a.loss_ != b.loss_) {
        return a.loss_ < b.loss_;
    }
    return a.index_ < b.index_;
}

} // namespace

auto plan_builder::load(std::size_t runner, std::size_t model,
                        placement_reason reason, double gain, double price)
    -> void {
    const auto& declared = *fleet_.models_[model].declared_;
    auto step = placement_step{};
    step.action_ = placement_action::load_model;
    step.resident_.runner_ = fleet_.runners_[runner].declared_->name_;
    step.resident_.model_ = declared.name_;
    step.resident_.version_ = declared.version_;
    step.resident_.memory_bytes_ = declared.memory_bytes_;
    step.resident_.state_ = resident_state::loading;
    step.reason_ = reason;
    step.gain_ = gain;
    step.price_ = price;
    steps_.push_back(std::move(step));
    fleet_.add_planned_replica(runner, model, input_.now_);
}

auto plan_builder::unload(replica_view& removed, placement_reason reason)
    -> void {
    for (auto resident = removed.residents_.rbegin();
         resident != removed.residents_.rend(); ++resident) {
        unload(**resident, reason);
    }
    fleet_.mark_removed(removed);
}

auto plan_builder::unload(const placement_resident& resident,
                          placement_reason reason) -> void {
    if (resident.state_ == resident_state::unloading) {
        return;
    }
    auto step = placement_step{};
    step.action_ = resident.adapter_.empty() ? placement_action::unload_model
                                             : placement_action::unload_adapter;
    step.resident_ = resident;
    step.resident_.state_ = resident_state::unloading;
    step.reason_ = reason;
    steps_.push_back(std::move(step));
}

auto plan_builder::reject(std::size_t model, std::size_t runner,
                          placement_rejection_reason reason, double gain,
                          double price) -> void {
    auto rejection = placement_rejection{};
    rejection.model_ = fleet_.models_[model].declared_->name_;
    if (runner != npos) {
        rejection.runner_ = fleet_.runners_[runner].declared_->name_;
    }
    rejection.reason_ = reason;
    rejection.gain_ = gain;
    rejection.price_ = price;
    rejections_.push_back(std::move(rejection));
}

auto plan_builder::find_eviction_tier(const replica_view& replica) const
    -> std::optional<eviction_tier> {
    if (!replica.ready_ || replica.unloading_ || replica.planned_) {
        return std::nullopt;
    }
    const auto others = fleet_.count_replicas(replica.model_, &replica);
    if (others.ready_ == 0) {
        return std::nullopt;
    }
    const auto desired = fleet_.models_[replica.model_].desired_replicas_;
    const auto zones =
        std::min(settings_.replicas_, fleet_.reachable_zones(replica.model_));
    const auto covers_desired_zones = others.ready_zones_ >= zones;
    if (!replica.up_to_date_ && others.up_to_date_ready_ > 0) {
        return covers_desired_zones ? eviction_tier::obsolete
                                    : eviction_tier::loses_redundancy;
    }
    // Until the desired version is ready, replicas of the old version count as
    // serving.
    const auto remaining_serving =
        replica.up_to_date_ ? others.up_to_date_ready_ : others.ready_;
    if (remaining_serving == 0) {
        return std::nullopt;
    }
    return remaining_serving >= desired && covers_desired_zones
               ? eviction_tier::surplus
               : eviction_tier::loses_redundancy;
}

auto plan_builder::find_eviction(std::size_t runner, std::uint64_t bytes,
                                 eviction_tier tier)
    -> std::optional<eviction> {
    auto candidates = std::vector<eviction_candidate>{};
    const auto& view = fleet_.runners_[runner];
    for (const auto index : view.replicas_) {
        const auto& replica = fleet_.replicas_[index];
        const auto own_tier = find_eviction_tier(replica);
        if (!own_tier || *own_tier > tier) {
            continue;
        }
        const auto peak = fleet_.models_[replica.model_].recent_peak_;
        const auto loss =
            loss_change(fleet_, replica.model_, peak, npos, runner);
        candidates.push_back({index, *own_tier, loss});
    }
    std::sort(candidates.begin(), candidates.end(), is_cheaper);
    auto free = view.free_bytes();
    auto result = eviction{};
    for (const auto& candidate : candidates) {
        if (free >= bytes) {
            break;
        }
        const auto& replica = fleet_.replicas_[candidate.index_];
        free += replica.bytes_ + replica.missing_adapter_bytes_;
        result.replicas_.push_back(candidate.index_);
        result.tier_ = std::max(result.tier_, candidate.tier_);
        result.loss_ += candidate.loss_;
    }
    if (free < bytes) {
        return std::nullopt;
    }
    return result;
}

} // namespace basilstream::coordination::internal::placement
