#include "basilstream/coordination/server_reachability/server_reachability.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

class server_reachability_test : public ::testing::Test {
protected:
    server_reachability_test() {
        servers_.set_servers(18);
        servers_.on_heard(now_);
    }

    auto fail(const std::string& server) -> void {
        servers_.on_started(++call_, server, true, now_);
        servers_.on_lost(call_, now_);
    }
    auto answer(const std::string& server) -> void {
        servers_.on_started(++call_, server, true, now_);
        servers_.on_answered(call_, now_);
        servers_.on_ended(call_, now_);
    }
    auto advance(milliseconds time) -> reachability {
        now_ += time;
        return servers_.state(now_);
    }

    time_point now_ = time_point{} + seconds{100};
    server_reachability servers_{{}};
    std::uint64_t call_ = 0;
};

TEST_F(server_reachability_test, refused_connections_to_several_servers) {
    fail("s1");
    fail("s2");
    EXPECT_EQ(advance(milliseconds{400}), reachability::reached);
    fail("s3");
    EXPECT_EQ(advance(milliseconds{1}), reachability::cut);
    EXPECT_EQ(servers_.own_share(now_), 0);
}

// Streams on open connections hid that no new ones could be made.
TEST_F(server_reachability_test, few_answers_hide_a_cut) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        fail(server);
        servers_.on_heard(now_);
    }
    servers_.on_heard(now_ + milliseconds{150});
    EXPECT_EQ(advance(milliseconds{150}), reachability::partly_cut);
    EXPECT_EQ(servers_.own_share(now_), 0);
    servers_.on_heard(now_);
    EXPECT_EQ(advance(milliseconds{100}), reachability::partly_cut);
    servers_.on_probes({3, 3, 3}, now_);
    EXPECT_EQ(advance(milliseconds{100}), reachability::reached);
}

// Connections to all servers were made and reset by the first request.
TEST_F(server_reachability_test, requests_lost_at_several_servers) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        servers_.on_started(++call_, server, false, now_);
        servers_.on_lost(call_, now_);
    }
    EXPECT_EQ(advance(milliseconds{200}), reachability::reached);
    EXPECT_EQ(advance(milliseconds{100}), reachability::cut);
}

// Many kept connections were reset at once, while new ones served.
TEST_F(server_reachability_test, reset_of_kept_connections_is_taken_for_a_cut) {
    for (auto number = 0; number < 12; ++number) {
        servers_.on_started(++call_, "s" + std::to_string(number), false, now_);
        servers_.on_lost(call_, now_);
    }
    answer("s12");
    EXPECT_EQ(advance(milliseconds{200}), reachability::reached);
    EXPECT_EQ(advance(milliseconds{300}), reachability::reached);
}

// Servers that were busy for seconds were taken for unreachable ones.
TEST_F(server_reachability_test, busy_servers_are_taken_for_a_cut) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        servers_.on_started(++call_, server, false, now_);
    }
    EXPECT_EQ(advance(milliseconds{1600}), reachability::silent);
    servers_.on_probes({3, 3, 0}, now_);
    EXPECT_EQ(advance(milliseconds{500}), reachability::silent);
    servers_.on_probes({3, 0, 0}, now_);
    EXPECT_EQ(advance(milliseconds{500}), reachability::cut);
}

// One of 18 servers that answered ended the cut, again and again.
TEST_F(server_reachability_test, one_answer_ends_a_cut) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        fail(server);
    }
    EXPECT_EQ(advance(milliseconds{300}), reachability::cut);
    servers_.on_heard(now_);
    EXPECT_EQ(advance(milliseconds{250}), reachability::partly_cut);
    servers_.on_probes({3, 1, 1}, now_);
    EXPECT_EQ(advance(milliseconds{250}), reachability::partly_cut);
}

