#include "basilstream/coordination/routing/routing.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {
namespace {

auto make_runner(const std::string& name, const std::string& zone = "a")
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
    auto add_runner(const std::string& name, const std::string& zone = "a")
        -> void {
        routes_.update_runner(make_runner(name, zone));
    }
    auto choose_runner(route_request request) -> std::string {
        request.model_ = "m";
        const auto answer = routes_.choose(request, now_);
        return answer ? answer->runner_
                      : std::string{
                            error_code_names.name_of(answer.error().code_)};
    }
    auto start_attempts(const std::string& name, int count) -> void {
        for (auto index = 0; index < count; ++index) {
            routes_.start_attempt(name);
        }
    }

    seeded_random random_{1};
    router routes_{{.zone_ = "a"}, random_};
    time_point now_{seconds{100}};
};

TEST_F(routing, equal_prefixes_share_a_runner_until_its_load_bound) {
    for (const auto* name : {"r1", "r2", "r3", "r4"}) {
        add_runner(name);
    }
    const auto hash = prefix_hash("once upon a time");
    const auto preferred = choose_runner({.prefix_hash_ = hash});
    for (auto repeat = 0; repeat < 20; ++repeat) {
        ASSERT_EQ(choose_runner({.prefix_hash_ = hash}), preferred);
    }
    start_attempts(preferred, 4);
    const auto second = choose_runner({.prefix_hash_ = hash});
    EXPECT_NE(second, preferred);
    routes_.remove_runner(second);
    EXPECT_NE(choose_runner({.prefix_hash_ = hash}), second);
}

TEST_F(routing, software_version_excludes_others_and_unknown_ones) {
    auto info = make_runner("r1");
    info.software_version_ = "s1";
    routes_.update_runner(info);
    add_runner("r2"); // of unknown version
    EXPECT_EQ(choose_runner({.software_version_ = "s1"}), "r1");
    EXPECT_EQ(choose_runner({.software_version_ = "s2"}), "unavailable");
    EXPECT_EQ(choose_runner({.software_version_ = ""}), "unavailable");
    EXPECT_TRUE(routes_.has_replica("m", "s1"));
    EXPECT_FALSE(routes_.has_replica("m", "s2"));
    EXPECT_FALSE(routes_.has_replica("other", "s1"));
    routes_.mark_leaving("r1");
    EXPECT_FALSE(routes_.has_replica("m", "s1"));
}

TEST_F(routing, rate_limited_runner_is_excluded_for_a_time) {
    add_runner("r1");
    add_runner("r2");
    routes_.set_rate_limited_until("r1", now_ + seconds{2});
    EXPECT_EQ(choose_runner({}), "r2");
    routes_.set_rate_limited_until("r2", now_ + seconds{1});
    EXPECT_EQ(choose_runner({}), "overloaded");
    const auto request = route_request{.model_ = "m"};
    EXPECT_EQ(routes_.choose_rate_limited(request, now_)->runner_, "r2");
    routes_.mark_leaving("r2");
    EXPECT_FALSE(routes_.accepts_work("r2", now_));
    EXPECT_EQ(routes_.choose_rate_limited(request, now_)->runner_, "r1");
    auto restarted = make_runner("r1");
    restarted.boot_id_ = "second";
    routes_.update_runner(restarted);
    EXPECT_EQ(choose_runner({}), "r1");
    routes_.set_rate_limited_until("r1", now_ + seconds{2});
    now_ += seconds{2};
    EXPECT_EQ(choose_runner({}), "r1");
    EXPECT_FALSE(routes_.choose_rate_limited(request, now_));
}

TEST_F(routing, avoided_runner_is_chosen_if_the_others_are_saturated) {
    add_runner("r1");
    add_runner("r2");
    const auto avoided = std::vector<std::string>{"r1"};
    const auto request = route_request{.model_ = "m", .avoided_ = avoided};
    auto attempts = 0;
    while (routes_.choose(request, now_)->runner_ == "r2") {
        routes_.start_attempt("r2");
        ASSERT_LE(++attempts, 1000);
    }
    EXPECT_GT(attempts, 1);
}

// A runner that turns all requests away seems the least loaded one.
TEST_F(routing, paused_runner_is_chosen) {
    add_runner("r1");
    add_runner("r2");
    routes_.set_paused_until("r1", now_ + seconds{3});
    const auto request = route_request{.model_ = "m"};
    for (auto turn = 0; turn < 8; ++turn) {
        EXPECT_EQ(routes_.choose(request, now_)->runner_, "r2");
    }
    EXPECT_EQ(routes_.first_pause_end(request, now_), now_ + seconds{3});
    EXPECT_FALSE(routes_.accepts_work("r1", now_));
    EXPECT_TRUE(routes_.accepts_work("r1", now_ + seconds{3}));
    routes_.set_paused_until("r2", now_ + seconds{2});
    EXPECT_EQ(routes_.choose(request, now_).error().code_,
              error_code::overloaded);
    EXPECT_EQ(routes_.first_pause_end(request, now_), now_ + seconds{2});
    // A pause goes before a rate limit.
    routes_.set_rate_limited_until("r2", now_ + seconds{1});
    EXPECT_FALSE(routes_.choose_rate_limited(request, now_));
    EXPECT_EQ(routes_.choose(request, now_ + seconds{2})->runner_, "r2");
}

