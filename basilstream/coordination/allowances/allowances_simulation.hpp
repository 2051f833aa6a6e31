/// Simulates deployments on virtual time for tests of allowances: uneven
/// demand, deaths, partitions and changes of the aggregator.
#pragma once

#include "basilstream/coordination/allowances/allowances.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>

namespace basilstream::coordination::allowances_simulation {

constexpr auto settings = allowance_settings{seconds{8}, 1.1, 11'000};
constexpr auto organisation_count = 16;
constexpr auto largest_rate = 457'000.0;
constexpr auto smallest_rate = 2'700.0;
constexpr auto run_time = 600.0;
constexpr auto zone_count = 3;
// Encoded sizes; see relay_codec_test.
constexpr auto report_header = 11.0;
constexpr auto spending_bytes = 22.0;
constexpr auto level_bytes = 19.0;

inline auto at(double when) -> time_point {
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(when + 1000))};
}

struct simulated_organisation {
    std::string name_;
    double rate_ = 0;
    double surge_until_ = 0;
    std::array<double, zone_count> zones_{1, 1, 1};
    // A bucket of the limit itself, charged with what has run.
    double reference_ = 0;
    double reference_at_ = 0;
    std::deque<std::pair<double, double>> window_;
    double window_sum_ = 0;
    // Results.
    double worst_window_ = 0;
    // By whether the deployment is impaired.
    std::array<double, 2> admitted_{};
    std::array<double, 2> refused_{};
    std::array<double, 2> refused_below_limit_{};
};

struct simulated_daemon {
    std::string name_;
    std::optional<allowance_ledger> ledger_;
    allowance_aggregator aggregator_{settings};
    bool up_ = true;
    bool cut_off_ = false;
    // Whether a check for an early report is due, and until when one is.
    bool ticks_ = false;
    double tick_until_ = 0;
};

class deployment {
public:
    deployment(int daemons, unsigned seed, bool impaired)
        : random_{seed}, interval_{std::max(0.2, 0.01 * daemons)},
          impaired_{impaired} {
        for (auto index = 0; index < organisation_count; ++index) {
            auto& added = organisations_.emplace_back();
            added.name_ = "org" + std::to_string(index);
            added.rate_ =
                largest_rate * std::pow(smallest_rate / largest_rate,
                                        index / (organisation_count - 1.0));
            added.reference_ = added.rate_;
            limits_.push_back({added.name_, added.rate_, added.rate_});
        }
        for (auto index = 0; index < daemons; ++index) {
            auto& added = daemons_.emplace_back();
            added.name_ = "daemon" + std::to_string(index);
            start(added);
        }
        for (auto& daemon : daemons_) {
            daemon.ledger_->set_daemons(daemons_.size());
            add_event(uniform(0, interval_), [&] { exchange(daemon); });
        }
        for (auto& organisation : organisations_) {
            add_event(0, [&] { arrive(organisation); });
            add_event(uniform(5, 60), [&] { surge(organisation); });
            add_event(uniform(5, 40), [&] { move(organisation); });
        }
        add_event(0, [this] { tick_owner(); });
        if (impaired_) {
            add_event(uniform(40, 60), [this] { impair(); });
        }
    }

    auto run() -> void {
        while (!events_.empty() && events_.top().when_ < run_time) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when_;
            next.action_();
        }
    }

    std::deque<simulated_organisation> organisations_;
    double reports_sent_ = 0;
    double levels_sent_ = 0;
    double report_bytes_ = 0;
    double level_bytes_ = 0;

