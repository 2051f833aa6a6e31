// Bytes and time of records and snapshots on the wire, against the size of
// the deployment in runners.
#include <benchmark/benchmark.h>

#include "basilstream/coordination/log_client/log_client.hpp"
#include "basilstream/protocol/record_codec/record_codec.hpp"
#include "testing/state_sample/state_sample.hpp"

namespace basilstream::protocol {
namespace {

constexpr auto part_bytes = std::size_t{256} * 1024;
constexpr auto moves = std::size_t{4000};

auto encode_all(const std::vector<state::snapshot_part>& parts)
    -> std::vector<std::string> {
    auto payloads = std::vector<std::string>{};
    for (const auto& part : parts) {
        payloads.push_back(encode_record({{1, 2}, 0, part}));
    }
    return payloads;
}

auto write_snapshot(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    auto random = seeded_random{1};
    auto bytes = std::size_t{0};
    auto parts = std::size_t{0};
    while (run.KeepRunning()) {
        bytes = 0;
        const auto payloads =
            encode_all(coordination::make_snapshot(state, random, part_bytes));
        parts = payloads.size();
        for (const auto& payload : payloads) {
            bytes += payload.size();
        }
    }
    run.counters["bytes"] = static_cast<double>(bytes);
    run.counters["parts"] = static_cast<double>(parts);
    run.SetComplexityN(run.range(0));
}

// From the payloads of a snapshot to a state that is ready.
auto start_from_snapshot(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    auto random = seeded_random{1};
    const auto payloads =
        encode_all(coordination::make_snapshot(state, random, part_bytes));
    while (run.KeepRunning()) {
        auto gathered = coordination::snapshot_collector{};
        for (const auto& payload : payloads) {
            const auto entry = decode_record(payload);
            gathered.add(std::get<state::snapshot_part>(entry->body_));
        }
        benchmark::DoNotOptimize(
            gathered.restore({}, state::duplicate_window).has_value());
    }
    run.SetComplexityN(run.range(0));
}

// From the payloads of a tail to the state after it.
auto read_tail(benchmark::State& run) -> void {
    const auto sample =
        testing::state_sample{static_cast<std::size_t>(run.range(0))};
    const auto base = sample.replay();
    auto payloads = std::vector<std::string>{};
    auto bytes = std::size_t{0};
    for (const auto& entry : sample.moves(moves)) {
        payloads.push_back(encode_record(entry));
        bytes += payloads.back().size();
    }
    while (run.KeepRunning()) {
        run.PauseTiming();
        auto target = base;
        run.ResumeTiming();
        for (const auto& payload : payloads) {
            target.apply(target.next_offset(), *decode_record(payload));
        }
    }
    run.counters["records_per_second"] =
        benchmark::Counter(static_cast<double>(payloads.size()),
                           benchmark::Counter::kIsIterationInvariantRate);
    run.counters["bytes_per_record"] =
        static_cast<double>(bytes) / static_cast<double>(payloads.size());
}

auto renewal_bytes(benchmark::State& run) -> void {
    auto bytes = std::size_t{0};
    while (run.KeepRunning()) {
        bytes = encode_record({{1, 2},
                               std::uint64_t{1} << 40U,
                               state::shard_renewal{"region-1-zone-12",
                                                    std::uint64_t{1} << 40U}})
                    .size();
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

auto sizes(benchmark::internal::Benchmark* added) -> void {
    for (const auto runners : {20, 100, 400, 1700}) {
        added->Arg(runners);
    }
    added->Unit(benchmark::kMicrosecond);
}

BENCHMARK(write_snapshot)->Apply(sizes)->Complexity(benchmark::oN);
BENCHMARK(start_from_snapshot)->Apply(sizes)->Complexity(benchmark::oN);
BENCHMARK(read_tail)->Apply(sizes);
BENCHMARK(renewal_bytes);

} // namespace
} // namespace basilstream::protocol
