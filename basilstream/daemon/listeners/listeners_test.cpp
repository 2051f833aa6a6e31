#include "basilstream/daemon/listeners/listeners.hpp"

#include <optional>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

constexpr auto address = "127.0.0.1:1";

// An address that others hold until it is freed.
class listeners_test : public testing::Test {
protected:
    auto open() -> result<std::string> {
        ++attempts_;
        if (refusal_) {
            return tl::unexpected(
                error{*refusal_, step::settings, address, "cannot listen"});
        }
        return std::string{address};
    }
    auto add() -> result<void> {
        return listeners_.add(listener_kind::directory,
                              [this] { return open(); });
    }
    auto pass(milliseconds time) -> void {
        for (auto passed = milliseconds{0}; passed < time;
             passed += milliseconds{50}) {
            clock_.advance(milliseconds{50});
            listeners_.tick();
        }
    }

    manual_clock clock_;
    transport::logger log_{{transport::log_level::off}, "d0"};
    transport::metrics_registry metrics_;
    listeners listeners_{{clock_, log_, metrics_}};
    std::optional<error_code> refusal_;
    int attempts_ = 0;
};

TEST_F(listeners_test, free_address_is_opened_at_once) {
    EXPECT_TRUE(add());
    EXPECT_TRUE(listeners_.is_open(listener_kind::directory));
    pass(seconds{5});
    EXPECT_EQ(attempts_, 1);
}

// The process ended ten seconds after its start.
TEST_F(listeners_test, address_that_is_taken_for_a_minute_is_given_up) {
    refusal_ = error_code::unavailable;
    EXPECT_TRUE(add());
    pass(seconds{60});
    EXPECT_FALSE(listeners_.is_open(listener_kind::directory));
    refusal_.reset();
    pass(seconds{1});
    EXPECT_TRUE(listeners_.is_open(listener_kind::directory));
}

// A predecessor leaves within moments: its successor must not wait a second.
TEST_F(listeners_test, address_that_a_predecessor_leaves_is_taken_late) {
    refusal_ = error_code::unavailable;
    EXPECT_TRUE(add());
    pass(seconds{8});
    refusal_.reset();
    pass(milliseconds{100});
    EXPECT_TRUE(listeners_.is_open(listener_kind::directory));
}

TEST_F(listeners_test, attempts_take_the_processor_while_an_address_is_taken) {
    refusal_ = error_code::unavailable;
    EXPECT_TRUE(add());
    pass(seconds{10});
    attempts_ = 0;
    pass(seconds{60});
    EXPECT_LE(attempts_, 60);
}

TEST_F(listeners_test, text_that_is_no_address_is_tried_for_good) {
    refusal_ = error_code::invalid_argument;
    EXPECT_FALSE(add());
}

TEST_F(listeners_test, status_does_not_say_why_an_address_is_missing) {
    refusal_ = error_code::unavailable;
    EXPECT_TRUE(add());
    pass(seconds{2});
    const auto status = listeners_.status();
    ASSERT_EQ(status.size(), 1U);
    EXPECT_EQ(status[0].address_, "");
    EXPECT_EQ(status[0].detail_, "cannot listen");
    EXPECT_EQ(status[0].attempts_, attempts_);
    EXPECT_EQ(status[0].waited_, duration{seconds{2}});
}

} // namespace
} // namespace basilstream::daemon