private:
    struct event {
        double when_;
        std::uint64_t number_;
        std::function<void()> action_;
        auto operator<(const event& other) const -> bool {
            return std::pair{when_, number_} >
                   std::pair{other.when_, other.number_};
        }
    };

    auto uniform(double from, double to) -> double {
        return std::uniform_real_distribution<double>{from, to}(random_);
    }

    auto add_event(double delay, std::function<void()> action) -> void {
        events_.push({now_ + delay, ++event_number_, std::move(action)});
    }

    auto start(simulated_daemon& daemon) -> void {
        daemon.up_ = true;
        daemon.ledger_.emplace(daemon.name_, ++runs_, settings);
        daemon.ledger_->set_limits(limits_, at(now_));
        daemon.ledger_->set_daemons(daemons_.size());
        daemon.aggregator_ = allowance_aggregator{settings};
        daemon.aggregator_.set_limits(limits_, at(now_));
        daemon.ledger_->set_interval(seconds_duration(interval_));
        daemon.aggregator_.set_interval(seconds_duration(interval_));
    }

    static auto seconds_duration(double value) -> duration {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(value));
    }

    auto reachable(const simulated_daemon& one,
                   const simulated_daemon& other) const -> bool {
        return &one == &other ||
               (one.up_ && other.up_ && one.cut_off_ == other.cut_off_);
    }

    auto exchange(simulated_daemon& daemon) -> void {
        // Sweeps come every 50 ms.
        add_event(interval_ + uniform(0, 0.05), [&] { exchange(daemon); });
        if (!daemon.up_) {
            return;
        }
        if (owner_ == &daemon) {
            send_levels(daemon);
        } else {
            send_report(daemon);
        }
    }

    auto send_report(simulated_daemon& daemon) -> void {
        const auto report = daemon.ledger_->take_report(at(now_));
        if (owner_ == nullptr || !reachable(daemon, *owner_)) {
            return;
        }
        ++reports_sent_;
        report_bytes_ +=
            report_header +
            spending_bytes * static_cast<double>(report.spending_.size());
        add_event(uniform(0.001, 0.08), [&daemon, report, owner = owner_,
                                         this] {
            if (reachable(daemon, *owner)) {
                owner->aggregator_.on_report(daemon.name_, report, at(now_));
            }
        });
    }

    auto send_levels(simulated_daemon& daemon) -> void {
        daemon.aggregator_.on_report(
            daemon.name_, daemon.ledger_->take_report(at(now_)), at(now_));
        const auto levels = daemon.aggregator_.levels(at(now_));
        if (!levels) {
            return;
        }
        ++levels_sent_;
        level_bytes_ += level_bytes * static_cast<double>(levels->size());
        daemon.ledger_->on_levels(*levels, at(now_), at(now_));
        for (auto& other : daemons_) {
            if (&other != &daemon && reachable(daemon, other)) {
                add_event(uniform(0.001, 0.08), [&, levels] {
                    if (!reachable(daemon, other)) {
                        return;
                    }
                    other.ledger_->on_levels(*levels, at(now_ - 0.15),
                                             at(now_));
                    other.aggregator_.on_levels(*levels, at(now_));
                });
            }
        }
    }

    // What a daemon does between two rounds.
    auto tick(simulated_daemon& daemon) -> void {
        daemon.ticks_ = false;
        if (daemon.up_ && owner_ != &daemon &&
            daemon.ledger_->wants_early_report(at(now_))) {
            send_report(daemon);
        } else if (daemon.up_ && owner_ != &daemon &&
                   now_ < daemon.tick_until_) {
            tick_soon(daemon);
        }
    }

    auto tick_soon(simulated_daemon& daemon) -> void {
        if (!daemon.ticks_) {
            daemon.ticks_ = true;
            add_event(uniform(0.02, 0.05), [&] { tick(daemon); });
        }
    }

    auto tick_owner() -> void {
        add_event(0.05, [this] { tick_owner(); });
        if (owner_ != nullptr &&
            owner_->aggregator_.wants_early_levels(at(now_))) {
            send_levels(*owner_);
        }
    }

    auto demand(const simulated_organisation& of) const -> double {
        constexpr auto usual = 0.56;
        constexpr auto surge = 7.5;
        return of.rate_ * usual * (now_ < of.surge_until_ ? surge : 1);
    }

    auto surge(simulated_organisation& of) -> void {
        of.surge_until_ = now_ + 6.5;
        add_event(uniform(30, 90), [&] { surge(of); });
    }

    auto move(simulated_organisation& of) -> void {
        for (auto& weight : of.zones_) {
            weight = uniform(0.05, 1);
        }
        add_event(uniform(10, 40), [&] { move(of); });
    }

    auto arrive(simulated_organisation& of) -> void {
        // Mean of about 1600 tokens.
        const auto units = std::round(std::clamp(
            1500 * std::exp(std::normal_distribution<double>{0, 0.5}(random_)),
            100.0, 4500.0));
        add_event(
            std::exponential_distribution<double>{demand(of) / 1650}(random_),
            [&] { arrive(of); });
        auto zone = std::discrete_distribution<std::size_t>{
            of.zones_.begin(), of.zones_.end()}(random_);
        const auto size = daemons_.size() / zone_count;
        for (auto tries = 0; tries < 20; ++tries) {
            auto& daemon = daemons_[zone * size + random_() % size];
            if (daemon.up_) {
                request(of, daemon, units);
                return;
            }
        }
    }

    auto request(simulated_organisation& of, simulated_daemon& daemon,
                 double units) -> void {
        of.reference_ = std::min(
            of.reference_ + of.rate_ * (now_ - of.reference_at_), of.rate_);
        of.reference_at_ = now_;
        const auto kind = now_ < impaired_until_ ? 1U : 0U;
        daemon.tick_until_ = now_ + 0.3;
        tick_soon(daemon);
        if (daemon.ledger_->try_spend(of.name_, units, at(now_))) {
            of.refused_.at(kind) += units;
            if (of.reference_ >= units) {
                // Counts as permitted, so that it uses up the limit.
                of.refused_below_limit_.at(kind) += units;
                of.reference_ -= units;
            }
            return;
        }
        // One in 50 does not run and returns its units.
        if (random_() % 50 == 0) {
            add_event(uniform(0.01, 2), [&, units] {
                daemon.ledger_->give_back(of.name_, units);
            });
            return;
        }
        of.admitted_.at(kind) += units;
        of.reference_ -= units;
        of.window_.emplace_back(now_, units);
        of.window_sum_ += units;
        while (of.window_.front().first <= now_ - 8) {
            of.window_sum_ -= of.window_.front().second;
            of.window_.pop_front();
        }
        const auto bound = (of.rate_ * 8 + of.rate_) * 1.1 + 11'000;
        of.worst_window_ = std::max(of.worst_window_, of.window_sum_ / bound);
    }

    auto members() const -> std::vector<std::string> {
        auto names = std::vector<std::string>{};
        for (const auto& daemon : daemons_) {
            if (daemon.up_ && !daemon.cut_off_) {
                names.push_back(daemon.name_);
            }
        }
        return names;
    }

    auto set_members() -> void {
        for (auto& daemon : daemons_) {
            if (daemon.up_ && !daemon.cut_off_) {
                daemon.ledger_->set_daemons(members().size());
                daemon.aggregator_.set_daemons(members(), at(now_));
            }
        }
    }

    auto impair() -> void {
        add_event(uniform(50, 90), [this] { impair(); });
        // Levels need some intervals to be exact again.
        constexpr auto recovery = 12.0;
        const auto kind = random_() % 3;
        if (kind == 0) {
            impaired_until_ = now_ + 15 + recovery;
            kill(daemons_[1 + random_() % (daemons_.size() - 1)]);
            kill(daemons_[1 + random_() % (daemons_.size() - 1)]);
        } else if (kind == 1) {
            impaired_until_ = now_ + 15 + recovery;
            for (auto count = daemons_.size() / 10; count > 0; --count) {
                daemons_[random_() % daemons_.size()].cut_off_ = true;
            }
            owner_->cut_off_ = false;
            add_event(5, [this] { set_members(); });
            add_event(15, [this] {
                for (auto& daemon : daemons_) {
                    daemon.cut_off_ = false;
                }
                set_members();
            });
        } else {
            impaired_until_ = now_ + 15 + recovery;
            auto* const former = owner_;
            owner_ = nullptr;
            kill(*former);
            // The next owner waits for the lease to end.
            add_event(4, [this, former] {
                do {
                    owner_ = &daemons_[random_() % daemons_.size()];
                } while (owner_ == former || !owner_->up_);
            });
        }
    }

    auto kill(simulated_daemon& daemon) -> void {
        if (owner_ == &daemon) {
            return;
        }
        daemon.up_ = false;
        add_event(3, [this] { set_members(); });
        add_event(10, [&] {
            start(daemon);
            set_members();
        });
    }

    std::mt19937 random_;
    const double interval_;
    const bool impaired_;
    double impaired_until_ = -1;
    double now_ = 0;
    std::uint32_t runs_ = 0;
    std::uint64_t event_number_ = 0;
    std::vector<allowance_limit> limits_;
    std::deque<simulated_daemon> daemons_;
    simulated_daemon* owner_ = nullptr;
    std::priority_queue<event> events_;

