#include "basilstream/coordination/byte_budget/byte_budget.hpp"

#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

TEST(byte_budget, grants_up_to_its_limit) {
    auto budget = byte_budget{100};
    auto first = byte_lease{budget};
    auto second = byte_lease{budget};
    EXPECT_TRUE(first.resize(60));
    EXPECT_FALSE(second.resize(41));
    EXPECT_TRUE(second.resize(40));
    EXPECT_FALSE(first.resize(61));
    EXPECT_EQ(budget.used(), 100U);
    EXPECT_TRUE(first.resize(10));
    EXPECT_TRUE(second.resize(90));
    EXPECT_FALSE(second.resize(~std::size_t{0}));
}

TEST(byte_budget, takes_back_what_a_lease_held) {
    auto budget = byte_budget{100};
    {
        auto lease = byte_lease{budget};
        EXPECT_TRUE(lease.resize(70));
    }
    EXPECT_EQ(budget.used(), 0U);
}

// A thousand answers grow without end, 16 KB at a time.
TEST(byte_budget, answers_below_the_bound_of_one_exceed_the_limit_together) {
    constexpr auto limit = std::size_t{32} << 20U;
    constexpr auto step = std::size_t{16} << 10U;
    auto budget = byte_budget{limit};
    auto leases = std::vector<std::unique_ptr<byte_lease>>{};
    for (auto number = 0; number < 1000; ++number) {
        leases.push_back(std::make_unique<byte_lease>(budget));
    }
    auto ended = 0;
    for (auto round = std::size_t{1}; round <= 16; ++round) {
        for (auto& lease : leases) {
            if (lease && !lease->resize(round * step)) {
                lease.reset();
                ++ended;
            }
            EXPECT_LE(budget.used(), limit);
        }
    }
    EXPECT_GT(ended, 0);
    EXPECT_GT(budget.used(), limit / 2);
}

// Bytes that were in memory and beyond the limit were not counted.
TEST(byte_budget, bytes_beyond_the_limit_are_not_counted) {
    auto budget = byte_budget{100};
    auto other = byte_lease{budget};
    {
        auto lease = byte_lease{budget};
        lease.hold(150);
        EXPECT_EQ(budget.used(), 150U);
        EXPECT_FALSE(other.resize(1));
        lease.hold(40);
        EXPECT_TRUE(other.resize(60));
    }
    EXPECT_EQ(budget.used(), 60U);
}

} // namespace
} // namespace basilstream::coordination
