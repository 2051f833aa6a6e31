/// Bounded queue that joins the threads of two duties.
///
///     auto ring = bounded_ring<int>{1024};
///     if (!ring.try_push(7)) { /* full: the producer decides */ }
///     ring.drain([](int value) { ... });
#pragma once

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace basilstream::transport {

/// A first-in first-out queue of at most `capacity` values. Any number of
/// producers, one consumer; all members are safe to call concurrently. A push
/// to a full ring fails at once and leaves the value with the producer.
template <class Value>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : capacity_{capacity} {
        pending_.reserve(capacity < initial_slots_ ? capacity : initial_slots_);
    }

    /// Appends `value`; returns false, without moving from it, when full.
    [[nodiscard]] auto try_push(Value&& value) -> bool {
        const auto lock = std::lock_guard{mutex_};
        if (pending_.size() >= capacity_) {
            return false;
        }
        pending_.push_back(std::move(value));
        return true;
    }

    /// Calls `consume` for each value present at the call, oldest first.
    /// Returns how many there were. The lock is not held during the calls.
    template <class Consumer>
    auto drain(Consumer consume) -> std::size_t {
        auto taken = std::vector<Value>{};
        {
            const auto lock = std::lock_guard{mutex_};
            taken.swap(pending_);
        }
        for (auto& value : taken) {
            consume(std::move(value));
        }
        return taken.size();
    }

    /// Returns the number of waiting values.
    [[nodiscard]] auto size() const -> std::size_t {
        const auto lock = std::lock_guard{mutex_};
        return pending_.size();
    }

private:
    static constexpr std::size_t initial_slots_ = 64;
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::vector<Value> pending_;
};

} // namespace basilstream::transport
