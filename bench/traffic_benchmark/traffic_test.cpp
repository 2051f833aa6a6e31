// Regression bounds, from the stated targets.
#include "bench/traffic_benchmark/traffic.hpp"

#include <gtest/gtest.h>

namespace basilstream::bench {
namespace {

class traffic_bounds : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(traffic_bounds, goodput_does_not_collapse_under_overload) {
    const auto at_capacity = run({.load_ = 1, .seed_ = GetParam()});
    // The first token within 1.3 s for 95 in 100.
    EXPECT_GE(at_capacity.attainment_, 0.95);
    for (const auto load : {2.0, 10.0}) {
        const auto overloaded = run({.load_ = load, .seed_ = GetParam()});
        EXPECT_GE(overloaded.goodput_per_second_,
                  0.9 * at_capacity.goodput_per_second_);
        // Callers are told when to come back rather than left to wait.
        EXPECT_LE(static_cast<double>(overloaded.late_tries_),
                  0.01 * static_cast<double>(overloaded.tries_));
    }
}

TEST_P(traffic_bounds, crashes_at_half_load_cost_nearly_nothing) {
    const auto seen = run({.load_ = 0.5, .seed_ = GetParam(), .crashes_ = 6});
    EXPECT_GT(seen.crashed_runs_, 0U);
    EXPECT_GE(seen.attainment_, 0.95);
}

INSTANTIATE_TEST_SUITE_P(seeds, traffic_bounds, ::testing::Values(1, 2, 3));

TEST(traffic_baseline, blind_retries_collapse) {
    const auto blind =
        run({.policy_ = traffic_policy::blind_retries, .load_ = 2, .seed_ = 1});
    EXPECT_LT(blind.attainment_, 0.1);
}

TEST(traffic_benchmark, equal_scenarios_give_equal_figures) {
    const auto first = run({.load_ = 2});
    const auto second = run({.load_ = 2});
    EXPECT_EQ(first.served_, second.served_);
    EXPECT_EQ(first.tries_, second.tries_);
    EXPECT_EQ(first.no_slot_, second.no_slot_);
}

} // namespace
} // namespace basilstream::bench
