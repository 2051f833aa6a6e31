#include "basilstream/coordination/load_window/load_window.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

constexpr auto capacity = std::size_t{10};

class loads : public ::testing::Test {
protected:
    // Two runners that have held a model for long.
    loads() {
        window_.on_announced("r1", {"old"}, at(0));
        window_.on_announced("r2", {"old"}, at(0));
    }
    static auto at(int milli) -> time_point {
        return time_point{milliseconds{milli}};
    }
    auto take_over(int earlier) -> void {
        window_.take_over(capacity, at(earlier), {"r1", "r2"});
    }

    load_window window_{seconds{5}};
};

TEST_F(loads, leave_the_window) {
    window_.add(at(100));
    window_.add(at(2000));
    EXPECT_EQ(window_.used(at(5100)), 2U);
    EXPECT_EQ(window_.used(at(5101)), 1U);
    EXPECT_EQ(window_.used(at(7001)), 0U);
}

// The owner was cut off at 20 s and may have ordered until 22 s.
TEST_F(loads, of_an_owner_before_use_up_the_window_until_all_have_reported) {
    take_over(22'000);
    EXPECT_EQ(window_.used(at(25'000)), capacity);
    window_.on_report("r1", {"old"}, false, at(25'010));
    EXPECT_EQ(window_.used(at(25'010)), capacity);
    window_.on_report("r2", {"old"}, false, at(25'020));
    EXPECT_EQ(window_.used(at(25'020)), 0U);
}

TEST_F(loads, of_an_owner_before_are_forgotten_after_the_window) {
    take_over(22'000);
    EXPECT_EQ(window_.used(at(27'000)), capacity);
    EXPECT_EQ(window_.used(at(27'001)), 0U);
}

TEST_F(loads, that_were_heard_of_count_once) {
    window_.on_heard("r1", "new", at(21'000));
    window_.on_heard("r1", "new", at(21'100));
    take_over(22'000);
    window_.on_report("r1", {"old"}, true, at(25'000));
    window_.on_report("r2", {"old"}, false, at(25'000));
    EXPECT_EQ(window_.used(at(25'000)), 1U);
    EXPECT_EQ(window_.used(at(26'001)), 0U);
}

// Begun by the owner after it was cut off from this daemon.
TEST_F(loads, that_only_reports_show_count) {
    take_over(22'000);
    window_.on_report("r1", {"old", "new"}, false, at(25'000));
    window_.on_report("r2", {"old"}, true, at(25'000));
    EXPECT_EQ(window_.used(at(25'000)), 2U);
    EXPECT_EQ(window_.used(at(27'001)), 0U);
}

// Its load may have begun within the window, though it is known by now.
TEST_F(loads, of_models_announced_within_the_window_count) {
    window_.on_announced("r1", {"old", "new"}, at(24'000));
    take_over(22'000);
    window_.on_report("r1", {"old", "new"}, false, at(25'000));
    window_.on_report("r2", {"old"}, false, at(25'000));
    EXPECT_EQ(window_.used(at(25'000)), 1U);
}

TEST_F(loads, of_a_model_that_went_and_came_again_count) {
    window_.on_announced("r1", {}, at(10'000));
    take_over(22'000);
    window_.on_report("r1", {"old"}, false, at(25'000));
    window_.on_report("r2", {"old"}, false, at(25'000));
    EXPECT_EQ(window_.used(at(25'000)), 1U);
}

// A daemon that has just started knows nothing of the time before.
TEST_F(loads, all_count_for_a_daemon_without_a_past) {
    auto fresh = load_window{seconds{5}};
    fresh.on_announced("r1", {"old"}, at(24'000));
    fresh.take_over(capacity, at(22'000), {"r1"});
    fresh.on_report("r1", {"old"}, false, at(25'000));
    EXPECT_EQ(fresh.used(at(25'000)), 1U);
}

// It may have begun a load before it went.
TEST_F(loads, of_a_runner_that_is_gone_are_not_known) {
    take_over(22'000);
    window_.on_report("r1", {"old"}, false, at(25'000));
    window_.remove_runner("r2");
    window_.on_report("r1", {"old"}, false, at(25'100));
    EXPECT_EQ(window_.used(at(25'100)), capacity);
}

TEST_F(loads, of_nobody_before_are_none) {
    take_over(22'000);
    window_.begin();
    EXPECT_EQ(window_.used(at(22'001)), 0U);
}

} // namespace
} // namespace basilstream::coordination
