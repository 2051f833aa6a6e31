/// Decides whether and when a failed attempt is retried, and which runners the
/// retry must avoid.
///
///     auto retries = retry_policy{retry_settings{}, random};
///     retries.on_request(now);                     // once per request
///     const auto decision = retries.decide(failure, now);
///     if (decision.retry_) { /* not before decision.not_before_ */ }
///     else { /* answer the caller with decision.error_ immediately */ }
///
/// Retries and hedges share one budget, which is proportional to the number of
/// recent requests, so that failures cannot multiply the load. Not safe for
/// concurrent use.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {

struct retry_settings {
    /// Retries and hedges allowed per request of the last ten seconds.
    double budget_ratio_ = 0.1;
    /// Additional retries allowed per second, so that requests can be retried
    /// when there is little traffic.
    double budget_per_second_ = 1;
    /// From when on these are allowed. A process that replaces another one
    /// waits for ten seconds, because the other may have used up its budget.
    time_point budget_per_second_from_ = time_point::min();
    /// Maximum number of attempts per request, including the first.
    int max_attempts_ = 4;
    /// Upper bound of the first delay. The bound doubles with each attempt, up
    /// to `longest_delay_`. The delay is drawn uniformly between 0 and the
    /// bound (full jitter).
    duration first_delay_ = milliseconds{20};
    duration longest_delay_ = seconds{2};
    /// Retry-After of a final error that may be retried later and carries none.
    milliseconds retry_hint_{1000};
};

/// Describes a failed attempt and its request.
struct attempt_failure {
    /// error::run_ tells whether the attempt may have run.
    error error_ = {};
    std::string runner_ = {};
    /// Number of attempts so far, including the failed one.
    int attempts_ = 1;
    /// Whether the request may run more than once.
    bool idempotent_ = false;
    /// Number of tokens or stream events that have been sent to the caller.
    std::uint64_t delivered_ = 0;
    /// Whether a runner can resume the answer at a given position.
    bool resumable_ = false;
    /// Whether another daemon forwarded the request and decides on retries.
    /// Only the daemon that serves the caller retries; otherwise the attempts
    /// of both daemons would multiply.
    bool forwarded_ = false;
    /// Whether nothing of the request has left this daemon, so that sending it
    /// elsewhere gives no runner an additional request.
    bool nothing_sent_ = false;
    time_point deadline_ = time_point::max();
    /// Runners on which earlier attempts failed, without `runner_`.
    std::vector<std::string> failed_runners_ = {};
};

/// Why a failed attempt is not retried; `none` if it is.
enum class give_up_reason {
    none,
    permanent,
    not_repeatable,
    not_resumable,
    attempts_exhausted,
    budget_exhausted,
    deadline,
    forwarded,
};

inline constexpr auto give_up_reason_names = name_table<give_up_reason, 8>{
    {{{give_up_reason::none, "none"},
      {give_up_reason::permanent, "permanent"},
      {give_up_reason::not_repeatable, "not_repeatable"},
      {give_up_reason::not_resumable, "not_resumable"},
      {give_up_reason::attempts_exhausted, "attempts_exhausted"},
      {give_up_reason::budget_exhausted, "budget_exhausted"},
      {give_up_reason::deadline, "deadline"},
      {give_up_reason::forwarded, "forwarded"}}}};

/// Whether to retry a failed attempt.
struct retry_decision {
    bool retry_ = false;
    /// Earliest time of the retry. Set if `retry_` is true, as are the next two
    /// members.
    time_point not_before_ = {};
    /// Runners that the next attempt must avoid.
    std::vector<std::string> excluded_ = {};
    /// Position in the answer at which the next attempt resumes; 0 is the
    /// start.
    std::uint64_t resume_position_ = 0;
    /// Set if `retry_` is false.
    give_up_reason reason_ = give_up_reason::none;
    /// The final error for the caller. Set if `retry_` is false.
    std::optional<error> error_ = {};
};

