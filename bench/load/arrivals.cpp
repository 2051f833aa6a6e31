#include <algorithm>
#include <array>
#include <cmath>

#include "bench/load/load.hpp"

namespace basilstream::bench {
namespace {

auto steady(double /*progress*/) -> double {
    return 1.0;
}

auto burst(double progress) -> double {
    constexpr auto begin = 1.0 / 3;
    constexpr auto end = 2.0 / 3;
    return progress >= begin && progress < end ? max_rate_factor : 1.0;
}

auto meet_morning(double progress) -> double {
    constexpr auto sessions = 5.0;
    constexpr auto decay = 4.0;
    const auto within = std::fmod(progress * sessions, 1.0);
    return 1.0 + (max_rate_factor - 1.0) * std::exp(-decay * within);
}

auto tender_deadline(double progress) -> double {
    constexpr auto deadline = 0.85;
    constexpr auto after = 0.1;
    return progress < deadline ? std::pow(max_rate_factor, progress / deadline)
                               : after;
}

using factor_function = double (*)(double);
constexpr auto factors =
    std::array<std::pair<arrival_pattern, factor_function>, 4>{
        {{arrival_pattern::steady, steady},
         {arrival_pattern::burst, burst},
         {arrival_pattern::meet_morning, meet_morning},
         {arrival_pattern::tender_deadline, tender_deadline}}};

} // namespace

auto rate_factor(arrival_pattern pattern, double progress) -> double {
    const auto* const found =
        std::find_if(factors.begin(), factors.end(),
                     [&](const auto& row) { return row.first == pattern; });
    return found->second(progress);
}

auto draw_arrivals(arrival_pattern pattern, double rate, duration length,
                   std::size_t limit, random_source& random)
    -> std::vector<duration> {
    const auto total = std::chrono::duration<double>(length).count();
    const auto top_rate = rate * max_rate_factor;
    auto arrivals = std::vector<duration>{};
    auto at = 0.0;
    while (arrivals.size() < limit) {
        at += -std::log(1.0 - random.fraction()) / top_rate;
        if (at >= total) {
            break;
        }
        const auto kept = rate_factor(pattern, at / total) / max_rate_factor;
        if (random.fraction() < kept) {
            arrivals.push_back(std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{at}));
        }
    }
    return arrivals;
}

} // namespace basilstream::bench
