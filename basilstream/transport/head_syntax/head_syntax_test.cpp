#include "basilstream/transport/head_syntax/head_syntax.hpp"

#include <gtest/gtest.h>

#include "basilstream/transport/head_syntax/head_syntax_samples.hpp"

namespace basilstream::transport {
namespace {

enum class verdict { accepted, rejected, incomplete };

// Feeds the lines of a sample until its own head has ended.
auto check(std::string_view bytes) -> verdict {
    auto checker = answer_head_checker{};
    while (!checker.complete()) {
        const auto end = bytes.find("\r\n");
        if (end == std::string_view::npos) {
            return verdict::incomplete;
        }
        if (!checker.accept(bytes.substr(0, end + 2))) {
            return verdict::rejected;
        }
        bytes.remove_prefix(end + 2);
    }
    return verdict::accepted;
}

// Each reader of answers is tested with the same samples, on the parser that it
// uses; here the rules are tested without one.
TEST(answer_head_checker, head_of_no_answer_is_accepted) {
    for (const auto& sample : heads_of_no_answer()) {
        EXPECT_EQ(check(sample.bytes_), verdict::rejected) << sample;
    }
}

TEST(answer_head_checker, unusual_head_is_rejected) {
    for (const auto& sample : sound_heads()) {
        EXPECT_EQ(check(sample.bytes_), verdict::accepted) << sample;
    }
}

TEST(answer_head_checker, every_byte_that_is_no_letter_of_a_name_is_rejected) {
    const auto letters =
        std::string_view{"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"};
    for (auto code = 0; code < 256; ++code) {
        const auto letter = static_cast<char>(code);
        // A colon ends the name.
        const auto valid =
            letters.find(letter) != std::string_view::npos || letter == ':';
        EXPECT_EQ(is_field_line("X" + std::string{letter} + "A: b"), valid)
            << code;
    }
}

TEST(answer_head_checker, line_of_a_trailer_is_no_field) {
    auto checker = answer_head_checker{};
    ASSERT_TRUE(checker.accept("HTTP/1.1 200 OK\r\n"));
    ASSERT_TRUE(checker.accept("Transfer-Encoding: chunked\r\n"));
    EXPECT_TRUE(checker.reads_own_fields());
    ASSERT_TRUE(checker.accept("\r\n"));
    EXPECT_FALSE(checker.reads_own_fields());
    EXPECT_TRUE(checker.accept("Content-Length: 9\r\n"));
    EXPECT_FALSE(checker.accept("X A: b\r\n"));
}

} // namespace
} // namespace basilstream::transport
