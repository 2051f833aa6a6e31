/// A model engine as far as timing goes: slots, tokens that slow down with the
/// number of answers under way, and a prefix cache.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "bench/traffic_benchmark/internal/event_loop.hpp"

namespace basilstream::bench::internal {

/// One attempt on a runner.
struct attempt {
    std::uint64_t id_ = 0;
    std::uint64_t prefix_ = 0;
    int tokens_ = 1;
    std::function<void()> on_first_token_;
    std::function<void()> on_finished_;
    /// Called with the tokens sent when the runner crashes.
    std::function<void(int)> on_crashed_;
};

/// How a runner takes an attempt.
enum class start_outcome { accepted, no_slot, down };

/// Called with a prefix that was stored (true) or evicted (false).
using cache_listener = std::function<void(std::uint64_t prefix, bool stored)>;

class fake_runner {
public:
    /// With `queueing` attempts wait without bound for a slot; otherwise they
    /// are refused when there is none.
    fake_runner(event_loop& loop, int slots, bool queueing);

    auto start(attempt request) -> start_outcome;
    /// Frees the slot or the place in the queue.
    auto cancel(std::uint64_t id) -> void;
    /// Ends all attempts and refuses new ones for `down`.
    auto crash(duration down) -> void;
    auto listen(cache_listener listener) -> void {
        listener_ = std::move(listener);
    }
    [[nodiscard]] auto running() const -> int {
        return static_cast<int>(running_.size());
    }
    [[nodiscard]] auto waiting() const -> int {
        return static_cast<int>(waiting_.size());
    }
    [[nodiscard]] auto starts() const -> std::uint64_t { return starts_; }
    [[nodiscard]] auto cache_hits() const -> std::uint64_t { return hits_; }

    /// Returns the time of an answer with all slots taken and nothing cached.
    [[nodiscard]] static auto full_service(double tokens, int slots)
        -> duration;

private:
    struct run {
        time_point first_token_;
        duration interval_;
        int tokens_;
        std::function<void(int)> on_crashed_;
    };

    auto begin(attempt request) -> void;
    auto finish(std::uint64_t id) -> void;
    auto touch_prefix(std::uint64_t prefix) -> bool;

    event_loop& loop_;
    int slots_;
    bool queueing_;
    cache_listener listener_;
    std::map<std::uint64_t, run> running_;
    time_point down_until_{};
    std::deque<attempt> waiting_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cached_;
    std::uint64_t starts_ = 0;
    std::uint64_t hits_ = 0;
};

} // namespace basilstream::bench::internal
