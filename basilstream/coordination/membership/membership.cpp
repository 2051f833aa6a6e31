#include "basilstream/coordination/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

auto make_message(probe_kind kind, std::uint32_t sequence,
                  std::string target = {}) -> membership_message {
    auto message = membership_message{};
    message.kind_ = kind;
    message.sequence_ = sequence;
    message.target_ = std::move(target);
    return message;
}

} // namespace

membership::membership(membership_settings settings, member self,
                       random_source& random)
    : settings_{settings}, self_{std::move(self)},
      process_nonce_{static_cast<std::uint32_t>(random.next())}, random_{
                                                                     random} {
    pending_updates_[self_.name_] = 0;
}

auto membership::compare_digest(const membership_message& message) -> void {
    if (message.digest_ == digest()) {
        digest_mismatches_ = 0;
        return;
    }
    ++digest_mismatches_;
    if (digest_mismatches_ >= settings_.max_digest_mismatches_) {
        digest_mismatches_ = 0;
        joined_ = false;
        next_sync_at_ = last_tick_;
    }
}

auto membership::find_by_address(const std::string& address) -> entry* {
    const auto name = names_by_address_.find(address);
    if (name == names_by_address_.end()) {
        return nullptr;
    }
    const auto peer = entries_.find(name->second);
    return peer == entries_.end() ? nullptr : &peer->second;
}

auto membership::add_seed(const std::string& peer_address, time_point now)
    -> void {
    if (peer_address != self_.peer_address_) {
        seeds_.try_emplace(peer_address, now - settings_.seed_interval_);
    }
}

auto membership::on_listed_leaving(const std::string& peer_address,
                                   time_point /*now*/) -> void {
    seeds_.erase(peer_address);
    if (const auto* peer = find_by_address(peer_address)) {
        probe_order_.push_back(peer->member_.name_);
    }
}

auto membership::on_message(const std::string& from_address,
                            const membership_message& message, time_point now)
    -> void {
    for (const auto& received : message.members_) {
        const auto is_sync_page = message.kind_ == probe_kind::sync_answer;
        merge_member(received,
                     !is_sync_page || received.name_ == message.sender_, now);
    }
    for (const auto& payload : message.payloads_) {
        accept_payload(payload);
    }
    const auto peer = entries_.find(message.sender_);
    if (peer == entries_.end() && message.sender_ != self_.name_ &&
        message.kind_ != probe_kind::sync_request) {
        try_request_members(from_address, now);
    }
    switch (message.kind_) {
    case probe_kind::probe:
        on_probe(from_address, message);
        break;
    case probe_kind::acknowledge:
        on_acknowledge(message);
        break;
    case probe_kind::indirect_probe:
        on_indirect_probe(from_address, message, now);
        break;
    case probe_kind::sync_request:
        on_sync_request(from_address, message);
        break;
    case probe_kind::sync_answer:
        on_sync_answer(from_address, message);
        break;
    }
}

auto membership::on_probe(const std::string& from,
                          const membership_message& message) -> void {
    send(from, make_message(probe_kind::acknowledge, message.sequence_));
}

auto membership::on_acknowledge(const membership_message& message) -> void {
    const auto probe = probes_.find(message.sequence_);
    if (probe != probes_.end()) {
        compare_digest(message);
        const auto peer = entries_.find(probe->second.name_);
        // A suspicion that was gossiped ends only with a new incarnation.
        if (peer != entries_.end() &&
            peer->second.member_.state_ != member_state::suspect) {
            peer->second.declare_dead_at_.reset();
        }
        probes_.erase(probe);
    }
    const auto relay = relays_.find(message.sequence_);
    if (relay != relays_.end()) {
        send(relay->second.requester_,
             make_message(probe_kind::acknowledge, relay->second.sequence_));
        relays_.erase(relay);
    }
}

auto membership::on_indirect_probe(const std::string& from,
                                   const membership_message& message,
                                   time_point now) -> void {
    const auto sequence = next_sequence_++;
    relays_[sequence] = {from, message.sequence_,
                         now + settings_.probe_interval_};
    send(message.target_, make_message(probe_kind::probe, sequence));
}

auto membership::on_sync_request(const std::string& from,
                                 const membership_message& message) -> void {
    auto answer = make_message(probe_kind::sync_answer, message.sequence_);
    answer.members_.push_back(self_);
    for (auto it = entries_.upper_bound(message.target_); it != entries_.end();
         ++it) {
        if (it->second.member_.state_ == member_state::dead) {
            continue;
        }
        if (answer.members_.size() > settings_.max_sync_members_) {
            answer.target_ = answer.members_.back().name_;
            break;
        }
        answer.members_.push_back(it->second.member_);
    }
    send(from, std::move(answer));
}

