#include "basilstream/coordination/server_places/server_places.hpp"

#include <algorithm>
#include <cmath>

namespace basilstream::coordination {
namespace {

// Rejections are counted over a second, and a margin for the time that messages
// take.
constexpr auto rejection_window = milliseconds{1200};
// A server whose last rejection is longer ago is taken to have the room that it
// announces.
constexpr auto distrust_time = seconds{10};
// Requests that were sent before places were needed end within this time.
constexpr auto settling_time = seconds{1};
// A rejection is reported within this time after the request was let through.
constexpr auto confirmation_time = milliseconds{30};

constexpr auto growth_interval = seconds{1};
constexpr auto growth_divisor = 4;
// A new process gets a quarter of its places at first, twice as many after each
// interval.
constexpr auto starting_divisor = 4;
constexpr auto starting_growth_interval = milliseconds{500};
constexpr auto strong_reduction = 0.5;
constexpr auto reduction = 0.75;

constexpr auto hold_weight = 0.1;
// Stands for the mean until a request has been answered.
constexpr auto default_hold = milliseconds{50};
constexpr auto min_refusal_wait = milliseconds{5};
constexpr auto max_refusal_wait = seconds{1};
// Bound of the time that refused callers are told to wait.
constexpr auto max_return_wait = seconds{10};

auto scaled(duration value, double factor) -> duration {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{value} * factor);
}

auto reduced(int value, double factor) -> int {
    return std::max(1, static_cast<int>(value * factor));
}

} // namespace

auto place_ledger::set_server(const std::string& server,
                              std::int64_t started_at, int slots, bool starting)
    -> void {
    slots = std::max(slots, 1);
    const auto [known, added] = descriptions_.try_emplace(server);
    auto& description = known->second;
    const auto new_process = added || description.started_at_ != started_at;
    if (new_process) {
        description = {started_at, slots, starting};
    }
    description.slots_ = slots;
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    auto& places = found->second;
    if (new_process) {
        auto waiting = std::move(places.waiting_);
        const auto mean_hold = places.mean_hold_;
        places = {};
        places.waiting_ = std::move(waiting);
        places.mean_hold_ = mean_hold;
        places.starting_ = starting;
        places.limit_ =
            starting ? std::max(1, slots / starting_divisor) : slots;
    } else if (places.limit_ == places.slots_ || places.limit_ > slots) {
        places.limit_ = slots;
    }
    places.slots_ = slots;
}

auto place_ledger::remove_server(const std::string& server) -> void {
    descriptions_.erase(server);
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    for (const auto& waiting : found->second.waiting_) {
        refuse(waiting.request_, min_refusal_wait);
    }
    servers_.erase(found);
}

auto place_ledger::set_daemons(const std::vector<std::string>& daemons)
    -> void {
    const auto gone = [&](const std::string& daemon) {
        return std::find(daemons.begin(), daemons.end(), daemon) ==
               daemons.end();
    };
    for (auto& [server, places] : servers_) {
        std::erase_if(places.leases_, [&](const auto& entry) {
            return gone(entry.first.first);
        });
        std::erase_if(places.waiting_, [&](const auto& waiting) {
            return gone(waiting.request_.daemon_);
        });
    }
}

auto place_ledger::places_of(const std::string& server, time_point now)
    -> server_places& {
    const auto [entry, added] = servers_.try_emplace(server);
    auto& places = entry->second;
    if (added) {
        if (const auto known = descriptions_.find(server);
            known != descriptions_.end()) {
            places.slots_ = known->second.slots_;
            places.starting_ = known->second.starting_;
        }
        places.limit_ = places.starting_
                            ? std::max(1, places.slots_ / starting_divisor)
                            : places.slots_;
        places.limit_changed_at_ = now;
        places.settled_at_ = now + settling_time;
    }
    return places;
}

auto place_ledger::refresh(server_places& places, time_point now) -> void {
    auto& rejections = places.rejections_;
    while (!rejections.empty() &&
           now - rejections.front() >= rejection_window) {
        rejections.pop_front();
    }
    std::erase_if(places.leases_, [now](const auto& entry) {
        return entry.second.expires_at_ <= now;
    });
    grow(places, now);
}

auto place_ledger::grow(server_places& places, time_point now) -> void {
    if (places.limit_changed_at_ == time_point{}) {
        places.limit_changed_at_ = now;
    }
    const auto interval =
        places.starting_ ? starting_growth_interval : growth_interval;
    if (!places.limit_reached_ || places.limit_ >= places.slots_ ||
        !places.rejections_.empty() ||
        now - places.limit_changed_at_ < interval) {
        return;
    }
    const auto step = places.starting_
                          ? places.limit_
                          : std::max(1, places.limit_ / growth_divisor);
    places.limit_ = std::min(places.slots_, places.limit_ + step);
    places.limit_changed_at_ = now;
    places.limit_reached_ = false;
}

auto place_ledger::reduce(server_places& places, const lease& rejected,
                          time_point now) -> void {
    const auto in_use = static_cast<int>(places.leases_.size());
    places.rejections_.push_back(now);
    places.last_rejection_ = now;
    places.confirmed_ = 0;
    places.starting_ = false;
    // Requests that were let through before the limit was reduced say nothing
    // about the new one, nor does a server that still holds others.
    if (rejected.granted_at_ < places.limit_reduced_at_ ||
        now < places.settled_at_) {
        return;
    }
    const auto few_left =
        2 * static_cast<double>(places.rejections_.size()) >= places.bearable_;
    places.limit_ = reduced(std::min(places.limit_, in_use),
                            few_left ? strong_reduction : reduction);
    places.limit_changed_at_ = now;
    places.limit_reduced_at_ = now;
    places.limit_reached_ = false;
}

