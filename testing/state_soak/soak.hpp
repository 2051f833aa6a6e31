/// Randomised run of the control side: several controllers against one fake
/// log and fake runners, on virtual time, from one seed.
///
///     auto report = run_soak({.seed_ = 1, .steps_ = 1'000'000});
///     report.violations_.empty();
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilstream/coordination/control/control.hpp"

namespace basilstream::testing {

/// What a run switches off to show that its checks find it.
struct soak_guards {
    state::machine_guards machine_ = {};
    bool read_back_ = true;
    bool snapshots_ = true;
};

/// Which faults a run brings about.
struct soak_faults {
    /// Lost, late and doubled messages, pauses, failed loads.
    bool messages_ = true;
    bool log_outages_ = true;
    bool daemon_stops_ = true;
    bool runner_crashes_ = true;
    /// Intents that no sound owner would append.
    bool misbehaviour_ = true;
};

/// A run.
struct soak_options {
    std::uint64_t seed_ = 1;
    std::uint64_t steps_ = 100'000;
    std::size_t daemons_ = 4;
    std::size_t shards_ = 2;
    std::size_t runners_ = 6;
    soak_guards guards_ = {};
    soak_faults faults_ = {};
    /// Longest time that a message to or from the log takes.
    std::chrono::milliseconds log_delay_{40};
    /// Ends the run at the first violation.
    bool stop_at_violation_ = true;
};

/// What a run did and found.
struct soak_report {
    std::uint64_t steps_ = 0;
    double virtual_seconds_ = 0;
    std::map<std::string, std::uint64_t> counts_;
    /// Durations in seconds by name, ascending: until a configuration is in
    /// force on a daemon, until a killed owner's shard has a new one, until a
    /// model that lost its only replica serves again.
    std::map<std::string, std::vector<double>> durations_;
    /// "name: detail", in the order found.
    std::vector<std::string> violations_;
};

/// Runs. Not safe for concurrent use: it sets the invariant handler.
auto run_soak(const soak_options& options) -> soak_report;

} // namespace basilstream::testing
