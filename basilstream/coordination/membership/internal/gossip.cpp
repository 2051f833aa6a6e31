// Piggybacked member updates and payloads.
#include <algorithm>
#include <bit>
#include <utility>

#include "basilstream/coordination/membership/membership.hpp"

namespace basilstream::coordination {
namespace {

// Bytes of tags and small numbers around the strings of one entry.
constexpr auto entry_overhead = std::size_t{20};
constexpr auto max_seen_payloads = std::size_t{4096};
constexpr auto least_suspicion_intervals = 3U;

auto size_of(const member& known) -> std::size_t {
    return entry_overhead + known.name_.size() + known.peer_address_.size() +
           known.caller_address_.size() + known.zone_.size();
}

auto size_of(const gossip_payload& payload) -> std::size_t {
    return entry_overhead + payload.origin_.size() + payload.key_.size() +
           payload.bytes_.size();
}

// Loads give way to everything else.
auto rank_of(const gossip_payload& payload, std::uint32_t sent)
    -> std::pair<bool, std::uint32_t> {
    return {payload.kind_ == payload_kind::endpoint_load, sent};
}

// Order of two statements about one member.
auto overrides(const member& heard, const member& known) -> bool {
    if (heard.incarnation_ != known.incarnation_) {
        return heard.incarnation_ > known.incarnation_;
    }
    return heard.state_ > known.state_;
}

// FNV-1a, 32 bits (Fowler, Noll and Vo): equal on all daemons.
auto hash_of(const std::string& name) -> std::uint32_t {
    constexpr auto offset_basis = 2166136261U;
    constexpr auto prime = 16777619U;
    auto hash = offset_basis;
    for (const auto letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * prime;
    }
    return hash;
}

auto seen_key(const gossip_payload& payload) -> std::string {
    return std::to_string(static_cast<int>(payload.kind_)) + "/" +
           payload.origin_ + "/" + std::to_string(payload.life_) + "/" +
           payload.key_;
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
    const auto intervals =
        std::max(least_suspicion_intervals,
                 settings_.suspicion_factor_ * log2_members());
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
    // A suspected receiver must hear of it, so that it can refute.
    const auto* receiver = by_address(address);
    if (receiver != nullptr &&
        receiver->member_.state_ != member_state::alive) {
        message.members_.push_back(receiver->member_);
        budget -= std::min(budget, size_of(receiver->member_));
    }
    // The least passed on first; no more than fit.
    auto rows = std::vector<std::pair<std::uint32_t, std::string>>{};
    rows.reserve(updates_.size());
    for (const auto& [name, sent] : updates_) {
        rows.emplace_back(sent, name);
    }
    const auto most = std::min(rows.size(), budget / entry_overhead);
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(most);
    std::partial_sort(rows.begin(), end, rows.end());
    const auto limit = settings_.gossip_factor_ * log2_members();
    for (auto chosen = rows.begin(); chosen != end; ++chosen) {
        const auto& [sent, name] = *chosen;
        const auto known = entries_.find(name);
        const auto& update =
            known == entries_.end() ? self_ : known->second.member_;
        if (size_of(update) > budget) {
            break;
        }
        budget -= size_of(update);
        message.members_.push_back(update);
        if (sent + 1 >= limit) {
            updates_.erase(name);
        } else {
            updates_[name] = sent + 1;
        }
    }
}

auto membership::attach_payloads(membership_message& message,
                                 std::size_t& budget) -> void {
    const auto limit = settings_.gossip_factor_ * log2_members();
    for (auto& queued : payloads_) {
        if (size_of(queued.payload_) > budget) {
            break;
        }
        budget -= size_of(queued.payload_);
        message.payloads_.push_back(queued.payload_);
        ++queued.sent_;
    }
    std::erase_if(payloads_, [&](const queued_payload& queued) {
        return queued.sent_ >= limit;
    });
    std::stable_sort(
        payloads_.begin(), payloads_.end(),
        [](const queued_payload& left, const queued_payload& right) {
            return rank_of(left.payload_, left.sent_) <
                   rank_of(right.payload_, right.sent_);
        });
}

auto membership::absorb(const member& heard, bool news, time_point now)
    -> void {
    if (heard.name_ == self_.name_) {
        absorb_about_self(heard);
        return;
    }
    const auto known = entries_.find(heard.name_);
    if (known == entries_.end()) {
        // The death of a stranger is no news.
        if (heard.state_ != member_state::dead) {
            update(heard, news, now);
        }
        return;
    }
    if (overrides(heard, known->second.member_)) {
        update(heard, news, now);
    }
}

// Refutes what others believe of this daemon, and outbids an earlier life that
// had the same name.
auto membership::absorb_about_self(const member& heard) -> void {
    if (heard == self_ || heard.incarnation_ < self_.incarnation_) {
        return;
    }
    self_.incarnation_ = heard.incarnation_ + 1;
    ++statistics_.refutations_;
    updates_[self_.name_] = 0;
}

// Order does not matter: members are added and removed in any order.
auto membership::digest() const -> std::uint32_t {
    return names_digest_ ^ hash_of(self_.name_);
}

auto membership::update(const member& known, bool news, time_point now)
    -> void {
    const auto former = entries_.find(known.name_);
    const auto was_counted =
        former != entries_.end() &&
        former->second.member_.state_ != member_state::dead;
    if (was_counted != (known.state_ != member_state::dead)) {
        names_digest_ ^= hash_of(known.name_);
    }
    auto& entry = entries_[known.name_];
    names_.erase(entry.member_.peer_address_);
    names_[known.peer_address_] = known.name_;
    entry.member_ = known;
    entry.silent_until_.reset();
    if (known.state_ == member_state::suspect) {
        entry.silent_until_ = now + suspicion_time();
    }
    if (known.state_ == member_state::dead) {
        entry.dead_since_ = now;
    }
    if (news) {
        updates_[known.name_] = 0;
    }
    changed_ = true;
}

auto membership::is_new(const gossip_payload& payload) -> bool {
    const auto key = seen_key(payload);
    const auto [seen, added] = seen_payloads_.try_emplace(key, 0);
    if (added) {
        seen_order_.push_back(key);
        if (seen_order_.size() > max_seen_payloads) {
            seen_payloads_.erase(seen_order_.front());
            seen_order_.pop_front();
        }
    }
    if (payload.version_ <= seen->second) {
        return false;
    }
    seen->second = payload.version_;
    return true;
}

auto membership::absorb_payload(const gossip_payload& payload) -> void {
    if (payload.bytes_.size() > settings_.max_payload_bytes_ ||
        !is_new(payload)) {
        return;
    }
    arrived_.push_back(payload);
    queue_payload(payload);
}

auto membership::queue_payload(gossip_payload payload) -> void {
    const auto key = seen_key(payload);
    std::erase_if(payloads_, [&](const queued_payload& queued) {
        return seen_key(queued.payload_) == key;
    });
    const auto rank = rank_of(payload, 0);
    const auto place = std::find_if(
        payloads_.begin(), payloads_.end(), [&](const queued_payload& queued) {
            return rank_of(queued.payload_, queued.sent_) >= rank;
        });
    payloads_.insert(place, {std::move(payload), 0});
    if (payloads_.size() > settings_.max_payloads_) {
        payloads_.pop_back();
    }
}

} // namespace basilstream::coordination
