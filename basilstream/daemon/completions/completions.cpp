#include "basilstream/daemon/completions/completions.hpp"

#include <algorithm>

namespace basilstream::daemon {
namespace {

using coordination::admission_outcome;
using coordination::attempt_outcome;

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;
constexpr auto status_too_many = 429;
constexpr auto status_unavailable = 503;
// How often deadlines and silent connections are looked for.
constexpr auto check_interval = milliseconds{100};
constexpr auto connect_timeout = milliseconds{1000};
constexpr auto cancel_timeout = milliseconds{1000};

} // namespace

// One request between submit() and its final answer.
struct completions::active {
    completion_request request_;
    std::shared_ptr<answer_stream> answer_;
    coordination::fingerprint fingerprint_;
    std::string version_;
    time_point deadline_;
    time_point first_token_deadline_;
    std::uint32_t attempts_ = 0;
    // Attempts that failed; one refused for lack of a slot did not.
    int failures_ = 0;
    // Routes taken, whether or not they led to an attempt: names runs.
    std::uint32_t runs_ = 0;
    std::vector<std::string> failed_runners_;
    // The attempt at hand.
    std::optional<coordination::route> route_;
    bool running_ = false;
    std::uint64_t seen_progress_ = 0;
    bool first_token_recorded_ = false;
    // Whether some attempt may have run on a runner.
    bool may_have_run_ = false;
    // The attempt is settled; whether its runner crashed is being found out.
    bool checking_crash_ = false;
    bool ended_ = false;
    // Set when the daemon itself broke the attempt off.
    std::optional<error> broken_off_;
    span admission_span_;
    span attempt_span_;

    [[nodiscard]] auto id() const -> const std::string& {
        return request_.request_id_;
    }
    // Names the attempt's connection in the monitor.
    std::uint64_t connection_ = 0;
};

completions::completions(const context& base, const request_settings& settings,
                         traffic_policy policy, runner_directory& runners,
                         isolation_asker ask_isolation, telemetry& measured)
    : base_{base}, settings_{settings}, policy_{policy}, runners_{runners},
      ask_isolation_{std::move(ask_isolation)}, measured_{measured},
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
    measured_.requests_.add();
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
                if (const auto left = weak.lock()) {
                    on_caller_left(left);
                }
            });
        });
    if (policy_.quarantine_.check(entry->fingerprint_, now) ==
        coordination::quarantine_verdict::quarantined) {
        fail(entry, policy_.quarantine_.refusal(entry->fingerprint_, now));
        return;
    }
    enqueue(entry);
}

auto completions::enqueue(const active_ptr& request) -> void {
    const auto& asked = request->request_;
    act_on(policy_.admission_.submit(
        {.request_id_ = request->id(),
         .organisation_ = asked.organisation_,
         .model_ = asked.call_.model_,
         .version_ = request->version_,
         .adapter_ = asked.call_.adapter_,
         .prefix_hash_ = coordination::prefix_hash(asked.call_.prompt_),
         .priority_ = asked.priority_,
         .first_token_deadline_ = request->first_token_deadline_,
         .deadline_ = request->deadline_,
         .max_tokens_ = static_cast<int>(asked.call_.max_tokens_),
         .excluded_ = request->failed_runners_},
        base_.clock_.now()));
}

