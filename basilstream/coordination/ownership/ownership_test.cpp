#include "basilstream/coordination/ownership/ownership.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Daemons on one log that apply each record as soon as it is appended.
class cluster {
public:
    cluster(std::size_t daemons, const std::vector<std::string>& shards) {
        for (auto i = std::size_t{0}; i < daemons; ++i) {
            members_.push_back("d" + std::to_string(i));
        }
        for (const auto& name : members_) {
            auto& added =
                daemons_.emplace_back(std::make_unique<daemon>(name, shards));
            added->shards_.on_members(members_);
        }
    }

    auto run(seconds span) -> void {
        for (const auto end = now_ + span; now_ < end;
             now_ += milliseconds{100}) {
            for (auto& member : daemons_) {
                poll(*member);
            }
        }
    }
    auto owner(const std::string& shard) const -> std::string {
        return state_.find_shard(shard).owner_;
    }
    auto index_of(const std::string& name) const -> std::size_t {
        return static_cast<std::size_t>(
            std::find(members_.begin(), members_.end(), name) -
            members_.begin());
    }

    struct daemon {
        daemon(const std::string& name, const std::vector<std::string>& shards)
            : random_{name.back() + 1U}, shards_{{},
                                                 name,
                                                 shards,
                                                 writer_,
                                                 random_} {}
        seeded_random random_;
        appender writer_{appender_options{}, random_};
        ownership shards_;
        bool up_ = true;
    };
    std::vector<std::string> members_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    state::machine state_{state::machine_guards{}};
    time_point now_{};
    bool current_ = true;

private:
    auto poll(daemon& member) -> void {
        if (!member.up_) {
            return;
        }
        member.shards_.poll(state_, current_, now_);
        auto batch = member.writer_.poll(now_);
        if (!batch) {
            return;
        }
        for (const auto& entry : batch->records_) {
            const auto offset = state_.next_offset();
            const auto outcome = state_.apply(offset, entry);
            member.writer_.on_record(entry.id_, offset, outcome);
            for (auto& other : daemons_) {
                other->shards_.on_applied({offset, entry, outcome}, now_);
            }
        }
        member.writer_.on_accepted(batch->ticket_, 0);
    }
};

TEST(ownership, another_daemon_takes_over_from_a_paused_owner) {
    auto test_cluster = cluster{3, {"s"}};
    test_cluster.run(seconds{10});
    const auto first = test_cluster.owner("s");
    ASSERT_FALSE(first.empty());
    const auto epoch = test_cluster.state_.find_shard("s").epoch_;
    auto& paused = *test_cluster.daemons_[test_cluster.index_of(first)];
    paused.up_ = false;
    test_cluster.run(seconds{5});
    EXPECT_EQ(test_cluster.owner("s"), first) << "the lease has not expired";
    test_cluster.run(seconds{5});
    EXPECT_NE(test_cluster.owner("s"), first);
    EXPECT_GT(test_cluster.state_.find_shard("s").epoch_, epoch);
    EXPECT_FALSE(paused.shards_.held(test_cluster.state_, "s").has_value());
}

TEST(ownership, log_outage_does_not_expire_the_lease) {
    auto test_cluster = cluster{3, {"s"}};
    test_cluster.run(seconds{10});
    const auto epoch = test_cluster.state_.find_shard("s").epoch_;
    test_cluster.current_ = false;
    test_cluster.run(seconds{600});
    test_cluster.current_ = true;
    test_cluster.run(seconds{10});
    EXPECT_EQ(test_cluster.state_.find_shard("s").epoch_, epoch);
}

TEST(ownership, planned_stop_releases_shards_without_waiting_for_the_lease) {
    auto test_cluster = cluster{3, {"s"}};
    test_cluster.run(seconds{10});
    const auto first = test_cluster.owner("s");
    test_cluster.daemons_[test_cluster.index_of(first)]->shards_.stop();
    test_cluster.run(seconds{3});
    EXPECT_NE(test_cluster.owner("s"), first);
    EXPECT_FALSE(test_cluster.owner("s").empty());
}

TEST(ownership, distributes_shards_and_runs_with_a_single_daemon) {
    auto shards = std::vector<std::string>{};
    for (auto i = 0; i < 19; ++i) {
        shards.push_back("zone-" + std::to_string(i));
    }
    auto many = cluster{7, shards};
    many.run(seconds{150});
    auto load = std::map<std::string, int>{};
    for (const auto& shard : shards) {
        ++load[many.owner(shard)];
    }
    EXPECT_FALSE(load.contains(""));
    EXPECT_GE(load.size(), 5U);
    for (const auto& [name, count] : load) {
        EXPECT_LE(count, 8) << name;
    }
    auto single = cluster{1, shards};
    single.run(seconds{10});
    for (const auto& shard : shards) {
        EXPECT_EQ(single.owner(shard), "d0");
    }
}

} // namespace
} // namespace basilstream::coordination
