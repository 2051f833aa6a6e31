#include <algorithm>
#include <tuple>

#include "basilstream/coordination/placement/internal/draft.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

auto mean_peak(const fleet& picture) -> double {
    auto total = 0.0;
    for (const auto& model : picture.models_) {
        total += model.recent_peak_;
    }
    return picture.models_.empty()
               ? 0
               : total / static_cast<double>(picture.models_.size());
}

// A runner on which something changed lately is left alone, so that spares
// don't follow each demand load.
auto quiet(const draft& plan, std::size_t runner) -> bool {
    const auto& view = plan.fleet_.runners_[runner];
    const auto before = plan.input_.now_ - plan.settings_.spare_quiet_time_;
    return std::all_of(view.replicas_.begin(), view.replicas_.end(),
                       [&](std::size_t index) {
                           return plan.fleet_.replicas_[index].since_ <= before;
                       });
}

auto best_runner(const draft& plan, std::size_t model) -> std::size_t {
    auto best = none;
    auto best_key = std::tuple{true, 0.0};
    for (auto index = std::size_t{0}; index < plan.fleet_.runners_.size();
         ++index) {
        const auto& runner = plan.fleet_.runners_[index];
        if (runner.free() < plan.fleet_.models_[model].bytes_ ||
            !plan.fleet_.allowed(index, model) ||
            plan.fleet_.hosts(index, model) || !quiet(plan, index)) {
            continue;
        }
        const auto key = std::tuple{plan.fleet_.covers_zone(model, index),
                                    runner.utilisation()};
        if (best == none || key < best_key) {
            best = index;
            best_key = key;
        }
    }
    return best;
}

} // namespace

auto use_spare_memory(draft& plan) -> void {
    auto& fleet = plan.fleet_;
    if (fleet.loading_ > 0 || plan.settings_.spares_per_plan_ == 0) {
        return;
    }
    // Between even and in proportion to demand: any model may rise, and one
    // that is used much rises further.
    const auto mean = mean_peak(fleet);
    auto order = std::vector<std::pair<double, std::size_t>>{};
    for (auto index = std::size_t{0}; index < fleet.models_.size(); ++index) {
        const auto replicas = std::max(1U, fleet.count(index).current_);
        const auto need = (fleet.models_[index].recent_peak_ + mean) / replicas;
        order.emplace_back(-need, index);
    }
    std::sort(order.begin(), order.end());
    auto left = plan.settings_.spares_per_plan_;
    for (const auto& [need, model] : order) {
        if (left == 0) {
            return;
        }
        const auto runner = best_runner(plan, model);
        if (runner != none) {
            plan.load(runner, model, placement_reason::spare, 0, 0);
            --left;
        }
    }
}

} // namespace basilstream::coordination::internal::placement
