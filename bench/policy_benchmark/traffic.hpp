/// How one entry VM spreads requests over runners: the interface to the
/// decisions under test, and the baselines.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "basilstream/base/random/random.hpp"
#include "bench/policy_benchmark/deployment.hpp"
#include "bench/policy_benchmark/engine.hpp"
#include "bench/policy_benchmark/trace.hpp"

namespace basilstream::bench {

/// What the entry VMs learn of a runner when it changes.
struct runner_state {
    std::size_t runner_ = 0;
    bool gone_ = false;
    /// Models ready on it, by index, with their versions.
    std::vector<std::pair<std::uint32_t, std::string>> models_;
};

enum class traffic_outcome { admitted, queued, refused };

/// Answer to a request: the runner it goes to if admitted.
struct traffic_answer {
    request_index index_ = 0;
    traffic_outcome outcome_ = traffic_outcome::refused;
    std::size_t runner_ = 0;
};

/// How a request ended on its runner.
struct traffic_release {
    request_index index_ = 0;
    std::uint32_t model_ = 0;
    std::size_t runner_ = 0;
    bool completed_ = true;
    double first_token_ = 0;
    double token_interval_ = 0;
    int tokens_ = 0;
};

/// One entry VM's decisions on requests. Times are seconds of virtual time.
class traffic_policy {
public:
    traffic_policy() = default;
    traffic_policy(const traffic_policy&) = delete;
    auto operator=(const traffic_policy&) -> traffic_policy& = delete;
    virtual ~traffic_policy() = default;

    virtual auto on_runner(const runner_state& state, double now) -> void = 0;
    virtual auto on_report(std::size_t runner, int running, int waiting,
                           double now) -> void = 0;
    /// A prefix was stored in, or evicted from, the cache of a runner.
    virtual auto on_cache(std::size_t runner, std::uint64_t prefix, bool stored)
        -> void = 0;
    [[nodiscard]] virtual auto submit(request_index index,
                                      const trace_request& request,
                                      double first_token_deadline, double now)
        -> traffic_answer = 0;
    virtual auto on_release(const traffic_release& release, double now)
        -> void = 0;
    /// Answers to queued requests that are due.
    [[nodiscard]] virtual auto poll(double now)
        -> std::vector<traffic_answer> = 0;
};

enum class traffic_kind {
    /// The project's router and admission.
    ours,
    /// The same without prefix affinity.
    ours_without_affinity,
    /// The same without refusal of what can't meet its deadline.
    ours_without_deadline,
    /// The same with all slots of a runner open at any time.
    ours_without_concurrency_limit,
    /// The replica with the fewest requests known, no admission.
    least_loaded,
    /// One entry VM that knows all loads and refuses what a runner can't serve
    /// within the goal between tokens; for the bound.
    omniscient,
};

/// Returns the decisions of entry VM number `entry_vm`.
[[nodiscard]] auto make_traffic(traffic_kind kind, const deployment& made,
                                int entry_vm, std::uint64_t seed)
    -> std::unique_ptr<traffic_policy>;

} // namespace basilstream::bench
