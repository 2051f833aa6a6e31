#include "testing/state_soak/soak.hpp"

#include <algorithm>
#include <array>

#include <gtest/gtest.h>

namespace basilstream::testing {
namespace {

// CI takes two million steps; each seed is a run of its own.
constexpr auto ci_seeds = std::uint64_t{10};
constexpr auto ci_steps_per_seed = std::uint64_t{200'000};

class soak_seed : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(soak_seed, holds_every_invariant) {
    const auto report =
        run_soak({.seed_ = GetParam(), .steps_ = ci_steps_per_seed});
    for (const auto& violation : report.violations_) {
        ADD_FAILURE() << violation;
    }
    // The faults that the run is for did happen.
    for (const auto* fault :
         {"pauses", "kills", "outages", "runner_crashes", "truncations",
          "verdict_stale_epoch", "verdict_duplicate_id", "verdict_capacity"}) {
        EXPECT_GT(report.counts_.count(fault), 0U) << fault;
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_seed,
                         ::testing::Range(std::uint64_t{1}, ci_seeds + 1));

TEST(soak, holds_with_many_shards_on_few_daemons) {
    const auto report = run_soak({.seed_ = 21,
                                  .steps_ = ci_steps_per_seed,
                                  .daemons_ = 2,
                                  .shards_ = 6});
    EXPECT_EQ(report.violations_, std::vector<std::string>{});
}

TEST(soak, holds_with_many_daemons_on_one_shard) {
    const auto report = run_soak({.seed_ = 22,
                                  .steps_ = ci_steps_per_seed,
                                  .daemons_ = 9,
                                  .shards_ = 1});
    EXPECT_EQ(report.violations_, std::vector<std::string>{});
}

// A guard, how to switch it off, and what the run must then find.
struct guard_case {
    const char* name_;
    void (*switch_off_)(soak_guards&);
    const char* finds_;
};

constexpr auto guard_cases = std::array{
    guard_case{"read_back_before_order",
               [](soak_guards& guards) { guards.read_back_ = false; },
               "order_has_valid_intent"},
    guard_case{
        "epoch_check",
        [](soak_guards& guards) { guards.machine_.epoch_check_ = false; },
        "one_valid_owner"},
    guard_case{
        "capacity_check",
        [](soak_guards& guards) { guards.machine_.capacity_check_ = false; },
        "ledger_within_capacity"},
    guard_case{
        "counting_unresolved_intents",
        [](soak_guards& guards) { guards.machine_.count_unresolved_ = false; },
        "ledger_within_capacity"},
    guard_case{
        "id_deduplication",
        [](soak_guards& guards) { guards.machine_.duplicate_check_ = false; },
        "record_takes_effect_once"},
    guard_case{"last_replica",
               [](soak_guards& guards) {
                   guards.machine_.last_replica_check_ = false;
               },
               "model_stays_reachable"},
    guard_case{"snapshot_before_retention",
               [](soak_guards& guards) { guards.snapshots_ = false; },
               "daemon_starts"},
};

class soak_guard : public ::testing::TestWithParam<guard_case> {};

TEST_P(soak_guard, switched_off_is_found_within_the_steps_of_ci) {
    const auto& guard = GetParam();
    auto steps = std::uint64_t{0};
    auto found = std::string{};
    for (auto seed = std::uint64_t{1}; seed <= ci_seeds && found.empty();
         ++seed) {
        auto options = soak_options{.seed_ = seed, .steps_ = ci_steps_per_seed};
        guard.switch_off_(options.guards_);
        const auto report = run_soak(options);
        steps += report.steps_;
        found = report.violations_.empty() ? "" : report.violations_.front();
    }
    EXPECT_TRUE(found.starts_with(guard.finds_)) << "found: " << found;
    RecordProperty("steps", std::to_string(steps));
    std::printf("%s: %s after %llu steps\n", guard.name_, found.c_str(),
                static_cast<unsigned long long>(steps));
}

INSTANTIATE_TEST_SUITE_P(guards, soak_guard, ::testing::ValuesIn(guard_cases),
                         [](const auto& info) {
                             return std::string{info.param.name_};
                         });

} // namespace
} // namespace basilstream::testing
