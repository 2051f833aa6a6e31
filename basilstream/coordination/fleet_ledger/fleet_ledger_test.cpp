#include "basilstream/coordination/fleet_ledger/fleet_ledger.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

const auto start = time_point{seconds{1000}};

auto server(std::int64_t started = 1) -> backend_server {
    auto server = backend_server{};
    server.id_ = "r";
    server.service_ = "chat";
    server.address_ = "10.0.0.1:80";
    server.started_at_ = started;
    return server;
}

auto report_of(std::uint64_t orders, std::vector<backend_model> models,
               bool open = false) -> fleet_report {
    return {std::move(models), {}, open, orders};
}

auto load(std::string model, std::string adapter = {}) -> fleet_step {
    const auto time = milliseconds{adapter.empty() ? 2000 : 40};
    return {.runner_ = "r",
            .is_load_ = true,
            .model_ = std::move(model),
            .adapter_ = std::move(adapter),
            .expected_load_time_ = time};
}

auto unload(std::string model, std::string adapter = {}) -> fleet_step {
    auto step = load(std::move(model), std::move(adapter));
    step.is_load_ = false;
    return step;
}

// Returns a ledger with a report of runner r, which holds m0 with a0 and has
// accepted three orders.
auto ledger_with_report() -> fleet_ledger {
    auto ledger = fleet_ledger{};
    ledger.set_runner(server());
    EXPECT_EQ(ledger.reports_due(start).size(), 1U);
    ledger.on_report("r", report_of(3, {{"m0", 1, {"a0"}}}), start);
    return ledger;
}

auto runner(const fleet_ledger& ledger) -> fleet_runner {
    return ledger.runners_of("chat", start).at(0);
}

TEST(fleet_ledger, blocks_orders_until_first_report) {
    auto ledger = fleet_ledger{};
    ledger.set_runner(server());
    EXPECT_TRUE(runner(ledger).models_blocked_);
    EXPECT_FALSE(ledger.begin_order(load("m1"), start).has_value());
    EXPECT_EQ(ledger.reports_due(start).size(), 1U);
    EXPECT_TRUE(ledger.reports_due(start).empty());
}

TEST(fleet_ledger, counts_accepted_orders) {
    auto ledger = ledger_with_report();
    EXPECT_EQ(ledger.begin_order(load("m1"), start), 3U);
    EXPECT_FALSE(ledger.begin_order(load("m2"), start).has_value());
    ledger.on_answer("r", order_result::accepted, start);
    EXPECT_TRUE(runner(ledger).models_blocked_);
    // A runner answers orders for adapters with 409 until the model is loaded.
    EXPECT_TRUE(runner(ledger).adapters_blocked_);
    EXPECT_EQ(ledger.begin_order(load("m0", "a1"), start), 4U);
    ledger.on_answer("r", order_result::accepted, start);
    EXPECT_EQ(ledger.begin_order(load("m0", "a2"), start), 5U);
}

TEST(fleet_ledger, unanswered_order_shows_in_runner_state) {
    auto ledger = ledger_with_report();
    (void)ledger.begin_order(unload("m0"), start);
    EXPECT_EQ(runner(ledger).find("m0")->state_, load_state::unloading);
}

// The answer to an order is lost. Whether the runner accepted the order is
// unknown, and it may still execute it seconds later.
TEST(fleet_ledger, lost_answer_blocks_orders_until_next_report) {
    auto ledger = ledger_with_report();
    (void)ledger.begin_order(load("m1"), start);
    ledger.on_answer("r", order_result::unknown, start);
    EXPECT_FALSE(ledger.begin_order(load("m1"), start).has_value());
    EXPECT_TRUE(ledger.reports_due(start).empty());
    const auto later = start + seconds{1};
    ASSERT_EQ(ledger.reports_due(later).size(), 1U);
    ledger.on_report("r", report_of(3, {{"m0", 1, {}}}), later);
    // Both orders carry the same number, so the runner accepts only one.
    EXPECT_EQ(ledger.begin_order(load("m1"), later), 3U);
}

TEST(fleet_ledger, waits_for_model_order_of_previous_owner) {
    auto ledger = fleet_ledger{};
    ledger.set_runner(server());
    (void)ledger.reports_due(start);
    ledger.on_report("r", report_of(4, {{"m0", 1, {}}}, true), start);
    EXPECT_TRUE(runner(ledger).models_blocked_);
    const auto later = start + seconds{1};
    ASSERT_EQ(ledger.reports_due(later).size(), 1U);
    ledger.on_report("r", report_of(4, {{"m0", 1, {}}, {"m5", 1, {}}}), later);
    EXPECT_FALSE(runner(ledger).models_blocked_);
    EXPECT_NE(runner(ledger).find("m5"), nullptr);
}

