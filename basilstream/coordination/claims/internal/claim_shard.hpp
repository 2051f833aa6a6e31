/// Owner role of the claim protocol for one shard: takeover, lease, batched
/// appends and answers to dispatchers. Idle unless this daemon is the shard's
/// preferred owner or standby, or is still releasing the shard.
///
///     auto shard = claim_shard{0, settings, self, guards, outputs, stats};
///     shard.set_role(true, false, now);
///     shard.on_request("daemon-2", message, now);
///     shard.tick(now);
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "basilstream/coordination/claims/claims.hpp"
#include "basilstream/coordination/claims/internal/claim_index.hpp"

namespace basilstream::coordination::internal {

/// Phase of this daemon with respect to a shard. `following`: reads the stream;
/// `taking_over`: an ownership record was sent and not yet read back.
enum class shard_phase { idle, following, taking_over, owning, releasing };

/// Follows, takes over, owns and releases one shard.
class claim_shard {
public:
    /// `settings`, `guards`, `outputs` and `statistics` must outlive the shard.
    claim_shard(std::uint32_t shard, const claim_settings& settings,
                daemon_identity self, const claim_guards& guards,
                std::vector<claim_output>& outputs,
                claim_statistics& statistics);

    /// A preferred daemon takes over the shard; a standby only follows it.
    auto set_role(bool preferred, bool standby, time_point now) -> void;
    /// Sets the members whose promises confirm the ownership while the log is
    /// unreachable. `digest` is a hash of the sorted `members`, compared to
    /// detect daemons with another list.
    auto set_witnesses(const std::vector<std::string>& members,
                       std::uint64_t digest, time_point now) -> void;
    auto on_request(const std::string& from, claim_request_message message,
                    time_point now) -> void;
    auto on_result(const std::string& from, const claim_result_message& message,
                   time_point now) -> void;
    auto on_state(const claim_state_message& message, time_point now) -> void;
    auto on_epoch_query(const std::string& from,
                        const epoch_query_message& message, time_point now)
        -> void;
    auto on_epoch_promise(const std::string& from,
                          const epoch_promise_message& message) -> void;
    auto on_read(const claim_read& read, time_point now) -> void;
    auto on_read_failed() -> void { log_unreachable_ = true; }
    auto on_append_result(std::uint64_t ticket, append_status status,
                          time_point now) -> void;
    auto tick(time_point now) -> void;
    [[nodiscard]] auto phase() const -> shard_phase { return phase_; }
    [[nodiscard]] auto owning() const -> bool {
        return phase_ == shard_phase::owning;
    }
    [[nodiscard]] auto index() const -> const claim_index& { return index_; }

private:
    /// A claim request that is not answered yet.
    struct waiter {
        std::string from_;
        claim_request_message message_;
        time_point received_at_;
    };
    /// Pending work of one key.
    struct key_state {
        std::deque<waiter> waiters_;
        /// Id of the request whose claim is queued or in flight; empty if none.
        std::string pending_request_id_;
        time_point pending_since_;
        /// When the dispatcher of the claim was queried; absent if no query is
        /// pending.
        std::optional<time_point> queried_at_;
        /// A finish or abandon record is queued or in flight.
        bool end_queued_ = false;
    };
    struct append_in_flight {
        std::uint64_t ticket_ = 0;
        time_point sent_at_;
        std::vector<claim_log_record> records_;
    };
    /// A renewal that was sent and not yet read back.
    struct pending_renewal {
        std::uint64_t sequence_ = 0;
        time_point sent_at_;
    };

