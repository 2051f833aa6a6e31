#include "basilstream/coordination/claims/claims.hpp"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/coordination/claims/claims_test_world.hpp"
#include "basilstream/coordination/claims/internal/claim_index.hpp"

namespace basilstream::coordination {
namespace {

using testing::world;
using testing::world_faults;

const auto key = claim_key{"org", "submissions", "k1"};

class claims_test : public ::testing::Test {
protected:
    explicit claims_test(std::uint32_t shards = 1) {
        auto settings = claim_settings{};
        settings.shard_count_ = shards;
        settings.answer_window_ = seconds{60};
        world_ = std::make_unique<world>(7, settings, world_faults{});
        for (const auto* name : {"a", "b", "c"}) {
            world_->add_daemon(name);
        }
        world_->run_for(seconds{6});
        owner_ = world_->owner_of(0);
        other_ = owner_ == "a" ? "b" : "a";
        third_ = owner_ == "c" ? "b" : "c";
    }
    auto code_of(const std::string& id) const -> std::string {
        const auto failure = world_->error_of(id);
        return failure ? std::string{error_code_names.name_of(failure->code_)}
                       : "none";
    }
    auto run_of(const std::string& id) const -> run_status {
        return world_->error_of(id).value_or(error{}).run_;
    }

    std::unique_ptr<world> world_;
    std::string owner_;
    std::string other_;
    std::string third_;
};

TEST_F(claims_test, answers_repeats_through_other_daemons) {
    const auto first = world_->submit(other_, key);
    const auto twin = world_->submit(third_, key);
    world_->run_for(seconds{1});
    EXPECT_TRUE(world_->answered(first) != world_->answered(twin));
    EXPECT_EQ(code_of(world_->answered(first) ? twin : first),
              "duplicate_in_progress");
    const auto repeat = world_->submit(owner_, key);
    world_->run_for(seconds{1});
    EXPECT_TRUE(world_->answered(repeat));
    EXPECT_EQ(world_->runs_of(key), 1U);
}

TEST_F(claims_test, refuses_another_body) {
    world_->submit(other_, key, 0);
    world_->run_for(seconds{1});
    const auto differing = world_->submit(third_, key, 1);
    world_->run_for(seconds{1});
    EXPECT_EQ(code_of(differing), "idempotency_mismatch");
    EXPECT_EQ(run_of(differing), run_status::not_run);
}

TEST_F(claims_test, says_that_an_expired_answer_is_gone) {
    world_->submit(other_, key);
    world_->run_for(seconds{70});
    const auto repeat = world_->submit(third_, key);
    world_->run_for(seconds{1});
    EXPECT_EQ(code_of(repeat), "answer_expired");
    EXPECT_EQ(run_of(repeat), run_status::ran);
    EXPECT_EQ(world_->runs_of(key), 1U);
}

TEST_F(claims_test, calls_the_outcome_unknown_after_the_dispatchers_death) {
    world_->run_time_ = seconds{5};
    world_->submit(other_, key);
    world_->run_for(milliseconds{200});
    world_->kill(other_);
    const auto repeat = world_->submit(third_, key);
    world_->run_for(seconds{8});
    EXPECT_EQ(code_of(repeat), "outcome_unknown");
    EXPECT_EQ(world_->runs_of(key), 1U);
}

TEST_F(claims_test, frees_the_key_of_a_request_that_was_never_dispatched) {
    world_->faults_.never_dispatched_ = 1;
    const auto first = world_->submit(other_, key);
    world_->run_for(milliseconds{100});
    world_->faults_.never_dispatched_ = 0;
    const auto repeat = world_->submit(third_, key);
    world_->run_for(seconds{1});
    EXPECT_EQ(run_of(first), run_status::not_run);
    EXPECT_TRUE(world_->answered(repeat));
}

TEST_F(claims_test, keeps_claims_over_the_owners_death) {
    const auto first = world_->submit(other_, key);
    world_->run_for(seconds{1});
    world_->kill(owner_);
    world_->run_for(seconds{7});
    EXPECT_NE(world_->owner_of(0), "");
    const auto repeat = world_->submit(third_, key);
    world_->run_for(seconds{1});
    EXPECT_TRUE(world_->answered(first));
    EXPECT_TRUE(world_->answered(repeat));
    EXPECT_EQ(world_->runs_of(key), 1U);
}

TEST_F(claims_test, finishes_a_request_that_arrives_during_a_takeover) {
    world_->kill(owner_);
    world_->run_for(seconds{2});
    const auto request = world_->submit(other_, key);
    world_->run_for(seconds{5});
    EXPECT_TRUE(world_->answered(request));
}

TEST_F(claims_test, hands_its_shards_over_without_waiting_for_the_lease) {
    world_->leave(owner_);
    world_->run_for(seconds{3});
    EXPECT_NE(world_->owner_of(0), owner_);
    EXPECT_NE(world_->owner_of(0), "");
    EXPECT_TRUE(world_->daemons_.at(owner_)->claims_->idle());
}

TEST_F(claims_test, fails_closed_at_once_while_the_log_is_down) {
    const auto before = world_->submit(other_, key);
    world_->run_for(seconds{1});
    world_->log_up_ = false;
    world_->run_for(seconds{60});
    const auto other_key = claim_key{"org", "submissions", "k2"};
    const auto fresh = world_->submit(other_, other_key);
    const auto repeat = world_->submit(third_, key);
    world_->run_for(milliseconds{100});
    EXPECT_EQ(code_of(fresh), "unavailable");
    EXPECT_EQ(run_of(fresh), run_status::not_run);
    EXPECT_TRUE(world_->error_of(fresh).value_or(error{}).retry_after_);
    EXPECT_EQ(code_of(repeat), "answer_expired");
    world_->log_up_ = true;
    world_->run_for(seconds{2});
    const auto again = world_->submit(third_, other_key);
    world_->run_for(seconds{1});
    EXPECT_TRUE(world_->answered(again));
    EXPECT_EQ(world_->runs_of(other_key), 1U);
    EXPECT_TRUE(world_->answered(before));
}

TEST_F(claims_test, does_not_promise_not_run_when_a_member_is_silent) {
    world_->log_up_ = false;
    world_->run_for(seconds{5});
    world_->pause(third_, seconds{60});
    world_->run_for(seconds{10});
    const auto fresh = world_->submit(other_, key);
    world_->run_for(milliseconds{100});
    EXPECT_EQ(code_of(fresh), "unavailable");
    EXPECT_EQ(run_of(fresh), run_status::unknown);
}

TEST_F(claims_test, batches_claims_that_arrive_together) {
    const auto before =
        world_->daemons_.at(owner_)->claims_->statistics().appends_;
    constexpr auto requests = 400;
    for (auto number = 0; number < requests; ++number) {
        world_->submit(other_, {"org", "submissions", std::to_string(number)});
    }
    world_->run_for(seconds{1});
    const auto appends =
        world_->daemons_.at(owner_)->claims_->statistics().appends_ - before;
    for (auto number = 0; number < requests; ++number) {
        EXPECT_EQ(
            world_->runs_of({"org", "submissions", std::to_string(number)}),
            1U);
    }
    EXPECT_LE(appends, 20U);
}

// Latency that the claim adds (links of 1 to 4 ms, log calls of 2 to 10 ms) and
// append calls per submission; one shard, several rates.
TEST_F(claims_test, figures_of_latency_and_appends) {
    for (const auto gap : {200, 20, 5}) {
        const auto before =
            world_->daemons_.at(owner_)->claims_->statistics().appends_;
        auto ids = std::vector<std::string>{};
        constexpr auto requests = 1000;
        for (auto number = 0; number < requests; ++number) {
            ids.push_back(world_->submit(
                other_, {"org", std::to_string(gap), std::to_string(number)}));
            world_->run_for(milliseconds{gap});
        }
        world_->run_for(seconds{1});
        auto waits = std::vector<double>{};
        for (const auto& id : ids) {
            const auto& view = world_->view(id);
            ASSERT_TRUE(view.permitted_);
            waits.push_back(std::chrono::duration<double, std::milli>(
                                *view.permitted_ - view.submitted_)
                                .count());
        }
        std::sort(waits.begin(), waits.end());
        const auto appends =
            world_->daemons_.at(owner_)->claims_->statistics().appends_ -
            before;
        std::printf("%d submissions/s: claim adds %.1f ms (99 in 100: %.1f), "
                    "%.1f append calls/s\n",
                    1000 / gap, waits[requests / 2], waits[requests * 99 / 100],
                    static_cast<double>(appends) /
                        (requests * gap / 1000.0 + 1.0));
        EXPECT_LE(waits[requests * 99 / 100], 100.0);
    }
}

TEST_F(claims_test, figures_of_takeovers) {
    auto times = std::vector<double>{};
    for (auto run = 0; run < 40; ++run) {
        const auto owner = world_->owner_of(0);
        world_->kill(owner);
        const auto begin = world_->now_;
        while (world_->owner_of(0).empty()) {
            world_->run_for(milliseconds{20});
        }
        times.push_back(
            std::chrono::duration<double>(world_->now_ - begin).count());
        world_->add_daemon("x" + std::to_string(run));
        world_->run_for(seconds{20});
    }
    std::sort(times.begin(), times.end());
    std::printf("owner killed: next owner after %.1f s (most %.1f)\n",
                times[times.size() / 2], times.back());
    EXPECT_LE(times.back(), 8.0);
}

struct no_last_seen final : claim_guards {
    [[nodiscard]] auto compare_last_seen() const -> bool override {
        return false;
    }
};

// Replays a takeover by a reader that had not seen the owner's last renewal,
// and returns the owner afterwards.
auto owner_after_lagging_takeover(const claim_guards& guards) -> std::string {
    auto index = internal::claim_index{guards};
    index.apply({0, ownership_record{"a", {}, 0}}, {});
    index.apply({1, renewal_record{"a", 0, 1}}, {});
    index.apply({2, renewal_record{"a", 0, 2}}, {});
    index.apply({3, ownership_record{"b", 0, 1}}, {});
    return index.owner();
}

TEST(claim_index, keeps_the_lease_against_a_lagging_reader) {
    EXPECT_EQ(owner_after_lagging_takeover(claim_guards{}), "a");
    EXPECT_EQ(owner_after_lagging_takeover(no_last_seen{}), "b");
}

TEST(claim_index, corrects_a_late_claim_of_a_truncated_stream) {
    const auto guards = claim_guards{};
    const auto first = claim_record{key, {}, "first", {"a", "1"}, 0};
    const auto late = claim_record{key, {}, "late", {"a", "1"}, 0};
    auto index = internal::claim_index{guards};
    index.apply({7, renewal_record{"a", 0, 1}}, {});
    index.apply({8, late}, {});
    index.apply({9, carry_record{{{first, 3, true}}, 9, 0}}, {});
    EXPECT_EQ(index.find(key)->claim_.request_id_, "first");
    EXPECT_TRUE(index.find(key)->finished_);
}

} // namespace
} // namespace basilstream::coordination
