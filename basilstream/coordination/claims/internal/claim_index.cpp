#include "basilstream/coordination/claims/internal/claim_index.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace basilstream::coordination::internal {
namespace {

// Timestamps of records are kept at this resolution, for up to two days.
constexpr auto timestamp_resolution = seconds{10};
constexpr auto max_timestamps = std::size_t{17280};

} // namespace

auto claim_key_hash::operator()(const claim_key& key) const -> std::size_t {
    const auto hash = std::hash<std::string>{};
    constexpr auto multiplier = std::size_t{0x9e3779b97f4a7c15ULL};
    auto mixed = hash(key.organisation_);
    mixed = mixed * multiplier + hash(key.service_);
    return mixed * multiplier + hash(key.key_);
}

auto claim_index::apply(const claim_log_entry& entry, time_point now)
    -> claim_effect {
    if (entry.offset_ < next_offset_) {
        return claim_effect::none;
    }
    if (entry.offset_ > next_offset_) {
        skip_to(entry.offset_);
    }
    next_offset_ = entry.offset_ + 1;
    return std::visit(
        [&](const auto& record) {
            return apply_record(entry.offset_, record, now);
        },
        entry.record_);
}

auto claim_index::skip_to(std::uint64_t offset) -> void {
    if (offset <= next_offset_) {
        return;
    }
    next_offset_ = offset;
    truncated_ = true;
    epoch_.reset();
    owner_.clear();
    released_ = false;
    last_owner_offset_ = 0;
}

