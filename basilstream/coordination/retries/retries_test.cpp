#include "basilstream/coordination/retries/retries.hpp"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

class retries : public ::testing::Test {
protected:
    auto decide(const attempt_failure& failure) -> retry_decision {
        return policy_.decide(failure, now_);
    }
    static auto make_error(error_code code, run_status run) -> error {
        return {.code_ = code, .step_ = step::runner, .run_ = run};
    }

    error crashed_ = make_error(error_code::unavailable, run_status::unknown);
    error no_slot_ = make_error(error_code::overloaded, run_status::not_run);
    seeded_random random_{1};
    retry_policy policy_{{}, random_};
    time_point now_{seconds{100}};
};

TEST_F(retries, retries_only_repeatable_requests) {
    EXPECT_TRUE(decide({.error_ = crashed_, .idempotent_ = true}).retry_);
    const auto unknown = decide({.error_ = crashed_, .idempotent_ = false});
    EXPECT_EQ(unknown.reason_, give_up_reason::not_repeatable);
    EXPECT_EQ(unknown.error_->retry_after_, std::nullopt);
    EXPECT_TRUE(decide({.error_ = no_slot_, .idempotent_ = false}).retry_);
    EXPECT_EQ(decide({.error_ = make_error(error_code::quarantined,
                                           run_status::not_run)})
                  .reason_,
              give_up_reason::permanent);
}

TEST_F(retries, resumes_at_the_delivered_position_if_resumable) {
    EXPECT_EQ(decide({.error_ = crashed_, .idempotent_ = true, .delivered_ = 7})
                  .reason_,
              give_up_reason::not_resumable);
    const auto resumed = decide({.error_ = crashed_,
                                 .idempotent_ = true,
                                 .delivered_ = 7,
                                 .resumable_ = true});
    EXPECT_TRUE(resumed.retry_);
    EXPECT_EQ(resumed.resume_position_, 7U);
}

