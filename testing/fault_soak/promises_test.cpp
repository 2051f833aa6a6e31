#include "testing/fault_soak/promises.hpp"

#include <gtest/gtest.h>

namespace basilstream::testing {
namespace {

// For each promise, a planted violation is found and the kept promise is not
// reported.
class promises_test : public ::testing::Test {
protected:
    auto send(const std::string& id, repeatability kind) -> void {
        promises_.on_sent({id, kind, "/p", "b"}, now_);
    }
    auto run(const std::string& id, const server_process& server,
             bool settled = true) -> void {
        promises_.on_run(id, server, "/p", "b", settled, now_);
    }
    auto answer(const std::string& id, int status, const std::string& body,
                bool is_signed = true, bool complete = true) -> void {
        promises_.on_answer(id, {status, body, is_signed, complete}, now_);
    }
    auto found(promise expected) -> bool {
        return promises_.violations().size() == 1 &&
               promises_.violations().front().promise_ == expected;
    }

    promise_checker promises_;
    const server_process server_{"s1", 1};
    time_point now_{seconds{100}};
};

TEST_F(promises_test, finds_repeated_request) {
    send("q", repeatability::once);
    run("q", server_);
    EXPECT_TRUE(promises_.violations().empty());
    run("q", {"s2", 1});
    EXPECT_TRUE(found(promise::twice));
}

TEST_F(promises_test, finds_refusal_of_a_request_that_ran) {
    send("q", repeatability::safe);
    run("q", server_);
    answer("q", 502, "");
    EXPECT_TRUE(promises_.violations().empty());
    answer("q", 503, "");
    EXPECT_TRUE(found(promise::refused_but_run));
}

TEST_F(promises_test, finds_run_after_refusal) {
    send("q", repeatability::safe);
    answer("q", 503, "");
    run("q", server_);
    EXPECT_TRUE(found(promise::refused_but_run));
}

TEST_F(promises_test, finds_unsigned_or_foreign_answer) {
    send("q", repeatability::safe);
    run("q", server_);
    answer("q", 200, promise_checker::answer_body("q", server_));
    EXPECT_TRUE(promises_.violations().empty());
    answer("q", 200, promise_checker::answer_body("q", server_), false);
    answer("q", 200, promise_checker::answer_body("other", server_));
    EXPECT_EQ(promises_.violations().size(), 2U);
    EXPECT_EQ(promises_.violations()[1].promise_, promise::mixed);
}

TEST_F(promises_test, finds_unknown_and_altered_requests) {
    run("q", server_);
    EXPECT_TRUE(found(promise::unasked));
    send("r", repeatability::safe);
    promises_.on_run("r", server_, "/p", "other", true, now_);
    EXPECT_EQ(promises_.violations().size(), 2U);
}

TEST_F(promises_test, finds_gap_and_early_end_of_stream) {
    send("q", repeatability::stream);
    run("q", server_);
    answer("q", 200, promise_checker::event_text(1), true, false);
    EXPECT_TRUE(promises_.violations().empty());
    answer("q", 200, promise_checker::event_text(1));
    EXPECT_TRUE(found(promise::order));
    answer("q", 200, promise_checker::event_text(2), true, false);
    EXPECT_EQ(promises_.violations().size(), 2U);
}

TEST_F(promises_test, finds_crashing_request_that_is_sent_on) {
    const auto crash = [&](int start, bool settled) {
        const auto id = std::to_string(start);
        send(id, repeatability::crashing);
        run(id, {"s1", start}, settled);
    };
    for (auto start = 1; start <= 5; ++start) {
        crash(start, true);
    }
    now_ += seconds{4};
    crash(6, false);
    for (auto start = 7; start <= 9; ++start) {
        crash(start, true);
    }
    EXPECT_TRUE(promises_.violations().empty());
    crash(10, true);
    EXPECT_TRUE(found(promise::crashing_request));
}

TEST_F(promises_test, finds_late_answer) {
    send("q", repeatability::safe);
    now_ += milliseconds{3400};
    answer("q", 504, "");
    EXPECT_TRUE(promises_.violations().empty());
    now_ += milliseconds{200};
    answer("q", 504, "");
    EXPECT_TRUE(found(promise::late));
}

TEST_F(promises_test, finds_missing_recovery) {
    promises_.begin_recovery();
    for (auto number = 0; number < 10; ++number) {
        const auto id = std::to_string(number);
        send(id, repeatability::safe);
        run(id, server_);
        if (number < 9) {
            answer(id, 200, promise_checker::answer_body(id, server_));
        }
    }
    promises_.check_recovery();
    EXPECT_TRUE(promises_.violations().empty());
    send("q", repeatability::safe);
    send("r", repeatability::safe);
    promises_.check_recovery();
    EXPECT_TRUE(found(promise::recovery));
}

TEST(promise_checker, finds_too_many_requests_for_a_limit) {
    const auto start = time_point{seconds{100}};
    const auto play = [&](int requests, bool settled) {
        auto promises = promise_checker{};
        promises.on_limit("s1", 1.0, start);
        promises.on_limit_passed_on("d1", "s1", start);
        for (auto number = 0; number < requests; ++number) {
            promises.on_arrival("s1", "d1", settled,
                                start + seconds{4} + milliseconds{number});
            promises.on_arrival("s1", "d2", settled,
                                start + seconds{4} + milliseconds{number});
        }
        return promises.violations().size();
    };
    EXPECT_EQ(play(11, true), 0U);
    EXPECT_EQ(play(12, true), 1U);
    EXPECT_EQ(play(40, false), 0U);
}

TEST(promise_checker, finds_streams_of_several_versions) {
    auto promises = promise_checker{};
    const auto play = [&](const std::string& stream, const char* second) {
        promises.on_stream_try({stream, stream,
                                promise_checker::event_text(1, "v1"), false,
                                false});
        promises.on_stream_try({stream, stream + "b",
                                promise_checker::event_text(2, second), false,
                                false});
    };
    play("a", "v1");
    play("b", "v2");
    play("c", "v2");
    EXPECT_TRUE(promises.violations().empty());
    EXPECT_EQ(promises.position_of("b").began_as_, "b");
    EXPECT_EQ(promises.position_of("b").last_event_, 2);
    play("d", "v2");
    ASSERT_EQ(promises.violations().size(), 1U);
    EXPECT_EQ(promises.violations()[0].promise_, promise::stream_version);
    promises.on_stream_try(
        {"e", "e", promise_checker::event_text(2, "v1"), false, false});
    EXPECT_EQ(promises.violations().back().promise_, promise::order);
}

TEST(promise_checker, finds_too_few_resumptions) {
    const auto play = [](int resumed) {
        auto promises = promise_checker{};
        for (auto number = 0; number < 20; ++number) {
            const auto id = "q" + std::to_string(number);
            promises.on_stream_try(
                {id, id, promise_checker::event_text(1, "v1"), false, true});
            promises.on_stream_try(
                {id, id + "b",
                 number < resumed ? promise_checker::event_text(2, "v1") : "",
                 false, true});
        }
        promises.check_resumptions();
        return promises.violations().size();
    };
    EXPECT_EQ(play(10), 0U);
    EXPECT_EQ(play(9), 1U);
}

} // namespace
} // namespace basilstream::testing
