#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"

#include <benchmark/benchmark.h>

namespace basilstream::coordination {
namespace {

// A daemon whose table of crashes is full judges one more. The argument is the
// number of parts that were in flight at each crash.
auto judge_crashes(benchmark::State& state) -> void {
    constexpr auto crashes = 64;
    const auto parts = static_cast<prompt_part_id>(state.range(0));
    while (state.KeepRunning()) {
        state.PauseTiming();
        auto tracker = prompt_quarantine{{}, "d"};
        auto now = time_point{} + std::chrono::hours{1};
        for (auto number = 0; number < crashes; ++number) {
            auto reported =
                prompt_crash{"s" + std::to_string(number), "boot", {}, {}};
            for (auto part = prompt_part_id{1}; part <= parts; ++part) {
                // A quarter was in flight at each third crash.
                reported.parts_.push_back(
                    part % 4 == 0 ? part
                                  : part * 1000 + static_cast<prompt_part_id>(
                                                      number / 3));
            }
            now += seconds{1};
            tracker.merge(reported, now);
        }
        state.ResumeTiming();
        benchmark::DoNotOptimize(tracker.poll(now));
    }
}
BENCHMARK(judge_crashes)->Arg(50)->Arg(1000)->Unit(benchmark::kMillisecond);

// The check of each request with four parts while one part is held.
auto check_request(benchmark::State& state) -> void {
    auto tracker = prompt_quarantine{{}, "d"};
    const auto now = time_point{} + std::chrono::hours{1};
    tracker.merge(prompt_part_mark{.part_ = 99}, now);
    const auto parts = std::vector<prompt_part_id>{1, 2, 3, 4};
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(tracker.find_held(parts, now));
    }
}
BENCHMARK(check_request);

} // namespace
} // namespace basilstream::coordination