TEST_F(routing, cached_prefix_wins_until_a_sequence_gap) {
    add_runner("r1");
    add_runner("r2");
    const auto hash = prefix_hash("shared prefix");
    const auto preferred = choose_runner({.prefix_hash_ = hash});
    const auto other = std::string{preferred == "r1" ? "r2" : "r1"};
    routes_.on_cache_event({other, 1, true, "m", hash});
    EXPECT_EQ(choose_runner({.prefix_hash_ = hash}), other);
    routes_.on_cache_event({other, 1, false, "m", hash}); // duplicate
    EXPECT_EQ(choose_runner({.prefix_hash_ = hash}), other);
    routes_.update_runner(make_runner(other)); // keeps prefixes
    EXPECT_EQ(choose_runner({.prefix_hash_ = hash}), other);
    routes_.on_cache_event({other, 3, true, "m", hash + 1});
    EXPECT_EQ(choose_runner({.prefix_hash_ = hash}), preferred);
}

TEST_F(routing, prefers_own_zone_and_spills_over_when_saturated) {
    add_runner("near", "a");
    add_runner("far", "b");
    EXPECT_EQ(choose_runner({}), "near");
    start_attempts("near", 8);
    EXPECT_EQ(choose_runner({}), "far");
    routes_.mark_leaving("far");
    EXPECT_EQ(choose_runner({}), "near");
}

TEST_F(routing, external_load_counts_until_the_report_expires) {
    add_runner("near", "a");
    add_runner("far", "b");
    routes_.on_load_report({"near", 1, 8, 4}, now_);
    EXPECT_EQ(choose_runner({}), "far");
    routes_.on_load_report({"near", 1, 0, 0}, now_); // not newer
    EXPECT_EQ(choose_runner({}), "far");
    now_ += seconds{5};
    EXPECT_EQ(choose_runner({}), "near");
}

