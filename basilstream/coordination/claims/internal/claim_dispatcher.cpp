#include "basilstream/coordination/claims/internal/claim_dispatcher.hpp"

#include <utility>

#include "basilstream/base/invariant/invariant.hpp"

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

} // namespace

claim_dispatcher::claim_dispatcher(const claim_settings& settings,
                                   daemon_identity self,
                                   const claim_guards& guards,
                                   owner_lookup preferred_owner_of,
                                   std::vector<claim_output>& outputs,
                                   claim_statistics& statistics)
    : settings_{&settings}, self_{std::move(self)}, guards_{&guards},
      preferred_owner_of_{std::move(preferred_owner_of)}, outputs_{&outputs},
      statistics_{&statistics} {}

auto claim_dispatcher::find(const std::string& request_id, phase expected_phase)
    -> request* {
    const auto found = requests_.find(request_id);
    if (found == requests_.end() || found->second.phase_ != expected_phase) {
        return nullptr;
    }
    return &found->second;
}

auto claim_dispatcher::submit(claim_submission submission, time_point now)
    -> void {
    const auto id = submission.request_id_;
    auto new_request = request{};
    new_request.submission_ = std::move(submission);
    new_request.submitted_at_ = now;
    const auto [row, added] = requests_.try_emplace(id, std::move(new_request));
    if (!holds(added, "claim_request_id_unique", id)) {
        outputs_->push_back(answer_output{
            id, make_error(error_code::conflict, run_status::unknown,
                           self_.name_, "request id is already in use")});
        return;
    }
    waiting_requests_.emplace(id, now);
    forward(row->second, now);
}

auto claim_dispatcher::forward(request& waiting, time_point now) -> void {
    waiting.forwarded_at_ = now;
    const auto& submission = waiting.submission_;
    const auto owner = preferred_owner_of_(submission.key_);
    if (owner.empty()) {
        return;
    }
    outputs_->push_back(send_output{
        owner, claim_request_message{submission.key_, submission.fingerprint_,
                                     submission.request_id_, self_.boot_id_}});
}

auto claim_dispatcher::on_grant(const std::string& request_id, time_point now)
    -> void {
    const auto found = requests_.find(request_id);
    if (found == requests_.end()) {
        return;
    }
    auto& granted = found->second;
    const auto fenced = granted.phase_ == phase::ended;
    const auto repeated = granted.phase_ == phase::permitted;
    if ((fenced && guards_->fence_late_grants()) ||
        (repeated && guards_->permit_once())) {
        return;
    }
    waiting_requests_.erase(request_id);
    if (now >= granted.submission_.deadline_ && !fenced && !repeated) {
        fail_request(
            granted,
            make_error(error_code::timeout, run_status::not_run, "",
                       "deadline passed before the request was dispatched"),
            now);
        return;
    }
    granted.phase_ = phase::permitted;
    ++statistics_->permissions_;
    outputs_->push_back(dispatch_output{request_id});
}

auto claim_dispatcher::fail_request(request& waiting, error failure,
                                    time_point now) -> void {
    const auto id = waiting.submission_.request_id_;
    // Fences the request before the caller is told: grants are now ignored.
    end_request(waiting, dispatch_state::never_dispatched, now);
    outputs_->push_back(answer_output{id, std::move(failure)});
}

auto claim_dispatcher::end_request(request& ending, dispatch_state state,
                                   time_point now) -> void {
    const auto& id = ending.submission_.request_id_;
    ending.phase_ = phase::ended;
    ending.state_ = state;
    waiting_requests_.erase(id);
    ended_.push_back({id, now});
    if (state != dispatch_state::unknown) {
        report_result(id, now);
    }
}

auto claim_dispatcher::report_result(const std::string& request_id,
                                     time_point now) -> void {
    unconfirmed_results_[request_id] = now;
    send_result(requests_.at(request_id));
}

auto claim_dispatcher::send_result(const request& ended) -> void {
    const auto& submission = ended.submission_;
    const auto owner = preferred_owner_of_(submission.key_);
    if (owner.empty()) {
        return;
    }
    outputs_->push_back(send_output{
        owner, claim_result_message{submission.key_, submission.request_id_,
                                    ended.state_ == dispatch_state::finished,
                                    ended.answer_}});
}

auto claim_dispatcher::finish(const std::string& request_id,
                              stored_answer answer, time_point now) -> void {
    auto* running = find(request_id, phase::permitted);
    if (running == nullptr) {
        return;
    }
    if (answer.body_.size() <= settings_->max_answer_bytes_) {
        stored_bytes_ += answer.body_.size();
        stored_answers_.push_back(request_id);
        running->answer_ = std::move(answer);
    }
    end_request(*running, dispatch_state::finished, now);
    evict_answers();
}

