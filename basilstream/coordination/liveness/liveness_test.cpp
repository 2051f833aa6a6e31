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
    // Ticks until an action appears; returns the time that it took.
    auto wait_for_action() -> duration {
        const auto begin = now_;
        while (now_ - begin < seconds{60}) {
            now_ += step_length;
            actions_ = monitor_.tick(now_);
            if (!actions_.empty()) {
                return now_ - begin;
            }
        }
        return duration::max();
    }
    auto fate_of_first() -> std::string {
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

TEST_F(liveness_test, replaces_a_silent_stream_while_another_one_works) {
    monitor_.open(1, connection_kind::runner, "silent", now_);
    monitor_.open(2, connection_kind::runner, "working", now_);
    for (const auto id : {1U, 2U}) {
        monitor_.begin(id, "r", repeatability::resumable, now_);
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

TEST_F(liveness_test, decides_what_happens_to_each_request) {
    const auto cases = std::map<std::string, std::pair<repeatability, bool>>{
        {"send_elsewhere", {repeatability::once, false}},
        {"repeat", {repeatability::repeatable, true}},
        {"resume", {repeatability::resumable, true}},
        {"outcome_unknown", {repeatability::once, true}}};
    for (const auto& [fate, request] : cases) {
        monitor_.open(1, connection_kind::runner, "x", now_);
        monitor_.begin(1, "r", request.first, now_);
        if (request.second) {
            monitor_.on_sent(1, "r", now_);
        }
        EXPECT_LE(wait_for_action(), seconds{10});
        EXPECT_EQ(fate_of_first(), fate);
    }
}

TEST_F(liveness_test, finds_a_silent_idle_connection_by_heartbeat) {
    monitor_.open(1, connection_kind::peer, "peer", now_);
    EXPECT_EQ(wait_for_action(), seconds{2});
    EXPECT_TRUE(std::holds_alternative<heartbeat_action>(actions_.front()));
    monitor_.on_byte(1, now_);
    EXPECT_EQ(wait_for_action(), seconds{2});
    EXPECT_EQ(wait_for_action(), milliseconds{500});
    EXPECT_TRUE(std::holds_alternative<replace_action>(actions_.front()));
    EXPECT_EQ(monitor_.size(), 0U);
}

TEST_F(liveness_test, blames_nobody_for_its_own_pause_or_back_pressure) {
    monitor_.open(1, connection_kind::runner, "x", now_);
    monitor_.begin(1, "r", repeatability::resumable, now_);
    monitor_.on_sent(1, "r", now_);
    monitor_.on_progress(1, "r", now_);
    static_cast<void>(monitor_.tick(now_));
    now_ += seconds{30};
    EXPECT_TRUE(monitor_.tick(now_).empty());
    monitor_.on_held_back(1, "r", true, now_);
    EXPECT_EQ(wait_for_action(), duration::max());
    monitor_.on_held_back(1, "r", false, now_);
    EXPECT_EQ(wait_for_action(), seconds{2});
}

// A daemon that tells the state of its back-pressure at every look must not
// put the deadline off with it.
TEST_F(liveness_test, repeated_word_of_no_back_pressure_is_no_progress) {
    monitor_.open(1, connection_kind::runner, "x", now_);
    monitor_.begin(1, "r", repeatability::resumable, now_);
    monitor_.on_sent(1, "r", now_);
    monitor_.on_progress(1, "r", now_);
    const auto began = now_;
    auto silent = false;
    while (!silent && now_ - began < seconds{10}) {
        now_ += milliseconds{100};
        monitor_.on_held_back(1, "r", false, now_);
        silent = !monitor_.tick(now_).empty();
    }
    EXPECT_TRUE(silent);
    EXPECT_LE(now_ - began, milliseconds{2200});
}

// Time from the silence of a stream to its replacement, over random phases.
TEST(liveness_figures, detection_times) {
    auto random = seeded_random{5};
    auto times = std::vector<double>{};
    constexpr auto runs = 1000;
    for (auto run = 0; run < runs; ++run) {
        auto monitor = connection_monitor{liveness_settings{}};
        auto now = time_point{seconds{1}};
        monitor.open(1, connection_kind::runner, "x", now);
        monitor.begin(1, "r", repeatability::resumable, now);
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
    std::cout << "silent stream found after s: median " << times[runs / 2]
              << ", 99 in 100 " << times[runs * 99 / 100] << ", most "
              << times.back() << "\n";
    EXPECT_LE(times[runs / 2], 2.1);
}

} // namespace
} // namespace basilstream::coordination
