// Requests, results and repeats at the owner of a shard.
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
    return make_error(error_code::answer_expired, run_status::ran, "",
                      "the request was answered; its answer is not kept");
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
    const auto found = work_.find(key);
    if (found == work_.end()) {
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
    auto& work = work_[key];
    for (const auto& waiting : work.waiters_) {
        if (waiting.message_.request_id_ == message.request_id_) {
            return;
        }
    }
    work.waiters_.push_back({from, std::move(message), now});
    evaluate(key, now);
}

auto claim_shard::evaluate(const claim_key& key, time_point now) -> void {
    const auto found = work_.find(key);
    if (found == work_.end()) {
        return;
    }
    auto& work = found->second;
    if (auto* entry = index_.find(key); entry != nullptr) {
        evaluate_entry(*entry, work, now);
    } else if (work.pending_.empty() && !work.waiters_.empty()) {
        start_claim(key, work, now);
    }
    tidy(key);
}

auto claim_shard::evaluate_entry(const claim_entry& entry, key_work& work,
                                 time_point now) -> void {
    auto still_waiting = std::deque<waiter>{};
    for (auto& waiting : work.waiters_) {
        const auto& message = waiting.message_;
        const auto differs = message.fingerprint_ != entry.claim_.fingerprint_;
        if (differs && guards_->compare_fingerprints()) {
            refuse(waiting, make_error(error_code::idempotency_mismatch,
                                       run_status::not_run, "",
                                       "the key was used with another body"));
        } else if (entry.finished_) {
            answer_finished(waiting, entry);
        } else if (message.request_id_ == entry.claim_.request_id_) {
            send(waiting.from_, claim_grant_message{message.request_id_});
        } else {
            still_waiting.push_back(std::move(waiting));
        }
    }
    work.waiters_ = std::move(still_waiting);
    if (!work.waiters_.empty() && !work.ending_) {
        ask_dispatcher(entry, work, now);
    }
}

auto claim_shard::answer_finished(const waiter& waiting,
                                  const claim_entry& entry) -> void {
    send(waiting.from_, claim_refusal_message{waiting.message_.request_id_,
                                              finished_answer(entry)});
}

auto claim_shard::ask_dispatcher(const claim_entry& entry, key_work& work,
                                 time_point now) -> void {
    if (work.queried_at_) {
        return;
    }
    work.queried_at_ = now;
    const auto& claim = entry.claim_;
    send(claim.dispatcher_.name_,
         claim_query_message{claim.key_, claim.request_id_,
                             claim.dispatcher_.boot_id_});
}

auto claim_shard::start_claim(const claim_key& key, key_work& work,
                              time_point now) -> void {
    if (log_down_) {
        refuse_all(key, log_failure(append_status::unknown, now));
        return;
    }
    if (queue_.size() >= settings_->max_pending_per_shard_) {
        refuse_all(key, log_failure(append_status::refused, now));
        return;
    }
    const auto& first = work.waiters_.front();
    const auto& message = first.message_;
    work.pending_ = message.request_id_;
    work.pending_since_ = now;
    queue(claim_record{key, message.fingerprint_, message.request_id_,
                       daemon_identity{first.from_, message.boot_id_}, epoch_},
          true, now);
}

auto claim_shard::log_failure(append_status status, time_point now) const
    -> error {
    const auto limited = status == append_status::refused;
    auto failure =
        make_error(limited ? error_code::overloaded : error_code::unavailable,
                   confirmed(now) ? run_status::not_run : run_status::unknown,
                   claim_stream_name(shard_),
                   limited ? "the claim was refused by the log"
                           : "the log is out of reach; the claim was not made");
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
        const auto found = work_.find(claim->key_);
        if (found == work_.end() ||
            found->second.pending_ != claim->request_id_) {
            continue;
        }
        found->second.pending_.clear();
        refuse_around(found->second, claim->request_id_, status, now);
        tidy(claim->key_);
    }
}

