#include "basilstream/transport/reactor/reactor.hpp"

#include <atomic>
#include <chrono>
#include <ctime>
#include <future>
#include <vector>

#include <gtest/gtest.h>
#include <sys/time.h>

namespace {

// Added to the time of day that libraries of this process read.
std::atomic<std::time_t> step_seconds{0};

} // namespace

// Takes the place of the C library's function in this process, so that a test
// can step the time of day. Tests of other names must not depend on it.
extern "C" auto gettimeofday(timeval* result, void* /*zone*/) noexcept -> int {
    auto now = timespec{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    result->tv_sec = now.tv_sec + step_seconds.load();
    result->tv_usec = now.tv_nsec / 1000;
    return 0;
}

namespace basilstream::transport {
namespace {

TEST(reactor, posted_work_runs_in_order_on_the_thread) {
    auto thread = reactor_thread{"test", 1024};
    thread.start();
    auto order = std::vector<int>{};
    auto done = std::promise<bool>{};
    for (auto index = 0; index < 100; ++index) {
        ASSERT_TRUE(thread.post([&order, index] { order.push_back(index); }));
    }
    ASSERT_TRUE(thread.post([&] { done.set_value(thread.on_thread()); }));
    EXPECT_TRUE(done.get_future().get());
    EXPECT_EQ(order.size(), 100U);
    EXPECT_TRUE(std::is_sorted(order.begin(), order.end()));
}

TEST(reactor, timers_fire_once_and_repeatedly) {
    auto thread = reactor_thread{"test", 16};
    auto repeated = 0;
    auto third = std::promise<void>{};
    auto once = std::promise<void>{};
    thread.every(milliseconds{1}, [&] {
        if (++repeated == 3) {
            third.set_value();
        }
    });
    thread.after(milliseconds{1}, [&] { once.set_value(); });
    thread.start();
    third.get_future().wait();
    once.get_future().wait();
    thread.stop();
    EXPECT_GE(repeated, 3);
}

// Sweeps, reads of the store and the end of a stop waited until the time of day
// had made up for the step.
TEST(reactor, step_back_of_the_time_of_day_holds_up_timers) {
    constexpr auto hour = std::time_t{3600};
    auto thread = reactor_thread{"test", 16};
    auto before = std::promise<void>{};
    auto after = std::promise<void>{};
    auto count = 0;
    thread.every(milliseconds{1}, [&] {
        if (++count == 3) {
            before.set_value();
        } else if (count == 6) {
            after.set_value();
        }
    });
    thread.start();
    before.get_future().wait();
    step_seconds = -hour;
    const auto ended = after.get_future().wait_for(std::chrono::seconds{10});
    step_seconds = 0;
    EXPECT_EQ(ended, std::future_status::ready);
    thread.stop();
}

TEST(reactor, stopped_thread_refuses_work) {
    auto thread = reactor_thread{"test", 16};
    thread.start();
    thread.stop();
    EXPECT_FALSE(thread.post([] {}));
}

} // namespace
} // namespace basilstream::transport
