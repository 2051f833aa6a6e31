#include "basilstream/coordination/server_pauses/server_pauses.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

constexpr auto start = time_point{seconds{100}};

TEST(server_pauses, ends_after_the_time_that_the_server_named) {
    auto pauses = server_pauses{};
    pauses.set_server("a", 1);
    EXPECT_EQ(pauses.remaining("a", start), duration{0});
    EXPECT_TRUE(pauses.on_requested("a", seconds{3}, start));
    EXPECT_EQ(pauses.remaining("a", start + seconds{1}), seconds{2});
    EXPECT_EQ(pauses.remaining("b", start), duration{0});
    EXPECT_EQ(pauses.count(start), 1U);
    EXPECT_EQ(pauses.remaining("a", start + seconds{3}), duration{0});
    EXPECT_EQ(pauses.count(start + seconds{3}), 0U);
}

TEST(server_pauses, each_request_for_a_pause_holds_by_itself) {
    auto pauses = server_pauses{};
    EXPECT_TRUE(pauses.on_requested("a", seconds{3}, start));
    EXPECT_FALSE(pauses.on_requested("a", seconds{1}, start + seconds{1}));
    EXPECT_FALSE(pauses.on_requested("a", seconds{0}, start + seconds{1}));
    EXPECT_EQ(pauses.end_of_pause("a"), start + seconds{3});
    EXPECT_TRUE(pauses.on_requested("a", seconds{5}, start + seconds{1}));
    EXPECT_EQ(pauses.end_of_pause("a"), start + seconds{6});
}

TEST(server_pauses, pause_of_a_former_process_holds_for_the_next_one) {
    auto pauses = server_pauses{};
    pauses.set_server("a", 1);
    (void)pauses.on_requested("a", seconds{3}, start);
    pauses.set_server("a", 1);
    EXPECT_EQ(pauses.remaining("a", start), seconds{3});
    pauses.set_server("a", 2);
    EXPECT_EQ(pauses.remaining("a", start), duration{0});
}

// The announcement of a server lapsed while the store was away.
TEST(server_pauses, pause_ends_when_the_announcement_lapses) {
    auto pauses = server_pauses{};
    pauses.set_server("a", 1);
    (void)pauses.on_requested("a", seconds{3}, start);
    pauses.remove_server("a", start + seconds{1});
    pauses.set_server("a", 1);
    EXPECT_EQ(pauses.remaining("a", start + seconds{1}), seconds{2});
    pauses.remove_server("a", start + seconds{4});
    EXPECT_EQ(pauses.end_of_pause("a"), time_point::min());
}

TEST(server_pauses, a_start_time_that_is_not_known_changes_nothing) {
    auto pauses = server_pauses{};
    pauses.set_server("a", 1);
    (void)pauses.on_requested("a", seconds{3}, start);
    pauses.set_server("a", 0);
    pauses.set_server("a", 1);
    EXPECT_EQ(pauses.remaining("a", start), seconds{3});
}

} // namespace
} // namespace basilstream::coordination
