/// Tracks the membership of daemons by random probing at a fixed cost per
/// daemon (SWIM). See Das, Gupta and Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", DSN
/// 2002: direct probe, indirect probes, suspicion with incarnation numbers,
/// piggybacked gossip.
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

/// State of a member in the view of this daemon. At equal incarnation the
/// greater state overrides the smaller one.
enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// Names of member states, for logs and status.
inline constexpr auto member_state_names =
    name_table<member_state, 4>{{{{member_state::alive, "alive"},
                                  {member_state::suspect, "suspect"},
                                  {member_state::leaving, "leaving"},
                                  {member_state::dead, "dead"}}}};

/// One daemon. `name_` is unique and never reused by another VM.
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

/// Kind of an opaque payload; selects the module that interprets it.
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

/// An opaque value that is gossiped to every member. Of the payloads with equal
/// origin, process nonce, kind and key the greatest version wins.
struct gossip_payload {
    payload_kind kind_ = payload_kind::other;
    /// Name of the daemon that published it.
    std::string origin_;
    /// Random number of the publishing process. Distinguishes a restarted
    /// process, whose versions start again at 1.
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
    /// Requests the page of members whose names sort after `target_`. A joining
    /// daemon reads all pages, a joined one a single page at intervals.
    sync_request,
    /// `target_` is the cursor of the next page; empty after the last one.
    sync_answer,
};

/// A datagram between daemons.
struct membership_message {
    probe_kind kind_ = probe_kind::probe;
    std::uint32_t sequence_ = 0;
    std::string sender_;
    /// Indirect probe: the address to probe. Sync: the cursor. Otherwise empty.
    std::string target_;
    /// Hash of the names of the sender and of its members that are not dead.
    std::uint32_t digest_ = 0;
    std::vector<member> members_ = {};
    std::vector<gossip_payload> payloads_ = {};
};

/// A datagram to send to the peer address `address_`; it may be lost.
struct membership_send {
    std::string address_;
    membership_message message_;
};

/// Intervals and limits of the membership protocol.
struct membership_settings {
    duration probe_interval_ = seconds{1};
    duration probe_timeout_ = milliseconds{300};
    std::uint32_t indirect_probes_ = 3;
    /// A suspect is declared dead after this many probe intervals times the
    /// logarithm (base 2) of the number of members, at least three intervals.
    /// Zero declares it dead at once (for tests).
    std::uint32_t suspicion_factor_ = 2;
    /// A value is piggybacked on this many messages times the logarithm (base
    /// 2) of the number of members.
    std::uint32_t gossip_factor_ = 2;
    /// Maximum estimated size of the piggybacked values of one message.
    std::size_t max_gossip_bytes_ = 400;
    /// Maximum size of one payload; larger ones are rejected.
    std::size_t max_payload_bytes_ = 200;
    /// Maximum number of queued payloads. Above it the payload sent most often
    /// is dropped. Payloads of kind `endpoint_load` are sent last and dropped
    /// first.
    std::size_t max_payloads_ = 256;
    duration sync_interval_ = seconds{120};
    /// Maximum number of members, besides the sender, in one page of a sync
    /// answer.
    std::size_t max_sync_members_ = 16;
    /// Number of consecutive acknowledgements with a different digest after
    /// which a daemon reads the whole member list again.
    std::uint32_t max_digest_mismatches_ = 20;
    /// Time for which a dead member is kept, so that outdated gossip can't add
    /// it again.
    duration dead_retention_ = seconds{300};
    /// Minimum time between two sync requests to a seed that is not a member.
    duration seed_interval_ = seconds{5};
    /// Minimum time between two sync requests to any such seeds.
    duration request_interval_ = milliseconds{100};
};

/// Counters for metrics.
struct membership_statistics {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t suspicions_ = 0;
    std::uint64_t refutations_ = 0;
    std::uint64_t deaths_ = 0;
};

/// Runs the membership protocol of one daemon.
class membership {
public:
    membership(membership_settings settings, member self,
               random_source& random);

