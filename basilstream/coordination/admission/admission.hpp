/// Admission control: admits requests up to an adaptive concurrency limit per
/// runner, queues the rest in a bounded fair queue, and refuses requests that
/// cannot meet their deadlines.
///
///     auto controller = admission{admission_settings{}, routes, random};
///     auto event = controller.submit(request, now);
///     // admitted: dispatch to event.route_ and call on_release() afterwards
///     // queued:   poll() returns its terminal event later
///     // refused:  answer the caller with event.error_, which is not_run
///     for (auto& event : controller.poll(now)) { ... }
///
/// A request has exactly one terminal outcome: admitted, or refused as
/// not_run. The user of the class must call on_release() once for each admitted
/// request. Not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/routing/routing.hpp"

namespace basilstream::coordination {

/// An attempt that needs a runner. Owns its values because it may be queued.
struct admission_request {
    /// Unique among the queued and running requests.
    std::string request_id_ = {};
    std::string organisation_ = {};
    std::string model_ = {};
    std::string version_ = {};
    std::string adapter_ = {};
    std::uint64_t prefix_hash_ = 0;
    /// Higher priorities are dispatched first within an organisation.
    int priority_ = 0;
    /// Deadline of the first token.
    time_point first_token_deadline_ = time_point::max();
    /// Deadline of the complete answer.
    time_point deadline_ = time_point::max();
    /// Maximum number of tokens to generate; 0 if unknown.
    int max_tokens_ = 0;
    /// Runners on which earlier attempts failed.
    std::vector<std::string> excluded_ = {};
    bool may_load_adapter_ = false;
};

enum class admission_outcome { admitted, queued, refused };

/// The result of submit(), or a terminal event from poll().
struct admission_event {
    admission_outcome outcome_ = admission_outcome::refused;
    std::string request_id_ = {};
    /// Set if admitted. The attempt already counts as in flight on the runner.
    std::optional<route> route_ = {};
    /// Set if refused. Its run status is not_run; retry_after_ is the retry
    /// hint, if any.
    std::optional<error> error_ = {};
    /// Time that the request spent in the queue.
    duration queue_time_ = {};
};

/// How an admitted attempt ended on its runner.
enum class attempt_outcome {
    /// The answer is complete.
    completed,
    /// The caller or the daemon cancelled it.
    cancelled,
    /// The runner rejected it because no slot was free (429). It has not run:
    /// submit it again with the same id and deadlines. The retry budget is not
    /// charged, since the runner's concurrency limit was lowered.
    no_slot,
    /// The runner is leaving (503) or lacks the model (404).
    not_serving,
    /// Any other failure.
    failed,
};

/// The end of an admitted attempt, with its measured latencies.
struct attempt_release {
    std::string request_id_ = {};
    attempt_outcome outcome_ = attempt_outcome::completed;
    /// Time from dispatch to the first token; absent if there was no token.
    std::optional<duration> first_token_ = {};
    /// Mean time between tokens; absent with fewer than two tokens.
    std::optional<duration> token_interval_ = {};
    int tokens_ = 0;
};

struct admission_settings {
    /// Maximum number of queued requests over all organisations.
    std::size_t queue_capacity_ = 1024;
    /// Fair-queueing weight by organisation; 1 for organisations not listed.
    std::map<std::string, double> weights_ = {};
    /// A runner with a longer time between tokens counts as congested.
    duration token_interval_target_ = milliseconds{78};
    /// A runner with a longer time to the first token counts as congested.
    duration first_token_target_ = milliseconds{1300};
    /// Initial concurrency limit of a runner, as a fraction of its slots.
    double initial_share_ = 0.5;
    /// Factor applied to a runner's concurrency limit on congestion.
    double decrease_factor_ = 0.8;
    /// Minimum time between two decreases of one runner's limit.
    duration decrease_interval_ = milliseconds{500};
    /// Mean pause after a runner rejected an attempt for lack of a slot while
    /// this daemon had no other attempt in flight on it. The actual pause is
    /// drawn from 0.5 to 1.5 times this value.
    duration no_slot_pause_ = milliseconds{100};
    /// Initial latency estimates of a model.
    duration assumed_first_token_ = milliseconds{100};
    duration assumed_token_interval_ = milliseconds{20};
    /// Lower and upper bound of the retry hint before jitter.
    milliseconds shortest_retry_hint_{100};
    milliseconds longest_retry_hint_{30'000};
};

/// Checks that a test can replace, to verify that it detects a missing check.
struct admission_guards {
    bool (*is_duplicate_)(bool is_in_use) = [](bool is_in_use) {
        return is_in_use;
    };
    bool (*exceeds_capacity_)(std::size_t queued, std::size_t capacity) =
        [](std::size_t queued, std::size_t capacity) {
            return queued > capacity;
        };
    bool (*is_too_late_)(time_point start, time_point latest_start) =
        [](time_point start, time_point latest_start) {
            return start > latest_start;
        };
};

/// Adaptive concurrency limit of one runner: additive increase, multiplicative
/// decrease (AIMD; Chiu and Jain, 1989). Daemons that share a runner converge
/// to equal shares of it without communicating.
class concurrency_limit {
public:
    concurrency_limit(const admission_settings& settings, int slots);

