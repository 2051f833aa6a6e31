/// Builds the index of a shard by deterministic replay of its claim stream: the
/// same prefix of records gives the same index on every daemon.
///
///     auto index = claim_index{guards};
///     index.apply(entry, now);
///     index.find(key);
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "basilstream/coordination/claims/claims.hpp"

namespace basilstream::coordination::internal {

/// Hashes claim keys for unordered containers.
struct claim_key_hash {
    [[nodiscard]] auto operator()(const claim_key& key) const -> std::size_t;
};

/// State of one claimed key.
struct claim_entry {
    claim_record claim_;
    bool finished_ = false;
    std::optional<stored_answer> answer_ = {};
    /// Offset of the claim's first record.
    std::uint64_t origin_ = 0;
    /// Offset of the newest record from which the entry can be rebuilt.
    std::uint64_t retained_at_ = 0;
    /// When this daemon read the finish record; valid if `finished_`.
    time_point finished_at_{};
};

/// Effect of a record on the index. `none`: the record was applied before, or
/// is valid but has none of the other effects.
enum class claim_effect { invalid, none, ownership, claimed, ended };

/// Holds the keys, stored answers and current ownership of one shard.
class claim_index {
public:
    explicit claim_index(const claim_guards& guards) : guards_{&guards} {}

    /// Applies one record; offsets below `next_offset()` are ignored.
    auto apply(const claim_log_entry& entry, time_point now) -> claim_effect;
    /// Continues at `offset` after a gap in the log. Keeps the entries, but
    /// resets the ownership until a renewal tells the epoch.
    auto skip_to(std::uint64_t offset) -> void;
    /// Evicts stored answers older than `window`, then the oldest ones until at
    /// most `max_bytes` are stored.
    auto evict_answers(duration window, std::size_t max_bytes, time_point now)
        -> void;
    auto evict_answer(claim_entry& entry) -> void;
    [[nodiscard]] auto find(const claim_key& key) -> claim_entry*;
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    [[nodiscard]] auto stored_bytes() const -> std::size_t {
        return stored_bytes_;
    }
    [[nodiscard]] auto next_offset() const -> std::uint64_t {
        return next_offset_;
    }
    [[nodiscard]] auto epoch() const -> std::optional<std::uint64_t> {
        return epoch_;
    }
    [[nodiscard]] auto owner() const -> const std::string& { return owner_; }
    [[nodiscard]] auto released() const -> bool { return released_; }
    /// Offset of the last valid record of the current epoch.
    [[nodiscard]] auto last_owner_offset() const -> std::uint64_t {
        return last_owner_offset_;
    }
    /// Returns an offset below which all records were written before
    /// `unix_time`, judged by the timestamps of renewals; 0 if there is none.
    [[nodiscard]] auto offset_before(duration unix_time) const -> std::uint64_t;
    /// Returns the keys ordered by `claim_entry::retained_at_`, oldest first.
    [[nodiscard]] auto by_offset() const
        -> const std::multimap<std::uint64_t, const claim_key*>& {
        return by_offset_;
    }

private:
    auto apply_record(std::uint64_t offset, const unknown_claim_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const ownership_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const renewal_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const release_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const claim_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const finish_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const abandon_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const carry_record& record,
                      time_point now) -> claim_effect;
    auto apply_record(std::uint64_t offset, const forget_record& record,
                      time_point now) -> claim_effect;
    [[nodiscard]] auto is_current(std::uint64_t epoch) const -> bool;
    /// Sets the epoch learned from a renewal.
    auto adopt_epoch(const renewal_record& record) -> void;
    auto record_timestamp(std::uint64_t offset, duration written_at) -> void;
    auto insert(claim_entry entry) -> void;
    /// Sets `retained_at_` of the entry and updates `by_offset_`.
    auto set_retained_at(claim_entry& entry, std::uint64_t offset) -> void;
    auto erase(const claim_key& key) -> void;
    /// Removes the entry from `by_offset_`.
    auto unlink(const claim_entry& entry) -> void;

    const claim_guards* guards_;
    std::unordered_map<claim_key, claim_entry, claim_key_hash> entries_;
    std::multimap<std::uint64_t, const claim_key*> by_offset_;
    /// Keys of stored answers, ordered by when the answer was read.
    std::multimap<time_point, claim_key> answer_times_;
    struct timestamped_offset {
        std::uint64_t offset_ = 0;
        duration written_at_{};
    };
    std::deque<timestamped_offset> timestamps_;
    std::size_t stored_bytes_ = 0;
    std::uint64_t next_offset_ = 0;
    /// Records were skipped or truncated, so epochs are learned from renewals.
    bool truncated_ = false;
    std::optional<std::uint64_t> epoch_;
    std::string owner_;
    bool released_ = false;
    std::uint64_t last_owner_offset_ = 0;
};

} // namespace basilstream::coordination::internal
