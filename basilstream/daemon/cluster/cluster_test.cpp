#include "basilstream/daemon/cluster/cluster.hpp"

#include "basilstream/daemon/cluster/cluster_test_world.hpp"

namespace basilstream::daemon {
namespace {

TEST_F(cluster_world, endpoints_include_all_live_daemons) {
    run(seconds{8});
    for (auto observer_index = std::size_t{0}; observer_index < nodes_.size();
         ++observer_index) {
        for (auto named = std::size_t{0}; named < nodes_.size(); ++named) {
            EXPECT_TRUE(
                endpoints_include(observer_index, "d" + std::to_string(named)))
                << observer_index << " " << named;
        }
    }
}

// Guards against endpoint answers that still list a daemon whose machine lost
// power, regardless of which members the failure detector happens to probe.
TEST_F(cluster_world, endpoints_exclude_daemons_silent_for_two_seconds) {
    run(seconds{8});
    for (auto lost = std::size_t{1}; lost < nodes_.size(); ++lost) {
        off_ = lost;
        run(milliseconds{2900});
        for (auto observer_index = std::size_t{0};
             observer_index < nodes_.size(); ++observer_index) {
            if (observer_index != lost) {
                EXPECT_FALSE(endpoints_include(observer_index,
                                               "d" + std::to_string(lost)));
            }
        }
        off_.reset();
        run(seconds{10});
    }
}

TEST_F(cluster_world, endpoints_exclude_daemons_that_left) {
    run(seconds{8});
    nodes_[2]->leave();
    deliver();
    run(seconds{2});
    EXPECT_FALSE(endpoints_include(0, "d2"));
    EXPECT_FALSE(endpoints_include(2, "d2"));
}

} // namespace
} // namespace basilstream::daemon
