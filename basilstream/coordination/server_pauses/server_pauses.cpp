#include "basilstream/coordination/server_pauses/server_pauses.hpp"

#include <algorithm>

namespace basilstream::coordination {

auto server_pauses::set_server(const std::string& server,
                               std::int64_t started_at) -> void {
    auto& known = processes_[server];
    const auto is_other_process = started_at != 0 && known.started_at_ != 0 &&
                                  started_at != known.started_at_;
    if (is_other_process) {
        known.paused_until_ = time_point::min();
    }
    if (started_at != 0) {
        known.started_at_ = started_at;
    }
}

auto server_pauses::remove_server(const std::string& server, time_point now)
    -> void {
    if (remaining(server, now) == duration{0}) {
        processes_.erase(server);
    }
}

auto server_pauses::on_requested(const std::string& server, duration length,
                                 time_point now) -> bool {
    auto& until = processes_[server].paused_until_;
    if (now + length <= until) {
        return false;
    }
    until = now + length;
    return true;
}

auto server_pauses::end_of_pause(const std::string& server) const
    -> time_point {
    const auto found = processes_.find(server);
    return found == processes_.end() ? time_point::min()
                                     : found->second.paused_until_;
}

auto server_pauses::remaining(const std::string& server, time_point now) const
    -> duration {
    const auto until = end_of_pause(server);
    return until > now ? until - now : duration{0};
}

auto server_pauses::count(time_point now) const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        processes_.begin(), processes_.end(),
        [&](const auto& entry) { return entry.second.paused_until_ > now; }));
}

} // namespace basilstream::coordination
