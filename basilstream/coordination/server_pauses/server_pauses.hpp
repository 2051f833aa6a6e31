/// Remembers until when backend servers want no calls from this daemon.
///
///     auto pauses = server_pauses{};
///     pauses.set_server("i-7f3a", started_at);
///     pauses.on_requested("i-7f3a", seconds{3}, now);
///     pauses.remaining("i-7f3a", now);            // 3 s
///
/// A pause concerns this daemon only and ends with the server's process: one
/// that starts anew under the id has not asked for it.
///
/// Load pattern: a server that turns every request away has none in progress
/// and seems the least loaded one, so that it attracts the traffic of its
/// service until each daemon leaves it alone.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

class server_pauses {
public:
    /// Sets when the current process of a server started, in Unix
    /// milliseconds; 0 if not known. A pause of an earlier process ends.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    /// Handles an answer in which the server asks for a pause of `length` from
    /// `now`. A pause that ends later stays. Returns whether the end has
    /// changed.
    auto on_requested(const std::string& server, duration length,
                      time_point now) -> bool;
    /// Forgets a server that is not announced any more, unless its pause goes
    /// on.
    auto remove_server(const std::string& server, time_point now) -> void;

    /// Returns the end of the server's pause; `time_point::min()` if it has
    /// asked for none.
    [[nodiscard]] auto end_of_pause(const std::string& server) const
        -> time_point;
    /// Returns the time until the end of the server's pause; zero if none is
    /// going on.
    [[nodiscard]] auto remaining(const std::string& server,
                                 time_point now) const -> duration;
    /// Returns the number of pauses that have not ended.
    [[nodiscard]] auto count(time_point now) const -> std::size_t;

private:
    struct process {
        std::int64_t started_at_ = 0;
        time_point paused_until_ = time_point::min();
    };
    std::map<std::string, process> processes_;
};

} // namespace basilstream::coordination
