#include "basilstream/coordination/stream_origins/stream_origins.hpp"

#include <algorithm>

namespace basilstream::coordination {

auto stream_origins::record(const std::string& request,
                            const std::string& version, time_point now)
    -> void {
    expire(now);
    origins_[request] = {version, now};
    order_.emplace_back(now, request);
}

auto stream_origins::find(const std::string& request, time_point now)
    -> std::optional<std::string> {
    expire(now);
    const auto found = origins_.find(request);
    return found == origins_.end() ? std::nullopt
                                   : std::optional{found->second.version_};
}

auto stream_origins::expire(time_point now) -> void {
    while (!order_.empty() && (now - order_.front().first > stream_memory ||
                               order_.size() > capacity_)) {
        const auto found = origins_.find(order_.front().second);
        if (found != origins_.end() &&
            found->second.recorded_at_ == order_.front().first) {
            origins_.erase(found);
        }
        order_.pop_front();
    }
}

auto version_history::set_server(const std::string& server,
                                 const std::string& service,
                                 const std::string& version, time_point now)
    -> void {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        if (found->second.service_ == service &&
            found->second.version_ == version) {
            return;
        }
        remove_server(server, now);
    }
    servers_[server] = {service, version};
    auto& state = services_.try_emplace(service, service_state{now, {}, false})
                      .first->second;
    ++state.versions_[version].servers_;
}

auto version_history::remove_server(const std::string& server, time_point now)
    -> void {
    const auto removed = servers_.extract(server);
    if (removed.empty()) {
        return;
    }
    auto& state = services_[removed.mapped().service_]
                      .versions_[removed.mapped().version_];
    --state.servers_;
    state.last_server_at_ = now;
}

auto version_history::record_as_seen(const service_version& record,
                                     time_point now) -> void {
    auto& state =
        services_.try_emplace(record.service_, service_state{now, {}, false})
            .first->second;
    state.recorded_ = true;
    auto& version = state.versions_[record.version_];
    version.last_server_at_ = std::max(version.last_server_at_, now);
}

auto version_history::present_versions() const -> std::vector<service_version> {
    auto present = std::vector<service_version>{};
    for (const auto& [service, state] : services_) {
        for (const auto& [version, servers] : state.versions_) {
            if (servers.servers_ > 0 && !version.empty()) {
                present.push_back({service, version});
            }
        }
    }
    return present;
}

auto version_history::take_expired(time_point now)
    -> std::vector<service_version> {
    auto expired = std::vector<service_version>{};
    for (auto& [service, state] : services_) {
        std::erase_if(state.versions_, [&, &name = service](const auto& entry) {
            const auto& [version, servers] = entry;
            const auto is_expired =
                servers.servers_ == 0 &&
                now - servers.last_server_at_ > stream_memory;
            if (is_expired && !version.empty()) {
                expired.push_back({name, version});
            }
            return is_expired;
        });
    }
    return expired;
}

auto version_history::sole_version(const std::string& service,
                                   time_point now) const
    -> std::optional<std::string> {
    const auto found = services_.find(service);
    const auto known_long_enough =
        found != services_.end() &&
        (found->second.recorded_ ||
         now - found->second.known_since_ >= stream_memory);
    return known_long_enough ? sole_version_seen(service, now) : std::nullopt;
}

auto version_history::sole_version_seen(const std::string& service,
                                        time_point now) const
    -> std::optional<std::string> {
    if (awaits_records_) {
        return std::nullopt;
    }
    const auto recent = recent_versions(service, now);
    return recent.size() == 1 && !recent.front().empty()
               ? std::optional{recent.front()}
               : std::nullopt;
}

auto version_history::recent_versions(const std::string& service,
                                      time_point now) const
    -> std::vector<std::string> {
    auto recent = std::vector<std::string>{};
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return recent;
    }
    for (const auto& [version, state] : found->second.versions_) {
        if (state.servers_ > 0 ||
            now - state.last_server_at_ <= stream_memory) {
            recent.push_back(version);
        }
    }
    return recent;
}

} // namespace basilstream::coordination
