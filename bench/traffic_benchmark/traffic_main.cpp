// Prints attainment and goodput at several loads, for both policies, as JSON.
#include <iostream>

#include <nlohmann/json.hpp>

#include "bench/traffic_benchmark/traffic.hpp"

namespace basilstream::bench {
namespace {

auto to_json(const scenario& settings, const figures& seen) -> nlohmann::json {
    return {{"policy", traffic_policy_names.name_of(settings.policy_)},
            {"load", settings.load_},
            {"crashes", settings.crashes_},
            {"crashed_runs", seen.crashed_runs_},
            {"seed", settings.seed_},
            {"capacity_per_second", seen.capacity_per_second_},
            {"requests", seen.requests_},
            {"tries", seen.tries_},
            {"served", seen.served_},
            {"served_at_first_try", seen.served_at_first_try_},
            {"refused_tries", seen.refused_tries_},
            {"late_tries", seen.late_tries_},
            {"runs", seen.runs_},
            {"no_slot", seen.no_slot_},
            {"goodput_per_second", seen.goodput_per_second_},
            {"attainment", seen.attainment_},
            {"first_token_p95_ms", seen.first_token_p95_ms_},
            {"cached_share", seen.cached_share_},
            {"slowest_refusal_ms", seen.slowest_refusal_ms_}};
}

auto print_all() -> void {
    auto all = nlohmann::json::array();
    for (const auto policy :
         {traffic_policy::basilstream, traffic_policy::blind_retries,
          traffic_policy::blind_retries_with_cancel}) {
        for (const auto load : {0.5, 1.0, 2.0, 10.0}) {
            const auto settings = scenario{.policy_ = policy, .load_ = load};
            all.push_back(to_json(settings, run(settings)));
        }
        const auto crashing =
            scenario{.policy_ = policy, .load_ = 0.5, .crashes_ = 6};
        all.push_back(to_json(crashing, run(crashing)));
    }
    std::cout << all.dump(2) << '\n';
}

} // namespace
} // namespace basilstream::bench

auto main() -> int {
    basilstream::bench::print_all();
    return 0;
}
