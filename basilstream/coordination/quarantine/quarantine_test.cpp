#include "basilstream/coordination/quarantine/quarantine.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {
namespace {

using std::chrono::minutes;

const auto poison = make_fingerprint("acme", "acme/chat", "poison");

TEST(fingerprint, depends_on_each_part_and_parses_back) {
    EXPECT_EQ(poison, make_fingerprint("acme", "acme/chat", "poison"));
    EXPECT_NE(poison, make_fingerprint("acme", "acme/chatp", "oison"));
    EXPECT_NE(poison, make_fingerprint("acm", "eacme/chat", "poison"));
    EXPECT_EQ(parse_fingerprint(poison.to_string()), poison);
    EXPECT_EQ(parse_fingerprint("xyz"), std::nullopt);
}

class quarantined : public ::testing::Test {
protected:
    quarantined() { marks_.set_members({"d1"}, time_point{}); }

    auto grant(const fingerprint& print, const std::string& id,
               const std::string& runner) -> std::optional<isolation_refusal> {
        const auto answer = marks_.on_isolation_request(
            marks_.ask({print, id, runner, "b"}, now_), now_);
        marks_.on_isolation_answer(answer, now_);
        return answer.refusal_;
    }
    auto crash(const fingerprint& print, const std::string& id,
               const std::string& runner) -> void {
        EXPECT_TRUE(marks_.on_dispatch({print, id, runner, "b"}, now_));
        marks_.on_crash(runner, now_);
    }

    quarantine marks_{{}, "d1"};
    time_point now_{seconds{100}};
};

TEST_F(quarantined, a_second_crash_marks_and_the_mark_expires) {
    crash(poison, "1", "r1");
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    // Not without a grant.
    EXPECT_FALSE(marks_.on_dispatch({poison, "2", "r2", "b"}, now_));
    EXPECT_EQ(grant(poison, "2", "r2"), std::nullopt);
    crash(poison, "2", "r2");
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::quarantined);
    const auto refusal = marks_.refusal(poison, now_);
    EXPECT_EQ(refusal.code_, error_code::quarantined);
    EXPECT_EQ(refusal.run_, run_status::not_run);
    EXPECT_EQ(refusal.retry_after_, minutes{30});
    const auto events = marks_.poll(now_);
    ASSERT_EQ(events.size(), 3U); // the mark and two suspicions
    const auto& mark = std::get<quarantine_mark>(events[0]);
    EXPECT_EQ(mark.runners_, (std::vector<std::string>{"r1", "r2"}));
    EXPECT_TRUE(mark.confirmed_);
    ASSERT_EQ(marks_.list(now_).size(), 1U);
    now_ += minutes{30};
    static_cast<void>(marks_.poll(now_));
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(grant(poison, "4", "r3"), std::nullopt);
    crash(poison, "4", "r3");
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    now_ += minutes{30};
    static_cast<void>(marks_.poll(now_));
    now_ += minutes{10}; // nobody sent it again
    static_cast<void>(marks_.poll(now_));
    EXPECT_TRUE(marks_.list(now_).empty());
}

