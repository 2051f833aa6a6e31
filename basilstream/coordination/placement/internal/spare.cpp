#include <algorithm>
#include <tuple>

#include "basilstream/coordination/placement/internal/draft.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

auto mean_recent_peak(const fleet_view& fleet) -> double {
    auto total = 0.0;
    for (const auto& model : fleet.models_) {
        total += model.recent_peak_;
    }
    return fleet.models_.empty()
               ? 0
               : total / static_cast<double>(fleet.models_.size());
}

// Returns true if `runner` has received no replica within the quiet time. Only
// such runners get spares, so that a load for demand does not trigger further
// loads.
auto is_quiet(const plan_builder& builder, std::size_t runner) -> bool {
    const auto& view = builder.fleet_.runners_[runner];
    const auto latest_allowed_change =
        builder.input_.now_ - builder.settings_.spare_quiet_time_;
    return std::all_of(view.replicas_.begin(), view.replicas_.end(),
                       [&](std::size_t index) {
                           return builder.fleet_.replicas_[index].since_ <=
                                  latest_allowed_change;
                       });
}

auto find_best_runner(const plan_builder& builder, std::size_t model)
    -> std::size_t {
    auto best = npos;
    auto best_key = std::tuple{true, 0.0};
    for (auto index = std::size_t{0}; index < builder.fleet_.runners_.size();
         ++index) {
        const auto& runner = builder.fleet_.runners_[index];
        if (runner.free_bytes() < builder.fleet_.models_[model].bytes_ ||
            !builder.fleet_.is_allowed(index, model) ||
            builder.fleet_.hosts(index, model) || !is_quiet(builder, index)) {
            continue;
        }
        const auto key = std::tuple{builder.fleet_.covers_zone(model, index),
                                    runner.utilisation()};
        if (best == npos || key < best_key) {
            best = index;
            best_key = key;
        }
    }
    return best;
}

} // namespace

auto use_spare_memory(plan_builder& builder) -> void {
    auto& fleet = builder.fleet_;
    if (fleet.loads_in_flight_ > 0 || builder.settings_.spares_per_plan_ == 0) {
        return;
    }
    // Half of the weight is distributed evenly over the models and half in
    // proportion to demand: demand for any model may rise, and that for a
    // heavily used one rises further.
    const auto mean = mean_recent_peak(fleet);
    auto order = std::vector<std::pair<double, std::size_t>>{};
    for (auto index = std::size_t{0}; index < fleet.models_.size(); ++index) {
        const auto replicas =
            std::max(1U, fleet.count_replicas(index).up_to_date_);
        const auto need = (fleet.models_[index].recent_peak_ + mean) / replicas;
        order.emplace_back(-need, index);
    }
    std::sort(order.begin(), order.end());
    auto remaining_loads = builder.settings_.spares_per_plan_;
    for (const auto& [need, model] : order) {
        if (remaining_loads == 0) {
            return;
        }
        const auto runner = find_best_runner(builder, model);
        if (runner != npos) {
            builder.load(runner, model, placement_reason::spare, 0, 0);
            --remaining_loads;
        }
    }
}

} // namespace basilstream::coordination::internal::placement
