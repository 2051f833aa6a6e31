#include "basilstream/coordination/routing/routing.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {
namespace {

auto runner(const std::string& name, const std::string& zone = "a")
    -> runner_info {
    return {.name_ = name,
            .address_ = name + ":1",
            .zone_ = zone,
            .boot_id_ = "boot",
            .slots_ = 8,
            .residents_ = {{.model_ = "m", .version_ = "v1", .adapters_ = {}}}};
}

class routing : public ::testing::Test {
protected:
    auto add(const std::string& name, const std::string& zone = "a") -> void {
        routes_.update_runner(runner(name, zone));
    }
    auto chosen(route_request request) -> std::string {
        request.model_ = "m";
        const auto answer = routes_.choose(request, now_);
        return answer ? answer->runner_
                      : std::string{
                            error_code_names.name_of(answer.error().code_)};
    }
    auto load(const std::string& name, int count) -> void {
        for (auto each = 0; each < count; ++each) {
            routes_.begin(name);
        }
    }

    seeded_random random_{1};
    router routes_{{.zone_ = "a"}, random_};
    time_point now_{seconds{100}};
};

TEST_F(routing, equal_prefixes_meet_until_the_load_bound) {
    for (const auto* name : {"r1", "r2", "r3", "r4"}) {
        add(name);
    }
    const auto hash = prefix_hash("once upon a time");
    const auto home = chosen({.prefix_hash_ = hash});
    for (auto repeat = 0; repeat < 20; ++repeat) {
        ASSERT_EQ(chosen({.prefix_hash_ = hash}), home);
    }
    load(home, 4);
    const auto second = chosen({.prefix_hash_ = hash});
    EXPECT_NE(second, home);
    routes_.remove_runner(second);
    EXPECT_NE(chosen({.prefix_hash_ = hash}), second);
}

TEST_F(routing, cache_events_correct_affinity_and_a_gap_forgets_them) {
    add("r1");
    add("r2");
    const auto hash = prefix_hash("shared prefix");
    const auto home = chosen({.prefix_hash_ = hash});
    const auto other = std::string{home == "r1" ? "r2" : "r1"};
    routes_.on_cache_event({other, 1, true, "m", hash});
    EXPECT_EQ(chosen({.prefix_hash_ = hash}), other);
    routes_.on_cache_event({other, 1, false, "m", hash}); // a repeat
    EXPECT_EQ(chosen({.prefix_hash_ = hash}), other);
    routes_.update_runner(runner(other)); // keeps the cache
    EXPECT_EQ(chosen({.prefix_hash_ = hash}), other);
    routes_.on_cache_event({other, 3, true, "m", hash + 1});
    EXPECT_EQ(chosen({.prefix_hash_ = hash}), home);
}

TEST_F(routing, prefers_the_near_zone_and_spills_over) {
    add("near", "a");
    add("far", "b");
    EXPECT_EQ(chosen({}), "near");
    load("near", 8);
    EXPECT_EQ(chosen({}), "far");
    routes_.mark_leaving("far");
    EXPECT_EQ(chosen({}), "near");
}

TEST_F(routing, foreign_load_counts_until_its_report_is_old) {
    add("near", "a");
    add("far", "b");
    routes_.on_load_report({"near", 1, 8, 4}, now_);
    EXPECT_EQ(chosen({}), "far");
    routes_.on_load_report({"near", 1, 0, 0}, now_); // not newer
    EXPECT_EQ(chosen({}), "far");
    now_ += seconds{5};
    EXPECT_EQ(chosen({}), "near");
}

// Many daemons know the same old counts. Between two reports they send four
// requests for each runner's share of the load.
class stale_reports : public ::testing::Test {
protected:
    // Returns the largest count on a runner, over the mean, after each interval
    // of a daemon crowd whose counts are one interval old.
    auto largest_over_mean(duration lag) -> double {
        constexpr auto daemons = 80;
        constexpr auto arrivals = 60;
        auto counts = std::map<std::string, int>{};
        auto worst = 0.0;
        auto crowd = std::vector<std::unique_ptr<router>>{};
        for (auto each = 0; each < daemons; ++each) {
            crowd.push_back(std::make_unique<router>(
                router_settings{.turnover_ = interval_}, random_));
            crowd.back()->set_report_lag(lag);
            for (const auto* name : {"r1", "r2", "r3"}) {
                crowd.back()->update_runner(runner(name));
                counts[name] = arrivals / 3;
            }
        }
        for (auto turn = std::uint64_t{1}; turn < 50; ++turn) {
            now_ += interval_;
            for (const auto& daemon : crowd) {
                for (const auto& [name, count] : counts) {
                    daemon->on_load_report({name, turn, count, 0}, now_);
                }
            }
            // All that was there before has ended at the interval's end.
            auto arrived =
                std::map<std::string, int>{{"r1", 0}, {"r2", 0}, {"r3", 0}};
            for (auto each = 0; each < arrivals; ++each) {
                const auto answer = crowd[random_.below(daemons)]->choose(
                    {.model_ = "m"}, now_);
                ++arrived[answer->runner_];
            }
            counts = arrived;
            for (const auto& [name, count] : counts) {
                worst = std::max(worst, 3.0 * count / arrivals);
            }
        }
        return worst;
    }

