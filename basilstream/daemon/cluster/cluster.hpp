/// Maintains cluster membership over the peer link, computes endpoint answers
/// for callers, and carries messages between daemons' components.
///
///     auto peers = cluster{context, settings, caller_address,
///         std::move(link)};
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

/// Dependencies of a cluster, which must outlive it.
struct cluster_context {
    const clock& clock_;
    random_source& random_;
    transport::logger& log_;
};

/// This daemon's identity, and limits of endpoint answers.
struct cluster_settings {
    /// Unique among the daemons.
    std::string name_;
    std::string zone_;
    /// "IP:PORT" of daemons to contact to join; they need not be running.
    std::vector<std::string> seeds_ = {};
    /// Time to live of an endpoint answer.
    milliseconds endpoint_time_to_live_{5000};
    /// Maximum number of addresses in an endpoint answer.
    std::size_t max_endpoints_ = 8;
    /// A daemon that has sent nothing for longer than this is left out of
    /// endpoint answers. Only for clusters in which all daemons message each
    /// other. Zero disables the check; only membership probes then count.
    milliseconds longest_silence_{0};
};

/// Tracks the other daemons and exchanges messages with them.
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

    /// Sets the handler for messages on `channel`, replacing any other.
    auto on_channel(protocol::peer_channel channel, channel_handler handler)
        -> void;
    /// Sets the handler for gossip of `kind`, replacing any other.
    auto on_payload(coordination::payload_kind kind, payload_handler handler)
        -> void;
    /// Adds an observer that receives the daemons eligible to own shards each
    /// time the membership changes.
    auto
    on_members(std::function<void(const std::vector<std::string>&)> observer)
        -> void;
    /// Handles a message received on the link.
    auto on_message(const std::string& from_address, const std::string& bytes)
        -> void;

    /// Advances timers and sends pending messages; call every few milliseconds.
    auto tick() -> void;
    /// Sends to a daemon by name. Returns false if it is not a known member.
    auto send(const std::string& daemon, protocol::peer_channel channel,
              std::string bytes) -> bool;
    /// Gossips a payload to all daemons. Logs a warning if it is too large.
    auto gossip(coordination::payload_kind kind, std::string key,
                std::string bytes) -> void;
    /// Records that `daemon` was heard from, as a message from it does.
    auto on_heard(const std::string& daemon) -> void;
    /// Sets whether missing heartbeats indicate failure. If false, silent
    /// daemons stay in endpoint answers. Initially true.
    auto set_heartbeats_trusted(bool trusted) -> void {
        heartbeats_trusted_ = trusted;
    }
    /// Adds a daemon to contact; it need not be running.
    auto add_seed(const std::string& peer_address) -> void;
    /// Adds the entry VMs of the platform's list as seeds, and marks those that
    /// are leaving.
    auto update_listed_peers(const std::vector<protocol::listed_vm>& entries)
        -> void;
    /// Leaves the cluster: announces it and updates the endpoint answers.
    auto leave() -> void;
    /// Sets the number of requests in progress, announced as this daemon's
    /// load.
    auto set_load(std::size_t open_requests) -> void;

    /// Returns the addresses to which callers in `zone` should connect.
    [[nodiscard]] auto endpoints(const std::string& zone)
        -> result<coordination::endpoint_answer>;
    [[nodiscard]] auto members() const -> std::vector<coordination::member> {
        return membership_.members();
    }
    [[nodiscard]] auto statistics() const -> transport::peer_link_statistics {
        return link_->statistics();
    }

private:
    // Logs how the members differ from those of the last call.
    auto log_members(const std::vector<std::string>& members) -> void;
    auto transmit(const std::string& address, protocol::peer_channel channel,
                  std::string bytes) -> void;
    auto update_endpoints() -> void;
    [[nodiscard]] auto is_silent(const std::string& name) const -> bool;

    cluster_context base_;
    cluster_settings settings_;
    std::unique_ptr<transport::peer_link> link_;
    coordination::membership membership_;
    coordination::endpoint_directory directory_;
    std::map<protocol::peer_channel, channel_handler> channels_;
    std::map<coordination::payload_kind, payload_handler> payloads_;
    std::vector<std::string> last_members_;
    std::vector<std::function<void(const std::vector<std::string>&)>>
        member_observers_;
    std::map<std::string, std::uint32_t> loads_;
    std::map<std::string, time_point> last_heard_;
    time_point next_endpoint_update_;
    bool heartbeats_trusted_ = true;
    std::size_t own_load_ = 0;
    time_point next_load_announcement_;
};

} // namespace basilstream::daemon
