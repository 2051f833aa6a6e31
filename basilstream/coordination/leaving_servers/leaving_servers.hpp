/// Remembers which backend servers have said that they are leaving.
///
///     auto leaving = leaving_servers{};
///     leaving.set_server("i-7f3a", started_at);
///     leaving.on_stated("i-7f3a", now);
///     leaving.contains("i-7f3a");                 // true
///
/// The statement holds until the server's process ends: one that starts anew
/// under the id has not made it. It outlasts the server's announcement, which
/// may lapse and come back while the store is away.
///
/// Load pattern: a release replaces all servers of a service one after the
/// other, while the store lists them late or not at all; each of them gets work
/// until the daemons leave it alone.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

class leaving_servers {
public:
    /// Sets when the current process of a server started, in Unix
    /// milliseconds; 0 if not known.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    /// Handles the end of a server's announcement. What it has stated is kept
    /// for ten minutes.
    auto remove_server(const std::string& server, time_point now) -> void;
    /// Handles an answer in which the server says that it is leaving. Returns
    /// whether that is new.
    auto on_stated(const std::string& server, time_point now) -> bool;

    [[nodiscard]] auto contains(const std::string& server) const -> bool;

private:
    struct process {
        std::int64_t started_at_ = 0;
        bool leaving_ = false;
        bool announced_ = true;
        time_point stated_at_{};
    };
    std::map<std::string, process> processes_;
};

} // namespace basilstream::coordination