public:
    auto elect_first() -> void { owner_ = &daemons_.front(); }
};

// The second values of arrays are those of impaired deployments.
struct bounds_met {
    // Greatest part of the permitted units that ran in a window.
    std::array<double, 2> worst_window_{};
    // Greatest part of the permitted units that was refused, over
    // organisations.
    std::array<double, 2> worst_refused_{};
    double bytes_per_second_ = 0;
};

inline auto simulate(int daemons, unsigned first_seed, unsigned seeds)
    -> bounds_met {
    auto met = bounds_met{};
    auto reports = 0.0;
    auto levels = 0.0;
    auto bytes = 0.0;
    auto admitted = std::array<std::array<double, 2>, organisation_count>{};
    auto below = admitted;
    auto refused = admitted;
    auto windows = std::array<std::array<double, 2>, organisation_count>{};
    for (auto seed = first_seed; seed < first_seed + seeds; ++seed) {
        auto world = deployment{daemons, seed, seed % 2 == 1};
        world.elect_first();
        world.run();
        reports += world.reports_sent_;
        levels += world.levels_sent_;
        bytes += world.report_bytes_ / daemons + world.level_bytes_;
        for (auto index = 0U; index < organisation_count; ++index) {
            const auto& of = world.organisations_.at(index);
            auto& worst = windows.at(index).at(seed % 2);
            worst = std::max(worst, of.worst_window_);
            auto& any = met.worst_window_.at(seed % 2);
            any = std::max(any, of.worst_window_);
            for (const auto kind : {0U, 1U}) {
                admitted.at(index).at(kind) += of.admitted_.at(kind);
                refused.at(index).at(kind) += of.refused_.at(kind);
                below.at(index).at(kind) += of.refused_below_limit_.at(kind);
            }
        }
    }
    for (auto index = 0U; index < organisation_count; ++index) {
        std::printf("%3d daemons, organisation %2u: worst window %.3f, %.3f",
                    daemons, index, windows.at(index)[0], windows.at(index)[1]);
        for (const auto kind : {0U, 1U}) {
            const auto part =
                below.at(index).at(kind) /
                std::max(below.at(index).at(kind) + admitted.at(index).at(kind),
                         1.0);
            met.worst_refused_.at(kind) =
                std::max(met.worst_refused_.at(kind), part);
            std::printf("; %s: refused %.4f, below the limit %.5f",
                        kind == 0 ? "calm" : "impaired",
                        refused.at(index).at(kind) /
                            std::max(refused.at(index).at(kind) +
                                         admitted.at(index).at(kind),
                                     1.0),
                        part);
        }
        std::printf("\n");
    }
    std::printf("%3d daemons, per second: %.2f reports of each, %.2f levels, "
                "%.0f bytes\n",
                daemons, reports / seeds / run_time / daemons,
                levels / seeds / run_time, bytes / seeds / run_time);
    met.bytes_per_second_ = bytes / seeds / run_time;
    return met;
}

} // namespace basilstream::coordination::allowances_simulation
