#include "basilstream/coordination/placement/internal/draft.hpp"

#include <algorithm>

#include "basilstream/coordination/placement/internal/flow.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

struct evictable {
    std::size_t index_ = 0;
    eviction_tier tier_ = eviction_tier::obsolete;
    double loss_ = 0;
};

auto cheaper(const evictable& a, const evictable& b) -> bool {
    if (a.tier_ != b.tier_) {
        return a.tier_ < b.tier_;
    }
    if (a.loss_ != b.loss_) {
        return a.loss_ < b.loss_;
    }
    return a.index_ < b.index_;
}

} // namespace

auto draft::load(std::size_t runner, std::size_t model, placement_reason reason,
                 double gain, double cost) -> void {
    const auto& declared = *fleet_.models_[model].declared_;
    auto one = placement_step{};
    one.action_ = placement_action::load_model;
    one.resident_.runner_ = fleet_.runners_[runner].declared_->name_;
    one.resident_.model_ = declared.name_;
    one.resident_.version_ = declared.version_;
    one.resident_.memory_bytes_ = declared.memory_bytes_;
    one.resident_.state_ = resident_state::loading;
    one.reason_ = reason;
    one.gain_ = gain;
    one.cost_ = cost;
    steps_.push_back(std::move(one));
    fleet_.book(runner, model, input_.now_);
}

auto draft::unload(replica& taken, placement_reason reason) -> void {
    for (auto part = taken.parts_.rbegin(); part != taken.parts_.rend();
         ++part) {
        unload(**part, reason);
    }
    fleet_.remove(taken);
}

auto draft::unload(const placement_resident& resident, placement_reason reason)
    -> void {
    if (resident.state_ == resident_state::unloading) {
        return;
    }
    auto one = placement_step{};
    one.action_ = resident.adapter_.empty() ? placement_action::unload_model
                                            : placement_action::unload_adapter;
    one.resident_ = resident;
    one.resident_.state_ = resident_state::unloading;
    one.reason_ = reason;
    steps_.push_back(std::move(one));
}

auto draft::reject(std::size_t model, std::size_t runner,
                   placement_rejection_reason reason, double gain, double cost)
    -> void {
    auto one = placement_rejection{};
    one.model_ = fleet_.models_[model].declared_->name_;
    if (runner != none) {
        one.runner_ = fleet_.runners_[runner].declared_->name_;
    }
    one.reason_ = reason;
    one.gain_ = gain;
    one.cost_ = cost;
    rejections_.push_back(std::move(one));
}

auto draft::tier_of(const replica& one) const -> std::optional<eviction_tier> {
    if (!one.ready_ || one.unloading_ || one.planned_) {
        return std::nullopt;
    }
    const auto rest = fleet_.count(one.model_, &one);
    if (rest.ready_ == 0) {
        return std::nullopt;
    }
    const auto wanted = fleet_.models_[one.model_].wanted_;
    const auto zones =
        std::min(settings_.replicas_, fleet_.reachable_zones(one.model_));
    const auto spread = rest.ready_zones_ >= zones;
    if (!one.current_ && rest.current_ready_ > 0) {
        return spread ? eviction_tier::obsolete : eviction_tier::redundant;
    }
    // While a rollout has not begun to serve, the old version counts.
    const auto serving = one.current_ ? rest.current_ready_ : rest.ready_;
    if (serving == 0) {
        return std::nullopt;
    }
    return serving >= wanted && spread ? eviction_tier::surplus
                                       : eviction_tier::redundant;
}

auto draft::find_eviction(std::size_t runner, std::uint64_t bytes,
                          eviction_tier tier) -> std::optional<eviction> {
    auto choices = std::vector<evictable>{};
    const auto& view = fleet_.runners_[runner];
    for (const auto index : view.replicas_) {
        const auto& one = fleet_.replicas_[index];
        const auto own = tier_of(one);
        if (!own || *own > tier) {
            continue;
        }
        const auto peak = fleet_.models_[one.model_].recent_peak_;
        const auto loss = loss_change(fleet_, one.model_, peak, none, runner);
        choices.push_back({index, *own, loss});
    }
    std::sort(choices.begin(), choices.end(), cheaper);
    auto free = view.free();
    auto result = eviction{};
    for (const auto& choice : choices) {
        if (free >= bytes) {
            break;
        }
        const auto& one = fleet_.replicas_[choice.index_];
        free += one.bytes_ + one.missing_bytes_;
        result.replicas_.push_back(choice.index_);
        result.tier_ = std::max(result.tier_, choice.tier_);
        result.loss_ += choice.loss_;
    }
    if (free < bytes) {
        return std::nullopt;
    }
    return result;
}

} // namespace basilstream::coordination::internal::placement
