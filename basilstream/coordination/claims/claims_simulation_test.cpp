// Randomised runs: several daemons, one log, callers that repeat, and every
// fault at once. Guards are switched off to show that the checks can fail.
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/claims/claims_test_world.hpp"

namespace basilstream::coordination {
namespace {

using testing::world;
using testing::world_faults;

constexpr auto phase_length = seconds{60};
constexpr auto retention = seconds{150};

auto settings_for_runs() -> claim_settings {
    auto settings = claim_settings{};
    settings.shard_count_ = 2;
    settings.answer_window_ = seconds{20};
    settings.carry_age_ = seconds{40};
    settings.dispatcher_memory_ = seconds{300};
    return settings;
}

auto harsh() -> world_faults {
    return {.message_loss_ = 0.05,
            .append_lost_answer_ = 0.03,
            .append_dropped_ = 0.02,
            .append_late_ = 0.03,
            .append_refused_ = 0.02,
            .slow_dispatch_ = 0.03,
            .lost_answer_ = 0.05,
            .never_dispatched_ = 0.05,
            .stalled_read_ = 0.05};
}

/// Drives one world with random callers and faults.
class random_run {
public:
    random_run(std::uint64_t seed, const claim_guards* guards)
        : world_{seed, settings_for_runs(), harsh(), guards} {
        for (auto number = 0; number < daemons_; ++number) {
            world_.add_daemon(next_name());
        }
        world_.run_for(seconds{6});
        plan_caller();
        plan_fault();
    }

    /// Runs for `length`, then without faults until every request has ended.
    /// Returns the first broken promise.
    auto run(duration length) -> std::string {
        for (auto passed = duration{0}; passed < length;
             passed += phase_length) {
            world_.run_for(phase_length);
            world_.retain(retention);
            if (auto broken = world_.broken_promise(); !broken.empty()) {
                return broken;
            }
        }
        quiet_ = true;
        world_.log_up_ = true;
        world_.faults_ = world_faults{};
        world_.run_for(seconds{40});
        for (const auto& [id, view] : world_.callers_) {
            if (!view.ended_) {
                return "no outcome: " + id;
            }
        }
        return world_.broken_promise();
    }
    [[nodiscard]] auto steps() const -> std::uint64_t { return world_.steps_; }
    world world_;

private:
    static constexpr auto daemons_ = 5;
    static constexpr auto most_keys_ = 20000;

    auto next_name() -> std::string { return "d" + std::to_string(++names_); }
    auto pick_daemon() -> std::string {
        auto row = world_.daemons_.begin();
        std::advance(row, world_.random_.below(world_.daemons_.size()));
        return row->first;
    }
    auto chance(std::uint64_t in) -> bool {
        return world_.random_.below(in) == 0;
    }
    auto pick_key() -> claim_key {
        auto number = keys_;
        if (keys_ > 0 && !chance(3)) {
            const auto recent = std::min<std::uint64_t>(keys_, 30);
            number = chance(4) ? world_.random_.below(keys_)
                               : keys_ - 1 - world_.random_.below(recent);
        } else if (keys_ < most_keys_) {
            ++keys_;
        }
        return {"org", "service", std::to_string(number)};
    }
    auto plan_caller() -> void {
        const auto gap = milliseconds{static_cast<std::int64_t>(
            1 + world_.random_.below(chance(3) ? 20 : 400))};
        world_.schedule(gap, [this] {
            if (quiet_) {
                return;
            }
            const auto key = pick_key();
            const auto body = chance(40) ? 1U : 0U;
            const auto repeats = chance(8) ? 3 : 1;
            for (auto copy = 0; copy < repeats; ++copy) {
                world_.submit(pick_daemon(), key, body,
                              seconds{static_cast<std::int64_t>(
                                  1 + world_.random_.below(15))});
            }
            plan_caller();
        });
    }
    auto plan_fault() -> void {
        const auto gap = milliseconds{
            static_cast<std::int64_t>(200 + world_.random_.below(6000))};
        world_.schedule(gap, [this] {
            if (quiet_) {
                return;
            }
            cause_fault();
            plan_fault();
        });
    }
    auto cause_fault() -> void {
        const auto name = pick_daemon();
        const auto length = milliseconds{static_cast<std::int64_t>(
            100 + world_.random_.below(chance(4) ? 20000 : 3000))};
        switch (world_.random_.below(7)) {
        case 0:
            world_.kill(name);
            world_.add_daemon(next_name());
            break;
        case 1:
        case 2:
            world_.pause(name, length);
            break;
        case 3:
            world_.log_up_ = false;
            world_.schedule(length, [this] { world_.log_up_ = true; });
            break;
        case 4:
            isolate_owner(length + seconds{10});
            break;
        case 5: {
            auto members = world_.live();
            members.erase(members.begin() +
                          static_cast<std::ptrdiff_t>(
                              world_.random_.below(members.size())));
            world_.show_members(name, members);
            world_.schedule(length, [this, name] {
                world_.show_members(name, world_.live());
            });
            break;
        }
        default:
            if (world_.live().size() == daemons_) {
                world_.leave(name);
                world_.add_daemon(next_name());
                world_.schedule(seconds{30}, [this, name] {
                    if (world_.daemons_.contains(name)) {
                        world_.kill(name);
                    }
                });
            }
            break;
        }
    }

