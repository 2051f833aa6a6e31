// The arbiter and the holders of isolated runs.
#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"

namespace basilstream::coordination {

auto quarantine::ask(fingerprint_run run, time_point now) const
    -> isolation_request {
    auto crashes = crashes_of(run.fingerprint_, now);
    return {.run_ = std::move(run),
            .holder_ = self_,
            .crashes_ = std::move(crashes),
            .renewal_ = false};
}

auto quarantine::refusal_of(const isolation_request& request, time_point now)
    -> std::optional<isolation_refusal> {
    const auto& run = request.run_;
    if (arbiter_ != self_) {
        return isolation_refusal::not_arbiter;
    }
    if (check(run.fingerprint_, now) == quarantine_verdict::quarantined) {
        return isolation_refusal::quarantined;
    }
    if (guards_.taking_over_(now, grants_from_)) {
        return isolation_refusal::taking_over;
    }
    auto equal = false;
    auto neighbour = false;
    for (const auto& [id, grant] : grants_) {
        const auto over = !grant.crashed_ && now >= grant.until_;
        if (id == run.request_id_ || over) {
            continue;
        }
        equal = equal || grant.run_.fingerprint_ == run.fingerprint_;
        neighbour = neighbour || grant.run_.runner_ == run.runner_;
    }
    if (guards_.fingerprint_busy_(equal)) {
        return isolation_refusal::fingerprint_busy;
    }
    if (guards_.runner_busy_(neighbour)) {
        return isolation_refusal::runner_busy;
    }
    // Asserted apart from the guards above.
    if (!holds(!equal, "one_isolated_run_per_fingerprint", run.request_id_)) {
        return isolation_refusal::fingerprint_busy;
    }
    if (!holds(!neighbour, "one_suspect_per_runner", run.runner_)) {
        return isolation_refusal::runner_busy;
    }
    return std::nullopt;
}

auto quarantine::on_isolation_request(const isolation_request& request,
                                      time_point now) -> isolation_answer {
    const auto& id = request.run_.request_id_;
    for (const auto& crash : request.crashes_) {
        merge(crash, now);
    }
    if (request.renewal_) {
        // It is in flight in any case: knowing it is better than not.
        const auto until = now + settings_.grant_lifetime_;
        grants_.try_emplace(id, grant{request.run_, until})
            .first->second.until_ = until;
        return {.request_id_ = id};
    }
    const auto refusal = refusal_of(request, now);
    if (!refusal) {
        grants_[id] = {request.run_, now + settings_.grant_lifetime_};
        return {.request_id_ = id};
    }
    auto hint = settings_.retry_hint_;
    if (*refusal == isolation_refusal::taking_over) {
        hint = std::chrono::ceil<milliseconds>(grants_from_ - now);
    } else if (*refusal == isolation_refusal::quarantined) {
        hint = *refusal_hint(request.run_.fingerprint_, now);
    }
    return {.request_id_ = id, .refusal_ = refusal, .retry_after_ = hint};
}

auto quarantine::on_isolation_answer(const isolation_answer& answer,
                                     time_point now) -> void {
    if (!answer.refusal_) {
        received_grants_[answer.request_id_] =
            now + settings_.grant_lifetime_ / 3;
    }
}

auto quarantine::drop_grant(const std::string& request_id) -> void {
    if (received_grants_.erase(request_id) > 0) {
        release_isolation(request_id, false);
    }
}

auto quarantine::on_isolation_release(const isolation_release& release,
                                      time_point now) -> void {
    const auto ended = grants_.extract(release.request_id_);
    if (!ended.empty() && release.crashed_) {
        count_crash(ended.mapped().run_, true, now, now);
    }
}

auto quarantine::settle_grants(time_point now) -> void {
    auto lost = std::vector<fingerprint_run>{};
    std::erase_if(grants_, [&](const auto& each) {
        const auto& grant = each.second;
        if (grant.crashed_ &&
            now >= *grant.crashed_ + settings_.holder_delay_) {
            lost.push_back(grant.run_);
            return true;
        }
        return !grant.crashed_ && now >= grant.until_;
    });
    for (const auto& run : lost) {
        count_crash(run, true, now - settings_.holder_delay_, now);
    }
}

auto quarantine::refused(const isolation_answer& answer) -> error {
    const auto reason =
        answer.refusal_.value_or(isolation_refusal::not_arbiter);
    const auto quarantined = reason == isolation_refusal::quarantined;
    return {.code_ =
                quarantined ? error_code::quarantined : error_code::unavailable,
            .step_ = step::admission,
            .peer_ = {},
            .detail_ =
                "the request was running on a backend server that crashed: " +
                std::string{isolation_refusal_names.name_of(reason)},
            .run_ = run_status::not_run,
            .retry_after_ = answer.retry_after_};
}

auto quarantine::release_isolation(const std::string& request_id, bool crashed)
    -> void {
    if (arbiter_ == self_) {
        grants_.erase(request_id); // the crash has been counted
    } else {
        events_.emplace_back(isolation_release{request_id, crashed});
    }
}

auto quarantine::renew_own_runs(time_point now) -> void {
    for (auto& [id, own] : runs_) {
        if (!own.isolated_ ||
            now < own.renewed_ + settings_.grant_lifetime_ / 3) {
            continue;
        }
        own.renewed_ = now;
        auto renewal = ask(own.run_, now);
        renewal.renewal_ = true;
        if (arbiter_ == self_) {
            static_cast<void>(on_isolation_request(renewal, now));
        } else {
            events_.emplace_back(std::move(renewal));
        }
    }
}

} // namespace basilstream::coordination
