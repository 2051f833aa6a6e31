#include "bench/capacity/capacity.hpp"

#include <algorithm>
#include <ctime>

#include <malloc.h>

namespace basilstream::bench {
namespace {

auto processor_seconds() -> double {
    auto now = timespec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

auto fit(const std::vector<cost_point>& points,
         double (*value)(const cost_point&)) -> slope {
    const auto count = static_cast<double>(points.size());
    auto mean_size = 0.0;
    auto mean_value = 0.0;
    for (const auto& point : points) {
        mean_size += point.size_ / count;
        mean_value += value(point) / count;
    }
    auto covariance = 0.0;
    auto variance = 0.0;
    for (const auto& point : points) {
        const auto distance = point.size_ - mean_size;
        covariance += distance * (value(point) - mean_value);
        variance += distance * distance;
    }
    const auto per_unit = variance > 0 ? covariance / variance : 0;
    return {mean_value - per_unit * mean_size, per_unit};
}

} // namespace

auto cost_curve::seconds_slope() const -> slope {
    return fit(points_, [](const cost_point& one) { return one.seconds_; });
}

auto cost_curve::bytes_slope() const -> slope {
    return fit(points_, [](const cost_point& one) { return one.bytes_; });
}

auto seconds_of(std::size_t count, const std::function<void()>& call)
    -> double {
    constexpr auto rounds = 3;
    auto best = 1e9;
    for (auto round = 0; round < rounds; ++round) {
        const auto start = processor_seconds();
        for (auto index = std::size_t{0}; index < count; ++index) {
            call();
        }
        const auto spent = processor_seconds() - start;
        best = std::min(best, spent / static_cast<double>(count));
    }
    return best;
}

auto heap_bytes() -> double {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace basilstream::bench
