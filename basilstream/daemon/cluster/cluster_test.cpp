#include "basilstream/daemon/cluster/cluster.hpp"

#include "basilstream/daemon/cluster/cluster_test_world.hpp"

namespace basilstream::daemon {
namespace {

TEST_F(cluster_world, names_all_daemons_that_live) {
    run(seconds{8});
    for (auto asked = std::size_t{0}; asked < nodes_.size(); ++asked) {
        for (auto named = std::size_t{0}; named < nodes_.size(); ++named) {
            EXPECT_TRUE(names(asked, "d" + std::to_string(named)))
                << asked << " " << named;
        }
    }
}

// A machine loses power: no directory may go on naming it, whichever member
// the probes happen to pick.
TEST_F(cluster_world, names_no_daemon_that_was_silent_for_two_seconds) {
    run(seconds{8});
    for (auto lost = std::size_t{1}; lost < nodes_.size(); ++lost) {
        off_ = lost;
        run(milliseconds{2900});
        for (auto asked = std::size_t{0}; asked < nodes_.size(); ++asked) {
            if (asked != lost) {
                EXPECT_FALSE(names(asked, "d" + std::to_string(lost)));
            }
        }
        off_.reset();
        run(seconds{10});
    }
}

TEST_F(cluster_world, a_daemon_that_leaves_is_named_no_more) {
    run(seconds{8});
    nodes_[2]->leave();
    deliver();
    run(seconds{2});
    EXPECT_FALSE(names(0, "d2"));
    EXPECT_FALSE(names(2, "d2"));
}

} // namespace
} // namespace basilstream::daemon
