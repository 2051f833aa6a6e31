#include "bench/policy_benchmark/least_loaded.hpp"
#include "bench/policy_benchmark/project_traffic.hpp"
#include "bench/policy_benchmark/traffic.hpp"

namespace basilstream::bench {
namespace {

constexpr auto no_limit = 1'000'000;

auto requests_within_goal(const engine_speed& speed) -> int {
    constexpr auto goal = 0.078;
    return static_cast<int>((goal - speed.base_step_) /
                            speed.step_per_request_);
}

} // namespace

auto make_traffic(traffic_kind kind, const deployment& made, int entry_vm,
                  std::uint64_t seed) -> std::unique_ptr<traffic_policy> {
    switch (kind) {
    case traffic_kind::least_loaded:
        return std::make_unique<least_loaded>(made, seed, no_limit);
    case traffic_kind::omniscient:
        return std::make_unique<least_loaded>(
            made, seed, requests_within_goal(made.speed_));
    default:
        return std::make_unique<project_traffic>(kind, made, entry_vm, seed);
    }
}

} // namespace basilstream::bench
