#include "basilstream/transport/bounded_ring/bounded_ring.hpp"

#include <memory>
#include <thread>

#include <gtest/gtest.h>

namespace basilstream::transport {
namespace {

TEST(bounded_ring, full_ring_refuses_and_leaves_the_value) {
    auto ring = bounded_ring<std::unique_ptr<int>>{1};
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    EXPECT_TRUE(ring.try_push(std::move(first)));
    EXPECT_FALSE(ring.try_push(std::move(second)));
    // A refused push moves nothing.
    // NOLINTBEGIN(bugprone-use-after-move)
    ASSERT_NE(second, nullptr);
    EXPECT_EQ(*second, 2);
    // NOLINTEND(bugprone-use-after-move)
}

TEST(bounded_ring, keeps_each_producers_order) {
    constexpr auto count = 10'000;
    auto ring = bounded_ring<int>{64};
    auto producer = std::thread{[&ring] {
        for (auto value = 0; value < count; ++value) {
            while (!ring.try_push(int{value})) {
                std::this_thread::yield();
            }
        }
    }};
    auto expected = 0;
    while (expected < count) {
        ring.drain([&](int value) { EXPECT_EQ(value, expected++); });
    }
    producer.join();
}

} // namespace
} // namespace basilstream::transport