    /// Changes the upper bound. If the bound grows before any congestion was
    /// seen, the limit is raised to the initial share of the new slots, since
    /// the old limit was derived from a provisional slot count.
    auto set_slots(int slots) -> void;
    /// Raises the limit after an attempt completed while `in_flight` attempts
    /// were on the runner, unless `in_flight` was below the limit.
    auto on_success(int in_flight) -> void;
    /// Lowers the limit, at most once per decrease interval.
    auto on_congestion(time_point now) -> void;
    /// Lowers the limit to `in_flight`, the number of other attempts of this
    /// daemon on the runner when it rejected one for lack of a slot.
    auto on_no_slot(int in_flight) -> void;
    /// Returns the limit, between 1 and the runner's slots.
    [[nodiscard]] auto value() const -> int;

private:
    double decrease_factor_;
    duration decrease_interval_;
    double initial_share_;
    int slots_;
    double limit_;
    // Whether congestion or a rejection has lowered the limit before.
    bool constrained_ = false;
    std::optional<time_point> last_decrease_;
};

namespace internal {

class fair_queue;
struct queued_request;

/// Exponentially weighted moving averages of one model's latencies.
struct model_estimate {
    duration first_token_;
    duration token_interval_;
    /// Tokens per answer; 0 before the first complete answer.
    double tokens_ = 0;
    /// Number of attempts in flight.
    int running_ = 0;
};

} // namespace internal

/// Decides when each request is dispatched and to which runner.
class admission {
public:
    admission(admission_settings settings, router& routes,
              random_source& random, admission_guards guards = {});
    ~admission();

    /// Adds a runner or updates its slots.
    auto set_runner(std::string_view runner, int slots) -> void;
    /// Removes a runner. Attempts in flight on it still need their
    /// on_release().
    auto remove_runner(std::string_view runner) -> void;
    /// Handles a runner's report that `waiting` requests are in its own queue.
    /// A positive number counts as congestion.
    auto on_runner_waiting(std::string_view runner, int waiting, time_point now)
        -> void;
    /// Must be called when `model` gains or loses a replica, or when one starts
    /// leaving, so that the next poll() admits or refuses queued requests.
    auto on_replicas_changed(std::string_view model) -> void;

    /// Admits, queues or refuses a request. Errors: deadline_unreachable or
    /// overloaded with a retry hint, conflict if the id is already queued or
    /// running, or the router's error. While a model has no attempt running, no
    /// request is refused because of its latency estimates, so that new
    /// measurements can correct them.
    [[nodiscard]] auto submit(admission_request request, time_point now)
        -> admission_event;

    /// Removes a queued request after its caller disconnected. Returns whether
    /// it was queued; if so, poll() returns no event for it.
    auto cancel(std::string_view request_id) -> bool;

    /// Handles the end of an admitted attempt. Call poll() afterwards.
    auto on_release(const attempt_release& release, time_point now) -> void;

    /// Returns the pending terminal events: evictions by submit(), then queued
    /// requests refused because they can no longer meet their deadlines, then
    /// queued requests admitted or found unroutable.
    [[nodiscard]] auto poll(time_point now) -> std::vector<admission_event>;

    /// Returns the time by which poll() must be called, or nothing if no call
    /// is needed. The time is in the past if events are already pending, for
    /// example after submit() evicted a request from a full queue.
    [[nodiscard]] auto next_wakeup() const -> std::optional<time_point>;

    [[nodiscard]] auto queue_size() const -> std::size_t;
    [[nodiscard]] auto in_flight() const -> std::size_t {
        return running_.size();
    }
    /// Returns the runner's concurrency limit, or nothing for an unknown
    /// runner.
    [[nodiscard]] auto limit_of(std::string_view runner) const
        -> std::optional<int>;

private:
    struct running_attempt {
        std::string model_;
        std::string runner_;
    };

    auto estimate_of(const std::string& model) -> internal::model_estimate&;
    auto expected_tokens(const admission_request& request) -> double;
    auto latest_start(const admission_request& request, time_point now)
        -> time_point;
    auto release_interval(const std::string& model) -> duration;
    auto route_for(const admission_request& request, time_point now)
        -> result<route>;
    auto admit(const internal::queued_request& queued, route chosen,
               time_point now) -> admission_event;
    auto refuse(const internal::queued_request& queued, error reason,
                time_point now) -> admission_event;
    auto refuse_unreachable_deadline(const internal::queued_request& queued,
                                     duration wait, time_point now)
        -> admission_event;
    auto refuse_unroutable(const internal::queued_request& queued, error reason,
                           time_point now) -> admission_event;
    auto retry_hint(duration wait) -> milliseconds;
    auto enqueue(internal::queued_request queued, time_point now)
        -> admission_event;
    auto refuse_expired(time_point now) -> void;
    auto dispatch_queued(time_point now) -> void;
    auto dispatch_first(const std::string& organisation,
                        const std::string& model, time_point now) -> bool;
    auto on_no_slot(const std::string& runner, time_point now) -> void;
    auto resume_paused_runners(time_point now) -> void;
    auto update_estimate(const attempt_release& release,
                         internal::model_estimate& estimate) -> void;
    auto adapt_limit(const std::string& runner, const attempt_release& release,
                     time_point now) -> void;

    admission_settings settings_;
    router& routes_;
    random_source& random_;
    admission_guards guards_;
    std::unique_ptr<internal::fair_queue> queue_;
    std::unordered_map<std::string, concurrency_limit> limits_;
    std::unordered_map<std::string, internal::model_estimate> estimates_;
    std::unordered_map<std::string, running_attempt> running_;
    // Runners that are paused because they rejected an attempt for lack of a
    // slot, with the end of each pause.
    std::set<std::pair<time_point, std::string>> paused_runners_;
    // Models whose queued requests the next poll() tries to dispatch.
    std::set<std::string> retry_models_;
    std::vector<admission_event> events_;
    std::uint64_t next_arrival_order_ = 0;
};

} // namespace basilstream::coordination
