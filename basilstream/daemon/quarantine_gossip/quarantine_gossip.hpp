/// Spreads what a quarantine learns of crashes to the other daemons.
///
///     auto gossip = quarantine_gossip{log, clock, marks, peers};
///     gossip.tick();                       // at least once a second
///
/// Carries suspicions and clearances only: every daemon draws its own marks
/// from them. Isolated runs and marks in a log are quarantine_link's.
/// On one thread only.
#pragma once

#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Logs a suspicion and passes it to all other daemons.
auto gossip_event(const coordination::suspicion& event, cluster& peers,
                  transport::logger& log) -> void;
/// Passes a clearance to all other daemons.
auto gossip_event(const coordination::clearance& event, cluster& peers) -> void;
/// Logs that a request is quarantined.
auto log_quarantine_mark(const coordination::quarantine_mark& event,
                         transport::logger& log) -> void;

/// Joins a quarantine without an arbiter to those of the other daemons.
class quarantine_gossip {
public:
    /// All outlive it.
    quarantine_gossip(transport::logger& log, const clock& time,
                      coordination::quarantine& tracker, cluster& peers);

    /// Spreads what is due.
    auto tick() -> void;

private:
    auto on_message(const std::string& sender, const std::string& bytes)
        -> void;

    transport::logger& log_;
    const clock& clock_;
    coordination::quarantine& quarantine_;
    cluster& peers_;
};

} // namespace basilstream::daemon
