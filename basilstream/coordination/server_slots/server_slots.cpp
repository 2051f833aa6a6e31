#include "basilstream/coordination/server_slots/server_slots.hpp"

#include <algorithm>
#include <cmath>

namespace basilstream::coordination {
namespace {

// Rejections are counted over a second, and a margin for the time that messages
// take.
constexpr auto rejection_window = milliseconds{1200};
// What a server held longer ago says nothing about its room, which may have
// become smaller since.
constexpr auto confirmation_lifetime = milliseconds{300};
// Requests that were sent before slots were needed end within this time.
constexpr auto settling_time = seconds{1};
// A rejection is reported within this time after the request was let through.
constexpr auto confirmation_time = milliseconds{30};

constexpr auto growth_interval = seconds{1};
constexpr auto growth_divisor = 4;
// A new process gets a quarter of its slots at first, twice as many after each
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

auto slot_ledger::set_server(const std::string& server, std::int64_t started_at,
                             int slots, bool starting) -> void {
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
    auto& state = found->second;
    if (new_process) {
        auto waiting = std::move(state.waiting_);
        const auto mean_hold = state.mean_hold_;
        state = {};
        state.waiting_ = std::move(waiting);
        state.mean_hold_ = mean_hold;
        state.starting_ = starting;
        state.limit_ = starting ? std::max(1, slots / starting_divisor) : slots;
    } else if (state.limit_ == state.slots_ || state.limit_ > slots) {
        state.limit_ = slots;
    }
    state.slots_ = slots;
}

auto slot_ledger::remove_server(const std::string& server) -> void {
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

auto slot_ledger::set_daemons(const std::vector<std::string>& daemons) -> void {
    const auto gone = [&](const std::string& daemon) {
        return std::find(daemons.begin(), daemons.end(), daemon) ==
               daemons.end();
    };
    for (auto& [server, state] : servers_) {
        std::erase_if(state.leases_, [&](const auto& entry) {
            return gone(entry.first.first);
        });
        std::erase_if(state.waiting_, [&](const auto& waiting) {
            return gone(waiting.request_.daemon_);
        });
    }
}

auto slot_ledger::state_of(const std::string& server, time_point now)
    -> server_state& {
    const auto [entry, added] = servers_.try_emplace(server);
    auto& state = entry->second;
    if (added) {
        if (const auto known = descriptions_.find(server);
            known != descriptions_.end()) {
            state.slots_ = known->second.slots_;
            state.starting_ = known->second.starting_;
        }
        state.limit_ = state.starting_
                           ? std::max(1, state.slots_ / starting_divisor)
                           : state.slots_;
        state.limit_changed_at_ = now;
        state.settled_at_ = now + settling_time;
    }
    return state;
}

auto slot_ledger::refresh(server_state& state, time_point now) -> void {
    auto& rejections = state.rejections_;
    while (!rejections.empty() &&
           now - rejections.front() >= rejection_window) {
        rejections.pop_front();
    }
    std::erase_if(state.confirmed_, [now](const auto& entry) {
        return now - entry.second >= confirmation_lifetime;
    });
    std::erase_if(state.leases_, [now](const auto& entry) {
        return entry.second.expires_at_ <= now;
    });
    grow(state, now);
}

auto slot_ledger::grow(server_state& state, time_point now) -> void {
    if (state.limit_changed_at_ == time_point{}) {
        state.limit_changed_at_ = now;
    }
    const auto interval =
        state.starting_ ? starting_growth_interval : growth_interval;
    if (!state.limit_reached_ || state.limit_ >= state.slots_ ||
        !state.rejections_.empty() ||
        now - state.limit_changed_at_ < interval) {
        return;
    }
    const auto step = state.starting_
                          ? state.limit_
                          : std::max(1, state.limit_ / growth_divisor);
    state.limit_ = std::min(state.slots_, state.limit_ + step);
    state.limit_changed_at_ = now;
    state.limit_reached_ = false;
}

auto slot_ledger::reduce(server_state& state, const lease& rejected,
                         time_point now) -> void {
    const auto in_use = static_cast<int>(state.leases_.size());
    state.rejections_.push_back(now);
    state.last_rejection_ = now;
    state.confirmed_.clear();
    state.starting_ = false;
    // Requests that were let through before the limit was reduced say nothing
    // about the new one, nor does a server that still holds others.
    if (rejected.granted_at_ < state.limit_reduced_at_ ||
        now < state.settled_at_) {
        return;
    }
    const auto few_left =
        2 * static_cast<double>(state.rejections_.size()) >= state.bearable_;
    state.limit_ = reduced(std::min(state.limit_, in_use),
                           few_left ? strong_reduction : reduction);
    state.limit_changed_at_ = now;
    state.limit_reduced_at_ = now;
    state.limit_reached_ = false;
}

auto slot_ledger::confirm(server_state& state, const lease& answered,
                          time_point now) -> void {
    // It was held once its rejection would have been known.
    const auto held_at =
        std::min(answered.granted_at_ + confirmation_time, now);
    auto& latest = state.confirmed_[answered.in_use_];
    latest = std::max(latest, held_at);
}

auto slot_ledger::has_room(server_state& state, time_point now) -> bool {
    const auto in_use = static_cast<int>(state.leases_.size());
    if (in_use >= state.limit_) {
        state.limit_reached_ = true;
        return false;
    }
    const auto rejections = static_cast<double>(state.rejections_.size());
    if (rejections > 0 && rejections >= state.bearable_) {
        return in_use < state.limit_ / 2;
    }
    const auto allowed = static_cast<int>(
        std::max(1.0, std::floor(state.bearable_) - rejections));
    const auto confirmed =
        state.confirmed_.empty() ? 0 : state.confirmed_.rbegin()->first;
    if (in_use < confirmed + allowed) {
        return true;
    }
    const auto unconfirmed = std::count_if(
        state.leases_.begin(), state.leases_.end(), [now](const auto& entry) {
            return now - entry.second.granted_at_ < confirmation_time;
        });
    return unconfirmed < allowed;
}

auto slot_ledger::expected_wait(const server_state& state) -> duration {
    const auto hold =
        state.mean_hold_ > duration{0} ? state.mean_hold_ : default_hold;
    return scaled(hold, static_cast<double>(state.waiting_.size() + 1) /
                            state.limit_);
}

auto slot_ledger::grant(server_state& state, const slot_request& request,
                        time_point now) -> void {
    const auto holder = slot_holder{request.daemon_, request.id_};
    const auto in_use = static_cast<int>(state.leases_.size()) + 1;
    state.leases_[holder] = {now, now + request.lifetime_, in_use};
    decisions_.push_back({holder, true, request.rate_wait_});
}

auto slot_ledger::refuse(const slot_request& request, duration wait) -> void {
    decisions_.push_back({{request.daemon_, request.id_}, false, wait});
}

auto slot_ledger::turn_back(server_state& state, const slot_request& request,
                            time_point now) -> void {
    const auto wait = expected_wait(state);
    if (request.max_wait_ <= duration{0}) {
        refuse(request,
               std::clamp<duration>(wait, min_refusal_wait, max_refusal_wait));
        return;
    }
    // Refused callers return at the pace at which slots become free.
    const auto back_at = std::max(now + wait, state.next_return_);
    const auto interval =
        wait / static_cast<duration::rep>(state.waiting_.size() + 1);
    state.next_return_ =
        std::min<time_point>(back_at + interval, now + max_return_wait);
    refuse(request, back_at - now);
}

auto slot_ledger::take(const slot_request& request, time_point now) -> void {
    auto& state = state_of(request.server_, now);
    state.bearable_ = request.bearable_;
    state.leases_.erase({request.daemon_, request.id_});
    refresh(state, now);
    serve_waiting(state, now);
    if (state.waiting_.empty() && has_room(state, now)) {
        grant(state, request, now);
    } else if (expected_wait(state) > request.max_wait_) {
        turn_back(state, request, now);
    } else {
        state.waiting_.push_back({request, now + request.max_wait_});
    }
}

auto slot_ledger::give_back(const std::string& server,
                            const slot_holder& holder, slot_outcome outcome,
                            time_point now) -> void {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    auto& state = found->second;
    const auto held = state.leases_.find(holder);
    if (held == state.leases_.end()) {
        std::erase_if(state.waiting_, [&](const auto& waiting) {
            return waiting.request_.daemon_ == holder.first &&
                   waiting.request_.id_ == holder.second;
        });
        return;
    }
    if (outcome == slot_outcome::answered) {
        if (held->second.granted_at_ > state.last_rejection_) {
            confirm(state, held->second, now);
        }
        const auto hold = now - held->second.granted_at_;
        state.mean_hold_ = state.mean_hold_ == duration{0}
                               ? hold
                               : scaled(state.mean_hold_, 1 - hold_weight) +
                                     scaled(hold, hold_weight);
    } else if (outcome == slot_outcome::rejected) {
        reduce(state, held->second, now);
    }
    state.leases_.erase(held);
    refresh(state, now);
    serve_waiting(state, now);
}

auto slot_ledger::serve_waiting(server_state& state, time_point now) -> void {
    auto& waiting = state.waiting_;
    for (auto next = waiting.begin(); next != waiting.end();) {
        if (next->expires_at_ <= now) {
            const auto request = std::move(next->request_);
            next = waiting.erase(next);
            turn_back(state, request, now);
        } else {
            ++next;
        }
    }
    while (!waiting.empty() && has_room(state, now)) {
        grant(state, waiting.front().request_, now);
        waiting.pop_front();
    }
}

auto slot_ledger::tick(time_point now) -> void {
    for (auto& [server, state] : servers_) {
        if (!state.waiting_.empty() || !state.leases_.empty()) {
            refresh(state, now);
            serve_waiting(state, now);
        }
    }
}

auto slot_ledger::take_decisions() -> std::vector<slot_decision> {
    return std::exchange(decisions_, {});
}

auto slot_ledger::in_use(const std::string& server) const -> int {
    const auto found = servers_.find(server);
    return found == servers_.end()
               ? 0
               : static_cast<int>(found->second.leases_.size());
}

auto slot_ledger::waiting(const std::string& server) const -> int {
    const auto found = servers_.find(server);
    return found == servers_.end()
               ? 0
               : static_cast<int>(found->second.waiting_.size());
}

auto slot_ledger::limit(const std::string& server) const -> int {
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.limit_;
}

} // namespace basilstream::coordination
