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

/// An opaque value that spreads to every member. For one (origin, life, kind,
/// key) the greatest version wins.
struct gossip_payload {
    payload_kind kind_ = payload_kind::other;
    /// Name of the daemon that published it.
    std::string origin_;
    /// Random number of that daemon's process: a restarted one counts its
    /// versions anew.
    std::uint32_t process_nonce_ = 0;
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
    /// Asks for the members whose names follow `target_`. A joining daemon
    /// asks page by page, the others now and then for one page.
    sync_request,
    /// `target_` is the cursor of the next page; empty after the last one.
    sync_answer,
};

/// A datagram between daemons.
struct membership_message {
    probe_kind kind_ = probe_kind::probe;
    std::uint32_t sequence_ = 0;
    std::string sender_;
    /// Of an indirect probe: the address to probe. Of a sync: the cursor.
    std::string target_;
    /// Hash of the names of the sender's members.
    std::uint32_t digest_ = 0;
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
    /// Zero declares it dead at once (for tests).
    std::uint32_t suspicion_factor_ = 2;
    /// A value is piggybacked this many times the logarithm of the number of
    /// members.
    std::uint32_t gossip_factor_ = 2;
    /// Bound of the piggybacked bytes of one message.
    std::size_t max_gossip_bytes_ = 400;
    /// Bound of one payload's bytes; larger ones are refused.
    std::size_t max_payload_bytes_ = 200;
    /// Bound of queued payloads. The one passed on most often is dropped;
    /// loads are passed on after everything else and dropped first.
    std::size_t max_payloads_ = 256;
    duration sync_interval_ = seconds{120};
    /// Most members of one sync answer: a page of the list by name.
    std::size_t max_sync_members_ = 16;
    /// So many acknowledgements in a row with another digest make a daemon
    /// read the whole list again.
    std::uint32_t max_digest_mismatches_ = 20;
    /// How long a dead member is remembered, so that old gossip cannot
    /// revive it.
    duration dead_retention_ = seconds{300};
    /// Pause between two questions to one seed that is no member.
    duration seed_interval_ = seconds{5};
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
    /// The VM list says that this peer address is leaving or gone. The list
    /// may be wrong, so the member is only probed next.
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
    /// Names of members in state `alive`, itself included unless it leaves:
    /// those that should own shards. Ownership is arbitrated by the log, so a
    /// false suspicion costs a takeover and nothing else.
    [[nodiscard]] auto owners() const -> std::vector<std::string>;
    [[nodiscard]] auto find(std::string_view name) const
        -> std::optional<member>;
    [[nodiscard]] auto statistics() const -> const membership_statistics& {
        return statistics_;
    }

private:
    struct entry {
        member member_;
        /// Set while a probe of this daemon or gossip says that it is silent.
        std::optional<time_point> declare_dead_at_ = {};
        time_point dead_since_{};
    };
    struct queued_payload {
        gossip_payload payload_;
        std::uint32_t send_count_ = 0;
    };
    struct probe_in_flight {
        std::string name_;
        std::string address_;
        time_point indirect_at_;
        time_point fail_at_;
        bool indirect_sent_ = false;
    };
    struct relayed_probe {
        std::string requester_;
        std::uint32_t sequence_ = 0;
        time_point expires_;
    };

    // Gossip (internal/gossip.cpp).
    [[nodiscard]] auto log2_members() const -> std::uint32_t;
    [[nodiscard]] auto suspicion_time() const -> duration;
    auto send(const std::string& address, membership_message message) -> void;
    auto attach_members(membership_message& message, const std::string& address,
                        std::size_t& budget) -> void;
    auto attach_payloads(membership_message& message, std::size_t& budget)
        -> void;
    /// Only news is passed on; pages of a sync answer are none.
    auto merge_member(const member& received, bool should_spread,
                      time_point now) -> void;
    auto merge_self(const member& received) -> void;
    auto accept_payload(const gossip_payload& payload) -> void;
    [[nodiscard]] auto is_new(const gossip_payload& payload) -> bool;
    auto queue_payload(gossip_payload payload) -> void;
    auto apply_update(const member& peer, bool should_spread, time_point now)
        -> void;
    [[nodiscard]] auto digest() const -> std::uint32_t;
    auto compare_digest(const membership_message& message) -> void;
    // Probing (membership.cpp).
    auto on_probe(const std::string& from, const membership_message& message)
        -> void;
    auto on_acknowledge(const membership_message& message) -> void;
    auto on_indirect_probe(const std::string& from,
                           const membership_message& message, time_point now)
        -> void;
    auto on_sync_request(const std::string& from,
                         const membership_message& message) -> void;
    auto on_sync_answer(const std::string& from,
                        const membership_message& message) -> void;
    auto compensate_for_pause(time_point now) -> void;
    auto start_probe(time_point now) -> void;
    auto next_target() -> const entry*;
    auto advance_probes(time_point now) -> void;
    auto send_indirect(std::uint32_t sequence, const probe_in_flight& probe)
        -> void;
    auto on_probe_failed(const std::string& name, time_point now) -> void;
    auto expire(time_point now) -> void;
    auto synchronise(time_point now) -> void;
    auto request_members(const std::string& address, const std::string& cursor)
        -> void;
    auto try_request_members(const std::string& address, time_point now)
        -> void;
    [[nodiscard]] auto find_by_address(const std::string& address) -> entry*;
    [[nodiscard]] auto random_members(std::size_t count) -> std::vector<member>;

    membership_settings settings_;
    member self_;
    /// Tells this process's payloads from those of an earlier one.
    std::uint32_t process_nonce_;
    random_source& random_;
    /// The other daemons.
    std::map<std::string, entry> entries_;
    /// Names by peer address.
    std::unordered_map<std::string, std::string> names_by_address_;
    /// How often each changed member was passed on.
    std::map<std::string, std::uint32_t> pending_updates_;
    std::deque<queued_payload> payloads_;
    std::map<std::string, std::uint32_t> latest_versions_;
    std::deque<std::string> version_insertion_order_;
    std::vector<gossip_payload> received_payloads_;
    /// Addresses that may be daemons, with the time of the last question.
    std::map<std::string, time_point> seeds_;
    std::vector<std::string> probe_order_;
    std::unordered_map<std::uint32_t, probe_in_flight> probes_;
    std::unordered_map<std::uint32_t, relayed_probe> relays_;
    std::vector<membership_send> outputs_;
    std::uint32_t next_sequence_ = 1;
    std::uint32_t payload_version_ = 0;
    time_point next_probe_at_{};
    time_point next_sync_at_{};
    time_point next_request_at_{};
    time_point last_tick_{};
    bool has_ticked_ = false;
    /// Every page of the list was read once.
    bool joined_ = false;
    std::string sync_cursor_;
    std::uint32_t digest_mismatches_ = 0;
    std::uint32_t names_digest_ = 0;
    bool members_changed_ = true;
    membership_statistics statistics_;
};

} // namespace basilstream::coordination
