#include "bench/policy_benchmark/engine.hpp"

#include <algorithm>

namespace basilstream::bench {
namespace {

// Share of a prompt that a cached prefix leaves to compute.
constexpr auto uncached_share = 0.15;
constexpr auto rounding = 1e-9;

} // namespace

auto engine::step() const -> double {
    return speed_.step(weight_) * (loading_ ? speed_.loading_slowdown_ : 1);
}

auto engine::move_to(double now) -> void {
    if (running_ > 0) {
        position_ += (now - time_) / step();
    }
    time_ = now;
}

auto engine::start(const engine_request& request, double now) -> bool {
    move_to(now);
    evicted_ = 0;
    if (running_ >= speed_.slots_) {
        queue_.push_back(request);
        return false;
    }
    return admit(request);
}

auto engine::admit(const engine_request& request) -> bool {
    const auto hit = touch(request.prefix_);
    const auto share = hit ? uncached_share : 1.0;
    const auto prefill =
        request.prompt_tokens_ * share / speed_.prefill_tokens_per_step_;
    ++running_;
    weight_ += speed_.prefill_weight_;
    milestones_.push({position_ + prefill + 1, request.index_,
                      engine_event_kind::first_token,
                      request.output_tokens_ - 1});
    return !hit;
}

auto engine::touch(std::uint64_t prefix) -> bool {
    const auto at = cached_.find(prefix);
    if (at != cached_.end()) {
        recent_.splice(recent_.begin(), recent_, at->second);
        return true;
    }
    recent_.push_front(prefix);
    cached_[prefix] = recent_.begin();
    if (recent_.size() > speed_.cached_prefixes_) {
        evicted_ = recent_.back();
        cached_.erase(recent_.back());
        recent_.pop_back();
    }
    return false;
}

auto engine::next_event() const -> std::optional<double> {
    if (milestones_.empty()) {
        return std::nullopt;
    }
    const auto ahead = std::max(0.0, milestones_.top().at_ - position_);
    return time_ + ahead * step();
}

auto engine::advance(double now) -> std::vector<engine_event> {
    move_to(now);
    auto events = std::vector<engine_event>{};
    while (!milestones_.empty() &&
           milestones_.top().at_ <= position_ + rounding) {
        const auto due = milestones_.top();
        milestones_.pop();
        events.push_back({due.index_, due.kind_});
        if (due.kind_ == engine_event_kind::first_token) {
            weight_ -= speed_.prefill_weight_ - 1;
            milestones_.push({position_ + due.tokens_after_, due.index_,
                              engine_event_kind::finished, 0});
            continue;
        }
        weight_ -= 1;
        --running_;
        if (!queue_.empty()) {
            const auto next = queue_.front();
            queue_.pop_front();
            admit(next);
        }
    }
    return events;
}

auto engine::set_loading(bool loading, double now) -> void {
    move_to(now);
    loading_ = loading;
}

auto engine::drain() -> std::vector<request_index> {
    auto result = std::vector<request_index>{};
    while (!milestones_.empty()) {
        result.push_back(milestones_.top().index_);
        milestones_.pop();
    }
    for (const auto& request : queue_) {
        result.push_back(request.index_);
    }
    queue_.clear();
    running_ = 0;
    weight_ = 0;
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace basilstream::bench