TEST_F(quarantined, one_crash_seen_twice_counts_once) {
    crash(poison, "1", "r1");
    marks_.merge(suspicion{poison, "r1", "b", seconds{90}}, now_);
    marks_.merge(suspicion{poison, "r1", "other", seconds{1}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    now_ += seconds{20};
    marks_.merge(suspicion{poison, "r1", "next", {}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
}

TEST_F(quarantined, two_crashes_in_company_are_tried_in_isolation_later) {
    EXPECT_TRUE(marks_.on_dispatch({poison, "1", "r1", "b"}, now_));
    crash(poison, "2", "r2");
    marks_.on_crash("r1", now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    now_ += minutes{2};
    static_cast<void>(marks_.poll(now_));
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::suspected);
    EXPECT_EQ(grant(poison, "3", "r3"), std::nullopt);
    crash(poison, "3", "r3");
    now_ += minutes{29};
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
}

TEST_F(quarantined, gossip_is_repeated) {
    crash(poison, "1", "r1");
    for (auto repeat = 0; repeat < 3; ++repeat) {
        const auto events = marks_.poll(now_);
        ASSERT_EQ(events.size(), 1U);
        EXPECT_EQ(std::get<suspicion>(events[0]).age_, seconds{repeat});
        EXPECT_TRUE(marks_.poll(now_).empty());
        now_ += seconds{1};
    }
    EXPECT_TRUE(marks_.poll(now_).empty());
}

TEST_F(quarantined, a_whole_answer_clears_whatever_gossip_comes_late) {
    crash(poison, "1", "r1");
    EXPECT_EQ(grant(poison, "2", "r2"), std::nullopt);
    EXPECT_TRUE(marks_.on_dispatch({poison, "2", "r2", "b"}, now_));
    marks_.on_finish("2", true, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::clear);
    marks_.merge(suspicion{poison, "r1", "b", {}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::clear);
    const auto events = marks_.poll(now_);
    auto peer = quarantine{{}, "d2"};
    peer.merge(std::get<suspicion>(events[0]), now_);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::suspected);
    peer.merge(std::get<clearance>(events[1]), now_);
    EXPECT_EQ(peer.check(poison, now_), quarantine_verdict::clear);
}

TEST_F(quarantined, one_suspect_on_a_runner_and_one_run_of_a_suspect) {
    const auto other = make_fingerprint("acme", "acme/chat", "innocent");
    EXPECT_TRUE(marks_.on_dispatch({other, "0", "r1", "b"}, now_));
    crash(poison, "1", "r1");
    EXPECT_EQ(grant(poison, "2", "r2"), std::nullopt);
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::fingerprint_busy);
    EXPECT_EQ(grant(other, "4", "r2"), isolation_refusal::runner_busy);
    EXPECT_EQ(grant(other, "4", "r3"), std::nullopt);
    // The holder's report may be lost: the arbiter sees the crash itself.
    marks_.on_crash("r2", now_);
    EXPECT_EQ(grant(poison, "5", "r4"), isolation_refusal::fingerprint_busy);
    now_ += seconds{3};
    static_cast<void>(marks_.poll(now_));
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_EQ(marks_.check(other, now_), quarantine_verdict::suspected);
}

TEST_F(quarantined, operators_lift_and_the_log_marks) {
    marks_.apply(quarantine_mark{poison, {"r1", "r2"}}, now_);
    EXPECT_EQ(marks_.check(poison, now_), quarantine_verdict::quarantined);
    EXPECT_FALSE(marks_.on_dispatch({poison, "1", "r3", "b"}, now_));
    marks_.lift(poison, now_);
    EXPECT_TRUE(marks_.on_dispatch({poison, "1", "r3", "b"}, now_));
}

TEST_F(quarantined, a_new_arbiter_hears_of_runs_in_flight_first) {
    crash(poison, "1", "r1");
    // d2 ran a suspect under the grant of a dead arbiter; d1 takes over.
    auto holder = quarantine{{}, "d2"};
    holder.set_members({"d3"}, now_);
    holder.on_isolation_answer({.request_id_ = "2"}, now_);
    holder.merge(suspicion{poison, "r1", "b", {}}, now_);
    EXPECT_TRUE(holder.on_dispatch({poison, "2", "r2", "b"}, now_));
    marks_.set_members({"d3"}, now_);
    marks_.set_members({"d1"}, now_);
    holder.set_members({"d1"}, now_);
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::taking_over);
    const auto events = holder.poll(now_);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(
        marks_
            .on_isolation_request(std::get<isolation_request>(events[0]), now_)
            .refusal_,
        std::nullopt);
    now_ += seconds{12};
    EXPECT_EQ(grant(poison, "3", "r3"), isolation_refusal::fingerprint_busy);
}

TEST_F(quarantined, suspicions_are_bounded) {
    auto small = quarantine{{.capacity_ = 10}, "d1"};
    for (auto each = std::uint64_t{0}; each < 100; ++each) {
        small.merge(suspicion{{each, each}, "r", "b", {}}, now_);
    }
    EXPECT_EQ(small.list(now_).size(), 10U);
}

struct deployment_faults {
    /// Messages lost, in a hundred.
    std::uint64_t loss_ = 0;
    /// Whether a repeat may come before the news of the last crash.
    bool concurrent_ = false;
    /// Whether members see the arbiter leave and come back.
    bool arbiter_changes_ = false;
};

struct deployment_outcome {
    int poisoned_runners_ = 0;
    int innocents_quarantined_ = 0;
    int innocents_answered_ = 0;
    int concurrent_isolated_runs_ = 0;
    // Isolated runs of innocents on a runner that the poison crashed.
    int isolated_victims_ = 0;
    bool violated_ = false;
};

// Daemons with lossy and delayed peer messages before runners. One request
// crashes each runner it runs on and is sent again and again; others share
// the runners with it.
class deployment {
public:
    deployment(std::uint64_t seed, deployment_faults faults,
               quarantine_guards guards)
        : random_{seed}, faults_{faults} {
        for (auto each = 0; each < daemons; ++each) {
            names_.push_back("d" + std::to_string(each));
            marks_.push_back(std::make_unique<quarantine>(
                quarantine_settings{}, names_.back(), guards));
        }
        for (auto& each : marks_) {
            each->set_members(names_, now_);
        }
        now_ += seconds{60};
    }

    auto run() -> deployment_outcome {
        const auto violations = invariant_violations();
        for (auto step = 0; step < 3000; ++step) {
            now_ += milliseconds{100};
            deliver();
            end_runs();
            if (faults_.arbiter_changes_ && step % 150 == 50) {
                change_members(step % 300 == 50);
            }
            send_requests(step);
            poll();
        }
        for (auto each = 1; each <= innocents; ++each) {
            const auto verdict = marks_[0]->check(print_of(each), now_);
            outcome_.innocents_quarantined_ +=
                verdict == quarantine_verdict::quarantined ? 1 : 0;
        }
        outcome_.violated_ = invariant_violations() != violations;
        return outcome_;
    }

private:
    static constexpr auto daemons = 4;
    static constexpr auto runners = 8;
    static constexpr auto innocents = 6;

    struct flight {
        int request_;
        int daemon_;
        int runner_;
        std::string id_;
        bool isolated_;
        time_point until_;
    };
    struct message {
        time_point due_;
        std::function<void()> deliver_;
    };

    static auto print_of(int request) -> fingerprint {
        return make_fingerprint("acme", "m", std::to_string(request));
    }
    static auto runner_name(int runner) -> std::string {
        return "r" + std::to_string(runner);
    }

    auto send(std::function<void()> deliver) -> void {
        if (random_.below(100) >= faults_.loss_) {
            messages_.push_back({now_ + milliseconds{50 + random_.below(400)},
                                 std::move(deliver)});
        }
    }
    auto deliver() -> void {
        auto due = std::vector<message>{};
        std::erase_if(messages_, [&](message& each) {
            if (each.due_ > now_) {
                return false;
            }
            due.push_back(std::move(each));
            return true;
        });
        for (const auto& each : due) {
            each.deliver_();
        }
    }
    auto index_of(const std::string& name) -> std::size_t {
        return static_cast<std::size_t>(
            std::find(names_.begin(), names_.end(), name) - names_.begin());
    }

    // Identical requests meet on one runner, as prefix affinity has it.
    auto pick_runner(int request) -> int {
        for (auto step = 0; step < runners; ++step) {
            const auto runner = (request / 3 + step) % runners;
            const auto excluded = request == 0 && poisoned_.contains(runner);
            if (!excluded && now_ >= down_until_[runner]) {
                return runner;
            }
        }
        return 0;
    }

    auto send_requests(int step) -> void {
        const auto request = static_cast<int>(random_.below(innocents + 1));
        const auto repeats = faults_.concurrent_ ? 1 : 30;
        if (request != 0 || step >= next_poison_) {
            next_poison_ = request == 0 ? step + repeats : next_poison_;
            start(request, static_cast<int>(random_.below(daemons)));
        }
    }
    auto start(int request, int daemon) -> void {
        auto& marks = *marks_[daemon];
        const auto runner = pick_runner(request);
        const auto id = std::to_string(next_id_++);
        const auto run =
            fingerprint_run{print_of(request), id, runner_name(runner), "b"};
        switch (marks.check(run.fingerprint_, now_)) {
        case quarantine_verdict::clear:
            dispatch(request, daemon, runner, run, false);
            break;
        case quarantine_verdict::suspected:
            ask(request, daemon, runner, run);
            break;
        case quarantine_verdict::quarantined:
            break;
        }
    }
    auto ask(int request, int daemon, int runner, const fingerprint_run& run)
        -> void {
        const auto arbiter = index_of(marks_[daemon]->arbiter());
        send([=, this, question = marks_[daemon]->ask(run, now_)] {
            const auto answer =
                marks_[arbiter]->on_isolation_request(question, now_);
            send([=, this] {
                marks_[daemon]->on_isolation_answer(answer, now_);
                if (!answer.refusal_) {
                    dispatch(request, daemon, runner, run, true);
                }
            });
        });
    }
    auto dispatch(int request, int daemon, int runner,
                  const fingerprint_run& run, bool isolated) -> void {
        if (now_ < down_until_[runner]) {
            marks_[daemon]->drop_grant(run.request_id_);
            return;
        }
        if (!marks_[daemon]->on_dispatch(run, now_)) {
            return;
        }
        flights_.push_back({request, daemon, runner, run.request_id_, isolated,
                            now_ + milliseconds{request == 0 ? 500 : 900}});
        const auto isolated_runs = std::count_if(
            flights_.begin(), flights_.end(), [&](const flight& each) {
                return each.isolated_ && each.request_ == request;
            });
        outcome_.concurrent_isolated_runs_ =
            std::max(outcome_.concurrent_isolated_runs_,
                     static_cast<int>(isolated_runs));
    }

    auto end_runs() -> void {
        for (auto index = std::size_t{0}; index < flights_.size(); ++index) {
            const auto ended = flights_[index];
            if (now_ < ended.until_) {
                continue;
            }
            if (ended.request_ == 0) {
                crash(ended.runner_);
                index = static_cast<std::size_t>(-1); // the list has changed
            } else {
                marks_[ended.daemon_]->on_finish(ended.id_, true, now_);
                ++outcome_.innocents_answered_;
                flights_.erase(flights_.begin() +
                               static_cast<std::ptrdiff_t>(index--));
            }
        }
    }
    auto crash(int runner) -> void {
        ++outcome_.poisoned_runners_;
        poisoned_.insert(runner);
        down_until_[runner] = now_ + seconds{20};
        std::erase_if(flights_, [&](const flight& each) {
            const auto victim = each.request_ != 0 && each.isolated_;
            outcome_.isolated_victims_ +=
                each.runner_ == runner && victim ? 1 : 0;
            return each.runner_ == runner;
        });
        for (auto& each : marks_) {
            each->on_crash(runner_name(runner), now_);
        }
    }
    auto change_members(bool without) -> void {
        auto members = names_;
        if (without) {
            std::erase(members, marks_[0]->arbiter());
        }
        for (auto& each : marks_) {
            each->set_members(members, now_);
        }
    }

    auto poll() -> void {
        for (auto daemon = std::size_t{0}; daemon < marks_.size(); ++daemon) {
            for (auto& event : marks_[daemon]->poll(now_)) {
                std::visit([&](auto& each) { carry_out(daemon, each); }, event);
            }
        }
    }
    template <class Gossip>
    auto carry_out(std::size_t from, const Gossip& gossip) -> void {
        for (auto to = std::size_t{0}; to < marks_.size(); ++to) {
            if (to != from) {
                send([=, this] { marks_[to]->merge(gossip, now_); });
            }
        }
    }
    auto carry_out(std::size_t, const quarantine_mark& mark) -> void {
        for (auto& each : marks_) {
            messages_.push_back({now_ + milliseconds{100 + random_.below(900)},
                                 [=, this, marks = each.get()] {
                                     marks->apply(mark, now_);
                                 }});
        }
    }
    auto carry_out(std::size_t from, const isolation_request& renewal) -> void {
        const auto arbiter = index_of(marks_[from]->arbiter());
        send([=, this] {
            static_cast<void>(
                marks_[arbiter]->on_isolation_request(renewal, now_));
        });
    }
    auto carry_out(std::size_t from, const isolation_release& release) -> void {
        const auto arbiter = index_of(marks_[from]->arbiter());
        send([=, this] {
            marks_[arbiter]->on_isolation_release(release, now_);
        });
    }

    seeded_random random_;
    deployment_faults faults_;
    time_point now_{};
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<quarantine>> marks_;
    std::vector<flight> flights_;
    std::vector<message> messages_;
    std::map<int, time_point> down_until_;
    std::set<int> poisoned_;
    int next_poison_ = 0;
    int next_id_ = 0;
    deployment_outcome outcome_;
};

TEST(quarantine_random, two_runners_fall_in_the_common_case) {
    for (auto seed = std::uint64_t{0}; seed < 100; ++seed) {
        const auto outcome = deployment{seed, {}, {}}.run();
        ASSERT_LE(outcome.poisoned_runners_, 2) << seed;
        ASSERT_EQ(outcome.innocents_quarantined_, 0) << seed;
        ASSERT_LE(outcome.concurrent_isolated_runs_, 1) << seed;
        ASSERT_GT(outcome.innocents_answered_, 500) << seed;
        ASSERT_FALSE(outcome.violated_) << seed;
    }
}

TEST(quarantine_random, concurrent_repeats_lock_no_innocent_out_for_long) {
    for (auto seed = std::uint64_t{0}; seed < 100; ++seed) {
        const auto outcome = deployment{seed, {.concurrent_ = true}, {}}.run();
        ASSERT_LE(outcome.poisoned_runners_, 3) << seed;
        // Only one that was alone with the poison before the news was out.
        ASSERT_LE(outcome.innocents_quarantined_, outcome.isolated_victims_)
            << seed;
        ASSERT_FALSE(outcome.violated_) << seed;
    }
}

TEST(quarantine_random, the_bound_under_concurrency_and_loss) {
    for (auto seed = std::uint64_t{0}; seed < 100; ++seed) {
        const auto outcome =
            deployment{seed, {.loss_ = 30, .concurrent_ = true}, {}}.run();
        // One for each daemon that has not heard, and one isolated.
        ASSERT_LE(outcome.poisoned_runners_, 5) << seed;
        ASSERT_FALSE(outcome.violated_) << seed;
    }
}

TEST(quarantine_random, one_isolated_run_across_changes_of_the_arbiter) {
    for (auto seed = std::uint64_t{0}; seed < 100; ++seed) {
        const auto outcome = deployment{
            seed,
            {.concurrent_ = true, .arbiter_changes_ = true},
            {}}.run();
        ASSERT_LE(outcome.concurrent_isolated_runs_, 1) << seed;
        ASSERT_FALSE(outcome.violated_) << seed;
    }
}

// Runs seeds until one shows the fault.
auto any_seed(deployment_faults faults, quarantine_guards guards,
              bool (*fault)(const deployment_outcome&)) -> bool {
    for (auto seed = std::uint64_t{0}; seed < 100; ++seed) {
        if (fault(deployment{seed, faults, guards}.run())) {
            return true;
        }
    }
    return false;
}

TEST(quarantine_random, finds_each_guard_switched_off) {
    const auto violated = [](const deployment_outcome& outcome) {
        return outcome.violated_;
    };
    EXPECT_TRUE(any_seed({.concurrent_ = true},
                         {.fingerprint_busy_ =
                              [](bool) {
                                  return false;
                              }},
                         violated));
    EXPECT_TRUE(any_seed({.concurrent_ = true},
                         {.runner_busy_ =
                              [](bool) {
                                  return false;
                              }},
                         violated));
    EXPECT_TRUE(any_seed({.concurrent_ = true, .arbiter_changes_ = true},
                         {.taking_over_ =
                              [](time_point, time_point) {
                                  return false;
                              }},
                         [](const deployment_outcome& outcome) {
                             return outcome.concurrent_isolated_runs_ > 1;
                         }));
}

} // namespace
} // namespace basilstream::coordination
