#include "basilstream/coordination/admission/admission.hpp"

#include <map>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {
namespace {

auto runner(const std::string& name, const std::string& model) -> runner_info {
    return {
        .name_ = name,
        .address_ = name,
        .zone_ = "a",
        .slots_ = 2,
        .residents_ = {{.model_ = model, .version_ = "v", .adapters_ = {}}}};
}

class admission_fixture : public ::testing::Test {
protected:
    explicit admission_fixture(admission_settings settings =
                                   {.queue_capacity_ = 4, .initial_share_ = 1})
        : admission_{std::move(settings), routes_, random_} {
        routes_.update_runner(runner("r1", "m"));
        admission_.set_runner("r1", 2);
    }
    auto submit(const std::string& id, admission_request request = {})
        -> admission_outcome {
        request.request_id_ = id;
        request.model_ = "m";
        last_ = admission_.submit(std::move(request), now_);
        return last_.outcome_;
    }
    auto release(const std::string& id,
                 attempt_outcome outcome = attempt_outcome::completed)
        -> std::vector<admission_event> {
        admission_.on_release({.request_id_ = id,
                               .outcome_ = outcome,
                               .first_token_ = milliseconds{100},
                               .token_interval_ = milliseconds{10},
                               .tokens_ = 90},
                              now_);
        return admission_.poll(now_);
    }

    seeded_random random_{1};
    router routes_{{.zone_ = "a"}, random_};
    admission admission_;
    time_point now_{seconds{100}};
    admission_event last_;
};

TEST_F(admission_fixture, admits_up_to_limit_then_dequeues_by_priority) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    EXPECT_EQ(submit("3"), admission_outcome::queued);
    EXPECT_EQ(submit("4", {.deadline_ = now_ + seconds{50}}),
              admission_outcome::queued);
    EXPECT_EQ(submit("5", {.priority_ = 1}), admission_outcome::queued);
    EXPECT_EQ(submit("3"), admission_outcome::refused);
    EXPECT_EQ(last_.error_->code_, error_code::conflict);
    for (const auto& [ended, next] : std::map<std::string, std::string>{
             {"1", "5"}, {"2", "4"}, {"5", "3"}}) {
        const auto events = release(ended);
        ASSERT_EQ(events.size(), 1U);
        EXPECT_EQ(events[0].request_id_, next);
        EXPECT_EQ(events[0].outcome_, admission_outcome::admitted);
    }
}

TEST_F(admission_fixture, refuses_request_that_cannot_meet_its_deadline) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    release("1");
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    // 100 ms to the first token and 90 tokens of about 20 ms.
    EXPECT_EQ(submit("3", {.deadline_ = now_ + milliseconds{500}}),
              admission_outcome::refused);
    EXPECT_EQ(last_.error_->code_, error_code::deadline_unreachable);
    EXPECT_EQ(last_.error_->run_, run_status::not_run);
    EXPECT_GE(last_.error_->retry_after_, milliseconds{100});
    EXPECT_EQ(submit("4", {.deadline_ = now_ + seconds{5}}),
              admission_outcome::admitted);
    // Only the first token has a deadline, which the prediction meets.
    EXPECT_EQ(submit("5", {.first_token_deadline_ = now_ + seconds{3}}),
              admission_outcome::queued);
}

TEST_F(admission_fixture, refuses_queued_request_after_its_latest_start) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    EXPECT_EQ(submit("3", {.deadline_ = now_ + seconds{1}}),
              admission_outcome::queued);
    now_ = *admission_.next_wakeup();
    EXPECT_LT(now_, time_point{seconds{101}});
    const auto events = admission_.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].error_->code_, error_code::deadline_unreachable);
    EXPECT_EQ(admission_.next_wakeup(), std::nullopt);
}

TEST_F(admission_fixture, full_queue_evicts_from_organisation_over_its_share) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    for (const auto* id : {"a1", "a2", "a3", "a4"}) {
        EXPECT_EQ(submit(id, {.organisation_ = "a"}),
                  admission_outcome::queued);
    }
    EXPECT_EQ(submit("a5", {.organisation_ = "a"}), admission_outcome::refused);
    EXPECT_EQ(last_.error_->code_, error_code::overloaded);
    EXPECT_EQ(submit("b1", {.organisation_ = "b"}), admission_outcome::queued);
    auto events = admission_.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].request_id_, "a4");
    EXPECT_EQ(release("1")[0].request_id_, "a1");
    EXPECT_EQ(release("2")[0].request_id_, "b1");
}

