// Prints the cost of each module at several sizes, and the slopes, as JSON.

#include <cstdio>

#include <nlohmann/json.hpp>

#include "bench/capacity/capacity.hpp"

namespace {

using namespace basilstream::bench;

auto to_json(const slope& line) -> nlohmann::json {
    return {{"fixed", line.fixed_}, {"per_unit", line.per_unit_}};
}

auto to_json(const cost_curve& curve) -> nlohmann::json {
    auto points = nlohmann::json::array();
    for (const auto& point : curve.points_) {
        points.push_back({{"size", point.size_},
                          {"seconds", point.seconds_},
                          {"bytes", point.bytes_}});
    }
    return {{"module", curve.module_},
            {"operation", curve.operation_},
            {"unit", curve.unit_},
            {"points", points},
            {"seconds", to_json(curve.seconds_slope())},
            {"bytes", to_json(curve.bytes_slope())}};
}

} // namespace

auto main() -> int {
    auto curves = nlohmann::json::array();
    for (const auto measure :
         {measure_planner, measure_repair_plan, measure_router,
          measure_admission, measure_replay, measure_snapshot, measure_claims,
          measure_discovery, measure_membership}) {
        curves.push_back(to_json(measure()));
    }
    std::printf("%s\n", curves.dump(1).c_str());
    return 0;
}
