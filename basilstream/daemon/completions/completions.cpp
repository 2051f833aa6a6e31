#include "basilstream/daemon/completions/completions.hpp"

#include <algorithm>

#include "basilstream/daemon/completions/internal/active.hpp"

namespace basilstream::daemon {
namespace {

using coordination::admission_outcome;
using coordination::attempt_outcome;

// Interval between checks for expired deadlines and silent connections.
constexpr auto check_interval = milliseconds{100};

} // namespace

completions::completions(const context& base, const request_settings& settings,
                         traffic_policy policy, runner_directory& runners,
                         isolation_requester request_isolation,
                         telemetry& metrics)
    : base_{base}, settings_{settings}, policy_{policy}, runners_{runners},
      request_isolation_{std::move(request_isolation)}, metrics_{metrics},
      monitor_{[&settings] {
          auto limits = coordination::liveness_settings{};
          limits.runner_.first_byte_ = settings.first_piece_timeout_;
          limits.runner_.progress_ = settings.progress_timeout_;
          limits.runner_.heartbeat_interval_ = duration{0};
          limits.runner_.heartbeat_timeout_ = duration{0};
          return limits;
      }()} {}

completions::~completions() = default;

auto completions::submit(completion_request request) -> void {
    const auto now = base_.clock_.now();
    metrics_.requests_.add();
    auto entry = std::make_shared<active>();
    const auto& call = request.call_;
    entry->answer_ = std::make_shared<answer_stream>(
        protocol::answer_identity{request.request_id_,
                                  call.adapter_.empty()
                                      ? call.model_
                                      : call.model_ + ":" + call.adapter_,
                                  call.style_, request.unix_time_},
        call.stream_, request.caller_);
    entry->fingerprint_ = coordination::make_fingerprint(
        request.organisation_, call.model_ + ":" + call.adapter_, call.prompt_);
    entry->version_ = runners_.serving_version(call.model_, request.versions_);
    entry->deadline_ = request.arrived_ + request.deadline_;
    entry->first_token_deadline_ = std::min(
        entry->deadline_, request.arrived_ + settings_.first_token_deadline_);
    entry->request_ = std::move(request);
    entry->admission_span_ = entry->request_.span_.child("admission");
    open_.emplace(entry->id(), entry);
    policy_.retries_.on_request(now);
    entry->request_.caller_->on_closed(
        [this, weak = std::weak_ptr<active>{entry}] {
            base_.on_control([this, weak] {
                if (const auto disconnected = weak.lock()) {
                    on_caller_disconnected(disconnected);
                }
            });
        });
    if (policy_.quarantine_.check(entry->fingerprint_, now) ==
        coordination::quarantine_verdict::quarantined) {
        fail(entry, policy_.quarantine_.make_quarantined_error(
                        entry->fingerprint_, now));
        return;
    }
    enqueue(entry);
}

auto completions::enqueue(const active_ptr& request) -> void {
    const auto& params = request->request_;
    on_admission_event(policy_.admission_.submit(
        {.request_id_ = request->id(),
         .organisation_ = params.organisation_,
         .model_ = params.call_.model_,
         .version_ = request->version_,
         .adapter_ = params.call_.adapter_,
         .prefix_hash_ = coordination::prefix_hash(params.call_.prompt_),
         .priority_ = params.priority_,
         .first_token_deadline_ = request->first_token_deadline_,
         .deadline_ = request->deadline_,
         .max_tokens_ = static_cast<int>(params.call_.max_tokens_),
         .excluded_ = request->failed_runners_},
        base_.clock_.now()));
}

auto completions::on_admission_event(coordination::admission_event event)
    -> void {
    const auto found = open_.find(event.request_id_);
    if (found == open_.end()) {
        return;
    }
    const auto request = found->second;
    if (event.outcome_ == admission_outcome::admitted) {
        metrics_.queued_.record(event.queue_time_);
        request->admission_span_.finish();
        prepare_dispatch(request, std::move(*event.route_));
    } else if (event.outcome_ == admission_outcome::refused) {
        request->admission_span_.finish();
        auto refusal = std::move(*event.error_);
        if (request->may_have_run_) {
            // An earlier attempt may have run, even if this step refused the
            // request before it ran.
            refusal.run_ = run_status::unknown;
        }
        fail(request, std::move(refusal));
    }
}

auto completions::prepare_dispatch(const active_ptr& request,
                                   coordination::route chosen) -> void {
    const auto now = base_.clock_.now();
    request->route_ = std::move(chosen);
    ++request->runs_;
    auto routing = request->request_.span_.child("routing");
    routing.tag("runner", request->route_->runner_);
    routing.tag("reason", coordination::route_reason_names.name_of(
                              request->route_->reason_));
    routing.finish();
    const auto verdict = policy_.quarantine_.check(request->fingerprint_, now);
    if (verdict == coordination::quarantine_verdict::clear) {
        dispatch(request);
        return;
    }
    if (verdict == coordination::quarantine_verdict::quarantined) {
        release_and_fail(request, policy_.quarantine_.make_quarantined_error(
                                      request->fingerprint_, now));
        return;
    }
    request_isolation_(make_fingerprint_run(request),
                       [this, request](const std::optional<error>& refused) {
                           if (request->ended_ || !request->route_) {
                               return;
                           }
                           if (refused) {
                               wait_for_isolation(request, *refused);
                           } else {
                               dispatch(request);
                           }
                       });
}

auto completions::release_and_fail(const active_ptr& request, error refusal)
    -> void {
    release_slot(request, {}, attempt_outcome::cancelled);
    request->route_.reset();
    if (request->may_have_run_) {
        refusal.run_ = run_status::unknown;
    }
    fail(request, std::move(refusal));
}

// Delays a request until it may run in isolation, if its deadline allows. A
// harmless request becomes suspected if it shared a runner with one that
// crashed the runner.
auto completions::wait_for_isolation(const active_ptr& request,
                                     const error& refusal) -> void {
    const auto retry_at =
        base_.clock_.now() + refusal.retry_after_.value_or(milliseconds{0});
    if (!refusal.retry_after_ || retry_at >= request->deadline_ ||
        policy_.quarantine_.check(request->fingerprint_, base_.clock_.now()) ==
            coordination::quarantine_verdict::quarantined) {
        release_and_fail(request, refusal);
        return;
    }
    release_slot(request, {}, attempt_outcome::cancelled);
    request->route_.reset();
    request->first_token_deadline_ = request->deadline_;
    delayed_.emplace(retry_at, request);
}

auto completions::make_fingerprint_run(const active_ptr& request)
    -> coordination::fingerprint_run {
    return {request->fingerprint_,
            request->id() + "/" + std::to_string(request->runs_),
            request->route_->runner_, request->route_->boot_id_};
}

auto completions::retry_or_fail(const active_ptr& request, error failure)
    -> void {
    const auto now = base_.clock_.now();
    const auto runner = request->route_->runner_;
    const auto delivered = request->answer_->checker_.next_position();
    auto decision =
        policy_.retries_.decide({.error_ = std::move(failure),
                                 .runner_ = runner,
                                 .attempts_ = ++request->failures_,
                                 .idempotent_ = true,
                                 .delivered_ = delivered,
                                 .resumable_ = true,
                                 .deadline_ = request->deadline_,
                                 .failed_runners_ = request->failed_runners_},
                                now);
    request->route_.reset();
    request->abort_error_.reset();
    if (!decision.retry_) {
        fail(request, std::move(*decision.error_));
        return;
    }
    metrics_.retries_.add();
    if (delivered > 0) {
        metrics_.resumed_.add();
    }
    request->failed_runners_ = std::move(decision.excluded_);
    // The first token's deadline has passed or was met; from here on only the
    // deadline of the complete answer applies.
    request->first_token_deadline_ = request->deadline_;
    delayed_.emplace(decision.not_before_, request);
}

auto completions::fail(const active_ptr& request, error failure) -> void {
    if (request->ended_) {
        return;
    }
    request->ended_ = true;
    metrics_.count_failure(failure.code_);
    request->request_.span_.tag("error",
                                error_code_names.name_of(failure.code_));
    base_.log_.failure(transport::log_level::info, "request failed", failure,
                       request->id());
    request->answer_->fail(failure);
    if (!request->running_) {
        finish(request);
    }
}

auto completions::finish(const active_ptr& request) -> void {
    request->ended_ = true;
    request->admission_span_.finish();
    request->request_.span_.finish();
    request->route_.reset();
    open_.erase(request->id());
}

auto completions::on_caller_disconnected(const active_ptr& request) -> void {
    if (request->ended_) {
        return;
    }
    metrics_.cancelled_.add();
    request->ended_ = true;
    base_.log_.debug("caller disconnected", {{"request_id", request->id()}});
    if (request->running_) {
        cancel_at_runner(request);
        base_.engines_.cancel(request->answer_->call_.load());
        return;
    }
    if (request->checking_crash_) {
        return;
    }
    if (request->route_) {
        release_slot(request, {}, attempt_outcome::cancelled);
    } else {
        policy_.admission_.cancel(request->id());
    }
    finish(request);
}

auto completions::tick() -> void {
    const auto now = base_.clock_.now();
    start_due_retries();
    if (now >= next_check_) {
        next_check_ = now + check_interval;
        abort_silent_attempts();
        check_deadlines();
    }
}

auto completions::start_due_retries() -> void {
    const auto now = base_.clock_.now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const auto request = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        if (!request->ended_) {
            enqueue(request);
        }
    }
}

auto completions::check_deadlines() -> void {
    const auto now = base_.clock_.now();
    auto expired_requests = std::vector<active_ptr>{};
    for (const auto& [id, request] : open_) {
        if (now >= request->deadline_ && !request->abort_error_) {
            expired_requests.push_back(request);
        }
    }
    for (const auto& request : expired_requests) {
        auto expired = error{error_code::timeout, step::attempt,
                             request->route_ ? request->route_->address_ : "",
                             "request deadline exceeded",
                             request->may_have_run_ || request->running_
                                 ? run_status::unknown
                                 : run_status::not_run};
        if (request->running_) {
            // `on_attempt_end` sends the error to the caller; the expired
            // deadline rules out another attempt.
            request->abort_error_ = std::move(expired);
            base_.engines_.cancel(request->answer_->call_.load());
        } else if (!request->route_) {
            policy_.admission_.cancel(request->id());
            fail(request, std::move(expired));
        }
    }
}

} // namespace basilstream::daemon
