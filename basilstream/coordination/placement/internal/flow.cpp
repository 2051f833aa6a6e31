#include "basilstream/coordination/placement/internal/flow.hpp"

#include <algorithm>

namespace basilstream::coordination::internal::placement {
namespace {

// Utilisation at which queueing begins to cost deadlines.
constexpr auto comfortable_utilisation = 0.7;
constexpr auto loss_scale = 2 * (1 - comfortable_utilisation);
constexpr auto loss_at_capacity = (1 - comfortable_utilisation) / 2;
// Rounds of Gauss-Seidel; the flow is only an estimate.
constexpr auto balance_rounds = 4;

auto serves(const fleet& picture, const replica& one) -> bool {
    return !one.unloading_ && !one.removed_ &&
           !picture.runners_[one.runner_].declared_->leaving_;
}

auto utilisation_of(const channel& one) -> double {
    return one.other_ / one.capacity_;
}

auto loss_of(const channel& one) -> double {
    return one.capacity_ * lost_share((one.other_ + one.flow_) / one.capacity_);
}

// Loss with `demand` spread over `channels`; all of it when there are none.
auto filled_loss(std::vector<channel>& channels, double demand) -> double {
    if (channels.empty()) {
        return demand;
    }
    fill(channels, demand);
    auto total = 0.0;
    for (const auto& one : channels) {
        total += loss_of(one);
    }
    return total;
}

auto rebalance(fleet& picture, model_view& model) -> void {
    auto channels = std::vector<channel>{};
    auto served = std::vector<replica*>{};
    for (const auto index : model.replicas_) {
        auto& one = picture.replicas_[index];
        auto& runner = picture.runners_[one.runner_];
        runner.flow_ -= one.flow_;
        one.flow_ = 0;
        if (serves(picture, one) && runner.declared_->tokens_per_second_ > 0) {
            channels.push_back(
                {runner.flow_, runner.declared_->tokens_per_second_, 0});
            served.push_back(&one);
        }
    }
    fill(channels, model.tokens_per_second_);
    for (auto index = std::size_t{0}; index < served.size(); ++index) {
        served[index]->flow_ = channels[index].flow_;
        picture.runners_[served[index]->runner_].flow_ += channels[index].flow_;
    }
}

} // namespace

auto lost_share(double utilisation) -> double {
    if (utilisation <= comfortable_utilisation) {
        return 0;
    }
    if (utilisation >= 1) {
        return loss_at_capacity + (utilisation - 1);
    }
    const auto excess = utilisation - comfortable_utilisation;
    return excess * excess / loss_scale;
}

auto marginal_loss(double utilisation) -> double {
    const auto slope = 2 * (utilisation - comfortable_utilisation) / loss_scale;
    return std::clamp(slope, 0.0, 1.0);
}

auto fill(std::vector<channel>& channels, double demand) -> void {
    auto order = std::vector<channel*>{};
    for (auto& one : channels) {
        one.flow_ = 0;
        order.push_back(&one);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const channel* a, const channel* b) {
                         return utilisation_of(*a) < utilisation_of(*b);
                     });
    auto other = 0.0;
    auto capacity = 0.0;
    auto level = 0.0;
    auto taken = std::size_t{0};
    while (taken < order.size()) {
        other += order[taken]->other_;
        capacity += order[taken]->capacity_;
        level = (demand + other) / capacity;
        ++taken;
        if (taken == order.size() || level <= utilisation_of(*order[taken])) {
            break;
        }
    }
    for (auto index = std::size_t{0}; index < taken; ++index) {
        auto& one = *order[index];
        one.flow_ = std::max(0.0, level * one.capacity_ - one.other_);
    }
}

auto balance(fleet& picture) -> void {
    for (auto& runner : picture.runners_) {
        runner.flow_ = 0;
    }
    for (auto& one : picture.replicas_) {
        one.flow_ = 0;
    }
    for (auto round = 0; round < balance_rounds; ++round) {
        for (auto& model : picture.models_) {
            rebalance(picture, model);
        }
    }
}

auto loss_change(const fleet& picture, std::size_t model, double demand,
                 std::size_t added, std::size_t removed) -> double {
    auto before = std::vector<channel>{};
    auto after = std::vector<channel>{};
    // Load of other models stays where it is, also on the runner left.
    auto left_behind = 0.0;
    for (const auto index : picture.models_[model].replicas_) {
        const auto& one = picture.replicas_[index];
        const auto& runner = picture.runners_[one.runner_];
        if (!serves(picture, one) ||
            runner.declared_->tokens_per_second_ <= 0) {
            continue;
        }
        const auto now = channel{runner.flow_ - one.flow_,
                                 runner.declared_->tokens_per_second_, 0};
        before.push_back(now);
        if (one.runner_ == removed) {
            left_behind += loss_of(now);
        } else {
            after.push_back(now);
        }
    }
    auto gained_on = 0.0;
    if (added != none) {
        const auto& runner = picture.runners_[added];
        after.push_back(
            {runner.flow_, runner.declared_->tokens_per_second_, 0});
        gained_on = loss_of(after.back());
    }
    return filled_loss(after, demand) + left_behind -
           filled_loss(before, demand) - gained_on;
}

} // namespace basilstream::coordination::internal::placement
