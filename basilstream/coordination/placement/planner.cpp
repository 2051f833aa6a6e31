#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/placement/internal/draft.hpp"
#include "basilstream/coordination/placement/internal/flow.hpp"
#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination {
namespace {

using resident_key = std::tuple<std::string_view, std::string_view,
                                std::string_view, std::string_view>;

auto make_resident_key(const placement_resident& resident) -> resident_key {
    return {resident.runner_, resident.model_, resident.adapter_,
            resident.version_};
}

auto is_load(const placement_step& step) -> bool {
    return step.action_ == placement_action::load_model ||
           step.action_ == placement_action::load_adapter;
}

auto target_residents(const placement_input& input,
                      const std::vector<placement_step>& steps)
    -> std::vector<placement_resident> {
    auto unloaded = std::set<resident_key>{};
    for (const auto& step : steps) {
        if (!is_load(step)) {
            unloaded.insert(make_resident_key(step.resident_));
        }
    }
    auto result = std::vector<placement_resident>{};
    for (const auto& resident : input.residents_) {
        if (resident.state_ != resident_state::unloading &&
            unloaded.count(make_resident_key(resident)) == 0) {
            result.push_back(resident);
        }
    }
    for (const auto& step : steps) {
        if (is_load(step)) {
            result.push_back(step.resident_);
        }
    }
    for (auto& resident : result) {
        resident.state_ = resident_state::ready;
    }
    std::sort(result.begin(), result.end(),
              [](const placement_resident& a, const placement_resident& b) {
                  return make_resident_key(a) < make_resident_key(b);
              });
    return result;
}

auto status_of(const internal::placement::plan_builder& builder,
               std::size_t index) -> placement_status {
    const auto& model = builder.fleet_.models_[index];
    const auto count = builder.fleet_.count_replicas(index);
    auto result = placement_status{};
    result.model_ = model.declared_->name_;
    result.ready_replicas_ = count.ready_anywhere_;
    result.up_to_date_replicas_ = count.up_to_date_ready_;
    result.availability_zones_ = count.ready_zones_;
    result.desired_replicas_ = model.desired_replicas_;
    result.redundant_ = count.ready_zones_ >= 2;
    if (!result.redundant_) {
        result.detail_ = builder.details_[index].empty()
                             ? "a replica is being loaded"
                             : builder.details_[index];
    }
    return result;
}

auto history_of(const internal::placement::plan_builder& builder)
    -> placement_history {
    auto result = placement_history{};
    result.planned_at_ = builder.input_.now_;
    result.peaks_ =
        internal::placement::recent_peaks(builder.input_, builder.settings_);
    for (const auto& replica : builder.fleet_.replicas_) {
        if (!replica.removed_) {
            result.residences_.push_back(
                {builder.fleet_.runners_[replica.runner_].declared_->name_,
                 builder.fleet_.models_[replica.model_].declared_->name_,
                 replica.since_});
        }
    }
    return result;
}

// Returns the steps, omitting those on runners whose memory the plan would
// overcommit. Reports each such runner as a violated invariant.
auto feasible_steps(const internal::placement::plan_builder& builder)
    -> std::vector<placement_step> {
    auto overcommitted = std::set<std::string_view>{};
    for (const auto& runner : builder.fleet_.runners_) {
        const auto has_load =
            std::any_of(builder.steps_.begin(), builder.steps_.end(),
                        [&](const placement_step& step) {
                            return is_load(step) && step.resident_.runner_ ==
                                                        runner.declared_->name_;
                        });
        if (has_load &&
            !holds(runner.committed_bytes_ <= runner.declared_->memory_bytes_,
                   "placement_within_memory", runner.declared_->name_)) {
            overcommitted.insert(runner.declared_->name_);
        }
    }
    auto result = std::vector<placement_step>{};
    for (const auto& step : builder.steps_) {
        if (overcommitted.count(step.resident_.runner_) == 0) {
            result.push_back(step);
        }
    }
    return result;
}

} // namespace

auto planner::plan(const placement_input& input) const -> placement_plan {
    auto builder = internal::placement::plan_builder{input, settings_};
    internal::placement::balance_load(builder.fleet_);
    auto result = placement_plan{};
    for (const auto& runner : builder.fleet_.runners_) {
        result.utilisations_.emplace_back(runner.declared_->name_,
                                          runner.utilisation());
    }
    const auto repaired = internal::placement::repair(builder);
    internal::placement::unload_obsolete(builder);
    if (repaired) {
        internal::placement::improve(builder);
        internal::placement::use_spare_memory(builder);
    }
    internal::placement::reconcile_adapters(builder);
    for (auto index = std::size_t{0}; index < builder.fleet_.models_.size();
         ++index) {
        result.statuses_.push_back(status_of(builder, index));
    }
    result.history_ = history_of(builder);
    result.steps_ = feasible_steps(builder);
    result.rejections_ = std::move(builder.rejections_);
    result.target_residents_ = target_residents(input, result.steps_);
    return result;
}

} // namespace basilstream::coordination
