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

auto same_steps(const placement_plan& a, const placement_plan& b) -> bool {
    auto lines = [](const placement_plan& plan) {
        auto result = std::vector<std::string>{};
        for (const auto& step : plan.steps_) {
            result.push_back(explain(step));
        }
        return result;
    };
    return lines(a) == lines(b) && a.wanted_ == b.wanted_;
}

TEST(placement, makes_every_model_resident_in_two_availability_zones) {
    auto fleet = three_zones(without_spares());
    EXPECT_EQ(fleet.settle(), 70);
    fleet.expect_redundant();
    for (const auto& status : fleet.plan().statuses_) {
        EXPECT_TRUE(status.redundant_) << status.model_;
    }
    EXPECT_EQ(fleet.input_.residents_.size(), 70U + 2U * 70U);
}

TEST(placement, reaches_every_model_before_any_second_replica) {
    auto fleet = three_zones();
    auto loaded = std::map<std::string, int>{};
    for (auto round = 0; round < 20; ++round) {
        const auto made = fleet.plan();
        for (const auto& step : made.steps_) {
            if (step.action_ == placement_action::load_model) {
                const auto second = ++loaded[step.resident_.model_] == 2;
                EXPECT_TRUE(!second || loaded.size() == 35U);
            }
            fleet.carry_out(step);
        }
        fleet.finish_loads();
    }
    EXPECT_EQ(loaded.size(), 35U);
}

TEST(placement, does_not_depend_on_the_order_of_its_inputs) {
    auto fleet = three_zones();
    fleet.settle();
    for (auto index = 0; index < 35; ++index) {
        fleet.set_demand("org/model" + std::to_string(index), 4);
    }
    fleet.set_demand("org/model3", 40);
    fleet.lose([](const auto& one) { return one.name_ == "zone_a-1"; });
    const auto first = fleet.planner_.plan(fleet.input_);
    auto other = fleet.input_;
    std::reverse(other.runners_.begin(), other.runners_.end());
    std::reverse(other.models_.begin(), other.models_.end());
    std::reverse(other.residents_.begin(), other.residents_.end());
    std::reverse(other.demands_.begin(), other.demands_.end());
    EXPECT_FALSE(first.steps_.empty());
    EXPECT_TRUE(same_steps(first, fleet.planner_.plan(other)));
}

TEST(placement, lost_zone_leaves_every_model_reachable_and_is_repaired_paced) {
    auto settings = planner_settings{};
    auto fleet = three_zones(settings);
    fleet.settle();
    fleet.lose(
        [](const auto& one) { return one.availability_zone_ == "zone_b"; });
    for (const auto& model : fleet.input_.models_) {
        EXPECT_GE(fleet.ready(model.name_), 1) << model.name_;
    }
    const auto made = fleet.plan();
    const auto loads = std::count_if(
        made.steps_.begin(), made.steps_.end(), [](const auto& step) {
            return step.action_ == placement_action::load_model;
        });
    EXPECT_EQ(loads, settings.repairs_in_flight_);
    fleet.settle();
    fleet.expect_redundant();
}

TEST(placement, says_where_memory_does_not_allow_a_second_replica) {
    auto fleet = fixture{};
    fleet.add_runners("zone_a", 2, 40 * gigabyte);
    fleet.add_runners("zone_b", 1, 40 * gigabyte);
    for (auto index = 0; index < 4; ++index) {
        fleet.add_model("model" + std::to_string(index), 20 * gigabyte);
    }
    fleet.settle();
    const auto made = fleet.plan();
    auto thin = 0;
    for (const auto& status : made.statuses_) {
        EXPECT_GE(status.ready_, 1U) << status.model_;
        EXPECT_EQ(status.redundant_, status.detail_.empty());
        thin += status.redundant_ ? 0 : 1;
    }
    EXPECT_EQ(thin, 2);
    EXPECT_TRUE(std::any_of(
        made.rejections_.begin(), made.rejections_.end(), [](const auto& one) {
            return one.reason_ == placement_rejection_reason::no_memory;
        }));
}

TEST(placement, evicts_a_second_replica_for_a_model_that_has_none) {
    auto fleet = fixture{};
    fleet.add_runners("zone_a", 1, 40 * gigabyte);
    fleet.add_runners("zone_b", 1, 40 * gigabyte);
    fleet.add_model("first", 20 * gigabyte);
    fleet.add_model("second", 20 * gigabyte);
    fleet.settle();
    fleet.expect_redundant();
    fleet.add_model("third", 20 * gigabyte);
    fleet.settle();
    for (const auto& model : fleet.input_.models_) {
        EXPECT_GE(fleet.ready(model.name_), 1) << model.name_;
    }
}

TEST(placement, relocates_a_model_when_memory_is_fragmented) {
    auto fleet = fixture{};
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
    fleet.settle();
    EXPECT_EQ(fleet.ready("org/large"), 1);
}

TEST(placement, adds_replicas_for_demand_only_when_the_gain_pays) {
    for (const auto price : {1.0, 1.0e9}) {
        auto fleet = three_zones(without_spares());
        fleet.input_.organisations_ = {{"org", 1, price}};
        fleet.settle();
        fleet.set_demand("org/model0", 20);
        fleet.settle();
        const auto extra = fleet.ready("org/model0") - 2;
        EXPECT_EQ(extra > 0, price == 1.0);
        const auto made = fleet.plan();
        EXPECT_EQ(
            price != 1.0,
            std::any_of(made.rejections_.begin(), made.rejections_.end(),
                        [](const auto& one) {
                            return one.reason_ ==
                                   placement_rejection_reason::gain_below_price;
                        }));
    }
}