    // Ownership.
    auto follow(std::uint64_t from) -> void;
    auto stop_following() -> void;
    auto try_take_over(time_point now) -> void;
    auto update_ownership(time_point now) -> void;
    auto become_owner(time_point now) -> void;
    auto lose_ownership() -> void;
    auto try_release(time_point now) -> void;
    auto renew(time_point now) -> void;
    auto confirm_renewal(std::uint64_t sequence) -> void;
    /// Returns true if every witness has promised in the current round.
    [[nodiscard]] auto all_promised() const -> bool;
    /// Returns true if no other daemon can have taken over the shard by `now`.
    [[nodiscard]] auto ownership_confirmed(time_point now) const -> bool;
    /// Returns true if this daemon can promise not to take over the shard.
    [[nodiscard]] auto may_promise() const -> bool;
    auto query_witnesses(time_point now) -> void;
    auto remove_departed_witnesses(time_point now) -> void;
    // Log.
    auto enqueue(claim_log_record record, bool urgent, time_point now) -> void;
    [[nodiscard]] auto min_append_interval() const -> duration;
    auto flush(time_point now) -> void;
    auto append(std::vector<claim_log_record> records, time_point now) -> void;
    auto expire_append(time_point now) -> void;
    /// After a failed append: refuses its claims and queues its finish and
    /// abandon records again.
    auto requeue(std::vector<claim_log_record> records, append_status status,
                 time_point now) -> void;
    auto on_record_applied(const claim_log_entry& entry, claim_effect effect,
                           time_point now) -> void;
    /// Queues a carry record for entries that the log's retention would drop.
    auto carry_old_entries(time_point now) -> void;
    /// Returns the offset that this owner had read up to at `time`.
    [[nodiscard]] auto offset_read_by(time_point time) const -> std::uint64_t;
    auto carry_below(std::uint64_t below, time_point now) -> void;
    auto forget_expired_keys(time_point now) -> void;
    // Requests.
    /// Answers the waiters of a key as far as its state allows, or starts a
    /// claim for the first of them.
    auto evaluate(const claim_key& key, time_point now) -> void;
    auto evaluate_entry(const claim_entry& entry, key_state& state,
                        time_point now) -> void;
    auto answer_finished(const waiter& waiting, const claim_entry& entry)
        -> void;
    auto query_dispatcher(const claim_entry& entry, key_state& state,
                          time_point now) -> void;
    auto start_claim(const claim_key& key, key_state& state, time_point now)
        -> void;
    /// Refuses all waiters of a key with `failure`.
    auto refuse_all(const claim_key& key, const error& failure) -> void;
    auto refuse_claims(const std::vector<claim_log_record>& records,
                       append_status status, time_point now) -> void;
    /// Refuses all waiters; `request_id` is the request whose claim failed.
    auto refuse_waiters(key_state& state, const std::string& request_id,
                        append_status status, time_point now) -> void;
    [[nodiscard]] auto log_failure(append_status status, time_point now) const
        -> error;
    auto expire_waiters(time_point now) -> void;
    auto expire_key(const claim_key& key, key_state& state, time_point now)
        -> void;
    auto redirect(const std::string& to, const std::string& request_id) -> void;
    auto refuse(const waiter& waiting, error failure) -> void;
    auto send(const std::string& to, claim_message message) -> void;
    /// Erases the state of a key without waiters or queued records.
    auto erase_if_idle(const claim_key& key) -> void;

    std::uint32_t shard_;
    const claim_settings* settings_;
    daemon_identity self_;
    /// Name and boot id, because a restarted daemon is a different owner.
    std::string owner_id_;
    const claim_guards* guards_;
    std::vector<claim_output>* outputs_;
    claim_statistics* statistics_;

    claim_index index_;
    shard_phase phase_ = shard_phase::idle;
    bool preferred_ = false;
    bool standby_ = false;
    /// The last read reached the end of the stream.
    bool at_head_ = false;
    bool log_unreachable_ = false;
    time_point last_read_at_{};
    /// When this daemon read the last valid record of the current owner.
    time_point owner_seen_at_{};
    /// This daemon promised not to take over the shard before this time.
    time_point promised_until_{};
    /// Newest epoch that was read from the stream.
    std::uint64_t newest_epoch_ = 0;
    /// Epoch of this daemon's ownership; valid while it owns or releases.
    std::uint64_t epoch_ = 0;
    /// Ownership record that was sent and may still take effect; absent if
    /// none.
    std::optional<ownership_record> pending_takeover_;

    std::uint64_t next_ticket_ = 1;
    std::deque<claim_log_record> queue_;
    /// When the queue is due to be appended; absent if nothing is due.
    std::optional<time_point> flush_at_;
    std::optional<append_in_flight> in_flight_;
    time_point last_append_at_{};
    bool release_queued_ = false;

    std::uint64_t next_sequence_ = 1;
    time_point last_renewal_at_{};
    std::deque<pending_renewal> pending_renewals_;
    /// No other daemon can take over the shard before this time.
    time_point confirmed_until_{};
    /// Daemons whose promise is required, with the time when they left the list
    /// of members; absent for current members.
    std::map<std::string, std::optional<time_point>> witnesses_;
    /// Daemons that promised in the current round.
    std::set<std::string> promising_daemons_;
    std::uint64_t members_digest_ = 0;
    /// Number of the current round of epoch queries.
    std::uint64_t round_ = 0;
    time_point round_sent_at_{};

    std::unordered_map<claim_key, key_state, claim_key_hash> key_states_;
    /// Lowest offset that the log retained at the last read.
    std::uint64_t first_offset_ = 0;
    /// The records below `offset_` had been read at `read_at_`.
    struct offset_sample {
        std::uint64_t offset_ = 0;
        time_point read_at_;
    };
    std::deque<offset_sample> offset_samples_;
};

} // namespace basilstream::coordination::internal
