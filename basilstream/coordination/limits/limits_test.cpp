#include "basilstream/coordination/limits/limits.hpp"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace basilstream::coordination {
namespace {

// Holders that read each record at once.
class limits : public ::testing::Test {
protected:
    auto add(const std::string& name) -> limit_holder& {
        auto& added = holders_.emplace_back(
            std::make_unique<limit_holder>(name, limit_settings{}));
        added->define("models_at_once", {.units_ = 4});
        added->define("models_per_second", {.units_ = 2, .hold_ = seconds{1}});
        for (const auto& record : log_) {
            added->on_record(record, now_);
        }
        return *added;
    }
    auto settle() -> void {
        for (auto round = 0; round < 10; ++round) {
            for (auto& writer : holders_) {
                for (const auto& record : writer->poll(now_)) {
                    log_.push_back(record);
                    for (auto& reader : holders_) {
                        reader->on_record(record, now_);
                    }
                }
            }
        }
    }
    auto take(limit_holder& holder, int units) -> std::vector<permit_id> {
        auto permits = std::vector<permit_id>{};
        for (auto unit = 0; unit < units; ++unit) {
            if (const auto permit =
                    holder.try_acquire("models_at_once", now_)) {
                permits.push_back(*permit);
            }
        }
        return permits;
    }

