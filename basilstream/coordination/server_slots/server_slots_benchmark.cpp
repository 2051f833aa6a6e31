#include "basilstream/coordination/server_slots/server_slots.hpp"

#include <benchmark/benchmark.h>

namespace basilstream::coordination {
namespace {

// One request takes a slot and gives it back. The argument is the number of
// servers, each of which has half of its slots taken.
auto take_and_give_back(benchmark::State& state) -> void {
    constexpr auto slots = 32;
    auto ledger = slot_ledger{};
    const auto now = time_point{} + std::chrono::hours{1};
    auto id = std::uint64_t{0};
    const auto take = [&](const std::string& server) {
        ledger.take({.server_ = server,
                     .daemon_ = "d",
                     .id_ = ++id,
                     .bearable_ = 5,
                     .lifetime_ = seconds{5}},
                    now);
        benchmark::DoNotOptimize(ledger.take_decisions());
    };
    const auto servers = static_cast<int>(state.range(0));
    for (auto server = 0; server < servers; ++server) {
        const auto name = "s" + std::to_string(server);
        ledger.set_server(name, 1000, slots, false);
        for (auto request = 0; request < slots / 2; ++request) {
            take(name);
        }
    }
    while (state.KeepRunning()) {
        take("s0");
        ledger.give_back("s0", {"d", id}, slot_outcome::answered, now);
    }
}
BENCHMARK(take_and_give_back)->Arg(20)->Arg(1700);

// The regular work of an owner of all servers, none of which makes anybody
// wait.
auto tick(benchmark::State& state) -> void {
    auto ledger = slot_ledger{};
    const auto now = time_point{} + std::chrono::hours{1};
    for (auto server = 0; server < state.range(0); ++server) {
        const auto name = "s" + std::to_string(server);
        ledger.set_server(name, 1000, 32, false);
        ledger.take({.server_ = name,
                     .daemon_ = "d",
                     .id_ = static_cast<std::uint64_t>(server),
                     .bearable_ = 5,
                     .lifetime_ = seconds{5}},
                    now);
    }
    while (state.KeepRunning()) {
        ledger.tick(now);
    }
}
BENCHMARK(tick)->Arg(20)->Arg(1700);

} // namespace
} // namespace basilstream::coordination
