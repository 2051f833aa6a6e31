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
        for (auto each = 0; each < daemons_; ++each) {
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
        for (auto each = 1; each <= innocents_; ++each) {
            const auto verdict = marks_[0]->check(print_of(each), now_);
            outcome_.innocents_quarantined_ +=
                verdict == quarantine_verdict::quarantined ? 1 : 0;
        }
        outcome_.violated_ = invariant_violations() != violations;
        return outcome_;
    }

private:
    static constexpr auto daemons_ = 4;
    static constexpr auto runners_ = 8;
    static constexpr auto innocents_ = 6;

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
        for (auto step = 0; step < runners_; ++step) {
            const auto runner = (request / 3 + step) % runners_;
            const auto excluded = request == 0 && poisoned_.contains(runner);
            if (!excluded && now_ >= down_until_[runner]) {
                return runner;
            }
        }
        return 0;
    }

    auto send_requests(int step) -> void {
        const auto request = static_cast<int>(random_.below(innocents_ + 1));
        const auto repeats = faults_.concurrent_ ? 1 : 30;
        if (request != 0 || step >= next_poison_) {
            next_poison_ = request == 0 ? step + repeats : next_poison_;
            start(request, static_cast<int>(random_.below(daemons_)));
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

constexpr auto seeds = std::uint64_t{100};

// Runs each seed, gives its outcome to `check`, and prints how many runners
// fell and innocents were marked in how many runs.
auto run_seeds(std::string_view title, deployment_faults faults,
               const std::function<void(const deployment_outcome&)>& check)
    -> void {
    auto fallen = std::map<int, int>{};
    auto marked = std::map<int, int>{};
    for (auto seed = std::uint64_t{0}; seed < seeds; ++seed) {
        SCOPED_TRACE(seed);
        const auto outcome = deployment{seed, faults, {}}.run();
        ++fallen[outcome.poisoned_runners_];
        ++marked[outcome.innocents_quarantined_];
        EXPECT_LE(outcome.concurrent_isolated_runs_, 1);
        EXPECT_FALSE(outcome.violated_);
        check(outcome);
    }
    std::cout << title << ": runners_ fallen";
    for (const auto& [count, runs] : fallen) {
        std::cout << ' ' << count << " in " << runs;
    }
    std::cout << ", innocents_ marked";
    for (const auto& [count, runs] : marked) {
        std::cout << ' ' << count << " in " << runs;
    }
    std::cout << '\n';
}

TEST(quarantine_random, two_runners_fall_in_the_common_case) {
    run_seeds("repeats after the news", {}, [](const auto& outcome) {
        EXPECT_LE(outcome.poisoned_runners_, 2);
        EXPECT_EQ(outcome.innocents_quarantined_, 0);
        EXPECT_GT(outcome.innocents_answered_, 500);
    });
}

TEST(quarantine_random, concurrent_repeats_lock_no_innocent_out_for_long) {
    run_seeds("repeats at once", {.concurrent_ = true},
              [](const auto& outcome) {
                  EXPECT_LE(outcome.poisoned_runners_, 3);
                  // Only one that was alone with the poison before the news was
                  // out.
                  EXPECT_LE(outcome.innocents_quarantined_,
                            outcome.isolated_victims_);
              });
}

// One runner for each daemon that has not heard, and one in isolation.
TEST(quarantine_random, the_bound_under_concurrency_and_loss) {
    const auto bounded = [](const deployment_outcome& outcome) {
        EXPECT_LE(outcome.poisoned_runners_, 5);
    };
    run_seeds("at once, 30 in 100 lost", {.loss_ = 30, .concurrent_ = true},
              bounded);
    run_seeds("at once, all lost", {.loss_ = 100, .concurrent_ = true},
              bounded);
}

TEST(quarantine_random, one_isolated_run_across_changes_of_the_arbiter) {
    run_seeds("at once, changing arbiter",
              {.concurrent_ = true, .arbiter_changes_ = true},
              [](const auto&) {});
}

// Runs seeds until one shows the fault.
auto any_seed(deployment_faults faults, quarantine_guards guards,
              bool (*fault)(const deployment_outcome&)) -> bool {
    for (auto seed = std::uint64_t{0}; seed < seeds; ++seed) {
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
