#include "basilstream/transport/logging/logging.hpp"

#include <gtest/gtest.h>

namespace basilstream::transport {
namespace {

TEST(line_budget, limits_the_lines_of_each_event_in_a_second) {
    auto budget = line_budget{2};
    auto left_out = std::uint64_t{0};
    EXPECT_TRUE(budget.allow("refused", 1, left_out));
    EXPECT_TRUE(budget.allow("refused", 1, left_out));
    EXPECT_FALSE(budget.allow("refused", 1, left_out));
    EXPECT_FALSE(budget.allow("refused", 1, left_out));
    EXPECT_TRUE(budget.allow("started", 1, left_out));
    EXPECT_EQ(left_out, 0U);
    EXPECT_TRUE(budget.allow("refused", 2, left_out));
    EXPECT_EQ(left_out, 2U);
}

TEST(line_budget, zero_means_no_limit) {
    auto budget = line_budget{0};
    auto left_out = std::uint64_t{0};
    for (auto line = 0; line < 100; ++line) {
        EXPECT_TRUE(budget.allow("refused", 1, left_out));
    }
}

} // namespace
} // namespace basilstream::transport
