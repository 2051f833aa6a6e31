#include "basilstream/coordination/server_limits/server_limits.hpp"

#include <algorithm>

#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::coordination {
namespace {

// Lowest rate at which a limited server is used, to notice the end of a limit.
constexpr auto min_rate = 0.2;
// Requests may be this much ahead of the rate, which adds bursts of one request
// and half a second's worth.
constexpr auto burst_tolerance = milliseconds{500};
// Bound of the time that refused callers are told to wait.
constexpr auto max_return_wait = seconds{10};
// Keeps intervals above zero at any rate.
constexpr auto min_interval = duration{std::chrono::microseconds{1}};

auto interval_of(double per_second) -> duration {
    const auto interval =
        std::chrono::duration<double>(1.0 / std::max(per_second, min_rate));
    return std::max(std::chrono::duration_cast<duration>(interval),
                    min_interval);
}

} // namespace

auto permit_ledger::reserve(const std::string& server, double per_second,
                            duration max_wait, time_point now) -> permit {
    // A new schedule begins without a burst, as another daemon may have just
    // used one.
    auto& plan = schedules_
                     .try_emplace(server, schedule{.next_request_ =
                                                       now + burst_tolerance})
                     .first->second;
    const auto interval = interval_of(per_second);
    plan.next_request_ = std::max(plan.next_request_, now);
    if (plan.per_second_ > 0 && plan.per_second_ != per_second) {
        // Reservations that were made at the former rate keep their number.
        const auto scale = std::chrono::duration<double>(interval) /
                           interval_of(plan.per_second_);
        plan.next_request_ = now + std::chrono::duration_cast<duration>(
                                       scale * (plan.next_request_ - now));
    }
    plan.per_second_ = per_second;
    const auto first_free = std::max(now, plan.next_request_ - burst_tolerance);
    if (first_free - now <= max_wait) {
        plan.next_request_ += interval;
        return {true, first_free - now};
    }
    if (max_wait <= duration{0}) {
        return {false, first_free - now};
    }
    const auto back_at = std::max(first_free, plan.next_return_);
    plan.next_return_ =
        std::min<time_point>(back_at + interval, now + max_return_wait);
    return {false, back_at - now};
}

auto permit_ledger::remove_server(const std::string& server) -> void {
    schedules_.erase(server);
}

auto select_permit_owner(const std::string& server,
                         const std::vector<std::string>& daemons)
    -> std::string {
    const auto selected = select_by_weight(server, daemons, 1);
    return selected.empty() ? std::string{} : selected.front();
}

auto permit_ownership::set_daemons(std::vector<std::string> daemons,
                                   time_point now) -> void {
    views_.push_back({std::move(daemons), now});
    // Keeps the view that was in force when the delay began.
    while (views_.size() > 1 && views_[1].since_ <= now - takeover_delay_) {
        views_.pop_front();
    }
}

auto permit_ownership::owner_of(const std::string& server) const
    -> std::string {
    return views_.empty() ? self_
                          : select_permit_owner(server, views_.back().daemons_);
}

auto permit_ownership::takeover_wait(const std::string& server,
                                     time_point now) const
    -> std::optional<duration> {
    if (owner_of(server) != self_) {
        return std::nullopt;
    }
    // From the latest view on, this daemon has owned the server without a
    // break since the beginning of the earliest view that this loop reaches.
    auto owned_since = time_point::min();
    for (auto view = views_.rbegin(); view != views_.rend(); ++view) {
        if (select_permit_owner(server, view->daemons_) != self_) {
            break;
        }
        owned_since = view->since_;
    }
    if (views_.empty()) {
        return duration{0};
    }
    return std::max(owned_since + takeover_delay_ - now, duration{0});
}

} // namespace basilstream::coordination