    static constexpr auto interval_ = milliseconds{800};
    seeded_random random_{1};
    time_point now_{seconds{100}};
};

TEST_F(stale_reports, do_not_draw_all_daemons_to_one_runner) {
    // Two of three random candidates: the fullest by the old counts gets
    // nothing.
    EXPECT_GT(largest_over_mean(duration{0}), 1.8);
    // Random arrivals alone reach about 1.5 in 50 turns.
    EXPECT_LT(largest_over_mean(interval_), 1.8);
}

TEST_F(routing, fresh_counts_decide_alone) {
    auto fresh = router{{}, random_};
    for (const auto* name : {"r1", "r2"}) {
        fresh.update_runner(runner(name));
    }
    fresh.begin("r1");
    fresh.begin("r1");
    for (auto repeat = 0; repeat < 50; ++repeat) {
        EXPECT_EQ(fresh.choose({.model_ = "m"}, now_)->runner_, "r2");
    }
}

TEST_F(routing, adapter_in_place_goes_before_adapter_to_be_loaded) {
    add("near", "a");
    auto info = runner("far", "b");
    info.residents_[0].adapters_ = {"lora"};
    routes_.update_runner(info);
    EXPECT_EQ(chosen({.adapter_ = "lora"}), "far");
    EXPECT_EQ(chosen({.adapter_ = "lora", .may_load_adapter_ = true}), "far");
    load("far", 8);
    EXPECT_EQ(chosen({.adapter_ = "lora", .may_load_adapter_ = true}), "near");
    EXPECT_EQ(chosen({.adapter_ = "none"}), "not_ready");
}

TEST_F(routing, names_why_there_is_no_candidate) {
    EXPECT_EQ(chosen({}), "not_found");
    add("r1");
    EXPECT_EQ(chosen({.version_ = "v2"}), "not_found");
    const auto excluded = std::vector<std::string>{"r1"};
    EXPECT_EQ(chosen({.excluded_ = excluded}), "unavailable");
    routes_.set_concurrency_limit("r1", 1);
    load("r1", 1);
    EXPECT_EQ(chosen({}), "overloaded");
    routes_.end("r1");
    EXPECT_EQ(chosen({}), "r1");
}

TEST_F(routing, explains_every_rejected_candidate) {
    add("near", "a");
    add("far", "b");
    add("gone", "a");
    routes_.mark_leaving("gone");
    const auto answer = routes_.choose({.model_ = "m", .explain_ = true}, now_);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->runner_, "near");
    ASSERT_EQ(answer->rejected_.size(), 2U);
    EXPECT_EQ(answer->rejected_[0].reason_, rejection_reason::leaving);
    EXPECT_EQ(answer->rejected_[1].reason_, rejection_reason::other_zone);
}

TEST_F(routing, leaving_is_kept_until_another_boot) {
    routes_.mark_leaving("r1"); // the list knew it first
    add("r1");
    EXPECT_EQ(chosen({}), "unavailable");
    add("r1"); // a lagging source still says live
    EXPECT_EQ(chosen({}), "unavailable");
    auto info = runner("r1");
    info.boot_id_ = "next";
    routes_.update_runner(info);
    EXPECT_EQ(chosen({}), "r1");
    info.leaving_ = true; // its own report
    routes_.update_runner(info);
    EXPECT_EQ(chosen({}), "unavailable");
}

TEST_F(routing, a_failing_runner_is_ejected_but_never_the_last) {
    add("near", "a");
    add("far", "b");
    for (auto failure = 0; failure < 3; ++failure) {
        routes_.on_failure("near", now_);
    }
    EXPECT_EQ(chosen({}), "far");
    routes_.mark_leaving("far");
    EXPECT_EQ(chosen({}), "near");
    now_ += seconds{1};
    EXPECT_EQ(chosen({}), "near");
    routes_.on_failure("near", now_);
    now_ += seconds{1};
    add("more", "b");
    EXPECT_EQ(chosen({}), "more"); // ejected for two seconds now
}

// Random updates and decisions; returns whether the checks of the test or of
// the program found a fault.
auto random_run_finds_fault(std::uint64_t seed, router_guards guards) -> bool {
    auto random = seeded_random{seed};
    auto routes = router{{.zone_ = "a"}, random, guards};
    auto now = time_point{};
    auto leaving = std::set<std::string>{};
    const auto violations = invariant_violations();
    for (auto step = 0; step < 2000; ++step) {
        now += milliseconds{random.below(200)};
        const auto name = "r" + std::to_string(random.below(6));
        switch (random.below(7)) {
        case 0:
            routes.update_runner(runner(name, random.below(2) ? "a" : "b"));
            routes.set_concurrency_limit(name, 3);
            break;
        case 1:
            routes.remove_runner(name);
            leaving.erase(name);
            break;
        case 2:
            if (random.below(4) == 0) {
                routes.mark_leaving(name);
                leaving.insert(name);
            }
            break;
        case 3:
            routes.end(name);
            break;
        case 4:
            routes.on_failure(name, now);
            break;
        default:
            const auto answer = routes.choose(
                {.model_ = "m", .prefix_hash_ = random.below(4)}, now);
            if (answer) {
                routes.begin(answer->runner_);
                if (leaving.contains(answer->runner_) ||
                    routes.in_flight(answer->runner_) > 3) {
                    return true;
                }
            }
        }
    }
    return invariant_violations() != violations;
}

TEST(routing_random, keeps_off_leaving_and_full_runners) {
    for (auto seed = std::uint64_t{0}; seed < 200; ++seed) {
        ASSERT_FALSE(random_run_finds_fault(seed, {})) << seed;
    }
}

TEST(routing_random, finds_each_guard_switched_off) {
    EXPECT_TRUE(random_run_finds_fault(1, {.leaving_ = [](bool) {
                                           return false;
                                       }}));
    EXPECT_TRUE(random_run_finds_fault(1, {.at_limit_ = [](int, int) {
                                           return false;
                                       }}));
}

} // namespace
} // namespace basilstream::coordination
