#include "basilstream/coordination/liveness/liveness.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

// A longer interval between two ticks means that this process was paused.
constexpr auto pause_threshold = duration{milliseconds{250}};

auto fate_of(repeatability repeatable, bool sent) -> request_fate {
    if (!sent) {
        return request_fate::send_elsewhere;
    }
    switch (repeatable) {
    case repeatability::repeatable:
        return request_fate::repeat;
    case repeatability::resumable:
        return request_fate::resume;
    case repeatability::not_repeatable:
        break;
    }
    return request_fate::outcome_unknown;
}

// A limit of zero is never exceeded.
auto exceeded(duration passed, duration limit) -> bool {
    return limit > duration{0} && passed >= limit;
}

} // namespace

connection_monitor::connection_monitor(liveness_settings settings)
    : settings_{settings} {}

auto connection_monitor::limits_of(connection_kind kind) const
    -> const liveness_limits& {
    switch (kind) {
    case connection_kind::service:
        return settings_.service_;
    case connection_kind::peer:
        return settings_.peer_;
    case connection_kind::log:
        return settings_.log_;
    case connection_kind::caller:
        return settings_.caller_;
    case connection_kind::runner:
        break;
    }
    return settings_.runner_;
}

auto connection_monitor::open(std::uint64_t id, connection_kind kind,
                              std::string peer, time_point now) -> void {
    auto& watched = connections_[id];
    watched = connection{};
    watched.kind_ = kind;
    watched.peer_ = std::move(peer);
    watched.last_byte_ = now;
}

auto connection_monitor::close(std::uint64_t id) -> void {
    connections_.erase(id);
}

auto connection_monitor::find_request(std::uint64_t id,
                                      const std::string& request_id)
    -> watched_request* {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return nullptr;
    }
    const auto request = found->second.requests_.find(request_id);
    return request == found->second.requests_.end() ? nullptr
                                                    : &request->second;
}

auto connection_monitor::begin_request(std::uint64_t id, std::string request_id,
                                       repeatability repeatable, time_point now)
    -> void {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto request = watched_request{};
    request.repeatable_ = repeatable;
    request.last_activity_ = now;
    found->second.requests_[std::move(request_id)] = request;
}

auto connection_monitor::on_sent(std::uint64_t id,
                                 const std::string& request_id, time_point now)
    -> void {
    if (auto* request = find_request(id, request_id)) {
        request->sent_ = true;
        request->last_activity_ = now;
    }
}

auto connection_monitor::on_progress(std::uint64_t id,
                                     const std::string& request_id,
                                     time_point now) -> void {
    on_byte(id, now);
    if (auto* request = find_request(id, request_id)) {
        request->progressed_ = true;
        request->last_activity_ = now;
    }
}

auto connection_monitor::on_byte(std::uint64_t id, time_point now) -> void {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        found->second.last_byte_ = now;
        found->second.heartbeat_pending_ = false;
    }
}

auto connection_monitor::on_back_pressure(std::uint64_t id,
                                          const std::string& request_id,
                                          bool back_pressure_active,
                                          time_point now) -> void {
    auto* request = find_request(id, request_id);
    if (request != nullptr &&
        request->back_pressure_active_ != back_pressure_active) {
        request->back_pressure_active_ = back_pressure_active;
        request->last_activity_ = now;
    }
}

auto connection_monitor::end_request(std::uint64_t id,
                                     const std::string& request_id) -> void {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        found->second.requests_.erase(request_id);
    }
}

auto connection_monitor::is_silent(const connection& watched,
                                   time_point now) const -> bool {
    const auto& limits = limits_of(watched.kind_);
    const auto heartbeat_lost =
        watched.heartbeat_pending_ &&
        exceeded(now - watched.heartbeat_sent_, limits.heartbeat_timeout_);
    const auto is_stalled = [&](const auto& entry) {
        const auto& request = entry.second;
        const auto limit =
            request.progressed_ ? limits.progress_ : limits.first_byte_;
        return !request.back_pressure_active_ &&
               exceeded(now - request.last_activity_, limit);
    };
    return heartbeat_lost || std::any_of(watched.requests_.begin(),
                                         watched.requests_.end(), is_stalled);
}

auto connection_monitor::add_replacement_actions(
    std::uint64_t id, const connection& watched,
    std::vector<liveness_action>& actions) const -> void {
    actions.emplace_back(replace_action{id, watched.kind_, watched.peer_});
    for (const auto& [request_id, request] : watched.requests_) {
        actions.emplace_back(request_action{
            id, request_id, fate_of(request.repeatable_, request.sent_)});
    }
}

auto connection_monitor::add_heartbeat_if_due(
    std::uint64_t id, connection& watched, time_point now,
    std::vector<liveness_action>& actions) const -> void {
    const auto& limits = limits_of(watched.kind_);
    const auto is_due =
        watched.requests_.empty() && !watched.heartbeat_pending_ &&
        exceeded(now - watched.last_byte_, limits.heartbeat_interval_);
    if (!is_due) {
        return;
    }
    watched.heartbeat_pending_ = true;
    watched.heartbeat_sent_ = now;
    actions.emplace_back(heartbeat_action{id});
}

// After a pause of this process, bytes from the peers may still wait in the
// sockets. Extends all deadlines by the pause, so that no peer is considered
// silent because of it.
auto connection_monitor::extend_deadlines_after_pause(time_point now) -> void {
    const auto pause = now - last_tick_;
    last_tick_ = now;
    if (!std::exchange(has_ticked_, true) || pause <= pause_threshold) {
        return;
    }
    for (auto& [id, watched] : connections_) {
        watched.heartbeat_sent_ =
            std::min(now, watched.heartbeat_sent_ + pause);
        for (auto& [request_id, request] : watched.requests_) {
            request.last_activity_ =
                std::min(now, request.last_activity_ + pause);
        }
    }
}

auto connection_monitor::tick(time_point now) -> std::vector<liveness_action> {
    extend_deadlines_after_pause(now);
    auto actions = std::vector<liveness_action>{};
    for (auto it = connections_.begin(); it != connections_.end();) {
        auto& [id, watched] = *it;
        if (is_silent(watched, now)) {
            add_replacement_actions(id, watched, actions);
            it = connections_.erase(it);
            continue;
        }
        add_heartbeat_if_due(id, watched, now, actions);
        ++it;
    }
    return actions;
}

} // namespace basilstream::coordination
