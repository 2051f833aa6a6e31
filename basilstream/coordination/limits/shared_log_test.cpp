// Randomised simulation of limit holders on one log, with lost, delayed and
// repeated appends, lagging readers, paused and crashed daemons and clock
// drift. Checks that the limits are never exceeded.
#include <algorithm>
#include <array>
#include <iostream>
#include <memory>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/limits/limits.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto concurrent_load_limit = 5;
constexpr auto load_rate_limit = 2;

struct run_outcome {
    bool over_limit_ = false;
    bool violated_ = false;
    int load_starts_ = 0;
    int crashes_ = 0;
    std::size_t appends_ = 0;
};

struct log_faults {
    bool lost_appends_ = true;
    bool outages_ = true;
    bool lagging_readers_ = true;
    bool pauses_ = true;
    bool crashes_ = true;
};

constexpr auto no_faults = log_faults{false, false, false, false, false};

class shared_log_simulation {
public:
    shared_log_simulation(std::uint64_t seed, log_faults faults,
                          limit_guards guards)
        : random_{seed}, faults_{faults}, guards_{guards} {
        for (auto& instance : daemons_) {
            start(instance);
        }
    }

    auto run() -> run_outcome {
        const auto violations = invariant_violations();
        for (auto step = 0; step < 12'000 && !outcome_.over_limit_; ++step) {
            now_ += milliseconds{50};
            outage_ =
                faults_.outages_ && step % 4000 > 3000; // 50 s in each 200 s
            deliver();
            finish_loads();
            for (auto& instance : daemons_) {
                step_daemon(instance);
            }
        }
        outcome_.violated_ = invariant_violations() != violations;
        outcome_.appends_ = log_.size();
        return outcome_;
    }

private:
    struct daemon {
        std::unique_ptr<limit_holder> holder_;
        std::unique_ptr<weight_store_permits> loads_;
        double clock_rate_ = 1;
        std::size_t read_ = 0;
        time_point paused_until_;
        time_point reads_resume_at_;
    };
    struct running_load {
        const limit_holder* owner_;
        time_point end_;
    };
    struct append {
        time_point due_;
        limit_record record_;
    };

