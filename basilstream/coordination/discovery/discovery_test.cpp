#include "basilstream/coordination/discovery/discovery.hpp"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

auto two_zones() -> std::vector<endpoint> {
    return {{"a1", "a1", "a", true, 0}, {"a2", "a2", "a", true, 0},
            {"a3", "a3", "a", true, 0}, {"b1", "b1", "b", true, 0},
            {"b2", "b2", "b", true, 0}, {"c1", "c1", "c", true, 0}};
}

// Counts how often each address is the first of an answer.
auto first_addresses(endpoint_directory& directory, const std::string& zone)
    -> std::map<std::string, int> {
    auto counts = std::map<std::string, int>{};
    for (auto call = 0; call < 6000; ++call) {
        ++counts[directory.answer(zone)->addresses_.front()];
    }
    return counts;
}

TEST(endpoint_directory, distributes_callers_evenly_within_their_zone) {
    auto random = seeded_random{1};
    auto directory = endpoint_directory{{}, random};
    directory.update(two_zones());
    auto counts = first_addresses(directory, "a");
    EXPECT_EQ(counts.size(), 3U);
    for (const auto& [address, count] : counts) {
        EXPECT_NEAR(count, 2000, 150) << address;
    }
    EXPECT_EQ(directory.answer("a")->addresses_.size(), 4U);
    EXPECT_EQ(first_addresses(directory, "elsewhere").size(), 6U);
}

TEST(endpoint_directory, orders_other_zones_by_distance) {
    auto random = seeded_random{1};
    auto directory = endpoint_directory{{}, random};
    directory.update(two_zones());
    directory.set_distances("client", {"c", "b"});
    EXPECT_EQ(first_addresses(directory, "client").size(), 1U);
    const auto answer = directory.answer("client");
    EXPECT_EQ(answer->addresses_[0], "c1");
    EXPECT_EQ(answer->addresses_[1].front(), 'b');
}

TEST(endpoint_directory, skips_non_serving_and_unloads_busy_daemons) {
    auto random = seeded_random{1};
    auto directory = endpoint_directory{{}, random};
    auto endpoints = two_zones();
    endpoints[0].serving_ = false;
    endpoints[1].load_ = 3;
    directory.update(endpoints);
    auto counts = first_addresses(directory, "a");
    EXPECT_EQ(counts.count("a1"), 0U);
    EXPECT_NEAR(counts["a3"], 4800, 200);
    endpoints[1].load_ = 300;
    endpoints[2].load_ = 300;
    directory.update(endpoints);
    EXPECT_GT(first_addresses(directory, "a")["b1"], 1500);
    for (auto& listed : endpoints) {
        listed.serving_ = false;
    }
    directory.update(endpoints);
    EXPECT_EQ(directory.answer("a").error().code_, error_code::not_ready);
}

class drain_test : public ::testing::Test {
protected:
    auto advance(duration length, const drain_load& load)
        -> std::vector<drain_action> {
        auto actions = std::vector<drain_action>{};
        const auto end = now_ + length;
        while (now_ < end) {
            now_ += milliseconds{100};
            for (const auto action : drain_.tick(load, now_)) {
                actions.push_back(action);
            }
        }
        return actions;
    }

    drain_controller drain_{drain_settings{}};
    time_point now_{seconds{1}};
};

TEST_F(drain_test, enters_each_phase_and_waits_for_requests_in_progress) {
    const auto busy = drain_load{3, true};
    EXPECT_TRUE(advance(seconds{5}, busy).empty());
    drain_.request_stop(now_);
    EXPECT_EQ(advance(seconds{6}, busy),
              std::vector<drain_action>{drain_action::withdraw});
    EXPECT_TRUE(drain_.accepting());
    EXPECT_EQ(advance(seconds{2}, busy),
              std::vector<drain_action>{drain_action::hand_over});
    EXPECT_TRUE(drain_.accepting());
    EXPECT_EQ(advance(seconds{1}, {3, false}),
              std::vector<drain_action>{drain_action::stop_accepting});
    EXPECT_FALSE(drain_.accepting());
    drain_.request_stop(now_);
    EXPECT_TRUE(advance(std::chrono::hours{1}, {1, false}).empty());
    EXPECT_EQ(drain_.stop_requests(), 2U);
    EXPECT_EQ(advance(seconds{1}, {0, false}),
              std::vector<drain_action>{drain_action::end});
    EXPECT_EQ(drain_.phase(), drain_phase::ended);
    EXPECT_TRUE(advance(seconds{60}, {0, false}).empty());
}

TEST_F(drain_test, hand_over_times_out_during_a_log_outage) {
    drain_.request_stop(now_);
    EXPECT_EQ(advance(seconds{30}, {1, true}).back(),
              drain_action::stop_accepting);
    EXPECT_EQ(advance(seconds{1}, {0, true}).back(), drain_action::end);
}

} // namespace
} // namespace basilstream::coordination
