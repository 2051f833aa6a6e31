#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <utility>

// Single attempts of a request on a backend server: sending, failure, and the
// decision whether to retry. Answers are handled in exchange_answers.cpp.

namespace basilstream::daemon::internal {
namespace {

// A backend server that sent a byte of any answer within this time is not
// considered silent.
constexpr auto backend_activity_window = milliseconds{600};

// Length of the list of prompt parts in a log line.
constexpr auto max_parts_text = std::size_t{260};

auto describe_parts(const std::vector<coordination::prompt_part_id>& parts)
    -> std::string {
    auto text = std::string{};
    for (const auto part : parts) {
        if (text.size() >= max_parts_text) {
            break;
        }
        text += (text.empty() ? "" : " ") + coordination::format_part(part);
    }
    return text;
}

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

auto exchange::quarantine_run_id() const -> std::string {
    return state_.run_id_prefix_ + std::to_string(call_number_);
}

auto exchange::refuse_held_part() -> bool {
    const auto now = state_.context_.clock_.now();
    const auto held = state_.prompts_.find_held(shared_parts_, now);
    if (!held) {
        return false;
    }
    state_.prompts_.on_refused(*held, now);
    retry_outcome_ = "quarantined";
    give_up(
        {.code_ = error_code::quarantined,
         .step_ = step::admission,
         .peer_ = {},
         .detail_ = "a part of the prompt has crashed the backend servers "
                    "that ran it; part " +
                    coordination::format_part(*held),
         .run_ = possible_runs_ > 0 ? run_status::unknown : run_status::not_run,
         .retry_after_ = std::chrono::ceil<milliseconds>(
             state_.prompts_.held_for(*held, now))});
    return true;
}

auto exchange::register_run(time_point now) -> result<void> {
    call_number_ = ++state_.last_call_number_;
    attempt_started_ = now;
    if (!state_.quarantine_.on_dispatch(
            {fingerprint_, quarantine_run_id(), backend_,
             boot_id_of(state_.start_time(backend_))},
            now)) {
        return tl::unexpected(
            state_.quarantine_.make_quarantined_error(fingerprint_, now));
    }
    state_.prompts_.on_dispatch({quarantine_run_id(), backend_,
                                 boot_id_of(state_.start_time(backend_)),
                                 shared_parts_},
                                now);
    return {};
}

auto exchange::send_attempt(const coordination::route& chosen) -> void {
    const auto now = state_.context_.clock_.now();
    if (refuse_held_part()) {
        return;
    }
    backend_ = chosen.runner_;
    helper_.clear();
    slot_outcome_ = coordination::slot_outcome::ended;
    attempt_version_ = state_.software_version(backend_);
    if (const auto allowed = register_run(now); !allowed) {
        backend_.clear();
        retry_outcome_ = "quarantined";
        give_up(allowed.error());
        return;
    }
    auto attempt =
        relay_attempt{.backend_id_ = chosen.runner_,
                      .remaining_time_ = time_left(now),
                      .urgency_ = urgency(now),
                      .resume_after_ = request_.last_event_,
                      .authenticates_callers_ = config_->requires_keys_,
                      .organisation_ = caller_.organisation_};
    if (events_.last_id()) {
        attempt.resume_after_ = events_.last_id();
    }
    const auto& message = request_.message_;
    const auto bytes = transport::write_request(
        message.method_, message.target_,
        state_.dialect_.request_headers(request_, attempt), message.body_);
    chosen_backend_load_ = chosen.load_;
    predict_first_event(chosen);
    mode_ = answer_mode::none;
    call_ = state_.pool_.send(chosen.address_, bytes, message.method_ == "HEAD",
                              state_.connection_limit(service_), *this,
                              request_.id_);
    if (!call_) {
        state_.quarantine_.on_finish(quarantine_run_id(), false, now);
        state_.prompts_.on_finish(quarantine_run_id(), false, now);
        // Excluded as if the backend server were full: another one may have a
        // free connection.
        excluded_.push_back(std::exchange(backend_, {}));
        give_up(error{
            error_code::overloaded, step::routing, chosen.runner_,
            "this daemon's connections to the backend server are all in use",
            possible_runs_ > 0 ? run_status::unknown : run_status::not_run});
        return;
    }
    state_.context_.notices_.on_sent(backend_,
                                     attempts_sent_ == 0
                                         ? server_call::first_attempt
                                         : server_call::further_attempt,
                                     request_.id_);
    if (service_rank_ && attempts_sent_ == 0) {
        state_.shedding_.demand_of(service_).on_sent(demanded_rank_, now);
    }
    ++attempts_sent_;
    nothing_sent_ = false;
    state_.reachability_of(service_).on_started(call_number_, backend_,
                                                !call_->established(), now);
    state_.router_.start_attempt(backend_);
    state_.speeds_.on_attempt(backend_);
    state_.context_.permits_.on_sent(backend_);
    watch_queued_attempt(now);
    monitor_call();
}

auto exchange::monitor_call() -> void {
    state_.call_monitor_.close(call_number_);
    using coordination::connection_kind;
    using coordination::repeatability;
    const auto now = state_.context_.clock_.now();
    const auto streamed = route_.kind_ == coordination::request_kind::streaming;
    const auto repeat_kind = !route_.is_repeatable()
                                 ? repeatability::not_repeatable
                             : streamed ? repeatability::resumable
                                        : repeatability::repeatable;
    state_.monitored_calls_[call_number_] = this;
    state_.call_monitor_.open(call_number_,
                              request_.model_.empty() ? connection_kind::service
                                                      : connection_kind::runner,
                              backend_, now);
    state_.call_monitor_.begin_request(call_number_, request_.id_, repeat_kind,
                                       now);
    state_.call_monitor_.on_sent(call_number_, request_.id_, now);
}

auto exchange::backend_active(time_point now) const -> bool {
    const auto last_received = state_.last_received_at_.find(backend_);
    return last_received != state_.last_received_at_.end() &&
           now - last_received->second < backend_activity_window;
}

auto exchange::cancel_attempt() -> void {
    const auto now = state_.context_.clock_.now();
    std::exchange(call_, nullptr)->cancel();
    if (!awaits_memory_ && !backend_active(now)) {
        state_.quarantine_.on_cancelled(quarantine_run_id(), now);
        state_.prompts_.on_uncertain_end(quarantine_run_id(), false, now);
    }
    end_attempt();
}

auto exchange::on_backend_silent() -> void {
    const auto self = shared_from_this();
    const auto now = state_.context_.clock_.now();
    if (done_ || !call_) {
        return;
    }
    // Keep waiting if the backend server answers other requests, as this one is
    // then queued there; if the request may not be sent again; or if the stream
    // to the client has started, as it would have to be aborted if all other
    // backend servers refused the request.
    if (backend_active(now) || stream_started_ ||
        !may_run_again(possible_runs_ + 1)) {
        monitor_call();
        return;
    }
    const auto cause =
        error{error_code::timeout, step::attempt, backend_,
              "no data from the backend server within the silence time-out",
              run_status::unknown};
    const auto decision = decide_retry(cause);
    if (!decision.retry_) {
        monitor_call();
        return;
    }
    cancel_attempt();
    ++possible_runs_;
    state_.router_.on_failure(backend_, now);
    start_retry(cause, decision);
}

auto exchange::end_attempt() -> void {
    if (!backend_.empty()) {
        state_.router_.finish_attempt(backend_);
    }
    pass_on_sample(gaps_.finish());
    if (service_rank_ && helper_.empty() &&
        slot_outcome_ != coordination::slot_outcome::rejected) {
        state_.shedding_.credit_of(routing_key(service_, request_.model_))
            .on_ended();
    }
    // Has no effect if the end of the run was already reported.
    const auto now = state_.context_.clock_.now();
    state_.quarantine_.on_finish(quarantine_run_id(), false, now);
    state_.prompts_.on_finish(quarantine_run_id(), false, now);
    state_.reachability_of(service_).on_ended(call_number_, now);
    call_.reset();
    paused_ = false;
    awaits_memory_ = false;
    preferred_ = false;
    state_.call_monitor_.close(call_number_);
    state_.monitored_calls_.erase(call_number_);
    slot_.give_back(slot_outcome_);
}

auto exchange::on_call_failed(transport::call_failure failure) -> void {
    const auto self = shared_from_this();
    if (!helper_.empty()) {
        on_forwarding_failed(failure);
        return;
    }
    const auto sent = failure != transport::call_failure::not_sent;
    nothing_sent_ = !sent;
    const auto now = state_.context_.clock_.now();
    if (!sent) {
        log_failed_connection();
    } else {
        log_lost_attempt(failure);
        state_.quarantine_.on_connection_lost(quarantine_run_id(), now);
        state_.prompts_.on_connection_lost(quarantine_run_id(), now);
    }
    if (mode_ == answer_mode::none) {
        state_.reachability_of(service_).on_lost(call_number_, now);
    }
    end_attempt();
    possible_runs_ += sent ? 1 : 0;
    state_.router_.on_failure(backend_, now);
    on_attempt_failed(
        error{failure_code(failure), step::attempt, backend_,
              std::string{transport::call_failure_names.name_of(failure)},
              sent ? run_status::unknown : run_status::not_run});
}

auto exchange::log_failed_connection() const -> void {
    const auto waited = std::chrono::duration_cast<milliseconds>(
        state_.context_.clock_.now() - attempt_started_);
    const auto heard = state_.last_received_at_.find(backend_);
    const auto silence =
        heard == state_.last_received_at_.end()
            ? std::string{"never"}
            : std::to_string(std::chrono::duration_cast<milliseconds>(
                                 state_.context_.clock_.now() - heard->second)
                                 .count());
    state_.context_.log_.info("connection to backend server failed",
                              {{"request_id", request_.id_},
                               {"service", service_},
                               {"backend", backend_},
                               {"waited_ms", std::to_string(waited.count())},
                               {"heard_ms_ago", silence}});
}

auto exchange::log_lost_attempt(transport::call_failure failure) const -> void {
    const auto ran = std::chrono::duration_cast<milliseconds>(
        state_.context_.clock_.now() - attempt_started_);
    state_.context_.log_.info(
        "attempt ended without an answer",
        {{"request_id", request_.id_},
         {"fingerprint", fingerprint_.to_string()},
         {"backend", backend_},
         {"backend_start", std::to_string(state_.start_time(backend_))},
         {"failure", transport::call_failure_names.name_of(failure)},
         {"connection",
          call_ && call_->closed_by()
              ? transport::close_reason_names.name_of(*call_->closed_by())
              : std::string_view{"closed_here"}},
         {"framing",
          mode_ == answer_mode::none
              ? std::string_view{"no_head"}
              : transport::answer_framing_names.name_of(head_.framing_)},
         {"partial_bytes", std::to_string(events_.partial_bytes())},
         {"events", std::to_string(events_.events())},
         {"prompt_parts", describe_parts(shared_parts_)},
         {"ran_ms", std::to_string(ran.count())}});
}

auto exchange::may_run_again(int possible_runs) const -> bool {
    const auto continuable =
        !stream_started_ || events_.events() == 0 || events_.last_id();
    return possible_runs == 0 ||
           (route_.is_repeatable() && possible_runs < max_runs_ && continuable);
}

auto exchange::on_attempt_failed(error cause) -> void {
    // An earlier attempt may have run even if this one did not.
    if (possible_runs_ > 0) {
        cause.run_ = run_status::unknown;
    }
    if (client_ == nullptr) {
        finish();
        return;
    }
    retry_or_give_up(std::move(cause));
}

auto exchange::retry_or_give_up(error cause) -> void {
    if (!may_run_again(possible_runs_)) {
        retry_outcome_ = "not_repeatable";
        give_up(cause);
        return;
    }
    if (possible_runs_ == 0) {
        // A retry that can only be refused would be charged to the budget.
        const auto now = state_.context_.clock_.now();
        const auto key = routing_key(service_, request_.model_);
        const auto request = make_route_request(key);
        const auto pause_end = state_.router_.first_pause_end(request, now);
        if (pause_end && *pause_end - now > longest_wait(now) &&
            !state_.router_.choose(request, now) &&
            !state_.router_.choose_rate_limited(request, now)) {
            refuse_until(*pause_end);
            return;
        }
    }
    if (dispatch_after_rejection(cause)) {
        return;
    }
    const auto decision = decide_retry(cause);
    if (!decision.retry_) {
        give_up(*decision.error_);
        return;
    }
    start_retry(cause, decision);
}

auto exchange::decide_retry(const error& cause)
    -> coordination::retry_decision {
    const auto now = state_.context_.clock_.now();
    auto decision = state_.retry_policy_of(service_).decide(
        {.error_ = cause,
         .runner_ = backend_,
         .attempts_ = attempts_sent_,
         .idempotent_ = route_.is_repeatable(),
         .delivered_ = events_.events(),
         .resumable_ = route_.resumable_,
         .nothing_sent_ = nothing_sent_,
         .deadline_ = deadline_,
         .failed_runners_ = excluded_},
        now);
    retry_outcome_ =
        coordination::give_up_reason_names.name_of(decision.reason_);
    return decision;
}

auto exchange::start_retry(const error& cause,
                           const coordination::retry_decision& decision)
    -> void {
    state_.context_.log_.info("retrying request",
                              {{"request_id", request_.id_},
                               {"fingerprint", fingerprint_.to_string()},
                               {"backend", backend_},
                               {"version", state_.software_version(backend_)},
                               {"events", std::to_string(events_.events())},
                               {"cause", cause.detail_},
                               {"attempts", std::to_string(attempts_sent_)}});
    excluded_ = decision.excluded_;
    schedule_retry(decision.not_before_);
}

auto exchange::schedule_retry(time_point not_before) -> void {
    state_.counters_.retries_.add();
    if (stream_started_) {
        state_.counters_.resumed_.add();
        (void)events_.take_partial();
        events_.skip_through(std::max(events_.last_id().value_or(0),
                                      request_.last_event_.value_or(0)));
    }
    const auto delay = std::chrono::ceil<milliseconds>(
        not_before - state_.context_.clock_.now());
    dispatch_after(std::max(delay, milliseconds{0}));
}

auto exchange::dispatch_after(milliseconds delay) -> void {
    const auto generation = ++dispatch_generation_;
    const auto self = shared_from_this();
    state_.context_.thread_.after(delay, [self, generation] {
        if (!self->done_ && self->dispatch_generation_ == generation &&
            !self->call_) {
            self->dispatch();
        }
    });
}

} // namespace basilstream::daemon::internal
