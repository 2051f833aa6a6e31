#include "bench/capacity/capacity.hpp"
#include "bench/capacity/membership_cluster.hpp"

namespace basilstream::bench {

auto measure_membership() -> cost_curve {
    auto curve =
        cost_curve{"membership", "one second of one daemon", "daemons", {}};
    constexpr auto joining = seconds{180};
    constexpr auto measured = seconds{10};
    for (const auto daemons : {36, 120, 360}) {
        auto all = membership_cluster{daemons};
        all.run(joining);
        (void)all.take_bytes();
        const auto count = static_cast<double>(daemons) * 10;
        const auto spent = seconds_of(1, [&] { all.run(measured); });
        constexpr auto rounds = 3;
        curve.points_.push_back({all.mean_known(), spent / count,
                                 all.take_bytes() / rounds / count});
    }
    return curve;
}

} // namespace basilstream::bench
