/// Sums the request counts that daemons report for each backend server.
///
///     auto totals = load_totals{};
///     totals.set_loads("entry-2", {{"i-7f3a", 3}}, now);
///     totals.sum_by_backend(now)["i-7f3a"];
///
/// If a daemon crashes or is partitioned, its last counts expire, so that they
/// do not divert requests from a backend server that is idle.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// Number of requests by backend server.
using backend_loads = std::map<std::string, int>;

class load_totals {
public:
    /// Counts expire once they are older than `lifetime`.
    explicit load_totals(duration lifetime = milliseconds{1500})
        : lifetime_{lifetime} {}

    /// Replaces the counts of `daemon`, received at `now`.
    auto set_loads(const std::string& daemon, backend_loads loads,
                   time_point now) -> void;
    /// Returns the sums over all daemons whose counts have not expired.
    [[nodiscard]] auto sum_by_backend(time_point now) -> backend_loads;
    /// Returns the sorted names of the daemons whose counts have not expired.
    [[nodiscard]] auto active_daemons(time_point now)
        -> std::vector<std::string>;

private:
    struct daemon_loads {
        backend_loads loads_;
        time_point received_at_;
    };
    auto expire(time_point now) -> void;

    duration lifetime_;
    std::map<std::string, daemon_loads> daemons_;
};

} // namespace basilstream::coordination
