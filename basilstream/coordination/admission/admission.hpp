/// Admits requests within what the runners show they can do, queues the rest
/// within bounds, and refuses at once what cannot meet its deadline.
///
///     auto gate = admission{admission_settings{}, routes, random};
///     auto answer = gate.submit(request, now);
///     // admitted: dispatch to answer.route_ and call on_release() afterwards
///     // queued:   its admission_event comes out of poll()
///     // refused:  answer the caller with answer.error_, which is not_run
///     for (auto& event : gate.poll(now)) { ... }
///
/// A request has exactly one terminal answer: admitted, or refused as
/// not_run. After admitted, the caller owns the request and must call
/// on_release() once. Not safe for concurrent use.
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

/// An attempt that asks for a runner. Values are owned: it may be queued.
struct admission_request {
    /// Unique among the requests that this admission has in hand.
    std::string request_id_ = {};
    std::string organisation_ = {};
    std::string model_ = {};
    std::string version_ = {};
    std::string adapter_ = {};
    std::uint64_t prefix_hash_ = 0;
    /// Higher goes first within an organisation.
    int priority_ = 0;
    /// By when the first token must be out.
    time_point first_token_deadline_ = time_point::max();
    /// By when the whole answer must be out.
    time_point deadline_ = time_point::max();
    /// Upper bound of the tokens to generate; 0 means not known.
    int max_tokens_ = 0;
    /// Runners on which earlier attempts failed.
    std::vector<std::string> excluded_ = {};
    bool may_load_adapter_ = false;
};

/// What became of a request.
enum class admission_outcome { admitted, queued, refused };

/// An answer of submit(), or a terminal event out of poll().
struct admission_event {
    admission_outcome outcome_ = admission_outcome::refused;
    std::string request_id_ = {};
    /// Set if admitted. The attempt is already counted on the runner.
    std::optional<route> route_ = {};
    /// Set if refused. Always not_run; retry_after_ says when to come back.
    std::optional<error> error_ = {};
    /// How long the request was queued.
    duration queued_ = {};
};

/// How an admitted attempt ended on its runner.
enum class attempt_outcome {
    /// A whole answer.
    completed,
    /// The caller or the daemon cancelled it.
    cancelled,
    /// The runner refused it for lack of a slot (429). It has not run: submit
    /// it again under its id and deadlines, which needs no retry budget, since
    /// the runner's limit has come down.
    no_slot,
    /// The runner refused it as leaving, or lacks the model (503, 404).
    not_serving,
    /// Anything else.
    failed,
};

/// The end of an admitted attempt, with what it showed.
struct attempt_release {
    std::string request_id_ = {};
    attempt_outcome outcome_ = attempt_outcome::completed;
    /// From dispatch to the first token; nothing if there was none.
    std::optional<duration> first_token_ = {};
    /// Mean time between tokens; nothing with fewer than two.
    std::optional<duration> token_interval_ = {};
    int tokens_ = 0;
};

/// Settings of an admission.
struct admission_settings {
    /// Requests queued at most, over all organisations.
    std::size_t queue_capacity_ = 1024;
    /// Weight of each organisation; 1 for those not listed.
    std::map<std::string, double> weights_ = {};
    /// The time between tokens beyond which a runner counts as congested.
    duration token_interval_target_ = milliseconds{78};
    /// The time to the first token beyond which a runner counts as congested.
    duration first_token_target_ = milliseconds{1300};
    /// The share of its slots that a new runner starts with.
    double initial_share_ = 0.5;
    /// The factor on a runner's concurrency limit when it is congested.
    double decrease_factor_ = 0.8;
    /// Decreases of one runner are at least this far apart.
    duration decrease_interval_ = milliseconds{500};
    /// How long a runner that refused for lack of a slot gets no attempt of
    /// this daemon if it has none in flight there; between half of this and
    /// one and a half times this.
    duration no_slot_pause_ = milliseconds{100};
    /// Assumed until a model has shown its own figures.
    duration assumed_first_token_ = milliseconds{100};
    duration assumed_token_interval_ = milliseconds{20};
    /// Bounds of the retry hint.
    milliseconds shortest_retry_hint_{100};
    milliseconds longest_retry_hint_{30'000};
};

/// Checks by name. A test replaces one to show that its check can fail.
struct admission_guards {
    bool (*is_duplicate_)(bool is_in_use) = [](bool is_in_use) {
        return is_in_use;
    };
    bool (*exceeds_capacity_)(std::size_t queued, std::size_t capacity) =
        [](std::size_t queued, std::size_t capacity) {
            return queued > capacity;
        };
    bool (*too_late_)(time_point start, time_point latest_start) =
        [](time_point start, time_point latest_start) {
            return start > latest_start;
        };
};

/// Follows how many attempts a runner takes without congestion: additive
/// increase, multiplicative decrease (Chiu and Jain, 1989). Daemons that share
/// a runner converge to equal shares of it without talking to each other.
class concurrency_limit {
public:
    concurrency_limit(const admission_settings& settings, int slots);

