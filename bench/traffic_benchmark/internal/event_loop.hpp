/// Runs actions in the order of their virtual times.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::bench::internal {

/// A virtual clock with its actions. Actions due at one time run in the order
/// in which they were added.
class event_loop {
public:
    [[nodiscard]] auto now() const -> time_point { return now_; }

    auto at(time_point due, std::function<void()> action) -> void {
        events_.push({due, next_++, std::move(action)});
    }
    auto after(duration delay, std::function<void()> action) -> void {
        at(now_ + delay, std::move(action));
    }
    auto run_until(time_point end) -> void {
        while (!events_.empty() && events_.top().due_ <= end) {
            // top() is const; the element is popped at once.
            auto action =
                std::move(const_cast<event&>(events_.top()).action_); // NOLINT
            now_ = std::max(now_, events_.top().due_);
            events_.pop();
            action();
        }
        now_ = end;
    }

private:
    struct event {
        time_point due_;
        std::uint64_t order_;
        std::function<void()> action_;
        auto operator<(const event& other) const -> bool {
            return std::pair{due_, order_} >
                   std::pair{other.due_, other.order_};
        }
    };

    time_point now_{};
    std::uint64_t next_ = 0;
    std::priority_queue<event> events_;
};

} // namespace basilstream::bench::internal