    auto local_time(const daemon& instance) const -> time_point {
        const auto elapsed =
            static_cast<double>(now_.time_since_epoch().count());
        return time_point{duration{
            static_cast<duration::rep>(elapsed * instance.clock_rate_)}};
    }
    auto start(daemon& instance) -> void {
        instance.holder_ = std::make_unique<limit_holder>(
            "d" + std::to_string(incarnations_++), limit_settings{}, guards_);
        instance.holder_->define("models_at_once",
                                 {.units_ = concurrent_load_limit});
        instance.holder_->define(
            "models_per_second",
            {.units_ = load_rate_limit, .hold_ = seconds{1}});
        instance.loads_ =
            std::make_unique<weight_store_permits>(*instance.holder_);
        instance.clock_rate_ = 0.98 + random_.fraction() * 0.04;
        instance.read_ = 0;
    }
    auto step_daemon(daemon& instance) -> void {
        if (faults_.crashes_ && random_.below(20'000) == 0) {
            ++outcome_.crashes_;
            start(instance); // the loads of the old process continue
        } else if (faults_.pauses_ && random_.below(4'000) == 0) {
            // Close to the 63 s after which its units are recovered.
            instance.paused_until_ = now_ + seconds{50 + random_.below(40)};
        }
        if (now_ < instance.paused_until_) {
            return;
        }
        // Loads before reading, so that a resumed daemon acts on stale state.
        try_start_load(instance);
        read_log(instance);
        for (const auto& record :
             instance.holder_->poll(local_time(instance))) {
            send(record);
        }
    }
    auto read_log(daemon& instance) -> void {
        if (faults_.lagging_readers_ && random_.below(500) == 0) {
            instance.reads_resume_at_ = now_ + seconds{random_.below(20)};
        }
        const auto stalled = outage_ || now_ < instance.reads_resume_at_;
        for (auto count = random_.below(6);
             !stalled && count > 0 && instance.read_ < log_.size(); --count) {
            instance.holder_->on_record(log_[instance.read_++],
                                        local_time(instance));
        }
    }
    auto send(const limit_record& record) -> void {
        // One append in ten is lost and two in ten are delayed by up to 40 s.
        const auto fault = faults_.lost_appends_ ? random_.below(10) : 9;
        if (outage_ || fault == 0) {
            return;
        }
        const auto max_delay_ms = fault <= 2 ? 40'000 : 100;
        pending_.push_back(
            {now_ + milliseconds{random_.below(max_delay_ms)}, record});
    }
    auto deliver() -> void {
        std::erase_if(pending_, [&](const append& pending) {
            if (outage_ || pending.due_ > now_) {
                return false;
            }
            log_.push_back(pending.record_);
            return true;
        });
    }
    auto try_start_load(daemon& instance) -> void {
        if (random_.below(4) != 0) {
            return;
        }
        if (!instance.loads_->try_acquire(load_kind::model,
                                          local_time(instance))) {
            return;
        }
        const auto length = milliseconds{100 + random_.below(25'000)};
        running_loads_.push_back({instance.holder_.get(), now_ + length});
        load_starts_.push_back(now_);
        ++outcome_.load_starts_;
        check_limits();
    }
    auto check_limits() -> void {
        // One second on the fastest clock (rate 1.02) lasts 980 ms.
        std::erase_if(load_starts_, [&](time_point start) {
            return start + milliseconds{980} <= now_;
        });
        outcome_.over_limit_ = outcome_.over_limit_ ||
                               running_loads_.size() > concurrent_load_limit ||
                               load_starts_.size() > load_rate_limit;
    }
    auto finish_loads() -> void {
        std::erase_if(running_loads_, [&](const running_load& load) {
            if (load.end_ > now_) {
                return false;
            }
            for (auto& instance : daemons_) {
                if (instance.holder_.get() == load.owner_) {
                    instance.loads_->release(load_kind::model,
                                             local_time(instance));
                }
            }
            return true;
        });
    }

    seeded_random random_;
    log_faults faults_;
    limit_guards guards_;
    time_point now_{seconds{1000}};
    bool outage_ = false;
    std::array<daemon, 5> daemons_;
    std::vector<limit_record> log_;
    std::vector<append> pending_;
    std::vector<running_load> running_loads_;
    std::vector<time_point> load_starts_;
    int incarnations_ = 0;
    run_outcome outcome_;
};

constexpr auto seeds = std::uint64_t{60};

// Five concurrent loads for 600 s with a mean duration of 12.6 s.
constexpr auto possible_loads = 238;

// Runs all seeds, checks the limits, and returns the mean number of loads
// started per run.
auto mean_loads(std::string_view title, log_faults faults) -> double {
    auto sum = run_outcome{};
    for (auto seed = std::uint64_t{0}; seed < seeds; ++seed) {
        const auto outcome = shared_log_simulation{seed, faults, {}}.run();
        EXPECT_FALSE(outcome.over_limit_) << seed;
        EXPECT_FALSE(outcome.violated_) << seed;
        sum.load_starts_ += outcome.load_starts_;
        sum.crashes_ += outcome.crashes_;
        sum.appends_ += outcome.appends_;
    }
    const auto runs = static_cast<double>(seeds);
    std::cout << title << ", each run of 600 s: " << sum.load_starts_ / runs
              << " loads of " << possible_loads << ", " << sum.crashes_ / runs
              << " crashes, " << static_cast<double>(sum.appends_) / runs
              << " appends\n";
    return sum.load_starts_ / runs;
}

TEST(limits_random, uses_nearly_all_units_without_faults) {
    EXPECT_GT(mean_loads("no faults", no_faults), 0.9 * possible_loads);
}

TEST(limits_random, stays_within_limits_under_faults) {
    auto outages = no_faults;
    outages.outages_ = true;
    mean_loads("outages", outages);
    auto crashes = no_faults;
    crashes.crashes_ = true;
    mean_loads("deaths", crashes);
    // With an outage for a quarter of the time, a third of the daemons paused
    // and 40% of the readers stalled, units are still recovered and granted.
    EXPECT_GT(mean_loads("all faults", {}), 0.1 * possible_loads);
}

auto any_seed_fails(limit_guards guards) -> bool {
    for (auto seed = std::uint64_t{0}; seed < seeds; ++seed) {
        const auto outcome = shared_log_simulation{seed, {}, guards}.run();
        if (outcome.over_limit_ || outcome.violated_) {
            return true;
        }
    }
    return false;
}

// lease_unchanged_ matters for one order of records only, which the test
// limits_recovery covers.
TEST(limits_random, detects_each_disabled_guard) {
    EXPECT_TRUE(any_seed_fails({.may_grant_ = [](int, int) {
        return true;
    }}));
    EXPECT_TRUE(any_seed_fails({.is_new_ = [](std::uint64_t, std::uint64_t) {
        return true;
    }}));
    EXPECT_TRUE(any_seed_fails({.lease_valid_ = [](time_point, time_point) {
        return true;
    }}));
}

} // namespace
} // namespace basilstream::coordination
