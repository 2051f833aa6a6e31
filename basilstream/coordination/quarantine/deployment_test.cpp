#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"

namespace basilstream::coordination {
namespace {

struct deployment_faults {
    /// Percentage of peer messages that are lost.
    std::uint64_t loss_ = 0;
    /// Whether the poison request may be sent again before the suspicion of
    /// its last crash has reached all daemons.
    bool concurrent_ = false;
    /// Whether the arbiter repeatedly leaves the member list and returns.
    bool arbiter_changes_ = false;
};

struct deployment_outcome {
    int crashed_runners_ = 0;
    int harmless_quarantined_ = 0;
    int harmless_answered_ = 0;
    int concurrent_isolated_runs_ = 0;
    // Isolated runs of harmless requests on runners that the poison request
    // crashed.
    int harmless_isolated_crashes_ = 0;
    bool violated_ = false;
};

// Simulates daemons and runners with lossy, delayed messages between the
// daemons. Request 0 (the poison request) is sent repeatedly and crashes every
// runner that executes it; harmless requests share the runners with it.
class deployment {
public:
    deployment(std::uint64_t seed, deployment_faults faults,
               quarantine_guards guards)
        : random_{seed}, faults_{faults} {
        for (auto daemon_number = 0; daemon_number < daemons_;
             ++daemon_number) {
            names_.push_back("d" + std::to_string(daemon_number));
            quarantines_.push_back(std::make_unique<quarantine>(
                quarantine_settings{}, names_.back(), guards));
        }
        for (auto& daemon_quarantine : quarantines_) {
            daemon_quarantine->set_members(names_, now_);
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
        for (auto harmless_request = 1; harmless_request <= harmless_requests_;
             ++harmless_request) {
            const auto verdict =
                quarantines_[0]->check(fingerprint_of(harmless_request), now_);
            outcome_.harmless_quarantined_ +=
                verdict == quarantine_verdict::quarantined ? 1 : 0;
        }
        outcome_.violated_ = invariant_violations() != violations;
        return outcome_;
    }

private:
    static constexpr auto daemons_ = 4;
    static constexpr auto runners_ = 8;
    static constexpr auto harmless_requests_ = 6;

    struct active_run {
        int request_;
        int daemon_;
        int runner_;
        std::string id_;
        bool isolated_;
        time_point ends_at_;
    };
    struct message {
        time_point due_;
        std::function<void()> deliver_;
    };

    static auto fingerprint_of(int request) -> fingerprint {
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
        std::erase_if(messages_, [&](message& pending) {
            if (pending.due_ > now_) {
                return false;
            }
            due.push_back(std::move(pending));
            return true;
        });
        for (const auto& due_message : due) {
            due_message.deliver_();
        }
    }
    auto index_of(const std::string& name) -> std::size_t {
        return static_cast<std::size_t>(
            std::find(names_.begin(), names_.end(), name) - names_.begin());
    }

    // Sends equal requests to the same runner, as prefix affinity does.
    auto pick_runner(int request) -> int {
        for (auto step = 0; step < runners_; ++step) {
            const auto runner = (request / 3 + step) % runners_;
            const auto excluded =
                request == 0 && runners_crashed_by_poison_.contains(runner);
            if (!excluded && now_ >= down_until_[runner]) {
                return runner;
            }
        }
        return 0;
    }

    auto send_requests(int step) -> void {
        const auto request =
            static_cast<int>(random_.below(harmless_requests_ + 1));
        const auto steps_between_repeats = faults_.concurrent_ ? 1 : 30;
        if (request != 0 || step >= next_poison_) {
            next_poison_ =
                request == 0 ? step + steps_between_repeats : next_poison_;
            start_request(request, static_cast<int>(random_.below(daemons_)));
        }
    }
    auto start_request(int request, int daemon) -> void {
        auto& local_quarantine = *quarantines_[daemon];
        const auto runner = pick_runner(request);
        const auto id = std::to_string(next_id_++);
        const auto run = fingerprint_run{fingerprint_of(request), id,
                                         runner_name(runner), "b"};
        switch (local_quarantine.check(run.fingerprint_, now_)) {
        case quarantine_verdict::clear:
            dispatch(request, daemon, runner, run, false);
            break;
        case quarantine_verdict::suspected:
            request_isolation(request, daemon, runner, run);
            break;
        case quarantine_verdict::quarantined:
            break;
        }
    }
    auto request_isolation(int request, int daemon, int runner,
                           const fingerprint_run& run) -> void {
        const auto arbiter = index_of(quarantines_[daemon]->arbiter());
        send([=, this,
              query = quarantines_[daemon]->make_isolation_request(run, now_)] {
            const auto answer =
                quarantines_[arbiter]->on_isolation_request(query, now_);
            send([=, this] {
                quarantines_[daemon]->on_isolation_answer(answer, now_);
                if (!answer.refusal_) {
                    dispatch(request, daemon, runner, run, true);
                }
            });
        });
    }
    auto dispatch(int request, int daemon, int runner,
                  const fingerprint_run& run, bool isolated) -> void {
        if (now_ < down_until_[runner]) {
            quarantines_[daemon]->drop_grant(run.request_id_);
            return;
        }
        if (!quarantines_[daemon]->on_dispatch(run, now_)) {
            return;
        }
        active_runs_.push_back({request, daemon, runner, run.request_id_,
                                isolated,
                                now_ + milliseconds{request == 0 ? 500 : 900}});
        const auto isolated_runs = std::count_if(
            active_runs_.begin(), active_runs_.end(),
            [&](const active_run& active) {
                return active.isolated_ && active.request_ == request;
            });
        outcome_.concurrent_isolated_runs_ =
            std::max(outcome_.concurrent_isolated_runs_,
                     static_cast<int>(isolated_runs));
    }

    auto end_runs() -> void {
        for (auto index = std::size_t{0}; index < active_runs_.size();
             ++index) {
            const auto ended = active_runs_[index];
            if (now_ < ended.ends_at_) {
                continue;
            }
            if (ended.request_ == 0) {
                crash_runner(ended.runner_);
                // crash_runner() removed runs; scan again from the start.
                index = static_cast<std::size_t>(-1);
            } else {
                quarantines_[ended.daemon_]->on_finish(ended.id_, true, now_);
                ++outcome_.harmless_answered_;
                active_runs_.erase(active_runs_.begin() +
                                   static_cast<std::ptrdiff_t>(index--));
            }
        }
    }
    auto crash_runner(int runner) -> void {
        ++outcome_.crashed_runners_;
        runners_crashed_by_poison_.insert(runner);
        down_until_[runner] = now_ + seconds{20};
        std::erase_if(active_runs_, [&](const active_run& active) {
            const auto harmless_isolated =
                active.request_ != 0 && active.isolated_;
            outcome_.harmless_isolated_crashes_ +=
                active.runner_ == runner && harmless_isolated ? 1 : 0;
            return active.runner_ == runner;
        });
        for (auto& daemon_quarantine : quarantines_) {
            daemon_quarantine->on_crash(runner_name(runner), now_);
        }
    }
    auto change_members(bool without_arbiter) -> void {
        auto members = names_;
        if (without_arbiter) {
            std::erase(members, quarantines_[0]->arbiter());
        }
        for (auto& daemon_quarantine : quarantines_) {
            daemon_quarantine->set_members(members, now_);
        }
    }

    auto poll() -> void {
        for (auto daemon = std::size_t{0}; daemon < quarantines_.size();
             ++daemon) {
            for (auto& event : quarantines_[daemon]->poll(now_)) {
                std::visit(
                    [&](auto& alternative) {
                        handle_event(daemon, alternative);
                    },
                    event);
            }
        }
    }
    template <class Gossip>
    auto handle_event(std::size_t from, const Gossip& gossip) -> void {
        for (auto to = std::size_t{0}; to < quarantines_.size(); ++to) {
            if (to != from) {
                send([=, this] { quarantines_[to]->merge(gossip, now_); });
            }
        }
    }
    auto handle_event(std::size_t, const quarantine_mark& mark) -> void {
        for (auto& daemon_quarantine : quarantines_) {
            messages_.push_back({now_ + milliseconds{100 + random_.below(900)},
                                 [=, this, target = daemon_quarantine.get()] {
                                     target->apply(mark, now_);
                                 }});
        }
    }
    // Not emitted while suspects are isolated.
    auto handle_event(std::size_t, const quarantine_release&) -> void {}
    auto handle_event(std::size_t from, const isolation_request& renewal)
        -> void {
        const auto arbiter = index_of(quarantines_[from]->arbiter());
        send([=, this] {
            static_cast<void>(
                quarantines_[arbiter]->on_isolation_request(renewal, now_));
        });
    }
    auto handle_event(std::size_t from, const isolation_release& release)
        -> void {
        const auto arbiter = index_of(quarantines_[from]->arbiter());
        send([=, this] {
            quarantines_[arbiter]->on_isolation_release(release, now_);
        });
    }

    seeded_random random_;
    deployment_faults faults_;
    time_point now_{};
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<quarantine>> quarantines_;
    std::vector<active_run> active_runs_;
    std::vector<message> messages_;
    std::map<int, time_point> down_until_;
    std::set<int> runners_crashed_by_poison_;
    int next_poison_ = 0;
    int next_id_ = 0;
    deployment_outcome outcome_;
};

constexpr auto seed_count = std::uint64_t{100};

// Runs each seed, passes its outcome to `check`, and prints histograms of the
// number of crashed runners and of quarantined harmless requests.
auto run_seeds(std::string_view title, deployment_faults faults,
               const std::function<void(const deployment_outcome&)>& check)
    -> void {
    auto crashed_counts = std::map<int, int>{};
    auto quarantined_counts = std::map<int, int>{};
    for (auto seed = std::uint64_t{0}; seed < seed_count; ++seed) {
        SCOPED_TRACE(seed);
        const auto outcome = deployment{seed, faults, {}}.run();
        ++crashed_counts[outcome.crashed_runners_];
        ++quarantined_counts[outcome.harmless_quarantined_];
        EXPECT_LE(outcome.concurrent_isolated_runs_, 1);
        EXPECT_FALSE(outcome.violated_);
        check(outcome);
    }
    std::cout << title << ": crashed runners (count in runs):";
    for (const auto& [count, runs] : crashed_counts) {
        std::cout << ' ' << count << " in " << runs;
    }
    std::cout << ", quarantined harmless requests (count in runs):";
    for (const auto& [count, runs] : quarantined_counts) {
        std::cout << ' ' << count << " in " << runs;
    }
    std::cout << '\n';
}

TEST(quarantine_random, sequential_repeats_crash_at_most_two_runners) {
    run_seeds("sequential repeats", {}, [](const auto& outcome) {
        EXPECT_LE(outcome.crashed_runners_, 2);
        EXPECT_EQ(outcome.harmless_quarantined_, 0);
        EXPECT_GT(outcome.harmless_answered_, 500);
    });
}

TEST(quarantine_random,
     harmless_requests_are_quarantined_only_after_isolated_crash) {
    run_seeds("concurrent repeats", {.concurrent_ = true},
              [](const auto& outcome) {
                  EXPECT_LE(outcome.crashed_runners_, 3);
                  // A harmless request may be quarantined only if it was
                  // the isolated run on a runner that the poison request
                  // crashed before the suspicion had spread.
                  EXPECT_LE(outcome.harmless_quarantined_,
                            outcome.harmless_isolated_crashes_);
              });
}

// The poison request crashes at most one runner per daemon that has not yet
// received the suspicion (4), and one in an isolated run.
TEST(quarantine_random,
     crashes_are_bounded_under_concurrency_and_message_loss) {
    const auto check_bound = [](const deployment_outcome& outcome) {
        EXPECT_LE(outcome.crashed_runners_, 5);
    };
    run_seeds("concurrent repeats, 30% of messages lost",
              {.loss_ = 30, .concurrent_ = true}, check_bound);
    run_seeds("concurrent repeats, all messages lost",
              {.loss_ = 100, .concurrent_ = true}, check_bound);
}

TEST(quarantine_random, one_isolated_run_at_a_time_across_arbiter_changes) {
    run_seeds("concurrent repeats, changing arbiter",
              {.concurrent_ = true, .arbiter_changes_ = true},
              [](const auto&) {});
}

// Returns whether the outcome of any seed has the fault.
auto any_seed_shows(deployment_faults faults, quarantine_guards guards,
                    bool (*shows_fault)(const deployment_outcome&)) -> bool {
    for (auto seed = std::uint64_t{0}; seed < seed_count; ++seed) {
        if (shows_fault(deployment{seed, faults, guards}.run())) {
            return true;
        }
    }
    return false;
}

TEST(quarantine_random, detects_each_disabled_guard) {
    const auto has_violation = [](const deployment_outcome& outcome) {
        return outcome.violated_;
    };
    EXPECT_TRUE(any_seed_shows({.concurrent_ = true},
                               {.fingerprint_busy_ =
                                    [](bool) {
                                        return false;
                                    }},
                               has_violation));
    EXPECT_TRUE(any_seed_shows({.concurrent_ = true},
                               {.runner_busy_ =
                                    [](bool) {
                                        return false;
                                    }},
                               has_violation));
    EXPECT_TRUE(any_seed_shows({.concurrent_ = true, .arbiter_changes_ = true},
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