auto completions::act_on(coordination::admission_event event) -> void {
    const auto found = open_.find(event.request_id_);
    if (found == open_.end()) {
        return;
    }
    const auto request = found->second;
    if (event.outcome_ == admission_outcome::admitted) {
        measured_.queued_.record(event.queued_);
        request->admission_span_.finish();
        prepare_dispatch(request, std::move(*event.route_));
    } else if (event.outcome_ == admission_outcome::refused) {
        request->admission_span_.finish();
        auto refusal = std::move(*event.error_);
        if (request->may_have_run_) {
            // An earlier attempt may have run, whatever this step says.
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
    const auto verdict = policy_.quarantine_.check(request->fingerprint_, now);
    if (verdict == coordination::quarantine_verdict::clear) {
        dispatch(request);
        return;
    }
    if (verdict == coordination::quarantine_verdict::quarantined) {
        give_back(request,
                  policy_.quarantine_.refusal(request->fingerprint_, now));
        return;
    }
    ask_isolation_(run_of(request),
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

auto completions::give_back(const active_ptr& request, error refusal) -> void {
    settle_attempt(request, {}, attempt_outcome::cancelled);
    request->route_.reset();
    if (request->may_have_run_) {
        refusal.run_ = run_status::unknown;
    }
    fail(request, std::move(refusal));
}

// An innocent request that shared a runner with a crashing one waits for its
// turn to run alone, as long as its deadline allows.
auto completions::wait_for_isolation(const active_ptr& request,
                                     const error& refusal) -> void {
    const auto again =
        base_.clock_.now() + refusal.retry_after_.value_or(milliseconds{0});
    if (!refusal.retry_after_ || again >= request->deadline_ ||
        policy_.quarantine_.check(request->fingerprint_, base_.clock_.now()) ==
            coordination::quarantine_verdict::quarantined) {
        give_back(request, refusal);
        return;
    }
    settle_attempt(request, {}, attempt_outcome::cancelled);
    request->route_.reset();
    request->first_token_deadline_ = request->deadline_;
    delayed_.emplace(again, request);
}

auto completions::run_of(const active_ptr& request)
    -> coordination::fingerprint_run {
    return {request->fingerprint_,
            request->id() + "/" + std::to_string(request->runs_),
            request->route_->runner_, request->route_->boot_id_};
}

auto completions::dispatch(const active_ptr& request) -> void {
    const auto now = base_.clock_.now();
    const auto& asked = request->request_;
    const auto& route = *request->route_;
    ++request->attempts_;
    if (!policy_.quarantine_.on_dispatch(run_of(request), now)) {
        give_back(request,
                  policy_.quarantine_.refusal(request->fingerprint_, now));
        return;
    }
    request->running_ = true;
    request->seen_progress_ = request->answer_->progress_.load();
    request->answer_->call_.store(0);
    if (!request->answer_->checker_.start_attempt(request->attempts_)) {
        request->running_ = false;
        settle_attempt(request, {}, attempt_outcome::cancelled);
        fail(request,
             {error_code::incomplete_answer, step::attempt, route.address_,
              "no attempts left", run_status::unknown});
        return;
    }
    measured_.attempts_.add();
    request->attempt_span_ = asked.span_.child("attempt");
    request->attempt_span_.tag("runner", route.runner_);
    request->attempt_span_.tag(
        "reason", coordination::route_reason_names.name_of(route.reason_));
    const auto resume_position = request->answer_->checker_.next_position();
    auto call = transport::http_call{
        .method_ = "POST",
        .url_ = "http://" + route.address_ + "/v1/completions",
        .headers_ = {{"Content-Type", "application/json"},
                     {"X-Request-Id", request->id()}},
        .body_ =
            protocol::completion_body({.model_ = asked.call_.model_,
                                       .adapter_ = asked.call_.adapter_,
                                       .version_ = request->version_,
                                       .prompt_ = asked.call_.prompt_,
                                       .max_tokens_ = asked.call_.max_tokens_,
                                       .priority_ = asked.priority_,
                                       .request_id_ = request->id(),
                                       .attempt_ = request->attempts_,
                                       .resume_position_ = resume_position}),
        .connect_timeout_ = connect_timeout,
        .step_ = step::attempt};
    if (auto parent = request->attempt_span_.traceparent(); !parent.empty()) {
        call.headers_.emplace_back("traceparent", std::move(parent));
    }
    // The monitor watches each attempt as a connection of its own.
    static auto next_connection = std::uint64_t{1};
    request->connection_ = next_connection++;
    monitor_.open(request->connection_, coordination::connection_kind::runner,
                  route.address_, now);
    monitor_.begin(request->connection_, request->id(),
                   coordination::repeatability::resumable, now);
    monitor_.on_sent(request->connection_, request->id(), now);
    request->request_.caller_->on_writable(
        [engines = &base_.engines_,
         answer = std::weak_ptr<answer_stream>{request->answer_}] {
            if (const auto held = answer.lock()) {
                held->held_back_.store(false);
                engines->resume(held->call_.load());
            }
        });
    base_.engines_.start(
        std::move(call),
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
    monitor_.end(request->connection_, request->id());
    monitor_.close(request->connection_);
    measured_.tokens_.add(static_cast<std::uint64_t>(end.tokens_));
    measured_.on_served_(request->request_.call_.model_,
                         static_cast<std::uint64_t>(end.tokens_));
    if (end.first_token_ && !request->first_token_recorded_) {
        request->first_token_recorded_ = true;
        measured_.first_token_.record(base_.clock_.now() -
                                      request->request_.arrived_);
    }
    if (end.token_interval_) {
        measured_.token_interval_.record(*end.token_interval_);
    }
    if (end.finished_) {
        settle_attempt(request, end, attempt_outcome::completed);
        policy_.router_.on_success(request->route_->runner_);
        policy_.quarantine_.on_finish(run_of(request).request_id_, true,
                                      base_.clock_.now());
        measured_.served_.add();
        finish(request);
        return;
    }
    request->attempt_span_.tag("error", "true");
    on_failed_attempt(request, end);
}

auto completions::settle_attempt(const active_ptr& request,
                                 const attempt_end& end,
                                 attempt_outcome outcome) -> void {
    request->attempt_span_.finish();
    policy_.admission_.on_release({.request_id_ = request->id(),
                                   .outcome_ = outcome,
                                   .first_token_ = end.first_token_,
                                   .token_interval_ = end.token_interval_,
                                   .tokens_ = end.tokens_},
                                  base_.clock_.now());
    policy_.poll_soon_();
}

auto completions::error_of(const active_ptr& request, const attempt_end& end)
    -> error {
    const auto& peer = request->route_->address_;
    if (request->broken_off_) {
        return *request->broken_off_;
    }
    if (end.crossed_) {
        return {error_code::crossed_answer, step::attempt, peer,
                "the runner sent another answer's piece", run_status::unknown};
    }
    if (end.status_ != 0 && end.status_ != status_ok) {
        const auto refused = end.status_ == status_not_found ||
                             end.status_ == status_too_many ||
                             end.status_ == status_unavailable;
        return {refused ? error_code::unavailable : error_code::backend_error,
                step::attempt,
                peer,
                "runner answered " + std::to_string(end.status_) + " " +
                    end.error_text_,
                refused ? run_status::not_run : run_status::unknown,
                end.retry_after_};
    }
    if (end.broken_) {
        return *end.broken_;
    }
    return {error_code::incomplete_answer, step::attempt, peer,
            "the answer ended without its finish event", run_status::unknown};
}

auto completions::on_failed_attempt(const active_ptr& request,
                                    const attempt_end& end) -> void {
    const auto failure = error_of(request, end);
    base_.log_.failure(transport::log_level::debug, "attempt failed", failure,
                       request->id());
    const auto runner = request->route_->runner_;
    const auto boot_id = request->route_->boot_id_;
    request->may_have_run_ =
        request->may_have_run_ || failure.run_ != run_status::not_run;
    auto outcome = attempt_outcome::failed;
    if (end.status_ == status_too_many) {
        outcome = attempt_outcome::no_slot;
    } else if (end.status_ == status_not_found ||
               end.status_ == status_unavailable) {
        outcome = attempt_outcome::not_serving;
    } else if (request->ended_) {
        outcome = attempt_outcome::cancelled;
    }
    settle_attempt(request, end, outcome);
    if (request->ended_) {
        policy_.quarantine_.on_finish(run_of(request).request_id_, false,
                                      base_.clock_.now());
        finish(request);
        return;
    }
    if (outcome == attempt_outcome::no_slot) {
        // Nothing failed: the request goes back to the admission, which has
        // learnt from this what the runner can take.
        policy_.quarantine_.on_finish(run_of(request).request_id_, false,
                                      base_.clock_.now());
        request->route_.reset();
        enqueue(request);
        return;
    }
    if (outcome != attempt_outcome::failed) {
        policy_.quarantine_.on_finish(run_of(request).request_id_, false,
                                      base_.clock_.now());
        retry_or_fail(request, failure);
        return;
    }
    policy_.router_.on_failure(runner, base_.clock_.now());
    if (request->broken_off_ || failure.run_ == run_status::not_run) {
        if (!request->broken_off_) {
            // Nobody listens there: the directory finds out for all requests.
            runners_.check_crash(runner, boot_id, [](bool) {});
        }
        policy_.quarantine_.on_finish(run_of(request).request_id_, false,
                                      base_.clock_.now());
        cancel_at_runner(request);
        retry_or_fail(request, failure);
        return;
    }
    // A broken connection may be a crash, which must be known before the
    // request is sent anywhere else.
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
    request->broken_off_.reset();
    if (!decision.retry_) {
        fail(request, std::move(*decision.error_));
        return;
    }
    measured_.retries_.add();
    if (delivered > 0) {
        measured_.resumed_.add();
    }
    request->failed_runners_ = std::move(decision.excluded_);
    // The first token's deadline is past or met; what counts now is the whole
    // answer's.
    request->first_token_deadline_ = request->deadline_;
    delayed_.emplace(decision.not_before_, request);
}

auto completions::fail(const active_ptr& request, error failure) -> void {
    if (request->ended_) {
        return;
    }
    request->ended_ = true;
    measured_.count_failure(failure.code_);
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

auto completions::on_caller_left(const active_ptr& request) -> void {
    if (request->ended_) {
        return;
    }
    measured_.cancelled_.add();
    request->ended_ = true;
    base_.log_.debug("caller left", {{"request_id", request->id()}});
    if (request->running_) {
        cancel_at_runner(request);
        base_.engines_.cancel(request->answer_->call_.load());
        return;
    }
    if (request->checking_crash_) {
        return;
    }
    if (request->route_) {
        settle_attempt(request, {}, attempt_outcome::cancelled);
    } else {
        policy_.admission_.cancel(request->id());
    }
    finish(request);
}

auto completions::cancel_at_runner(const active_ptr& request) -> void {
    if (!request->route_) {
        return;
    }
    // Best effort: a runner also stops when its connection closes.
    base_.platform_.fetch(
        {.method_ = "POST",
         .url_ = "http://" + request->route_->address_ + "/v1/cancel",
         .headers_ = {{"Content-Type", "application/json"}},
         .body_ = protocol::cancel_body(request->id(), request->attempts_),
         .total_timeout_ = cancel_timeout},
        [](const result<transport::http_reply>&) {});
}

auto completions::tick() -> void {
    const auto now = base_.clock_.now();
    start_due_retries();
    if (now >= next_check_) {
        next_check_ = now + check_interval;
        check_silence();
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

auto completions::check_silence() -> void {
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
        monitor_.on_held_back(request->connection_, id,
                              request->answer_->held_back_.load(), now);
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
        measured_.silent_.add();
        request->broken_off_ =
            error{error_code::timeout, step::attempt, request->route_->address_,
                  "the connection went silent", run_status::unknown};
        base_.engines_.cancel(request->answer_->call_.load());
    }
}

auto completions::check_deadlines() -> void {
    const auto now = base_.clock_.now();
    auto late = std::vector<active_ptr>{};
    for (const auto& [id, request] : open_) {
        if (now >= request->deadline_ && !request->broken_off_) {
            late.push_back(request);
        }
    }
    for (const auto& request : late) {
        auto expired = error{error_code::timeout, step::attempt,
                             request->route_ ? request->route_->address_ : "",
                             "the deadline has passed",
                             request->may_have_run_ || request->running_
                                 ? run_status::unknown
                                 : run_status::not_run};
        if (request->running_) {
            // The attempt's end answers the caller; the deadline leaves no
            // room for another.
            request->broken_off_ = std::move(expired);
            base_.engines_.cancel(request->answer_->call_.load());
        } else if (!request->route_) {
            policy_.admission_.cancel(request->id());
            fail(request, std::move(expired));
        }
    }
}

} // namespace basilstream::daemon