// The claim of `request_id` may yet become valid, so only that request itself,
// which its dispatcher fences on refusal, may be called not run.
auto claim_shard::refuse_around(key_work& work, const std::string& request_id,
                                append_status status, time_point now) -> void {
    for (const auto& waiting : work.waiters_) {
        auto failure = log_failure(status, now);
        if (waiting.message_.request_id_ != request_id) {
            failure.run_ = run_status::unknown;
        }
        refuse(waiting, std::move(failure));
    }
    work.waiters_.clear();
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
        const auto found = work_.find(message.key_);
        const auto pending = found != work_.end() &&
                             found->second.pending_ == message.request_id_;
        // A replaced owner may not know the claim yet: only a confirmed one
        // may say that nothing is left to store.
        if (!pending && (holds_key || confirmed(now))) {
            send(from, result_stored_message{message.request_id_});
        }
        return;
    }
    auto& work = work_[message.key_];
    if (work.ending_) {
        return;
    }
    work.ending_ = true;
    if (!message.dispatched_) {
        queue(abandon_record{message.key_, message.request_id_, epoch_}, false,
              now);
        return;
    }
    auto record = finish_record{message.key_, message.request_id_,
                                message.answer_, epoch_};
    if (record.answer_ &&
        record.answer_->body_.size() > settings_->max_answer_bytes_) {
        record.answer_.reset();
    }
    queue(std::move(record), false, now);
}

auto claim_shard::on_state(const claim_state_message& message, time_point now)
    -> void {
    auto* entry = index_.find(message.key_);
    const auto found = work_.find(message.key_);
    if (!owning() || entry == nullptr || found == work_.end() ||
        entry->claim_.request_id_ != message.request_id_ || entry->finished_) {
        return;
    }
    switch (message.state_) {
    case dispatch_state::never_dispatched:
        if (log_down_) {
            refuse_all(message.key_, log_failure(append_status::unknown, now));
        }
        on_result("", {message.key_, message.request_id_, false, {}}, now);
        break;
    case dispatch_state::in_progress: {
        auto failure = make_error(
            error_code::duplicate_in_progress, run_status::unknown,
            entry->claim_.dispatcher_.name_, "the first request is running");
        failure.retry_after_ = settings_->retry_hint_;
        refuse_all(message.key_, failure);
        break;
    }
    case dispatch_state::finished: {
        auto known = claim_entry{*entry};
        known.answer_ = message.answer_;
        for (const auto& waiting : found->second.waiters_) {
            answer_finished(waiting, known);
        }
        found->second.waiters_.clear();
        on_result("",
                  {message.key_, message.request_id_, true, message.answer_},
                  now);
        break;
    }
    case dispatch_state::unknown:
        refuse_all(message.key_,
                   make_error(error_code::outcome_unknown, run_status::unknown,
                              entry->claim_.dispatcher_.name_,
                              "the first request was lost"));
        break;
    }
    tidy(message.key_);
}

auto claim_shard::expire_waiters(time_point now) -> void {
    auto keys = std::vector<claim_key>{};
    for (const auto& [key, work] : work_) {
        keys.push_back(key);
    }
    for (const auto& key : keys) {
        if (const auto found = work_.find(key); found != work_.end()) {
            expire_key(key, found->second, now);
            tidy(key);
        }
    }
}

auto claim_shard::expire_key(const claim_key& key, key_work& work,
                             time_point now) -> void {
    const auto* entry = index_.find(key);
    const auto asked_in_vain =
        work.queried_at_ &&
        now - *work.queried_at_ >= settings_->query_timeout_;
    if (asked_in_vain && !work.ending_ && entry != nullptr) {
        const auto dispatcher = entry->claim_.dispatcher_.name_;
        work.queried_at_.reset();
        if (!guards_->unresolved_is_unknown()) {
            on_result("", {key, entry->claim_.request_id_, false, {}}, now);
            return;
        }
        auto failure =
            make_error(error_code::outcome_unknown, run_status::unknown,
                       dispatcher, "the first request's daemon is silent");
        failure.retry_after_ = settings_->retry_hint_;
        refuse_all(key, failure);
        return;
    }
    if (!work.pending_.empty() &&
        now - work.pending_since_ >= settings_->forward_timeout_) {
        const auto pending = std::exchange(work.pending_, {});
        refuse_around(work, pending, append_status::unknown, now);
    }
    if (!work.waiters_.empty() &&
        now - work.waiters_.front().since_ >= settings_->forward_timeout_) {
        refuse_around(work, "", append_status::unknown, now);
    }
}

auto claim_shard::tidy(const claim_key& key) -> void {
    const auto found = work_.find(key);
    if (found == work_.end()) {
        return;
    }
    const auto& work = found->second;
    if (work.waiters_.empty()) {
        found->second.queried_at_.reset();
    }
    if (work.waiters_.empty() && work.pending_.empty() && !work.ending_) {
        work_.erase(found);
    }
}

} // namespace basilstream::coordination::internal
