#include "bench/load/load.hpp"

#include <gtest/gtest.h>

#include "bench/load/internal/endpoints.hpp"
#include "testing/answer_check/answer_check.hpp"

namespace basilstream::bench {
namespace {

using testing::answer_check;
using testing::answer_format;
using testing::token_stream;

const auto first = token_stream{{"o/m", "", "v1", "p"}};
const auto second = token_stream{{"o/m", "", "v2", "p"}};

auto piece(const std::string& text) -> std::string {
    return R"(data: {"choices":[{"index":0,"text":")" + text +
           "\",\"finish_reason\":null}]}\n\n";
}

auto finish(std::string_view reason) -> std::string {
    return R"(data: {"choices":[{"index":0,"text":"","finish_reason":")" +
           std::string{reason} + "\"}]}\n\ndata: [DONE]\n\n";
}

auto verdict(const std::string& body) -> std::string {
    auto check = answer_check{answer_format::caller, {first, second}, 4};
    // Byte by byte: events may be split anywhere.
    for (const auto letter : body) {
        check.take(std::string_view{&letter, 1});
    }
    return check.verdict();
}

TEST(answer_check, accepts_a_whole_answer_of_one_version) {
    EXPECT_EQ(verdict(piece(second.text(0, 1)) + piece(second.text(1, 4)) +
                      finish("length")),
              "ok");
}

TEST(answer_check, finds_every_kind_of_wrong_answer) {
    EXPECT_EQ(verdict(piece(first.at(0)) + piece(second.text(1, 4)) +
                      finish("length")),
              "wrong_token");
    EXPECT_EQ(verdict(piece(first.at(0)) + piece(first.at(0))), "wrong_token");
    EXPECT_EQ(verdict(piece(first.text(0, 3)) + finish("length")),
              "wrong_token");
    EXPECT_EQ(verdict(piece(first.text(0, 4)) + finish("stop")), "wrong_token");
    EXPECT_EQ(verdict(piece(first.text(0, 4))), "short_answer");
    EXPECT_EQ(verdict(piece(first.text(0, 2)) +
                      "data: {\"error\":{\"code\":\"timeout\"}}\n\n"),
              "timeout");
}

TEST(arrivals, follow_the_pattern_and_the_bounds) {
    auto random = seeded_random{3};
    const auto drawn = draw_arrivals(arrival_pattern::burst, 100, seconds{30},
                                     100'000, random);
    const auto inside =
        std::count_if(drawn.begin(), drawn.end(), [](duration at) {
            return at >= seconds{10} && at < seconds{20};
        });
    EXPECT_NEAR(static_cast<double>(inside), 10'000, 500);
    EXPECT_NEAR(static_cast<double>(drawn.size()), 12'000, 500);
    EXPECT_EQ(draw_arrivals(arrival_pattern::tender_deadline, 100, seconds{30},
                            7, random)
                  .size(),
              7U);
}

TEST(arrivals, no_pattern_exceeds_the_largest_factor) {
    for (const auto& [pattern, name] : arrival_pattern_names.rows_) {
        for (auto step = 0; step < 1000; ++step) {
            EXPECT_LE(rate_factor(pattern, step / 1000.0), max_rate_factor);
        }
    }
}

TEST(endpoints, avoid_failed_addresses_for_a_while) {
    auto time = manual_clock{};
    auto list = internal::endpoints{{"a", "b"}};
    list.failed("a", time.now());
    EXPECT_EQ(list.pick(time.now()), "b");
    EXPECT_EQ(list.pick(time.now()), "b");
    list.update({"a", "c"}, seconds{1}, time.now());
    EXPECT_FALSE(list.expired(time.now()));
    EXPECT_EQ(list.pick(time.now()), "c");
    time.advance(seconds{3});
    EXPECT_TRUE(list.expired(time.now()));
    EXPECT_NE(list.pick(time.now()), list.pick(time.now()));
}

} // namespace
} // namespace basilstream::bench
