/// A fleet that carries out plans one step at a time and checks each.
#pragma once

#include <algorithm>
#include <functional>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination::testing {

inline constexpr auto never_ends = 1'000'000;
inline constexpr auto gigabyte = std::uint64_t{1} << 30U;

// Carries out plans one step at a time and checks each.
class fixture {
public:
    explicit fixture(planner_settings settings = {}) : planner_{settings} {}

    auto add_runners(const std::string& zone, int count,
                     std::uint64_t memory = 80 * gigabyte) -> void {
        for (auto index = 0; index < count; ++index) {
            auto one = placement_runner{};
            one.name_ = zone + "-" + std::to_string(index);
            one.availability_zone_ = zone;
            one.region_ = "region";
            one.memory_bytes_ = memory;
            one.tokens_per_second_ = 1000;
            input_.runners_.push_back(one);
        }
    }

    auto add_model(const std::string& name, std::uint64_t bytes,
                   int adapters = 0) -> placement_model& {
        auto one = placement_model{};
        one.name_ = "org/" + name;
        one.organisation_ = "org";
        one.version_ = "v1";
        one.memory_bytes_ = bytes;
        for (auto index = 0; index < adapters; ++index) {
            one.adapters_.push_back(
                {"a" + std::to_string(index), "w1", gigabyte / 4});
        }
        input_.models_.push_back(one);
        return input_.models_.back();
    }

    auto set_demand(const std::string& model, double requests) -> void {
        auto& demands = input_.demands_;
        const auto at =
            std::find_if(demands.begin(), demands.end(),
                         [&](const auto& one) { return one.model_ == model; });
        if (at != demands.end()) {
            demands.erase(at);
        }
        demands.push_back({model, requests * 200, requests});
    }

    auto plan(duration elapsed = seconds{2}) -> placement_plan {
        input_.now_ += elapsed;
        auto made = planner_.plan(input_);
        input_.history_ = made.history_;
        return made;
    }

    // Plans and carries out until nothing is left to do and the estimate of the
    // demand has followed it. Returns the loads of
    // models, or `never_ends`.
    auto settle(int quiet_rounds = 60) -> int {
        auto loads = 0;
        auto quiet = 0;
        for (auto round = 0; round < 2000; ++round) {
            const auto made = plan();
            quiet = made.steps_.empty() ? quiet + 1 : 0;
            if (quiet == quiet_rounds) {
                return loads;
            }
            for (const auto& step : made.steps_) {
                carry_out(step);
                loads += step.action_ == placement_action::load_model ? 1 : 0;
            }
            finish_loads();
        }
        return never_ends;
    }

    auto carry_out(const placement_step& step) -> void {
        const auto& wanted = step.resident_;
        if (step.action_ == placement_action::load_model ||
            step.action_ == placement_action::load_adapter) {
            input_.residents_.push_back(wanted);
            input_.residents_.back().state_ = resident_state::loading;
            check_memory(wanted.runner_);
            return;
        }
        const auto at =
            std::find_if(input_.residents_.begin(), input_.residents_.end(),
                         [&](const auto& one) {
                             return one.runner_ == wanted.runner_ &&
                                    one.model_ == wanted.model_ &&
                                    one.adapter_ == wanted.adapter_ &&
                                    one.version_ == wanted.version_;
                         });
        ASSERT_NE(at, input_.residents_.end()) << explain(step);
        input_.residents_.erase(at);
        if (wanted.adapter_.empty() && declared(wanted.model_)) {
            EXPECT_GT(ready(wanted.model_), 0) << explain(step);
        }
    }

    auto finish_loads() -> void {
        for (auto& one : input_.residents_) {
            one.state_ = resident_state::ready;
        }
    }

    auto check_memory(const std::string& runner) const -> void {
        auto used = std::uint64_t{0};
        for (const auto& one : input_.residents_) {
            used += one.runner_ == runner ? one.memory_bytes_ : 0;
        }
        for (const auto& one : input_.runners_) {
            if (one.name_ == runner) {
                EXPECT_LE(used, one.memory_bytes_) << runner;
            }
        }
    }

    auto lose(const std::function<bool(const placement_runner&)>& lost)
        -> void {
        auto names = std::set<std::string>{};
        for (const auto& one : input_.runners_) {
            if (lost(one)) {
                names.insert(one.name_);
            }
        }
        std::erase_if(input_.runners_, lost);
        std::erase_if(input_.residents_, [&](const auto& one) {
            return names.count(one.runner_) > 0;
        });
    }

    auto declared(const std::string& model) const -> bool {
        return std::any_of(input_.models_.begin(), input_.models_.end(),
                           [&](const auto& one) { return one.name_ == model; });
    }

    auto ready(const std::string& model, const std::string& version = "") const
        -> int {
        return static_cast<int>(std::count_if(
            input_.residents_.begin(), input_.residents_.end(),
            [&](const auto& one) {
                return one.model_ == model && one.adapter_.empty() &&
                       one.state_ == resident_state::ready &&
                       (version.empty() || one.version_ == version);
            }));
    }

    auto ready_zones(const std::string& model) const -> std::size_t {
        auto zones = std::set<std::string>{};
        for (const auto& one : input_.residents_) {
            if (one.model_ == model && one.adapter_.empty()) {
                zones.insert(one.runner_.substr(0, one.runner_.rfind('-')));
            }
        }
        return zones.size();
    }

    auto expect_redundant() const -> void {
        for (const auto& model : input_.models_) {
            EXPECT_GE(ready(model.name_, model.version_), 2) << model.name_;
            EXPECT_GE(ready_zones(model.name_), 2U) << model.name_;
        }
    }

    placement_input input_;
    planner planner_;
};

inline auto three_zones(planner_settings settings = {}) -> fixture {
    auto result = fixture{settings};
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

// Only what is needed is loaded, so that loads can be counted.
inline auto without_spares() -> planner_settings {
    auto settings = planner_settings{};
    settings.spares_per_plan_ = 0;
    return settings;
}

} // namespace basilstream::coordination::testing