// The budget is used up at the end of a second, and again when that second
// leaves the window.
TEST_F(retries, two_windows_of_retries_fit_into_one_sliding_window) {
    auto budget = retry_budget{0, 2};
    auto withdrawn = 0;
    const auto use_up = [&](time_point at) {
        while (budget.withdraw(at)) {
            ++withdrawn;
        }
    };
    use_up(now_ + milliseconds{900});
    EXPECT_EQ(withdrawn, 20);
    use_up(now_ + milliseconds{10'800});
    EXPECT_EQ(withdrawn, 20);
    use_up(now_ + milliseconds{11'000});
    EXPECT_EQ(withdrawn, 40);
}

// All daemons are killed and start again while a service loses every answer.
TEST_F(retries, restarted_daemons_use_the_allowance_of_the_window_again) {
    constexpr auto daemons = 6;
    constexpr auto allowance = 40.0;
    constexpr auto restart_step = 155;
    const auto start = [&](time_point from) {
        auto started = std::vector<retry_policy>{};
        for (auto daemon = 0; daemon < daemons; ++daemon) {
            started.emplace_back(
                retry_settings{.budget_ratio_ = 0,
                               .budget_per_second_ = allowance / 10 / daemons,
                               .budget_per_second_from_ = from},
                random_);
        }
        return started;
    };
    auto policies = start(now_);
    auto retried_at = std::vector<time_point>{};
    for (auto step = 0; step < 400; ++step) {
        now_ += milliseconds{100};
        if (step == restart_step) {
            policies = start(now_ + seconds{10});
        }
        for (auto& policy : policies) {
            if (policy.decide({.error_ = crashed_, .idempotent_ = true}, now_)
                    .retry_) {
                retried_at.push_back(now_);
            }
        }
    }
    auto most = std::ptrdiff_t{0};
    for (auto first = retried_at.begin(); first != retried_at.end(); ++first) {
        const auto last =
            std::lower_bound(first, retried_at.end(), *first + seconds{10});
        most = std::max(most, last - first);
    }
    EXPECT_GT(most, 0);
    EXPECT_LE(most, allowance);
}

TEST_F(retries, excludes_all_failed_runners) {
    const auto decision = decide({.error_ = no_slot_,
                                  .runner_ = "r2",
                                  .attempts_ = 2,
                                  .failed_runners_ = {"r1"}});
    EXPECT_EQ(decision.excluded_, (std::vector<std::string>{"r1", "r2"}));
}

TEST_F(retries, obeys_retry_after_and_gives_up_past_the_deadline) {
    no_slot_.retry_after_ = milliseconds{700};
    EXPECT_GE(decide({.error_ = no_slot_}).not_before_,
              now_ + milliseconds{700});
    const auto late =
        decide({.error_ = no_slot_, .deadline_ = now_ + milliseconds{700}});
    EXPECT_EQ(late.reason_, give_up_reason::deadline);
    EXPECT_EQ(late.error_->retry_after_, milliseconds{700});
}

// Attempts that no runner saw used up the budget of all others.
TEST_F(retries, failed_connections_are_charged_to_the_budget) {
    const auto unsent = attempt_failure{
        .error_ = make_error(error_code::unavailable, run_status::not_run),
        .nothing_sent_ = true};
    for (auto request = 0; request < 1000; ++request) {
        EXPECT_TRUE(decide(unsent).retry_);
    }
    EXPECT_TRUE(decide({.error_ = no_slot_}).retry_);
}

TEST_F(retries, delay_is_jittered_below_an_exponential_bound) {
    auto longest = duration{};
    for (auto draw = 0; draw < 200; ++draw) {
        now_ += seconds{1};
        const auto delay =
            decide({.error_ = no_slot_, .attempts_ = 3}).not_before_ - now_;
        ASSERT_LE(delay, milliseconds{80});
        longest = std::max(longest, delay);
    }
    EXPECT_GT(longest, milliseconds{70});
}

TEST_F(retries, gives_up_when_forwarded_or_out_of_attempts) {
    EXPECT_EQ(decide({.error_ = no_slot_, .forwarded_ = true}).reason_,
              give_up_reason::forwarded);
    EXPECT_EQ(decide({.error_ = no_slot_, .attempts_ = 4}).reason_,
              give_up_reason::attempts_exhausted);
}

TEST_F(retries, hedges_only_slow_idempotent_unanswered_attempts) {
    const auto slow = slow_attempt{.idempotent_ = true,
                                   .elapsed_ = seconds{2},
                                   .p95_first_token_time_ = seconds{1}};
    EXPECT_TRUE(policy_.hedge(slow, now_));
    auto other = slow;
    other.idempotent_ = false;
    EXPECT_FALSE(policy_.hedge(other, now_));
    other = slow;
    other.delivered_ = 1;
    EXPECT_FALSE(policy_.hedge(other, now_));
    other = slow;
    other.hedged_ = true;
    EXPECT_FALSE(policy_.hedge(other, now_));
    other = slow;
    other.elapsed_ = seconds{1};
    EXPECT_FALSE(policy_.hedge(other, now_));
}

// Simulates an outage in which every attempt fails. Returns the number of
// attempts per request.
auto retry_amplification(std::uint64_t seed, retry_guards guards) -> double {
    auto random = seeded_random{seed};
    auto policy = retry_policy{{}, random, guards};
    auto now = time_point{};
    constexpr auto requests = 20'000;
    auto attempts = 0;
    for (auto request = 0; request < requests; ++request) {
        now += milliseconds{1 + random.below(3)};
        policy.on_request(now);
        auto failure = attempt_failure{.idempotent_ = true};
        failure.error_.code_ = error_code::unavailable;
        ++attempts;
        while (policy.decide(failure, now).retry_) {
            ++failure.attempts_;
            ++attempts;
        }
    }
    return static_cast<double>(attempts) / requests;
}

TEST(retries_random, budget_bounds_retries_during_an_outage) {
    for (auto seed = std::uint64_t{0}; seed < 20; ++seed) {
        // 10% of the requests plus one retry per second at about 500 requests
        // per second.
        EXPECT_LE(retry_amplification(seed, {}), 1.105);
    }
    EXPECT_GT(retry_amplification(1, {.within_budget_ =
                                          [](retry_budget&, time_point) {
                                              return true;
                                          }}),
              3.9);
}

// Simulates non-idempotent requests whose attempts all fail, at random before
// or after the start of the run. Returns the largest number of runs of a
// request.
auto max_runs_per_request(std::uint64_t seed, retry_guards guards) -> int {
    auto random = seeded_random{seed};
    auto policy = retry_policy{{}, random, guards};
    auto now = time_point{};
    auto max_runs = 0;
    for (auto request = 0; request < 2000; ++request) {
        now += milliseconds{100};
        policy.on_request(now);
        auto runs = 0;
        auto failure = attempt_failure{};
        failure.attempts_ = 0;
        do {
            ++failure.attempts_;
            const auto ran = random.below(2) == 0;
            runs += ran ? 1 : 0;
            failure.error_.code_ = error_code::unavailable;
            failure.error_.run_ =
                ran ? run_status::unknown : run_status::not_run;
        } while (policy.decide(failure, now).retry_);
        max_runs = std::max(max_runs, runs);
    }
    return max_runs;
}

TEST(retries_random, non_idempotent_requests_run_at_most_once) {
    for (auto seed = std::uint64_t{0}; seed < 20; ++seed) {
        ASSERT_EQ(max_runs_per_request(seed, {}), 1) << seed;
    }
    EXPECT_GT(max_runs_per_request(1, {.may_repeat_ =
                                           [](const attempt_failure&) {
                                               return true;
                                           }}),
              1);
}

} // namespace
} // namespace basilstream::coordination
