/// The other daemons: membership over the peer link, endpoint answers for
/// callers, and the channel on which other parts talk to their peers.
///
///     auto peers = cluster{context, settings, caller_address,
///     std::move(link)}; peers.open();
///     peers.on_channel(protocol::peer_channel::claims, handler);
///     peers.send("entry-2", protocol::peer_channel::claims, bytes);
///
/// Control thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/coordination/membership/membership.hpp"
#include "basilstream/protocol/engine_api/engine_api.hpp"
#include "basilstream/protocol/peer_codec/peer_codec.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/peer_link/peer_link.hpp"

namespace basilstream::daemon {

/// What a cluster gets from its process; all outlive it.
struct cluster_context {
    const clock& clock_;
    random_source& random_;
    transport::logger& log_;
};

/// Who this daemon is, and what callers are told.
struct cluster_settings {
    /// Unique among the daemons.
    std::string name_;
    std::string zone_;
    /// "IP:PORT" of daemons that may exist.
    std::vector<std::string> seeds_ = {};
    /// How long callers keep an endpoint answer.
    milliseconds endpoint_time_to_live_{5000};
    /// Addresses in an endpoint answer.
    std::size_t max_endpoints_ = 8;
    /// A daemon that was not heard for this long is not named to callers, for
    /// clusters in which all daemons talk to each other. Zero leaves it to the
    /// probes of the membership alone.
    milliseconds longest_silence_{0};
};

/// Membership and messages between daemons.
class cluster {
public:
    using channel_handler =
        std::function<void(const std::string& sender, std::string bytes)>;
    using payload_handler =
        std::function<void(const coordination::gossip_payload&)>;

    /// `caller_address`: "IP:PORT" under which callers reach this daemon.
    cluster(const cluster_context& base, cluster_settings settings,
            std::string caller_address,
            std::unique_ptr<transport::peer_link> link);

    /// Sets who receives the messages of a channel.
    auto on_channel(protocol::peer_channel channel, channel_handler handler)
        -> void;
    /// Sets who receives the gossip of a kind.
    auto on_payload(coordination::payload_kind kind, payload_handler handler)
        -> void;
    /// Sets who learns the daemons that may own shards, at each change.
    auto
    on_members(std::function<void(const std::vector<std::string>&)> observer)
        -> void;
    /// A message arrived on the link.
    auto on_message(const std::string& from_address, const std::string& bytes)
        -> void;

    /// Advances timers and sends; call every few milliseconds.
    auto tick() -> void;
    /// Sends to a daemon by name; returns false when it is not known.
    auto send(const std::string& daemon, protocol::peer_channel channel,
              std::string bytes) -> bool;
    /// Spreads a payload to all daemons.
    auto gossip(coordination::payload_kind kind, std::string key,
                std::string bytes) -> void;
    /// Another daemon has heard this one lately.
    auto on_heard(const std::string& daemon) -> void;
    /// Whether every daemon that lives is heard now; otherwise silence means
    /// nothing. True at first.
    auto trust_heartbeats(bool trusted) -> void {
        heartbeats_trusted_ = trusted;
    }
    /// Adds a daemon that may exist.
    auto add_seed(const std::string& peer_address) -> void;
    /// Takes the entry VMs of the platform's list.
    auto take_listed(const std::vector<protocol::listed_vm>& entries) -> void;
    /// Leaves the endpoint answers and tells the others.
    auto leave() -> void;
    /// Sets how many requests are in progress, for the endpoint answers.
    auto set_load(std::size_t open_requests) -> void;

    /// Answers where callers in `zone` should connect.
    [[nodiscard]] auto endpoints(const std::string& zone)
        -> result<coordination::endpoint_answer>;
    [[nodiscard]] auto members() const -> std::vector<coordination::member> {
        return membership_.members();
    }
    [[nodiscard]] auto statistics() const -> transport::peer_link_statistics {
        return link_->statistics();
    }

private:
    auto transmit(const std::string& address, protocol::peer_channel channel,
                  std::string bytes) -> void;
    auto update_endpoints() -> void;
    [[nodiscard]] auto silent(const std::string& name) const -> bool;

    cluster_context base_;
    cluster_settings settings_;
    std::unique_ptr<transport::peer_link> link_;
    coordination::membership membership_;
    coordination::endpoint_directory directory_;
    std::map<protocol::peer_channel, channel_handler> channels_;
    std::map<coordination::payload_kind, payload_handler> payloads_;
    std::vector<std::function<void(const std::vector<std::string>&)>>
        member_observers_;
    std::map<std::string, std::uint32_t> loads_;
    std::map<std::string, time_point> heard_;
    time_point next_endpoint_update_;
    bool heartbeats_trusted_ = true;
    std::size_t own_load_ = 0;
    time_point next_load_;
};

} // namespace basilstream::daemon
