// Measures one poll of the executor with no step pending, by the number of
// runners.
#include <benchmark/benchmark.h>

#include "basilstream/coordination/orders/orders.hpp"
#include "testing/state_sample/state_sample.hpp"

namespace basilstream::coordination {
namespace {

class unlimited_permits final : public load_permits {
public:
    auto try_acquire(load_kind /*kind*/, time_point /*now*/) -> bool override {
        return true;
    }
    auto release(load_kind /*kind*/, time_point /*now*/) -> void override {}
};

auto report_of(const state::runner_state& runner) -> runner_report {
    auto report =
        runner_report{runner.boot_id_, 1, runner.memory_bytes_, {}, {}};
    for (const auto& entry : runner.residents_) {
        report.residents_.push_back({entry.key_, entry.bytes_,
                                     entry.load_order_,
                                     reported_resident::phase::ready});
    }
    return report;
}

auto desired_state_of(const state::runner_state& runner) -> desired_runner {
    auto desired = desired_runner{};
    for (const auto& entry : runner.residents_) {
        desired.residents_.push_back({entry.key_, entry.bytes_});
    }
    return desired;
}

auto poll_without_pending_steps(benchmark::State& run) -> void {
    const auto state =
        testing::state_sample{static_cast<std::size_t>(run.range(0))}.replay();
    auto random = seeded_random{1};
    auto permits = unlimited_permits{};
    auto writer = appender{{}, random};
    auto executor = order_executor{{}, permits, writer};
    auto owned_shards = std::map<std::string, state::epoch>{};
    for (const auto& [name, shard] : state.shards()) {
        owned_shards.emplace(name, shard.epoch_);
    }
    auto desired = desired_placement{};
    for (const auto* runner : state.runners()) {
        desired[runner->name_] = desired_state_of(*runner);
        executor.on_report({runner->name_, runner->address_, runner->zone_,
                            runner->shard_, state.next_offset(),
                            report_of(*runner)},
                           time_point{});
    }
    executor.set_desired_placement(std::move(desired));
    while (run.KeepRunning()) {
        benchmark::DoNotOptimize(
            executor.poll(state, owned_shards, true, time_point{}).size());
    }
    run.SetComplexityN(run.range(0));
}

BENCHMARK(poll_without_pending_steps)
    ->Arg(20)
    ->Arg(90)
    ->Arg(400)
    ->Arg(1700)
    ->Unit(benchmark::kMicrosecond)
    ->Complexity(benchmark::oN);

} // namespace
} // namespace basilstream::coordination
