/// The sets of runs that the policy benchmark reports.
///
///     auto results = run_all(plan_comparison(seed, lengths), workers);
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/policy_benchmark/simulation.hpp"

namespace basilstream::bench {

/// One run to make.
struct experiment {
    deployment_kind deployment_ = deployment_kind::angebotswerk;
    trace_kind trace_ = trace_kind::steady;
    run_options options_;
    std::uint64_t seed_ = 1;
    double seconds_ = 600;
    /// Accelerators that the load is a share of, and those that there are.
    int load_accelerators_ = 20;
    int accelerators_ = 20;
    /// Mean load as a share of what the accelerators can generate.
    double utilisation_ = 0.7;
};

/// A run and what it showed.
struct experiment_result {
    experiment experiment_;
    run_figures figures_;
};

/// Lengths of traces in seconds.
struct trace_lengths {
    double usual_ = 600;
    double drift_ = 1800;
    /// Eight tenths of it are the outage.
    double log_outage_ = 4500;

    [[nodiscard]] auto of(trace_kind kind) const -> double;
};

/// Ours, the baselines and the bound.
[[nodiscard]] auto compared_options() -> std::vector<run_options>;

/// Ours with one idea switched off each.
[[nodiscard]] auto ablation_options() -> std::vector<run_options>;

/// Returns the runs of every trace with `compared_options`, and of the traces
/// in which ideas show with `ablation_options`.
[[nodiscard]] auto plan_comparison(std::uint64_t seed, trace_lengths lengths)
    -> std::vector<experiment>;

/// Makes one run.
[[nodiscard]] auto run_one(const experiment& what) -> run_figures;

/// Makes all runs on `workers` threads. The results don't depend on how many.
[[nodiscard]] auto run_all(const std::vector<experiment>& runs, int workers)
    -> std::vector<experiment_result>;

/// Accelerators that a policy needs for a trace of fixed load.
struct need {
    deployment_kind deployment_ = deployment_kind::angebotswerk;
    trace_kind trace_ = trace_kind::drift;
    std::string name_;
    /// 0 when even the largest fleet tried does not suffice.
    int accelerators_ = 0;
};

/// Share of requests that a fleet has to serve within their goals.
inline constexpr auto attainment_goal = 0.95;

/// Finds the least number of accelerators with which each of
/// `compared_options` but the bound, and of `ablation_options`, attains the
/// goal, by bisection.
[[nodiscard]] auto find_needs(std::uint64_t seed, double seconds, int workers)
    -> std::vector<need>;

} // namespace basilstream::bench