// A quarter of the servers is down; the others are reached.
TEST_F(server_reachability_test, some_dead_servers_are_taken_for_a_cut) {
    for (auto count = 0; count < 50; ++count) {
        for (auto number = 0; number < 4; ++number) {
            fail("dead" + std::to_string(number));
        }
        for (auto number = 0; number < 12; ++number) {
            answer("s" + std::to_string(number));
        }
        EXPECT_EQ(advance(milliseconds{300}), reachability::reached);
    }
}

// A service with one dead server of two was never used again.
TEST_F(server_reachability_test, half_of_the_probes_suffices) {
    servers_.set_servers(2);
    fail("s1");
    fail("s2");
    EXPECT_EQ(advance(milliseconds{300}), reachability::cut);
    EXPECT_EQ(servers_.probes(), 2);
    servers_.on_probes({2, 1, 1}, now_);
    EXPECT_EQ(advance(milliseconds{0}), reachability::reached);
}

// One server that is down counted as a cut.
TEST_F(server_reachability_test, dead_server_is_taken_for_a_cut) {
    for (auto count = 0; count < 50; ++count) {
        fail("s1");
        fail("s2");
        fail("s3");
        EXPECT_EQ(advance(milliseconds{100}), reachability::reached);
        servers_.on_heard(now_);
    }
}

TEST_F(server_reachability_test, requests_that_hang_at_several_servers) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        servers_.on_started(++call_, server, false, now_);
    }
    EXPECT_EQ(advance(milliseconds{1200}), reachability::reached);
    EXPECT_EQ(advance(milliseconds{400}), reachability::silent);
    servers_.on_heard(now_);
    EXPECT_EQ(advance(milliseconds{1}), reachability::reached);
}

// One silent server held all requests of a daemon.
TEST_F(server_reachability_test, one_silent_server_is_taken_for_a_cut) {
    for (auto count = 0; count < 5; ++count) {
        servers_.on_started(++call_, "s1", false, now_);
    }
    EXPECT_EQ(advance(milliseconds{3000}), reachability::reached);
}

// Deadlines passed before connections had failed.
TEST_F(server_reachability_test, requests_that_are_given_up_tell_nothing) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        servers_.on_started(++call_, server, false, now_);
    }
    EXPECT_EQ(advance(milliseconds{900}), reachability::reached);
    for (auto call = std::uint64_t{1}; call <= call_; ++call) {
        servers_.on_ended(call, now_);
    }
    EXPECT_EQ(advance(milliseconds{700}), reachability::silent);
}

TEST_F(server_reachability_test, service_with_one_server) {
    servers_.set_servers(1);
    fail("s1");
    EXPECT_EQ(advance(milliseconds{300}), reachability::cut);
}

TEST_F(server_reachability_test, probes_and_returns_step_by_step) {
    for (const auto* const server : {"s1", "s2", "s3"}) {
        fail(server);
    }
    EXPECT_EQ(advance(milliseconds{300}), reachability::cut);
    EXPECT_FALSE(servers_.probe_due(now_));
    EXPECT_EQ(advance(milliseconds{500}), reachability::cut);
    EXPECT_TRUE(servers_.probe_due(now_));
    EXPECT_FALSE(servers_.probe_due(now_));
    EXPECT_EQ(servers_.probes(), 3);
    servers_.on_probes({3, 0, 0}, now_);
    EXPECT_EQ(advance(milliseconds{500}), reachability::cut);
    servers_.on_probes({3, 1, 1}, now_);
    EXPECT_EQ(advance(milliseconds{0}), reachability::cut);
    EXPECT_TRUE(servers_.probe_due(now_));
    servers_.on_probes({3, 2, 2}, now_);
    EXPECT_EQ(advance(milliseconds{500}), reachability::reached);
    EXPECT_NEAR(servers_.own_share(now_), 0.5, 0.01);
    EXPECT_EQ(advance(milliseconds{600}), reachability::reached);
    EXPECT_EQ(servers_.own_share(now_), 1);
}

} // namespace
} // namespace basilstream::coordination
