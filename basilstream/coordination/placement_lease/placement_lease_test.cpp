#include "basilstream/coordination/placement_lease/placement_lease.hpp"

#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

const auto start = time_point{seconds{1000}};

// Simulates several daemons that share one lease log, in virtual time.
class lease_simulation {
public:
    explicit lease_simulation(std::size_t daemons, std::uint64_t seed = 1)
        : random_{seed} {
        for (auto index = std::size_t{0}; index < daemons; ++index) {
            nodes_.push_back(std::make_unique<node>(
                settings_, "d" + std::to_string(index), random_));
        }
    }

    struct node {
        node(const placement_lease_settings& settings, const std::string& name,
             random_source& random)
            : name_{name}, lease_{settings, name, random} {}
        std::string name_;
        placement_lease lease_;
        std::size_t next_offset_ = 0;
        bool partitioned_ = false;
        bool paused_ = false;
        bool loses_next_response_ = false;
    };

    // Advances the time in steps and runs every daemon that is not paused. A
    // daemon that may send orders sends one in every step.
    auto run(duration time) -> void {
        const auto end = now_ + time;
        for (; now_ < end; now_ += milliseconds{50}) {
            for (auto& member : nodes_) {
                if (!member->paused_) {
                    step(*member);
                }
            }
        }
    }

    auto step(node& member) -> void {
        if (member.lease_.needs_read(now_)) {
            read(member);
        }
        if (const auto due = member.lease_.poll(now_)) {
            append(member, *due);
        }
        if (const auto epoch = member.lease_.valid_epoch(now_)) {
            record_order(member, *epoch);
        }
    }

    auto read(node& member) -> void {
        if (member.partitioned_) {
            member.lease_.on_append_failed(now_);
            return;
        }
        for (; member.next_offset_ < log_.size(); ++member.next_offset_) {
            member.lease_.on_entry(member.next_offset_,
                                   log_[member.next_offset_], now_);
        }
        member.lease_.on_read(log_.size(), now_);
    }

    auto append(node& member, const lease_append& due) -> void {
        if (member.partitioned_ || due.offset_ != log_.size()) {
            member.lease_.on_append_failed(now_);
            return;
        }
        log_.push_back(due.entry_);
        if (std::exchange(member.loses_next_response_, false)) {
            member.lease_.on_append_failed(now_);
            return;
        }
        member.lease_.on_appended(due.offset_, now_);
        member.next_offset_ = log_.size();
    }

    auto record_order(node& member, std::uint64_t epoch) -> void {
        if (!last_holder_.empty() && last_holder_ != member.name_) {
            EXPECT_GE(now_ - last_order_, settings_.pause_between_owners_);
            EXPECT_GT(epoch, last_epoch_);
            ++owner_changes_;
        }
        last_holder_ = member.name_;
        last_order_ = now_;
        last_epoch_ = epoch;
    }

    auto owner() -> node* {
        for (auto& member : nodes_) {
            if (member->lease_.valid_epoch(now_)) {
                return member.get();
            }
        }
        return nullptr;
    }

    placement_lease_settings settings_;
    seeded_random random_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<lease_entry> log_;
    time_point now_ = start;
    std::string last_holder_;
    time_point last_order_{};
    std::uint64_t last_epoch_ = 0;
    int owner_changes_ = 0;
};

TEST(placement_lease, exactly_one_daemon_becomes_owner) {
    auto simulation = lease_simulation{7};
    simulation.run(seconds{1});
    ASSERT_NE(simulation.owner(), nullptr);
    simulation.run(seconds{30});
    EXPECT_EQ(simulation.owner_changes_, 0);
}

TEST(placement_lease, partitioned_owner_is_replaced) {
    auto simulation = lease_simulation{7};
    simulation.run(seconds{5});
    auto* const first = simulation.owner();
    first->partitioned_ = true;
    simulation.run(seconds{12});
    ASSERT_NE(simulation.owner(), nullptr);
    EXPECT_NE(simulation.owner(), first);
    first->partitioned_ = false;
    simulation.run(seconds{12});
    EXPECT_EQ(simulation.owner_changes_, 1);
}

// The owner is suspended for longer than the term of its lease. Its clock
// includes the suspension, so it must not send orders when it resumes.
TEST(placement_lease, resumed_owner_does_not_hold_expired_lease) {
    auto simulation = lease_simulation{3};
    simulation.run(seconds{5});
    auto* const first = simulation.owner();
    first->paused_ = true;
    simulation.run(seconds{20});
    first->paused_ = false;
    EXPECT_FALSE(first->lease_.valid_epoch(simulation.now_).has_value());
    simulation.run(seconds{5});
    EXPECT_EQ(simulation.owner_changes_, 1);
}

TEST(placement_lease, claims_again_after_lost_append_response) {
    auto simulation = lease_simulation{1};
    simulation.nodes_.front()->loses_next_response_ = true;
    simulation.run(seconds{5});
    ASSERT_NE(simulation.owner(), nullptr);
    EXPECT_GT(*simulation.owner()->lease_.valid_epoch(simulation.now_), 0U);
}

TEST(placement_lease, release_allows_takeover_before_lease_expiry) {
    auto simulation = lease_simulation{3};
    simulation.run(seconds{5});
    const auto epoch = *simulation.owner()->lease_.valid_epoch(simulation.now_);
    simulation.owner()->lease_.stop();
    for (auto& member : simulation.nodes_) {
        member->lease_.on_owner_released(epoch, simulation.log_.size(),
                                         simulation.now_);
    }
    simulation.run(simulation.settings_.pause_between_owners_ + seconds{1});
    EXPECT_NE(simulation.owner(), nullptr);
    EXPECT_EQ(simulation.owner_changes_, 1);
}

// A daemon reads renewals late. They must not extend the lease if the owner had
// written them before its last message to that daemon.
TEST(placement_lease, stale_renewals_do_not_extend_lease) {
    auto random = seeded_random{1};
    auto settings = placement_lease_settings{};
    auto lease = placement_lease{settings, "d1", random};
    lease.on_entry(0, {lease_entry_kind::claim, "d0", 0}, start);
    lease.on_read(1, start);
    lease.on_owner_heartbeat(0, milliseconds{2000}, 9, start + seconds{8});
    const auto late = start + seconds{14};
    for (auto offset = std::uint64_t{1}; offset < 9; ++offset) {
        lease.on_entry(offset, {lease_entry_kind::renewal, "d0", 0}, late);
    }
    lease.on_read(9, late);
    const auto due = lease.poll(late);
    ASSERT_TRUE(due.has_value());
    EXPECT_EQ(due->entry_.kind_, lease_entry_kind::claim);
    lease.on_appended(9, late);
    EXPECT_EQ(lease.previous_owner_valid_until(), start + seconds{10});
}

// Random sequences of partitions, pauses and lost append responses.
TEST(placement_lease, orders_of_different_owners_are_separated) {
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        auto simulation = lease_simulation{5, seed};
        auto events = seeded_random{seed * 977};
        for (auto iteration = 0; iteration < 40; ++iteration) {
            auto& member =
                *simulation.nodes_[events.below(simulation.nodes_.size())];
            switch (events.below(4)) {
            case 0:
                member.partitioned_ = !member.partitioned_;
                break;
            case 1:
                member.paused_ = !member.paused_;
                break;
            case 2:
                member.loses_next_response_ = true;
                break;
            default:
                break;
            }
            simulation.run(milliseconds{static_cast<long>(events.below(6000))});
        }
        if (testing::Test::HasFailure()) {
            FAIL() << "seed " << seed;
        }
    }
}

} // namespace
} // namespace basilstream::coordination
