#include <benchmark/benchmark.h>

#include "basilstream/coordination/routing/routing.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto replicas_per_model = 4;
constexpr auto zones = 3;

// Adds `runners` runners with one model per five runners, each model on four
// runners. Returns the number of models.
auto fill(router& routes, int runners) -> int {
    const auto models = std::max(runners / 5, 1);
    for (auto index = 0; index < runners; ++index) {
        auto info = runner_info{.name_ = "runner-" + std::to_string(index),
                                .address_ = "127.0.0.1:1",
                                .zone_ = std::to_string(index % zones),
                                .boot_id_ = "boot",
                                .slots_ = 16,
                                .residents_ = {}};
        for (auto model = 0; model < models; ++model) {
            const auto distance = (index - model * 5 + runners) % runners;
            if (distance < replicas_per_model) {
                info.residents_.push_back({.model_ = std::to_string(model),
                                           .version_ = "v1",
                                           .adapters_ = {}});
            }
        }
        routes.update_runner(info);
    }
    return models;
}

auto choose(benchmark::State& state, bool affinity, duration lag = duration{0},
            bool weighted = false) -> void {
    auto random = seeded_random{1};
    auto routes = router{{.zone_ = "0"}, random};
    const auto models = fill(routes, static_cast<int>(state.range(0)));
    routes.set_report_lag(lag);
    if (weighted) {
        auto weights = std::map<std::string, server_weight>{};
        for (auto index = 0; index < state.range(0); ++index) {
            weights["runner-" + std::to_string(index)] = {
                .speed_ = 0.6 + 0.5 * (index % zones), .base_ = 0.2};
        }
        routes.set_weights(std::move(weights));
    }
    auto names = std::vector<std::string>{};
    for (auto model = 0; model < models; ++model) {
        names.push_back(std::to_string(model));
    }
    while (state.KeepRunning()) {
        const auto& model = names[random.below(names.size())];
        auto answer =
            routes.choose({.model_ = model,
                           .prefix_hash_ = affinity ? random.next() | 1U : 0},
                          {});
        routes.start_attempt(answer->runner_);
        routes.finish_attempt(answer->runner_);
        benchmark::DoNotOptimize(answer);
    }
}

auto route_by_affinity(benchmark::State& state) -> void {
    choose(state, true);
}

auto route_by_load(benchmark::State& state) -> void {
    choose(state, false);
}

auto route_by_stale_load(benchmark::State& state) -> void {
    choose(state, false, milliseconds{870});
}

auto route_by_speed(benchmark::State& state) -> void {
    choose(state, false, duration{0}, true);
}

auto route_by_speed_and_stale_load(benchmark::State& state) -> void {
    choose(state, false, milliseconds{870}, true);
}

BENCHMARK(route_by_affinity)->Arg(20)->Arg(90)->Arg(360)->Arg(1700);
BENCHMARK(route_by_load)->Arg(20)->Arg(90)->Arg(360)->Arg(1700);
BENCHMARK(route_by_stale_load)->Arg(1700);
BENCHMARK(route_by_speed)->Arg(1700);
BENCHMARK(route_by_speed_and_stale_load)->Arg(1700);

} // namespace
} // namespace basilstream::coordination
