#include "basilstream/coordination/placement/internal/flow.hpp"

#include <algorithm>

namespace basilstream::coordination::internal::placement {
namespace {

// Utilisation above which queueing makes requests miss their deadlines.
constexpr auto loss_free_utilisation = 0.7;
constexpr auto loss_scale = 2 * (1 - loss_free_utilisation);
constexpr auto loss_at_capacity = (1 - loss_free_utilisation) / 2;
// Rounds of Gauss-Seidel iteration. Few suffice, as the load is an estimate.
constexpr auto gauss_seidel_rounds = 4;

auto is_serving(const fleet_view& fleet, const replica_view& replica) -> bool {
    return !replica.unloading_ && !replica.removed_ &&
           !fleet.runners_[replica.runner_].declared_->leaving_;
}

// Returns the utilisation by other models alone.
auto base_utilisation(const runner_load& load) -> double {
    return load.other_load_ / load.capacity_;
}

auto lost_tokens_per_second(const runner_load& load) -> double {
    return load.capacity_ *
           lost_share((load.other_load_ + load.assigned_load_) /
                      load.capacity_);
}

// Returns the tokens per second lost with `demand` distributed over `loads`;
// all of `demand` if `loads` is empty.
auto loss_after_water_fill(std::vector<runner_load>& loads, double demand)
    -> double {
    if (loads.empty()) {
        return demand;
    }
    water_fill(loads, demand);
    auto total = 0.0;
    for (const auto& load : loads) {
        total += lost_tokens_per_second(load);
    }
    return total;
}

auto rebalance(fleet_view& fleet, model_view& model) -> void {
    auto loads = std::vector<runner_load>{};
    auto serving_replicas = std::vector<replica_view*>{};
    for (const auto index : model.replicas_) {
        auto& replica = fleet.replicas_[index];
        auto& runner = fleet.runners_[replica.runner_];
        runner.assigned_load_ -= replica.assigned_load_;
        replica.assigned_load_ = 0;
        if (is_serving(fleet, replica) &&
            runner.declared_->tokens_per_second_ > 0) {
            loads.push_back({runner.assigned_load_,
                             runner.declared_->tokens_per_second_, 0});
            serving_replicas.push_back(&replica);
        }
    }
    water_fill(loads, model.tokens_per_second_);
    for (auto index = std::size_t{0}; index < serving_replicas.size();
         ++index) {
        serving_replicas[index]->assigned_load_ = loads[index].assigned_load_;
        fleet.runners_[serving_replicas[index]->runner_].assigned_load_ +=
            loads[index].assigned_load_;
    }
}

} // namespace

auto lost_share(double utilisation) -> double {
    if (utilisation <= loss_free_utilisation) {
        return 0;
    }
    if (utilisation >= 1) {
        return loss_at_capacity + (utilisation - 1);
    }
    const auto excess = utilisation - loss_free_utilisation;
    return excess * excess / loss_scale;
}

auto marginal_lost_share(double utilisation) -> double {
    const auto slope = 2 * (utilisation - loss_free_utilisation) / loss_scale;
    return std::clamp(slope, 0.0, 1.0);
}

auto water_fill(std::vector<runner_load>& loads, double demand) -> void {
    auto order = std::vector<runner_load*>{};
    for (auto& load : loads) {
        load.assigned_load_ = 0;
        order.push_back(&load);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const runner_load* a, const runner_load* b) {
                         return base_utilisation(*a) < base_utilisation(*b);
                     });
    auto other_load = 0.0;
    auto capacity = 0.0;
    auto water_level = 0.0;
    auto filled_count = std::size_t{0};
    while (filled_count < order.size()) {
        other_load += order[filled_count]->other_load_;
        capacity += order[filled_count]->capacity_;
        water_level = (demand + other_load) / capacity;
        ++filled_count;
        if (filled_count == order.size() ||
            water_level <= base_utilisation(*order[filled_count])) {
            break;
        }
    }
    for (auto index = std::size_t{0}; index < filled_count; ++index) {
        auto& load = *order[index];
        load.assigned_load_ =
            std::max(0.0, water_level * load.capacity_ - load.other_load_);
    }
}

auto balance_load(fleet_view& fleet) -> void {
    for (auto& runner : fleet.runners_) {
        runner.assigned_load_ = 0;
    }
    for (auto& replica : fleet.replicas_) {
        replica.assigned_load_ = 0;
    }
    for (auto round = 0; round < gauss_seidel_rounds; ++round) {
        for (auto& model : fleet.models_) {
            rebalance(fleet, model);
        }
    }
}

auto loss_change(const fleet_view& fleet, std::size_t model, double demand,
                 std::size_t added, std::size_t removed) -> double {
    auto before = std::vector<runner_load>{};
    auto after = std::vector<runner_load>{};
    // The load of other models stays on its runners, including the runner that
    // loses its replica of `model`.
    auto loss_remaining_on_removed = 0.0;
    for (const auto index : fleet.models_[model].replicas_) {
        const auto& replica = fleet.replicas_[index];
        const auto& runner = fleet.runners_[replica.runner_];
        if (!is_serving(fleet, replica) ||
            runner.declared_->tokens_per_second_ <= 0) {
            continue;
        }
        const auto load =
            runner_load{runner.assigned_load_ - replica.assigned_load_,
                        runner.declared_->tokens_per_second_, 0};
        before.push_back(load);
        if (replica.runner_ == removed) {
            loss_remaining_on_removed += lost_tokens_per_second(load);
        } else {
            after.push_back(load);
        }
    }
    auto loss_before_on_added = 0.0;
    if (added != npos) {
        const auto& runner = fleet.runners_[added];
        after.push_back(
            {runner.assigned_load_, runner.declared_->tokens_per_second_, 0});
        loss_before_on_added = lost_tokens_per_second(after.back());
    }
    return loss_after_water_fill(after, demand) + loss_remaining_on_removed -
           loss_after_water_fill(before, demand) - loss_before_on_added;
}

} // namespace basilstream::coordination::internal::placement
