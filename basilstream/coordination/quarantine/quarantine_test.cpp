#include "basilstream/coordination/quarantine/quarantine.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

using std::chrono::minutes;

const auto poison = make_fingerprint("acme", "acme/chat", "poison");

TEST(fingerprint, depends_on_each_part_and_parses_back) {
    EXPECT_EQ(poison, make_fingerprint("acme", "acme/chat", "poison"));
    EXPECT_NE(poison, make_fingerprint("acme", "acme/chatp", "oison"));
    EXPECT_NE(poison, make_fingerprint("acm", "eacme/chat", "poison"));
    EXPECT_EQ(parse_fingerprint(poison.to_string()), poison);
    EXPECT_EQ(parse_fingerprint("xyz"), std::nullopt);
}

class quarantined : public ::testing::Test {
protected:
    quarantined() { marks_.set_members({"d1"}, time_point{}); }

    auto grant(const fingerprint& print, const std::string& id,
               const std::string& runner) -> std::optional<isolation_refusal> {
        const auto answer = marks_.on_isolation_request(
            marks_.ask({print, id, runner, "b"}, now_), now_);
        marks_.on_isolation_answer(answer, now_);
        return answer.refusal_;
    }
    auto crash(const fingerprint& print, const std::string& id,
               const std::string& runner) -> void {
        EXPECT_TRUE(marks_.on_dispatch({print, id, runner, "b"}, now_));
        marks_.on_crash(runner, now_);
    }

    quarantine marks_{{}, "d1"};
    time_point now_{seconds{100}};
};

TEST_F(quarantined, a_second_crash_marks_and_the_mark_expires) {
    crash(poison, "1", "r1");
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    // Not without a grant.
    EXPECT_FALSE(marks_.on_dispatch({poison, "2", "r2", "b"}, now_));
    EXPECT_EQ(grant(poison, "2", "r2"), std::nullopt);
    crash(poison, "2", "r2");
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::quarantined);
    const auto refusal = marks_.refusal(poison, now_);
    EXPECT_EQ(refusal.code_, error_code::quarantined);
    EXPECT_EQ(refusal.run_, run_status::not_run);
    EXPECT_EQ(refusal.retry_after_, minutes{30});
    const auto events = marks_.poll(now_);
    ASSERT_EQ(events.size(), 3U); // the mark and two suspicions
    const auto& mark = std::get<quarantine_mark>(events[0]);
    EXPECT_EQ(mark.runners_, (std::vector<std::string>{"r1", "r2"}));
    EXPECT_TRUE(mark.confirmed_);
    ASSERT_EQ(marks_.list(now_).size(), 1U);
    now_ += minutes{30};
    static_cast<void>(marks_.poll(now_));
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(grant(poison, "4", "r3"), std::nullopt);
    crash(poison, "4", "r3");
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    now_ += minutes{30};
    static_cast<void>(marks_.poll(now_));
    now_ += minutes{10}; // nobody sent it again
    static_cast<void>(marks_.poll(now_));
    EXPECT_TRUE(marks_.list(now_).empty());
}