auto membership::on_sync_answer(const std::string& from,
                                const membership_message& message) -> void {
    if (joined_) {
        return;
    }
    sync_cursor_ = message.target_;
    joined_ = sync_cursor_.empty();
    if (!joined_) {
        request_members(from, sync_cursor_);
    }
}

auto membership::random_members(std::size_t count) -> std::vector<member> {
    auto chosen = std::vector<member>{};
    for (const auto& [name, peer] : entries_) {
        if (peer.member_.state_ != member_state::dead) {
            chosen.push_back(peer.member_);
        }
    }
    const auto chosen_count = std::min(count, chosen.size());
    for (auto index = std::size_t{0}; index < chosen_count; ++index) {
        const auto other = index + random_.below(chosen.size() - index);
        std::swap(chosen[index], chosen[other]);
    }
    chosen.resize(chosen_count);
    return chosen;
}

// ---- probing ----------------------------------------------------------------

auto membership::tick(time_point now) -> void {
    compensate_for_pause(now);
    if (now >= next_probe_at_) {
        next_probe_at_ = now + settings_.probe_interval_;
        start_probe(now);
    }
    advance_probes(now);
    expire(now);
    synchronise(now);
}

// Extends the time-outs by a pause of this process. Acknowledgements that
// arrived during the pause are still unread, so probes in flight are no
// evidence against their targets.
auto membership::compensate_for_pause(time_point now) -> void {
    const auto pause = now - last_tick_;
    last_tick_ = now;
    if (!std::exchange(has_ticked_, true) || pause < settings_.probe_timeout_) {
        return;
    }
    probes_.clear();
    for (auto& [name, peer] : entries_) {
        if (peer.declare_dead_at_) {
            *peer.declare_dead_at_ += pause;
        }
    }
}

// Returns the next member to probe, or null if there is none. Members are
// probed in random order, each once per round, which bounds the time until a
// failed member is probed.
auto membership::next_target() -> const entry* {
    if (probe_order_.empty()) {
        for (const auto& [name, peer] : entries_) {
            if (peer.member_.state_ != member_state::dead) {
                probe_order_.push_back(name);
            }
        }
        for (auto left = probe_order_.size(); left > 1; --left) {
            std::swap(probe_order_[left - 1],
                      probe_order_[random_.below(left)]);
        }
    }
    while (!probe_order_.empty()) {
        const auto peer = entries_.find(probe_order_.back());
        probe_order_.pop_back();
        if (peer != entries_.end() &&
            peer->second.member_.state_ != member_state::dead) {
            return &peer->second;
        }
    }
    return nullptr;
}

auto membership::start_probe(time_point now) -> void {
    const auto* target = next_target();
    if (target == nullptr) {
        return;
    }
    const auto sequence = next_sequence_++;
    const auto& address = target->member_.peer_address_;
    probes_[sequence] = {target->member_.name_, address,
                         now + settings_.probe_timeout_,
                         now + settings_.probe_interval_, false};
    send(address, make_message(probe_kind::probe, sequence));
}

auto membership::advance_probes(time_point now) -> void {
    auto failed = std::vector<std::string>{};
    for (auto it = probes_.begin(); it != probes_.end();) {
        auto& [sequence, probe] = *it;
        if (now >= probe.fail_at_) {
            failed.push_back(probe.name_);
            it = probes_.erase(it);
            continue;
        }
        if (now >= probe.indirect_at_ && !probe.indirect_sent_) {
            probe.indirect_sent_ = true;
            send_indirect(sequence, probe);
        }
        ++it;
    }
    for (const auto& name : failed) {
        on_probe_failed(name, now);
    }
}

auto membership::send_indirect(std::uint32_t sequence,
                               const probe_in_flight& probe) -> void {
    for (const auto& helper : random_members(settings_.indirect_probes_)) {
        if (helper.name_ != probe.name_) {
            send(helper.peer_address_, make_message(probe_kind::indirect_probe,
                                                    sequence, probe.address_));
        }
    }
}

auto membership::on_probe_failed(const std::string& name, time_point now)
    -> void {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    auto& peer = found->second;
    if (peer.member_.state_ == member_state::alive) {
        auto suspected = peer.member_;
        suspected.state_ = member_state::suspect;
        ++statistics_.suspicions_;
        apply_update(suspected, true, now);
        // Informs the suspected member, so that it can refute at once.
        send(suspected.peer_address_,
             make_message(probe_kind::probe, next_sequence_++));
    } else if (!peer.declare_dead_at_) {
        peer.declare_dead_at_ = now + suspicion_time();
    }
}

