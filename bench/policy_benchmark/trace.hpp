/// Seeded request traces and the faults that go with them.
///
///     auto trace = make_trace(trace_kind::meet_morning, deployment, 1, 900);
#pragma once

#include <cstdint>
#include <vector>

#include "basilstream/base/name_table/name_table.hpp"
#include "bench/policy_benchmark/deployment.hpp"

namespace basilstream::bench {

enum class trace_kind {
    steady,
    tender_deadline,
    meet_morning,
    drift,
    runner_loss,
    zone_loss,
    log_outage,
    lagging_reports,
    rollout,
};

inline constexpr auto trace_names = name_table<trace_kind, 9>{
    {{{trace_kind::steady, "steady"},
      {trace_kind::tender_deadline, "tender_deadline"},
      {trace_kind::meet_morning, "meet_morning"},
      {trace_kind::drift, "drift"},
      {trace_kind::runner_loss, "runner_loss"},
      {trace_kind::zone_loss, "zone_loss"},
      {trace_kind::log_outage, "log_outage"},
      {trace_kind::lagging_reports, "lagging_reports"},
      {trace_kind::rollout, "rollout"}}}};

/// One request of a trace.
struct trace_request {
    double arrival_ = 0;
    std::uint32_t model_ = 0;
    std::uint32_t entry_vm_ = 0;
    /// Identifies the prompt's prefix; equal prefixes can share a cache.
    std::uint64_t prefix_ = 0;
    int prompt_tokens_ = 0;
    int output_tokens_ = 0;
};

enum class fault_kind {
    runner_lost,
    zone_lost,
    log_down,
    log_up,
    new_versions
};

/// Something that happens to the deployment, at `at_` seconds.
struct fault {
    double at_ = 0;
    fault_kind kind_ = fault_kind::runner_lost;
    /// Index of the runner or of the availability zone.
    std::size_t subject_ = 0;
};

/// What happens in one run.
struct trace {
    trace_kind kind_ = trace_kind::steady;
    double seconds_ = 0;
    /// Age of load reports and cache events when they arrive.
    double report_lag_ = 0.5;
    std::vector<trace_request> requests_;
    std::vector<fault> faults_;
};

/// Returns a trace of `seconds` for `made`. `utilisation` is the mean load as a
/// share of what `accelerators` can generate within the goals.
[[nodiscard]] auto make_trace(trace_kind kind, const deployment& made,
                              std::uint64_t seed, double seconds,
                              double utilisation, int accelerators) -> trace;

} // namespace basilstream::bench
