#include "basilstream/coordination/claims/internal/claim_shard.hpp"

#include <algorithm>
#include <utility>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination::internal {
namespace {

constexpr auto max_carried_per_record = std::size_t{256};
// Number of offset samples per key window. Expired keys are removed whenever a
// sample is taken.
constexpr auto samples_per_key_window = 48;
// Estimated size in bytes of a record's fixed fields.
constexpr auto record_overhead = std::size_t{256};

// Returns the estimated size in bytes of a record in the log.
auto estimated_size(const claim_log_record& record) -> std::size_t {
    if (const auto* finish = std::get_if<finish_record>(&record)) {
        return record_overhead +
               (finish->answer_ ? finish->answer_->body_.size() : 0);
    }
    if (const auto* carry = std::get_if<carry_record>(&record)) {
        return record_overhead * (carry->claims_.size() + 1);
    }
    return record_overhead;
}

} // namespace

claim_shard::claim_shard(std::uint32_t shard, const claim_settings& settings,
                         daemon_identity self, const claim_guards& guards,
                         std::vector<claim_output>& outputs,
                         claim_statistics& statistics)
    : shard_{shard}, settings_{&settings}, self_{std::move(self)},
      owner_id_{self_.name_ + "/" + self_.boot_id_}, guards_{&guards},
      outputs_{&outputs}, statistics_{&statistics}, index_{guards} {}

// ---- reading ----------------------------------------------------------------

auto claim_shard::on_read(const claim_read& read, time_point now) -> void {
    if (phase_ == shard_phase::idle) {
        return;
    }
    log_unreachable_ = false;
    last_read_at_ = now;
    first_offset_ = read.first_offset_;
    if (read.first_offset_ > index_.next_offset()) {
        index_.skip_to(read.first_offset_);
        outputs_->push_back(follow_output{shard_, read.first_offset_});
    }
    for (const auto& entry : read.entries_) {
        if (entry.offset_ < index_.next_offset()) {
            continue;
        }
        const auto effect = index_.apply(entry, now);
        statistics_->invalid_records_ += effect == claim_effect::invalid;
        on_record_applied(entry, effect, now);
    }
    at_head_ = index_.next_offset() >= read.next_offset_;
    update_ownership(now);
    flush(now);
}

auto claim_shard::on_record_applied(const claim_log_entry& entry,
                                    claim_effect effect, time_point now)
    -> void {
    if (effect != claim_effect::invalid &&
        index_.last_owner_offset() == entry.offset_) {
        owner_seen_at_ = now;
        newest_epoch_ = std::max(newest_epoch_, index_.epoch().value_or(0));
    }
    if (const auto* renewal = std::get_if<renewal_record>(&entry.record_);
        renewal != nullptr && effect != claim_effect::invalid) {
        if (renewal->owner_ == owner_id_) {
            confirm_renewal(renewal->sequence_);
        }
    }
    const auto* ownership = std::get_if<ownership_record>(&entry.record_);
    if (ownership != nullptr && ownership->owner_ == owner_id_ &&
        effect == claim_effect::invalid && phase_ == shard_phase::taking_over) {
        phase_ = shard_phase::following;
        pending_takeover_.reset();
    }
    const auto* claim = std::get_if<claim_record>(&entry.record_);
    if (claim != nullptr) {
        auto found = key_states_.find(claim->key_);
        if (found != key_states_.end() &&
            found->second.pending_request_id_ == claim->request_id_) {
            found->second.pending_request_id_.clear();
        }
        evaluate(claim->key_, now);
    }
    const auto ended = [&](const claim_key& key) {
        if (auto found = key_states_.find(key); found != key_states_.end()) {
            found->second.end_queued_ = false;
        }
        evaluate(key, now);
    };
    if (const auto* finish = std::get_if<finish_record>(&entry.record_)) {
        ended(finish->key_);
    }
    if (const auto* abandon = std::get_if<abandon_record>(&entry.record_)) {
        ended(abandon->key_);
    }
}

// ---- appending --------------------------------------------------------------

auto claim_shard::enqueue(claim_log_record record, bool urgent, time_point now)
    -> void {
    queue_.push_back(std::move(record));
    const auto due = urgent ? now : now + settings_->max_result_delay_;
    flush_at_ = flush_at_ ? std::min(*flush_at_, due) : due;
}

auto claim_shard::min_append_interval() const -> duration {
    return log_unreachable_ ? settings_->renew_interval_ / 4
                            : settings_->append_interval_;
}

