#include "basilstream/coordination/placement/placement.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/placement/placement_test_fixture.hpp"

namespace basilstream::coordination {
namespace {

using namespace testing;

auto have_same_steps(const placement_plan& a, const placement_plan& b) -> bool {
    auto lines = [](const placement_plan& plan) {
        auto result = std::vector<std::string>{};
        for (const auto& step : plan.steps_) {
            result.push_back(explain(step));
        }
        return result;
    };
    return lines(a) == lines(b) && a.target_residents_ == b.target_residents_;
}

TEST(placement, places_every_model_in_two_availability_zones) {
    auto fleet = make_three_zone_fleet(settings_without_spares());
    EXPECT_EQ(fleet.run_until_stable(), 70);
    fleet.expect_redundant();
    for (const auto& status : fleet.plan().statuses_) {
        EXPECT_TRUE(status.redundant_) << status.model_;
    }
    EXPECT_EQ(fleet.input_.residents_.size(), 70U + 2U * 70U);
}

TEST(placement, loads_first_replicas_before_second_replicas) {
    auto fleet = make_three_zone_fleet();
    auto loaded = std::map<std::string, int>{};
    for (auto round = 0; round < 20; ++round) {
        const auto new_plan = fleet.plan();
        for (const auto& step : new_plan.steps_) {
            if (step.action_ == placement_action::load_model) {
                const auto second = ++loaded[step.resident_.model_] == 2;
                EXPECT_TRUE(!second || loaded.size() == 35U);
            }
            fleet.execute(step);
        }
        fleet.finish_loads();
    }
    EXPECT_EQ(loaded.size(), 35U);
}

TEST(placement, does_not_depend_on_the_order_of_its_inputs) {
    auto fleet = make_three_zone_fleet();
    fleet.run_until_stable();
    for (auto index = 0; index < 35; ++index) {
        fleet.set_demand("org/model" + std::to_string(index), 4);
    }
    fleet.set_demand("org/model3", 40);
    fleet.remove_runners(
        [](const auto& runner) { return runner.name_ == "zone_a-1"; });
    const auto first = fleet.planner_.plan(fleet.input_);
    auto other = fleet.input_;
    std::reverse(other.runners_.begin(), other.runners_.end());
    std::reverse(other.models_.begin(), other.models_.end());
    std::reverse(other.residents_.begin(), other.residents_.end());
    std::reverse(other.demands_.begin(), other.demands_.end());
    EXPECT_FALSE(first.steps_.empty());
    EXPECT_TRUE(have_same_steps(first, fleet.planner_.plan(other)));
}

TEST(placement, zone_loss_keeps_models_reachable_and_limits_repairs_in_flight) {
    auto settings = planner_settings{};
    auto fleet = make_three_zone_fleet(settings);
    fleet.run_until_stable();
    fleet.remove_runners([](const auto& runner) {
        return runner.availability_zone_ == "zone_b";
    });
    for (const auto& model : fleet.input_.models_) {
        EXPECT_GE(fleet.count_ready(model.name_), 1) << model.name_;
    }
    const auto new_plan = fleet.plan();
    const auto loads = std::count_if(
        new_plan.steps_.begin(), new_plan.steps_.end(), [](const auto& step) {
            return step.action_ == placement_action::load_model;
        });
    EXPECT_EQ(loads, settings.repairs_in_flight_);
    fleet.run_until_stable();
    fleet.expect_redundant();
}

TEST(placement, reports_models_whose_second_replica_does_not_fit) {
    auto fleet = simulated_fleet{};
    fleet.add_runners("zone_a", 2, 40 * gigabyte);
    fleet.add_runners("zone_b", 1, 40 * gigabyte);
    for (auto index = 0; index < 4; ++index) {
        fleet.add_model("model" + std::to_string(index), 20 * gigabyte);
    }
    fleet.run_until_stable();
    const auto new_plan = fleet.plan();
    auto not_redundant = 0;
    for (const auto& status : new_plan.statuses_) {
        EXPECT_GE(status.ready_replicas_, 1U) << status.model_;
        EXPECT_EQ(status.redundant_, status.detail_.empty());
        not_redundant += status.redundant_ ? 0 : 1;
    }
    EXPECT_EQ(not_redundant, 2);
    EXPECT_TRUE(std::any_of(
        new_plan.rejections_.begin(), new_plan.rejections_.end(),
        [](const auto& rejection) {
            return rejection.reason_ == placement_rejection_reason::no_memory;
        }));
}

TEST(placement, evicts_second_replica_for_unreachable_model) {
    auto fleet = simulated_fleet{};
    fleet.add_runners("zone_a", 1, 40 * gigabyte);
    fleet.add_runners("zone_b", 1, 40 * gigabyte);
    fleet.add_model("first", 20 * gigabyte);
    fleet.add_model("second", 20 * gigabyte);
    fleet.run_until_stable();
    fleet.expect_redundant();
    fleet.add_model("third", 20 * gigabyte);
    fleet.run_until_stable();
    for (const auto& model : fleet.input_.models_) {
        EXPECT_GE(fleet.count_ready(model.name_), 1) << model.name_;
    }
}

TEST(placement, relocates_a_model_when_memory_is_fragmented) {
    auto fleet = simulated_fleet{};
    fleet.add_runners("zone_a", 2, 40 * gigabyte);
    fleet.add_model("left", 20 * gigabyte);
    fleet.add_model("right", 20 * gigabyte);
    fleet.input_.residents_ = {{"zone_a-0", "org/left", "", "v1", 20 * gigabyte,
                                resident_state::ready},
                               {"zone_a-1", "org/right", "", "v1",
                                20 * gigabyte, resident_state::ready}};
    for (auto& model : fleet.input_.models_) {
        model.minimum_replicas_ = 1;
    }
    fleet.planner_ = planner{[] {
        auto settings = planner_settings{};
        settings.replicas_ = 1;
        return settings;
    }()};
    fleet.add_model("large", 40 * gigabyte);
    fleet.run_until_stable();
    EXPECT_EQ(fleet.count_ready("org/large"), 1);
}

TEST(placement, adds_replicas_for_demand_only_when_gain_exceeds_price) {
    for (const auto price : {1.0, 1.0e9}) {
        auto fleet = make_three_zone_fleet(settings_without_spares());
        fleet.input_.organisations_ = {{"org", 1, price}};
        fleet.run_until_stable();
        fleet.set_demand("org/model0", 20);
        fleet.run_until_stable();
        const auto extra = fleet.count_ready("org/model0") - 2;
        EXPECT_EQ(extra > 0, price == 1.0);
        const auto new_plan = fleet.plan();
        EXPECT_EQ(
            price != 1.0,
            std::any_of(new_plan.rejections_.begin(),
                        new_plan.rejections_.end(), [](const auto& rejection) {
                            return rejection.reason_ ==
                                   placement_rejection_reason::gain_below_price;
                        }));
    }
}

TEST(placement, loads_spares_and_evicts_them_for_new_models) {
    constexpr auto rounds_past_quiet_time = 200;
    auto fleet = make_three_zone_fleet();
    EXPECT_LT(fleet.run_until_stable(rounds_past_quiet_time), not_stable);
    fleet.expect_redundant();
    const auto count_models = [&] {
        return std::count_if(
            fleet.input_.residents_.begin(), fleet.input_.residents_.end(),
            [](const auto& resident) { return resident.adapter_.empty(); });
    };
    EXPECT_GT(count_models(), 70);
    for (auto index = 0; index < 10; ++index) {
        fleet.add_model("late" + std::to_string(index), 24 * gigabyte);
    }
    fleet.run_until_stable();
    fleet.expect_redundant();
}

TEST(placement, recurring_burst_causes_loads_only_the_first_time) {
    auto fleet = make_three_zone_fleet(settings_without_spares());
    fleet.run_until_stable();
    auto loads = std::vector<int>{};
    for (auto burst = 0; burst < 6; ++burst) {
        fleet.set_demand("org/model0", 25);
        loads.push_back(fleet.run_until_stable());
        fleet.set_demand("org/model0", 1);
        loads.back() += fleet.run_until_stable();
        fleet.input_.now_ += seconds{600};
    }
    EXPECT_GT(loads.front(), 0);
    for (auto burst = std::size_t{1}; burst < loads.size(); ++burst) {
        EXPECT_EQ(loads[burst], 0);
    }
}

TEST(placement, rollout_of_all_models_keeps_them_reachable) {
    auto fleet = make_three_zone_fleet(settings_without_spares());
    fleet.run_until_stable();
    for (auto& model : fleet.input_.models_) {
        model.version_ = "v2";
        for (auto& adapter : model.adapters_) {
            adapter.version_ = "w2";
        }
    }
    EXPECT_EQ(fleet.run_until_stable(), 70);
    fleet.expect_redundant();
    for (const auto& resident : fleet.input_.residents_) {
        EXPECT_EQ(resident.version_, resident.adapter_.empty() ? "v2" : "w2");
    }
}

TEST(placement, leaving_runner_gets_no_loads_and_its_replicas_are_replaced) {
    auto fleet = make_three_zone_fleet();
    fleet.run_until_stable();
    fleet.input_.runners_.front().leaving_ = true;
    const auto name = fleet.input_.runners_.front().name_;
    for (auto round = 0; round < 20; ++round) {
        for (const auto& step : fleet.plan().steps_) {
            EXPECT_NE(step.resident_.runner_, name);
            fleet.execute(step);
        }
        fleet.finish_loads();
    }
    fleet.remove_runners(
        [&](const auto& runner) { return runner.name_ == name; });
    fleet.expect_redundant();
}

TEST(placement, spreads_replicas_over_all_regions) {
    constexpr auto regions = 5;
    auto settings = settings_without_spares();
    settings.replicas_ = regions;
    auto fleet = simulated_fleet{settings};
    for (auto zone = 0; zone < 19; ++zone) {
        fleet.add_runners("zone" + std::to_string(zone), 3);
    }
    auto region_of = std::map<std::string, std::string>{};
    for (auto& runner : fleet.input_.runners_) {
        const auto zone = std::stoi(runner.availability_zone_.substr(4));
        runner.region_ = "region" + std::to_string(zone % regions);
        region_of[runner.name_] = runner.region_;
    }
    for (auto index = 0; index < 30; ++index) {
        fleet.add_model("model" + std::to_string(index), 12 * gigabyte);
    }
    fleet.run_until_stable();
    auto resident_regions = std::set<std::pair<std::string, std::string>>{};
    for (const auto& resident : fleet.input_.residents_) {
        resident_regions.insert({resident.model_, region_of[resident.runner_]});
    }
    EXPECT_EQ(resident_regions.size(), 30U * regions);
}

// Runners fail and return, model versions and demand change at random, and some
// steps are lost. The fixture checks every step. Once the changes stop,
// the plans must converge.
TEST(placement, random_changes_keep_steps_safe_and_plans_converge) {
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
        auto random = seeded_random{seed};
        auto fleet = make_three_zone_fleet();
        auto removed_runners = std::vector<placement_runner>{};
        for (auto round = 0; round < 150; ++round) {
            const auto kind = random.below(8);
            auto& model =
                fleet.input_.models_[random.below(fleet.input_.models_.size())];
            const auto random_runner =
                fleet.input_
                    .runners_[random.below(fleet.input_.runners_.size())];
            if (kind == 0 && removed_runners.size() < 4) {
                removed_runners.push_back(random_runner);
                fleet.remove_runners([&](const auto& runner) {
                    return runner.name_ == random_runner.name_;
                });
            } else if (kind == 1 && !removed_runners.empty()) {
                fleet.input_.runners_.push_back(removed_runners.back());
                removed_runners.pop_back();
            } else if (kind == 2) {
                model.version_ = "v" + std::to_string(random.below(9));
            } else if (kind < 6) {
                fleet.set_demand(model.name_,
                                 static_cast<double>(random.below(30)));
            }
            for (const auto& step : fleet.plan().steps_) {
                // Orders may be lost; the next plan starts from the residents
                // that result.
                if (random.below(5) == 0) {
                    break;
                }
                fleet.execute(step);
            }
            if (random.below(2) == 0) {
                fleet.finish_loads();
            }
        }
        fleet.finish_loads();
        ASSERT_LT(fleet.run_until_stable(), not_stable) << "seed " << seed;
        for (const auto& declared : fleet.input_.models_) {
            EXPECT_GE(fleet.count_ready(declared.name_, declared.version_), 1)
                << declared.name_ << " seed " << seed;
        }
        EXPECT_EQ(invariant_violations(), 0U);
    }
}

} // namespace
} // namespace basilstream::coordination
