#include "bench/policy_benchmark/least_loaded.hpp"
#include "bench/policy_benchmark/traffic.hpp"

namespace basilstream::bench {

auto make_traffic(traffic_kind, const deployment& made, int, std::uint64_t seed)
    -> std::unique_ptr<traffic_policy> {
    return std::make_unique<least_loaded>(made, seed);
}

} // namespace basilstream::bench
