#include "basilstream/coordination/placement_lease/placement_lease.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
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
        // False until the newest entry has been read.
        bool listed_ = false;
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

    // Returns whether the answer that the store gives at once counts.
    auto answer_counts(node& member) -> bool {
        const auto counts =
            member.lease_.on_answer(member.lease_.era(), era_, now_);
        member.listed_ = member.listed_ && counts;
        return counts;
    }

    auto read(node& member) -> void {
        if (member.partitioned_ || away_) {
            member.lease_.on_append_failed(now_);
            return;
        }
        if (!answer_counts(member)) {
            return;
        }
        if (member.listed_ && member.next_offset_ > log_.size()) {
            member.listed_ = false;
            return;
        }
        if (!std::exchange(member.listed_, true)) {
            member.next_offset_ = log_.empty() ? 0 : log_.size() - 1;
        }
        for (; member.next_offset_ < log_.size(); ++member.next_offset_) {
            member.lease_.on_entry(member.next_offset_,
                                   log_[member.next_offset_], now_);
        }
        member.lease_.on_read(log_.size(), now_);
    }

    auto append(node& member, const lease_append& due) -> void {
        if (member.partitioned_ || away_) {
            member.lease_.on_append_failed(now_);
            return;
        }
        const auto fits = due.offset_ == log_.size();
        if (fits) {
            log_.push_back(due.entry_);
            written_at_.push_back(now_);
        }
        if (!answer_counts(member)) {
            return;
        }
        if (!fits) {
            member.lease_.on_append_failed(now_);
            return;
        }
        if (std::exchange(member.loses_next_response_, false)) {
            member.lease_.on_append_failed(now_);
            return;
        }
        member.lease_.on_appended(due.offset_, now_);
        member.next_offset_ = log_.size();
    }

    // The store is away for a moment and comes back from a copy that was `age`
    // old when it went away.
    auto drill(duration age, std::uint64_t eras = 1) -> void {
        const auto copied_at = now_ - age;
        away_ = true;
        run(milliseconds{500});
        away_ = false;
        while (!log_.empty() && written_at_.back() > copied_at) {
            log_.pop_back();
            written_at_.pop_back();
        }
        era_ = era_.value_or(0) + eras;
    }

    // Starts a daemon anew. It knows nothing of what it did before.
    auto restart(node& member) -> void {
        const auto index = static_cast<std::size_t>(
            std::find_if(
                nodes_.begin(), nodes_.end(),
                [&](const auto& each) { return each.get() == &member; }) -
            nodes_.begin());
        const auto name = member.name_;
        nodes_[index] = std::make_unique<node>(settings_, name, random_);
    }

    // Returns the time until a daemon that holds the lease writes to the log,
    // or `limit` if none does.
    auto time_until_renewal(duration limit) -> duration {
        const auto began = now_;
        while (now_ - began < limit) {
            const auto end = log_.size();
            run(milliseconds{50});
            if (owner() != nullptr && log_.size() > end) {
                break;
            }
        }
        return now_ - began;
    }

    // Returns the longest time until another daemon may claim the lease of one
    // that is gone.
    [[nodiscard]] auto takeover_time() const -> duration {
        return settings_.term_ + settings_.pause_between_owners_ +
               settings_.clock_margin_ + settings_.claim_jitter_ + seconds{1};
    }

    auto record_order(node& member, std::uint64_t epoch) -> void {
        EXPECT_GE(epoch, last_epoch_);
        const auto& holder =
            holders_.try_emplace(epoch, member.name_).first->second;
        EXPECT_EQ(holder, member.name_) << "epoch " << epoch;
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
    std::vector<time_point> written_at_;
    std::optional<std::uint64_t> era_ = 1;
    bool away_ = false;
    std::map<std::uint64_t, std::string> holders_;
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

// The store comes back from an older copy while the owner renews its lease. The
// owner must be able to write again, before others may claim.
TEST(placement_lease, owner_goes_on_after_store_lost_its_renewals) {
    for (const auto age : {seconds{1}, seconds{5}, seconds{20}}) {
        auto simulation = lease_simulation{5};
        simulation.run(seconds{30});
        auto* const first = simulation.owner();
        ASSERT_NE(first, nullptr);
        simulation.drill(age);
        EXPECT_LE(simulation.time_until_renewal(seconds{60}), seconds{2});
        simulation.run(seconds{30});
        EXPECT_EQ(simulation.owner(), first);
    }
}

// The store loses the claim of an owner that took over lately, and with it the
// offset. The next claim at that offset must not get the same epoch, and two
// daemons must not renew one lease.
TEST(placement_lease, lost_claim_does_not_give_its_epoch_to_another_owner) {
    for (const auto age : {seconds{1}, seconds{5}, seconds{20}}) {
        for (auto delay = milliseconds{0}; delay < seconds{9};
             delay += milliseconds{450}) {
            auto simulation = lease_simulation{5};
            simulation.run(seconds{30});
            // Another daemon takes over, and runs for `delay`.
            simulation.owner()->paused_ = true;
            simulation.run(simulation.takeover_time() + delay);
            simulation.drill(age);
            auto& started = *simulation.nodes_[2];
            started.paused_ = false;
            simulation.restart(started);
            EXPECT_LE(simulation.time_until_renewal(seconds{60}),
                      simulation.takeover_time());
            simulation.run(seconds{30});
        }
    }
}

// A drill follows the one before while the daemons still wait for the lease.
TEST(placement_lease, two_drills_in_a_row_keep_epochs_rising) {
    for (const auto age : {seconds{1}, seconds{5}, seconds{20}}) {
        for (auto gap = milliseconds{0}; gap < seconds{10};
             gap += milliseconds{700}) {
            auto simulation = lease_simulation{5};
            simulation.run(seconds{30});
            simulation.drill(age);
            simulation.run(gap);
            simulation.drill(age, 2);
            EXPECT_LE(simulation.time_until_renewal(seconds{60}),
                      simulation.takeover_time());
            simulation.run(seconds{30});
        }
    }
}

// The owner is suspended during the drill and resumes when its lease has
// expired, or just before.
TEST(placement_lease, suspended_owner_does_not_reclaim_after_a_drill) {
    for (auto pause = milliseconds{0}; pause < seconds{12};
         pause += milliseconds{400}) {
        auto simulation = lease_simulation{5};
        simulation.run(seconds{30});
        auto* const first = simulation.owner();
        first->paused_ = true;
        simulation.drill(seconds{5});
        simulation.run(pause);
        first->paused_ = false;
        EXPECT_LE(simulation.time_until_renewal(seconds{60}),
                  simulation.takeover_time());
        simulation.run(seconds{30});
    }
}

// The owner ends during the drill. The others learn of the new era when they
// could claim, and then wait once more; they must not wait for good.
TEST(placement_lease, ended_owner_is_replaced_after_a_drill) {
    for (const auto age : {seconds{1}, seconds{5}, seconds{20}}) {
        auto simulation = lease_simulation{5};
        simulation.run(seconds{30});
        simulation.owner()->paused_ = true;
        simulation.drill(age);
        EXPECT_LE(simulation.time_until_renewal(seconds{60}),
                  2 * simulation.takeover_time());
        simulation.run(seconds{30});
    }
}

// After the drill the log names an earlier process on this VM as owner; a later
// owner, whose claim is lost, may still send orders.
TEST(placement_lease, started_daemon_does_not_claim_at_once_after_a_drill) {
    auto random = seeded_random{1};
    auto lease = placement_lease{placement_lease_settings{}, "d1", random};
    ASSERT_TRUE(lease.on_answer(std::nullopt, 2, start));
    lease.on_entry(7, {lease_entry_kind::renewal, "d1", 3, 1}, start);
    lease.on_read(8, start);
    EXPECT_FALSE(lease.poll(start).has_value());
    const auto later = start + seconds{7};
    lease.on_read(8, later);
    const auto due = lease.poll(later);
    ASSERT_TRUE(due.has_value());
    EXPECT_GT(due->entry_.epoch_, epochs_per_era);
}

// The copy holds no claim, as the first one was made after it; the owner goes
// on until its lease ends.
TEST(placement_lease, added_daemon_claims_at_once_if_a_drill_lost_all_claims) {
    auto simulation = lease_simulation{2};
    simulation.nodes_[1]->paused_ = true;
    simulation.run(seconds{2});
    ASSERT_NE(simulation.owner(), nullptr);
    // The owner does not reach the store again.
    simulation.nodes_[0]->partitioned_ = true;
    simulation.drill(seconds{4});
    ASSERT_TRUE(simulation.log_.empty());
    simulation.nodes_[1]->paused_ = false;
    simulation.run(simulation.takeover_time());
    EXPECT_EQ(simulation.owner(), simulation.nodes_[1].get());
    EXPECT_EQ(simulation.owner_changes_, 1);
}

TEST(placement_lease, first_claim_waits_though_the_store_has_lost_nothing) {
    auto random = seeded_random{1};
    auto lease = placement_lease{placement_lease_settings{}, "d1", random};
    ASSERT_TRUE(lease.on_answer(std::nullopt, first_era, start));
    lease.on_read(0, start);
    EXPECT_TRUE(lease.poll(start).has_value());
    EXPECT_FALSE(lease.previous_owner_valid_until().has_value());
}

// A release that survived the drill does not show that nobody has claimed the
// lease since: that claim may be lost.
TEST(placement_lease, release_of_a_former_era_does_not_free_the_lease) {
    auto random = seeded_random{1};
    const auto settings = placement_lease_settings{};
    auto lease = placement_lease{settings, "d1", random};
    ASSERT_TRUE(lease.on_answer(std::nullopt, 2, start));
    lease.on_entry(7, {lease_entry_kind::release, "d0", 3, 1}, start);
    const auto expiry = start + settings.term_ + settings.pause_between_owners_;
    lease.on_read(8, expiry);
    EXPECT_FALSE(lease.poll(expiry).has_value());
    const auto later = expiry + seconds{1};
    lease.on_read(8, later);
    EXPECT_TRUE(lease.poll(later).has_value());
}

// The log has no claim, or only an older one, but a message of the owner tells
// that there is one. Its lease must run out first.
TEST(placement_lease, claim_waits_for_owner_whose_claim_is_lost) {
    auto random = seeded_random{1};
    auto lease = placement_lease{placement_lease_settings{}, "d1", random};
    ASSERT_TRUE(lease.on_answer(std::nullopt, 2, start));
    lease.on_read(0, start);
    lease.on_owner_heartbeat(9, milliseconds{2000}, 12, start);
    lease.on_read(0, start);
    EXPECT_FALSE(lease.poll(start).has_value());
    const auto later = start + seconds{6};
    lease.on_read(0, later);
    const auto due = lease.poll(later);
    ASSERT_TRUE(due.has_value());
    EXPECT_GT(due->entry_.epoch_, 9U);
}

// Two holders have one epoch, as earlier builds may after a drill. Neither may
// take the other's renewals for its own owner's.
TEST(placement_lease, renewal_of_another_holder_does_not_extend_lease) {
    auto random = seeded_random{1};
    auto lease = placement_lease{placement_lease_settings{}, "d1", random};
    lease.on_entry(3, {lease_entry_kind::claim, "d0"}, start);
    lease.on_entry(4, {lease_entry_kind::renewal, "d2", 3}, start + seconds{2});
    EXPECT_FALSE(lease.has_owner(start + seconds{3}));
    lease.on_entry(5, {lease_entry_kind::renewal, "d0", 3}, start + seconds{2});
    EXPECT_TRUE(lease.has_owner(start + seconds{3}));
}

// Returns a lease that "d1" holds in era 4, at offset 0.
auto lease_in_era_4(random_source& random) -> placement_lease {
    auto lease = placement_lease{placement_lease_settings{}, "d1", random};
    const auto read_at = start - seconds{7};
    EXPECT_TRUE(lease.on_answer(std::nullopt, 4, read_at));
    lease.on_read(0, read_at);
    EXPECT_FALSE(lease.poll(read_at).has_value());
    lease.on_read(0, start);
    EXPECT_TRUE(lease.poll(start).has_value());
    EXPECT_TRUE(lease.on_answer(4, 4, start));
    lease.on_appended(0, start);
    return lease;
}

// An answer of a former era must change neither the era nor the lease; one
// without an era is of no use as evidence of a change.
TEST(placement_lease, late_answer_does_not_bring_back_a_former_era) {
    auto random = seeded_random{1};
    auto lease = lease_in_era_4(random);
    EXPECT_TRUE(lease.on_answer(4, std::nullopt, start));
    EXPECT_TRUE(lease.valid_epoch(start).has_value());
    EXPECT_FALSE(lease.on_answer(3, 3, start));
    EXPECT_FALSE(lease.on_answer(3, std::nullopt, start));
    EXPECT_EQ(lease.era(), 4U);
    EXPECT_TRUE(lease.valid_epoch(start).has_value());
    EXPECT_TRUE(lease.needs_read(start));
}

// An append that the store took in a new era may stand at an offset that means
// something else now. It must not make its sender the owner.
TEST(placement_lease, append_across_a_drill_is_not_taken_as_done) {
    auto random = seeded_random{1};
    auto lease = lease_in_era_4(random);
    const auto former = *lease.valid_epoch(start);
    const auto later = start + seconds{1};
    ASSERT_TRUE(lease.poll(later).has_value());
    EXPECT_FALSE(lease.on_answer(4, 6, later));
    lease.on_appended(1, later);
    EXPECT_FALSE(lease.valid_epoch(later).has_value());
    lease.on_read(1, later);
    const auto due = lease.poll(later);
    ASSERT_TRUE(due.has_value());
    EXPECT_EQ(due->entry_.kind_, lease_entry_kind::claim);
    EXPECT_GE(due->entry_.epoch_, former + 2 * epochs_per_era);
    EXPECT_EQ(due->entry_.era_, 6U);
}

// The store names a lower era in answers to calls sent in the present one: it
// is another copy, and what it lost is unknown. Epochs must go on rising.
TEST(placement_lease, fallen_era_counts_as_a_drill) {
    auto random = seeded_random{1};
    auto lease = lease_in_era_4(random);
    const auto former = *lease.valid_epoch(start);
    EXPECT_FALSE(lease.on_answer(4, 2, start));
    EXPECT_EQ(lease.era(), 2U);
    EXPECT_FALSE(lease.valid_epoch(start).has_value());
    lease.on_read(0, start);
    const auto due = lease.poll(start);
    ASSERT_TRUE(due.has_value());
    EXPECT_GT(due->entry_.epoch_, former);
}

// Without a drill epochs are offsets, as in earlier builds, so that old and new
// daemons order by the same numbers while they run side by side.
TEST(placement_lease, epoch_is_offset_until_the_first_drill) {
    auto random = seeded_random{1};
    auto lease = placement_lease{placement_lease_settings{}, "d1", random};
    ASSERT_TRUE(lease.on_answer(std::nullopt, 3, start));
    lease.on_entry(8, {lease_entry_kind::renewal, "d0", 5}, start);
    lease.on_read(9, start);
    const auto later = start + seconds{7};
    lease.on_read(9, later);
    const auto due = lease.poll(later);
    ASSERT_TRUE(due.has_value());
    EXPECT_EQ(due->entry_.epoch_, 9U);
}

// Random sequences of drills, restarts, partitions, pauses and lost responses.
TEST(placement_lease, epochs_rise_and_owners_stay_apart_across_drills) {
    for (auto seed = std::uint64_t{1}; seed <= 100; ++seed) {
        auto simulation = lease_simulation{5, seed};
        simulation.run(seconds{30});
        auto events = seeded_random{seed * 977};
        for (auto iteration = 0; iteration < 40; ++iteration) {
            auto& member =
                *simulation.nodes_[events.below(simulation.nodes_.size())];
            switch (events.below(6)) {
            case 0:
                member.partitioned_ = !member.partitioned_;
                break;
            case 1:
                member.paused_ = !member.paused_;
                break;
            case 2:
                member.loses_next_response_ = true;
                break;
            case 3:
                simulation.restart(member);
                break;
            case 4:
                simulation.drill(
                    milliseconds{static_cast<long>(events.below(20'000))},
                    1 + events.below(2));
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
