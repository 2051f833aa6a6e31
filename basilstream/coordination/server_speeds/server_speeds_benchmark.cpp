#include <string>

#include <benchmark/benchmark.h>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/server_speeds/server_speeds.hpp"

namespace basilstream::coordination {
namespace {

// Fills all samples of servers that hold three of 170 models each.
auto fill(server_speeds& speeds, int servers, time_point now) -> void {
    auto random = seeded_random{1};
    for (auto index = 0; index < servers; ++index) {
        auto server =
            speed_server{"runner-" + std::to_string(index), "chat", "boot", {}};
        for (auto model = 0; model < 3; ++model) {
            server.models_.push_back(
                "chat/" + std::to_string((index * 7 + model * 31) % 170));
        }
        speeds.set_server(server);
        for (auto sample = 0; sample < 32; ++sample) {
            speeds.on_stream(
                server.id_, server.models_[random.below(3)],
                milliseconds{20 + static_cast<int>(random.below(60))},
                random.fraction(), now);
        }
    }
}

auto fit_all(benchmark::State& state) -> void {
    const auto now = time_point{seconds{100}};
    auto speeds = server_speeds{};
    fill(speeds, static_cast<int>(state.range(0)), now);
    speeds.fit(now);
    while (state.KeepRunning()) {
        speeds.fit(now);
        benchmark::DoNotOptimize(speeds.weights(now));
    }
}

BENCHMARK(fit_all)->Arg(112)->Arg(1700);

} // namespace
} // namespace basilstream::coordination
