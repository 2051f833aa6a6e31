// Claim requests, repeats and results, as processed by the owner of a shard.
#include <utility>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/claims/internal/claim_shard.hpp"

namespace basilstream::coordination::internal {
namespace {

auto make_error(error_code code, run_status run, std::string peer,
                std::string detail) -> error {
    auto failure = error{};
    failure.code_ = code;
    failure.step_ = step::claim;
    failure.peer_ = std::move(peer);
    failure.detail_ = std::move(detail);
    failure.run_ = run;
    return failure;
}

auto finished_answer(const claim_entry& entry)
    -> std::variant<error, stored_answer> {
    if (entry.answer_) {
        return *entry.answer_;
    }
    return make_error(
        error_code::answer_expired, run_status::ran, "",
        "request was answered, but its answer is no longer stored");
}

} // namespace

auto claim_shard::send(const std::string& to, claim_message message) -> void {
    outputs_->push_back(send_output{to, std::move(message)});
}

auto claim_shard::redirect(const std::string& to, const std::string& request_id)
    -> void {
    send(to, not_owner_message{request_id});
}

auto claim_shard::refuse(const waiter& waiting, error failure) -> void {
    send(waiting.from_, claim_refusal_message{waiting.message_.request_id_,
                                              std::move(failure)});
}

auto claim_shard::refuse_all(const claim_key& key, const error& failure)
    -> void {
    const auto found = key_states_.find(key);
    if (found == key_states_.end()) {
        return;
    }
    for (const auto& waiting : found->second.waiters_) {
        refuse(waiting, failure);
    }
    found->second.waiters_.clear();
    found->second.queried_at_.reset();
}

auto claim_shard::on_request(const std::string& from,
                             claim_request_message message, time_point now)
    -> void {
    if (!owning()) {
        redirect(from, message.request_id_);
        return;
    }
    const auto key = message.key_;
    auto& state = key_states_[key];
    for (const auto& waiting : state.waiters_) {
        if (waiting.message_.request_id_ == message.request_id_) {
            return;
        }
    }
    state.waiters_.push_back({from, std::move(message), now});
    evaluate(key, now);
}

auto claim_shard::evaluate(const claim_key& key, time_point now) -> void {
    const auto found = key_states_.find(key);
    if (found == key_states_.end()) {
        return;
    }
    auto& state = found->second;
    if (auto* entry = index_.find(key); entry != nullptr) {
        evaluate_entry(*entry, state, now);
    } else if (state.pending_request_id_.empty() && !state.waiters_.empty()) {
        start_claim(key, state, now);
    }
    erase_if_idle(key);
}

auto claim_shard::evaluate_entry(const claim_entry& entry, key_state& state,
                                 time_point now) -> void {
    auto still_waiting = std::deque<waiter>{};
    for (auto& waiting : state.waiters_) {
        const auto& message = waiting.message_;
        const auto differs = message.fingerprint_ != entry.claim_.fingerprint_;
        if (differs && guards_->compare_fingerprints()) {
            refuse(waiting,
                   make_error(
                       error_code::idempotency_mismatch, run_status::not_run,
                       "",
                       "idempotency key was used with a different request"));
        } else if (entry.finished_) {
            answer_finished(waiting, entry);
        } else if (message.request_id_ == entry.claim_.request_id_) {
            send(waiting.from_, claim_grant_message{message.request_id_});
        } else {
            still_waiting.push_back(std::move(waiting));
        }
    }
    state.waiters_ = std::move(still_waiting);
    if (!state.waiters_.empty() && !state.end_queued_) {
        query_dispatcher(entry, state, now);
    }
}

auto claim_shard::answer_finished(const waiter& waiting,
                                  const claim_entry& entry) -> void {
    send(waiting.from_, claim_refusal_message{waiting.message_.request_id_,
                                              finished_answer(entry)});
}

auto claim_shard::query_dispatcher(const claim_entry& entry, key_state& state,
                                   time_point now) -> void {
    if (state.queried_at_) {
        return;
    }
    state.queried_at_ = now;
    const auto& claim = entry.claim_;
    send(claim.dispatcher_.name_,
         claim_query_message{claim.key_, claim.request_id_,
                             claim.dispatcher_.boot_id_});
}

auto claim_shard::start_claim(const claim_key& key, key_state& state,
                              time_point now) -> void {
    if (log_unreachable_) {
        refuse_all(key, log_failure(append_status::unknown, now));
        return;
    }
    if (queue_.size() >= settings_->max_pending_per_shard_) {
        refuse_all(key, log_failure(append_status::refused, now));
        return;
    }
    const auto& first = state.waiters_.front();
    const auto& message = first.message_;
    state.pending_request_id_ = message.request_id_;
    state.pending_since_ = now;
    enqueue(claim_record{key, message.fingerprint_, message.request_id_,
                         daemon_identity{first.from_, message.boot_id_},
                         epoch_},
            true, now);
}

auto claim_shard::log_failure(append_status status, time_point now) const
    -> error {
    const auto is_refused = status == append_status::refused;
    auto failure = make_error(
        is_refused ? error_code::overloaded : error_code::unavailable,
        ownership_confirmed(now) ? run_status::not_run : run_status::unknown,
        claim_stream_name(shard_),
        is_refused ? "log refused the claim, or the append queue is full"
                   : "log is unreachable; the claim was not confirmed");
    failure.retry_after_ = settings_->retry_hint_;
    return failure;
}

auto claim_shard::refuse_claims(const std::vector<claim_log_record>& records,
                                append_status status, time_point now) -> void {
    for (const auto& record : records) {
        const auto* claim = std::get_if<claim_record>(&record);
        if (claim == nullptr) {
            continue;
        }
        const auto found = key_states_.find(claim->key_);
        if (found == key_states_.end() ||
            found->second.pending_request_id_ != claim->request_id_) {
            continue;
        }
        found->second.pending_request_id_.clear();
        refuse_waiters(found->second, claim->request_id_, status, now);
        erase_if_idle(claim->key_);
    }
}

// Refuses all waiters. The claim of `request_id` may still become valid, so
// only that request itself, which its dispatcher fences on refusal, may be
// reported as not run.
auto claim_shard::refuse_waiters(key_state& state,
                                 const std::string& request_id,
                                 append_status status, time_point now) -> void {
    for (const auto& waiting : state.waiters_) {
        auto failure = log_failure(status, now);
        if (waiting.message_.request_id_ != request_id) {
            failure.run_ = run_status::unknown;
        }
        refuse(waiting, std::move(failure));
    }
    state.waiters_.clear();
}

auto claim_shard::on_result(const std::string& from,
                            const claim_result_message& message, time_point now)
    -> void {
    if (!owning() || queue_.size() >= settings_->max_pending_per_shard_) {
        return;
    }
    const auto* entry = index_.find(message.key_);
    const auto holds_key =
        entry != nullptr && entry->claim_.request_id_ == message.request_id_;
    if (!holds_key || entry->finished_) {
        const auto found = key_states_.find(message.key_);
        const auto pending =
            found != key_states_.end() &&
            found->second.pending_request_id_ == message.request_id_;
        // An owner that was replaced may not have read the claim, so only a
        // confirmed owner may report that there is nothing to store.
        if (!pending && (holds_key || ownership_confirmed(now))) {
            send(from, result_stored_message{message.request_id_});
        }
        return;
    }
    auto& state = key_states_[message.key_];
    if (state.end_queued_) {
        return;
    }
    state.end_queued_ = true;
    if (!message.dispatched_) {
        enqueue(abandon_record{message.key_, message.request_id_, epoch_},
                false, now);
        return;
    }
    auto record = finish_record{message.key_, message.request_id_,
                                message.answer_, epoch_};
    if (record.answer_ &&
        record.answer_->body_.size() > settings_->max_answer_bytes_) {
        record.answer_.reset();
    }
    enqueue(std::move(record), false, now);
}

auto claim_shard::on_state(const claim_state_message& message, time_point now)
    -> void {
    auto* entry = index_.find(message.key_);
    const auto found = key_states_.find(message.key_);
    if (!owning() || entry == nullptr || found == key_states_.end() ||
        entry->claim_.request_id_ != message.request_id_ || entry->finished_) {
        return;
    }
    switch (message.state_) {
    case dispatch_state::never_dispatched:
        if (log_unreachable_) {
            refuse_all(message.key_, log_failure(append_status::unknown, now));
        }
        on_result("", {message.key_, message.request_id_, false, {}}, now);
        break;
    case dispatch_state::in_progress: {
        auto failure =
            make_error(error_code::duplicate_in_progress, run_status::unknown,
                       entry->claim_.dispatcher_.name_,
                       "first request with this key is still running");
        failure.retry_after_ = settings_->retry_hint_;
        refuse_all(message.key_, failure);
        break;
    }
    case dispatch_state::finished: {
        auto finished_entry = claim_entry{*entry};
        finished_entry.answer_ = message.answer_;
        for (const auto& waiting : found->second.waiters_) {
            answer_finished(waiting, finished_entry);
        }
        found->second.waiters_.clear();
        on_result("",
                  {message.key_, message.request_id_, true, message.answer_},
                  now);
        break;
    }
    case dispatch_state::unknown:
        refuse_all(
            message.key_,
            make_error(
                error_code::outcome_unknown, run_status::unknown,
                entry->claim_.dispatcher_.name_,
                "outcome of the first request with this key is unknown"));
        break;
    }
    erase_if_idle(message.key_);
}

auto claim_shard::expire_waiters(time_point now) -> void {
    auto keys = std::vector<claim_key>{};
    for (const auto& [key, state] : key_states_) {
        keys.push_back(key);
    }
    for (const auto& key : keys) {
        if (const auto found = key_states_.find(key);
            found != key_states_.end()) {
            expire_key(key, found->second, now);
            erase_if_idle(key);
        }
    }
}

auto claim_shard::expire_key(const claim_key& key, key_state& state,
                             time_point now) -> void {
    const auto* entry = index_.find(key);
    const auto query_timed_out =
        state.queried_at_ &&
        now - *state.queried_at_ >= settings_->query_timeout_;
    if (query_timed_out && !state.end_queued_ && entry != nullptr) {
        const auto dispatcher = entry->claim_.dispatcher_.name_;
        state.queried_at_.reset();
        if (!guards_->unresolved_is_unknown()) {
            on_result("", {key, entry->claim_.request_id_, false, {}}, now);
            return;
        }
        auto failure = make_error(
            error_code::outcome_unknown, run_status::unknown, dispatcher,
            "dispatcher of the first request did not answer");
        failure.retry_after_ = settings_->retry_hint_;
        refuse_all(key, failure);
        return;
    }
    if (!state.pending_request_id_.empty() &&
        now - state.pending_since_ >= settings_->forward_timeout_) {
        const auto pending = std::exchange(state.pending_request_id_, {});
        refuse_waiters(state, pending, append_status::unknown, now);
    }
    if (!state.waiters_.empty() && now - state.waiters_.front().received_at_ >=
                                       settings_->forward_timeout_) {
        refuse_waiters(state, "", append_status::unknown, now);
    }
}

auto claim_shard::erase_if_idle(const claim_key& key) -> void {
    const auto found = key_states_.find(key);
    if (found == key_states_.end()) {
        return;
    }
    const auto& state = found->second;
    if (state.waiters_.empty()) {
        found->second.queried_at_.reset();
    }
    if (state.waiters_.empty() && state.pending_request_id_.empty() &&
        !state.end_queued_) {
        key_states_.erase(found);
    }
}

} // namespace basilstream::coordination::internal