// A runner from the VM list counts as having one slot until its first report.
// Guards against a limit that grows from this provisional value by one at a
// time.
TEST(concurrency_limit, slots_set_later_give_same_limit_as_initial_slots) {
    const auto settings = admission_settings{};
    auto limit = concurrency_limit{settings, 1};
    limit.set_slots(4000);
    EXPECT_EQ(limit.value(), (concurrency_limit{settings, 4000}.value()));
    limit.on_congestion(time_point{seconds{1}});
    const auto reduced_limit = limit.value();
    limit.set_slots(1000);
    limit.set_slots(4000);
    EXPECT_LE(limit.value(), reduced_limit);
}

TEST_F(admission_fixture, limit_adapts_to_attempt_outcomes_and_reports) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    release("1", attempt_outcome::no_slot);
    EXPECT_EQ(admission_.limit_of("r1"), 1);
    EXPECT_EQ(submit("3"), admission_outcome::queued);
    EXPECT_EQ(release("2")[0].request_id_, "3");
    for (auto id = 10; id < 13; ++id) {
        submit(std::to_string(id));
        release(id == 10 ? "3" : std::to_string(id - 1));
    }
    EXPECT_EQ(admission_.limit_of("r1"), 2);
    now_ += seconds{1};
    admission_.on_runner_waiting("r1", 3, now_);
    EXPECT_EQ(admission_.limit_of("r1"), 1);
}

TEST_F(admission_fixture, pauses_runner_without_free_slots) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    release("1", attempt_outcome::no_slot);
    // The rejected attempt has not run, so its id may be submitted again.
    EXPECT_EQ(submit("1"), admission_outcome::queued);
    const auto wakeup = *admission_.next_wakeup();
    EXPECT_GE(wakeup, now_ + milliseconds{50});
    EXPECT_LE(wakeup, now_ + milliseconds{150});
    now_ = wakeup;
    const auto events = admission_.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].outcome_, admission_outcome::admitted);
    EXPECT_EQ(admission_.next_wakeup(), std::nullopt);
}

TEST_F(admission_fixture, refuses_queued_requests_when_runner_is_removed) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    EXPECT_EQ(submit("3"), admission_outcome::queued);
    routes_.remove_runner("r1");
    admission_.remove_runner("r1");
    const auto events = admission_.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].error_->run_, run_status::not_run);
    EXPECT_EQ(release("1").size(), 0U);
}

TEST_F(admission_fixture, refuses_queued_requests_when_runner_is_leaving) {
    EXPECT_EQ(submit("1"), admission_outcome::admitted);
    EXPECT_EQ(submit("2"), admission_outcome::admitted);
    EXPECT_EQ(submit("3"), admission_outcome::queued);
    routes_.mark_leaving("r1");
    admission_.on_replicas_changed("m");
    ASSERT_EQ(admission_.poll(now_).size(), 1U);
}

// One organisation of weight 3 and one of weight 1 keep the queue full.
TEST(admission_fairness, dispatches_in_proportion_to_weights) {
    auto random = seeded_random{1};
    auto routes = router{{.zone_ = "a"}, random};
    auto controller = admission{
        {.weights_ = {{"a", 3}}, .initial_share_ = 1}, routes, random};
    routes.update_runner(runner("r1", "m"));
    controller.set_runner("r1", 1);
    auto admitted = std::map<std::string, int>{};
    auto running = std::string{};
    for (auto turn = 0; turn < 400; ++turn) {
        const auto now = time_point{milliseconds{turn}};
        for (const auto* organisation : {"a", "b"}) {
            auto event = controller.submit(
                {.request_id_ = organisation + std::to_string(turn),
                 .organisation_ = organisation,
                 .model_ = "m"},
                now);
            if (event.outcome_ == admission_outcome::admitted) {
                running = event.request_id_;
            }
        }
        controller.on_release({.request_id_ = running}, now);
        for (const auto& event : controller.poll(now)) {
            running = event.request_id_;
            ++admitted[running.substr(0, 1)];
        }
    }
    EXPECT_NEAR(admitted["a"], 300, 3);
    EXPECT_NEAR(admitted["b"], 100, 3);
}

// State of a request as seen by the user of the class.
enum class request_phase { open, running, ended };

class random_workload {
public:
    random_workload(std::uint64_t seed, admission_guards guards)
        : random_{seed}, routes_{{.zone_ = "a"}, random_},
          admission_{{.queue_capacity_ = 8, .weights_ = {{"0", 2}}},
                     routes_,
                     random_,
                     guards} {}

