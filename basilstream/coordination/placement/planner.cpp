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

auto key_of(const placement_resident& one) -> resident_key {
    return {one.runner_, one.model_, one.adapter_, one.version_};
}

auto is_load(const placement_step& step) -> bool {
    return step.action_ == placement_action::load_model ||
           step.action_ == placement_action::load_adapter;
}

auto wanted_residents(const placement_input& input,
                      const std::vector<placement_step>& steps)
    -> std::vector<placement_resident> {
    auto unloaded = std::set<resident_key>{};
    for (const auto& step : steps) {
        if (!is_load(step)) {
            unloaded.insert(key_of(step.resident_));
        }
    }
    auto result = std::vector<placement_resident>{};
    for (const auto& resident : input.residents_) {
        if (resident.state_ != resident_state::unloading &&
            unloaded.count(key_of(resident)) == 0) {
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
                  return key_of(a) < key_of(b);
              });
    return result;
}

auto status_of(const internal::placement::draft& plan, std::size_t index)
    -> placement_status {
    const auto& model = plan.fleet_.models_[index];
    const auto count = plan.fleet_.count(index);
    auto result = placement_status{};
    result.model_ = model.declared_->name_;
    result.ready_ = count.ready_anywhere_;
    result.current_ = count.current_ready_;
    result.availability_zones_ = count.ready_zones_;
    result.wanted_replicas_ = model.wanted_;
    result.redundant_ = count.ready_zones_ >= 2;
    if (!result.redundant_) {
        result.detail_ = plan.details_[index].empty()
                             ? "a replica is being loaded"
                             : plan.details_[index];
    }
    return result;
}

auto history_of(const internal::placement::draft& plan) -> placement_history {
    auto result = placement_history{};
    result.planned_at_ = plan.input_.now_;
    result.peaks_ =
        internal::placement::recent_peaks(plan.input_, plan.settings_);
    for (const auto& one : plan.fleet_.replicas_) {
        if (!one.removed_) {
            result.residences_.push_back(
                {plan.fleet_.runners_[one.runner_].declared_->name_,
                 plan.fleet_.models_[one.model_].declared_->name_, one.since_});
        }
    }
    return result;
}

// Returns the steps of runners on which all steps fit one after the other.
auto feasible_steps(const internal::placement::draft& plan)
    -> std::vector<placement_step> {
    auto overfull = std::set<std::string_view>{};
    for (const auto& runner : plan.fleet_.runners_) {
        const auto grows =
            std::any_of(plan.steps_.begin(), plan.steps_.end(),
                        [&](const placement_step& step) {
                            return is_load(step) && step.resident_.runner_ ==
                                                        runner.declared_->name_;
                        });
        if (grows &&
            !holds(runner.committed_ <= runner.declared_->memory_bytes_,
                   "placement_within_memory", runner.declared_->name_)) {
            overfull.insert(runner.declared_->name_);
        }
    }
    auto result = std::vector<placement_step>{};
    for (const auto& step : plan.steps_) {
        if (overfull.count(step.resident_.runner_) == 0) {
            result.push_back(step);
        }
    }
    return result;
}

} // namespace

auto planner::plan(const placement_input& input) const -> placement_plan {
    auto work = internal::placement::draft{input, settings_};
    internal::placement::balance(work.fleet_);
    auto result = placement_plan{};
    for (const auto& runner : work.fleet_.runners_) {
        result.utilisations_.emplace_back(runner.declared_->name_,
                                          runner.utilisation());
    }
    const auto repaired = internal::placement::repair(work);
    internal::placement::retire(work);
    if (repaired) {
        internal::placement::improve(work);
        internal::placement::use_spare_memory(work);
    }
    internal::placement::complete_adapters(work);
    for (auto index = std::size_t{0}; index < work.fleet_.models_.size();
         ++index) {
        result.statuses_.push_back(status_of(work, index));
    }
    result.history_ = history_of(work);
    result.steps_ = feasible_steps(work);
    result.rejections_ = std::move(work.rejections_);
    result.wanted_ = wanted_residents(input, result.steps_);
    return result;
}

} // namespace basilstream::coordination