// Guards against herding: daemons that act on the same stale load reports all
// choose the runner that was least loaded when the reports were made.
class stale_reports : public ::testing::Test {
protected:
    // Simulates daemons whose load reports are one interval old. Returns the
    // largest ratio of a runner's load to the mean at the end of an interval.
    auto peak_to_mean_load(duration lag) -> double {
        constexpr auto daemons = 80;
        constexpr auto arrivals = 60;
        auto counts = std::map<std::string, int>{};
        auto worst = 0.0;
        auto routers = std::vector<std::unique_ptr<router>>{};
        for (auto index = 0; index < daemons; ++index) {
            routers.push_back(std::make_unique<router>(
                router_settings{.typical_duration_ = interval_}, random_));
            routers.back()->set_report_lag(lag);
            for (const auto* name : {"r1", "r2", "r3"}) {
                routers.back()->update_runner(make_runner(name));
                counts[name] = arrivals / 3;
            }
        }
        for (auto round = std::uint64_t{1}; round < 50; ++round) {
            now_ += interval_;
            for (const auto& daemon : routers) {
                for (const auto& [name, count] : counts) {
                    daemon->on_load_report({name, round, count, 0}, now_);
                }
            }
            // Requests of the previous interval have ended by its end.
            auto arrived =
                std::map<std::string, int>{{"r1", 0}, {"r2", 0}, {"r3", 0}};
            for (auto index = 0; index < arrivals; ++index) {
                const auto answer = routers[random_.below(daemons)]->choose(
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

TEST_F(stale_reports, spread_requests_when_the_lag_is_known) {
    // Without the lag, the choice between two of three runners never takes the
    // one with the highest reported load.
    EXPECT_GT(peak_to_mean_load(duration{0}), 1.8);
    // Uniformly random choices alone reach about 1.5 within 50 intervals.
    EXPECT_LT(peak_to_mean_load(interval_), 1.8);
}

TEST_F(routing, without_lag_prefers_the_less_loaded_runner) {
    auto fresh = router{{}, random_};
    for (const auto* name : {"r1", "r2"}) {
        fresh.update_runner(make_runner(name));
    }
    fresh.start_attempt("r1");
    fresh.start_attempt("r1");
    for (auto repeat = 0; repeat < 50; ++repeat) {
        EXPECT_EQ(fresh.choose({.model_ = "m"}, now_)->runner_, "r2");
    }
}

TEST_F(routing, prefers_a_runner_that_holds_the_adapter) {
    add_runner("near", "a");
    auto info = make_runner("far", "b");
    info.residents_[0].adapters_ = {"lora"};
    routes_.update_runner(info);
    EXPECT_EQ(choose_runner({.adapter_ = "lora"}), "far");
    EXPECT_EQ(choose_runner({.adapter_ = "lora", .may_load_adapter_ = true}),
              "far");
    start_attempts("far", 8);
    EXPECT_EQ(choose_runner({.adapter_ = "lora", .may_load_adapter_ = true}),
              "near");
    EXPECT_EQ(choose_runner({.adapter_ = "none"}), "not_ready");
}

TEST_F(routing, reports_why_no_candidate_remains) {
    EXPECT_EQ(choose_runner({}), "not_found");
    add_runner("r1");
    EXPECT_EQ(choose_runner({.version_ = "v2"}), "not_found");
    const auto excluded = std::vector<std::string>{"r1"};
    EXPECT_EQ(choose_runner({.excluded_ = excluded}), "unavailable");
    routes_.set_concurrency_limit("r1", 1);
    start_attempts("r1", 1);
    EXPECT_EQ(choose_runner({}), "overloaded");
    routes_.finish_attempt("r1");
    EXPECT_EQ(choose_runner({}), "r1");
}

TEST_F(routing, explains_every_rejected_candidate) {
    add_runner("near", "a");
    add_runner("far", "b");
    add_runner("gone", "a");
    routes_.mark_leaving("gone");
    const auto answer = routes_.choose({.model_ = "m", .explain_ = true}, now_);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->runner_, "near");
    ASSERT_EQ(answer->rejected_.size(), 2U);
    EXPECT_EQ(answer->rejected_[0].reason_, rejection_reason::leaving);
    EXPECT_EQ(answer->rejected_[1].reason_, rejection_reason::other_zone);
}

TEST_F(routing, leaving_runner_is_excluded_until_it_restarts) {
    routes_.mark_leaving("r1"); // before the runner is known
    add_runner("r1");
    EXPECT_EQ(choose_runner({}), "unavailable");
    add_runner("r1"); // stale description: not leaving
    EXPECT_EQ(choose_runner({}), "unavailable");
    auto info = make_runner("r1");
    info.boot_id_ = "next";
    routes_.update_runner(info);
    EXPECT_EQ(choose_runner({}), "r1");
    info.leaving_ = true; // reported by the runner
    routes_.update_runner(info);
    EXPECT_EQ(choose_runner({}), "unavailable");
}

TEST_F(routing, ejects_a_failing_runner_unless_it_is_the_last) {
    add_runner("near", "a");
    add_runner("far", "b");
    for (auto failure = 0; failure < 3; ++failure) {
        routes_.on_failure("near", now_);
    }
    EXPECT_EQ(choose_runner({}), "far");
    routes_.mark_leaving("far");
    EXPECT_EQ(choose_runner({}), "near");
    now_ += seconds{1};
    EXPECT_EQ(choose_runner({}), "near");
    routes_.on_failure("near", now_);
    now_ += seconds{1};
    add_runner("more", "b");
    EXPECT_EQ(choose_runner({}), "more"); // the second ejection lasts 2 s
}

// Performs random updates and decisions. Returns whether a leaving runner or
// one at its limit was chosen, or the router reported an invariant violation.
auto random_run_violates_guards(std::uint64_t seed, router_guards guards)
    -> bool {
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
            routes.update_runner(
                make_runner(name, random.below(2) ? "a" : "b"));
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
            routes.finish_attempt(name);
            break;
        case 4:
            routes.on_failure(name, now);
            break;
        default:
            const auto answer = routes.choose(
                {.model_ = "m", .prefix_hash_ = random.below(4)}, now);
            if (answer) {
                routes.start_attempt(answer->runner_);
                if (leaving.contains(answer->runner_) ||
                    routes.in_flight(answer->runner_) > 3) {
                    return true;
                }
            }
        }
    }
    return invariant_violations() != violations;
}

TEST(routing_random, never_chooses_leaving_or_full_runners) {
    for (auto seed = std::uint64_t{0}; seed < 200; ++seed) {
        ASSERT_FALSE(random_run_violates_guards(seed, {})) << seed;
    }
}

TEST(routing_random, detects_each_disabled_guard) {
    EXPECT_TRUE(random_run_violates_guards(1, {.leaving_ = [](bool) {
                                               return false;
                                           }}));
    EXPECT_TRUE(random_run_violates_guards(1, {.at_limit_ = [](int, int) {
                                               return false;
                                           }}));
}

} // namespace
} // namespace basilstream::coordination
