#include "basilstream/coordination/claims/internal/claim_shard.hpp"

#include <algorithm>
#include <utility>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination::internal {
namespace {

constexpr auto max_carried_per_record = std::size_t{256};
// Answers older than the window are looked for, and offset samples taken, in
// steps of the key window divided by this.
constexpr auto samples_per_key_window = 48;
// Rough size of a record's fixed fields.
constexpr auto record_overhead = std::size_t{256};

// Returns about how many bytes a record takes in the log.
auto size_bound(const claim_log_record& record) -> std::size_t {
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
    log_down_ = false;
    last_read_ = now;
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
        applied(entry, effect, now);
    }
    at_head_ = index_.next_offset() >= read.next_offset_;
    update_ownership(now);
    flush(now);
}

auto claim_shard::applied(const claim_log_entry& entry, claim_effect effect,
                          time_point now) -> void {
    if (effect != claim_effect::invalid &&
        index_.last_owner_offset() == entry.offset_) {
        owner_seen_ = now;
        newest_epoch_ = std::max(newest_epoch_, index_.epoch().value_or(0));
    }
    if (const auto* renewal = std::get_if<renewal_record>(&entry.record_);
        renewal != nullptr && effect != claim_effect::invalid) {
        if (renewal->owner_ == owner_id_) {
            confirm(renewal->sequence_);
        }
    }
    const auto* ownership = std::get_if<ownership_record>(&entry.record_);
    if (ownership != nullptr && ownership->owner_ == owner_id_ &&
        effect == claim_effect::invalid && phase_ == shard_phase::taking) {
        phase_ = shard_phase::following;
        unsettled_.reset();
    }
    const auto* claim = std::get_if<claim_record>(&entry.record_);
    if (claim != nullptr) {
        auto found = work_.find(claim->key_);
        if (found != work_.end() &&
            found->second.pending_ == claim->request_id_) {
            found->second.pending_.clear();
        }
        evaluate(claim->key_, now);
    }
    const auto ended = [&](const claim_key& key) {
        if (auto found = work_.find(key); found != work_.end()) {
            found->second.ending_ = false;
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

auto claim_shard::queue(claim_log_record record, bool urgent, time_point now)
    -> void {
    queue_.push_back(std::move(record));
    const auto due = urgent ? now : now + settings_->result_linger_;
    flush_at_ = flush_at_ ? std::min(*flush_at_, due) : due;
}

auto claim_shard::pause_between_appends() const -> duration {
    return log_down_ ? settings_->renew_interval_ / 4
                     : settings_->append_interval_;
}

auto claim_shard::flush(time_point now) -> void {
    const auto holds =
        phase_ == shard_phase::owning || phase_ == shard_phase::releasing;
    if (!holds || queue_.empty() || in_flight_ || now < *flush_at_ ||
        now - last_append_ < pause_between_appends()) {
        return;
    }
    auto records = std::vector<claim_log_record>{};
    auto bytes = std::size_t{0};
    while (!queue_.empty() && records.size() < settings_->max_batch_records_ &&
           bytes < settings_->max_batch_bytes_) {
        bytes += size_bound(queue_.front());
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
            renewals_.push_back({renewal->sequence_, now});
        }
        const auto* claim = std::get_if<claim_record>(&record);
        if (claim != nullptr && !guards_->read_back()) {
            send(claim->dispatcher_.name_,
                 claim_grant_message{claim->request_id_});
        }
    }
    ++statistics_->appends_;
    statistics_->records_ += records.size();
    last_append_ = now;
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
        log_down_ = log_down_ || status == append_status::unknown;
        requeue(std::move(records), status, now);
    } else {
        log_down_ = false;
    }
    if (phase_ == shard_phase::taking && status != append_status::ok) {
        // Wait a lease for a late effect before the next try.
        owner_seen_ = now;
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
    auto again = std::vector<claim_log_record>{};
    for (auto& record : records) {
        if (std::holds_alternative<release_record>(record)) {
            release_queued_ = false;
        }
        if (std::holds_alternative<finish_record>(record) ||
            std::holds_alternative<abandon_record>(record)) {
            again.push_back(std::move(record));
        }
    }
    queue_.insert(queue_.begin(), std::make_move_iterator(again.begin()),
                  std::make_move_iterator(again.end()));
    if (!queue_.empty()) {
        flush_at_ = now + settings_->renew_interval_ / 4;
    }
}

auto claim_shard::give_up_append(time_point now) -> void {
    if (in_flight_ && now - in_flight_->sent_ >= settings_->append_timeout_) {
        on_append_result(in_flight_->ticket_, append_status::unknown, now);
    }
}

// ---- retention --------------------------------------------------------------

auto claim_shard::carry(time_point now) -> void {
    if (!guards_->carry_entries() || log_down_ || in_flight_ ||
        !queue_.empty()) {
        return;
    }
    const auto unix_time = now.time_since_epoch() + settings_->unix_offset_;
    const auto old = index_.offset_before(unix_time - settings_->carry_age_);
    carry_below(std::max({old, read_before(now - settings_->carry_age_),
                          first_offset_}),
                now);
}

auto claim_shard::read_before(time_point time) const -> std::uint64_t {
    auto below = std::uint64_t{0};
    for (const auto& sample : samples_) {
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
        const auto found = work_.find(*key);
        if (found != work_.end() && found->second.ending_) {
            continue;
        }
        const auto& entry = *index_.find(*key);
        record.claims_.push_back(
            {entry.claim_, entry.origin_, entry.finished_});
    }
    if (!record.claims_.empty()) {
        queue(std::move(record), false, now);
    }
}

// Ages are known from offsets and the time of reading: a successor that read
// everything just now remembers keys for longer, never for less.
auto claim_shard::forget(time_point now) -> void {
    if (!guards_->keep_finished_keys()) {
        for (const auto& [offset, key] : index_.by_offset()) {
            const auto& entry = *index_.find(*key);
            if (entry.finished_ && !entry.answer_) {
                queue(forget_record{entry.origin_ + 1, epoch_}, false, now);
                return;
            }
        }
    }
    const auto step = settings_->key_window_ / samples_per_key_window;
    if (!samples_.empty() && now - samples_.back().read_at_ < step) {
        return;
    }
    samples_.push_back({index_.next_offset(), now});
    auto below = std::uint64_t{0};
    while (now - samples_.front().read_at_ >= settings_->key_window_) {
        below = samples_.front().offset_;
        samples_.pop_front();
    }
    if (below > 0) {
        queue(forget_record{below, epoch_}, false, now);
    }
}

// ---- timers -----------------------------------------------------------------

auto claim_shard::tick(time_point now) -> void {
    if (phase_ == shard_phase::idle) {
        return;
    }
    give_up_append(now);
    if (phase_ == shard_phase::following) {
        if (!preferred_ && !standby_) {
            stop_following();
            return;
        }
        try_take_over(now);
        return;
    }
    if (phase_ == shard_phase::taking) {
        return;
    }
    if (now - last_renewal_ >= settings_->renew_interval_) {
        renew(now);
    }
    if (phase_ == shard_phase::releasing) {
        try_release(now);
    }
    forget_departed(now);
    ask_witnesses(now);
    index_.drop_answers(settings_->answer_window_, settings_->max_stored_bytes_,
                        now);
    carry(now);
    forget(now);
    expire_waiters(now);
    flush(now);
}

} // namespace basilstream::coordination::internal
