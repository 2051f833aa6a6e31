#include <algorithm>

#include "basilstream/coordination/admission/admission.hpp"

namespace basilstream::coordination {

concurrency_limit::concurrency_limit(const admission_settings& settings,
                                     int slots)
    : decrease_factor_{settings.decrease_factor_},
      decrease_interval_{settings.decrease_interval_},
      initial_share_{settings.initial_share_}, slots_{std::max(slots, 1)},
      limit_{std::max(initial_share_ * slots_, 1.0)} {}

auto concurrency_limit::set_slots(int slots) -> void {
    const auto grown = slots > slots_;
    slots_ = std::max(slots, 1);
    if (grown && !constrained_) {
        limit_ = std::max(limit_, initial_share_ * slots_);
    }
    limit_ = std::min(limit_, static_cast<double>(slots_));
}

auto concurrency_limit::on_success(int in_flight) -> void {
    // Below the limit, a success does not show that a higher limit would work.
    if (in_flight < value()) {
        return;
    }
    limit_ = std::min(limit_ + 1 / limit_, static_cast<double>(slots_));
}

auto concurrency_limit::on_congestion(time_point now) -> void {
    if (last_decrease_ && now < *last_decrease_ + decrease_interval_) {
        return;
    }
    last_decrease_ = now;
    constrained_ = true;
    limit_ = std::max(limit_ * decrease_factor_, 1.0);
}

auto concurrency_limit::on_no_slot(int in_flight) -> void {
    constrained_ = true;
    limit_ = std::clamp(static_cast<double>(in_flight), 1.0, limit_);
}

auto concurrency_limit::value() const -> int {
    return static_cast<int>(limit_);
}

} // namespace basilstream::coordination
