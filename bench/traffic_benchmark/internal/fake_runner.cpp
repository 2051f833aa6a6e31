#include "bench/traffic_benchmark/internal/fake_runner.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::bench::internal {
namespace {

constexpr auto prefill = milliseconds{160};
constexpr auto cached_prefill = milliseconds{40};
constexpr auto token = milliseconds{20};
// Each answer under way makes tokens slower by this share.
constexpr auto slowdown = 0.05;
constexpr auto cached_prefixes = std::size_t{24};

auto token_interval(int running) -> duration {
    return duration{static_cast<duration::rep>(
        static_cast<double>(duration{token}.count()) *
        (1 + slowdown * running))};
}

} // namespace

fake_runner::fake_runner(event_loop& loop, int slots, bool queueing)
    : loop_{loop}, slots_{slots}, queueing_{queueing} {}

auto fake_runner::full_service(double tokens, int slots) -> duration {
    const auto generation = duration{static_cast<duration::rep>(
        tokens * static_cast<double>(token_interval(slots).count()))};
    return prefill + generation;
}

auto fake_runner::start(attempt request) -> start_outcome {
    if (loop_.now() < down_until_) {
        return start_outcome::down;
    }
    if (running() < slots_) {
        begin(std::move(request));
        return start_outcome::accepted;
    }
    if (!queueing_) {
        return start_outcome::no_slot;
    }
    waiting_.push_back(std::move(request));
    return start_outcome::accepted;
}

auto fake_runner::begin(attempt request) -> void {
    ++starts_;
    const auto id = request.id_;
    const auto hit = touch_prefix(request.prefix_);
    hits_ += hit ? 1 : 0;
    const auto first = hit ? cached_prefill : prefill;
    const auto interval = token_interval(running() + 1);
    running_[id] = {loop_.now() + first, interval, request.tokens_,
                    std::move(request.on_crashed_)};
    const auto guarded = [this, id](std::function<void()> action) {
        return [this, id, action = std::move(action)] {
            if (running_.contains(id)) {
                action();
            }
        };
    };
    loop_.after(first, guarded(std::move(request.on_first_token_)));
    loop_.after(first + (request.tokens_ - 1) * interval,
                guarded([this, id, done = std::move(request.on_finished_)] {
                    finish(id);
                    done();
                }));
}

auto fake_runner::crash(duration down) -> void {
    down_until_ = loop_.now() + down;
    recent_.clear();
    cached_.clear();
    auto ended = std::exchange(running_, {});
    for (auto& each : std::exchange(waiting_, {})) {
        ended[each.id_] = {
            time_point::max(), {}, 0, std::move(each.on_crashed_)};
    }
    for (const auto& [id, each] : ended) {
        auto sent = 0;
        if (loop_.now() >= each.first_token_) {
            const auto streaming = loop_.now() - each.first_token_;
            sent = 1 + static_cast<int>(streaming / each.interval_);
        }
        each.on_crashed_(std::min(sent, each.tokens_));
    }
}

auto fake_runner::finish(std::uint64_t id) -> void {
    running_.erase(id);
    if (!waiting_.empty()) {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        begin(std::move(next));
    }
}

auto fake_runner::cancel(std::uint64_t id) -> void {
    if (running_.contains(id)) {
        finish(id);
    } else {
        std::erase_if(waiting_,
                      [&](const attempt& each) { return each.id_ == id; });
    }
}

// Returns whether the prefix was cached; the least recently used one goes.
auto fake_runner::touch_prefix(std::uint64_t prefix) -> bool {
    const auto found = cached_.find(prefix);
    if (found != cached_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return true;
    }
    recent_.push_front(prefix);
    cached_[prefix] = recent_.begin();
    if (listener_) {
        listener_(prefix, true);
    }
    if (recent_.size() > cached_prefixes) {
        const auto evicted = recent_.back();
        recent_.pop_back();
        cached_.erase(evicted);
        if (listener_) {
            listener_(evicted, false);
        }
    }
    return false;
}

} // namespace basilstream::bench::internal
