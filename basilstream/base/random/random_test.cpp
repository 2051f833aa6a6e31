#include "basilstream/base/random/random.hpp"

#include <gtest/gtest.h>

namespace basilstream {
namespace {

TEST(random, equal_seeds_give_equal_sequences) {
    auto first = seeded_random{7};
    auto second = seeded_random{7};
    for (auto draw = 0; draw < 100; ++draw) {
        ASSERT_EQ(first.next(), second.next());
    }
}

TEST(random, below_stays_in_range_and_reaches_every_value) {
    auto source = seeded_random{1};
    auto seen = 0U;
    for (auto draw = 0; draw < 1000; ++draw) {
        const auto value = source.below(6);
        ASSERT_LT(value, 6U);
        seen |= 1U << value;
    }
    EXPECT_EQ(seen, 0x3fU);
}

TEST(random, ids_have_32_digits_and_differ) {
    auto source = seeded_random{1};
    const auto first = make_id(source);
    EXPECT_EQ(first.size(), 32U);
    EXPECT_NE(first, make_id(source));
}

} // namespace
} // namespace basilstream
