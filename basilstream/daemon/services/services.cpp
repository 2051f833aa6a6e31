#include "basilstream/daemon/services/services.hpp"

#include <algorithm>

#include "basilstream/daemon/fleet/fleet.hpp"
#include "basilstream/protocol/caller_api/caller_api.hpp"

namespace basilstream::daemon {
namespace {

using coordination::admission_outcome;
using coordination::attempt_outcome;

constexpr auto connect_timeout = milliseconds{1000};

} // namespace

struct services::active {
    service_request request_;
    time_point deadline_;
    std::optional<coordination::route> route_;
    int attempts_ = 0;
    std::vector<std::string> failed_servers_;
    // True once a claim of the idempotency key was requested.
    bool claim_requested_ = false;
    // True once the claim was granted.
    bool permitted_ = false;
    bool caller_disconnected_ = false;
    bool ended_ = false;
    transport::call_id call_ = 0;
    time_point claim_started_at_;
    span claim_span_;
    span attempt_span_;

    [[nodiscard]] auto id() const -> const std::string& {
        return request_.request_id_;
    }
};

services::services(const context& base, const request_settings& settings,
                   traffic_policy policy, idempotency_claims& claims,
                   telemetry& metrics)
    : base_{base}, settings_{settings}, policy_{std::move(policy)},
      claims_{claims}, metrics_{metrics} {}

services::~services() = default;

auto services::submit(service_request request) -> void {
    metrics_.requests_.add();
    auto entry = std::make_shared<active>();
    entry->deadline_ = request.arrived_ + request.deadline_;
    entry->request_ = std::move(request);
    open_.emplace(entry->id(), entry);
    policy_.retries_.on_request(base_.clock_.now());
    entry->request_.caller_->on_closed(
        [this, weak = std::weak_ptr<active>{entry}] {
            base_.on_control([this, weak] {
                if (const auto disconnected = weak.lock()) {
                    on_caller_disconnected(disconnected);
                }
            });
        });
    if (entry->request_.idempotent_ ||
        entry->request_.idempotency_key_.empty()) {
        enqueue(entry);
    } else {
        claim(entry);
    }
}

auto services::claim(const active_ptr& request) -> void {
    request->claim_requested_ = true;
    request->claim_started_at_ = base_.clock_.now();
    request->claim_span_ = request->request_.span_.child("claim");
    claims_.claim(
        request->request_,
        {.permit_ =
             [this, request] {
                 request->permitted_ = true;
                 request->claim_span_.finish();
                 metrics_.claim_.record(base_.clock_.now() -
                                        request->claim_started_at_);
                 enqueue(request);
             },
         .refuse_ =
             [this, request](error failure) {
                 request->claim_span_.finish();
                 fail(request, std::move(failure));
             },
         .replay_ =
             [this, request](int status, const std::string& content_type,
                             std::string body) {
                 request->claim_span_.finish();
                 answer(request, status, content_type, std::move(body));
             }});
}

auto services::enqueue(const active_ptr& request) -> void {
    const auto event = policy_.admission_.submit(
        {.request_id_ = request->id(),
         .organisation_ = request->request_.organisation_,
         .model_ = service_route_name(request->request_.service_),
         .priority_ = request->request_.priority_,
         .first_token_deadline_ = request->deadline_,
         .deadline_ = request->deadline_,
         .excluded_ = request->failed_servers_},
        base_.clock_.now());
    on_admission_event(event);
}

auto services::on_admission_event(const coordination::admission_event& event)
    -> void {
    const auto found = open_.find(event.request_id_);
    if (found == open_.end()) {
        return;
    }
    const auto request = found->second;
    if (event.outcome_ == admission_outcome::admitted) {
        metrics_.queued_.record(event.queue_time_);
        request->route_ = event.route_;
        dispatch(request);
    } else if (event.outcome_ == admission_outcome::refused) {
        auto refusal = *event.error_;
        if (request->request_.idempotent_ && request->attempts_ > 0) {
            refusal.run_ = run_status::unknown;
        }
        fail(request, std::move(refusal));
    }
}

auto services::dispatch(const active_ptr& request) -> void {
    const auto now = base_.clock_.now();
    const auto& params = request->request_;
    const auto& route = *request->route_;
    ++request->attempts_;
    metrics_.attempts_.add();
    request->attempt_span_ = params.span_.child("attempt");
    request->attempt_span_.tag("backend_server", route.runner_);
    auto call = transport::http_call{
        .method_ = params.method_,
        .url_ = "http://" + route.address_ + params.target_,
        .headers_ = params.headers_,
        .body_ = params.body_,
        .connect_timeout_ = connect_timeout,
        .total_timeout_ = std::max(
            std::chrono::duration_cast<milliseconds>(request->deadline_ - now),
            milliseconds{1}),
        // A request that is not idempotent must not reuse a pooled connection:
        // if that was already closed, the client library would send it again.
        .fresh_connection_ = !params.idempotent_,
        .step_ = step::service};
    call.headers_.emplace_back("X-Request-Id", params.request_id_);
    if (!params.idempotency_key_.empty()) {
        call.headers_.emplace_back("Idempotency-Key", params.idempotency_key_);
    }
    if (auto parent = request->attempt_span_.traceparent(); !parent.empty()) {
        call.headers_.emplace_back("traceparent", std::move(parent));
    }
    request->call_ = base_.engines_.fetch(
        std::move(call), [this, request](result<transport::http_reply> reply) {
            base_.on_control([this, request, reply = std::move(reply)] {
                on_reply(request, reply);
            });
        });
}

auto services::on_reply(const active_ptr& request,
                        result<transport::http_reply> reply) -> void {
    request->attempt_span_.finish();
    policy_.admission_.on_release({.request_id_ = request->id(),
                                   .outcome_ = reply
                                                   ? attempt_outcome::completed
                                                   : attempt_outcome::failed},
                                  base_.clock_.now());
    policy_.schedule_poll_();
    if (!reply) {
        policy_.router_.on_failure(request->route_->runner_,
                                   base_.clock_.now());
        on_failed_attempt(request, reply.error());
        return;
    }
    policy_.router_.on_success(request->route_->runner_);
    const auto found = reply->headers_.find("content-type");
    const auto content_type = found == reply->headers_.end()
                                  ? std::string{"application/octet-stream"}
                                  : found->second;
    if (request->permitted_) {
        claims_.finish(request->id(), reply->status_, content_type,
                       reply->body_);
    }
    answer(request, reply->status_, content_type, std::move(reply->body_));
}

auto services::on_failed_attempt(const active_ptr& request, error failure)
    -> void {
    const auto now = base_.clock_.now();
    const auto server = request->route_->runner_;
    request->route_.reset();
    if (request->caller_disconnected_ && !request->permitted_) {
        finish(request);
        return;
    }
    auto decision =
        policy_.retries_.decide({.error_ = failure,
                                 .runner_ = server,
                                 .attempts_ = request->attempts_,
                                 .idempotent_ = request->request_.idempotent_,
                                 .deadline_ = request->deadline_,
                                 .failed_runners_ = request->failed_servers_},
                                now);
    if (decision.retry_) {
        metrics_.retries_.add();
        request->failed_servers_ = std::move(decision.excluded_);
        delayed_.emplace(decision.not_before_, request);
        return;
    }
    failure = std::move(*decision.error_);
    if (!request->request_.idempotent_ && failure.run_ == run_status::unknown) {
        failure.code_ = error_code::outcome_unknown;
        failure.retry_after_.reset();
    }
    fail(request, std::move(failure));
}

auto services::answer(const active_ptr& request, int status,
                      const std::string& content_type, std::string body)
    -> void {
    metrics_.served_.add();
    request->request_.caller_->respond(
        status,
        {{"Content-Type", content_type}, {"X-Request-Id", request->id()}},
        std::move(body));
    finish(request);
}

auto services::fail(const active_ptr& request, error failure) -> void {
    if (request->permitted_) {
        if (failure.run_ == run_status::not_run) {
            claims_.abandon(request->id());
        } else {
            claims_.mark_outcome_unknown(request->id());
        }
    }
    metrics_.count_failure(failure.code_);
    base_.log_.failure(transport::log_level::info, "request failed", failure,
                       request->id());
    request->request_.span_.tag("error",
                                error_code_names.name_of(failure.code_));
    auto headers = transport::header_list{{"Content-Type", "application/json"},
                                          {"X-Request-Id", request->id()}};
    if (auto wait = protocol::retry_after_header(failure); !wait.empty()) {
        headers.emplace_back("Retry-After", std::move(wait));
    }
    request->request_.caller_->respond(
        http_status(failure.code_), std::move(headers),
        protocol::error_body(failure, request->id()));
    finish(request);
}

auto services::on_caller_disconnected(const active_ptr& request) -> void {
    if (request->ended_ || request->caller_disconnected_) {
        return;
    }
    request->caller_disconnected_ = true;
    metrics_.cancelled_.add();
    if (request->claim_requested_ && !claims_.cancel(request->id())) {
        // Already permitted: the request continues, and its answer is stored
        // for a retry by the caller with the same key.
        return;
    }
    if (!request->route_) {
        policy_.admission_.cancel(request->id());
        finish(request);
    } else if (request->request_.idempotent_) {
        base_.engines_.cancel(request->call_);
    }
}

auto services::finish(const active_ptr& request) -> void {
    request->ended_ = true;
    request->request_.span_.finish();
    open_.erase(request->id());
}

auto services::tick() -> void {
    const auto now = base_.clock_.now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const auto request = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        if (!request->ended_) {
            enqueue(request);
        }
    }
}

} // namespace basilstream::daemon
