/// Ownership of one claim shard: takeover, batched appends, answers to
/// dispatchers. Idle unless this daemon is the shard's preferred owner.
///
///     auto shard = claim_shard{0, settings, "d1/boot", guards, outputs,
///     stats}; shard.set_role(true, false, now); shard.on_request("d2",
///     message, now); shard.tick(now);
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

/// Phase of a daemon's relation to a shard.
enum class shard_phase { idle, following, taking, owning, releasing };

/// The owner's side of one shard.
class claim_shard {
public:
    /// `settings`, `guards`, `outputs` and `statistics` must outlive the shard.
    claim_shard(std::uint32_t shard, const claim_settings& settings,
                daemon_identity self, const claim_guards& guards,
                std::vector<claim_output>& outputs,
                claim_statistics& statistics);

    /// The preferred daemon takes the shard over; the standby only follows.
    auto set_role(bool preferred, bool standby, time_point now) -> void;
    /// `digest` is the hash of `members`, equal on daemons that agree.
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
    auto on_read_failed() -> void { log_down_ = true; }
    auto on_append_result(std::uint64_t ticket, append_status status,
                          time_point now) -> void;
    auto tick(time_point now) -> void;
    [[nodiscard]] auto phase() const -> shard_phase { return phase_; }
    [[nodiscard]] auto owning() const -> bool {
        return phase_ == shard_phase::owning;
    }
    [[nodiscard]] auto index() const -> const claim_index& { return index_; }

private:
    struct waiter {
        std::string from_;
        claim_request_message message_;
        time_point since_;
    };
    struct key_work {
        std::deque<waiter> waiters_;
        /// Request whose claim is queued or in flight; empty for none.
        std::string pending_;
        time_point pending_since_;
        std::optional<time_point> queried_at_;
        /// A finish or abandon record is queued or in flight.
        bool ending_ = false;
    };
    struct append_in_flight {
        std::uint64_t ticket_ = 0;
        time_point sent_;
        std::vector<claim_log_record> records_;
    };
    struct confirmation {
        std::uint64_t sequence_ = 0;
        time_point sent_;
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
    auto confirm(std::uint64_t sequence) -> void;
    /// True when no other daemon can have taken the shard over by `now`.
    [[nodiscard]] auto all_promised() const -> bool;
    [[nodiscard]] auto confirmed(time_point now) const -> bool;
    [[nodiscard]] auto may_promise() const -> bool;
    auto ask_witnesses(time_point now) -> void;
    auto forget_departed(time_point now) -> void;
    // Log.
    auto queue(claim_log_record record, bool urgent, time_point now) -> void;
    [[nodiscard]] auto pause_between_appends() const -> duration;
    auto flush(time_point now) -> void;
    auto append(std::vector<claim_log_record> records, time_point now) -> void;
    auto give_up_append(time_point now) -> void;
    auto requeue(std::vector<claim_log_record> records, append_status status,
                 time_point now) -> void;
    auto applied(const claim_log_entry& entry, claim_effect effect,
                 time_point now) -> void;
    auto carry(time_point now) -> void;
    /// Offset that this owner had reached by `time`.
    [[nodiscard]] auto read_before(time_point time) const -> std::uint64_t;
    auto carry_below(std::uint64_t below, time_point now) -> void;
    auto forget(time_point now) -> void;
    // Requests.
    auto evaluate(const claim_key& key, time_point now) -> void;
    auto evaluate_entry(const claim_entry& entry, key_work& work,
                        time_point now) -> void;
    auto answer_finished(const waiter& waiting, const claim_entry& entry)
        -> void;
    auto ask_dispatcher(const claim_entry& entry, key_work& work,
                        time_point now) -> void;
    auto start_claim(const claim_key& key, key_work& work, time_point now)
        -> void;
    auto refuse_all(const claim_key& key, const error& failure) -> void;
    auto refuse_claims(const std::vector<claim_log_record>& records,
                       append_status status, time_point now) -> void;
    auto refuse_around(key_work& work, const std::string& request_id,
                       append_status status, time_point now) -> void;
    [[nodiscard]] auto log_failure(append_status status, time_point now) const
        -> error;
    auto expire_waiters(time_point now) -> void;
    auto expire_key(const claim_key& key, key_work& work, time_point now)
        -> void;
    auto redirect(const std::string& to, const std::string& request_id) -> void;
    auto refuse(const waiter& waiting, error failure) -> void;
    auto send(const std::string& to, claim_message message) -> void;
    auto tidy(const claim_key& key) -> void;

    std::uint32_t shard_;
    const claim_settings* settings_;
    daemon_identity self_;
    /// Name and boot id: a restarted daemon is another owner.
    std::string owner_id_;
    const claim_guards* guards_;
    std::vector<claim_output>* outputs_;
    claim_statistics* statistics_;

    claim_index index_;
    shard_phase phase_ = shard_phase::idle;
    bool preferred_ = false;
    bool standby_ = false;
    bool at_head_ = false;
    bool log_down_ = false;
    time_point last_read_{};
    /// When the current owner's last record was read.
    time_point owner_seen_{};
    time_point promised_until_{};
    std::uint64_t newest_epoch_ = 0;
    /// Epoch under which this daemon writes; set when it becomes the owner.
    std::uint64_t epoch_ = 0;
    /// An ownership record without an answer, which may yet take effect.
    std::optional<ownership_record> unsettled_;

    std::uint64_t next_ticket_ = 1;
    std::deque<claim_log_record> queue_;
    std::optional<time_point> flush_at_;
    std::optional<append_in_flight> in_flight_;
    time_point last_append_{};
    bool release_queued_ = false;

    std::uint64_t next_sequence_ = 1;
    time_point last_renewal_{};
    std::deque<confirmation> renewals_;
    time_point confirmed_until_{};
    /// Daemons that have to promise; those that left the list, with the time.
    std::map<std::string, std::optional<time_point>> witnesses_;
    std::set<std::string> promised_;
    std::uint64_t members_digest_ = 0;
    std::uint64_t round_ = 0;
    time_point round_sent_{};

    std::unordered_map<claim_key, key_work, claim_key_hash> work_;
    std::uint64_t first_offset_ = 0;
    struct offset_sample {
        std::uint64_t offset_ = 0;
        time_point read_at_;
    };
    std::deque<offset_sample> samples_;
};

} // namespace basilstream::coordination::internal
