#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <utility>

// One sending of a request to a server: the answer, its failure, and whether
// another sending follows.

namespace basilstream::daemon::internal {
namespace {

// Output that a client has not taken before its runner is no longer read, and
// below which reading resumes.
constexpr auto pause_above = std::size_t{64} * 1024;
constexpr auto resume_below = std::size_t{16} * 1024;
// Largest answer that is collected before it is passed on.
constexpr auto largest_collected = std::size_t{16} << 20U;
// Runners know ten levels of urgency; each rank among a service's routes takes
// two of them.
constexpr auto first_urgency = 1;
constexpr auto urgency_step = 2;
constexpr auto last_urgency = 9;
// A server that showed a byte of any answer within this time is not silent.
constexpr auto sign_of_life = milliseconds{600};
// A runner's 5xx answer counts as such from here on.
constexpr auto first_server_error = 500;

auto failure_code(transport::call_failure failure) -> error_code {
    switch (failure) {
    case transport::call_failure::not_sent:
        return error_code::unavailable;
    case transport::call_failure::incomplete:
        return error_code::incomplete_answer;
    default:
        return error_code::outcome_unknown;
    }
}

} // namespace

auto exchange::run_name() const -> std::string {
    return std::to_string(call_number_);
}

auto exchange::begin_run(time_point now) -> result<void> {
    call_number_ = ++parts_.next_call_;
    const auto known = parts_.backends_.find(backend_);
    const auto boot =
        known == parts_.backends_.end() ? 0 : known->second.started_at_;
    if (!parts_.marks_.on_dispatch(
            {fingerprint_, run_name(), backend_, std::to_string(boot)}, now)) {
        return tl::unexpected(parts_.marks_.refusal(fingerprint_, now));
    }
    return {};
}

auto exchange::send_to(const coordination::route& chosen) -> void {
    const auto now = parts_.context_.clock_.now();
    backend_ = chosen.runner_;
    if (const auto allowed = begin_run(now); !allowed) {
        backend_.clear();
        retry_verdict_ = "quarantined";
        give_up(allowed.error());
        return;
    }
    const auto urgency =
        std::min(first_urgency + urgency_step * coordination::urgency_rank(
                                                    *config_, route_),
                 last_urgency);
    auto attempt = relay_attempt{.backend_id_ = chosen.runner_,
                                 .remaining_time_ = time_left(now),
                                 .urgency_ = urgency,
                                 .resume_after_ = request_.last_event_};
    if (events_.last_id()) {
        attempt.resume_after_ = events_.last_id();
    }
    const auto& message = request_.message_;
    const auto bytes = transport::write_request(
        message.method_, message.target_,
        parts_.dialect_.request_headers(request_, attempt), message.body_);
    load_seen_ = chosen.load_;
    mode_ = answer_mode::none;
    call_ = parts_.pool_.send(chosen.address_, bytes, message.method_ == "HEAD",
                              parts_.connection_limit(service_), *this);
    if (!call_) {
        parts_.marks_.on_finish(run_name(), false, now);
        // As a full server: another one may have a connection left.
        excluded_.push_back(std::exchange(backend_, {}));
        give_up(error{error_code::overloaded, step::routing, chosen.runner_,
                      "every connection to the server is in use",
                      runs_ > 0 ? run_status::unknown : run_status::not_run});
        return;
    }
    ++sends_;
    parts_.router_.begin(backend_);
    watch_call();
}

auto exchange::watch_call() -> void {
    parts_.silence_.close(call_number_);
    using coordination::connection_kind;
    using coordination::repeatability;
    const auto now = parts_.context_.clock_.now();
    const auto streamed = route_.kind_ == coordination::request_kind::streaming;
    const auto again = !route_.repeatable() ? repeatability::once
                       : streamed           ? repeatability::resumable
                                            : repeatability::repeatable;
    parts_.watched_[call_number_] = this;
    parts_.silence_.open(call_number_,
                         request_.model_.empty() ? connection_kind::service
                                                 : connection_kind::runner,
                         backend_, now);
    parts_.silence_.begin(call_number_, request_.id_, again, now);
    parts_.silence_.on_sent(call_number_, request_.id_, now);
}

auto exchange::on_silence() -> void {
    const auto self = shared_from_this();
    const auto now = parts_.context_.clock_.now();
    const auto heard = parts_.last_bytes_.find(backend_);
    const auto alive =
        heard != parts_.last_bytes_.end() && now - heard->second < sign_of_life;
    if (done_ || !call_) {
        return;
    }
    // A server that answers others has this request in its queue. One that
    // answers nobody is waited for if no other may have the request, and if its
    // answer has begun: should all others refuse, it could only be broken off.
    if (alive || stream_begun_ || !may_run_again(runs_ + 1)) {
        watch_call();
        return;
    }
    const auto cause = error{error_code::timeout, step::attempt, backend_,
                             "the server has gone silent", run_status::unknown};
    const auto decision = decide_retry(cause);
    if (!decision.retry_) {
        watch_call();
        return;
    }
    std::exchange(call_, nullptr)->cancel();
    parts_.marks_.on_lost(run_name(), now);
    end_attempt();
    ++runs_;
    parts_.router_.on_failure(backend_, now);
    send_again(cause, decision);
}

auto exchange::on_answer_head(const transport::answer_head& head) -> bool {
    verdict_ = parts_.dialect_.classify_answer(head, request_.id_);
    parts_.last_bytes_[backend_] = parts_.context_.clock_.now();
    if (verdict_ == answer_verdict::other_request) {
        parts_.context_.log_.warning(
            "answer to another request dropped",
            {{"request_id", request_.id_}, {"backend", backend_}});
        return false;
    }
    if (verdict_ != answer_verdict::answer) {
        mode_ = answer_mode::not_run;
        return true;
    }
    head_ = head;
    body_.clear();
    has_fallback_ = false;
    const auto streamed =
        route_.kind_ == coordination::request_kind::streaming &&
        head.status_ / 100 == 2;
    mode_ = streamed ? answer_mode::streamed : answer_mode::collected;
    if (streamed && !std::exchange(stream_begun_, true) && client_ != nullptr) {
        client_->begin_stream(head.status_,
                              parts_.dialect_.answer_headers(head));
    }
    return true;
}

auto exchange::on_answer_body(std::string_view piece) -> void {
    if (mode_ == answer_mode::collected) {
        if (body_.size() + piece.size() > largest_collected) {
            std::exchange(call_, nullptr)->cancel();
            end_attempt();
            attempt_failed(error{error_code::payload_too_large, step::attempt,
                                 backend_, "the answer is too large",
                                 run_status::unknown});
            return;
        }
        body_.append(piece);
        return;
    }
    const auto now = parts_.context_.clock_.now();
    parts_.last_bytes_[backend_] = now;
    parts_.silence_.on_progress(call_number_, request_.id_, now);
    if (mode_ != answer_mode::streamed || client_ == nullptr) {
        return;
    }
    const auto first = events_.events() == 0;
    client_->write_piece(events_.feed(piece));
    if (first && events_.events() > 0) {
        parts_.counters_.first_byte_.record(parts_.context_.clock_.now() -
                                            arrived_);
    }
    if (!paused_ && client_->buffered() > pause_above) {
        paused_ = true;
        call_->set_reading(false);
        parts_.silence_.on_held_back(call_number_, request_.id_, true,
                                     parts_.context_.clock_.now());
    }
}

auto exchange::on_client_drained() -> void {
    if (paused_ && call_ && client_->buffered() < resume_below) {
        paused_ = false;
        call_->set_reading(true);
        parts_.silence_.on_held_back(call_number_, request_.id_, false,
                                     parts_.context_.clock_.now());
    }
}

auto exchange::end_attempt() -> void {
    if (!backend_.empty()) {
        parts_.router_.end(backend_);
    }
    // Without effect if the end of the run is known to be another.
    parts_.marks_.on_finish(run_name(), false, parts_.context_.clock_.now());
    call_.reset();
    paused_ = false;
    parts_.silence_.close(call_number_);
    parts_.watched_.erase(call_number_);
}

auto exchange::on_answer_end() -> void {
    const auto self = shared_from_this();
    parts_.marks_.on_finish(run_name(), mode_ != answer_mode::not_run,
                            parts_.context_.clock_.now());
    end_attempt();
    if (mode_ == answer_mode::not_run) {
        const auto full = verdict_ == answer_verdict::refused;
        attempt_failed(
            error{full ? error_code::overloaded : error_code::unavailable,
                  step::attempt, backend_,
                  full ? "refused by the server"
                       : "another server or not in place there",
                  run_status::not_run});
        return;
    }
    ++runs_;
    parts_.router_.on_success(backend_);
    if (mode_ == answer_mode::collected && stream_begun_) {
        // It cannot follow the events that the client has.
        attempt_failed(error{error_code::backend_error, step::attempt, backend_,
                             "the stream was not continued", run_status::ran});
        return;
    }
    if (mode_ == answer_mode::collected) {
        if (!retry_server_error()) {
            deliver_collected();
        }
        return;
    }
    if (client_ != nullptr) {
        client_->write_piece(events_.take_partial());
        client_->end_stream();
    }
    parts_.counters_.answered_.add();
    log_answer(head_.status_);
    finish();
}

auto exchange::retry_server_error() -> bool {
    const auto repeatable =
        head_.status_ >= first_server_error &&
        route_.kind_ == coordination::request_kind::idempotent &&
        runs_ < route_.attempts_ && client_ != nullptr;
    if (!repeatable) {
        return false;
    }
    const auto now = parts_.context_.clock_.now();
    const auto decision = parts_.retries_of(service_).decide(
        {.error_ = error{error_code::backend_error, step::attempt, backend_,
                         "the server failed", run_status::ran},
         .runner_ = backend_,
         .attempts_ = sends_,
         .idempotent_ = true,
         .deadline_ = deadline_,
         .failed_runners_ = excluded_},
        now);
    if (!decision.retry_) {
        return false;
    }
    has_fallback_ = true;
    excluded_ = decision.excluded_;
    retry_later(decision.not_before_);
    return true;
}

auto exchange::on_call_failed(transport::call_failure failure) -> void {
    const auto self = shared_from_this();
    const auto sent = failure != transport::call_failure::not_sent;
    if (sent) {
        parts_.marks_.on_lost(run_name(), parts_.context_.clock_.now());
    }
    end_attempt();
    runs_ += sent ? 1 : 0;
    parts_.router_.on_failure(backend_, parts_.context_.clock_.now());
    attempt_failed(
        error{failure_code(failure), step::attempt, backend_,
              std::string{transport::call_failure_names.name_of(failure)},
              sent ? run_status::unknown : run_status::not_run});
}

auto exchange::may_run_again(int runs) const -> bool {
    const auto continuable =
        !stream_begun_ || events_.events() == 0 || events_.last_id();
    return runs == 0 ||
           (route_.repeatable() && runs < route_.attempts_ && continuable);
}

auto exchange::attempt_failed(error cause) -> void {
    // An earlier attempt may have run even if this one has not.
    if (runs_ > 0) {
        cause.run_ = run_status::unknown;
    }
    if (client_ == nullptr) {
        finish();
        return;
    }
    retry_or_give_up(std::move(cause));
}

auto exchange::retry_or_give_up(error cause) -> void {
    if (!may_run_again(runs_)) {
        retry_verdict_ = "not_repeatable";
        give_up(cause);
        return;
    }
    const auto decision = decide_retry(cause);
    if (!decision.retry_) {
        give_up(*decision.error_);
        return;
    }
    send_again(cause, decision);
}

auto exchange::decide_retry(const error& cause)
    -> coordination::retry_decision {
    const auto now = parts_.context_.clock_.now();
    auto decision =
        parts_.retries_of(service_).decide({.error_ = cause,
                                            .runner_ = backend_,
                                            .attempts_ = sends_,
                                            .idempotent_ = route_.repeatable(),
                                            .delivered_ = events_.events(),
                                            .resumable_ = route_.resumable_,
                                            .deadline_ = deadline_,
                                            .failed_runners_ = excluded_},
                                           now);
    retry_verdict_ =
        coordination::give_up_reason_names.name_of(decision.reason_);
    return decision;
}

auto exchange::send_again(const error& cause,
                          const coordination::retry_decision& decision)
    -> void {
    parts_.context_.log_.info("request is sent again",
                              {{"request_id", request_.id_},
                               {"backend", backend_},
                               {"cause", cause.detail_},
                               {"attempts", std::to_string(sends_)}});
    excluded_ = decision.excluded_;
    retry_later(decision.not_before_);
}

auto exchange::retry_later(time_point not_before) -> void {
    parts_.counters_.retries_.add();
    if (stream_begun_) {
        parts_.counters_.resumed_.add();
        (void)events_.take_partial();
        events_.skip_through(std::max(events_.last_id().value_or(0),
                                      request_.last_event_.value_or(0)));
    }
    const auto delay = std::chrono::ceil<milliseconds>(
        not_before - parts_.context_.clock_.now());
    const auto ticket = ++retry_ticket_;
    const auto self = shared_from_this();
    parts_.context_.thread_.after(
        std::max(delay, milliseconds{0}), [self, ticket] {
            if (!self->done_ && self->retry_ticket_ == ticket && !self->call_) {
                self->dispatch();
            }
        });
}

} // namespace basilstream::daemon::internal
