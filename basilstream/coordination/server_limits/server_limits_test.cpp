#include "basilstream/coordination/server_limits/server_limits.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

constexpr auto start = time_point{seconds{100}};

TEST(named_limits, last_named_limit_counts) {
    auto limits = named_limits{};
    limits.set_server("s", 1000);
    EXPECT_TRUE(limits.on_named("s", 1.1, start));
    EXPECT_FALSE(limits.on_named("s", 1.1, start + seconds{1}));
    EXPECT_TRUE(limits.on_named("s", 0.4, start + seconds{2}));
    EXPECT_EQ(limits.limit_of("s"), 0.4);
    EXPECT_EQ(limits.limit_of("other"), std::nullopt);
}

// An answer that was on its way when the limit was named ended the limit.
TEST(named_limits, earlier_answer_does_not_end_a_limit) {
    auto limits = named_limits{};
    limits.on_named("s", 1.1, start);
    EXPECT_FALSE(
        limits.on_not_named("s", start - seconds{1}, start + milliseconds{5}));
    EXPECT_EQ(limits.limit_of("s"), 1.1);
    EXPECT_TRUE(limits.on_not_named("s", start + milliseconds{5},
                                    start + milliseconds{9}));
    EXPECT_EQ(limits.limit_of("s"), std::nullopt);
    EXPECT_EQ(limits.size(), 0U);
}

TEST(named_limits, limit_ends_with_its_process) {
    auto limits = named_limits{};
    limits.set_server("s", 1000);
    limits.on_named("s", 1.1, start);
    limits.set_server("s", 1000);
    EXPECT_EQ(limits.limit_of("s"), 1.1);
    limits.set_server("s", 2000);
    EXPECT_EQ(limits.limit_of("s"), std::nullopt);
    EXPECT_FALSE(limits.merge({"s", 1000, 1.1, start + seconds{1}}));
    EXPECT_TRUE(limits.merge({"s", 2000, 3.0, start + seconds{1}}));
}

TEST(named_limits, later_statement_of_any_daemon_counts) {
    auto limits = named_limits{};
    limits.on_named("s", 1.1, start);
    EXPECT_FALSE(limits.merge({"s", 0, 5.0, start - seconds{1}}));
    EXPECT_TRUE(limits.merge({"s", 0, std::nullopt, start + seconds{1}}));
    EXPECT_FALSE(limits.merge({"s", 0, 1.1, start}));
    EXPECT_EQ(limits.limit_of("s"), std::nullopt);
}

// Limits of servers that had left were kept for good when daemons that knew
// them sent them on.
TEST(named_limits, limits_of_unknown_servers_are_kept) {
    auto limits = named_limits{};
    limits.set_server("known", 1000);
    limits.on_named("known", 1.1, start);
    limits.merge({"left", 1000, 1.1, start});
    EXPECT_EQ(limits.limit_of("left"), 1.1);
    limits.merge({"other", 1000, 1.1, start + seconds{61}});
    EXPECT_EQ(limits.limit_of("left"), std::nullopt);
    EXPECT_EQ(limits.limit_of("known"), 1.1);
}

TEST(named_limits, only_changes_are_shared) {
    auto limits = named_limits{};
    limits.on_named("s", 1.1, start);
    limits.on_named("s", 1.1, start + seconds{9});
    EXPECT_EQ(limits.changed_since(start).size(), 1U);
    EXPECT_TRUE(limits.changed_since(start + seconds{1}).empty());
}

} // namespace
} // namespace basilstream::coordination
