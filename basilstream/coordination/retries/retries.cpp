#include "basilstream/coordination/retries/retries.hpp"

#include <algorithm>

namespace basilstream::coordination {
namespace {

auto second_of(time_point now) -> std::int64_t {
    return std::chrono::floor<seconds>(now.time_since_epoch()).count();
}

// Returns whether another attempt would fail with the same error.
auto is_permanent(error_code code) -> bool {
    switch (code) {
    case error_code::unavailable:
    case error_code::overloaded:
    case error_code::timeout:
    case error_code::not_ready:
    case error_code::not_found: // not on this runner; others may have it
    case error_code::backend_error:
    case error_code::incomplete_answer:
    case error_code::crossed_answer:
    case error_code::outcome_unknown:
        return false;
    default:
        return true;
    }
}

} // namespace

retry_budget::retry_budget(double ratio, double per_second,
                           time_point per_second_from)
    : ratio_{ratio}, per_second_{per_second}, per_second_from_{
                                                  per_second_from} {}

auto retry_budget::bucket_at(time_point now) -> second_bucket& {
    const auto second = second_of(now);
    auto& bucket_of_second =
        buckets_[static_cast<std::size_t>(second) % buckets_.size()];
    if (bucket_of_second.second_ != second) {
        bucket_of_second = {second, 0, 0};
    }
    return bucket_of_second;
}

auto retry_budget::deposit(time_point now) -> void {
    ++bucket_at(now).requests_;
}

auto retry_budget::balance(time_point now) const -> double {
    const auto oldest =
        second_of(now) - static_cast<std::int64_t>(window_seconds_);
    auto balance = now < per_second_from_
                       ? 0.0
                       : per_second_ * static_cast<double>(window_seconds_);
    for (const auto& bucket : buckets_) {
        // The oldest second lies in the window in part. Counting its retries
        // but not its requests keeps every span of the window's length within
        // the budget.
        if (bucket.second_ >= oldest) {
            balance -= bucket.retries_;
        }
        if (bucket.second_ > oldest) {
            balance += ratio_ * bucket.requests_;
        }
    }
    return balance;
}

auto retry_budget::withdraw(time_point now) -> bool {
    if (balance(now) < 1) {
        return false;
    }
    ++bucket_at(now).retries_;
    return true;
}

retry_policy::retry_policy(retry_settings settings, random_source& random,
                           retry_guards guards)
    : settings_{settings}, random_{random}, guards_{guards},
      budget_{settings.budget_ratio_, settings.budget_per_second_,
              settings.budget_per_second_from_} {}

auto retry_policy::find_give_up_reason(const attempt_failure& failure) const
    -> give_up_reason {
    if (failure.forwarded_) {
        return give_up_reason::forwarded;
    }
    if (is_permanent(failure.error_.code_)) {
        return give_up_reason::permanent;
    }
    if (!guards_.may_repeat_(failure)) {
        return give_up_reason::not_repeatable;
    }
    if (failure.delivered_ > 0 && !failure.resumable_) {
        return give_up_reason::not_resumable;
    }
    if (failure.attempts_ >= settings_.max_attempts_) {
        return give_up_reason::attempts_exhausted;
    }
    return give_up_reason::none;
}

// Returns an exponential backoff with full jitter, but at least the Retry-After
// of the failed attempt.
auto retry_policy::backoff_delay(const attempt_failure& failure) -> duration {
    const auto doublings = std::clamp(failure.attempts_ - 1, 0, 20);
    const auto bound = std::min(settings_.first_delay_ * (1 << doublings),
                                settings_.longest_delay_);
    const auto jittered = duration{static_cast<duration::rep>(
        random_.fraction() * static_cast<double>(bound.count()))};
    const auto requested_delay =
        failure.error_.retry_after_.value_or(milliseconds{0});
    return std::max<duration>(jittered, requested_delay);
}

auto retry_policy::give_up(const attempt_failure& failure,
                           give_up_reason reason) const -> retry_decision {
    auto final_error = failure.error_;
    const auto repeatable =
        failure.idempotent_ || final_error.run_ == run_status::not_run;
    if (reason != give_up_reason::permanent && repeatable &&
        !final_error.retry_after_) {
        final_error.retry_after_ = settings_.retry_hint_;
    }
    return {
        .retry_ = false, .reason_ = reason, .error_ = std::move(final_error)};
}

auto retry_policy::decide(const attempt_failure& failure, time_point now)
    -> retry_decision {
    const auto reason = find_give_up_reason(failure);
    if (reason != give_up_reason::none) {
        return give_up(failure, reason);
    }
    const auto not_before = now + backoff_delay(failure);
    if (not_before >= failure.deadline_) {
        return give_up(failure, give_up_reason::deadline);
    }
    if (!failure.nothing_sent_ && !guards_.within_budget_(budget_, now)) {
        return give_up(failure, give_up_reason::budget_exhausted);
    }
    auto excluded = failure.failed_runners_;
    excluded.push_back(failure.runner_);
    return {.retry_ = true,
            .not_before_ = not_before,
            .excluded_ = std::move(excluded),
            .resume_position_ = failure.delivered_};
}

auto retry_policy::hedge(const slow_attempt& attempt, time_point now) -> bool {
    const auto useful = attempt.elapsed_ > attempt.p95_first_token_time_ &&
                        (attempt.deadline_ == time_point::max() ||
                         now + attempt.minimum_duration_ < attempt.deadline_);
    const auto safe = attempt.idempotent_ && attempt.delivered_ == 0 &&
                      !attempt.forwarded_ && !attempt.hedged_;
    return useful && safe && guards_.within_budget_(budget_, now);
}

} // namespace basilstream::coordination
