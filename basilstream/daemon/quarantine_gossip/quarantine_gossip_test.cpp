#include "basilstream/daemon/quarantine_gossip/quarantine_gossip.hpp"

#include "basilstream/daemon/cluster/cluster_test_world.hpp"

namespace basilstream::daemon {
namespace {

using coordination::quarantine_verdict;

class gossip_world : public cluster_world {
protected:
    gossip_world() {
        for (const auto& node : nodes_) {
            marks_.push_back(std::make_unique<coordination::quarantine>(
                coordination::quarantine_settings{.isolate_suspects_ = false},
                "d" + std::to_string(marks_.size())));
            gossip_.push_back(std::make_unique<quarantine_gossip>(
                log_, clock_, *marks_.back(), *node));
        }
    }

    auto run_all(duration time) -> void {
        for (auto passed = duration{0}; passed < time; passed += seconds{1}) {
            for (const auto& each : gossip_) {
                each->tick();
            }
            run(seconds{1});
        }
    }

    auto crash(std::size_t daemon, const std::string& runner) -> bool {
        auto& marks = *marks_[daemon];
        const auto now = clock_.now();
        const auto sent = marks.on_dispatch({bad_, runner, runner, "b"}, now);
        marks.on_connection_lost(runner, now);
        marks.on_crash(runner, now);
        return sent;
    }

    coordination::fingerprint bad_ =
        coordination::make_fingerprint("x", "/path", "body");
    std::vector<std::unique_ptr<coordination::quarantine>> marks_;
    std::vector<std::unique_ptr<quarantine_gossip>> gossip_;
};

// The request comes again through any daemon: crashes seen by two of them hold
// it back at all, within the time that the daemons have to agree on anything.
TEST_F(gossip_world, crashes_seen_by_different_daemons_count_at_all) {
    run_all(seconds{3});
    EXPECT_TRUE(crash(1, "r1"));
    EXPECT_TRUE(crash(2, "r2"));
    run_all(seconds{4});
    for (const auto& marks : marks_) {
        EXPECT_EQ(marks->check(bad_, clock_.now()),
                  quarantine_verdict::quarantined);
    }
    EXPECT_FALSE(crash(3, "r3"));
}

TEST_F(gossip_world, a_whole_answer_clears_a_suspect_at_all) {
    run_all(seconds{3});
    EXPECT_TRUE(crash(1, "r1"));
    run_all(seconds{4});
    EXPECT_EQ(marks_[3]->check(bad_, clock_.now()),
              quarantine_verdict::suspected);
    EXPECT_TRUE(
        marks_[2]->on_dispatch({bad_, "again", "r2", "b"}, clock_.now()));
    marks_[2]->on_finish("again", true, clock_.now());
    run_all(seconds{4});
    for (const auto& marks : marks_) {
        EXPECT_EQ(marks->check(bad_, clock_.now()), quarantine_verdict::clear);
    }
}

} // namespace
} // namespace basilstream::daemon
