/// Tells the daemons of each other's requests on backend servers, and that they
/// live.
///
///     auto sharing = load_sharing{clock, "entry-1", relay, models};
///     sharing.join(cluster);
///     sharing.tick();                       // every 50 ms or so
///     sharing.on_update("entry-2", update);
///
/// A few daemons tell all others. Many tell the owner of placement alone, which
/// passes the sums on: messages grow with the number of daemons, not with its
/// square. On one thread only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/load_totals/load_totals.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/model_control/model_control.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"

namespace basilstream::daemon {

class load_sharing {
public:
    load_sharing(const clock& time, std::string self, relay& traffic,
                 const model_control& models);

    /// Sets the cluster, once this daemon has joined it.
    auto join(cluster& peers) -> void { peers_ = &peers; }
    /// Sends what is due and hands the sums to the relay.
    auto tick() -> void;
    /// Takes in what another daemon has sent.
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;

    /// The daemons for which this one reads the store.
    [[nodiscard]] auto followers() const -> std::vector<std::string>;
    auto send_to(const std::vector<std::string>& daemons,
                 const protocol::relay_update& update) -> void;
    /// Sends to all other daemons.
    auto send_to_all(const protocol::relay_update& update) -> void;
    /// Sends to the owner of placement, or to all while they are few.
    auto send_to_owner(const protocol::relay_update& update) -> void;

private:
    // Whether the daemons are so few that each tells all others.
    [[nodiscard]] auto shares_directly() const -> bool;
    [[nodiscard]] auto interval() const -> duration;
    [[nodiscard]] auto own_loads() const -> protocol::relay_update;
    auto share_directly(time_point now) -> void;
    auto share_through_owner(time_point now) -> void;
    auto apply(const coordination::backend_loads& foreign) -> void;

    const clock& clock_;
    std::string self_;
    relay& traffic_;
    const model_control& models_;
    cluster* peers_ = nullptr;
    coordination::load_totals reported_loads_;
    // The sums that the owner passed on, and when.
    coordination::backend_loads totals_;
    std::optional<time_point> totals_received_at_;
    coordination::backend_loads applied_;
    time_point next_share_{};
    time_point next_heartbeat_{};
};

} // namespace basilstream::daemon
