#include "basilstream/coordination/server_limits/server_limits.hpp"

#include <algorithm>

namespace basilstream::coordination {
namespace {

// How long the limit of a server is kept that is not known, because its
// announcement has not arrived or because it has left.
constexpr auto unknown_server_lifetime = seconds{60};

} // namespace

auto named_limits::set_server(const std::string& server,
                              std::int64_t started_at) -> void {
    start_times_[server] = started_at;
    const auto found = entries_.find(server);
    if (found != entries_.end() &&
        found->second.limit_.started_at_ < started_at) {
        entries_.erase(found);
    }
}

auto named_limits::remove_server(const std::string& server) -> void {
    start_times_.erase(server);
    entries_.erase(server);
}

auto named_limits::merge(const named_limit& limit) -> bool {
    const auto start = start_times_.find(limit.server_);
    const auto earlier_process =
        start != start_times_.end() && limit.started_at_ < start->second;
    const auto found = entries_.find(limit.server_);
    const auto older = found != entries_.end() &&
                       limit.stated_at_ < found->second.limit_.stated_at_;
    const auto nothing_to_end = found == entries_.end() && !limit.per_second_;
    if (earlier_process || older || nothing_to_end) {
        return false;
    }
    const auto changed = found == entries_.end() ||
                         found->second.limit_.per_second_ != limit.per_second_;
    if (found == entries_.end()) {
        remove_unknown(limit.stated_at_);
    }
    auto& updated = entries_[limit.server_];
    updated.limit_ = limit;
    if (changed) {
        updated.changed_at_ = limit.stated_at_;
    }
    return changed;
}

auto named_limits::remove_unknown(time_point now) -> void {
    std::erase_if(entries_, [&](const auto& entry) {
        return !start_times_.contains(entry.first) &&
               now - entry.second.limit_.stated_at_ > unknown_server_lifetime;
    });
}

auto named_limits::on_named(const std::string& server, double per_second,
                            time_point now) -> bool {
    const auto start = start_times_.find(server);
    return merge({server, start == start_times_.end() ? 0 : start->second,
                  per_second, now});
}

auto named_limits::on_not_named(const std::string& server, time_point sent_at,
                                time_point now) -> bool {
    const auto found = entries_.find(server);
    if (found == entries_.end() || !found->second.limit_.per_second_ ||
        sent_at <= found->second.limit_.stated_at_) {
        return false;
    }
    auto ended = found->second.limit_;
    ended.per_second_.reset();
    ended.stated_at_ = now;
    return merge(ended);
}

auto named_limits::find(const std::string& server) const
    -> std::optional<named_limit> {
    const auto found = entries_.find(server);
    return found == entries_.end() ? std::nullopt
                                   : std::optional{found->second.limit_};
}

auto named_limits::limit_of(const std::string& server) const
    -> std::optional<double> {
    const auto found = find(server);
    return found ? found->per_second_ : std::nullopt;
}

auto named_limits::changed_since(time_point since) const
    -> std::vector<named_limit> {
    auto changed = std::vector<named_limit>{};
    for (const auto& [server, known] : entries_) {
        if (known.changed_at_ >= since) {
            changed.push_back(known.limit_);
        }
    }
    return changed;
}

auto named_limits::servers() const -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& [name, known] : entries_) {
        if (known.limit_.per_second_) {
            names.push_back(name);
        }
    }
    return names;
}

auto named_limits::size() const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
            return entry.second.limit_.per_second_.has_value();
        }));
}

} // namespace basilstream::coordination
