/// Measures the traffic decisions under overload in virtual time: callers,
/// daemons and small fake runners in one event loop.
///
///     const auto seen = bench::run({.load_ = 10});
///     seen.attainment_;
///
/// Equal scenarios give equal figures on every machine.
#pragma once

#include <cstdint>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::bench {

/// How the daemons treat requests.
enum class traffic_policy {
    /// Routing, admission and retries of basilstream.
    basilstream,
    /// Round robin to unbounded first-come-first-served queues in the runners;
    /// callers retry at once when they have waited in vain.
    blind_retries,
    /// The same, but the runner is told when a caller stops waiting.
    blind_retries_with_cancel,
};

inline constexpr auto traffic_policy_names = name_table<traffic_policy, 3>{
    {{{traffic_policy::basilstream, "basilstream"},
      {traffic_policy::blind_retries, "blind_retries"},
      {traffic_policy::blind_retries_with_cancel,
       "blind_retries_with_cancel"}}}};

/// One run. Requests count as served when the first token is out within
/// 1.3 s and the answer is whole within 78 ms more for each token.
struct scenario {
    traffic_policy policy_ = traffic_policy::basilstream;
    /// New requests as a multiple of what the runners can serve.
    double load_ = 1;
    std::uint64_t seed_ = 1;
    int daemons_ = 6;
    int runners_ = 18;
    int models_ = 12;
    int replicas_ = 3;
    int slots_ = 8;
    /// Callers try a request this often at most.
    int attempts_ = 4;
    duration warm_up_ = seconds{20};
    duration measured_ = seconds{60};
    /// Runners that crash one after the other, evenly over the measured time,
    /// each down for `down_`.
    int crashes_ = 0;
    duration down_ = seconds{10};
};

/// What a run showed of the requests that arrived while it was measured.
struct figures {
    double capacity_per_second_ = 0;
    std::uint64_t requests_ = 0;
    /// Tries of the callers, each counted.
    std::uint64_t tries_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t served_at_first_try_ = 0;
    std::uint64_t refused_tries_ = 0;
    std::uint64_t late_tries_ = 0;
    /// Attempts on runners.
    std::uint64_t runs_ = 0;
    std::uint64_t no_slot_ = 0;
    /// Attempts that a crash ended.
    std::uint64_t crashed_runs_ = 0;
    double goodput_per_second_ = 0;
    double attainment_ = 0;
    double first_token_p95_ms_ = 0;
    double cached_share_ = 0;
    /// The longest time in which a refusal reached the caller.
    double slowest_refusal_ms_ = 0;
};

/// Runs a scenario.
[[nodiscard]] auto run(const scenario& settings) -> figures;

} // namespace basilstream::bench
