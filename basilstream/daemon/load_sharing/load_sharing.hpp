/// Exchanges the number of requests in flight on each backend server between
/// daemons, and the rate limits that have changed. The messages also serve as
/// heartbeats.
///
///     auto sharing = load_sharing{clock, "entry-1", relay, models, permits,
///                                 allowances};
///     sharing.join(cluster);
///     sharing.tick();                       // every 50 ms or so
///     sharing.on_update("entry-2", update);
///
/// In a small cluster each daemon sends its loads to all others. In a large one
/// each sends them to the owner of the placement lease, which sends the totals
/// to all, so that messages grow linearly with the number of daemons instead of
/// quadratically. Samples of the speeds of servers go the same way, and their
/// estimates come back with the totals. Use on one thread only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/load_totals/load_totals.hpp"
#include "basilstream/daemon/allowance_sharing/allowance_sharing.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/model_control/model_control.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/daemon/server_permits/server_permits.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"

namespace basilstream::daemon {

class load_sharing {
public:
    load_sharing(const clock& time, std::string self, relay& local_relay,
                 const model_control& models, const server_permits& permits,
                 allowance_sharing& allowances);

    /// Sets the cluster, once this daemon has joined it.
    auto join(cluster& peers) -> void { peers_ = &peers; }
    /// Sends loads or totals when due and passes the other daemons' loads to
    /// the relay. Call about every 50 ms; does nothing before join().
    auto tick() -> void;
    /// Applies loads or totals sent by another daemon. Call after join().
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;

    /// Returns the daemons for which this one reads the shared store; none
    /// before join().
    [[nodiscard]] auto followers() const -> std::vector<std::string>;
    /// Sends to the named daemons. Call after join().
    auto send_to(const std::vector<std::string>& daemons,
                 const protocol::relay_update& update) -> void;
    /// Sends to all other daemons; does nothing before join().
    auto send_to_all(const protocol::relay_update& update) -> void;
    /// Sends to the owner of the placement lease, or to all other daemons in a
    /// small cluster. Drops the update if there is no known owner.
    auto send_to_owner(const protocol::relay_update& update) -> void;

private:
    // Returns whether the cluster is so small that each daemon sends to all
    // others.
    [[nodiscard]] auto shares_directly() const -> bool;
    [[nodiscard]] auto interval() const -> duration;
    [[nodiscard]] auto own_loads() const -> protocol::relay_update;
    // Returns the totals with the estimates of speeds.
    [[nodiscard]] auto totals(const coordination::backend_loads& sums,
                              time_point now) const -> protocol::relay_update;
    // Sends spending, or levels, of organisations that cannot wait for the next
    // round.
    auto share_allowances_early() -> void;
    auto share_directly(time_point now) -> void;
    auto share_through_owner(time_point now) -> void;
    // Passes the loads of the other daemons to the relay.
    auto apply(const coordination::backend_loads& peer_loads) -> void;

    const clock& clock_;
    std::string self_;
    relay& relay_;
    const model_control& models_;
    const server_permits& permits_;
    allowance_sharing& allowances_;
    // Null before join().
    cluster* peers_ = nullptr;
    // Loads received from the other daemons.
    coordination::load_totals reported_loads_;
    // The last totals received from the owner, and when.
    coordination::backend_loads totals_;
    std::optional<time_point> totals_received_at_;
    // Loads of the other daemons last passed to the relay.
    coordination::backend_loads applied_loads_;
    time_point next_share_{};
    time_point next_fit_{};
    time_point next_heartbeat_{};
};

} // namespace basilstream::daemon
