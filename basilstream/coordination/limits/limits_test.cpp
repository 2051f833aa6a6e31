#include "basilstream/coordination/limits/limits.hpp"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace basilstream::coordination {
namespace {

// Limit holders on one log that deliver each record to all of them at once.
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
    auto exchange_records() -> void {
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
    auto acquire_units(limit_holder& holder, int units)
        -> std::vector<permit_id> {
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

TEST_F(limits, grants_released_units_to_waiting_holders) {
    auto& a = add("a");
    auto& b = add("b");
    EXPECT_TRUE(acquire_units(a, 4).empty());
    exchange_records();
    const auto used = acquire_units(a, 4);
    EXPECT_EQ(used.size(), 4U);
    EXPECT_TRUE(acquire_units(b, 3).empty());
    exchange_records();
    EXPECT_TRUE(acquire_units(b, 1).empty()); // all units are in use
    a.release(used[0], now_);
    a.release(used[1], now_);
    exchange_records();
    EXPECT_EQ(acquire_units(b, 3).size(), 2U);
    EXPECT_EQ(a.ledger().granted("models_at_once"), 4);
    EXPECT_EQ(a.ledger().holders(), b.ledger().holders());
}

TEST_F(limits, rate_limit_holds_units_for_the_period) {
    auto& a = add("a");
    auto loads = weight_store_permits{a};
    acquire_units(a, 2);
    for (auto unit = 0; unit < 2; ++unit) {
        EXPECT_FALSE(a.try_acquire("models_per_second", now_));
    }
    exchange_records();
    EXPECT_TRUE(loads.try_acquire(load_kind::model, now_));
    EXPECT_TRUE(loads.try_acquire(load_kind::model, now_));
    loads.release(load_kind::model, now_);
    now_ += milliseconds{999};
    EXPECT_FALSE(loads.try_acquire(load_kind::model, now_));
    now_ += milliseconds{1};
    EXPECT_TRUE(loads.try_acquire(load_kind::model, now_));
}

TEST_F(limits, adapter_loads_use_a_separate_limit) {
    auto& a = add("a");
    a.define("adapters_at_once", {.units_ = 1});
    auto loads = weight_store_permits{a};
    EXPECT_FALSE(loads.try_acquire(load_kind::adapter, now_));
    exchange_records();
    EXPECT_TRUE(loads.try_acquire(load_kind::adapter, now_));
    EXPECT_FALSE(loads.try_acquire(load_kind::adapter, now_));
    loads.release(load_kind::adapter, now_);
    EXPECT_TRUE(loads.try_acquire(load_kind::adapter, now_));
}

TEST_F(limits, units_are_unusable_after_the_lease_expires) {
    auto& a = add("a");
    acquire_units(a, 4);
    exchange_records();
    EXPECT_EQ(a.usable("models_at_once", now_), 4);
    now_ += seconds{30};
    EXPECT_EQ(a.usable("models_at_once", now_), 0);
    exchange_records();
    EXPECT_EQ(a.usable("models_at_once", now_), 4);
}

TEST_F(limits, recovers_units_of_a_crashed_holder_after_the_grace_period) {
    auto& a = add("a");
    acquire_units(a, 4);
    exchange_records();
    acquire_units(a, 4);
    holders_.erase(holders_.begin()); // crashes with its loads in progress
    auto& b = add("b");
    acquire_units(b, 1);
    exchange_records();
    for (auto second = 0; second < 62; ++second) {
        now_ += seconds{1};
        exchange_records();
        EXPECT_EQ(b.usable("models_at_once", now_), 0);
    }
    now_ += seconds{1};
    exchange_records();
    EXPECT_EQ(b.usable("models_at_once", now_), 1);
    EXPECT_EQ(b.ledger().holders().size(), 1U);
}

// A holder renews its lease just before a recovery record whose writer had not
// read the renewal. Returns the units granted to the writer, while the renewed
// holder uses all four.
auto units_granted_after_stale_recovery(limit_guards guards) -> int {
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

TEST(limits_recovery, rejects_a_recovery_that_missed_a_renewal) {
    EXPECT_EQ(units_granted_after_stale_recovery({}), 0);
    EXPECT_EQ(units_granted_after_stale_recovery(
                  {.lease_unchanged_ =
                       [](std::uint64_t, std::uint64_t) {
                           return true;
                       }}),
              4);
}

TEST_F(limits, gives_back_idle_units_and_restores_a_snapshot) {
    auto& a = add("a");
    acquire_units(a, 2);
    exchange_records();
    auto copy = limit_holder{"copy", {}};
    copy.restore(a.ledger(), now_);
    EXPECT_EQ(copy.ledger().granted("models_at_once"), 2);
    now_ += std::chrono::minutes{5};
    exchange_records();
    EXPECT_EQ(a.ledger().granted("models_at_once"), 0);
    // A holder without units does not renew its lease; another recovers it.
    auto& b = add("b");
    for (auto minute = 0; minute < 2; ++minute) {
        now_ += std::chrono::minutes{1};
        acquire_units(b, 1);
        exchange_records();
    }
    now_ += seconds{4};
    exchange_records();
    EXPECT_FALSE(b.ledger().holders().contains("a"));
}

// A late duplicate of an acquire record must not grant units again, and one of
// a give_back record must not remove units that the holder may be using.
TEST(limits_recovery, ignores_repeated_records) {
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

TEST_F(limits, lowered_limit_takes_effect_as_units_are_given_back) {
    auto& a = add("a");
    acquire_units(a, 4);
    exchange_records();
    const auto used = acquire_units(a, 4);
    a.define("models_at_once", {.units_ = 2});
    for (const auto permit : used) {
        a.release(permit, now_);
    }
    exchange_records();
    EXPECT_EQ(a.ledger().granted("models_at_once"), 2);
}

auto arbitrary_record() -> rc::Gen<limit_record> {
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

RC_GTEST_PROP(limit_ledger,
              grants_stay_within_limits_and_records_are_idempotent,
              (const std::vector<int>&)) {
    const auto records =
        *rc::gen::container<std::vector<limit_record>>(arbitrary_record());
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