TEST_F(quarantined, one_crash_seen_twice_counts_once) {
    crash(poison, "1", "r1");
    marks_.merge(suspicion{poison, "r1", "b", seconds{90}}, now_);
    marks_.merge(suspicion{poison, "r1", "other", seconds{1}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    now_ += seconds{20};
    marks_.merge(suspicion{poison, "r1", "next", {}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
}

TEST_F(quarantined, two_crashes_in_company_are_tried_in_isolation_later) {
    EXPECT_TRUE(marks_.on_dispatch({poison, "1", "r1", "b"}, now_));
    crash(poison, "2", "r2");
    marks_.on_crash("r1", now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    now_ += minutes{2};
    static_cast<void>(marks_.poll(now_));
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(grant(poison, "3", "r3"), std::nullopt);
    crash(poison, "3", "r3");
    now_ += minutes{29};
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
}

TEST_F(quarantined, gossip_is_repeated) {
    crash(poison, "1", "r1");
    for (auto repeat = 0; repeat < 3; ++repeat) {
        const auto events = marks_.poll(now_);
        ASSERT_EQ(events.size(), 1U);
        EXPECT_EQ(std::get<suspicion>(events[0]).age_, seconds{repeat});
        EXPECT_TRUE(marks_.poll(now_).empty());
        now_ += seconds{1};
    }
    EXPECT_TRUE(marks_.poll(now_).empty());
}

TEST_F(quarantined, a_whole_answer_clears_whatever_gossip_comes_late) {
    crash(poison, "1", "r1");
    EXPECT_EQ(grant(poison, "2", "r2"), std::nullopt);
    EXPECT_TRUE(marks_.on_dispatch({poison, "2", "r2", "b"}, now_));
    marks_.on_finish("2", true, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::clear);
    marks_.merge(suspicion{poison, "r1", "b", {}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::clear);
    const auto events = marks_.poll(now_);
    auto peer = quarantine{{}, "d2"};
    peer.merge(std::get<suspicion>(events[0]), now_);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::suspected);
    peer.merge(std::get<clearance>(events[1]), now_);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::clear);
}

TEST_F(quarantined, one_suspect_on_a_runner_and_one_run_of_a_suspect) {
    const auto other = make_fingerprint("acme", "acme/chat", "innocent");
    EXPECT_TRUE(marks_.on_dispatch({other, "0", "r1", "b"}, now_));
    crash(poison, "1", "r1");
    EXPECT_EQ(grant(poison, "2", "r2"), std::nullopt);
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::fingerprint_busy);
    EXPECT_EQ(grant(other, "4", "r2"), isolation_refusal::runner_busy);
    EXPECT_EQ(grant(other, "4", "r3"), std::nullopt);
    // The holder's report may be lost: the arbiter sees the crash itself.
    marks_.on_crash("r2", now_);
    EXPECT_EQ(grant(poison, "5", "r4"), isolation_refusal::fingerprint_busy);
    now_ += seconds{3};
    static_cast<void>(marks_.poll(now_));
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(marks_.check(other, now_), quarantine_verdict::suspected);
}

TEST_F(quarantined, operators_lift_and_the_log_marks) {
    marks_.apply(quarantine_mark{poison, {"r1", "r2"}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_FALSE(marks_.on_dispatch({poison, "1", "r3", "b"}, now_));
    marks_.lift(poison, now_);
    EXPECT_TRUE(marks_.on_dispatch({poison, "1", "r3", "b"}, now_));
}

TEST_F(quarantined, a_new_arbiter_hears_of_runs_in_flight_first) {
    crash(poison, "1", "r1");
    // d2 ran a suspect under the grant of a dead arbiter; d1 takes over.
    auto holder = quarantine{{}, "d2"};
    holder.set_members({"d3"}, now_);
    holder.on_isolation_answer({.request_id_ = "2"}, now_);
    holder.merge(suspicion{poison, "r1", "b", {}}, now_);
    EXPECT_TRUE(holder.on_dispatch({poison, "2", "r2", "b"}, now_));
    marks_.set_members({"d3"}, now_);
    marks_.set_members({"d1"}, now_);
    holder.set_members({"d1"}, now_);
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::taking_over);
    const auto events = holder.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(
        marks_
            .on_isolation_request(std::get<isolation_request>(events[0]), now_)
            .refusal_,
        std::nullopt);
    now_ += seconds{12};
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::fingerprint_busy);
}

TEST_F(quarantined, suspicions_are_bounded) {
    auto small = quarantine{{.capacity_ = 10}, "d1"};
    for (auto each = std::uint64_t{0}; each < 100; ++each) {
        small.merge(suspicion{{each, each}, "r", "b", {}}, now_);
    }
    EXPECT_EQ(small.list(now_).size(), 10U);
}

// A crash becomes known when the runner's announcement lapses, seconds after
// the connection.
TEST_F(quarantined, a_lost_run_counts_if_its_runner_turns_out_to_have_crashed) {
    EXPECT_TRUE(marks_.on_dispatch({poison, "1", "r1", "b"}, now_));
    marks_.on_lost("1", now_);
    marks_.on_finish("1", false, now_);
    now_ += seconds{3};
    static_cast<void>(marks_.poll(now_));
    marks_.on_crash("r1", now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
}

TEST_F(quarantined, a_lost_run_is_forgotten_if_no_crash_follows) {
    EXPECT_TRUE(marks_.on_dispatch({poison, "1", "r1", "b"}, now_));
    marks_.on_lost("1", now_);
    now_ += seconds{6};
    static_cast<void>(marks_.poll(now_));
    marks_.on_crash("r1", now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::clear);
}

TEST_F(quarantined, without_isolation_a_suspect_runs_until_its_second_crash) {
    auto marks = quarantine{{.isolate_suspects_ = false}, "d1"};
    for (const auto* const runner : {"r1", "r2"}) {
        EXPECT_TRUE(marks.on_dispatch({poison, runner, runner, "b"}, now_));
        marks.on_lost(runner, now_);
        marks.on_crash(runner, now_);
    }
    EXPECT_FALSE(marks.on_dispatch({poison, "3", "r3", "b"}, now_));
    EXPECT_EQ(marks.check(poison, now_), quarantine_verdict::quarantined);
}

TEST_F(quarantined, without_isolation_a_whole_answer_clears_a_suspect) {
    auto marks = quarantine{{.isolate_suspects_ = false}, "d1"};
    EXPECT_TRUE(marks.on_dispatch({poison, "1", "r1", "b"}, now_));
    marks.on_crash("r1", now_);
    EXPECT_TRUE(marks.on_dispatch({poison, "2", "r2", "b"}, now_));
    marks.on_finish("2", true, now_);
    EXPECT_EQ(marks.check(poison, now_), quarantine_verdict::clear);
}

} // namespace
} // namespace basilstream::coordination
