// Cost of the state against the size of the deployment, in runners. The rows
// "BigO" of the JSON output are the slopes per runner.
#include <malloc.h>

#include <benchmark/benchmark.h>

#include "testing/state_sample/state_sample.hpp"

namespace basilstream::state {
namespace {

constexpr auto moves = std::size_t{4000};

auto replay_moves(benchmark::State& run) -> void {
    const auto sample =
        testing::state_sample{static_cast<std::size_t>(run.range(0))};
    const auto base = sample.replay();
    const auto tail = sample.moves(moves);
    auto rejected = std::uint64_t{0};
    while (run.KeepRunning()) {
        run.PauseTiming();
        auto target = base;
        run.ResumeTiming();
        for (const auto& entry : tail) {
            rejected +=
                target.apply(target.next_offset(), entry).valid() ? 0 : 1;
        }
    }
    run.counters["records_per_second"] =
        benchmark::Counter(static_cast<double>(tail.size()),
                           benchmark::Counter::kIsIterationInvariantRate);
    run.counters["rejected"] = static_cast<double>(rejected);
}

auto replay_whole_stream(benchmark::State& run) -> void {
    const auto sample =
        testing::state_sample{static_cast<std::size_t>(run.range(0))};
    while (run.KeepRunning()) {
        benchmark::DoNotOptimize(sample.replay().next_offset());
    }
    run.counters["records"] = static_cast<double>(sample.records().size());
    run.SetComplexityN(run.range(0));
}

auto digest(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    while (run.KeepRunning()) {
        benchmark::DoNotOptimize(state.digest());
    }
    run.SetComplexityN(run.range(0));
}

auto take_snapshot(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    while (run.KeepRunning()) {
        benchmark::DoNotOptimize(state.items().size());
    }
    run.SetComplexityN(run.range(0));
}

auto restore_snapshot(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    const auto items = state.items();
    const auto expected = state.digest();
    while (run.KeepRunning()) {
        benchmark::DoNotOptimize(
            machine::restore(state.next_offset(), items, expected).has_value());
    }
    run.SetComplexityN(run.range(0));
}

// Time is of no interest here; the counter is the heap that one state takes.
auto memory(benchmark::State& run) -> void {
    const auto sample =
        testing::state_sample{static_cast<std::size_t>(run.range(0))};
    auto bytes = std::size_t{0};
    while (run.KeepRunning()) {
        const auto before = mallinfo2().uordblks;
        const auto state = sample.replay();
        bytes = mallinfo2().uordblks - before;
        benchmark::DoNotOptimize(state.next_offset());
    }
    run.counters["heap_bytes"] = static_cast<double>(bytes);
    run.counters["heap_bytes_per_runner"] =
        static_cast<double>(bytes) / static_cast<double>(run.range(0));
}

auto find_placements(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    while (run.KeepRunning()) {
        benchmark::DoNotOptimize(
            state.placements("angebotswerk/model-0").size());
    }
}

auto sizes(benchmark::internal::Benchmark* added) -> void {
    for (const auto runners : {20, 100, 400, 1700}) {
        added->Arg(runners);
    }
    added->Unit(benchmark::kMicrosecond);
}

BENCHMARK(replay_moves)->Apply(sizes);
BENCHMARK(replay_whole_stream)->Apply(sizes)->Complexity(benchmark::oN);
BENCHMARK(digest)->Apply(sizes)->Complexity(benchmark::oN);
BENCHMARK(take_snapshot)->Apply(sizes)->Complexity(benchmark::oN);
BENCHMARK(restore_snapshot)->Apply(sizes)->Complexity(benchmark::oN);
BENCHMARK(memory)->Apply(sizes)->Iterations(1);
BENCHMARK(find_placements)->Apply(sizes);

} // namespace
} // namespace basilstream::state
