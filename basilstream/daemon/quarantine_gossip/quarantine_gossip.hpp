/// Exchanges the crash suspicions of a quarantine with the other daemons.
///
///     auto gossip = quarantine_gossip{log, clock, marks, peers};
///     gossip.tick();                       // at least once a second
///
/// Gossips only suspicions and clearances; every daemon derives its own
/// quarantine marks from them. quarantine_link additionally writes marks to a
/// log and asks an arbiter to allow isolated runs. Use on one thread only.
#pragma once

#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Logs a suspicion and gossips it to all other daemons.
auto gossip_event(const coordination::suspicion& event, cluster& peers,
                  transport::logger& log) -> void;
/// Gossips a clearance to all other daemons.
auto gossip_event(const coordination::clearance& event, cluster& peers) -> void;
/// Logs that a request is quarantined.
auto log_quarantine_mark(const coordination::quarantine_mark& event,
                         transport::logger& log) -> void;

/// Synchronises a quarantine without an arbiter with those of the other
/// daemons.
class quarantine_gossip {
public:
    /// All arguments must outlive this object.
    quarantine_gossip(transport::logger& log, const clock& time,
                      coordination::quarantine& tracker, cluster& peers);

    /// Gossips pending suspicions and clearances, and logs new marks.
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
