#include <benchmark/benchmark.h>

#include "basilstream/coordination/admission/admission.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto replicas = 4;
constexpr auto slots = 16;

// Measures one submitted and one released request, with as many requests
// queued as the benchmark's argument says.
auto submit_and_release(benchmark::State& state) -> void {
    auto random = seeded_random{1};
    auto routes = router{{.zone_ = "a"}, random};
    auto controller = admission{
        {.queue_capacity_ = 2048, .initial_share_ = 1}, routes, random};
    for (auto index = 0; index < replicas; ++index) {
        const auto name = "runner-" + std::to_string(index);
        routes.update_runner(
            {.name_ = name,
             .slots_ = slots,
             .residents_ = {
                 {.model_ = "m", .version_ = "v", .adapters_ = {}}}});
        controller.set_runner(name, slots);
    }
    auto next = std::uint64_t{0};
    auto running = std::vector<std::string>{};
    const auto submit = [&] {
        auto event =
            controller.submit({.request_id_ = std::to_string(next),
                               .organisation_ = std::to_string(next % 10),
                               .model_ = "m",
                               .priority_ = static_cast<int>(next % 3)},
                              {});
        ++next;
        if (event.outcome_ == admission_outcome::admitted) {
            running.push_back(std::move(event.request_id_));
        }
    };
    for (auto index = 0; index < replicas * slots + state.range(0); ++index) {
        submit();
    }
    auto next_release = std::size_t{0};
    while (state.KeepRunning()) {
        submit();
        auto& released = running[next_release++ % running.size()];
        controller.on_release({.request_id_ = released}, {});
        for (auto& event : controller.poll({})) {
            released = std::move(event.request_id_);
        }
    }
}

BENCHMARK(submit_and_release)->Arg(0)->Arg(64)->Arg(1024);

} // namespace
} // namespace basilstream::coordination
