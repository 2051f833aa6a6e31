// Prints which share of the demand figures that daemons gossip arrives: each
// daemon publishes one figure for each model every five seconds.

#include <cstdio>

#include "bench/capacity/membership_cluster.hpp"

namespace {

using namespace basilstream;

auto delivered(int daemons, int models) -> double {
    constexpr auto rounds = 60;
    auto all = bench::membership_cluster{daemons};
    all.run(seconds{60});
    (void)all.take_arrived();
    auto arrived = std::size_t{0};
    for (auto round = 0; round < rounds; ++round) {
        all.publish(models);
        all.run(seconds{5});
        arrived += all.take_arrived();
    }
    const auto expected =
        static_cast<double>(daemons) * (daemons - 1) * models * rounds;
    return static_cast<double>(arrived) / expected;
}

} // namespace

auto main() -> int {
    for (const auto daemons : {2, 6, 36}) {
        for (const auto models : {5, 20, 35}) {
            std::printf("{\"daemons\":%d,\"models\":%d,\"delivered\":%.4f}\n",
                        daemons, models, delivered(daemons, models));
        }
    }
    return 0;
}
