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
      life_{static_cast<std::uint32_t>(random.next())}, random_{random} {
    updates_[self_.name_] = 0;
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
        next_sync_ = last_tick_;
    }
}

auto membership::by_address(const std::string& address) -> entry* {
    const auto name = names_.find(address);
    if (name == names_.end()) {
        return nullptr;
    }
    const auto known = entries_.find(name->second);
    return known == entries_.end() ? nullptr : &known->second;
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
    if (const auto* known = by_address(peer_address)) {
        probe_order_.push_back(known->member_.name_);
    }
}

auto membership::on_message(const std::string& from_address,
                            const membership_message& message, time_point now)
    -> void {
    for (const auto& heard : message.members_) {
        const auto page = message.kind_ == probe_kind::sync_answer;
        absorb(heard, !page || heard.name_ == message.sender_, now);
    }
    for (const auto& payload : message.payloads_) {
        absorb_payload(payload);
    }
    const auto known = entries_.find(message.sender_);
    if (known == entries_.end() && message.sender_ != self_.name_ &&
        message.kind_ != probe_kind::sync_request) {
        greet(from_address, now);
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
        const auto known = entries_.find(probe->second.name_);
        // A suspicion that others know of ends only by a new incarnation.
        if (known != entries_.end() &&
            known->second.member_.state_ != member_state::suspect) {
            known->second.silent_until_.reset();
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
    for (auto row = entries_.upper_bound(message.target_);
         row != entries_.end(); ++row) {
        if (row->second.member_.state_ == member_state::dead) {
            continue;
        }
        if (answer.members_.size() > settings_.max_sync_members_) {
            answer.target_ = answer.members_.back().name_;
            break;
        }
        answer.members_.push_back(row->second.member_);
    }
    send(from, std::move(answer));
}

auto membership::on_sync_answer(const std::string& from,
                                const membership_message& message) -> void {
    if (joined_) {
        return;
    }
    cursor_ = message.target_;
    joined_ = cursor_.empty();
    if (!joined_) {
        ask_for_members(from, cursor_);
    }
}

auto membership::random_members(std::size_t count) -> std::vector<member> {
    auto chosen = std::vector<member>{};
    for (const auto& [name, known] : entries_) {
        if (known.member_.state_ != member_state::dead) {
            chosen.push_back(known.member_);
        }
    }
    const auto taken = std::min(count, chosen.size());
    for (auto place = std::size_t{0}; place < taken; ++place) {
        const auto other = place + random_.below(chosen.size() - place);
        std::swap(chosen[place], chosen[other]);
    }
    chosen.resize(taken);
    return chosen;
}

// ---- probing ----------------------------------------------------------------

auto membership::tick(time_point now) -> void {
    forgive_pause(now);
    if (now >= next_probe_) {
        next_probe_ = now + settings_.probe_interval_;
        start_probe(now);
    }
    advance_probes(now);
    expire(now);
    synchronise(now);
}

// Acknowledgements that arrived during a pause of this process are not read
// yet: its own probes say nothing about the others then.
auto membership::forgive_pause(time_point now) -> void {
    const auto pause = now - last_tick_;
    last_tick_ = now;
    if (!std::exchange(ticked_, true) || pause < settings_.probe_timeout_) {
        return;
    }
    probes_.clear();
    for (auto& [name, known] : entries_) {
        if (known.silent_until_) {
            *known.silent_until_ += pause;
        }
    }
}

// Members are probed in a random order, each once per round: this bounds the
// time until a failed one is probed.
auto membership::next_target() -> const entry* {
    if (probe_order_.empty()) {
        for (const auto& [name, known] : entries_) {
            if (known.member_.state_ != member_state::dead) {
                probe_order_.push_back(name);
            }
        }
        for (auto left = probe_order_.size(); left > 1; --left) {
            std::swap(probe_order_[left - 1],
                      probe_order_[random_.below(left)]);
        }
    }
    while (!probe_order_.empty()) {
        const auto known = entries_.find(probe_order_.back());
        probe_order_.pop_back();
        if (known != entries_.end() &&
            known->second.member_.state_ != member_state::dead) {
            return &known->second;
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
    for (auto row = probes_.begin(); row != probes_.end();) {
        auto& [sequence, probe] = *row;
        if (now >= probe.fail_at_) {
            failed.push_back(probe.name_);
            row = probes_.erase(row);
            continue;
        }
        if (now >= probe.indirect_at_ && !probe.indirect_sent_) {
            probe.indirect_sent_ = true;
            send_indirect(sequence, probe);
        }
        ++row;
    }
    for (const auto& name : failed) {
        on_silent(name, now);
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

auto membership::on_silent(const std::string& name, time_point now) -> void {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    auto& known = found->second;
    if (known.member_.state_ == member_state::alive) {
        auto suspected = known.member_;
        suspected.state_ = member_state::suspect;
        ++statistics_.suspicions_;
        update(suspected, true, now);
        // Carries the suspicion to its subject, which may refute it at once.
        send(suspected.peer_address_,
             make_message(probe_kind::probe, next_sequence_++));
    } else if (!known.silent_until_) {
        known.silent_until_ = now + suspicion_time();
    }
}

auto membership::expire(time_point now) -> void {
    auto silent = std::vector<member>{};
    for (auto row = entries_.begin(); row != entries_.end();) {
        auto& known = row->second;
        const auto dead = known.member_.state_ == member_state::dead;
        if (dead && now - known.dead_since_ >= settings_.dead_memory_) {
            updates_.erase(row->first);
            names_.erase(known.member_.peer_address_);
            row = entries_.erase(row);
            continue;
        }
        if (!dead && known.silent_until_ && now >= *known.silent_until_) {
            silent.push_back(known.member_);
        }
        ++row;
    }
    for (auto& gone : silent) {
        gone.state_ = member_state::dead;
        ++statistics_.deaths_;
        update(gone, true, now);
    }
    std::erase_if(relays_,
                  [&](const auto& row) { return now >= row.second.expires_; });
}

// ---- joining ----------------------------------------------------------------

auto membership::ask_for_members(const std::string& address,
                                 const std::string& cursor) -> void {
    auto question =
        make_message(probe_kind::sync_request, next_sequence_++, cursor);
    question.members_.push_back(self_);
    send(address, std::move(question));
}

// Asks an address that may be a daemon, at a bounded rate.
auto membership::greet(const std::string& address, time_point now) -> void {
    if (now >= next_question_) {
        next_question_ = now + settings_.probe_interval_;
        ask_for_members(address, cursor_);
    }
}

auto membership::synchronise(time_point now) -> void {
    for (auto row = seeds_.begin(); row != seeds_.end();) {
        const auto* known = by_address(row->first);
        if (known != nullptr && known->member_.state_ != member_state::dead) {
            row = seeds_.erase(row);
            continue;
        }
        if (now - row->second >= settings_.seed_interval_ &&
            now >= next_question_) {
            row->second = now;
            greet(row->first, now);
        }
        ++row;
    }
    if (now < next_sync_) {
        return;
    }
    next_sync_ =
        now + (joined_ ? settings_.sync_interval_ : settings_.seed_interval_);
    const auto chosen = random_members(2);
    if (!chosen.empty()) {
        const auto& cursor = joined_ ? chosen.back().name_ : cursor_;
        ask_for_members(chosen.front().peer_address_, cursor);
    }
}

// ---- interface --------------------------------------------------------------

auto membership::leave(time_point /*now*/) -> void {
    if (self_.state_ == member_state::leaving) {
        return;
    }
    self_.state_ = member_state::leaving;
    updates_[self_.name_] = 0;
    changed_ = true;
}

auto membership::publish(payload_kind kind, std::string key, std::string bytes,
                         time_point /*now*/) -> bool {
    if (bytes.size() > settings_.max_payload_bytes_) {
        return false;
    }
    auto payload =
        gossip_payload{kind,           self_.name_,        life_,
                       std::move(key), ++payload_version_, std::move(bytes)};
    static_cast<void>(is_new(payload));
    queue_payload(std::move(payload));
    return true;
}

auto membership::poll() -> std::vector<membership_send> {
    return std::exchange(outputs_, {});
}

auto membership::take_payloads() -> std::vector<gossip_payload> {
    return std::exchange(arrived_, {});
}

auto membership::take_changed() -> bool {
    return std::exchange(changed_, false);
}

auto membership::members() const -> std::vector<member> {
    auto list = std::vector<member>{self_};
    for (const auto& [name, known] : entries_) {
        if (known.member_.state_ != member_state::dead) {
            list.push_back(known.member_);
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
    for (const auto& known : members()) {
        if (known.state_ == member_state::alive) {
            names.push_back(known.name_);
        }
    }
    return names;
}

auto membership::find(std::string_view name) const -> std::optional<member> {
    if (name == self_.name_) {
        return self_;
    }
    const auto known = entries_.find(std::string{name});
    if (known == entries_.end()) {
        return std::nullopt;
    }
    return known->second.member_;
}

} // namespace basilstream::coordination
