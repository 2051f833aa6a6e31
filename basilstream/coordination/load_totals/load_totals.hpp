/// Sums what daemons say of their requests on backend servers.
///
///     auto totals = load_totals{};
///     totals.set_loads("entry-2", {{"i-7f3a", 3}}, now);
///     totals.sums(now)["i-7f3a"];
///
/// Load pattern: a daemon that dies or is cut off leaves its last counts
/// behind; they must not keep requests away from a server that is empty.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// Requests by backend server.
using backend_loads = std::map<std::string, int>;

class load_totals {
public:
    /// `lifetime`: how long a daemon's counts are believed.
    explicit load_totals(duration lifetime = milliseconds{1500})
        : lifetime_{lifetime} {}

    /// Replaces what a daemon said before.
    auto set_loads(const std::string& daemon, backend_loads loads,
                   time_point now) -> void;
    /// Returns the sums over all daemons heard lately.
    [[nodiscard]] auto sum_by_backend(time_point now) -> backend_loads;
    /// Returns the daemons heard lately, in order of their names.
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
