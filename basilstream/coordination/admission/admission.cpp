#include "basilstream/coordination/admission/admission.hpp"

#include <algorithm>
#include <cmath>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/admission/internal/fair_queue.hpp"

namespace basilstream::coordination {
namespace {

using internal::model_estimate;
using internal::queued_request;

// Weight of the newest sample in an exponentially weighted moving average.
constexpr auto smoothing_factor = 0.1;

// Maximum number of requests per model queue for which one dispatch looks for
// a route. More than one avoids head-of-line blocking by a request that needs a
// busy runner.
constexpr auto max_candidates_per_queue = 8;

auto update_mean(duration& mean, duration value) -> void {
    mean += duration{static_cast<duration::rep>(
        smoothing_factor * static_cast<double>((value - mean).count()))};
}

auto scale(duration base, double factor) -> duration {
    return duration{
        static_cast<duration::rep>(static_cast<double>(base.count()) * factor)};
}

// Returns `end - span`, or time_point::max() if `end` is time_point::max(),
// which means no deadline.
auto subtract_saturating(time_point end, duration span) -> time_point {
    return end == time_point::max() ? end : end - span;
}

} // namespace

admission::admission(admission_settings settings, router& routes,
                     random_source& random, admission_guards guards)
    : settings_{std::move(settings)}, routes_{routes}, random_{random},
      guards_{guards}, queue_{std::make_unique<internal::fair_queue>(
                           settings_.weights_)} {}

admission::~admission() = default;

auto admission::set_runner(std::string_view runner, int slots) -> void {
    const auto [found, added] =
        limits_.try_emplace(std::string{runner}, settings_, slots);
    if (!added) {
        found->second.set_slots(slots);
    }
    routes_.set_concurrency_limit(runner, found->second.value());
    for (auto& model : routes_.models_on(runner)) {
        retry_models_.insert(std::move(model));
    }
}

auto admission::remove_runner(std::string_view runner) -> void {
    limits_.erase(std::string{runner});
    // Queued requests that only this runner could serve must be refused.
    for (auto& model : queue_->models()) {
        retry_models_.insert(std::move(model));
    }
}

auto admission::on_runner_waiting(std::string_view runner, int waiting,
                                  time_point now) -> void {
    const auto found = limits_.find(std::string{runner});
    if (waiting <= 0 || found == limits_.end()) {
        return;
    }
    found->second.on_congestion(now);
    routes_.set_concurrency_limit(runner, found->second.value());
}

auto admission::on_replicas_changed(std::string_view model) -> void {
    retry_models_.emplace(model);
}

auto admission::estimate_of(const std::string& model) -> model_estimate& {
    const auto assumed = model_estimate{settings_.assumed_first_token_,
                                        settings_.assumed_token_interval_};
    return estimates_.try_emplace(model, assumed).first->second;
}

auto admission::expected_tokens(const admission_request& request) -> double {
    const auto mean_tokens = estimate_of(request.model_).tokens_;
    return request.max_tokens_ > 0
               ? std::min<double>(mean_tokens, request.max_tokens_)
               : mean_tokens;
}

auto admission::latest_start(const admission_request& request, time_point now)
    -> time_point {
    const auto& estimate = estimate_of(request.model_);
    const auto generation_time =
        scale(estimate.token_interval_, expected_tokens(request));
    const auto latest =
        std::min(subtract_saturating(request.first_token_deadline_,
                                     estimate.first_token_),
                 subtract_saturating(request.deadline_,
                                     estimate.first_token_ + generation_time));
    if (estimate.running_ == 0 && latest < now) {
        // Without a running attempt, no measurement would correct an estimate
        // so high that every request is refused.
        return std::min(request.first_token_deadline_, request.deadline_);
    }
    return latest;
}

// Returns the mean time between two releases on the model's replicas, by
// Little's law: the mean service time divided by the attempts in flight.
auto admission::release_interval(const std::string& model) -> duration {
    const auto& estimate = estimate_of(model);
    const auto service_time = estimate.first_token_ +
                              scale(estimate.token_interval_, estimate.tokens_);
    return service_time / std::max(routes_.in_flight_on_replicas(model), 1);
}

auto admission::route_for(const admission_request& request, time_point now)
    -> result<route> {
    return routes_.choose({.model_ = request.model_,
                           .version_ = request.version_,
                           .adapter_ = request.adapter_,
                           .prefix_hash_ = request.prefix_hash_,
                           .excluded_ = request.excluded_,
                           .may_load_adapter_ = request.may_load_adapter_},
                          now);
}

auto admission::admit(const queued_request& queued, route chosen,
                      time_point now) -> admission_event {
    const auto& request = queued.request_;
    if (!holds(now <=
                   std::min(request.first_token_deadline_, request.deadline_),
               "admitted_before_deadline", request.request_id_)) {
        return refuse_unreachable_deadline(queued, {}, now);
    }
    routes_.start_attempt(chosen.runner_);
    ++estimate_of(request.model_).running_;
    queue_->charge(request.organisation_, queued.cost_);
    running_[request.request_id_] = {request.model_, chosen.runner_};
    return {.outcome_ = admission_outcome::admitted,
            .request_id_ = request.request_id_,
            .route_ = std::move(chosen),
            .error_ = std::nullopt,
            .queue_time_ = now - queued.submitted_at_};
}

auto admission::refuse(const queued_request& queued, error reason,
                       time_point now) -> admission_event {
    const auto& id = queued.request_.request_id_;
    reason.run_ = run_status::not_run;
    if (!holds(!running_.contains(id), "not_run_only_if_never_dispatched",
               id)) {
        reason.run_ = run_status::unknown;
    }
    return {.outcome_ = admission_outcome::refused,
            .request_id_ = id,
            .route_ = std::nullopt,
            .error_ = std::move(reason),
            .queue_time_ = now - queued.submitted_at_};
}

auto admission::refuse_unreachable_deadline(const queued_request& queued,
                                            duration wait, time_point now)
    -> admission_event {
    return refuse(queued,
                  {.code_ = error_code::deadline_unreachable,
                   .step_ = step::admission,
                   .peer_ = {},
                   .detail_ = "the request is predicted to miss its deadline",
                   .run_ = run_status::not_run,
                   .retry_after_ = retry_hint(wait)},
                  now);
}

// Adds jitter of up to half the hint, so that refused callers do not retry at
// the same time.
auto admission::retry_hint(duration wait) -> milliseconds {
    const auto base = std::clamp(std::chrono::duration_cast<milliseconds>(wait),
                                 settings_.shortest_retry_hint_,
                                 settings_.longest_retry_hint_);
    const auto jitter_bound = static_cast<std::uint64_t>(base.count()) / 2 + 1;
    return base + milliseconds{random_.below(jitter_bound)};
}

auto admission::refuse_unroutable(const queued_request& queued, error reason,
                                  time_point now) -> admission_event {
    if (reason.code_ != error_code::not_found) {
        reason.retry_after_ = retry_hint({});
    }
    return refuse(queued, std::move(reason), now);
}

auto admission::submit(admission_request request, time_point now)
    -> admission_event {
    auto queued = queued_request{.request_ = std::move(request),
                                 .arrival_order_ = next_arrival_order_++,
                                 .submitted_at_ = now,
                                 .latest_start_ = {}};
    const auto& id = queued.request_.request_id_;
    if (guards_.is_duplicate_(running_.contains(id) || queue_->contains(id))) {
        // The error describes the duplicate only, not the queued or running
        // request with the same id.
        return {.outcome_ = admission_outcome::refused,
                .request_id_ = id,
                .route_ = std::nullopt,
                .error_ = error{error_code::conflict,
                                step::admission,
                                {},
                                "the request id is already queued or running"},
                .queue_time_ = {}};
    }
    // The route is looked up first, so that no estimate is stored for an
    // unknown model.
    auto chosen = route_for(queued.request_, now);
    const auto busy = !chosen && chosen.error().code_ == error_code::overloaded;
    if (!chosen && !busy) {
        return refuse_unroutable(queued, std::move(chosen.error()), now);
    }
    queued.latest_start_ = latest_start(queued.request_, now);
    queued.cost_ = std::max(expected_tokens(queued.request_), 1.0);
    if (guards_.is_too_late_(now, queued.latest_start_)) {
        return refuse_unreachable_deadline(queued, now - queued.latest_start_,
                                           now);
    }
    if (busy || queue_->queued_count(queued.request_.model_) > 0) {
        return enqueue(std::move(queued), now);
    }
    return admit(queued, std::move(*chosen), now);
}

auto admission::enqueue(queued_request queued, time_point now)
    -> admission_event {
    const auto interval = release_interval(queued.request_.model_);
    const auto slack = queued.latest_start_ == time_point::max()
                           ? duration::max()
                           : queued.latest_start_ - now;
    // The wait is one release interval per request ahead, with none added for
    // this request, since attempts of other daemons free slots, too.
    const auto bound = static_cast<double>(settings_.queue_capacity_);
    const auto ahead = queue_->estimate_requests_ahead(queued, bound);
    const auto wait = scale(interval, ahead);
    const auto start = now + std::min(wait, duration{std::chrono::hours{1}});
    if (guards_.is_too_late_(start, queued.latest_start_)) {
        return refuse_unreachable_deadline(queued, wait - slack, now);
    }
    const auto id = queued.request_.request_id_;
    queue_->insert(std::move(queued));
    if (guards_.exceeds_capacity_(queue_->size(), settings_.queue_capacity_)) {
        const auto evicted =
            queue_->remove(queue_->select_eviction_candidate());
        auto event = refuse(evicted,
                            {error_code::overloaded,
                             step::admission,
                             {},
                             "the queue is full",
                             run_status::not_run,
                             retry_hint(wait)},
                            now);
        if (event.request_id_ == id) {
            return event;
        }
        events_.push_back(std::move(event));
    }
    if (!holds(queue_->size() <= settings_.queue_capacity_, "queue_bounded")) {
        return refuse(queue_->remove(id),
                      {error_code::overloaded,
                       step::admission,
                       {},
                       "the queue is full",
                       run_status::not_run,
                       retry_hint(wait)},
                      now);
    }
    return {.outcome_ = admission_outcome::queued,
            .request_id_ = id,
            .route_ = std::nullopt,
            .error_ = std::nullopt,
            .queue_time_ = {}};
}

auto admission::cancel(std::string_view request_id) -> bool {
    const auto id = std::string{request_id};
    if (!queue_->contains(id)) {
        return false;
    }
    queue_->remove(id);
    return true;
}

auto admission::update_estimate(const attempt_release& release,
                                model_estimate& estimate) -> void {
    if (release.first_token_) {
        update_mean(estimate.first_token_, *release.first_token_);
    }
    if (release.token_interval_) {
        update_mean(estimate.token_interval_, *release.token_interval_);
    }
    if (release.outcome_ == attempt_outcome::completed) {
        const auto gain = estimate.tokens_ == 0 ? 1 : smoothing_factor;
        estimate.tokens_ += gain * (release.tokens_ - estimate.tokens_);
    }
}

auto admission::adapt_limit(const std::string& runner,
                            const attempt_release& release, time_point now)
    -> void {
    const auto found = limits_.find(runner);
    if (found == limits_.end()) {
        return;
    }
    const auto slow = release.first_token_.value_or(duration{}) >
                          settings_.first_token_target_ ||
                      release.token_interval_.value_or(duration{}) >
                          settings_.token_interval_target_;
    if (release.outcome_ == attempt_outcome::no_slot) {
        on_no_slot(runner, now);
        return;
    }
    if (slow) {
        found->second.on_congestion(now);
    } else if (release.outcome_ == attempt_outcome::completed) {
        found->second.on_success(routes_.in_flight(runner));
    }
    routes_.set_concurrency_limit(runner, found->second.value());
}

auto admission::on_no_slot(const std::string& runner, time_point now) -> void {
    const auto others = routes_.in_flight(runner) - 1;
    limits_.at(runner).on_no_slot(others);
    routes_.set_concurrency_limit(runner, others);
    if (others == 0) {
        // This daemon has no attempt on the runner whose release would trigger
        // a retry, so a timer has to.
        const auto pause =
            scale(settings_.no_slot_pause_, 0.5 + random_.fraction());
        paused_runners_.emplace(now + pause, runner);
    }
}

auto admission::resume_paused_runners(time_point now) -> void {
    while (!paused_runners_.empty() && paused_runners_.begin()->first <= now) {
        const auto runner =
            paused_runners_.extract(paused_runners_.begin()).value().second;
        const auto found = limits_.find(runner);
        if (found == limits_.end()) {
            continue;
        }
        routes_.set_concurrency_limit(runner, found->second.value());
        for (auto& model : routes_.models_on(runner)) {
            retry_models_.insert(std::move(model));
        }
    }
}

auto admission::on_release(const attempt_release& release, time_point now)
    -> void {
    const auto found = running_.find(release.request_id_);
    if (found == running_.end()) {
        return;
    }
    const auto attempt = std::move(found->second);
    running_.erase(found);
    auto& estimate = estimate_of(attempt.model_);
    --estimate.running_;
    update_estimate(release, estimate);
    adapt_limit(attempt.runner_, release, now);
    routes_.finish_attempt(attempt.runner_);
    for (auto& model : routes_.models_on(attempt.runner_)) {
        retry_models_.insert(std::move(model));
    }
    retry_models_.insert(attempt.model_);
}

auto admission::poll(time_point now) -> std::vector<admission_event> {
    refuse_expired(now);
    resume_paused_runners(now);
    dispatch_queued(now);
    return std::exchange(events_, {});
}

auto admission::refuse_expired(time_point now) -> void {
    for (auto earliest = queue_->earliest_latest_start();
         earliest && guards_.is_too_late_(now, earliest->first);
         earliest = queue_->earliest_latest_start()) {
        const auto queued = queue_->remove(earliest->second);
        const auto interval = release_interval(queued.request_.model_);
        const auto waiting = static_cast<double>(
            queue_->queued_count(queued.request_.model_) + 1);
        events_.push_back(
            refuse_unreachable_deadline(queued, scale(interval, waiting), now));
    }
}

auto admission::dispatch_queued(time_point now) -> void {
    auto pending_queues = std::vector<internal::queue_name>{};
    for (const auto& model : retry_models_) {
        const auto queues = queue_->queues_for(model);
        pending_queues.insert(pending_queues.end(), queues.begin(),
                              queues.end());
    }
    retry_models_.clear();
    const auto has_lower_virtual_time = [&](const auto& left,
                                            const auto& right) {
        return queue_->virtual_time(left.organisation_) <
               queue_->virtual_time(right.organisation_);
    };
    while (!pending_queues.empty()) {
        const auto next =
            std::min_element(pending_queues.begin(), pending_queues.end(),
                             has_lower_virtual_time);
        if (!routes_.has_capacity(next->model_) ||
            !dispatch_first(next->organisation_, next->model_, now) ||
            queue_->find(next->organisation_, next->model_) == nullptr) {
            pending_queues.erase(next);
        }
    }
}

// Returns whether a request left the queue.
auto admission::dispatch_first(const std::string& organisation,
                               const std::string& model, time_point now)
    -> bool {
    const auto* const queue = queue_->find(organisation, model);
    if (queue == nullptr) {
        return false;
    }
    auto candidates = 0;
    for (const auto& [key, queued] : *queue) {
        auto chosen = route_for(queued.request_, now);
        if (chosen) {
            const auto removed = queue_->remove(queued.request_.request_id_);
            events_.push_back(admit(removed, std::move(*chosen), now));
            return true;
        }
        if (chosen.error().code_ != error_code::overloaded) {
            const auto removed = queue_->remove(queued.request_.request_id_);
            events_.push_back(
                refuse_unroutable(removed, std::move(chosen.error()), now));
            return true;
        }
        if (++candidates == max_candidates_per_queue) {
            return false;
        }
    }
    return false;
}

auto admission::next_wakeup() const -> std::optional<time_point> {
    if (!events_.empty()) {
        return time_point::min();
    }
    auto next = time_point::max();
    if (const auto earliest = queue_->earliest_latest_start();
        earliest && earliest->first != time_point::max()) {
        next = earliest->first + duration{1};
    }
    if (!paused_runners_.empty()) {
        next = std::min(next, paused_runners_.begin()->first);
    }
    return next == time_point::max() ? std::nullopt : std::optional{next};
}

auto admission::queue_size() const -> std::size_t {
    return queue_->size();
}

auto admission::limit_of(std::string_view runner) const -> std::optional<int> {
    const auto found = limits_.find(std::string{runner});
    if (found == limits_.end()) {
        return std::nullopt;
    }
    return found->second.value();
}

} // namespace basilstream::coordination
