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
                                   owner_lookup owner_of,
                                   std::vector<claim_output>& outputs,
                                   claim_statistics& statistics)
    : settings_{&settings}, self_{std::move(self)}, guards_{&guards},
      owner_of_{std::move(owner_of)}, outputs_{&outputs}, statistics_{
                                                              &statistics} {}

auto claim_dispatcher::find(const std::string& request_id, phase wanted)
    -> request* {
    const auto found = requests_.find(request_id);
    if (found == requests_.end() || found->second.phase_ != wanted) {
        return nullptr;
    }
    return &found->second;
}

auto claim_dispatcher::submit(claim_submission submission, time_point now)
    -> void {
    const auto id = submission.request_id_;
    auto fresh = request{};
    fresh.submission_ = std::move(submission);
    fresh.since_ = now;
    const auto [row, added] = requests_.try_emplace(id, std::move(fresh));
    if (!holds(added, "claim_request_id_unique", id)) {
        outputs_->push_back(answer_output{
            id, make_error(error_code::conflict, run_status::unknown,
                           self_.name_, "the request id was used before")});
        return;
    }
    active_.emplace(id, now);
    forward(row->second, now);
}

auto claim_dispatcher::forward(request& waiting, time_point now) -> void {
    waiting.forwarded_ = now;
    const auto& submission = waiting.submission_;
    const auto owner = owner_of_(submission.key_);
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
    active_.erase(request_id);
    if (now >= granted.submission_.deadline_ && !fenced && !repeated) {
        give_up(granted,
                make_error(error_code::timeout, run_status::not_run, "",
                           "the deadline passed before the dispatch"),
                now);
        return;
    }
    granted.phase_ = phase::permitted;
    ++statistics_->permissions_;
    outputs_->push_back(dispatch_output{request_id});
}

auto claim_dispatcher::give_up(request& waiting, error failure, time_point now)
    -> void {
    const auto id = waiting.submission_.request_id_;
    // Fence first: from here on a grant is ignored.
    end(waiting, dispatch_state::never_dispatched, now);
    outputs_->push_back(answer_output{id, std::move(failure)});
}

auto claim_dispatcher::end(request& ending, dispatch_state state,
                           time_point now) -> void {
    const auto& id = ending.submission_.request_id_;
    ending.phase_ = phase::ended;
    ending.state_ = state;
    active_.erase(id);
    ended_.push_back({id, now});
    if (state != dispatch_state::unknown) {
        report(id, now);
    }
}

auto claim_dispatcher::report(const std::string& request_id, time_point now)
    -> void {
    results_[request_id] = now;
    send_result(requests_.at(request_id));
}

auto claim_dispatcher::send_result(const request& ended) -> void {
    const auto& submission = ended.submission_;
    const auto owner = owner_of_(submission.key_);
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
        kept_bytes_ += answer.body_.size();
        kept_answers_.push_back(request_id);
        running->answer_ = std::move(answer);
    }
    end(*running, dispatch_state::finished, now);
    drop_answers();
}

auto claim_dispatcher::drop_answers() -> void {
    while (kept_bytes_ > settings_->max_stored_bytes_ &&
           !kept_answers_.empty()) {
        const auto found = requests_.find(kept_answers_.front());
        if (found != requests_.end() && found->second.answer_) {
            kept_bytes_ -= found->second.answer_->body_.size();
            found->second.answer_.reset();
        }
        kept_answers_.pop_front();
    }
}

auto claim_dispatcher::lose(const std::string& request_id, time_point now)
    -> void {
    if (auto* running = find(request_id, phase::permitted)) {
        end(*running, dispatch_state::unknown, now);
    }
}

auto claim_dispatcher::abandon(const std::string& request_id, time_point now)
    -> void {
    if (auto* running = find(request_id, phase::permitted)) {
        end(*running, dispatch_state::never_dispatched, now);
    }
}

auto claim_dispatcher::cancel(const std::string& request_id, time_point now)
    -> bool {
    auto* waiting = find(request_id, phase::waiting);
    if (waiting == nullptr) {
        return false;
    }
    end(*waiting, dispatch_state::never_dispatched, now);
    return true;
}

auto claim_dispatcher::on_refusal(claim_refusal_message message, time_point now)
    -> void {
    auto* waiting = find(message.request_id_, phase::waiting);
    if (waiting == nullptr) {
        return;
    }
    end(*waiting, dispatch_state::never_dispatched, now);
    outputs_->push_back(
        answer_output{message.request_id_, std::move(message.answer_)});
}

auto claim_dispatcher::on_not_owner(const std::string& request_id,
                                    time_point now) -> void {
    if (auto* waiting = find(request_id, phase::waiting)) {
        // Forward again soon, not at once: the takeover takes a while.
        waiting->forwarded_ = now - settings_->forward_interval_ / 2;
    }
}

auto claim_dispatcher::on_stored(const std::string& request_id) -> void {
    results_.erase(request_id);
}

auto claim_dispatcher::on_query(const std::string& from,
                                const claim_query_message& message) -> void {
    auto answer = claim_state_message{
        message.key_, message.request_id_, dispatch_state::unknown, {}};
    const auto found = requests_.find(message.request_id_);
    if (message.boot_id_ == self_.boot_id_ && found != requests_.end()) {
        const auto& known = found->second;
        const auto ended = known.phase_ == phase::ended;
        answer.state_ = ended ? known.state_ : dispatch_state::in_progress;
        answer.answer_ = known.answer_;
    }
    outputs_->push_back(send_output{from, std::move(answer)});
}

auto claim_dispatcher::expire(request& waiting, time_point now) -> void {
    const auto owner = owner_of_(waiting.submission_.key_);
    const auto late = now >= waiting.submission_.deadline_;
    // Whether an earlier request ran under this key is only known to the
    // owner, which did not answer.
    auto failure = make_error(
        late ? error_code::timeout : error_code::unavailable,
        run_status::unknown, owner,
        "the shard's owner gave no answer; repeat with the same key");
    failure.retry_after_ = settings_->retry_hint_;
    give_up(waiting, std::move(failure), now);
}

auto claim_dispatcher::tick(time_point now) -> void {
    auto waiting_ids = std::vector<std::string>{};
    waiting_ids.reserve(active_.size());
    for (const auto& [id, since] : active_) {
        waiting_ids.push_back(id);
    }
    for (const auto& id : waiting_ids) {
        auto& waiting = requests_.at(id);
        if (now >= waiting.submission_.deadline_ ||
            now - waiting.since_ >= settings_->forward_timeout_) {
            expire(waiting, now);
        } else if (now - waiting.forwarded_ >= settings_->forward_interval_) {
            forward(waiting, now);
        }
    }
    for (auto& [id, reported] : results_) {
        if (now - reported >= settings_->result_resend_interval_) {
            reported = now;
            send_result(requests_.at(id));
        }
    }
    while (!ended_.empty() &&
           now - ended_.front().at_ >= settings_->dispatcher_memory_) {
        const auto found = requests_.find(ended_.front().request_id_);
        if (found != requests_.end()) {
            kept_bytes_ -=
                found->second.answer_ ? found->second.answer_->body_.size() : 0;
            results_.erase(found->first);
            requests_.erase(found);
        }
        ended_.pop_front();
    }
}

} // namespace basilstream::coordination::internal