auto membership::expire(time_point now) -> void {
    auto expired = std::vector<member>{};
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& peer = it->second;
        const auto is_dead = peer.member_.state_ == member_state::dead;
        if (is_dead && now - peer.dead_since_ >= settings_.dead_retention_) {
            pending_updates_.erase(it->first);
            names_by_address_.erase(peer.member_.peer_address_);
            it = entries_.erase(it);
            continue;
        }
        if (!is_dead && peer.declare_dead_at_ &&
            now >= *peer.declare_dead_at_) {
            expired.push_back(peer.member_);
        }
        ++it;
    }
    for (auto& dead_peer : expired) {
        dead_peer.state_ = member_state::dead;
        ++statistics_.deaths_;
        apply_update(dead_peer, true, now);
    }
    std::erase_if(relays_, [&](const auto& relayed) {
        return now >= relayed.second.expires_;
    });
}

// ---- joining ----------------------------------------------------------------

auto membership::request_members(const std::string& address,
                                 const std::string& cursor) -> void {
    auto request =
        make_message(probe_kind::sync_request, next_sequence_++, cursor);
    request.members_.push_back(self_);
    send(address, std::move(request));
}

// Requests members from an address that may belong to a daemon, at most once
// per request interval.
auto membership::try_request_members(const std::string& address, time_point now)
    -> void {
    if (now >= next_request_at_) {
        next_request_at_ = now + settings_.request_interval_;
        request_members(address, sync_cursor_);
    }
}

auto membership::synchronise(time_point now) -> void {
    for (auto it = seeds_.begin(); it != seeds_.end();) {
        const auto* peer = find_by_address(it->first);
        if (peer != nullptr && peer->member_.state_ != member_state::dead) {
            it = seeds_.erase(it);
            continue;
        }
        if (now - it->second >= settings_.seed_interval_ &&
            now >= next_request_at_) {
            it->second = now;
            try_request_members(it->first, now);
        }
        ++it;
    }
    if (now < next_sync_at_) {
        return;
    }
    next_sync_at_ =
        now + (joined_ ? settings_.sync_interval_ : settings_.seed_interval_);
    const auto chosen = random_members(2);
    if (!chosen.empty()) {
        const auto& cursor = joined_ ? chosen.back().name_ : sync_cursor_;
        request_members(chosen.front().peer_address_, cursor);
    }
}

// ---- interface --------------------------------------------------------------

auto membership::leave(time_point /*now*/) -> void {
    if (self_.state_ == member_state::leaving) {
        return;
    }
    self_.state_ = member_state::leaving;
    pending_updates_[self_.name_] = 0;
    members_changed_ = true;
}

auto membership::publish(payload_kind kind, std::string key, std::string bytes,
                         time_point /*now*/) -> bool {
    if (bytes.size() > settings_.max_payload_bytes_) {
        return false;
    }
    auto payload =
        gossip_payload{kind,           self_.name_,        process_nonce_,
                       std::move(key), ++payload_version_, std::move(bytes)};
    static_cast<void>(is_new(payload));
    queue_payload(std::move(payload));
    return true;
}

auto membership::poll() -> std::vector<membership_send> {
    return std::exchange(outputs_, {});
}

auto membership::take_payloads() -> std::vector<gossip_payload> {
    return std::exchange(received_payloads_, {});
}

auto membership::take_changed() -> bool {
    return std::exchange(members_changed_, false);
}

auto membership::members() const -> std::vector<member> {
    auto list = std::vector<member>{self_};
    for (const auto& [name, peer] : entries_) {
        if (peer.member_.state_ != member_state::dead) {
            list.push_back(peer.member_);
        }
    }
    std::sort(list.begin(), list.end(),
              [](const member& left, const member& right) {
                  return left.name_ < right.name_;
              });
    return list;
}

auto membership::owners() const -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& peer : members()) {
        if (peer.state_ == member_state::alive) {
            names.push_back(peer.name_);
        }
    }
    return names;
}

auto membership::find(std::string_view name) const -> std::optional<member> {
    if (name == self_.name_) {
        return self_;
    }
    const auto peer = entries_.find(std::string{name});
    if (peer == entries_.end()) {
        return std::nullopt;
    }
    return peer->second.member_;
}

} // namespace basilstream::coordination
