// Takeover, lease, release and members' promises not to take over.
#include <algorithm>
#include <utility>

#include "basilstream/coordination/claims/internal/claim_shard.hpp"

namespace basilstream::coordination::internal {

auto claim_shard::set_role(bool preferred, bool standby, time_point now)
    -> void {
    preferred_ = preferred;
    standby_ = standby;
    if ((preferred || standby) && phase_ == shard_phase::idle) {
        owner_seen_at_ = now;
        follow(0);
    } else if (!preferred && phase_ == shard_phase::owning) {
        phase_ = shard_phase::releasing;
    } else if (!preferred && !standby && phase_ == shard_phase::following) {
        stop_following();
    }
}

auto claim_shard::set_witnesses(const std::vector<std::string>& members,
                                std::uint64_t digest, time_point now) -> void {
    members_digest_ = digest;
    for (auto& [name, left_at] : witnesses_) {
        if (!left_at) {
            left_at = now;
        }
    }
    for (const auto& name : members) {
        if (name != self_.name_) {
            witnesses_[name].reset();
        }
    }
}

// While the log is unreachable no witness is removed: a daemon that left the
// list of members may have taken over the shard before.
auto claim_shard::remove_departed_witnesses(time_point now) -> void {
    if (log_unreachable_) {
        return;
    }
    std::erase_if(witnesses_, [&](const auto& row) {
        return row.second &&
               now - *row.second >= settings_->departed_retention_;
    });
}

auto claim_shard::follow(std::uint64_t from) -> void {
    phase_ = shard_phase::following;
    at_head_ = false;
    outputs_->push_back(follow_output{shard_, from});
}

auto claim_shard::stop_following() -> void {
    outputs_->push_back(unfollow_output{shard_});
    phase_ = shard_phase::idle;
    index_ = claim_index{*guards_};
    at_head_ = false;
    in_flight_.reset();
}

auto claim_shard::update_ownership(time_point now) -> void {
    const auto owner_matches = index_.owner() == owner_id_ && index_.epoch();
    const auto is_owner = owner_matches && !index_.released();
    switch (phase_) {
    case shard_phase::following:
    case shard_phase::taking_over:
        // The ownership may be an earlier one of this daemon that a later
        // record ends, so the stream must first be read to its end.
        if (is_owner && at_head_) {
            become_owner(now);
        }
        break;
    case shard_phase::owning:
    case shard_phase::releasing:
        if (!is_owner) {
            lose_ownership();
        }
        break;
    case shard_phase::idle:
        break;
    }
}

auto claim_shard::become_owner(time_point now) -> void {
    phase_ = preferred_ ? shard_phase::owning : shard_phase::releasing;
    epoch_ = *index_.epoch();
    pending_takeover_.reset();
    ++statistics_->takeovers_;
    release_queued_ = false;
    pending_renewals_.clear();
    confirmed_until_ = time_point{};
    queue_.clear();
    offset_samples_.clear();
    // Readers of a truncated stream learn the epoch from renewals, so a renewal
    // must precede all other records of the epoch.
    renew(now);
    flush(now);
}

auto claim_shard::lose_ownership() -> void {
    for (auto& [key, state] : key_states_) {
        for (const auto& waiting : state.waiters_) {
            redirect(waiting.from_, waiting.message_.request_id_);
        }
    }
    key_states_.clear();
    queue_.clear();
    flush_at_.reset();
    in_flight_.reset();
    release_queued_ = false;
    confirmed_until_ = time_point{};
    if (preferred_ || standby_) {
        phase_ = shard_phase::following;
    } else {
        stop_following();
    }
}

auto claim_shard::try_take_over(time_point now) -> void {
    const auto read_recently = now - last_read_at_ < settings_->lease_ / 2;
    if (!preferred_ || !at_head_ || !read_recently || in_flight_) {
        return;
    }
    const auto lease_expired = now - owner_seen_at_ >= settings_->lease_;
    const auto available = !index_.epoch()
                               ? index_.next_offset() == 0 || lease_expired
                               : index_.released() || lease_expired;
    if (!available || now < promised_until_) {
        return;
    }
    phase_ = shard_phase::taking_over;
    pending_takeover_ =
        ownership_record{owner_id_, index_.epoch(), index_.last_owner_offset()};
    append({*pending_takeover_}, now);
}

auto claim_shard::try_release(time_point now) -> void {
    const auto busy = in_flight_ || !queue_.empty();
    if (busy || release_queued_) {
        return;
    }
    release_queued_ = true;
    enqueue(release_record{epoch_}, true, now);
}

auto claim_shard::renew(time_point now) -> void {
    last_renewal_at_ = now;
    const auto unix_time = now.time_since_epoch() + settings_->unix_offset_;
    enqueue(renewal_record{owner_id_, epoch_, next_sequence_++, unix_time},
            true, now);
}

auto claim_shard::confirm_renewal(std::uint64_t sequence) -> void {
    while (!pending_renewals_.empty() &&
           pending_renewals_.front().sequence_ <= sequence) {
        if (pending_renewals_.front().sequence_ == sequence) {
            confirmed_until_ =
                std::max(confirmed_until_, pending_renewals_.front().sent_at_ +
                                               settings_->lease_);
        }
        pending_renewals_.pop_front();
    }
}

auto claim_shard::all_promised() const -> bool {
    return std::all_of(witnesses_.begin(), witnesses_.end(),
                       [&](const auto& row) {
                           return promising_daemons_.contains(row.first);
                       });
}

auto claim_shard::ownership_confirmed(time_point now) const -> bool {
    return !guards_->confirm_ownership() || now < confirmed_until_;
}

auto claim_shard::query_witnesses(time_point now) -> void {
    if (!log_unreachable_ || now - round_sent_at_ < settings_->lease_ / 2) {
        return;
    }
    ++round_;
    round_sent_at_ = now;
    promising_daemons_.clear();
    if (witnesses_.empty()) {
        confirmed_until_ = now + settings_->lease_;
    }
    for (const auto& [name, left_at] : witnesses_) {
        send(name, epoch_query_message{shard_, epoch_, round_});
    }
}

// Returns false while an ownership record of this daemon may still take effect.
// It can no longer do so once the current owner has written another record.
auto claim_shard::may_promise() const -> bool {
    if (phase_ == shard_phase::taking_over) {
        return false;
    }
    if (!pending_takeover_) {
        return true;
    }
    return phase_ != shard_phase::idle &&
           (pending_takeover_->previous_epoch_ != index_.epoch() ||
            pending_takeover_->last_seen_ != index_.last_owner_offset());
}

auto claim_shard::on_epoch_query(const std::string& from,
                                 const epoch_query_message& message,
                                 time_point now) -> void {
    if (!may_promise()) {
        return;
    }
    promised_until_ = now + settings_->lease_;
    send(from, epoch_promise_message{shard_, newest_epoch_, message.round_,
                                     members_digest_});
}

auto claim_shard::on_epoch_promise(const std::string& from,
                                   const epoch_promise_message& message)
    -> void {
    const auto stale = message.round_ != round_ || !owning();
    const auto agrees = message.members_digest_ == members_digest_;
    if (stale || !agrees || message.newest_epoch_ > epoch_) {
        return;
    }
    promising_daemons_.insert(from);
    if (all_promised()) {
        confirmed_until_ =
            std::max(confirmed_until_, round_sent_at_ + settings_->lease_);
    }
}

} // namespace basilstream::coordination::internal
