// Attempts of completions: dispatches an attempt to a runner and decides, from
// its result, whether the request finishes, is retried or fails.
#include "basilstream/daemon/completions/completions.hpp"

#include <unordered_map>

#include "basilstream/daemon/completions/internal/active.hpp"

namespace basilstream::daemon {
namespace {

using coordination::attempt_outcome;

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;
constexpr auto status_too_many_requests = 429;
constexpr auto status_unavailable = 503;
constexpr auto connect_timeout = milliseconds{1000};
constexpr auto cancel_timeout = milliseconds{1000};

} // namespace

// Builds the call that requests the remainder of the answer from the selected
// runner.
auto completions::make_engine_call(const active_ptr& request)
    -> transport::http_call {
    const auto& params = request->request_;
    const auto& route = *request->route_;
    const auto resume_position = request->answer_->checker_.next_position();
    auto call = transport::http_call{
        .method_ = "POST",
        .url_ = "http://" + route.address_ + "/v1/completions",
        .headers_ = {{"Content-Type", "application/json"},
                     {"X-Request-Id", request->id()}},
        .body_ =
            protocol::completion_body({.model_ = params.call_.model_,
                                       .adapter_ = params.call_.adapter_,
                                       .version_ = request->version_,
                                       .prompt_ = params.call_.prompt_,
                                       .max_tokens_ = params.call_.max_tokens_,
                                       .priority_ = params.priority_,
                                       .request_id_ = request->id(),
                                       .attempt_ = request->attempts_,
                                       .resume_position_ = resume_position}),
        .connect_timeout_ = connect_timeout,
        .step_ = step::attempt};
    if (auto parent = request->attempt_span_.traceparent(); !parent.empty()) {
        call.headers_.emplace_back("traceparent", std::move(parent));
    }
    return call;
}

// Registers the attempt's connection with the liveness monitor, and resumes
// reading from the runner when the caller's connection is writable again.
auto completions::watch_attempt(const active_ptr& request) -> void {
    const auto now = base_.clock_.now();
    const auto& route = *request->route_;
    request->connection_ = next_connection_++;
    monitor_.open(request->connection_, coordination::connection_kind::runner,
                  route.address_, now);
    monitor_.begin_request(request->connection_, request->id(),
                           coordination::repeatability::resumable, now);
    monitor_.on_sent(request->connection_, request->id(), now);
    request->request_.caller_->on_writable(
        [engines = &base_.engines_,
         answer = std::weak_ptr<answer_stream>{request->answer_}] {
            if (const auto stream = answer.lock()) {
                stream->back_pressured_.store(false);
                engines->resume(stream->call_.load());
            }
        });
}

auto completions::dispatch(const active_ptr& request) -> void {
    const auto now = base_.clock_.now();
    const auto& route = *request->route_;
    ++request->attempts_;
    if (!policy_.quarantine_.on_dispatch(make_fingerprint_run(request), now)) {
        release_and_fail(request, policy_.quarantine_.make_quarantined_error(
                                      request->fingerprint_, now));
        return;
    }
    request->running_ = true;
    request->seen_progress_ = request->answer_->progress_.load();
    request->answer_->call_.store(0);
    if (!request->answer_->checker_.start_attempt(request->attempts_)) {
        request->running_ = false;
        policy_.quarantine_.on_finish(make_fingerprint_run(request).request_id_,
                                      false, now);
        release_slot(request, {}, attempt_outcome::cancelled);
        fail(request,
             {error_code::incomplete_answer, step::attempt, route.address_,
              "maximum number of attempts reached", run_status::unknown});
        return;
    }
    metrics_.attempts_.add();
    request->attempt_span_ = request->request_.span_.child("attempt");
    request->attempt_span_.tag("runner", route.runner_);
    watch_attempt(request);
    base_.engines_.start(
        make_engine_call(request),
        std::make_shared<attempt_sink>(
            request->answer_, base_.clock_, [this, request](attempt_end end) {
                base_.on_control([this, request, end = std::move(end)] {
                    on_attempt_end(request, end);
                });
            }));
}

auto completions::on_attempt_end(const active_ptr& request, attempt_end end)
    -> void {
    request->running_ = false;
    monitor_.end_request(request->connection_, request->id());
    monitor_.close(request->connection_);
    metrics_.tokens_.add(static_cast<std::uint64_t>(end.tokens_));
    metrics_.on_served_(request->request_.call_.model_,
                        static_cast<std::uint64_t>(end.tokens_));
    if (end.first_token_ && !request->first_token_recorded_) {
        request->first_token_recorded_ = true;
        metrics_.first_token_.record(base_.clock_.now() -
                                     request->request_.arrived_);
    }
    if (end.token_interval_) {
        metrics_.token_interval_.record(*end.token_interval_);
    }
    if (end.finished_) {
        release_slot(request, end, attempt_outcome::completed);
        policy_.router_.on_success(request->route_->runner_);
        policy_.quarantine_.on_finish(make_fingerprint_run(request).request_id_,
                                      true, base_.clock_.now());
        metrics_.served_.add();
        finish(request);
        return;
    }
    request->attempt_span_.tag("error", "true");
    on_failed_attempt(request, end);
}

auto completions::release_slot(const active_ptr& request,
                               const attempt_end& end, attempt_outcome outcome)
    -> void {
    request->attempt_span_.finish();
    policy_.admission_.on_release({.request_id_ = request->id(),
                                   .outcome_ = outcome,
                                   .first_token_ = end.first_token_,
                                   .token_interval_ = end.token_interval_,
                                   .tokens_ = end.tokens_},
                                  base_.clock_.now());
    policy_.schedule_poll_();
}

auto completions::make_attempt_error(const active_ptr& request,
                                     const attempt_end& end) -> error {
    const auto& peer = request->route_->address_;
    if (request->abort_error_) {
        return *request->abort_error_;
    }
    if (end.invalid_chunk_) {
        return {error_code::crossed_answer, step::attempt, peer,
                "runner sent invalid data or a chunk that does not continue "
                "this answer",
                run_status::unknown};
    }
    if (end.status_ != 0 && end.status_ != status_ok) {
        const auto refused = end.status_ == status_not_found ||
                             end.status_ == status_too_many_requests ||
                             end.status_ == status_unavailable;
        return {refused ? error_code::unavailable : error_code::backend_error,
                step::attempt,
                peer,
                "runner answered " + std::to_string(end.status_) + " " +
                    end.error_text_,
                refused ? run_status::not_run : run_status::unknown,
                end.retry_after_};
    }
    if (end.transfer_error_) {
        return *end.transfer_error_;
    }
    return {error_code::incomplete_answer, step::attempt, peer,
            "answer ended without a finish event", run_status::unknown};
}

auto completions::on_failed_attempt(const active_ptr& request,
                                    const attempt_end& end) -> void {
    const auto failure = make_attempt_error(request, end);
    base_.log_.failure(transport::log_level::debug, "attempt failed", failure,
                       request->id());
    const auto runner = request->route_->runner_;
    const auto boot_id = request->route_->boot_id_;
    request->may_have_run_ =
        request->may_have_run_ || failure.run_ != run_status::not_run;
    auto outcome = attempt_outcome::failed;
    if (end.status_ == status_too_many_requests) {
        outcome = attempt_outcome::no_slot;
    } else if (end.status_ == status_not_found ||
               end.status_ == status_unavailable) {
        outcome = attempt_outcome::not_serving;
    } else if (request->ended_) {
        outcome = attempt_outcome::cancelled;
    }
    release_slot(request, end, outcome);
    if (request->ended_) {
        policy_.quarantine_.on_finish(make_fingerprint_run(request).request_id_,
                                      false, base_.clock_.now());
        finish(request);
        return;
    }
    if (outcome == attempt_outcome::no_slot) {
        // Not a failure: admission has lowered its estimate of the runner's
        // capacity because of this outcome, and the request is queued again.
        policy_.quarantine_.on_finish(make_fingerprint_run(request).request_id_,
                                      false, base_.clock_.now());
        request->route_.reset();
        enqueue(request);
        return;
    }
    if (outcome != attempt_outcome::failed) {
        policy_.quarantine_.on_finish(make_fingerprint_run(request).request_id_,
                                      false, base_.clock_.now());
        retry_or_fail(request, failure);
        return;
    }
    policy_.router_.on_failure(runner, base_.clock_.now());
    if (request->abort_error_ || failure.run_ == run_status::not_run) {
        if (!request->abort_error_) {
            // The runner may be down: starts a crash check for the benefit of
            // all requests, without waiting for its result.
            runners_.check_crash(runner, boot_id, [](bool) {});
        }
        policy_.quarantine_.on_finish(make_fingerprint_run(request).request_id_,
                                      false, base_.clock_.now());
        cancel_at_runner(request);
        retry_or_fail(request, failure);
        return;
    }
    // A broken connection may be due to a crash of the runner. The crash check
    // has to complete before the request is sent to another runner, so that a
    // request that crashes runners is quarantined first.
    runners_.check_crash(runner, boot_id,
                         [this, request, failure](bool crashed) {
                             if (!crashed) {
                                 policy_.quarantine_.on_finish(
                                     request->id(), false, base_.clock_.now());
                                 cancel_at_runner(request);
                             }
                             if (request->ended_) {
                                 finish(request);
                             } else {
                                 retry_or_fail(request, failure);
                             }
                         });
}

auto completions::cancel_at_runner(const active_ptr& request) -> void {
    if (!request->route_) {
        return;
    }
    // Best effort: a runner also cancels the request when its connection
    // closes.
    base_.platform_.fetch(
        {.method_ = "POST",
         .url_ = "http://" + request->route_->address_ + "/v1/cancel",
         .headers_ = {{"Content-Type", "application/json"}},
         .body_ = protocol::cancel_body(request->id(), request->attempts_),
         .total_timeout_ = cancel_timeout},
        [](const result<transport::http_reply>&) {});
}

auto completions::abort_silent_attempts() -> void {
    const auto now = base_.clock_.now();
    auto by_connection = std::unordered_map<std::uint64_t, active_ptr>{};
    for (const auto& [id, request] : open_) {
        if (!request->running_) {
            continue;
        }
        by_connection.emplace(request->connection_, request);
        const auto progress = request->answer_->progress_.load();
        if (progress != request->seen_progress_) {
            request->seen_progress_ = progress;
            monitor_.on_progress(request->connection_, id, now);
        }
        monitor_.on_back_pressure(request->connection_, id,
                                  request->answer_->back_pressured_.load(),
                                  now);
    }
    for (const auto& action : monitor_.tick(now)) {
        const auto* silent = std::get_if<coordination::request_action>(&action);
        if (silent == nullptr) {
            continue;
        }
        const auto found = by_connection.find(silent->connection_);
        if (found == by_connection.end()) {
            continue;
        }
        const auto& request = found->second;
        metrics_.silent_.add();
        request->abort_error_ =
            error{error_code::timeout, step::attempt, request->route_->address_,
                  "runner connection made no progress within the time-out",
                  run_status::unknown};
        base_.engines_.cancel(request->answer_->call_.load());
    }
}

} // namespace basilstream::daemon