    /// Changes the upper bound. A bound that grows before the runner has shown
    /// any congestion starts the limit anew: the old one was a guess.
    auto set_slots(int slots) -> void;
    /// An attempt ended well while `in_flight` were on the runner.
    auto on_success(int in_flight) -> void;
    /// The runner showed congestion.
    auto on_congestion(time_point now) -> void;
    /// The runner refused an attempt for lack of a slot while `in_flight`
    /// others of this daemon were on it: that many it takes.
    auto on_no_slot(int in_flight) -> void;
    /// Returns the limit: at least 1, at most the runner's slots.
    [[nodiscard]] auto value() const -> int;

private:
    double decrease_factor_;
    duration decrease_interval_;
    double initial_share_;
    int slots_;
    double limit_;
    // Whether the runner has shown what it can't take.
    bool constrained_ = false;
    std::optional<time_point> last_decrease_;
};

namespace internal {

class fair_queue;
struct queued_request;

/// Running means of how one model serves.
struct model_estimate {
    duration first_token_;
    duration token_interval_;
    /// Tokens of an answer; 0 until one was complete.
    double tokens_ = 0;
    int running_ = 0;
};

} // namespace internal

/// The gate before the router.
class admission {
public:
    admission(admission_settings settings, router& routes,
              random_source& random, admission_guards guards = {});
    ~admission();

    /// Tells of a runner that joined, or whose slots changed.
    auto set_runner(std::string_view runner, int slots) -> void;
    /// Tells of a runner that is gone. Attempts on it still need their
    /// on_release().
    auto remove_runner(std::string_view runner) -> void;
    /// Tells that the runner reported requests waiting inside it.
    auto on_runner_waiting(std::string_view runner, int waiting, time_point now)
        -> void;
    /// Tells that `model` gained or lost a replica, or that one is leaving, so
    /// that queued requests are admitted or answered at the next poll().
    auto on_replicas_changed(std::string_view model) -> void;

    /// Decides on a request. Refused: deadline_unreachable or overloaded with
    /// a retry hint, conflict if the id is in hand already, or the router's
    /// error. While a model has no attempt running, its estimates refuse
    /// nothing, so that they can be corrected.
    [[nodiscard]] auto submit(admission_request request, time_point now)
        -> admission_event;

    /// Takes a queued request out because its caller went away. Returns
    /// whether it was queued; no event follows if so.
    auto cancel(std::string_view request_id) -> bool;

    /// Tells of the end of an admitted attempt. Call poll() afterwards.
    auto on_release(const attempt_release& release, time_point now) -> void;

    /// Returns the terminal events that are due: requests refused because
    /// their deadline got out of reach, then requests admitted.
    [[nodiscard]] auto poll(time_point now) -> std::vector<admission_event>;

    /// Returns when to call poll() at the latest, or nothing. It may be past:
    /// submit() can push another request out of a full queue.
    [[nodiscard]] auto next_wakeup() const -> std::optional<time_point>;

    [[nodiscard]] auto queued() const -> std::size_t;
    [[nodiscard]] auto in_flight() const -> std::size_t {
        return running_.size();
    }
    /// Returns the concurrency limit in force for the runner, or nothing.
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
    auto refuse_late(const internal::queued_request& queued, duration wait,
                     time_point now) -> admission_event;
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
    // Runners without attempts until a time, for lack of a slot.
    std::set<std::pair<time_point, std::string>> paused_runners_;
    // Models whose queues may move at the next poll().
    std::set<std::string> retry_models_;
    std::vector<admission_event> events_;
    std::uint64_t next_arrival_order_ = 0;
};

} // namespace basilstream::coordination
