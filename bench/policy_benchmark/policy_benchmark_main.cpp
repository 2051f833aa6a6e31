#include <cstdio>
#include <cstdlib>

#include "basilstream/base/invariant/invariant.hpp"
#include "bench/policy_benchmark/simulation.hpp"

using namespace basilstream;
using namespace basilstream::bench;

auto main(int argc, char** argv) -> int {
    const auto util = argc > 1 ? std::atof(argv[1]) : 0.7;
    const auto secs = argc > 2 ? std::atof(argv[2]) : 900;
    for (auto kind :
         {deployment_kind::angebotswerk, deployment_kind::banevagt}) {
        const auto made = make_deployment(kind, 20);
        for (const auto& [tk, tn] : trace_names.rows_) {
            const auto tr = make_trace(tk, made, 1, secs, util, 20);
            for (auto pk :
                 {placement_kind::static_even, placement_kind::follow_demand,
                  placement_kind::ours, placement_kind::without_spares}) {
                auto sim = simulation{
                    made, tr, {"", pk, traffic_kind::least_loaded, false}};
                const auto f = sim.run();
                std::printf("%-16s %d req %zu att %.4f ref %zu moves %zu ad "
                            "%zu ft95 %.2f int95 %.4f reach %.3f viol %lu\n",
                            tn.data(), (int)pk, f.requests_, f.attainment(),
                            f.refused_, f.moves_, f.adapter_loads_,
                            f.first_token_p95_, f.interval_p95_, f.reachable_,
                            (unsigned long)invariant_violations());
            }
            auto sim = simulation{
                made,
                tr,
                {"", placement_kind::ours, traffic_kind::least_loaded, true}};
            const auto f = sim.run();
            std::printf("%-16s bound req %zu att %.4f\n", tn.data(),
                        f.requests_, f.attainment());
            std::fflush(stdout);
        }
    }
}
