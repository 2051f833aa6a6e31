// Randomised simulation of several daemons, one log, callers that repeat their
// requests, and combined faults. Disables each safety check in turn to show
// that the simulation detects the violation.
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/claims/claims_test_world.hpp"

namespace basilstream::coordination {
namespace {

using testing::fault_settings;
using testing::simulated_cluster;

constexpr auto phase_length = seconds{60};
constexpr auto retention = seconds{150};

auto settings_for_runs() -> claim_settings {
    auto settings = claim_settings{};
    settings.shard_count_ = 2;
    settings.answer_window_ = seconds{20};
    settings.carry_age_ = seconds{40};
    settings.dispatcher_retention_ = seconds{300};
    return settings;
}

auto high_fault_rates() -> fault_settings {
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

/// Drives one simulated cluster with random callers and faults.
class random_run {
public:
    random_run(std::uint64_t seed, const claim_guards* guards)
        : cluster_{seed, settings_for_runs(), high_fault_rates(), guards} {
        for (auto number = 0; number < daemons_; ++number) {
            cluster_.add_daemon(next_name());
        }
        cluster_.run_for(seconds{6});
        schedule_caller();
        schedule_fault();
    }

    /// Runs for `length` with faults, then for 40 s without faults, after which
    /// every request must have ended. Returns the first violated guarantee;
    /// empty if none.
    auto run(duration length) -> std::string {
        for (auto passed = duration{0}; passed < length;
             passed += phase_length) {
            cluster_.run_for(phase_length);
            cluster_.drop_records_older_than(retention);
            if (auto violation = cluster_.violated_guarantee();
                !violation.empty()) {
                return violation;
            }
        }
        stopping_ = true;
        cluster_.log_available_ = true;
        cluster_.faults_ = fault_settings{};
        cluster_.run_for(seconds{40});
        for (const auto& [id, outcome] : cluster_.callers_) {
            if (!outcome.ended_) {
                return "request without outcome: " + id;
            }
        }
        return cluster_.violated_guarantee();
    }
    [[nodiscard]] auto steps() const -> std::uint64_t {
        return cluster_.steps_;
    }
    simulated_cluster cluster_;

private:
    static constexpr auto daemons_ = 5;
    static constexpr auto max_keys_ = 20000;

    auto next_name() -> std::string {
        return "d" + std::to_string(++daemon_names_used_);
    }
    auto pick_daemon() -> std::string {
        auto row = cluster_.daemons_.begin();
        std::advance(row, cluster_.random_.below(cluster_.daemons_.size()));
        return row->first;
    }
    auto one_in(std::uint64_t in) -> bool {
        return cluster_.random_.below(in) == 0;
    }
    auto pick_key() -> claim_key {
        auto number = keys_created_;
        if (keys_created_ > 0 && !one_in(3)) {
            const auto recent = std::min<std::uint64_t>(keys_created_, 30);
            number = one_in(4)
                         ? cluster_.random_.below(keys_created_)
                         : keys_created_ - 1 - cluster_.random_.below(recent);
        } else if (keys_created_ < max_keys_) {
            ++keys_created_;
        }
        return {"org", "service", std::to_string(number)};
    }
    auto schedule_caller() -> void {
        const auto gap = milliseconds{static_cast<std::int64_t>(
            1 + cluster_.random_.below(one_in(3) ? 20 : 400))};
        cluster_.schedule(gap, [this] {
            if (stopping_) {
                return;
            }
            const auto key = pick_key();
            const auto body = one_in(40) ? 1U : 0U;
            const auto repeats = one_in(8) ? 3 : 1;
            for (auto copy = 0; copy < repeats; ++copy) {
                cluster_.submit(pick_daemon(), key, body,
                                seconds{static_cast<std::int64_t>(
                                    1 + cluster_.random_.below(15))});
            }
            schedule_caller();
        });
    }
    auto schedule_fault() -> void {
        const auto gap = milliseconds{
            static_cast<std::int64_t>(200 + cluster_.random_.below(6000))};
        cluster_.schedule(gap, [this] {
            if (stopping_) {
                return;
            }
            inject_fault();
            schedule_fault();
        });
    }
    auto inject_fault() -> void {
        const auto name = pick_daemon();
        const auto length = milliseconds{static_cast<std::int64_t>(
            100 + cluster_.random_.below(one_in(4) ? 20000 : 3000))};
        switch (cluster_.random_.below(7)) {
        case 0:
            cluster_.kill(name);
            cluster_.add_daemon(next_name());
            break;
        case 1:
        case 2:
            cluster_.pause(name, length);
            break;
        case 3:
            cluster_.log_available_ = false;
            cluster_.schedule(length,
                              [this] { cluster_.log_available_ = true; });
            break;
        case 4:
            isolate_owner(length + seconds{10});
            break;
        case 5: {
            auto members = cluster_.active_members();
            members.erase(members.begin() +
                          static_cast<std::ptrdiff_t>(
                              cluster_.random_.below(members.size())));
            cluster_.deliver_members(name, members);
            cluster_.schedule(length, [this, name] {
                cluster_.deliver_members(name, cluster_.active_members());
            });
            break;
        }
        default:
            if (cluster_.active_members().size() == daemons_) {
                cluster_.drain(name);
                cluster_.add_daemon(next_name());
                cluster_.schedule(seconds{30}, [this, name] {
                    if (cluster_.daemons_.contains(name)) {
                        cluster_.kill(name);
                    }
                });
            }
            break;
        }
    }

    auto isolate_owner(duration length) -> void {
        const auto shard =
            cluster_.random_.below(cluster_.settings_.shard_count_);
        const auto owner = cluster_.owner_of(static_cast<std::uint32_t>(shard));
        if (!owner.empty()) {
            cluster_.isolate(owner, pick_daemon(), length);
        }
    }

    bool stopping_ = false;
    std::uint64_t daemon_names_used_ = 0;
    std::uint64_t keys_created_ = 0;
};

// Returns the number in an environment variable, by which a run can be made
// longer than in CI.
auto number_from_environment(const char* variable, std::uint64_t default_value)
    -> std::uint64_t {
    const auto* text = std::getenv(variable);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

struct search_result {
    std::string violation_;
    std::uint64_t seed_ = 0;
    std::uint64_t steps_ = 0;
};

// Runs one seed after another until a guarantee is violated or `steps` events
// have been processed.
auto search(const claim_guards* guards, std::uint64_t steps) -> search_result {
    auto seed = number_from_environment("CLAIMS_SEED", 1);
    auto done = std::uint64_t{0};
    while (done < steps) {
        auto run = random_run{seed, guards};
        const auto violation = run.run(seconds{600});
        done += run.steps();
        if (!violation.empty()) {
            return {violation, seed, done};
        }
        ++seed;
    }
    return {"", seed, done};
}

constexpr auto ci_steps = std::uint64_t{3'000'000};

TEST(claims_simulation, upholds_guarantees_under_faults) {
    const auto violations = invariant_violations();
    const auto found =
        search(nullptr, number_from_environment("CLAIMS_STEPS", ci_steps));
    EXPECT_EQ(found.violation_, "") << "seed " << found.seed_;
    EXPECT_EQ(invariant_violations(), violations);
    std::cout << "steps " << found.steps_ << " seeds " << found.seed_ << "\n";
}

struct without_read_back final : claim_guards {
    [[nodiscard]] auto read_back() const -> bool override { return false; }
};
struct without_single_permission final : claim_guards {
    [[nodiscard]] auto permit_once() const -> bool override { return false; }
};
struct without_fence final : claim_guards {
    [[nodiscard]] auto fence_late_grants() const -> bool override {
        return false;
    }
};
struct without_unknown_outcome final : claim_guards {
    [[nodiscard]] auto unresolved_is_unknown() const -> bool override {
        return false;
    }
};
struct without_confirmation final : claim_guards {
    [[nodiscard]] auto confirm_ownership() const -> bool override {
        return false;
    }
};
struct without_finished_keys final : claim_guards {
    [[nodiscard]] auto keep_finished_keys() const -> bool override {
        return false;
    }
};
struct without_fingerprints final : claim_guards {
    [[nodiscard]] auto compare_fingerprints() const -> bool override {
        return false;
    }
};
struct without_carry final : claim_guards {
    [[nodiscard]] auto carry_entries() const -> bool override { return false; }
};

template <class Guards>
auto expect_violation_found(const std::string& name) -> void {
    const auto guards = Guards{};
    const auto found = search(&guards, ci_steps);
    EXPECT_NE(found.violation_, "")
        << name << " disabled, but no violation found";
    std::cout << name << " disabled: " << found.violation_ << ", seed "
              << found.seed_ << ", steps " << found.steps_ << "\n";
}

TEST(claims_simulation, detects_each_disabled_guard) {
    expect_violation_found<without_read_back>("read_back");
    expect_violation_found<without_single_permission>("permit_once");
    expect_violation_found<without_fence>("fence_late_grants");
    expect_violation_found<without_unknown_outcome>("unresolved_is_unknown");
    expect_violation_found<without_confirmation>("confirm_ownership");
    expect_violation_found<without_finished_keys>("keep_finished_keys");
    expect_violation_found<without_fingerprints>("compare_fingerprints");
    expect_violation_found<without_carry>("carry_entries");
}

} // namespace
} // namespace basilstream::coordination