TEST(fleet_ledger, ignores_stale_report) {
    auto ledger = ledger_with_report();
    (void)ledger.begin_order(load("m1"), start);
    ledger.on_answer("r", order_result::accepted, start);
    const auto due = start + milliseconds{2000};
    ASSERT_EQ(ledger.reports_due(due).size(), 1U);
    ledger.on_report("r", report_of(3, {{"m0", 1, {}}}), due);
    EXPECT_EQ(runner(ledger).find("m1")->state_, load_state::loading);
    const auto later = due + milliseconds{500};
    ASSERT_EQ(ledger.reports_due(later).size(), 1U);
    ledger.on_report("r", report_of(4, {{"m0", 1, {}}, {"m1", 1, {}}}), later);
    EXPECT_EQ(runner(ledger).find("m1")->state_, load_state::ready);
    auto ready = false;
    for (const auto& change : ledger.take_changes(later)) {
        ready = ready ||
                (change.model_ == "m1" && change.state_ == load_state::ready);
    }
    EXPECT_TRUE(ready);
}

TEST(fleet_ledger, detects_restart_by_lower_order_count) {
    auto ledger = ledger_with_report();
    (void)ledger.begin_order(load("m1"), start);
    ledger.on_answer("r", order_result::accepted, start);
    auto now = start;
    for (auto iteration = 0; iteration < 20; ++iteration) {
        now += milliseconds{500};
        if (!ledger.reports_due(now).empty()) {
            ledger.on_report("r", report_of(0, {}), now);
        }
    }
    EXPECT_TRUE(runner(ledger).models_.empty());
    EXPECT_EQ(ledger.begin_order(load("m1"), now), 0U);
}

TEST(fleet_ledger, resets_state_when_start_time_changes) {
    auto ledger = ledger_with_report();
    ledger.set_runner(server(2));
    EXPECT_TRUE(runner(ledger).models_blocked_);
    EXPECT_TRUE(runner(ledger).models_.empty());
    EXPECT_EQ(ledger.reports_due(start).size(), 1U);
}

TEST(fleet_ledger, adapter_becomes_ready_after_its_load_time) {
    auto ledger = ledger_with_report();
    (void)ledger.begin_order(load("m0", "a1"), start);
    ledger.on_answer("r", order_result::accepted, start);
    (void)ledger.take_changes(start);
    EXPECT_TRUE(ledger.take_changes(start + milliseconds{10}).empty());
    const auto changes = ledger.take_changes(start + seconds{3});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].adapter_, "a1");
    EXPECT_EQ(changes[0].state_, load_state::ready);
}

TEST(fleet_ledger, unused_adapter_is_unloaded_immediately) {
    auto ledger = ledger_with_report();
    EXPECT_EQ(ledger.begin_order(unload("m0", "a0"), start), 3U);
    ledger.on_answer("r", order_result::already_done, start);
    EXPECT_TRUE(runner(ledger).find("m0")->adapters_.empty());
    EXPECT_EQ(ledger.begin_order(load("m0", "a1"), start), 4U);
}

TEST(fleet_ledger, reset_blocks_orders_until_next_report) {
    auto ledger = ledger_with_report();
    ledger.reset();
    EXPECT_FALSE(ledger.begin_order(load("m1"), start).has_value());
    EXPECT_EQ(ledger.reports_due(start).size(), 1U);
}

// An order that the runner's rate limit held back was repeated at each plan.
TEST(fleet_ledger, postponed_order_is_not_repeated_before_its_time) {
    auto ledger = ledger_with_report();
    const auto step =
        fleet_step{.runner_ = "r", .is_load_ = false, .model_ = "m0"};
    ASSERT_TRUE(ledger.begin_order(step, start));
    ledger.on_order_postponed("r", start + seconds{1});
    EXPECT_TRUE(ledger.runners_of("chat", start).at(0).models_blocked_);
    EXPECT_FALSE(ledger.begin_order(step, start + milliseconds{999}));
    EXPECT_FALSE(
        ledger.runners_of("chat", start + seconds{1}).at(0).models_blocked_);
    EXPECT_TRUE(ledger.begin_order(step, start + seconds{1}));
}

} // namespace
} // namespace basilstream::coordination
