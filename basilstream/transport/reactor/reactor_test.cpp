#include "basilstream/transport/reactor/reactor.hpp"

#include <future>
#include <vector>

#include <gtest/gtest.h>

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

TEST(reactor, stopped_thread_refuses_work) {
    auto thread = reactor_thread{"test", 16};
    thread.start();
    thread.stop();
    EXPECT_FALSE(thread.post([] {}));
}

} // namespace
} // namespace basilstream::transport
