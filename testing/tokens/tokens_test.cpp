#include "testing/tokens/tokens.hpp"

#include <gtest/gtest.h>

namespace basilstream::testing {
namespace {

TEST(tokens, depend_on_every_part_of_the_key_and_on_the_position) {
    const auto base = token_stream{{"o/m", "a", "v1", "p"}};
    EXPECT_EQ(base.at(3), (token_stream{{"o/m", "a", "v1", "p"}}.at(3)));
    EXPECT_NE(base.at(3), base.at(4));
    EXPECT_NE(base.at(3), (token_stream{{"o/n", "a", "v1", "p"}}.at(3)));
    EXPECT_NE(base.at(3), (token_stream{{"o/m", "", "v1", "p"}}.at(3)));
    EXPECT_NE(base.at(3), (token_stream{{"o/m", "a", "v2", "p"}}.at(3)));
    EXPECT_NE(base.at(3), (token_stream{{"o/m", "a", "v1", "q"}}.at(3)));
    EXPECT_NE(base.at(3), (token_stream{{"o/ma", "", "v1", "p"}}.at(3)));
}

TEST(tokens, count_is_bounded_and_names_the_reason) {
    for (auto number = 0; number < 200; ++number) {
        const auto text =
            token_stream{{"o/m", "", "v1", std::to_string(number)}};
        EXPECT_GE(text.count(1000), token_stream::shortest_);
        EXPECT_LE(text.count(1000), token_stream::longest_);
        EXPECT_EQ(text.count(5), 5U);
        EXPECT_EQ(text.finish(5), "length");
        EXPECT_EQ(text.finish(1000), "stop");
    }
}

} // namespace
} // namespace basilstream::testing
