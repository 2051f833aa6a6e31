/// Tracks the request rates to which backend servers ask to be limited.
///
///     auto limits = named_limits{};
///     limits.set_server("i-7f3a", started_at);
///     limits.on_named("i-7f3a", 1.1, now);      // an answer names a limit
///     if (const auto rate = limits.limit_of("i-7f3a")) { /* obey it */ }
///
/// A server names its limit in its answers for as long as the limit applies to
/// the requests of all daemons together.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// The latest statement of a backend server about its limit.
struct named_limit {
    std::string server_;
    /// Start time of the server's process in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_ = 0;
    /// Requests per second of all daemons together. Empty if the server no
    /// longer limits them.
    std::optional<double> per_second_;
    /// When the answer that states it arrived at a daemon.
    time_point stated_at_{};
};

/// Latest limit of each backend server.
class named_limits {
public:
    /// Adds a server or sets the start time of its current process. The limit
    /// of an earlier process is dropped.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Handles an answer that names a limit, which must be finite and not
    /// negative. Returns whether the limit has changed.
    auto on_named(const std::string& server, double per_second, time_point now)
        -> bool;
    /// Handles an answer that names none, to a request sent at `sent_at`. An
    /// answer to a request sent before the limit was last named is ignored,
    /// because it may be older. Returns whether the limit has changed.
    auto on_not_named(const std::string& server, time_point sent_at,
                      time_point now) -> bool;
    /// Handles another daemon's knowledge, with `stated_at_` converted to the
    /// local clock. The later statement counts. Returns whether the limit has
    /// changed.
    auto merge(const named_limit& limit) -> bool;

    /// Returns the limit of a server, empty if it has none.
    [[nodiscard]] auto limit_of(const std::string& server) const
        -> std::optional<double>;
    /// Returns the latest statement of a server, empty if it made none.
    [[nodiscard]] auto find(const std::string& server) const
        -> std::optional<named_limit>;
    /// Returns the limits that have changed since `since`, for other daemons.
    [[nodiscard]] auto changed_since(time_point since) const
        -> std::vector<named_limit>;
    /// Returns the number of servers that have a limit.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry {
        named_limit limit_;
        time_point changed_at_{};
    };

    std::map<std::string, std::int64_t> start_times_;
    std::map<std::string, entry> entries_;
};

} // namespace basilstream::coordination
