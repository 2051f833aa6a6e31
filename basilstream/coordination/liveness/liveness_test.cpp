#include "basilstream/coordination/liveness/liveness.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto step_length = milliseconds{50};

class liveness_test : public ::testing::Test {
protected:
    // Ticks until an action is due and returns the time until then;
    // duration::max() if there is none within 60 s.
    auto wait_for_action() -> duration {
        const auto wait_start = now_;
        while (now_ - wait_start < seconds{60}) {
            now_ += step_length;
            actions_ = monitor_.tick(now_);
            if (!actions_.empty()) {
                return now_ - wait_start;
            }
        }
        return duration::max();
    }
    auto first_request_fate() -> std::string {
        for (const auto& action : actions_) {
            if (const auto* request = std::get_if<request_action>(&action)) {
                return std::string{request_fate_names.name_of(request->fate_)};
            }
        }
        return "none";
    }

    connection_monitor monitor_{liveness_settings{}};
    time_point now_{seconds{10}};
    std::vector<liveness_action> actions_;
};

TEST_F(liveness_test, replaces_only_the_silent_connection) {
    monitor_.open(1, connection_kind::runner, "silent", now_);
    monitor_.open(2, connection_kind::runner, "working", now_);
    for (const auto id : {1U, 2U}) {
        monitor_.begin_request(id, "r", repeatability::resumable, now_);
        monitor_.on_sent(id, "r", now_);
        monitor_.on_progress(id, "r", now_);
    }
    auto replaced = std::vector<std::string>{};
    auto found_after = duration{0};
    for (auto passed = duration{0}; passed < seconds{20};
         passed += step_length) {
        now_ += step_length;
        monitor_.on_progress(2, "r", now_);
        for (const auto& action : monitor_.tick(now_)) {
            if (const auto* replace = std::get_if<replace_action>(&action)) {
                replaced.push_back(replace->peer_);
                found_after = passed + step_length;
            }
        }
    }
    EXPECT_EQ(replaced, std::vector<std::string>{"silent"});
    EXPECT_LE(found_after, seconds{2} + step_length);
}

TEST_F(liveness_test, reports_fate_of_each_request_on_silent_connection) {
    const auto cases = std::map<std::string, std::pair<repeatability, bool>>{
        {"send_elsewhere", {repeatability::not_repeatable, false}},
        {"repeat", {repeatability::repeatable, true}},
        {"resume", {repeatability::resumable, true}},
        {"outcome_unknown", {repeatability::not_repeatable, true}}};
    for (const auto& [fate, request] : cases) {
        monitor_.open(1, connection_kind::runner, "x", now_);
        monitor_.begin_request(1, "r", request.first, now_);
        if (request.second) {
            monitor_.on_sent(1, "r", now_);
        }
        EXPECT_LE(wait_for_action(), seconds{10});
        EXPECT_EQ(first_request_fate(), fate);
    }
}

TEST_F(liveness_test, replaces_idle_connection_without_heartbeat_answer) {
    monitor_.open(1, connection_kind::peer, "peer", now_);
    EXPECT_EQ(wait_for_action(), seconds{2});
    EXPECT_TRUE(std::holds_alternative<heartbeat_action>(actions_.front()));
    monitor_.on_byte(1, now_);
    EXPECT_EQ(wait_for_action(), seconds{2});
    EXPECT_EQ(wait_for_action(), milliseconds{500});
    EXPECT_TRUE(std::holds_alternative<replace_action>(actions_.front()));
    EXPECT_EQ(monitor_.size(), 0U);
}

TEST_F(liveness_test, own_pause_and_back_pressure_are_not_peer_silence) {
    monitor_.open(1, connection_kind::runner, "x", now_);
    monitor_.begin_request(1, "r", repeatability::resumable, now_);
    monitor_.on_sent(1, "r", now_);
    monitor_.on_progress(1, "r", now_);
    static_cast<void>(monitor_.tick(now_));
    now_ += seconds{30};
    EXPECT_TRUE(monitor_.tick(now_).empty());
    monitor_.on_back_pressure(1, "r", true, now_);
    EXPECT_EQ(wait_for_action(), duration::max());
    monitor_.on_back_pressure(1, "r", false, now_);
    EXPECT_EQ(wait_for_action(), seconds{2});
}

// Guards against a stalled request that is never detected: a daemon reports its
// back-pressure on every check, and an unchanged report must not count as
// activity.
TEST_F(liveness_test, repeated_back_pressure_report_does_not_extend_deadline) {
    monitor_.open(1, connection_kind::runner, "x", now_);
    monitor_.begin_request(1, "r", repeatability::resumable, now_);
    monitor_.on_sent(1, "r", now_);
    monitor_.on_progress(1, "r", now_);
    const auto started = now_;
    auto silent = false;
    while (!silent && now_ - started < seconds{10}) {
        now_ += milliseconds{100};
        monitor_.on_back_pressure(1, "r", false, now_);
        silent = !monitor_.tick(now_).empty();
    }
    EXPECT_TRUE(silent);
    EXPECT_LE(now_ - started, milliseconds{2200});
}

// Measures the time from the last byte of a stream to the replacement of its
// connection, with the last byte at random times.
TEST(liveness_figures, detection_times) {
    auto random = seeded_random{5};
    auto times = std::vector<double>{};
    constexpr auto runs = 1000;
    for (auto run = 0; run < runs; ++run) {
        auto monitor = connection_monitor{liveness_settings{}};
        auto now = time_point{seconds{1}};
        monitor.open(1, connection_kind::runner, "x", now);
        monitor.begin_request(1, "r", repeatability::resumable, now);
        monitor.on_sent(1, "r", now);
        const auto silent_from =
            now + milliseconds{static_cast<std::int64_t>(random.below(3000))};
        while (true) {
            now += step_length;
            if (now <= silent_from) {
                monitor.on_progress(1, "r", now);
            }
            if (!monitor.tick(now).empty()) {
                break;
            }
        }
        times.push_back(
            std::chrono::duration<double>(now - silent_from).count());
    }
    std::sort(times.begin(), times.end());
    std::cout << "detection time of a silent stream in s: median "
              << times[runs / 2] << ", 99th percentile "
              << times[runs * 99 / 100] << ", maximum " << times.back() << "\n";
    EXPECT_LE(times[runs / 2], 2.1);
}

} // namespace
} // namespace basilstream::coordination
