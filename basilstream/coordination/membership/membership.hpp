/// Membership of daemons by random probing at a fixed cost per daemon, after
/// Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
/// Process Group Membership Protocol", DSN 2002: direct probe, indirect probes,
/// suspicion with incarnation numbers, piggybacked gossip.
///
///     auto members = membership{settings, self, random};
///     members.add_seed("10.0.0.2:7100", now);
///     members.tick(now);
///     for (auto& output : members.poll()) { /* send a datagram */ }
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {

/// State of a member as this daemon believes it.
enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// Names of member states, for logs and status.
inline constexpr auto member_state_names =
    name_table<member_state, 4>{{{{member_state::alive, "alive"},
                                  {member_state::suspect, "suspect"},
                                  {member_state::leaving, "leaving"},
                                  {member_state::dead, "dead"}}}};

/// One daemon. `name_` is unique and new for each VM.
struct member {
    std::string name_;
    /// IP:PORT for peers.
    std::string peer_address_;
    /// IP:PORT for callers.
    std::string caller_address_;
    std::string zone_;
    std::uint32_t incarnation_ = 0;
    member_state state_ = member_state::alive;
    auto operator==(const member&) const -> bool = default;
};

/// Kind of an opaque payload; the receiver's module knows its meaning.
enum class payload_kind : std::uint8_t {
    quarantine_suspicion,
    runner_leaving,
    endpoint_load,
    limit_share,
    other,
};

/// Names of payload kinds, for metrics.
inline constexpr auto payload_kind_names = name_table<payload_kind, 5>{
    {{{payload_kind::quarantine_suspicion, "quarantine_suspicion"},
      {payload_kind::runner_leaving, "runner_leaving"},
      {payload_kind::endpoint_load, "endpoint_load"},
      {payload_kind::limit_share, "limit_share"},
      {payload_kind::other, "other"}}}};

/// An opaque value that spreads to every member. For one (origin, kind, key)
/// the greatest version wins.
struct gossip_payload {
    payload_kind kind_ = payload_kind::other;
    std::string origin_;
    std::string key_;
    std::uint32_t version_ = 0;
    std::string bytes_;
    auto operator==(const gossip_payload&) const -> bool = default;
};

/// Kind of a membership message.
enum class probe_kind : std::uint8_t {
    probe,
    acknowledge,
    indirect_probe,
    /// Asks for all members; sent to one member on joining and then seldom.
    sync_request,
    sync_answer,
};

/// A datagram between daemons.
struct membership_message {
    probe_kind kind_ = probe_kind::probe;
    std::uint32_t sequence_ = 0;
    std::string sender_;
    /// Of an indirect probe: the address to probe.
    std::string target_;
    std::vector<member> members_ = {};
    std::vector<gossip_payload> payloads_ = {};
};

/// Send to the peer address `address_`; loss is allowed.
struct membership_send {
    std::string address_;
    membership_message message_;
};

/// Periods and bounds.
struct membership_settings {
    duration probe_interval_ = seconds{1};
    duration probe_timeout_ = milliseconds{300};
    std::uint32_t indirect_probes_ = 3;
    /// A suspect is declared dead after this many probe intervals times the
    /// logarithm (base 2) of the number of members, at least three intervals.
    std::uint32_t suspicion_factor_ = 1;
    /// A value is piggybacked this many times the logarithm of the number of
    /// members.
    std::uint32_t gossip_factor_ = 3;
    /// Bound of the piggybacked bytes of one message.
    std::size_t max_gossip_bytes_ = 400;
    /// Bound of one payload's bytes; larger ones are refused.
    std::size_t max_payload_bytes_ = 200;
    /// Bound of queued payloads; the oldest is dropped.
    std::size_t max_payloads_ = 256;
    duration sync_interval_ = seconds{120};
    /// Most members of one sync answer: a random part of the list.
    std::size_t max_sync_members_ = 32;
    /// How long a dead member is remembered, so that old gossip cannot
    /// revive it.
    duration dead_memory_ = seconds{300};
    /// Members without an incarnation confirmed by contact are probed first.
    bool suspicion_ = true;
};

/// Counters for metrics.
struct membership_statistics {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t suspicions_ = 0;
    std::uint64_t refutations_ = 0;
    std::uint64_t deaths_ = 0;
};

/// The membership logic of one daemon.
class membership {
public:
    membership(membership_settings settings, member self,
               random_source& random);

    /// Adds an address from the settings or the platform's VM list. It becomes
    /// a member when it answers. Lagging entries of dead VMs do no harm.
    auto add_seed(const std::string& peer_address, time_point now) -> void;
    /// The VM list says that this peer address is leaving or gone.
    auto on_listed_leaving(const std::string& peer_address, time_point now)
        -> void;
    auto on_message(const std::string& from_address,
                    const membership_message& message, time_point now) -> void;
    /// Advances timers; call at least every 100 ms.
    auto tick(time_point now) -> void;
    /// Spreads `bytes` under (kind, key). Returns false when it is too large.
    [[nodiscard]] auto publish(payload_kind kind, std::string key,
                               std::string bytes, time_point now) -> bool;
    /// Tells the others that this daemon is draining (state `leaving`).
    auto leave(time_point now) -> void;
    [[nodiscard]] auto poll() -> std::vector<membership_send>;
    /// Takes payloads that arrived since the last call, each version once.
    [[nodiscard]] auto take_payloads() -> std::vector<gossip_payload>;
    /// True once after every change of the list of members.
    [[nodiscard]] auto take_changed() -> bool;
    /// All members that are not dead, itself included, ordered by name.
    [[nodiscard]] auto members() const -> std::vector<member>;
    /// Names of members in state `alive` or `suspect`, itself included unless
    /// it leaves: those that may own shards.
    [[nodiscard]] auto owners() const -> std::vector<std::string>;
    [[nodiscard]] auto find(std::string_view name) const
        -> std::optional<member>;
    [[nodiscard]] auto statistics() const -> const membership_statistics& {
        return statistics_;
    }

private:
    struct entry {
        member member_;
        time_point suspect_until_;
        time_point dead_since_;
    };
    struct rumour {
        std::uint32_t sent_ = 0;
    };
    struct queued_payload {
        gossip_payload payload_;
        std::uint32_t sent_ = 0;
    };
    struct probe_in_flight {
        std::string name_;
        std::string address_;
        time_point indirect_at_;
        time_point fail_at_;
        bool indirect_sent_ = false;
    };
    struct relay {
        std::string requester_;
        std::uint32_t sequence_ = 0;
        time_point expires_;
    };

    [[nodiscard]] auto log2_members() const -> std::uint32_t;
    [[nodiscard]] auto gossip_limit() const -> std::uint32_t;
    [[nodiscard]] auto suspicion_time() const -> duration;
    auto send(const std::string& address, membership_message message) -> void;
    auto attach_gossip(membership_message& message) -> void;
    auto attach_members(membership_message& message, std::size_t& budget)
        -> void;
    auto attach_payloads(membership_message& message, std::size_t& budget)
        -> void;
    auto absorb(const member& heard, time_point now) -> void;
    auto absorb_about_self(const member& heard) -> void;
    auto absorb_payload(const gossip_payload& payload) -> void;
    auto set_state(entry& known, member_state state, time_point now) -> void;
    auto spread(const std::string& name) -> void;
    auto suspect(const std::string& name, time_point now) -> void;
    auto on_probe(const std::string& from, const membership_message& message)
        -> void;
    auto on_acknowledge(const membership_message& message) -> void;
    auto on_indirect(const std::string& from, const membership_message& message,
                     time_point now) -> void;
    auto on_sync_request(const std::string& from,
                         const membership_message& message) -> void;
    auto start_probe(time_point now) -> void;
    auto next_target() -> std::optional<std::string>;
    auto advance_probes(time_point now) -> void;
    auto send_indirect(std::uint32_t sequence, probe_in_flight& probe) -> void;
    auto expire(time_point now) -> void;
    auto sync(time_point now) -> void;
    [[nodiscard]] auto others() const -> std::vector<std::string>;

    membership_settings settings_;
    member self_;
    random_source& random_;
    std::map<std::string, entry> entries_;
    std::map<std::string, rumour> rumours_;
    std::deque<queued_payload> payloads_;
    std::map<std::string, std::uint32_t> seen_payloads_;
    std::deque<std::string> seen_order_;
    std::vector<gossip_payload> arrived_;
    std::map<std::string, time_point> seeds_;
    std::vector<std::string> probe_order_;
    std::unordered_map<std::uint32_t, probe_in_flight> probes_;
    std::unordered_map<std::uint32_t, relay> relays_;
    std::vector<membership_send> outputs_;
    std::uint32_t next_sequence_ = 1;
    std::uint32_t payload_version_ = 0;
    time_point next_probe_{};
    time_point next_sync_{};
    time_point last_tick_{};
    bool changed_ = true;
    membership_statistics statistics_;
};

} // namespace basilstream::coordination