auto claim_dispatcher::evict_answers() -> void {
    while (stored_bytes_ > settings_->max_stored_bytes_ &&
           !stored_answers_.empty()) {
        const auto found = requests_.find(stored_answers_.front());
        if (found != requests_.end() && found->second.answer_) {
            stored_bytes_ -= found->second.answer_->body_.size();
            found->second.answer_.reset();
        }
        stored_answers_.pop_front();
    }
}

auto claim_dispatcher::mark_outcome_unknown(const std::string& request_id,
                                            time_point now) -> void {
    if (auto* running = find(request_id, phase::permitted)) {
        end_request(*running, dispatch_state::unknown, now);
    }
}

auto claim_dispatcher::abandon(const std::string& request_id, time_point now)
    -> void {
    if (auto* running = find(request_id, phase::permitted)) {
        end_request(*running, dispatch_state::never_dispatched, now);
    }
}

auto claim_dispatcher::cancel(const std::string& request_id, time_point now)
    -> bool {
    auto* waiting = find(request_id, phase::waiting);
    if (waiting == nullptr) {
        return false;
    }
    end_request(*waiting, dispatch_state::never_dispatched, now);
    return true;
}

auto claim_dispatcher::on_refusal(claim_refusal_message message, time_point now)
    -> void {
    auto* waiting = find(message.request_id_, phase::waiting);
    if (waiting == nullptr) {
        return;
    }
    end_request(*waiting, dispatch_state::never_dispatched, now);
    outputs_->push_back(
        answer_output{message.request_id_, std::move(message.answer_)});
}

auto claim_dispatcher::on_not_owner(const std::string& request_id,
                                    time_point now) -> void {
    if (auto* waiting = find(request_id, phase::waiting)) {
        // Shortens the wait but does not forward at once, because a takeover
        // takes some time.
        waiting->forwarded_at_ = now - settings_->forward_interval_ / 2;
    }
}

auto claim_dispatcher::on_stored(const std::string& request_id) -> void {
    unconfirmed_results_.erase(request_id);
}

auto claim_dispatcher::on_query(const std::string& from,
                                const claim_query_message& message) -> void {
    auto answer = claim_state_message{
        message.key_, message.request_id_, dispatch_state::unknown, {}};
    const auto found = requests_.find(message.request_id_);
    if (message.boot_id_ == self_.boot_id_ && found != requests_.end()) {
        const auto& queried = found->second;
        const auto ended = queried.phase_ == phase::ended;
        answer.state_ = ended ? queried.state_ : dispatch_state::in_progress;
        answer.answer_ = queried.answer_;
    }
    outputs_->push_back(send_output{from, std::move(answer)});
}

auto claim_dispatcher::expire_request(request& waiting, time_point now)
    -> void {
    const auto owner = preferred_owner_of_(waiting.submission_.key_);
    const auto deadline_passed = now >= waiting.submission_.deadline_;
    // Run status unknown: only the owner, which did not answer, knows whether
    // an earlier request with this key ran.
    auto failure = make_error(
        deadline_passed ? error_code::timeout : error_code::unavailable,
        run_status::unknown, owner,
        "shard owner did not answer in time; retry with the same key");
    failure.retry_after_ = settings_->retry_hint_;
    fail_request(waiting, std::move(failure), now);
}

auto claim_dispatcher::tick(time_point now) -> void {
    auto waiting_ids = std::vector<std::string>{};
    waiting_ids.reserve(waiting_requests_.size());
    for (const auto& [id, since] : waiting_requests_) {
        waiting_ids.push_back(id);
    }
    for (const auto& id : waiting_ids) {
        auto& waiting = requests_.at(id);
        if (now >= waiting.submission_.deadline_ ||
            now - waiting.submitted_at_ >= settings_->forward_timeout_) {
            expire_request(waiting, now);
        } else if (now - waiting.forwarded_at_ >=
                   settings_->forward_interval_) {
            forward(waiting, now);
        }
    }
    for (auto& [id, reported_at] : unconfirmed_results_) {
        if (now - reported_at >= settings_->result_resend_interval_) {
            reported_at = now;
            send_result(requests_.at(id));
        }
    }
    while (!ended_.empty() &&
           now - ended_.front().ended_at_ >= settings_->dispatcher_retention_) {
        const auto found = requests_.find(ended_.front().request_id_);
        if (found != requests_.end()) {
            stored_bytes_ -=
                found->second.answer_ ? found->second.answer_->body_.size() : 0;
            unconfirmed_results_.erase(found->first);
            requests_.erase(found);
        }
        ended_.pop_front();
    }
}

} // namespace basilstream::coordination::internal
