#include "basilstream/coordination/server_reachability/server_reachability.hpp"

#include <algorithm>

namespace basilstream::coordination {

auto server_reachability::enough(std::size_t servers) const -> bool {
    return servers > 0 &&
           servers >= std::min(settings_.failed_servers_,
                               std::max<std::size_t>(servers_, 1));
}

auto server_reachability::on_started(std::uint64_t call,
                                     const std::string& server,
                                     bool new_connection, time_point now)
    -> void {
    attempts_[call] = {server, new_connection, now};
}

auto server_reachability::on_answered(std::uint64_t call, time_point now)
    -> void {
    const auto found = attempts_.find(call);
    if (found != attempts_.end() && found->second.new_connection_) {
        connections_[found->second.server_] = {true, now};
    }
    on_heard(now);
}

auto server_reachability::on_ended(std::uint64_t call, time_point now) -> void {
    const auto found = attempts_.find(call);
    if (found == attempts_.end()) {
        return;
    }
    const auto& ended = found->second;
    if (heard_at_ <= ended.started_at_ &&
        now - ended.started_at_ >= settings_.shortest_attempt_) {
        unanswered_.insert(ended.server_);
    }
    attempts_.erase(found);
}

auto server_reachability::on_lost(std::uint64_t call, time_point now) -> void {
    const auto found = attempts_.find(call);
    if (found == attempts_.end()) {
        return;
    }
    const auto& lost = found->second;
    failed_.try_emplace(lost.server_, now);
    if (lost.new_connection_) {
        connections_[lost.server_] = {false, now};
    }
    attempts_.erase(found);
}

auto server_reachability::on_heard(time_point now) -> void {
    heard_at_ = now;
    failed_.clear();
    unanswered_.clear();
    if (state_ == reachability::silent) {
        state_ = reachability::reached;
        reached_again_at_ = now;
    } else if (state_ == reachability::cut) {
        state_ = reachability::partly_cut;
    }
}

auto server_reachability::most_connections_fail(time_point now) -> bool {
    std::erase_if(connections_, [&](const auto& entry) {
        return now - entry.second.at_ > settings_.connection_window_;
    });
    auto answered = std::size_t{0};
    auto failed = std::size_t{0};
    auto first_failure = now;
    for (const auto& [server, outcome] : connections_) {
        ++(outcome.answered_ ? answered : failed);
        if (!outcome.answered_) {
            first_failure = std::min(first_failure, outcome.at_);
        }
    }
    return enough(failed) && failed > answered &&
           now - first_failure >= settings_.silence_after_failures_ / 2;
}

auto server_reachability::is_cut(time_point now) const -> bool {
    auto first_failure = now;
    for (const auto& [server, at] : failed_) {
        first_failure = std::min(first_failure, at);
    }
    return enough(failed_.size()) &&
           now - heard_at_ >= settings_.silence_after_failures_ &&
           now - first_failure >= settings_.silence_after_failures_ / 2;
}

auto server_reachability::is_hanging(time_point now) const -> bool {
    auto unanswered = unanswered_;
    for (const auto& [call, entry] : attempts_) {
        if (now - entry.started_at_ >= settings_.silence_of_requests_) {
            unanswered.insert(entry.server_);
        }
    }
    for (const auto& [server, at] : failed_) {
        unanswered.insert(server);
    }
    return now - heard_at_ >= settings_.silence_of_requests_ &&
           enough(unanswered.size());
}

auto server_reachability::enter(reachability state, time_point now) -> void {
    if (state_ == reachability::reached) {
        // Whether connections are still made is not known of a silent service.
        next_probe_ = state == reachability::silent
                          ? now
                          : now + settings_.probe_interval_;
    }
    state_ = state;
    reached_again_at_.reset();
}

auto server_reachability::state(time_point now) -> reachability {
    if (state_ == reachability::cut) {
        return state_;
    }
    if (is_cut(now)) {
        enter(reachability::cut, now);
    } else if (most_connections_fail(now)) {
        enter(reachability::partly_cut, now);
    } else if (state_ == reachability::reached && is_hanging(now)) {
        enter(reachability::silent, now);
    }
    return state_;
}

auto server_reachability::probe_due(time_point now) -> bool {
    if (state_ == reachability::reached || now < next_probe_) {
        return false;
    }
    next_probe_ = now + settings_.probe_interval_;
    return true;
}

auto server_reachability::probes() const -> std::size_t {
    return std::min(settings_.failed_servers_, servers_);
}

auto server_reachability::on_probes(const probe_results& results,
                                    time_point now) -> void {
    if (state_ == reachability::reached || results.probed_ == 0) {
        return;
    }
    if (results.connected_ == 0 && state_ == reachability::silent) {
        state_ = reachability::cut;
    }
    if (2 * results.answered_ < results.probed_) {
        return;
    }
    state_ = reachability::reached;
    reached_again_at_ = now;
    failed_.clear();
    unanswered_.clear();
    connections_.clear();
    // What was sent before the cut says nothing about the links now.
    attempts_.clear();
    heard_at_ = now;
}

auto server_reachability::own_share(time_point now) const -> double {
    if (state_ != reachability::reached) {
        return 0;
    }
    if (!reached_again_at_) {
        return 1;
    }
    const auto since = std::chrono::duration<double>(now - *reached_again_at_);
    const auto whole = std::chrono::duration<double>(settings_.return_time_);
    return std::min(1.0, since / whole);
}

} // namespace basilstream::coordination
