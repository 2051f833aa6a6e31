// The goals of the policy as regression bounds, on a short version of the
// traces. See docs/design/placement.md for the full run.

#include <algorithm>
#include <map>
#include <tuple>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "bench/policy_benchmark/experiment.hpp"
#include "bench/policy_benchmark/report.hpp"

namespace basilstream::bench {
namespace {

constexpr auto workers = 2;
constexpr auto share_of_bound = 0.95;
constexpr auto share_of_moves = 0.5;
// The load of a trace can be carried when the bound serves all but a few.
constexpr auto carried = 0.99;

using run_name = std::tuple<deployment_kind, trace_kind, std::string>;

auto run_short(std::initializer_list<const char*> policies,
               std::uint64_t seed = 1) -> std::map<run_name, run_figures> {
    auto runs = std::vector<experiment>{};
    for (auto& one : plan_comparison(seed, {600, 1200, 1500})) {
        if (std::find(policies.begin(), policies.end(), one.options_.name_) !=
            policies.end()) {
            runs.push_back(std::move(one));
        }
    }
    auto figures = std::map<run_name, run_figures>{};
    for (const auto& one : run_all(runs, workers)) {
        figures[{one.experiment_.deployment_, one.experiment_.trace_,
                 one.experiment_.options_.name_}] = one.figures_;
    }
    return figures;
}

template <class Check>
auto for_each_trace(const Check& check) -> void {
    for (const auto& [deployment, deployment_name] : deployment_names.rows_) {
        for (const auto& [trace, trace_name] : trace_names.rows_) {
            SCOPED_TRACE(std::string{deployment_name} + " " +
                         std::string{trace_name});
            check(deployment, trace);
        }
    }
}

TEST(policy_goal, attainment) {
    auto figures = run_short({"ours", "bound"});
    for_each_trace([&](deployment_kind deployment, trace_kind trace) {
        const auto& bound = figures[{deployment, trace, "bound"}];
        ASSERT_GE(bound.attainment(), carried);
        const auto& ours = figures[{deployment, trace, "ours"}];
        EXPECT_GE(ours.attainment(), attainment_goal);
        EXPECT_LE(ours.first_token_p95_, first_token_goal);
        EXPECT_LE(ours.interval_p95_, token_interval_goal);
    });
}

TEST(policy_goal, bound) {
    auto figures = run_short({"ours", "bound"});
    for_each_trace([&](deployment_kind deployment, trace_kind trace) {
        const auto bound = figures[{deployment, trace, "bound"}].attainment();
        const auto ours = figures[{deployment, trace, "ours"}].attainment();
        EXPECT_GE(ours, share_of_bound * bound);
    });
}

TEST(policy_goal, moves) {
    auto figures = run_short({"ours", "follow_demand"});
    for_each_trace([&](deployment_kind deployment, trace_kind trace) {
        const auto ours = figures[{deployment, trace, "ours"}].moves_;
        const auto other = figures[{deployment, trace, "follow_demand"}].moves_;
        EXPECT_LE(static_cast<double>(ours),
                  share_of_moves * static_cast<double>(other));
    });
}

TEST(policy_goal, reachable) {
    auto figures = run_short({"ours"});
    for_each_trace([&](deployment_kind deployment, trace_kind trace) {
        const auto& ours = figures[{deployment, trace, "ours"}];
        EXPECT_DOUBLE_EQ(ours.reachable_, 1.0);
    });
}

TEST(policy_goal, memory) {
    (void)run_short({"ours"}, 7);
    EXPECT_EQ(invariant_violations(), 0U);
}

TEST(policy_goal, repeatable) {
    auto runs = std::vector<experiment>{};
    for (const auto& option : compared_options()) {
        runs.push_back(
            {deployment_kind::banevagt, trace_kind::drift, option, 5, 200});
    }
    const auto once = to_json({5, run_all(runs, 1), {}});
    EXPECT_EQ(once, to_json({5, run_all(runs, 3), {}}));
}

// Reports that are 8 s old while each model's demand moves tenfold within five
// minutes.
TEST(policy_goal, lagging_reports_seed_2) {
    const auto ours =
        run_one({deployment_kind::banevagt, trace_kind::lagging_reports,
                 compared_options().front(), 2, trace_lengths{}.usual_});
    EXPECT_GE(ours.attainment(), attainment_goal);
}

} // namespace
} // namespace basilstream::bench
