#include "basilstream/coordination/quarantine/quarantine.hpp"

#include <memory>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

using std::chrono::minutes;

const auto poison = make_fingerprint("acme", "acme/chat", "poison");

TEST(fingerprint, depends_on_each_part_and_round_trips_as_text) {
    EXPECT_EQ(poison, make_fingerprint("acme", "acme/chat", "poison"));
    EXPECT_NE(poison, make_fingerprint("acme", "acme/chatp", "oison"));
    EXPECT_NE(poison, make_fingerprint("acm", "eacme/chat", "poison"));
    EXPECT_EQ(parse_fingerprint(poison.to_string()), poison);
    EXPECT_EQ(parse_fingerprint("xyz"), std::nullopt);
}

class quarantine_test : public ::testing::Test {
protected:
    quarantine_test() { quarantine_.set_members({"d1"}, time_point{}); }

    auto request_grant(const fingerprint& print, const std::string& id,
                       const std::string& runner)
        -> std::optional<isolation_refusal> {
        const auto answer = quarantine_.on_isolation_request(
            quarantine_.make_isolation_request({print, id, runner, "b"}, now_),
            now_);
        quarantine_.on_isolation_answer(answer, now_);
        return answer.refusal_;
    }
    auto crash_runner(const fingerprint& print, const std::string& id,
                      const std::string& runner) -> void {
        EXPECT_TRUE(quarantine_.on_dispatch({print, id, runner, "b"}, now_));
        quarantine_.on_crash(runner, now_);
    }

    quarantine quarantine_{{}, "d1"};
    time_point now_{seconds{100}};
};

TEST_F(quarantine_test, second_crash_quarantines_until_mark_expires) {
    crash_runner(poison, "1", "r1");
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    // A suspected request is not dispatched without a grant.
    EXPECT_FALSE(quarantine_.on_dispatch({poison, "2", "r2", "b"}, now_));
    EXPECT_EQ(request_grant(poison, "2", "r2"), std::nullopt);
    crash_runner(poison, "2", "r2");
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(request_grant(poison, "3", "r3"), isolation_refusal::quarantined);
    const auto refusal = quarantine_.make_quarantined_error(poison, now_);
    EXPECT_EQ(refusal.code_, error_code::quarantined);
    EXPECT_EQ(refusal.run_, run_status::not_run);
    EXPECT_EQ(refusal.retry_after_, minutes{30});
    const auto events = quarantine_.poll(now_);
    ASSERT_EQ(events.size(), 3U); // the mark and two suspicions
    const auto& mark = std::get<quarantine_mark>(events[0]);
    EXPECT_EQ(mark.runners_, (std::vector<std::string>{"r1", "r2"}));
    EXPECT_TRUE(mark.confirmed_);
    ASSERT_EQ(quarantine_.list(now_).size(), 1U);
    now_ += minutes{30};
    static_cast<void>(quarantine_.poll(now_));
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(request_grant(poison, "4", "r3"), std::nullopt);
    crash_runner(poison, "4", "r3");
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
    now_ += minutes{30};
    static_cast<void>(quarantine_.poll(now_));
    now_ += minutes{10}; // no further run
    static_cast<void>(quarantine_.poll(now_));
    EXPECT_TRUE(quarantine_.list(now_).empty());
}

