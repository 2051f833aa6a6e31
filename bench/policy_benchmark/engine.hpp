/// A stand-in for a model engine on virtual time: continuous batching, a
/// prefix cache with least-recently-used eviction, a queue when all slots are
/// taken.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "bench/policy_benchmark/deployment.hpp"

namespace basilstream::bench {

using request_index = std::uint32_t;

/// What an engine is asked to do.
struct engine_request {
    request_index index_ = 0;
    std::uint64_t prefix_ = 0;
    int prompt_tokens_ = 0;
    int output_tokens_ = 0;
};

enum class engine_event_kind { first_token, finished };

struct engine_event {
    request_index index_ = 0;
    engine_event_kind kind_ = engine_event_kind::first_token;
};

/// One engine. All requests that run advance at the same pace, in units of one
/// token, so that only first and last tokens need events.
class engine {
public:
    explicit engine(const engine_speed& speed) : speed_{speed} {}

    /// Starts or queues a request at `now`. Returns true when its prefix was
    /// not in the cache and is now.
    auto start(const engine_request& request, double now) -> bool;

    /// Returns when the next event is due, or nothing.
    [[nodiscard]] auto next_event() const -> std::optional<double>;

    /// Carries out the events due at `now`.
    auto advance(double now) -> std::vector<engine_event>;

    /// Tells whether weights are being loaded.
    auto set_loading(bool loading, double now) -> void;

    /// Steps taken since the start, as of the last call; a request that runs
    /// gets one token in each.
    [[nodiscard]] auto position() const -> double { return position_; }
    /// The same at `now`.
    [[nodiscard]] auto position_at(double now) -> double {
        move_to(now);
        return position_;
    }

    [[nodiscard]] auto running() const -> int { return running_; }
    [[nodiscard]] auto waiting() const -> int {
        return static_cast<int>(queue_.size());
    }
    /// Prefix evicted by the last start(), or 0.
    [[nodiscard]] auto evicted() const -> std::uint64_t { return evicted_; }

    /// Returns the requests that run or wait, and forgets them.
    auto drain() -> std::vector<request_index>;

private:
    struct milestone {
        double at_ = 0;
        request_index index_ = 0;
        engine_event_kind kind_ = engine_event_kind::first_token;
        int tokens_after_ = 0;
        auto operator>(const milestone& other) const -> bool {
            return at_ != other.at_ ? at_ > other.at_ : index_ > other.index_;
        }
    };

    auto move_to(double now) -> void;
    auto admit(const engine_request& request) -> bool;
    auto touch(std::uint64_t prefix) -> bool;
    [[nodiscard]] auto step() const -> double;

    engine_speed speed_;
    double time_ = 0;
    // Steps that each request has advanced by since the start.
    double position_ = 0;
    double weight_ = 0;
    int running_ = 0;
    bool loading_ = false;
    std::uint64_t evicted_ = 0;
    std::priority_queue<milestone, std::vector<milestone>, std::greater<>>
        milestones_;
    std::deque<engine_request> queue_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cached_;
};

} // namespace basilstream::bench
