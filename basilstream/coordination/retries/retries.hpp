/// Decides whether a failed attempt is repeated, when, and with what excluded.
///
///     auto retries = retry_policy{retry_settings{}, random};
///     retries.on_request(now);                     // once for each request
///     const auto decision = retries.decide(failure, now);
///     if (decision.retry_) { /* not before decision.not_before_ */ }
///     else { /* answer the caller with decision.error_ at once */ }
///
/// Retries and hedges draw on one budget, a share of the recent requests, so
/// that failures cannot multiply the load. Not safe for concurrent use.
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

/// Settings of a retry_policy.
struct retry_settings {
    /// Retries and hedges allowed for each request of the last ten seconds.
    double budget_ratio_ = 0.1;
    /// Allowed each second besides, so that little traffic can be retried.
    double budget_per_second_ = 1;
    /// Attempts of a request at most, the first included.
    int max_attempts_ = 4;
    /// Bound of the first delay; it doubles with each attempt. The delay is
    /// drawn between 0 and the bound ("full jitter").
    duration first_delay_ = milliseconds{20};
    duration longest_delay_ = seconds{2};
    /// Hint given with a final refusal that carries none of its own.
    milliseconds retry_hint_{1000};
};

/// A request that had an attempt fail.
struct attempt_failure {
    /// What went wrong; run_ says whether the attempt may have run.
    error error_ = {};
    std::string runner_ = {};
    /// Attempts so far, the failed one included.
    int attempts_ = 1;
    /// Whether the request may run more than once.
    bool idempotent_ = false;
    /// Tokens that have reached the caller.
    std::uint64_t delivered_ = 0;
    /// Whether the runners can resume the answer at a position.
    bool resumable_ = false;
    /// Whether another daemon is to decide: only the daemon that talks to the
    /// caller retries, or the layers' attempts would multiply.
    bool forwarded_ = false;
    time_point deadline_ = time_point::max();
    /// Runners on which the request failed before, without `runner_`.
    std::vector<std::string> failed_runners_ = {};
};

/// Why a failed attempt is not repeated.
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

/// What to do about a failed attempt.
struct retry_decision {
    bool retry_ = false;
    /// Set if `retry_`.
    time_point not_before_ = {};
    std::vector<std::string> excluded_ = {};
    /// The position at which the next attempt resumes; 0 from the start.
    std::uint64_t resume_position_ = 0;
    /// Set unless `retry_`: the final answer, due at once.
    give_up_reason reason_ = give_up_reason::none;
    std::optional<error> error_ = {};
};

/// A first attempt that is slow to answer.
struct slow_attempt {
    bool idempotent_ = false;
    std::uint64_t delivered_ = 0;
    bool forwarded_ = false;
    /// Whether a hedge of this request was sent already.
    bool hedged_ = false;
    duration elapsed_ = {};
    /// The time to the first token that 95 in 100 requests meet.
    duration p95_first_token_time_ = {};
    time_point deadline_ = time_point::max();
    /// The least time that a new attempt needs.
    duration minimum_duration_ = {};
};

/// Counts requests over the last ten seconds and the retries spent on them
/// (the budget of Finagle's RetryBudget).
class retry_budget {
public:
    retry_budget(double ratio, double per_second);
    /// Changes what is allowed each second besides the ratio.
    auto set_per_second(double per_second) -> void { per_second_ = per_second; }
    /// Changes the share of the requests that may be repeated.
    auto set_ratio(double ratio) -> void { ratio_ = ratio; }
    /// Adds one request's share.
    auto deposit(time_point now) -> void;
    /// Takes one retry; returns false if the budget is spent.
    auto withdraw(time_point now) -> bool;
    /// Returns how many retries are left.
    [[nodiscard]] auto balance(time_point now) const -> double;

private:
    static constexpr auto window_seconds_ = std::size_t{10};
    struct second_bucket {
        std::int64_t second_ = -1;
        double requests_ = 0;
        double retries_ = 0;
    };
    auto bucket_at(time_point now) -> second_bucket&;

    double ratio_;
    double per_second_;
    std::array<second_bucket, window_seconds_> seconds_;
};

/// Checks by name. A test replaces one to show that its check can fail.
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

/// The decision.
class retry_policy {
public:
    retry_policy(retry_settings settings, random_source& random,
                 retry_guards guards = {});

    /// Counts a request (not an attempt) towards the budget.
    auto on_request(time_point now) -> void { budget_.deposit(now); }
    /// Changes settings.budget_per_second_, when the number of daemons that
    /// share an allowance has changed.
    auto set_budget_per_second(double per_second) -> void {
        budget_.set_per_second(per_second);
    }
    /// Changes settings.budget_ratio_.
    auto set_budget_ratio(double ratio) -> void { budget_.set_ratio(ratio); }
    /// Returns how many retries are left.
    [[nodiscard]] auto budget(time_point now) const -> double {
        return budget_.balance(now);
    }

    /// Decides on a failed attempt; a retry is charged to the budget. A final
    /// answer that may be tried again later carries a retry hint.
    [[nodiscard]] auto decide(const attempt_failure& failure, time_point now)
        -> retry_decision;

    /// Decides whether to send a second attempt beside a slow one; a hedge is
    /// charged to the budget. The first answer counts; cancel the other.
    [[nodiscard]] auto hedge(const slow_attempt& attempt, time_point now)
        -> bool;

private:
    auto find_give_up_reason(const attempt_failure& failure) const
        -> give_up_reason;
    auto delay(const attempt_failure& failure) -> duration;
    auto give_up(const attempt_failure& failure, give_up_reason reason) const
        -> retry_decision;

    retry_settings settings_;
    random_source& random_;
    retry_guards guards_;
    retry_budget budget_;
};

} // namespace basilstream::coordination