    auto isolate_owner(duration length) -> void {
        const auto shard = world_.random_.below(world_.settings_.shard_count_);
        const auto owner = world_.owner_of(static_cast<std::uint32_t>(shard));
        if (!owner.empty()) {
            world_.isolate(owner, pick_daemon(), length);
        }
    }

    bool quiet_ = false;
    std::uint64_t names_ = 0;
    std::uint64_t keys_ = 0;
};

// Environment variables make the run longer than in CI.
auto number_from(const char* variable, std::uint64_t otherwise)
    -> std::uint64_t {
    const auto* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

struct found_fault {
    std::string broken_;
    std::uint64_t seed_ = 0;
    std::uint64_t steps_ = 0;
};

// Runs seeds until a promise breaks or `steps` events have been carried out.
auto search(const claim_guards* guards, std::uint64_t steps) -> found_fault {
    auto seed = number_from("CLAIMS_SEED", 1);
    auto done = std::uint64_t{0};
    while (done < steps) {
        auto run = random_run{seed, guards};
        const auto broken = run.run(seconds{600});
        done += run.steps();
        if (!broken.empty()) {
            return {broken, seed, done};
        }
        ++seed;
    }
    return {"", seed, done};
}

constexpr auto ci_steps = std::uint64_t{3'000'000};

TEST(claims_simulation, keeps_every_promise) {
    const auto violations = invariant_violations();
    const auto found = search(nullptr, number_from("CLAIMS_STEPS", ci_steps));
    EXPECT_EQ(found.broken_, "") << "seed " << found.seed_;
    EXPECT_EQ(invariant_violations(), violations);
    std::cout << "steps " << found.steps_ << " seeds " << found.seed_ << "\n";
}

struct no_read_back final : claim_guards {
    [[nodiscard]] auto read_back() const -> bool override { return false; }
};
struct no_single_permit final : claim_guards {
    [[nodiscard]] auto permit_once() const -> bool override { return false; }
};
struct no_fence final : claim_guards {
    [[nodiscard]] auto fence_late_grants() const -> bool override {
        return false;
    }
};
struct no_unknown final : claim_guards {
    [[nodiscard]] auto unresolved_is_unknown() const -> bool override {
        return false;
    }
};
struct no_confirmation final : claim_guards {
    [[nodiscard]] auto confirm_ownership() const -> bool override {
        return false;
    }
};
struct no_finished_keys final : claim_guards {
    [[nodiscard]] auto keep_finished_keys() const -> bool override {
        return false;
    }
};
struct no_fingerprints final : claim_guards {
    [[nodiscard]] auto compare_fingerprints() const -> bool override {
        return false;
    }
};
struct no_carry final : claim_guards {
    [[nodiscard]] auto carry_entries() const -> bool override { return false; }
};

template <class Guards>
auto expect_found(const std::string& name) -> void {
    const auto guards = Guards{};
    const auto found = search(&guards, ci_steps);
    EXPECT_NE(found.broken_, "") << name << " off was not found";
    std::cout << name << " off: " << found.broken_ << ", seed " << found.seed_
              << ", steps " << found.steps_ << "\n";
}

TEST(claims_simulation, finds_each_guard_switched_off) {
    expect_found<no_read_back>("read_back");
    expect_found<no_single_permit>("permit_once");
    expect_found<no_fence>("fence_late_grants");
    expect_found<no_unknown>("unresolved_is_unknown");
    expect_found<no_confirmation>("confirm_ownership");
    expect_found<no_finished_keys>("keep_finished_keys");
    expect_found<no_fingerprints>("compare_fingerprints");
    expect_found<no_carry>("carry_entries");
}

} // namespace
} // namespace basilstream::coordination