auto claim_shard::flush(time_point now) -> void {
    const auto is_owner =
        phase_ == shard_phase::owning || phase_ == shard_phase::releasing;
    if (!is_owner || queue_.empty() || in_flight_ || now < *flush_at_ ||
        now - last_append_at_ < min_append_interval()) {
        return;
    }
    auto records = std::vector<claim_log_record>{};
    auto bytes = std::size_t{0};
    while (!queue_.empty() && records.size() < settings_->max_batch_records_ &&
           bytes < settings_->max_batch_bytes_) {
        bytes += estimated_size(queue_.front());
        records.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    if (queue_.empty()) {
        flush_at_.reset();
    }
    append(std::move(records), now);
}

auto claim_shard::append(std::vector<claim_log_record> records, time_point now)
    -> void {
    const auto ticket = next_ticket_++;
    for (const auto& record : records) {
        if (const auto* renewal = std::get_if<renewal_record>(&record)) {
            pending_renewals_.push_back({renewal->sequence_, now});
        }
        const auto* claim = std::get_if<claim_record>(&record);
        if (claim != nullptr && !guards_->read_back()) {
            send(claim->dispatcher_.name_,
                 claim_grant_message{claim->request_id_});
        }
    }
    ++statistics_->appends_;
    statistics_->records_ += records.size();
    last_append_at_ = now;
    in_flight_ = append_in_flight{ticket, now, records};
    outputs_->push_back(append_output{shard_, ticket, std::move(records)});
}

auto claim_shard::on_append_result(std::uint64_t ticket, append_status status,
                                   time_point now) -> void {
    if (!in_flight_ || in_flight_->ticket_ != ticket) {
        return;
    }
    auto records = std::move(in_flight_->records_);
    in_flight_.reset();
    if (status != append_status::ok) {
        log_unreachable_ = log_unreachable_ || status == append_status::unknown;
        requeue(std::move(records), status, now);
    } else {
        log_unreachable_ = false;
    }
    if (phase_ == shard_phase::taking_over && status != append_status::ok) {
        // The record may still take effect; waits one lease before the next
        // attempt.
        owner_seen_at_ = now;
        phase_ = shard_phase::following;
    }
    flush(now);
}

auto claim_shard::requeue(std::vector<claim_log_record> records,
                          append_status status, time_point now) -> void {
    if (phase_ != shard_phase::owning && phase_ != shard_phase::releasing) {
        return;
    }
    refuse_claims(records, status, now);
    auto to_retry = std::vector<claim_log_record>{};
    for (auto& record : records) {
        if (std::holds_alternative<release_record>(record)) {
            release_queued_ = false;
        }
        if (std::holds_alternative<finish_record>(record) ||
            std::holds_alternative<abandon_record>(record)) {
            to_retry.push_back(std::move(record));
        }
    }
    queue_.insert(queue_.begin(), std::make_move_iterator(to_retry.begin()),
                  std::make_move_iterator(to_retry.end()));
    if (!queue_.empty()) {
        flush_at_ = now + settings_->renew_interval_ / 4;
    }
}

auto claim_shard::expire_append(time_point now) -> void {
    if (in_flight_ &&
        now - in_flight_->sent_at_ >= settings_->append_timeout_) {
        on_append_result(in_flight_->ticket_, append_status::unknown, now);
    }
}

// ---- retention --------------------------------------------------------------

auto claim_shard::carry_old_entries(time_point now) -> void {
    if (!guards_->carry_entries() || log_unreachable_ || in_flight_ ||
        !queue_.empty()) {
        return;
    }
    const auto unix_time = now.time_since_epoch() + settings_->unix_offset_;
    const auto by_timestamp =
        index_.offset_before(unix_time - settings_->carry_age_);
    carry_below(
        std::max({by_timestamp, offset_read_by(now - settings_->carry_age_),
                  first_offset_}),
        now);
}

auto claim_shard::offset_read_by(time_point time) const -> std::uint64_t {
    auto below = std::uint64_t{0};
    for (const auto& sample : offset_samples_) {
        if (sample.read_at_ > time) {
            break;
        }
        below = sample.offset_;
    }
    return below;
}

auto claim_shard::carry_below(std::uint64_t below, time_point now) -> void {
    auto record = carry_record{{}, index_.next_offset(), epoch_};
    for (const auto& [offset, key] : index_.by_offset()) {
        if (offset >= below ||
            record.claims_.size() == max_carried_per_record) {
            break;
        }
        const auto found = key_states_.find(*key);
        if (found != key_states_.end() && found->second.end_queued_) {
            continue;
        }
        const auto& entry = *index_.find(*key);
        record.claims_.push_back(
            {entry.claim_, entry.origin_, entry.finished_});
    }
    if (!record.claims_.empty()) {
        enqueue(std::move(record), false, now);
    }
}

// The age of a key is derived from its offset and the time when this owner read
// that offset. A new owner that has just read the stream therefore remembers
// keys for longer than the key window, never for less.
auto claim_shard::forget_expired_keys(time_point now) -> void {
    if (!guards_->keep_finished_keys()) {
        for (const auto& [offset, key] : index_.by_offset()) {
            const auto& entry = *index_.find(*key);
            if (entry.finished_ && !entry.answer_) {
                enqueue(forget_record{entry.origin_ + 1, epoch_}, false, now);
                return;
            }
        }
    }
    const auto step = settings_->key_window_ / samples_per_key_window;
    if (!offset_samples_.empty() &&
        now - offset_samples_.back().read_at_ < step) {
        return;
    }
    offset_samples_.push_back({index_.next_offset(), now});
    auto below = std::uint64_t{0};
    while (now - offset_samples_.front().read_at_ >= settings_->key_window_) {
        below = offset_samples_.front().offset_;
        offset_samples_.pop_front();
    }
    if (below > 0) {
        enqueue(forget_record{below, epoch_}, false, now);
    }
}

// ---- timers -----------------------------------------------------------------

auto claim_shard::tick(time_point now) -> void {
    if (phase_ == shard_phase::idle) {
        return;
    }
    expire_append(now);
    if (phase_ == shard_phase::following) {
        if (!preferred_ && !standby_) {
            stop_following();
            return;
        }
        try_take_over(now);
        return;
    }
    if (phase_ == shard_phase::taking_over) {
        return;
    }
    if (now - last_renewal_at_ >= settings_->renew_interval_) {
        renew(now);
    }
    if (phase_ == shard_phase::releasing) {
        try_release(now);
    }
    remove_departed_witnesses(now);
    query_witnesses(now);
    index_.evict_answers(settings_->answer_window_,
                         settings_->max_stored_bytes_, now);
    carry_old_entries(now);
    forget_expired_keys(now);
    expire_waiters(now);
    flush(now);
}

} // namespace basilstream::coordination::internal