auto place_ledger::has_room(server_places& places, time_point now) -> bool {
    const auto in_use = static_cast<int>(places.leases_.size());
    if (in_use >= places.limit_) {
        places.limit_reached_ = true;
        return false;
    }
    const auto rejections = static_cast<double>(places.rejections_.size());
    if (in_use < places.limit_ / 2) {
        return true;
    }
    if (rejections > 0 && rejections >= places.bearable_) {
        return false;
    }
    if (in_use < places.confirmed_ ||
        places.last_rejection_ == time_point::min() ||
        now - places.last_rejection_ >= distrust_time) {
        return true;
    }
    const auto unconfirmed = std::count_if(
        places.leases_.begin(), places.leases_.end(), [now](const auto& entry) {
            return now - entry.second.granted_at_ < confirmation_time;
        });
    return static_cast<double>(unconfirmed) <
           std::max(1.0, std::floor(places.bearable_) - rejections);
}

auto place_ledger::expected_wait(const server_places& places) -> duration {
    const auto hold =
        places.mean_hold_ > duration{0} ? places.mean_hold_ : default_hold;
    return scaled(hold, static_cast<double>(places.waiting_.size() + 1) /
                            places.limit_);
}

auto place_ledger::grant(server_places& places, const place_request& request,
                         time_point now) -> void {
    const auto holder = place_holder{request.daemon_, request.id_};
    const auto in_use = static_cast<int>(places.leases_.size()) + 1;
    places.leases_[holder] = {now, now + request.lifetime_, in_use};
    decisions_.push_back({holder, true, request.rate_wait_});
}

auto place_ledger::refuse(const place_request& request, duration wait) -> void {
    decisions_.push_back({{request.daemon_, request.id_}, false, wait});
}

auto place_ledger::turn_back(server_places& places,
                             const place_request& request, time_point now)
    -> void {
    const auto wait = expected_wait(places);
    if (request.max_wait_ <= duration{0}) {
        refuse(request,
               std::clamp<duration>(wait, min_refusal_wait, max_refusal_wait));
        return;
    }
    // Refused callers return at the pace at which places become free.
    const auto back_at = std::max(now + wait, places.next_return_);
    const auto interval =
        wait / static_cast<duration::rep>(places.waiting_.size() + 1);
    places.next_return_ =
        std::min<time_point>(back_at + interval, now + max_return_wait);
    refuse(request, back_at - now);
}

auto place_ledger::take(const place_request& request, time_point now) -> void {
    auto& places = places_of(request.server_, now);
    places.bearable_ = request.bearable_;
    places.leases_.erase({request.daemon_, request.id_});
    refresh(places, now);
    serve_waiting(places, now);
    if (places.waiting_.empty() && has_room(places, now)) {
        grant(places, request, now);
    } else if (expected_wait(places) > request.max_wait_) {
        turn_back(places, request, now);
    } else {
        places.waiting_.push_back({request, now + request.max_wait_});
    }
}

auto place_ledger::give_back(const std::string& server,
                             const place_holder& holder, place_outcome outcome,
                             time_point now) -> void {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    auto& places = found->second;
    const auto held = places.leases_.find(holder);
    if (held == places.leases_.end()) {
        std::erase_if(places.waiting_, [&](const auto& waiting) {
            return waiting.request_.daemon_ == holder.first &&
                   waiting.request_.id_ == holder.second;
        });
        return;
    }
    if (outcome == place_outcome::answered) {
        if (held->second.granted_at_ > places.last_rejection_) {
            places.confirmed_ =
                std::max(places.confirmed_, held->second.in_use_);
        }
        const auto hold = now - held->second.granted_at_;
        places.mean_hold_ = places.mean_hold_ == duration{0}
                                ? hold
                                : scaled(places.mean_hold_, 1 - hold_weight) +
                                      scaled(hold, hold_weight);
    } else if (outcome == place_outcome::rejected) {
        reduce(places, held->second, now);
    }
    places.leases_.erase(held);
    refresh(places, now);
    serve_waiting(places, now);
}

auto place_ledger::serve_waiting(server_places& places, time_point now)
    -> void {
    auto& waiting = places.waiting_;
    for (auto next = waiting.begin(); next != waiting.end();) {
        if (next->expires_at_ <= now) {
            const auto request = std::move(next->request_);
            next = waiting.erase(next);
            turn_back(places, request, now);
        } else {
            ++next;
        }
    }
    while (!waiting.empty() && has_room(places, now)) {
        grant(places, waiting.front().request_, now);
        waiting.pop_front();
    }
}

auto place_ledger::tick(time_point now) -> void {
    for (auto& [server, places] : servers_) {
        if (!places.waiting_.empty() || !places.leases_.empty()) {
            refresh(places, now);
            serve_waiting(places, now);
        }
    }
}

auto place_ledger::take_decisions() -> std::vector<place_decision> {
    return std::exchange(decisions_, {});
}

auto place_ledger::in_use(const std::string& server) const -> int {
    const auto found = servers_.find(server);
    return found == servers_.end()
               ? 0
               : static_cast<int>(found->second.leases_.size());
}

auto place_ledger::waiting(const std::string& server) const -> int {
    const auto found = servers_.find(server);
    return found == servers_.end()
               ? 0
               : static_cast<int>(found->second.waiting_.size());
}

auto place_ledger::limit(const std::string& server) const -> int {
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.limit_;
}

} // namespace basilstream::coordination
