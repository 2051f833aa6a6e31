#include "basilstream/coordination/leaving_servers/leaving_servers.hpp"

#include <utility>

namespace basilstream::coordination {
namespace {

// Announcements come back within seconds after the store does; servers exit
// within minutes.
constexpr auto retention = std::chrono::minutes{10};

} // namespace

auto leaving_servers::set_server(const std::string& server,
                                 std::int64_t started_at) -> void {
    auto& known = processes_[server];
    const auto is_other_process = started_at != 0 && known.started_at_ != 0 &&
                                  started_at != known.started_at_;
    known.leaving_ = known.leaving_ && !is_other_process;
    known.announced_ = true;
    if (started_at != 0) {
        known.started_at_ = started_at;
    }
}

auto leaving_servers::remove_server(const std::string& server, time_point now)
    -> void {
    const auto found = processes_.find(server);
    if (found != processes_.end()) {
        found->second.announced_ = false;
    }
    std::erase_if(processes_, [&](const auto& entry) {
        const auto& known = entry.second;
        return !known.announced_ &&
               (!known.leaving_ || now - known.stated_at_ > retention);
    });
}

auto leaving_servers::on_stated(const std::string& server, time_point now)
    -> bool {
    auto& known = processes_[server];
    known.stated_at_ = now;
    return !std::exchange(known.leaving_, true);
}

auto leaving_servers::contains(const std::string& server) const -> bool {
    const auto found = processes_.find(server);
    return found != processes_.end() && found->second.leaving_;
}

} // namespace basilstream::coordination