TEST_F(quarantine_test, crash_reported_twice_counts_once) {
    crash_runner(poison, "1", "r1");
    quarantine_.merge(suspicion{poison, "r1", "b", seconds{90}}, now_);
    quarantine_.merge(suspicion{poison, "r1", "other", seconds{1}}, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    now_ += seconds{20};
    quarantine_.merge(suspicion{poison, "r1", "next", {}}, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

// The only runner of a service crashes, is back within seconds under its name
// and gets the request again.
TEST_F(quarantine_test, crashes_of_one_runner_in_short_order_are_merged) {
    auto local = quarantine{{.isolate_suspects_ = false}, "d1"};
    auto peer = quarantine{{.isolate_suspects_ = false}, "d2"};
    for (const auto* const run : {"1", "2"}) {
        // The second run may still name the first start of the runner.
        EXPECT_TRUE(local.on_dispatch({poison, run, "r1", "b"}, now_));
        now_ += milliseconds{100};
        local.on_connection_lost(run, now_);
        now_ += seconds{1};
        local.on_crash("r1", now_);
        for (const auto& event : local.poll(now_)) {
            if (const auto* crash = std::get_if<suspicion>(&event)) {
                peer.merge(*crash, now_);
            }
        }
    }
    EXPECT_EQ(local.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::quarantined);
}

// Two runs of one request are on a runner when it crashes; one daemon detects
// the crash a second after the other.
TEST_F(quarantine_test, crash_that_ends_two_runs_counts_once) {
    auto local = quarantine{{.isolate_suspects_ = false}, "d1"};
    auto other = quarantine{{.isolate_suspects_ = false}, "d2"};
    EXPECT_TRUE(local.on_dispatch({poison, "1", "r1", "b"}, now_));
    EXPECT_TRUE(other.on_dispatch({poison, "1", "r1", "b"}, now_));
    now_ += seconds{20};
    local.on_crash("r1", now_);
    now_ += seconds{1};
    other.on_crash("r1", now_);
    for (const auto& event : other.poll(now_)) {
        local.merge(std::get<suspicion>(event), now_);
    }
    EXPECT_EQ(local.check(poison, now_), quarantine_verdict::suspected);
}

TEST_F(quarantine_test,
       unconfirmed_mark_expires_early_and_allows_isolated_run) {
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "1", "r1", "b"}, now_));
    crash_runner(poison, "2", "r2");
    quarantine_.on_crash("r1", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
    now_ += minutes{2};
    static_cast<void>(quarantine_.poll(now_));
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(request_grant(poison, "3", "r3"), std::nullopt);
    crash_runner(poison, "3", "r3");
    now_ += minutes{29};
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

TEST_F(quarantine_test, suspicion_is_gossiped_three_times_with_growing_age) {
    crash_runner(poison, "1", "r1");
    for (auto repeat = 0; repeat < 3; ++repeat) {
        const auto events = quarantine_.poll(now_);
        ASSERT_EQ(events.size(), 1U);
        EXPECT_EQ(std::get<suspicion>(events[0]).age_, seconds{repeat});
        EXPECT_TRUE(quarantine_.poll(now_).empty());
        now_ += seconds{1};
    }
    EXPECT_TRUE(quarantine_.poll(now_).empty());
}

TEST_F(quarantine_test, complete_answer_clears_despite_late_gossip) {
    crash_runner(poison, "1", "r1");
    EXPECT_EQ(request_grant(poison, "2", "r2"), std::nullopt);
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "2", "r2", "b"}, now_));
    quarantine_.on_finish("2", true, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
    quarantine_.merge(suspicion{poison, "r1", "b", {}}, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
    const auto events = quarantine_.poll(now_);
    auto peer = quarantine{{}, "d2"};
    peer.merge(std::get<suspicion>(events[0]), now_);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::suspected);
    peer.merge(std::get<clearance>(events[1]), now_);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::clear);
}

TEST_F(quarantine_test,
       grants_one_suspect_per_runner_and_one_run_per_fingerprint) {
    const auto other = make_fingerprint("acme", "acme/chat", "innocent");
    EXPECT_TRUE(quarantine_.on_dispatch({other, "0", "r1", "b"}, now_));
    crash_runner(poison, "1", "r1");
    EXPECT_EQ(request_grant(poison, "2", "r2"), std::nullopt);
    EXPECT_EQ(request_grant(poison, "3", "r3"),
              isolation_refusal::fingerprint_busy);
    EXPECT_EQ(request_grant(other, "4", "r2"), isolation_refusal::runner_busy);
    EXPECT_EQ(request_grant(other, "4", "r3"), std::nullopt);
    // The holder's release may be lost: the arbiter counts the crash itself
    // after holder_report_timeout_.
    quarantine_.on_crash("r2", now_);
    EXPECT_EQ(request_grant(poison, "5", "r4"),
              isolation_refusal::fingerprint_busy);
    now_ += seconds{3};
    static_cast<void>(quarantine_.poll(now_));
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(quarantine_.check(other, now_), quarantine_verdict::suspected);
}

TEST_F(quarantine_test, applies_marks_and_lifts_from_the_log) {
    quarantine_.apply(quarantine_mark{poison, {"r1", "r2"}}, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_FALSE(quarantine_.on_dispatch({poison, "1", "r3", "b"}, now_));
    quarantine_.lift(poison, now_);
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "1", "r3", "b"}, now_));
}