TEST(placement, fills_spare_memory_and_gives_it_up_to_what_needs_it) {
    constexpr auto past_quiet_time = 200;
    auto fleet = three_zones();
    EXPECT_LT(fleet.settle(past_quiet_time), never_ends);
    fleet.expect_redundant();
    const auto models = [&] {
        return std::count_if(
            fleet.input_.residents_.begin(), fleet.input_.residents_.end(),
            [](const auto& one) { return one.adapter_.empty(); });
    };
    EXPECT_GT(models(), 70);
    for (auto index = 0; index < 10; ++index) {
        fleet.add_model("late" + std::to_string(index), 24 * gigabyte);
    }
    fleet.settle();
    fleet.expect_redundant();
}

TEST(placement, burst_that_comes_and_goes_moves_nothing_twice) {
    auto fleet = three_zones(without_spares());
    fleet.settle();
    auto loads = std::vector<int>{};
    for (auto burst = 0; burst < 6; ++burst) {
        fleet.set_demand("org/model0", 25);
        loads.push_back(fleet.settle());
        fleet.set_demand("org/model0", 1);
        loads.back() += fleet.settle();
        fleet.input_.now_ += seconds{600};
    }
    EXPECT_GT(loads.front(), 0);
    for (auto burst = std::size_t{1}; burst < loads.size(); ++burst) {
        EXPECT_EQ(loads[burst], 0);
    }
}

TEST(placement, rollout_of_all_models_keeps_each_reachable) {
    auto fleet = three_zones(without_spares());
    fleet.settle();
    for (auto& model : fleet.input_.models_) {
        model.version_ = "v2";
        for (auto& adapter : model.adapters_) {
            adapter.version_ = "w2";
        }
    }
    EXPECT_EQ(fleet.settle(), 70);
    fleet.expect_redundant();
    for (const auto& one : fleet.input_.residents_) {
        EXPECT_EQ(one.version_, one.adapter_.empty() ? "v2" : "w2");
    }
}

TEST(placement, leaving_runner_gets_nothing_and_is_replaced) {
    auto fleet = three_zones();
    fleet.settle();
    fleet.input_.runners_.front().leaving_ = true;
    const auto name = fleet.input_.runners_.front().name_;
    for (auto round = 0; round < 20; ++round) {
        for (const auto& step : fleet.plan().steps_) {
            EXPECT_NE(step.resident_.runner_, name);
            fleet.carry_out(step);
        }
        fleet.finish_loads();
    }
    fleet.lose([&](const auto& one) { return one.name_ == name; });
    fleet.expect_redundant();
}

TEST(placement, as_many_replicas_as_regions_put_one_into_each) {
    constexpr auto regions = 5;
    auto settings = without_spares();
    settings.replicas_ = regions;
    auto fleet = fixture{settings};
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
    fleet.settle();
    auto reached = std::set<std::pair<std::string, std::string>>{};
    for (const auto& one : fleet.input_.residents_) {
        reached.insert({one.model_, region_of[one.runner_]});
    }
    EXPECT_EQ(reached.size(), 30U * regions);
}

// Runners die, leave and come back, models come, go and change, demand drifts;
// every step is checked, and when the changes stop the plans must end.
TEST(placement, random_changes_keep_every_step_safe_and_plans_end) {
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
        auto random = seeded_random{seed};
        auto fleet = three_zones();
        auto spare = std::vector<placement_runner>{};
        for (auto round = 0; round < 150; ++round) {
            const auto kind = random.below(8);
            auto& model =
                fleet.input_.models_[random.below(fleet.input_.models_.size())];
            const auto victim =
                fleet.input_
                    .runners_[random.below(fleet.input_.runners_.size())];
            if (kind == 0 && spare.size() < 4) {
                spare.push_back(victim);
                fleet.lose(
                    [&](const auto& one) { return one.name_ == victim.name_; });
            } else if (kind == 1 && !spare.empty()) {
                fleet.input_.runners_.push_back(spare.back());
                spare.pop_back();
            } else if (kind == 2) {
                model.version_ = "v" + std::to_string(random.below(9));
            } else if (kind < 6) {
                fleet.set_demand(model.name_,
                                 static_cast<double>(random.below(30)));
            }
            for (const auto& step : fleet.plan().steps_) {
                // Orders may be lost: the next plan sees what came of it.
                if (random.below(5) == 0) {
                    break;
                }
                fleet.carry_out(step);
            }
            if (random.below(2) == 0) {
                fleet.finish_loads();
            }
        }
        fleet.finish_loads();
        ASSERT_LT(fleet.settle(), never_ends) << "seed " << seed;
        for (const auto& one : fleet.input_.models_) {
            EXPECT_GE(fleet.ready(one.name_, one.version_), 1)
                << one.name_ << " seed " << seed;
        }
        EXPECT_EQ(invariant_violations(), 0U);
    }
}

} // namespace
} // namespace basilstream::coordination
