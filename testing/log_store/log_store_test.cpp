#include "testing/log_store/log_store.hpp"

#include <gtest/gtest.h>

namespace basilstream::testing {
namespace {

TEST(log_store, appends_are_contiguous_and_read_back) {
    auto time = manual_clock{};
    auto log = log_store{{}, time};
    EXPECT_EQ(log.append("s", {"a", "b"}).first_offset_, 0U);
    EXPECT_EQ(log.append("s", {"c"}).first_offset_, 2U);
    const auto page = log.read("s", 1, 10);
    ASSERT_EQ(page.entries_.size(), 2U);
    EXPECT_EQ(page.entries_[1].offset_, 2U);
    EXPECT_EQ(page.entries_[1].payload_, "c");
    EXPECT_TRUE(log.read("s", 3, 10).entries_.empty());
    EXPECT_TRUE(log.read("other", 0, 10).entries_.empty());
}

TEST(log_store, refuses_above_the_rate_and_too_large) {
    auto time = manual_clock{};
    auto log = log_store{{.appends_per_second_ = 2}, time};
    EXPECT_EQ(log.append("s", {"a"}).status_, log_status::ok);
    EXPECT_EQ(log.append("s", {"a"}).status_, log_status::ok);
    EXPECT_EQ(log.append("s", {"a"}).status_, log_status::rate_limited);
    time.advance(milliseconds{500});
    EXPECT_EQ(log.append("s", {"a"}).status_, log_status::ok);
    EXPECT_EQ(log.append("s", {std::string(max_append_bytes + 1, 'x')}).status_,
              log_status::too_large);
    EXPECT_EQ(log.bounds("s").next_offset_, 3U);
}

TEST(log_store, expires_by_count_and_by_age) {
    auto time = manual_clock{};
    auto log = log_store{{.retained_records_ = 2}, time};
    log.append("s", {"a", "b", "c"});
    EXPECT_EQ(log.bounds("s").first_offset_, 1U);
    EXPECT_EQ(log.read("s", 0, 10).status_, log_status::out_of_range);
    log.set_settings({.retained_time_ = seconds{10}});
    time.advance(seconds{11});
    EXPECT_EQ(log.bounds("s").first_offset_, 3U);
    EXPECT_EQ(log.append("s", {"d"}).first_offset_, 3U);
}

} // namespace
} // namespace basilstream::testing