TEST_F(quarantine_test, new_arbiter_waits_for_renewals_before_granting) {
    crash_runner(poison, "1", "r1");
    // d2 runs a suspect with a grant of d3. d3 fails and d1 becomes arbiter.
    auto holder = quarantine{{}, "d2"};
    holder.set_members({"d3"}, now_);
    holder.on_isolation_answer({.request_id_ = "2"}, now_);
    holder.merge(suspicion{poison, "r1", "b", {}}, now_);
    EXPECT_TRUE(holder.on_dispatch({poison, "2", "r2", "b"}, now_));
    quarantine_.set_members({"d3"}, now_);
    quarantine_.set_members({"d1"}, now_);
    holder.set_members({"d1"}, now_);
    EXPECT_EQ(request_grant(poison, "3", "r3"), isolation_refusal::taking_over);
    const auto events = holder.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(
        quarantine_
            .on_isolation_request(std::get<isolation_request>(events[0]), now_)
            .refusal_,
        std::nullopt);
    now_ += seconds{12};
    EXPECT_EQ(request_grant(poison, "3", "r3"),
              isolation_refusal::fingerprint_busy);
}

TEST_F(quarantine_test, number_of_suspicions_is_bounded) {
    auto small_quarantine = quarantine{{.capacity_ = 10}, "d1"};
    for (auto index = std::uint64_t{0}; index < 100; ++index) {
        small_quarantine.merge(suspicion{{index, index}, "r", "b", {}}, now_);
    }
    EXPECT_EQ(small_quarantine.list(now_).size(), 10U);
}

// The crash is detected only when the runner's announcement expires, seconds
// after the connection was lost.
TEST_F(quarantine_test, crash_detected_after_connection_loss_counts) {
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "1", "r1", "b"}, now_));
    quarantine_.on_connection_lost("1", now_);
    quarantine_.on_finish("1", false, now_);
    now_ += seconds{3};
    static_cast<void>(quarantine_.poll(now_));
    quarantine_.on_crash("r1", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
}

TEST_F(quarantine_test, lost_run_without_crash_expires) {
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "1", "r1", "b"}, now_));
    quarantine_.on_connection_lost("1", now_);
    now_ += seconds{6};
    static_cast<void>(quarantine_.poll(now_));
    quarantine_.on_crash("r1", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
}

TEST_F(quarantine_test, without_isolation_suspect_runs_until_second_crash) {
    auto quarantine_without_isolation =
        quarantine{{.isolate_suspects_ = false}, "d1"};
    for (const auto* const runner : {"r1", "r2"}) {
        EXPECT_TRUE(quarantine_without_isolation.on_dispatch(
            {poison, runner, runner, "b"}, now_));
        quarantine_without_isolation.on_connection_lost(runner, now_);
        quarantine_without_isolation.on_crash(runner, now_);
    }
    EXPECT_FALSE(quarantine_without_isolation.on_dispatch(
        {poison, "3", "r3", "b"}, now_));
    EXPECT_EQ(quarantine_without_isolation.check(poison, now_),
              quarantine_verdict::quarantined);
}

TEST_F(quarantine_test, without_isolation_complete_answer_clears_suspect) {
    auto quarantine_without_isolation =
        quarantine{{.isolate_suspects_ = false}, "d1"};
    EXPECT_TRUE(quarantine_without_isolation.on_dispatch(
        {poison, "1", "r1", "b"}, now_));
    quarantine_without_isolation.on_crash("r1", now_);
    EXPECT_TRUE(quarantine_without_isolation.on_dispatch(
        {poison, "2", "r2", "b"}, now_));
    quarantine_without_isolation.on_finish("2", true, now_);
    EXPECT_EQ(quarantine_without_isolation.check(poison, now_),
              quarantine_verdict::clear);
}

// Quarantine that counts lost connections, as the relay uses it.
class lost_connections_test : public ::testing::Test {
protected:
    // A run of the poison request whose connection is lost after 100 ms.
    auto lose(const std::string& id, const std::string& runner) -> bool {
        const auto sent =
            quarantine_.on_dispatch({poison, id, runner, "b"}, now_);
        now_ += milliseconds{100};
        quarantine_.on_connection_lost(id, now_);
        quarantine_.on_finish(id, false, now_);
        return sent;
    }

