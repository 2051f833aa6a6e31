#include "basilstream/coordination/ownership/ownership.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Daemons that share one log, which is read at once.
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
            for (auto& one : daemons_) {
                poll(*one);
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
    auto poll(daemon& one) -> void {
        if (!one.up_) {
            return;
        }
        one.shards_.poll(state_, current_, now_);
        auto batch = one.writer_.poll(now_);
        if (!batch) {
            return;
        }
        for (const auto& entry : batch->records_) {
            const auto offset = state_.next_offset();
            const auto outcome = state_.apply(offset, entry);
            one.writer_.on_record(entry.id_, offset, outcome);
            for (auto& other : daemons_) {
                other->shards_.on_applied({offset, entry, outcome}, now_);
            }
        }
        one.writer_.on_accepted(batch->ticket_, 0);
    }
};

TEST(ownership, survivors_take_over_and_the_paused_owner_learns_of_it) {
    auto all = cluster{3, {"s"}};
    all.run(seconds{10});
    const auto first = all.owner("s");
    ASSERT_FALSE(first.empty());
    const auto epoch = all.state_.find_shard("s").epoch_;
    auto& paused = *all.daemons_[all.index_of(first)];
    paused.up_ = false;
    all.run(seconds{5});
    EXPECT_EQ(all.owner("s"), first) << "the lease has not run out";
    all.run(seconds{5});
    EXPECT_NE(all.owner("s"), first);
    EXPECT_GT(all.state_.find_shard("s").epoch_, epoch);
    EXPECT_FALSE(paused.shards_.held(all.state_, "s").has_value());
}

TEST(ownership, silence_of_the_log_is_no_silence_of_the_owner) {
    auto all = cluster{3, {"s"}};
    all.run(seconds{10});
    const auto epoch = all.state_.find_shard("s").epoch_;
    all.current_ = false;
    all.run(seconds{600});
    all.current_ = true;
    all.run(seconds{10});
    EXPECT_EQ(all.state_.find_shard("s").epoch_, epoch);
}

TEST(ownership, planned_stop_releases_and_another_claims_at_once) {
    auto all = cluster{3, {"s"}};
    all.run(seconds{10});
    const auto first = all.owner("s");
    all.daemons_[all.index_of(first)]->shards_.stop();
    all.run(seconds{3});
    EXPECT_NE(all.owner("s"), first);
    EXPECT_FALSE(all.owner("s").empty());
}

TEST(ownership, shards_spread_over_daemons_and_need_no_more_than_one) {
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
    auto lone = cluster{1, shards};
    lone.run(seconds{10});
    for (const auto& shard : shards) {
        EXPECT_EQ(lone.owner(shard), "d0");
    }
}

} // namespace
} // namespace basilstream::coordination