auto claim_index::find(const claim_key& key) -> claim_entry* {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

auto claim_index::is_current(std::uint64_t epoch) const -> bool {
    return epoch_ == epoch && !released_;
}

auto claim_index::apply_record(std::uint64_t /*offset*/,
                               const unknown_claim_record& /*record*/,
                               time_point /*now*/) -> claim_effect {
    return claim_effect::invalid;
}

auto claim_index::apply_record(std::uint64_t offset,
                               const ownership_record& record,
                               time_point /*now*/) -> claim_effect {
    const auto saw_last_record = !epoch_ || !guards_->compare_last_seen() ||
                                 record.last_seen_ == last_owner_offset_;
    if (record.previous_epoch_ != epoch_ || !saw_last_record) {
        return claim_effect::invalid;
    }
    epoch_ = offset;
    owner_ = record.owner_;
    released_ = false;
    last_owner_offset_ = offset;
    return claim_effect::ownership;
}

auto claim_index::apply_record(std::uint64_t offset,
                               const renewal_record& record, time_point /*now*/)
    -> claim_effect {
    const auto unknown_epoch = !epoch_ || *epoch_ < record.epoch_;
    if (truncated_ && unknown_epoch && record.epoch_ < offset) {
        adopt_epoch(record);
    }
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    last_owner_offset_ = offset;
    record_timestamp(offset, record.written_at_);
    return claim_effect::ownership;
}

auto claim_index::record_timestamp(std::uint64_t offset, duration written_at)
    -> void {
    if (!timestamps_.empty() &&
        written_at - timestamps_.back().written_at_ < timestamp_resolution) {
        return;
    }
    timestamps_.push_back({offset, written_at});
    if (timestamps_.size() > max_timestamps) {
        timestamps_.pop_front();
    }
}

auto claim_index::offset_before(duration unix_time) const -> std::uint64_t {
    auto below = std::uint64_t{0};
    for (const auto& timestamp : timestamps_) {
        if (timestamp.written_at_ > unix_time) {
            break;
        }
        below = timestamp.offset_;
    }
    // Records below the first timestamp are older than it.
    return below == 0 && !timestamps_.empty() && truncated_
               ? timestamps_.front().offset_
               : below;
}

// Records of older epochs at offsets above the adopted epoch were invalid. This
// reader did not know the epoch when it applied them, so it removes the entries
// that they created.
auto claim_index::adopt_epoch(const renewal_record& record) -> void {
    auto invalid = std::vector<claim_key>{};
    for (auto row = by_offset_.upper_bound(record.epoch_);
         row != by_offset_.end(); ++row) {
        const auto& entry = entries_.at(*row->second);
        if (entry.claim_.epoch_ < record.epoch_ &&
            entry.origin_ > record.epoch_) {
            invalid.push_back(entry.claim_.key_);
        }
    }
    for (const auto& key : invalid) {
        erase(key);
    }
    epoch_ = record.epoch_;
    owner_ = record.owner_;
    released_ = false;
}

auto claim_index::apply_record(std::uint64_t offset,
                               const release_record& record, time_point /*now*/)
    -> claim_effect {
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    released_ = true;
    last_owner_offset_ = offset;
    return claim_effect::ownership;
}

auto claim_index::apply_record(std::uint64_t offset, const claim_record& record,
                               time_point /*now*/) -> claim_effect {
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    last_owner_offset_ = offset;
    if (find(record.key_) != nullptr) {
        return claim_effect::invalid;
    }
    insert({record, false, {}, offset, offset, {}});
    return claim_effect::claimed;
}

auto claim_index::apply_record(std::uint64_t offset,
                               const finish_record& record, time_point now)
    -> claim_effect {
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    last_owner_offset_ = offset;
    auto* entry = find(record.key_);
    if (entry == nullptr || entry->claim_.request_id_ != record.request_id_ ||
        entry->finished_) {
        return claim_effect::invalid;
    }
    entry->finished_ = true;
    entry->finished_at_ = now;
    set_retained_at(*entry, offset);
    if (record.answer_) {
        entry->answer_ = record.answer_;
        stored_bytes_ += record.answer_->body_.size();
        answer_times_.emplace(now, record.key_);
    }
    return claim_effect::ended;
}

auto claim_index::apply_record(std::uint64_t offset,
                               const abandon_record& record, time_point /*now*/)
    -> claim_effect {
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    last_owner_offset_ = offset;
    const auto* entry = find(record.key_);
    if (entry == nullptr || entry->claim_.request_id_ != record.request_id_ ||
        entry->finished_) {
        return claim_effect::invalid;
    }
    erase(record.key_);
    return claim_effect::ended;
}

auto claim_index::apply_record(std::uint64_t offset, const carry_record& record,
                               time_point now) -> claim_effect {
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    last_owner_offset_ = offset;
    for (const auto& carried : record.claims_) {
        auto* entry = find(carried.claim_.key_);
        if (entry != nullptr && entry->origin_ < record.built_at_ &&
            entry->claim_.request_id_ != carried.claim_.request_id_) {
            erase(carried.claim_.key_);
            entry = nullptr;
        }
        if (entry == nullptr) {
            insert({carried.claim_,
                    carried.finished_,
                    {},
                    carried.origin_,
                    offset,
                    now});
        } else if (entry->claim_.request_id_ == carried.claim_.request_id_) {
            entry->finished_ = entry->finished_ || carried.finished_;
            set_retained_at(*entry, offset);
        }
    }
    return claim_effect::none;
}

auto claim_index::apply_record(std::uint64_t offset,
                               const forget_record& record, time_point /*now*/)
    -> claim_effect {
    if (!is_current(record.epoch_)) {
        return claim_effect::invalid;
    }
    last_owner_offset_ = offset;
    auto forgotten = std::vector<claim_key>{};
    for (const auto& [retained_at, key] : by_offset_) {
        if (entries_.at(*key).origin_ < record.below_offset_) {
            forgotten.push_back(*key);
        }
    }
    for (const auto& key : forgotten) {
        erase(key);
    }
    return claim_effect::none;
}

auto claim_index::insert(claim_entry entry) -> void {
    const auto offset = entry.retained_at_;
    auto key = entry.claim_.key_;
    const auto [row, added] =
        entries_.emplace(std::move(key), std::move(entry));
    if (added) {
        by_offset_.emplace(offset, &row->first);
    }
}

auto claim_index::unlink(const claim_entry& entry) -> void {
    auto [row, last] = by_offset_.equal_range(entry.retained_at_);
    for (; row != last; ++row) {
        if (*row->second == entry.claim_.key_) {
            by_offset_.erase(row);
            return;
        }
    }
}

auto claim_index::set_retained_at(claim_entry& entry, std::uint64_t offset)
    -> void {
    unlink(entry);
    entry.retained_at_ = offset;
    by_offset_.emplace(offset, &entries_.find(entry.claim_.key_)->first);
}

auto claim_index::erase(const claim_key& key) -> void {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    evict_answer(found->second);
    unlink(found->second);
    entries_.erase(found);
}

auto claim_index::evict_answer(claim_entry& entry) -> void {
    if (!entry.answer_) {
        return;
    }
    stored_bytes_ -= entry.answer_->body_.size();
    entry.answer_.reset();
}

auto claim_index::evict_answers(duration window, std::size_t max_bytes,
                                time_point now) -> void {
    while (!answer_times_.empty()) {
        const auto oldest = answer_times_.begin();
        if (now - oldest->first < window && stored_bytes_ <= max_bytes) {
            return;
        }
        if (auto* entry = find(oldest->second); entry != nullptr) {
            evict_answer(*entry);
        }
        answer_times_.erase(oldest);
    }
}

} // namespace basilstream::coordination::internal
