/// Deterministic replay of one claim stream: the same prefix gives the same
/// index on every daemon.
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

/// What the index holds about a key.
struct claim_entry {
    claim_record claim_;
    bool finished_ = false;
    std::optional<stored_answer> answer_ = {};
    /// Offset of the claim's first record.
    std::uint64_t origin_ = 0;
    /// Offset of the record that keeps the entry in the log.
    std::uint64_t kept_at_ = 0;
    time_point finished_at_{};
};

/// Whether a record took effect.
enum class claim_effect { invalid, none, ownership, claimed, ended };

/// The index of one shard.
class claim_index {
public:
    explicit claim_index(const claim_guards& guards) : guards_{&guards} {}

    /// Applies one record; offsets below `next_offset()` are ignored.
    auto apply(const claim_log_entry& entry, time_point now) -> claim_effect;
    /// Continues at `offset` after a gap in the log. The entries stay; the
    /// ownership must be learned again.
    auto skip_to(std::uint64_t offset) -> void;
    /// Drops stored answers that are older than `window` or, oldest first,
    /// beyond `max_bytes`.
    auto drop_answers(duration window, std::size_t max_bytes, time_point now)
        -> void;
    auto drop_answer(claim_entry& entry) -> void;
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
    /// Offset below which every record was written before `unix_time`, as far
    /// as renewals tell.
    [[nodiscard]] auto offset_before(duration unix_time) const -> std::uint64_t;
    /// Keys by the offset that keeps them in the log, oldest first.
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
    auto adopt(const renewal_record& record) -> void;
    auto sample(std::uint64_t offset, duration written_at) -> void;
    auto insert(claim_entry entry) -> void;
    auto move_to(claim_entry& entry, std::uint64_t offset) -> void;
    auto erase(const claim_key& key) -> void;
    auto unlink(const claim_entry& entry) -> void;

    const claim_guards* guards_;
    std::unordered_map<claim_key, claim_entry, claim_key_hash> entries_;
    std::multimap<std::uint64_t, const claim_key*> by_offset_;
    std::multimap<time_point, claim_key> answers_;
    struct dated_offset {
        std::uint64_t offset_ = 0;
        duration written_at_{};
    };
    std::deque<dated_offset> dates_;
    std::size_t stored_bytes_ = 0;
    std::uint64_t next_offset_ = 0;
    /// The stream's beginning was not read: epochs are learned from renewals.
    bool partial_ = false;
    std::optional<std::uint64_t> epoch_;
    std::string owner_;
    bool released_ = false;
    std::uint64_t last_owner_offset_ = 0;
};

} // namespace basilstream::coordination::internal
