/// Simulated fleet for tests of the placement planner.
#pragma once

#include <algorithm>
#include <functional>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination::testing {

// Returned by `run_until_stable` if plans do not stop producing steps.
inline constexpr auto not_stable = 1'000'000;
inline constexpr auto gigabyte = std::uint64_t{1} << 30U;

// Executes plans step by step. Checks that each load fits into the memory of
// its runner and that no unload makes a declared model unreachable.
class simulated_fleet {
public:
    explicit simulated_fleet(planner_settings settings = {})
        : planner_{settings} {}

    auto add_runners(const std::string& zone, int count,
                     std::uint64_t memory = 80 * gigabyte) -> void {
        for (auto index = 0; index < count; ++index) {
            auto runner = placement_runner{};
            runner.name_ = zone + "-" + std::to_string(index);
            runner.availability_zone_ = zone;
            runner.region_ = "region";
            runner.memory_bytes_ = memory;
            runner.tokens_per_second_ = 1000;
            input_.runners_.push_back(runner);
        }
    }

    auto add_model(const std::string& name, std::uint64_t bytes,
                   int adapters = 0) -> placement_model& {
        auto model = placement_model{};
        model.name_ = "org/" + name;
        model.organisation_ = "org";
        model.version_ = "v1";
        model.memory_bytes_ = bytes;
        for (auto index = 0; index < adapters; ++index) {
            model.adapters_.push_back(
                {"a" + std::to_string(index), "w1", gigabyte / 4});
        }
        input_.models_.push_back(model);
        return input_.models_.back();
    }

    auto set_demand(const std::string& model, double requests) -> void {
        auto& demands = input_.demands_;
        const auto at = std::find_if(
            demands.begin(), demands.end(),
            [&](const auto& demand) { return demand.model_ == model; });
        if (at != demands.end()) {
            demands.erase(at);
        }
        demands.push_back({model, requests * 200, requests});
    }

    auto plan(duration elapsed = seconds{2}) -> placement_plan {
        input_.now_ += elapsed;
        auto new_plan = planner_.plan(input_);
        input_.history_ = new_plan.history_;
        return new_plan;
    }

    // Plans and executes until `required_rounds_without_steps` consecutive
    // plans have no steps. One such plan is not enough, because demand peaks
    // continue to decay. Returns the number of model loads, or `not_stable`
    // after 2000 plans.
    auto run_until_stable(int required_rounds_without_steps = 60) -> int {
        auto loads = 0;
        auto rounds_without_steps = 0;
        for (auto round = 0; round < 2000; ++round) {
            const auto new_plan = plan();
            rounds_without_steps =
                new_plan.steps_.empty() ? rounds_without_steps + 1 : 0;
            if (rounds_without_steps == required_rounds_without_steps) {
                return loads;
            }
            for (const auto& step : new_plan.steps_) {
                execute(step);
                loads += step.action_ == placement_action::load_model ? 1 : 0;
            }
            finish_loads();
        }
        return not_stable;
    }

    auto execute(const placement_step& step) -> void {
        const auto& resident = step.resident_;
        if (step.action_ == placement_action::load_model ||
            step.action_ == placement_action::load_adapter) {
            input_.residents_.push_back(resident);
            input_.residents_.back().state_ = resident_state::loading;
            expect_within_memory(resident.runner_);
            return;
        }
        const auto at =
            std::find_if(input_.residents_.begin(), input_.residents_.end(),
                         [&](const auto& candidate) {
                             return candidate.runner_ == resident.runner_ &&
                                    candidate.model_ == resident.model_ &&
                                    candidate.adapter_ == resident.adapter_ &&
                                    candidate.version_ == resident.version_;
                         });
        ASSERT_NE(at, input_.residents_.end()) << explain(step);
        input_.residents_.erase(at);
        if (resident.adapter_.empty() && is_declared(resident.model_)) {
            EXPECT_GT(count_ready(resident.model_), 0) << explain(step);
        }
    }

    auto finish_loads() -> void {
        for (auto& resident : input_.residents_) {
            resident.state_ = resident_state::ready;
        }
    }

    auto expect_within_memory(const std::string& runner) const -> void {
        auto used = std::uint64_t{0};
        for (const auto& resident : input_.residents_) {
            used += resident.runner_ == runner ? resident.memory_bytes_ : 0;
        }
        for (const auto& candidate : input_.runners_) {
            if (candidate.name_ == runner) {
                EXPECT_LE(used, candidate.memory_bytes_) << runner;
            }
        }
    }

    auto remove_runners(
        const std::function<bool(const placement_runner&)>& is_removed)
        -> void {
        auto names = std::set<std::string>{};
        for (const auto& runner : input_.runners_) {
            if (is_removed(runner)) {
                names.insert(runner.name_);
            }
        }
        std::erase_if(input_.runners_, is_removed);
        std::erase_if(input_.residents_, [&](const auto& resident) {
            return names.count(resident.runner_) > 0;
        });
    }

    auto is_declared(const std::string& model) const -> bool {
        return std::any_of(
            input_.models_.begin(), input_.models_.end(),
            [&](const auto& candidate) { return candidate.name_ == model; });
    }

    auto count_ready(const std::string& model,
                     const std::string& version = "") const -> int {
        return static_cast<int>(std::count_if(
            input_.residents_.begin(), input_.residents_.end(),
            [&](const auto& resident) {
                return resident.model_ == model && resident.adapter_.empty() &&
                       resident.state_ == resident_state::ready &&
                       (version.empty() || resident.version_ == version);
            }));
    }

    auto count_resident_zones(const std::string& model) const -> std::size_t {
        auto zones = std::set<std::string>{};
        for (const auto& resident : input_.residents_) {
            if (resident.model_ == model && resident.adapter_.empty()) {
                zones.insert(
                    resident.runner_.substr(0, resident.runner_.rfind('-')));
            }
        }
        return zones.size();
    }

    auto expect_redundant() const -> void {
        for (const auto& model : input_.models_) {
            EXPECT_GE(count_ready(model.name_, model.version_), 2)
                << model.name_;
            EXPECT_GE(count_resident_zones(model.name_), 2U) << model.name_;
        }
    }

    placement_input input_;
    planner planner_;
};

inline auto make_three_zone_fleet(planner_settings settings = {})
    -> simulated_fleet {
    auto result = simulated_fleet{settings};
    result.add_runners("zone_a", 7);
    result.add_runners("zone_b", 7);
    result.add_runners("zone_c", 6);
    for (auto index = 0; index < 35; ++index) {
        result.add_model("model" + std::to_string(index),
                         (6 + index % 4 * 4) * gigabyte, index % 5);
    }
    result.input_.organisations_ = {{"org", 1, 10}};
    return result;
}

// Disables spare replicas, so that tests can count the loads that are needed.
inline auto settings_without_spares() -> planner_settings {
    auto settings = planner_settings{};
    settings.spares_per_plan_ = 0;
    return settings;
}

} // namespace basilstream::coordination::testing
