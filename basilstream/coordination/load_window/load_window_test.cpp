#include "basilstream/coordination/load_window/load_window.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

constexpr auto capacity = std::size_t{10};

class load_window_fixture : public ::testing::Test {
protected:
    // Two runners have held a model since long before the window.
    load_window_fixture() {
        window_.on_models_announced("r1", {"old"}, at(0));
        window_.on_models_announced("r2", {"old"}, at(0));
    }
    static auto at(int offset_ms) -> time_point {
        return time_point{milliseconds{offset_ms}};
    }
    auto on_takeover(int latest_order_at) -> void {
        window_.on_takeover(capacity, at(latest_order_at), {"r1", "r2"});
    }

    load_window window_{seconds{5}};
};

TEST_F(load_window_fixture, loads_expire_after_window) {
    window_.add_load(at(100));
    window_.add_load(at(2000));
    EXPECT_EQ(window_.count_loads(at(5100)), 2U);
    EXPECT_EQ(window_.count_loads(at(5101)), 1U);
    EXPECT_EQ(window_.count_loads(at(7001)), 0U);
}

// The owner was partitioned at 20 s and may have ordered loads until 22 s.
TEST_F(load_window_fixture,
       takeover_presumes_full_window_until_all_runners_report) {
    on_takeover(22'000);
    EXPECT_EQ(window_.count_loads(at(25'000)), capacity);
    window_.on_report("r1", {"old"}, false, at(25'010));
    EXPECT_EQ(window_.count_loads(at(25'010)), capacity);
    window_.on_report("r2", {"old"}, false, at(25'020));
    EXPECT_EQ(window_.count_loads(at(25'020)), 0U);
}

TEST_F(load_window_fixture, presumed_loads_expire_after_window) {
    on_takeover(22'000);
    EXPECT_EQ(window_.count_loads(at(27'000)), capacity);
    EXPECT_EQ(window_.count_loads(at(27'001)), 0U);
}

TEST_F(load_window_fixture, repeated_notices_count_as_one_load) {
    window_.on_load_notice("r1", "new", at(21'000));
    window_.on_load_notice("r1", "new", at(21'100));
    on_takeover(22'000);
    window_.on_report("r1", {"old"}, true, at(25'000));
    window_.on_report("r2", {"old"}, false, at(25'000));
    EXPECT_EQ(window_.count_loads(at(25'000)), 1U);
    EXPECT_EQ(window_.count_loads(at(26'001)), 0U);
}

// The owner ordered these loads after it was partitioned from this daemon.
TEST_F(load_window_fixture, counts_loads_seen_only_in_reports) {
    on_takeover(22'000);
    window_.on_report("r1", {"old", "new"}, false, at(25'000));
    window_.on_report("r2", {"old"}, true, at(25'000));
    EXPECT_EQ(window_.count_loads(at(25'000)), 2U);
    EXPECT_EQ(window_.count_loads(at(27'001)), 0U);
}

// A model that has already been announced may have been ordered within the
// window.
TEST_F(load_window_fixture, counts_models_first_announced_within_window) {
    window_.on_models_announced("r1", {"old", "new"}, at(24'000));
    on_takeover(22'000);
    window_.on_report("r1", {"old", "new"}, false, at(25'000));
    window_.on_report("r2", {"old"}, false, at(25'000));
    EXPECT_EQ(window_.count_loads(at(25'000)), 1U);
}

TEST_F(load_window_fixture, counts_model_reloaded_after_unload) {
    window_.on_models_announced("r1", {}, at(10'000));
    on_takeover(22'000);
    window_.on_report("r1", {"old"}, false, at(25'000));
    window_.on_report("r2", {"old"}, false, at(25'000));
    EXPECT_EQ(window_.count_loads(at(25'000)), 1U);
}

// A daemon that has just started cannot tell whether a model was there before
// the window.
TEST_F(load_window_fixture, counts_recent_models_after_daemon_start) {
    auto restarted_window = load_window{seconds{5}};
    restarted_window.on_models_announced("r1", {"old"}, at(24'000));
    restarted_window.on_takeover(capacity, at(22'000), {"r1"});
    restarted_window.on_report("r1", {"old"}, false, at(25'000));
    EXPECT_EQ(restarted_window.count_loads(at(25'000)), 1U);
}

// A removed runner may have started a load that it never reported.
TEST_F(load_window_fixture, presumes_full_window_when_runner_is_removed) {
    on_takeover(22'000);
    window_.on_report("r1", {"old"}, false, at(25'000));
    window_.remove_runner("r2");
    window_.on_report("r1", {"old"}, false, at(25'100));
    EXPECT_EQ(window_.count_loads(at(25'100)), capacity);
}

TEST_F(load_window_fixture, begin_without_predecessor_clears_presumed_loads) {
    on_takeover(22'000);
    window_.begin_without_predecessor();
    EXPECT_EQ(window_.count_loads(at(22'001)), 0U);
}

} // namespace
} // namespace basilstream::coordination