    auto violates_invariants() -> bool {
        const auto violations = invariant_violations();
        for (auto step = 0; step < 1500 && !has_fault_; ++step) {
            now_ += milliseconds{random_.below(60)};
            apply_random_operation();
            check_events(admission_.poll(now_));
            has_fault_ = has_fault_ || admission_.queue_size() > 8;
        }
        drain();
        return has_fault_ || invariant_violations() != violations;
    }

private:
    auto apply_random_operation() -> void {
        const auto name = "r" + std::to_string(random_.below(3));
        const auto id = std::to_string(random_.below(400));
        switch (random_.below(12)) {
        case 0:
            routes_.update_runner(
                runner(name, "m" + std::to_string(random_.below(2))));
            admission_.set_runner(name, 2);
            break;
        case 1:
            if (random_.below(8) == 0) {
                routes_.remove_runner(name);
                admission_.remove_runner(name);
            }
            break;
        case 2:
            if (admission_.cancel(id)) {
                request_phases_[id] = request_phase::ended;
            }
            break;
        case 3:
        case 4:
            release(id);
            break;
        default:
            submit(id);
        }
    }
    auto submit(const std::string& id) -> void {
        const auto entry = request_phases_.find(id);
        if (entry != request_phases_.end() &&
            entry->second == request_phase::ended) {
            return;
        }
        const auto repeat = entry != request_phases_.end();
        const auto event = admission_.submit(
            {.request_id_ = id,
             .organisation_ = std::to_string(random_.below(3)),
             .model_ = "m" + std::to_string(random_.below(2)),
             .priority_ = static_cast<int>(random_.below(3)),
             .deadline_ = now_ + milliseconds{random_.below(2000)}},
            now_);
        if (repeat) {
            has_fault_ = has_fault_ || !event.error_ ||
                         event.error_->code_ != error_code::conflict;
            return;
        }
        request_phases_[id] = request_phase::open;
        if (event.outcome_ != admission_outcome::queued) {
            check_events({event});
        }
    }
    auto release(const std::string& id) -> void {
        const auto found = request_phases_.find(id);
        if (found != request_phases_.end() &&
            found->second == request_phase::running) {
            found->second = request_phase::ended;
            const auto slow = random_.below(10) == 0;
            admission_.on_release(
                {.request_id_ = id,
                 .outcome_ = static_cast<attempt_outcome>(random_.below(5)),
                 .first_token_ = milliseconds{slow ? 2000 : 50}},
                now_);
        }
    }
    auto check_events(const std::vector<admission_event>& events) -> void {
        for (const auto& event : events) {
            auto& phase = request_phases_[event.request_id_];
            has_fault_ = has_fault_ || phase != request_phase::open;
            const auto admitted = event.outcome_ == admission_outcome::admitted;
            has_fault_ = has_fault_ || (!admitted && event.error_->run_ !=
                                                         run_status::not_run);
            phase = admitted ? request_phase::running : request_phase::ended;
        }
    }
    // Checks that every request got a terminal outcome and that none is left
    // queued or running.
    auto drain() -> void {
        now_ += seconds{10};
        check_events(admission_.poll(now_));
        for (auto& [id, phase] : request_phases_) {
            has_fault_ = has_fault_ || phase == request_phase::open;
            release(id);
        }
        has_fault_ = has_fault_ || admission_.queue_size() != 0 ||
                     admission_.in_flight() != 0;
    }

    seeded_random random_;
    router routes_;
    admission admission_;
    time_point now_{seconds{1}};
    std::map<std::string, request_phase> request_phases_;
    bool has_fault_ = false;
};

TEST(admission_random, gives_each_request_exactly_one_terminal_outcome) {
    for (auto seed = std::uint64_t{0}; seed < 200; ++seed) {
        ASSERT_FALSE((random_workload{seed, {}}.violates_invariants())) << seed;
    }
}

TEST(admission_random, detects_each_disabled_guard) {
    EXPECT_TRUE((random_workload{
        1, {.is_duplicate_ = [](bool) {
            return false;
        }}}.violates_invariants()));
    EXPECT_TRUE((random_workload{
        1, {.exceeds_capacity_ = [](std::size_t, std::size_t) {
            return false;
        }}}.violates_invariants()));
    EXPECT_TRUE((random_workload{
        1, {.is_too_late_ = [](time_point, time_point) {
            return false;
        }}}.violates_invariants()));
}

} // namespace
} // namespace basilstream::coordination
