// Gossip of member updates and payloads, piggybacked on probe messages.
#include <algorithm>
#include <bit>
#include <utility>

#include "basilstream/coordination/membership/membership.hpp"

namespace basilstream::coordination {
namespace {

// Encoded bytes of tags and integers of one entry, in addition to its strings.
constexpr auto entry_overhead = std::size_t{20};
constexpr auto max_tracked_payloads = std::size_t{4096};
constexpr auto min_suspicion_intervals = 3U;

auto estimated_size(const member& peer) -> std::size_t {
    return entry_overhead + peer.name_.size() + peer.peer_address_.size() +
           peer.caller_address_.size() + peer.zone_.size();
}

auto estimated_size(const gossip_payload& payload) -> std::size_t {
    return entry_overhead + payload.origin_.size() + payload.key_.size() +
           payload.bytes_.size();
}

// Returns the sort key for sending: endpoint loads last, then by send count.
auto gossip_rank(const gossip_payload& payload, std::uint32_t sent)
    -> std::pair<bool, std::uint32_t> {
    return {payload.kind_ == payload_kind::endpoint_load, sent};
}

// Returns whether `received` takes precedence over `peer`, both of one member.
auto overrides(const member& received, const member& peer) -> bool {
    if (received.incarnation_ != peer.incarnation_) {
        return received.incarnation_ > peer.incarnation_;
    }
    return received.state_ > peer.state_;
}

// 32-bit FNV-1a (Fowler, Noll and Vo), because the hash must be equal on all
// daemons.
auto hash_of(const std::string& name) -> std::uint32_t {
    constexpr auto offset_basis = 2166136261U;
    constexpr auto prime = 16777619U;
    auto hash = offset_basis;
    for (const auto letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * prime;
    }
    return hash;
}

auto payload_key(const gossip_payload& payload) -> std::string {
    return std::to_string(static_cast<int>(payload.kind_)) + "/" +
           payload.origin_ + "/" + std::to_string(payload.process_nonce_) +
           "/" + payload.key_;
}

} // namespace

auto membership::log2_members() const -> std::uint32_t {
    const auto count = static_cast<std::uint32_t>(entries_.size()) + 1;
    return static_cast<std::uint32_t>(std::bit_width(count));
}

auto membership::suspicion_time() const -> duration {
    if (settings_.suspicion_factor_ == 0) {
        return duration{0};
    }
    const auto intervals = std::max(
        min_suspicion_intervals, settings_.suspicion_factor_ * log2_members());
    return settings_.probe_interval_ * intervals;
}

auto membership::send(const std::string& address, membership_message message)
    -> void {
    message.sender_ = self_.name_;
    message.digest_ = digest();
    auto budget = settings_.max_gossip_bytes_;
    attach_members(message, address, budget);
    attach_payloads(message, budget);
    ++statistics_.messages_sent_;
    outputs_.push_back({address, std::move(message)});
}

auto membership::attach_members(membership_message& message,
                                const std::string& address, std::size_t& budget)
    -> void {
    // A suspected receiver is always told of the suspicion, so that it can
    // refute.
    const auto* receiver = find_by_address(address);
    if (receiver != nullptr &&
        receiver->member_.state_ != member_state::alive) {
        message.members_.push_back(receiver->member_);
        budget -= std::min(budget, estimated_size(receiver->member_));
    }
    // Sorts only as many updates as can fit, the least often sent first.
    auto candidates = std::vector<std::pair<std::uint32_t, std::string>>{};
    candidates.reserve(pending_updates_.size());
    for (const auto& [name, sent] : pending_updates_) {
        candidates.emplace_back(sent, name);
    }
    const auto max_candidates =
        std::min(candidates.size(), budget / entry_overhead);
    const auto end =
        candidates.begin() + static_cast<std::ptrdiff_t>(max_candidates);
    std::partial_sort(candidates.begin(), end, candidates.end());
    const auto limit = settings_.gossip_factor_ * log2_members();
    for (auto chosen = candidates.begin(); chosen != end; ++chosen) {
        const auto& [sent, name] = *chosen;
        const auto peer = entries_.find(name);
        const auto& update =
            peer == entries_.end() ? self_ : peer->second.member_;
        if (estimated_size(update) > budget) {
            break;
        }
        budget -= estimated_size(update);
        message.members_.push_back(update);
        if (sent + 1 >= limit) {
            pending_updates_.erase(name);
        } else {
            pending_updates_[name] = sent + 1;
        }
    }
}

auto membership::attach_payloads(membership_message& message,
                                 std::size_t& budget) -> void {
    const auto limit = settings_.gossip_factor_ * log2_members();
    for (auto& queued : payloads_) {
        if (estimated_size(queued.payload_) > budget) {
            break;
        }
        budget -= estimated_size(queued.payload_);
        message.payloads_.push_back(queued.payload_);
        ++queued.send_count_;
    }
    std::erase_if(payloads_, [&](const queued_payload& queued) {
        return queued.send_count_ >= limit;
    });
    std::stable_sort(
        payloads_.begin(), payloads_.end(),
        [](const queued_payload& left, const queued_payload& right) {
            return gossip_rank(left.payload_, left.send_count_) <
                   gossip_rank(right.payload_, right.send_count_);
        });
}

auto membership::merge_member(const member& received, bool should_spread,
                              time_point now) -> void {
    if (received.name_ == self_.name_) {
        merge_self(received);
        return;
    }
    const auto peer = entries_.find(received.name_);
    if (peer == entries_.end()) {
        // An unknown member that is dead is not added.
        if (received.state_ != member_state::dead) {
            apply_update(received, should_spread, now);
        }
        return;
    }
    if (overrides(received, peer->second.member_)) {
        apply_update(received, should_spread, now);
    }
}

// Refutes a differing state of this daemon held by others, or left by an
// earlier process of the same name, with a higher incarnation.
auto membership::merge_self(const member& received) -> void {
    if (received == self_ || received.incarnation_ < self_.incarnation_) {
        return;
    }
    self_.incarnation_ = received.incarnation_ + 1;
    ++statistics_.refutations_;
    pending_updates_[self_.name_] = 0;
}

// Combines the hashes with XOR, because members are added and removed in any
// order.
auto membership::digest() const -> std::uint32_t {
    return names_digest_ ^ hash_of(self_.name_);
}

auto membership::apply_update(const member& peer, bool should_spread,
                              time_point now) -> void {
    const auto previous = entries_.find(peer.name_);
    const auto was_counted =
        previous != entries_.end() &&
        previous->second.member_.state_ != member_state::dead;
    if (was_counted != (peer.state_ != member_state::dead)) {
        names_digest_ ^= hash_of(peer.name_);
    }
    auto& entry = entries_[peer.name_];
    names_by_address_.erase(entry.member_.peer_address_);
    names_by_address_[peer.peer_address_] = peer.name_;
    entry.member_ = peer;
    entry.declare_dead_at_.reset();
    if (peer.state_ == member_state::suspect) {
        entry.declare_dead_at_ = now + suspicion_time();
    }
    if (peer.state_ == member_state::dead) {
        entry.dead_since_ = now;
    }
    if (should_spread) {
        pending_updates_[peer.name_] = 0;
    }
    members_changed_ = true;
}

auto membership::is_new(const gossip_payload& payload) -> bool {
    const auto key = payload_key(payload);
    const auto [latest_version, added] = latest_versions_.try_emplace(key, 0);
    if (added) {
        version_insertion_order_.push_back(key);
        if (version_insertion_order_.size() > max_tracked_payloads) {
            latest_versions_.erase(version_insertion_order_.front());
            version_insertion_order_.pop_front();
        }
    }
    if (payload.version_ <= latest_version->second) {
        return false;
    }
    latest_version->second = payload.version_;
    return true;
}

auto membership::accept_payload(const gossip_payload& payload) -> void {
    if (payload.bytes_.size() > settings_.max_payload_bytes_ ||
        !is_new(payload)) {
        return;
    }
    received_payloads_.push_back(payload);
    queue_payload(payload);
}

auto membership::queue_payload(gossip_payload payload) -> void {
    const auto key = payload_key(payload);
    std::erase_if(payloads_, [&](const queued_payload& queued) {
        return payload_key(queued.payload_) == key;
    });
    const auto rank = gossip_rank(payload, 0);
    const auto place = std::find_if(
        payloads_.begin(), payloads_.end(), [&](const queued_payload& queued) {
            return gossip_rank(queued.payload_, queued.send_count_) >= rank;
        });
    payloads_.insert(place, {std::move(payload), 0});
    if (payloads_.size() > settings_.max_payloads_) {
        payloads_.pop_back();
    }
}

} // namespace basilstream::coordination
