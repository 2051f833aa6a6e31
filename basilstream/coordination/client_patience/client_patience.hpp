/// Learns for each route how long clients wait without a first event.
///
///     auto patience = client_patience{};
///     patience.on_left("chat", waited, allowed);
///     patience.on_first_event("chat", waited, allowed);
///     patience.expected("chat", allowed);         // nothing if not known
///
/// Load pattern: clients disconnect long before the deadline of their requests,
/// which wait in the queue of one server while others would have begun them.
///
/// Waits are learnt as shares of the time that a request is allowed, since
/// clients with longer deadlines wait longer. Sans-I/O; not safe for concurrent
/// use.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

class client_patience {
public:
    /// Handles a client that has left after `waited` without an event.
    /// `allowed` is the time from the arrival of its request to the deadline.
    auto on_left(const std::string& route, duration waited, duration allowed)
        -> void;
    /// Handles a first event after `waited`. The client has waited at least so
    /// long.
    auto on_first_event(const std::string& route, duration waited,
                        duration allowed) -> void;

    /// Returns how long a client of the route is expected to wait: the median
    /// of what was seen lately. Nothing if few clients have left.
    [[nodiscard]] auto expected(const std::string& route,
                                duration allowed) const
        -> std::optional<duration>;

private:
    struct samples {
        // Shares of the time allowed, the oldest one at `next_` if full.
        std::vector<double> shares_;
        std::size_t next_ = 0;
        // Kept, as it is needed for each request.
        double median_ = 0;
    };

    auto add(const std::string& route, double share) -> void;

    std::map<std::string, samples> routes_;
};

} // namespace basilstream::coordination