/// Describes a first attempt that has not been answered yet.
struct slow_attempt {
    bool idempotent_ = false;
    /// As in attempt_failure.
    std::uint64_t delivered_ = 0;
    bool forwarded_ = false;
    /// Whether a hedge of this request was already sent.
    bool hedged_ = false;
    /// Time since the attempt was sent.
    duration elapsed_ = {};
    /// 95th percentile of the time to the first token.
    duration p95_first_token_time_ = {};
    time_point deadline_ = time_point::max();
    /// Minimum time that a new attempt takes.
    duration minimum_duration_ = {};
};

/// Limits retries to a ratio of the requests of the last ten seconds plus a
/// constant rate (as Finagle's RetryBudget).
class retry_budget {
public:
    /// The retries per second are allowed from `per_second_from` on.
    retry_budget(double ratio, double per_second,
                 time_point per_second_from = time_point::min());
    /// Sets the retries per second that are allowed in addition to the ratio.
    auto set_per_second(double per_second) -> void { per_second_ = per_second; }
    /// Sets the number of retries allowed per request.
    auto set_ratio(double ratio) -> void { ratio_ = ratio; }
    /// Counts a request.
    auto deposit(time_point now) -> void;
    /// Withdraws one retry. Returns false, and changes nothing, if the balance
    /// is below one.
    auto withdraw(time_point now) -> bool;
    /// Returns the number of retries left.
    [[nodiscard]] auto balance(time_point now) const -> double;

private:
    static constexpr auto window_seconds_ = std::size_t{10};
    /// The counts of one second.
    struct second_bucket {
        /// Seconds since the epoch of the clock; -1 if unused.
        std::int64_t second_ = -1;
        double requests_ = 0;
        double retries_ = 0;
    };
    /// Returns the bucket of the current second; resets it if it holds the
    /// counts of an earlier second.
    auto bucket_at(time_point now) -> second_bucket&;

    double ratio_;
    double per_second_;
    time_point per_second_from_;
    /// Indexed by second modulo the number of buckets.
    std::array<second_bucket, window_seconds_ + 1> buckets_;
};

/// Conditions of a retry. They can be replaced so that a test can disable one
/// and verify that its checks detect the violation.
struct retry_guards {
    bool (*may_repeat_)(const attempt_failure& failure) =
        [](const attempt_failure& failure) {
            return failure.idempotent_ ||
                   failure.error_.run_ == run_status::not_run;
        };
    bool (*within_budget_)(retry_budget& budget, time_point now) =
        [](retry_budget& budget, time_point now) {
            return budget.withdraw(now);
        };
};

/// Decides on retries and hedges within the budget.
class retry_policy {
public:
    retry_policy(retry_settings settings, random_source& random,
                 retry_guards guards = {});

    /// Counts a request (not an attempt) towards the budget.
    auto on_request(time_point now) -> void { budget_.deposit(now); }
    /// Replaces retry_settings::budget_per_second_, for example when the number
    /// of daemons changes among which the configured rate is divided.
    auto set_budget_per_second(double per_second) -> void {
        budget_.set_per_second(per_second);
    }
    /// Replaces retry_settings::budget_ratio_.
    auto set_budget_ratio(double ratio) -> void { budget_.set_ratio(ratio); }
    /// Returns the number of retries left in the budget.
    [[nodiscard]] auto budget(time_point now) const -> double {
        return budget_.balance(now);
    }

    /// Decides whether to retry a failed attempt; a retry is charged to the
    /// budget. A final error whose request may be retried later carries a
    /// Retry-After.
    [[nodiscard]] auto decide(const attempt_failure& failure, time_point now)
        -> retry_decision;

    /// Returns whether to send a second attempt in parallel to a slow one; a
    /// hedge is charged to the budget. The calling code uses the first answer
    /// and cancels the other attempt.
    [[nodiscard]] auto hedge(const slow_attempt& attempt, time_point now)
        -> bool;

private:
    /// Returns why the attempt cannot be retried, or `none`. Does not check the
    /// deadline and the budget.
    auto find_give_up_reason(const attempt_failure& failure) const
        -> give_up_reason;
    auto backoff_delay(const attempt_failure& failure) -> duration;
    auto give_up(const attempt_failure& failure, give_up_reason reason) const
        -> retry_decision;

    retry_settings settings_;
    random_source& random_;
    retry_guards guards_;
    retry_budget budget_;
};

} // namespace basilstream::coordination