    std::vector<std::unique_ptr<limit_holder>> holders_;
    std::vector<limit_record> log_;
    time_point now_{seconds{1000}};
};

TEST_F(limits, units_come_through_the_log_and_go_to_who_wants_them) {
    auto& a = add("a");
    auto& b = add("b");
    EXPECT_TRUE(take(a, 4).empty());
    settle();
    const auto used = take(a, 4);
    EXPECT_EQ(used.size(), 4U);
    EXPECT_TRUE(take(b, 3).empty());
    settle();
    EXPECT_TRUE(take(b, 1).empty()); // all are in use
    a.release(used[0], now_);
    a.release(used[1], now_);
    settle();
    EXPECT_EQ(take(b, 3).size(), 2U);
    EXPECT_EQ(a.ledger().granted("models_at_once"), 4);
    EXPECT_EQ(a.ledger().holders(), b.ledger().holders());
}

TEST_F(limits, a_rate_is_units_held_for_the_period) {
    auto& a = add("a");
    auto loads = weight_store_permits{a};
    take(a, 2);
    for (auto unit = 0; unit < 2; ++unit) {
        EXPECT_FALSE(a.try_acquire("models_per_second", now_));
    }
    settle();
    EXPECT_TRUE(loads.try_acquire(load_kind::model, now_));
    EXPECT_TRUE(loads.try_acquire(load_kind::model, now_));
    loads.release(load_kind::model, now_);
    now_ += milliseconds{999};
    EXPECT_FALSE(loads.try_acquire(load_kind::model, now_));
    now_ += milliseconds{1};
    EXPECT_TRUE(loads.try_acquire(load_kind::model, now_));
}

TEST_F(limits, adapters_have_their_own_limit) {
    auto& a = add("a");
    a.define("adapters_at_once", {.units_ = 1});
    auto loads = weight_store_permits{a};
    EXPECT_FALSE(loads.try_acquire(load_kind::adapter, now_));
    settle();
    EXPECT_TRUE(loads.try_acquire(load_kind::adapter, now_));
    EXPECT_FALSE(loads.try_acquire(load_kind::adapter, now_));
    loads.release(load_kind::adapter, now_);
    EXPECT_TRUE(loads.try_acquire(load_kind::adapter, now_));
}

TEST_F(limits, without_the_log_units_lapse_and_nothing_is_lent) {
    auto& a = add("a");
    take(a, 4);
    settle();
    EXPECT_EQ(a.usable("models_at_once", now_), 4);
    now_ += seconds{30};
    EXPECT_EQ(a.usable("models_at_once", now_), 0);
    settle();
    EXPECT_EQ(a.usable("models_at_once", now_), 4);
}

TEST_F(limits, units_of_the_dead_come_back_after_lease_and_work) {
    auto& a = add("a");
    take(a, 4);
    settle();
    take(a, 4);
    holders_.erase(holders_.begin()); // dies with its loads under way
    auto& b = add("b");
    take(b, 1);
    settle();
    for (auto second = 0; second < 62; ++second) {
        now_ += seconds{1};
        settle();
        EXPECT_EQ(b.usable("models_at_once", now_), 0);
    }
    now_ += seconds{1};
    settle();
    EXPECT_EQ(b.usable("models_at_once", now_), 1);
    EXPECT_EQ(b.ledger().holders().size(), 1U);
}

// A holder came back and renewed its lease just before a recovery that was
// decided without that news. Returns the units granted afterwards, while the
// holder uses all four.
auto granted_after_late_recovery(limit_guards guards) -> int {
    auto ledger = limit_ledger{guards};
    ledger.set_limit("models_at_once", 4);
    const auto acquire = [](const std::string& holder) {
        return limit_record{.action_ = limit_action::acquire,
                            .holder_ = holder,
                            .sequence_ = 1,
                            .limit_ = "models_at_once",
                            .units_ = 4};
    };
    EXPECT_TRUE(ledger.apply(acquire("back")));
    EXPECT_TRUE(ledger.apply(acquire("other")));
    EXPECT_TRUE(ledger.apply(
        {.action_ = limit_action::renew, .holder_ = "back", .sequence_ = 2}));
    static_cast<void>(ledger.apply({.action_ = limit_action::recover,
                                    .holder_ = "other",
                                    .sequence_ = 2,
                                    .subject_ = "back",
                                    .subject_sequence_ = 1}));
    return ledger.share_of("other", "models_at_once").units_;
}

TEST(limits_recovery, a_renewal_goes_before_a_recovery_that_missed_it) {
    EXPECT_EQ(granted_after_late_recovery({}), 0);
    EXPECT_EQ(
        granted_after_late_recovery({.same_lease_ =
                                         [](std::uint64_t, std::uint64_t) {
                                             return true;
                                         }}),
        4);
}

TEST_F(limits, idle_units_retire_and_a_snapshot_restores) {
    auto& a = add("a");
    take(a, 2);
    settle();
    auto copy = limit_holder{"copy", {}};
    copy.restore(a.ledger(), now_);
    EXPECT_EQ(copy.ledger().granted("models_at_once"), 2);
    now_ += std::chrono::minutes{5};
    settle();
    EXPECT_EQ(a.ledger().granted("models_at_once"), 0);
    // Without units it renews nothing, and another holder recovers it.
    auto& b = add("b");
    for (auto minute = 0; minute < 2; ++minute) {
        now_ += std::chrono::minutes{1};
        take(b, 1);
        settle();
    }
    now_ += seconds{4};
    settle();
    EXPECT_FALSE(b.ledger().holders().contains("a"));
}

// A holder may use units of a repeated acquire; a repeated give_back must not
// take them away from under it.
TEST(limits_recovery, late_repeats_of_records_change_nothing) {
    auto ledger = limit_ledger{};
    ledger.set_limit("models_at_once", 4);
    const auto acquire = limit_record{.action_ = limit_action::acquire,
                                      .holder_ = "a",
                                      .sequence_ = 5,
                                      .limit_ = "models_at_once",
                                      .units_ = 4};
    auto give_back = acquire;
    give_back.action_ = limit_action::give_back;
    give_back.sequence_ = 6;
    EXPECT_TRUE(ledger.apply(acquire));
    EXPECT_TRUE(ledger.apply(give_back));
    EXPECT_FALSE(ledger.apply(acquire));
    EXPECT_FALSE(ledger.apply(give_back));
    EXPECT_EQ(ledger.granted("models_at_once"), 0);
}

TEST_F(limits, a_lowered_limit_grants_nothing_until_units_are_back) {
    auto& a = add("a");
    take(a, 4);
    settle();
    const auto used = take(a, 4);
    a.define("models_at_once", {.units_ = 2});
    for (const auto permit : used) {
        a.release(permit, now_);
    }
    settle();
    EXPECT_EQ(a.ledger().granted("models_at_once"), 2);
}

auto any_record() -> rc::Gen<limit_record> {
    const auto holder = rc::gen::element<std::string>("a", "b", "c");
    return rc::gen::build<limit_record>(
        rc::gen::set(
            &limit_record::action_,
            rc::gen::element(limit_action::acquire, limit_action::give_back,
                             limit_action::renew, limit_action::recover)),
        rc::gen::set(&limit_record::holder_, holder),
        rc::gen::set(&limit_record::sequence_,
                     rc::gen::inRange<std::uint64_t>(0, 40)),
        rc::gen::set(&limit_record::limit_,
                     rc::gen::element<std::string>("models_at_once", "other")),
        rc::gen::set(&limit_record::units_, rc::gen::inRange(-1, 8)),
        rc::gen::set(&limit_record::subject_, holder),
        rc::gen::set(&limit_record::subject_sequence_,
                     rc::gen::inRange<std::uint64_t>(0, 40)));
}

RC_GTEST_PROP(limit_ledger, grants_within_limits_and_repeats_count_once,
              (const std::vector<int>&)) {
    const auto records =
        *rc::gen::container<std::vector<limit_record>>(any_record());
    auto once = limit_ledger{};
    auto twice = limit_ledger{};
    for (auto* ledger : {&once, &twice}) {
        ledger->set_limit("models_at_once", 4);
        ledger->set_limit("other", 2);
    }
    for (const auto& record : records) {
        once.apply(record);
        twice.apply(record);
        RC_ASSERT(!twice.apply(record));
        RC_ASSERT(once.holders() == twice.holders());
        RC_ASSERT(once.granted("models_at_once") <= 4);
        RC_ASSERT(once.granted("other") <= 2);
    }
}

} // namespace
} // namespace basilstream::coordination
