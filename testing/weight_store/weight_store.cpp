#include "testing/weight_store/weight_store.hpp"

#include <algorithm>
#include <cmath>

namespace basilstream::testing {
namespace {

auto to_seconds(duration length) -> double {
    return std::chrono::duration<double>(length).count();
}

auto from_seconds(double length) -> duration {
    return duration{static_cast<std::int64_t>(std::ceil(length * 1e9))};
}

// Rounding may leave this much of an ended transfer.
constexpr auto rounding_seconds = 1e-8;

} // namespace

weight_store::weight_store(weight_store_settings settings, const clock& time,
                           random_source& random)
    : settings_{settings}, clock_{time}, random_{random},
      progressed_{time.now()}, next_start_{time.now()} {}

auto weight_store::begin(bool adapter) -> std::uint64_t {
    progress_until(clock_.now());
    auto added = transfer{.adapter_ = adapter, .start_ = clock_.now()};
    if (adapter) {
        const auto shortest = to_seconds(settings_.adapter_shortest_);
        const auto longest = to_seconds(settings_.adapter_longest_);
        added.left_ = shortest + (longest - shortest) * random_.fraction();
        ++books_.adapter_loads_;
    } else {
        added.left_ = to_seconds(settings_.load_time_);
        added.start_ = std::max(added.start_, next_start_);
        next_start_ =
            added.start_ + from_seconds(1.0 / settings_.loads_per_second_);
        ++books_.model_loads_;
        books_.paced_ += added.start_ > clock_.now() ? 1 : 0;
    }
    const auto id = next_id_++;
    transfers_.emplace(id, added);
    auto& peak =
        adapter ? books_.peak_adapter_loads_ : books_.peak_model_loads_;
    peak = std::max(peak, active(adapter, clock_.now()));
    return id;
}

auto weight_store::advance() -> std::vector<std::uint64_t> {
    progress_until(clock_.now());
    auto ended = std::vector<std::uint64_t>{};
    for (const auto& [id, running] : transfers_) {
        if (running.left_ <= rounding_seconds) {
            ended.push_back(id);
        }
    }
    for (const auto id : ended) {
        transfers_.erase(id);
    }
    return ended;
}

auto weight_store::next_due() const -> std::optional<time_point> {
    return next_change();
}

auto weight_store::active(bool adapter, time_point at) const -> std::uint64_t {
    return static_cast<std::uint64_t>(std::count_if(
        transfers_.begin(), transfers_.end(), [&](const auto& entry) {
            const auto& other = entry.second;
            return other.adapter_ == adapter && other.start_ <= at &&
                   other.left_ > rounding_seconds;
        }));
}

auto weight_store::speed(bool adapter, time_point at) const -> double {
    const auto limit =
        adapter ? settings_.adapters_at_once_ : settings_.loads_at_once_;
    const auto now_active = std::max<std::uint64_t>(1, active(adapter, at));
    return std::min(1.0, static_cast<double>(limit) /
                             static_cast<double>(now_active));
}

// The next start or end, from `progressed_` on: speeds hold until then.
auto weight_store::next_change() const -> std::optional<time_point> {
    auto next = std::optional<time_point>{};
    for (const auto& [id, other] : transfers_) {
        auto change = other.start_;
        if (other.start_ <= progressed_) {
            if (other.left_ <= rounding_seconds) {
                // An ended transfer changes nothing more.
                continue;
            }
            change =
                progressed_ +
                from_seconds(other.left_ / speed(other.adapter_, progressed_));
        }
        next = next ? std::min(*next, change) : change;
    }
    return next;
}

auto weight_store::progress_until(time_point at) -> void {
    while (progressed_ < at) {
        const auto change = next_change().value_or(at);
        // Rounding must not stall time.
        const auto stop = std::clamp(change, progressed_ + duration{1}, at);
        const auto span = to_seconds(stop - progressed_);
        const auto model_speed = speed(false, progressed_);
        const auto adapter_speed = speed(true, progressed_);
        for (auto& [id, other] : transfers_) {
            if (other.start_ <= progressed_) {
                other.left_ -=
                    span * (other.adapter_ ? adapter_speed : model_speed);
            }
        }
        progressed_ = stop;
        for (const auto kind : {false, true}) {
            auto& peak =
                kind ? books_.peak_adapter_loads_ : books_.peak_model_loads_;
            peak = std::max(peak, active(kind, progressed_));
        }
    }
}

} // namespace basilstream::testing