    // Runs of the poison request on several runners that all crash within 90
    // ms, or only lose their connections.
    auto lose_at_once(const std::vector<std::string>& runners, bool crash)
        -> void {
        for (const auto& runner : runners) {
            for (const auto* const id : {"/1", "/2"}) {
                EXPECT_TRUE(quarantine_.on_dispatch(
                    {poison, runner + id, runner, "b"}, now_));
            }
        }
        now_ += milliseconds{50};
        for (const auto& runner : runners) {
            for (const auto* const id : {"/1", "/2"}) {
                now_ += milliseconds{90} / static_cast<int>(2 * runners.size());
                quarantine_.on_connection_lost(runner + id, now_);
                quarantine_.on_finish(runner + id, false, now_);
            }
        }
        now_ += seconds{2};
        for (const auto& runner : runners) {
            if (crash) {
                quarantine_.on_crash(runner, now_);
            }
        }
    }

    quarantine quarantine_{{.isolate_suspects_ = false,
                            .count_lost_connections_ = true,
                            .coincidence_ = milliseconds{100}},
                           "d1"};
    time_point now_{seconds{100}};
};

// Requests that are equal to many others were in flight on each runner of a
// rack that lost power, and nobody's ran for two minutes.
TEST_F(lost_connections_test, crashes_at_once_quarantine_equal_requests) {
    lose_at_once({"r1", "r2", "r3", "r4"}, true);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "9", "r9", "b"}, now_));
    quarantine_.on_finish("9", true, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
}

// As above, by a cut between the daemon and its runners.
TEST_F(lost_connections_test, resets_at_once_quarantine_equal_requests) {
    lose_at_once({"r1", "r2", "r3", "r4"}, false);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
}

// A request that crashes a runner within some ms is repeated at once, and was
// sent on for ever.
TEST_F(lost_connections_test, repetitions_in_quick_order_count_as_one_crash) {
    for (const auto* const runner : {"r1", "r2", "r3"}) {
        now_ += milliseconds{1};
        EXPECT_TRUE(
            quarantine_.on_dispatch({poison, runner, runner, "b"}, now_));
        now_ += milliseconds{4};
        quarantine_.on_connection_lost(runner, now_);
        quarantine_.on_finish(runner, false, now_);
    }
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

// A request that crashes the runners that run it is sent on for ever if its
// runs come in groups.
TEST_F(lost_connections_test, group_of_crashes_counts_once) {
    lose_at_once({"r1", "r2"}, true);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    lose_at_once({"r3", "r4"}, true);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

// The list of runners cannot be read, so that no crash is confirmed.
TEST_F(lost_connections_test, request_is_sent_on_until_crashes_are_listed) {
    EXPECT_TRUE(lose("1", "r1"));
    EXPECT_TRUE(lose("2", "r2"));
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_TRUE(lose("3", "r3"));
    EXPECT_FALSE(lose("4", "r4"));
}

// The first crash is confirmed after the second; the lost connection and the
// crash are one.
TEST_F(lost_connections_test, confirmed_crashes_count_once) {
    EXPECT_TRUE(lose("1", "r1"));
    now_ += seconds{4};
    EXPECT_EQ(quarantine_.on_crash("r1", now_), 1U);
    EXPECT_TRUE(lose("2", "r2"));
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    quarantine_.on_crash("r2", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

// A runner that is alive resets connections.
TEST_F(lost_connections_test, lost_connections_to_one_runner_weigh_less) {
    for (const auto* const id : {"1", "2", "3"}) {
        EXPECT_TRUE(lose(id, "r1"));
    }
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "4", "r1", "b"}, now_));
    quarantine_.on_finish("4", true, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
    for (const auto* const id : {"5", "6", "7", "8"}) {
        EXPECT_TRUE(lose(id, "r1"));
    }
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

// A runner goes silent; the client leaves before its crash is listed, or after.
TEST_F(lost_connections_test, crash_is_forgotten_when_silent_run_is_cancelled) {
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "1", "r1", "b"}, now_));
    quarantine_.on_cancelled("1", now_);
    quarantine_.on_finish("1", false, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
    now_ += seconds{4};
    quarantine_.on_crash("r1", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "2", "r2", "b"}, now_));
    quarantine_.on_crash("r2", now_);
    quarantine_.on_cancelled("2", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::quarantined);
}

// Daemons of one deployment that all hold a mark of the poison request.
class mark_end_test : public ::testing::Test {
protected:
    mark_end_test() {
        for (const auto* const name : {"d1", "d2", "d3", "d4"}) {
            daemons_.push_back(std::make_unique<quarantine>(
                quarantine_settings{.isolate_suspects_ = false,
                                    .count_lost_connections_ = true},
                name));
            names_.emplace_back(name);
        }
        for (const auto& daemon : daemons_) {
            daemon->set_members(names_, now_);
            daemon->apply(mark_, now_);
        }
        now_ += minutes{1};
    }

