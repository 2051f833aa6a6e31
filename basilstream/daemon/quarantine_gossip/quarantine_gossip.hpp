/// Exchanges the crash suspicions of a quarantine with the other daemons.
///
///     auto gossip = quarantine_gossip{log, clock, marks, peers, observer};
///     gossip.tick();                       // at least once a second
///
/// Gossips only suspicions and clearances; every daemon derives its own
/// quarantine marks from them. Gossip may be lost or late, and a daemon that
/// starts has missed it, so the observer should keep the events in a store.
/// quarantine_link additionally writes marks to a log and asks an arbiter to
/// allow isolated runs. Use on one thread only.
#pragma once

#include <functional>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"
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

/// Merges a suspicion or a clearance of another daemon that is older by `delay`
/// than it says. Other messages are ignored with a log line.
auto merge_message(const protocol::quarantine_message& message, duration delay,
                   const std::string& sender, coordination::quarantine& tracker,
                   const clock& time, transport::logger& log) -> void;

/// Synchronises a quarantine without an arbiter with those of the other
/// daemons.
class quarantine_gossip {
public:
    using event_observer =
        std::function<void(const coordination::quarantine_event&)>;

    /// All references must outlive this object. `observer` receives every
    /// event of the quarantine.
    quarantine_gossip(
        transport::logger& log, const clock& time,
        coordination::quarantine& tracker, cluster& peers,
        event_observer observer = [](const auto&) {});

    /// Gossips pending suspicions and clearances, logs new marks, and passes
    /// all events to the observer.
    auto tick() -> void;

private:
    auto on_message(const std::string& sender, const std::string& bytes)
        -> void;

    transport::logger& log_;
    const clock& clock_;
    coordination::quarantine& quarantine_;
    cluster& peers_;
    event_observer observer_;
};

} // namespace basilstream::daemon
