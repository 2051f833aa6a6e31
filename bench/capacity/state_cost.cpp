#include "bench/capacity/capacity.hpp"
#include "testing/state_sample/state_sample.hpp"

namespace basilstream::bench {
namespace {

constexpr auto sizes = {100, 400, 900, 1700};

} // namespace

auto measure_replay() -> cost_curve {
    auto curve = cost_curve{"state", "apply one record", "runners", {}};
    for (const auto runners : sizes) {
        const auto sample =
            testing::state_sample{static_cast<std::size_t>(runners)};
        const auto before = heap_bytes();
        auto target = sample.replay();
        const auto bytes = heap_bytes() - before;
        constexpr auto records = std::size_t{4000};
        const auto tail = sample.moves(records);
        // Each record is applied once: a second time it would be a duplicate.
        auto next = std::size_t{0};
        const auto spent = seconds_of(tail.size() / 3, [&] {
            (void)target.apply(target.next_offset(), tail[next++]);
        });
        curve.points_.push_back({static_cast<double>(runners), spent, bytes});
    }
    return curve;
}

auto measure_snapshot() -> cost_curve {
    auto curve = cost_curve{"state", "take and restore", "runners", {}};
    for (const auto runners : sizes) {
        const auto state =
            testing::state_sample{static_cast<std::size_t>(runners)}.replay();
        const auto digest = state.digest();
        const auto before = heap_bytes();
        const auto items = state.items();
        const auto bytes = heap_bytes() - before;
        const auto spent = seconds_of(2, [&] {
            (void)state::machine::restore(state.next_offset(), state.items(),
                                          digest);
        });
        curve.points_.push_back({static_cast<double>(runners), spent, bytes});
    }
    return curve;
}

} // namespace basilstream::bench