    // Offers the request to every daemon. Returns the daemons that sent it.
    auto offer(const std::string& id) -> std::vector<quarantine*> {
        auto sent = std::vector<quarantine*>{};
        for (const auto& daemon : daemons_) {
            if (daemon->on_dispatch({poison, id, "r9", "b"}, now_)) {
                sent.push_back(daemon.get());
            }
        }
        return sent;
    }
    // Advances the time and delivers suspicions and marks to all daemons.
    auto advance(duration time) -> void {
        now_ += time;
        for (const auto& from : daemons_) {
            for (const auto& event : from->poll(now_)) {
                deliver(event);
            }
        }
    }
    auto deliver(const quarantine_event& event) -> void {
        for (const auto& to : daemons_) {
            if (const auto* crash = std::get_if<suspicion>(&event)) {
                to->merge(*crash, now_);
            } else if (const auto* mark =
                           std::get_if<quarantine_mark>(&event)) {
                to->apply(*mark, now_);
            } else if (const auto* release =
                           std::get_if<quarantine_release>(&event)) {
                to->lift(release->fingerprint_, now_);
            }
        }
    }

    const quarantine_mark mark_{poison, {"r1", "r2", "r3"}, false};
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<quarantine>> daemons_;
    time_point now_{seconds{100}};
};

// The mark expires on all daemons at the same time.
TEST_F(mark_end_test, expired_mark_lets_every_daemon_send_the_request) {
    EXPECT_TRUE(offer("1").empty());
    advance(minutes{1});
    const auto sent = offer("2");
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_TRUE(offer("3").empty());
    // A trial that is refused as not run may be repeated.
    sent.front()->on_finish("2", false, now_);
    EXPECT_EQ(offer("4").size(), 1U);
}

// The request crashes another runner in each trial.
TEST_F(mark_end_test, expired_marks_allow_more_than_three_retries_in_a_day) {
    auto runs = 0;
    for (auto hour = 0; hour < 24; ++hour) {
        for (auto minute = 0; minute < 60; ++minute) {
            advance(minutes{1});
            const auto id = std::to_string(hour * 60 + minute);
            for (auto* const sender : offer(id)) {
                ++runs;
                sender->on_connection_lost(id, now_);
                sender->on_finish(id, false, now_);
            }
        }
    }
    EXPECT_GE(runs, 1);
    EXPECT_LE(runs, 3);
}

TEST_F(mark_end_test, complete_answer_in_a_trial_lifts_the_mark_everywhere) {
    advance(minutes{1});
    const auto sent = offer("1");
    ASSERT_EQ(sent.size(), 1U);
    sent.front()->on_finish("1", true, now_);
    advance(seconds{1});
    EXPECT_EQ(offer("2").size(), daemons_.size());
}

// A daemon that starts reads the mark of a trial that others wait for.
TEST_F(mark_end_test, restarted_daemon_sends_a_request_on_trial) {
    advance(minutes{1});
    auto restarted = quarantine{
        {.isolate_suspects_ = false, .count_lost_connections_ = true}, "d1"};
    auto mark = mark_;
    mark.age_ = minutes{3};
    restarted.apply(mark, now_);
    EXPECT_FALSE(restarted.on_dispatch({poison, "1", "r9", "b"}, now_));
    restarted.set_members({"d1"}, now_);
    EXPECT_FALSE(restarted.on_dispatch({poison, "2", "r9", "b"}, now_));
}

// A runner loses two answers to a request and crashes seconds later.
TEST_F(lost_connections_test, one_crash_confirms_one_of_two_lost_runs) {
    EXPECT_TRUE(lose("1", "r1"));
    EXPECT_TRUE(lose("2", "r1"));
    now_ += seconds{1};
    quarantine_.on_crash("r1", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
}

// A runner leaves the list without notice and still answers.
TEST_F(lost_connections_test, unlisted_runner_that_answers_has_not_crashed) {
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "1", "r1", "b"}, now_));
    EXPECT_TRUE(quarantine_.on_dispatch({poison, "2", "r2", "b"}, now_));
    quarantine_.on_crash("r1", now_);
    quarantine_.on_crash("r2", now_);
    quarantine_.on_finish("1", true, now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::clear);
    quarantine_.on_connection_lost("2", now_);
    EXPECT_EQ(quarantine_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(quarantine_.statistics().crashes_, 1U);
}

} // namespace
} // namespace basilstream::coordination
