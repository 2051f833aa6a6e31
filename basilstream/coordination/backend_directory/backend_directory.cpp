#include "basilstream/coordination/backend_directory/backend_directory.hpp"

#include <utility>

namespace basilstream::coordination {

auto backend_directory::removals_deferred(time_point now) const -> bool {
    return !available_ ||
           now < available_since_ + settings_.removal_grace_period_;
}

auto backend_directory::remove(const std::string& id, time_point now) -> bool {
    if (!servers_.contains(id)) {
        return false;
    }
    if (removals_deferred(now)) {
        deferred_removals_.insert(id);
        return true;
    }
    deferred_removals_.erase(id);
    servers_.erase(id);
    changed_.insert(id);
    return true;
}

auto backend_directory::apply(const backend_record& record, time_point now)
    -> bool {
    const auto& [id, server] = record;
    if (!server) {
        return remove(id, now);
    }
    const auto returned = deferred_removals_.erase(id) > 0;
    const auto existing = servers_.find(id);
    if (existing == servers_.end()) {
        servers_.emplace(id, *server);
    } else if (server->started_at_ < existing->second.started_at_ ||
               *server == existing->second) {
        return returned;
    } else {
        existing->second = *server;
    }
    changed_.insert(id);
    return true;
}

auto backend_directory::replace_all(const std::vector<backend_record>& records,
                                    time_point now) -> void {
    auto absent = std::set<std::string>{};
    for (const auto& [id, server] : servers_) {
        absent.insert(id);
    }
    for (const auto& record : records) {
        absent.erase(record.first);
        apply(record, now);
    }
    for (const auto& id : absent) {
        remove(id, now);
    }
    has_listing_ = true;
}

auto backend_directory::set_store_available(bool available, time_point now)
    -> void {
    if (available && !available_) {
        available_since_ = now;
    }
    available_ = available;
}

auto backend_directory::tick(time_point now) -> void {
    if (deferred_removals_.empty() || removals_deferred(now)) {
        return;
    }
    for (const auto& id : std::exchange(deferred_removals_, {})) {
        remove(id, now);
    }
}

auto backend_directory::find(const std::string& id) const
    -> const backend_server* {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

auto backend_directory::take_changes() -> std::vector<std::string> {
    const auto changes = std::exchange(changed_, {});
    return {changes.begin(), changes.end()};
}

} // namespace basilstream::coordination
