#include "basilstream/daemon/quarantine_gossip/quarantine_gossip.hpp"

#include "basilstream/daemon/cluster/cluster_test_world.hpp"

namespace basilstream::daemon {
namespace {

using coordination::quarantine_verdict;

class quarantine_gossip_test : public cluster_world {
protected:
    quarantine_gossip_test() {
        for (const auto& node : nodes_) {
            quarantines_.push_back(std::make_unique<coordination::quarantine>(
                coordination::quarantine_settings{.isolate_suspects_ = false},
                "d" + std::to_string(quarantines_.size())));
            gossip_.push_back(std::make_unique<quarantine_gossip>(
                log_, clock_, *quarantines_.back(), *node));
        }
    }

    auto run_all(duration time) -> void {
        for (auto elapsed = duration{0}; elapsed < time;
             elapsed += seconds{1}) {
            for (const auto& gossip : gossip_) {
                gossip->tick();
            }
            run(seconds{1});
        }
    }

    auto crash(std::size_t daemon, const std::string& runner) -> bool {
        auto& quarantine = *quarantines_[daemon];
        const auto now = clock_.now();
        const auto sent =
            quarantine.on_dispatch({fingerprint_, runner, runner, "b"}, now);
        quarantine.on_connection_lost(runner, now);
        quarantine.on_crash(runner, now);
        return sent;
    }

    coordination::fingerprint fingerprint_ =
        coordination::make_fingerprint("x", "/path", "body");
    std::vector<std::unique_ptr<coordination::quarantine>> quarantines_;
    std::vector<std::unique_ptr<quarantine_gossip>> gossip_;
};

// Guards against counting crashes per daemon only: a request that crashed one
// runner through each of two daemons must be quarantined at every daemon within
// 4 s, since a caller may repeat it through any of them.
TEST_F(quarantine_gossip_test,
       crashes_seen_by_different_daemons_add_up_at_every_daemon) {
    run_all(seconds{3});
    EXPECT_TRUE(crash(1, "r1"));
    EXPECT_TRUE(crash(2, "r2"));
    run_all(seconds{4});
    for (const auto& quarantine : quarantines_) {
        EXPECT_EQ(quarantine->check(fingerprint_, clock_.now()),
                  quarantine_verdict::quarantined);
    }
    EXPECT_FALSE(crash(3, "r3"));
}

TEST_F(quarantine_gossip_test,
       complete_answer_clears_suspicion_at_every_daemon) {
    run_all(seconds{3});
    EXPECT_TRUE(crash(1, "r1"));
    run_all(seconds{4});
    EXPECT_EQ(quarantines_[3]->check(fingerprint_, clock_.now()),
              quarantine_verdict::suspected);
    EXPECT_TRUE(quarantines_[2]->on_dispatch({fingerprint_, "again", "r2", "b"},
                                             clock_.now()));
    quarantines_[2]->on_finish("again", true, clock_.now());
    run_all(seconds{4});
    for (const auto& quarantine : quarantines_) {
        EXPECT_EQ(quarantine->check(fingerprint_, clock_.now()),
                  quarantine_verdict::clear);
    }
}

} // namespace
} // namespace basilstream::daemon
