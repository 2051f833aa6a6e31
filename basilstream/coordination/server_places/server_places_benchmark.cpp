#include "basilstream/coordination/server_places/server_places.hpp"

#include <benchmark/benchmark.h>

namespace basilstream::coordination {
namespace {

// One request takes a place and gives it back. The argument is the number of
// servers, each of which has half of its places taken.
auto take_and_give_back(benchmark::State& state) -> void {
    constexpr auto slots = 32;
    auto places = place_ledger{};
    const auto now = time_point{} + std::chrono::hours{1};
    auto id = std::uint64_t{0};
    const auto take = [&](const std::string& server) {
        places.take({.server_ = server,
                     .daemon_ = "d",
                     .id_ = ++id,
                     .bearable_ = 5,
                     .lifetime_ = seconds{5}},
                    now);
        benchmark::DoNotOptimize(places.take_decisions());
    };
    const auto servers = static_cast<int>(state.range(0));
    for (auto server = 0; server < servers; ++server) {
        const auto name = "s" + std::to_string(server);
        places.set_server(name, 1000, slots, false);
        for (auto request = 0; request < slots / 2; ++request) {
            take(name);
        }
    }
    while (state.KeepRunning()) {
        take("s0");
        places.give_back("s0", {"d", id}, place_outcome::answered, now);
    }
}
BENCHMARK(take_and_give_back)->Arg(20)->Arg(1700);

// The regular work of an owner of all servers, none of which makes anybody
// wait.
auto tick(benchmark::State& state) -> void {
    auto places = place_ledger{};
    const auto now = time_point{} + std::chrono::hours{1};
    for (auto server = 0; server < state.range(0); ++server) {
        const auto name = "s" + std::to_string(server);
        places.set_server(name, 1000, 32, false);
        places.take({.server_ = name,
                     .daemon_ = "d",
                     .id_ = static_cast<std::uint64_t>(server),
                     .bearable_ = 5,
                     .lifetime_ = seconds{5}},
                    now);
    }
    while (state.KeepRunning()) {
        places.tick(now);
    }
}
BENCHMARK(tick)->Arg(20)->Arg(1700);

} // namespace
} // namespace basilstream::coordination
