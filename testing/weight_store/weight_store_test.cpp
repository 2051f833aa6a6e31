#include "testing/weight_store/weight_store.hpp"

#include <gtest/gtest.h>

namespace basilstream::testing {
namespace {

// Runs the store until `id` has ended and returns the elapsed time.
auto time_until(weight_store& store, manual_clock& time, std::uint64_t id)
    -> duration {
    const auto begun = time.now();
    for (;;) {
        for (const auto ended : store.advance()) {
            if (ended == id) {
                return time.now() - begun;
            }
        }
        const auto due = store.next_due();
        if (!due) {
            return duration::max();
        }
        time.advance(std::max(*due - time.now(), duration{1}));
    }
}

TEST(weight_store, paces_starts) {
    auto time = manual_clock{};
    auto random = seeded_random{1};
    auto store = weight_store{{}, time, random};
    store.begin(false);
    const auto second = store.begin(false);
    const auto taken = time_until(store, time, second);
    EXPECT_GE(taken, milliseconds{2500});
    EXPECT_LT(taken, milliseconds{2501});
    EXPECT_EQ(store.books().paced_, 1U);
}

TEST(weight_store, shares_speed_beyond_the_limit) {
    auto time = manual_clock{};
    auto random = seeded_random{1};
    auto store = weight_store{
        {.loads_per_second_ = 1e9, .loads_at_once_ = 1}, time, random};
    store.begin(false);
    const auto second = store.begin(false);
    EXPECT_GE(time_until(store, time, second), milliseconds{3999});
}

TEST(weight_store, adapters_slow_down_in_proportion) {
    auto time = manual_clock{};
    auto random = seeded_random{1};
    auto store = weight_store{{.adapters_at_once_ = 10}, time, random};
    auto last = std::uint64_t{0};
    for (auto number = 0; number < 40; ++number) {
        last = store.begin(true);
    }
    EXPECT_GE(time_until(store, time, last), milliseconds{30});
    EXPECT_EQ(store.books().peak_adapter_loads_, 40U);
}

// An ended transfer that nobody has asked for once held time back: the store
// went on in steps of a nanosecond.
TEST(weight_store, ended_transfers_do_not_hold_back_the_others) {
    auto time = manual_clock{};
    auto random = seeded_random{1};
    auto store = weight_store{{}, time, random};
    store.begin(true);
    store.begin(false);
    time.advance(seconds{10});
    EXPECT_EQ(store.advance().size(), 2U);
}

} // namespace
} // namespace basilstream::testing