    /// Adds an address from the settings or the platform's VM list. The daemon
    /// there becomes a member when it answers, so addresses of VMs that no
    /// longer exist are harmless.
    auto add_seed(const std::string& peer_address, time_point now) -> void;
    /// Handles a VM list that shows this peer address as leaving or gone. The
    /// list may be wrong, so this only makes the member the next probe target.
    auto on_listed_leaving(const std::string& peer_address, time_point now)
        -> void;
    auto on_message(const std::string& from_address,
                    const membership_message& message, time_point now) -> void;
    /// Advances the timers. Call it at least every 100 ms.
    auto tick(time_point now) -> void;
    /// Gossips `bytes` under (`kind`, `key`). Returns false if `bytes` exceeds
    /// `max_payload_bytes_`.
    [[nodiscard]] auto publish(payload_kind kind, std::string key,
                               std::string bytes, time_point now) -> bool;
    /// Announces that this daemon is draining (state `leaving`).
    auto leave(time_point now) -> void;
    /// Returns the messages queued since the last call.
    [[nodiscard]] auto poll() -> std::vector<membership_send>;
    /// Returns the payloads received since the last call, each version once.
    [[nodiscard]] auto take_payloads() -> std::vector<gossip_payload>;
    /// Returns whether the member list changed since the last call.
    [[nodiscard]] auto take_changed() -> bool;
    /// Returns all members that are not dead, this daemon included, by name.
    [[nodiscard]] auto members() const -> std::vector<member>;
    /// Returns the names of the members that should own shards: those in state
    /// `alive`, this daemon included unless it is leaving. The log arbitrates
    /// ownership, so a false suspicion costs no more than a takeover.
    [[nodiscard]] auto owners() const -> std::vector<std::string>;
    [[nodiscard]] auto find(std::string_view name) const
        -> std::optional<member>;
    [[nodiscard]] auto statistics() const -> const membership_statistics& {
        return statistics_;
    }

private:
    struct entry {
        member member_;
        /// Time at which the member is declared dead unless it answers or
        /// refutes. Absent unless a probe failed or a suspicion was received.
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
    /// Merges a received member. `should_spread`: whether a change is gossiped
    /// further; false for the pages of a sync answer.
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
    /// Declares members dead when their suspicion times out; removes expired
    /// entries of dead members and expired relayed probes.
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
    /// Distinguishes the payloads of this process from those of an earlier one.
    std::uint32_t process_nonce_;
    random_source& random_;
    /// The other daemons by name, dead ones included.
    std::map<std::string, entry> entries_;
    /// Names by peer address.
    std::unordered_map<std::string, std::string> names_by_address_;
    /// Changed members still to be gossiped: number of sends by name.
    std::map<std::string, std::uint32_t> pending_updates_;
    std::deque<queued_payload> payloads_;
    /// Greatest version received, by payload key. Bounded; the key inserted
    /// first is evicted first.
    std::map<std::string, std::uint32_t> latest_versions_;
    std::deque<std::string> version_insertion_order_;
    std::vector<gossip_payload> received_payloads_;
    /// Addresses that may belong to daemons, with the time of the last sync
    /// request.
    std::map<std::string, time_point> seeds_;
    std::vector<std::string> probe_order_;
    std::unordered_map<std::uint32_t, probe_in_flight> probes_;
    /// Probes sent on behalf of others, by sequence number.
    std::unordered_map<std::uint32_t, relayed_probe> relays_;
    std::vector<membership_send> outputs_;
    std::uint32_t next_sequence_ = 1;
    std::uint32_t payload_version_ = 0;
    time_point next_probe_at_{};
    time_point next_sync_at_{};
    /// Earliest time of the next sync request to a seed or an unknown sender.
    time_point next_request_at_{};
    time_point last_tick_{};
    bool has_ticked_ = false;
    /// Whether every page of the member list was read.
    bool joined_ = false;
    std::string sync_cursor_;
    std::uint32_t digest_mismatches_ = 0;
    std::uint32_t names_digest_ = 0;
    bool members_changed_ = true;
    membership_statistics statistics_;
};

} // namespace basilstream::coordination
