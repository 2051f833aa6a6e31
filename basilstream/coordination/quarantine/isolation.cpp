// Isolated runs: the arbiter that grants them and the holders of grants.
#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"

namespace basilstream::coordination {

auto quarantine::make_isolation_request(fingerprint_run run,
                                        time_point now) const
    -> isolation_request {
    auto crashes = active_crashes(run.fingerprint_, now);
    return {.run_ = std::move(run),
            .holder_ = self_,
            .crashes_ = std::move(crashes),
            .renewal_ = false};
}

auto quarantine::find_refusal(const isolation_request& request, time_point now)
    -> std::optional<isolation_refusal> {
    const auto& run = request.run_;
    if (arbiter_ != self_) {
        return isolation_refusal::not_arbiter;
    }
    if (check(run.fingerprint_, now) == quarantine_verdict::quarantined) {
        return isolation_refusal::quarantined;
    }
    if (guards_.taking_over_(now, grants_allowed_from_)) {
        return isolation_refusal::taking_over;
    }
    auto fingerprint_running = false;
    auto runner_occupied = false;
    for (const auto& [id, grant] : grants_) {
        const auto expired = !grant.crashed_at_ && now >= grant.expires_at_;
        if (id == run.request_id_ || expired) {
            continue;
        }
        fingerprint_running =
            fingerprint_running || grant.run_.fingerprint_ == run.fingerprint_;
        runner_occupied = runner_occupied || grant.run_.runner_ == run.runner_;
    }
    if (guards_.fingerprint_busy_(fingerprint_running)) {
        return isolation_refusal::fingerprint_busy;
    }
    if (guards_.runner_busy_(runner_occupied)) {
        return isolation_refusal::runner_busy;
    }
    // Invariants, checked independently of the replaceable guards above.
    if (!holds(!fingerprint_running, "one_isolated_run_per_fingerprint",
               run.request_id_)) {
        return isolation_refusal::fingerprint_busy;
    }
    if (!holds(!runner_occupied, "one_suspect_per_runner", run.runner_)) {
        return isolation_refusal::runner_busy;
    }
    return std::nullopt;
}

auto quarantine::on_isolation_request(const isolation_request& request,
                                      time_point now) -> isolation_answer {
    const auto& id = request.run_.request_id_;
    for (const auto& crash : request.crashes_) {
        static_cast<void>(merge(crash, now));
    }
    if (request.renewal_) {
        // The run is already in flight, so a refusal could not stop it. Record
        // it, so that no conflicting run is granted.
        const auto until = now + settings_.grant_lifetime_;
        grants_.try_emplace(id, grant{request.run_, until})
            .first->second.expires_at_ = until;
        return {.request_id_ = id};
    }
    const auto refusal = find_refusal(request, now);
    if (!refusal) {
        grants_[id] = {request.run_, now + settings_.grant_lifetime_};
        return {.request_id_ = id};
    }
    auto hint = settings_.retry_hint_;
    if (*refusal == isolation_refusal::taking_over) {
        hint = std::chrono::ceil<milliseconds>(grants_allowed_from_ - now);
    } else if (*refusal == isolation_refusal::quarantined) {
        hint = *retry_after(request.run_.fingerprint_, now);
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

auto quarantine::make_isolated_crash(const fingerprint_run& run,
                                     time_point seen_at) -> crash {
    return {.runner_ = run.runner_,
            .boot_id_ = run.boot_id_,
            .seen_at_ = seen_at,
            .isolated_ = true};
}

auto quarantine::on_isolation_release(const isolation_release& release,
                                      time_point now) -> void {
    const auto ended = grants_.extract(release.request_id_);
    if (!ended.empty() && release.crashed_) {
        record_crash(ended.mapped().run_,
                     make_isolated_crash(ended.mapped().run_, now), now);
    }
}

auto quarantine::expire_grants(time_point now) -> void {
    auto unreported = std::vector<fingerprint_run>{};
    std::erase_if(grants_, [&](const auto& entry) {
        const auto& grant = entry.second;
        if (grant.crashed_at_ &&
            now >= *grant.crashed_at_ + settings_.holder_report_timeout_) {
            unreported.push_back(grant.run_);
            return true;
        }
        return !grant.crashed_at_ && now >= grant.expires_at_;
    });
    for (const auto& run : unreported) {
        record_crash(
            run,
            make_isolated_crash(run, now - settings_.holder_report_timeout_),
            now);
    }
}

auto quarantine::make_isolation_error(const isolation_answer& answer) -> error {
    const auto reason =
        answer.refusal_.value_or(isolation_refusal::not_arbiter);
    const auto quarantined = reason == isolation_refusal::quarantined;
    return {.code_ =
                quarantined ? error_code::quarantined : error_code::unavailable,
            .step_ = step::admission,
            .peer_ = {},
            .detail_ =
                "request suspected of crashing a backend server; isolated run "
                "refused: " +
                std::string{isolation_refusal_names.name_of(reason)},
            .run_ = run_status::not_run,
            .retry_after_ = answer.retry_after_};
}

auto quarantine::release_isolation(const std::string& request_id, bool crashed)
    -> void {
    if (arbiter_ == self_) {
        grants_.erase(request_id); // on_crash() has recorded any crash
    } else {
        events_.emplace_back(isolation_release{request_id, crashed});
    }
}

auto quarantine::renew_local_runs(time_point now) -> void {
    for (auto& [id, active_run] : runs_) {
        if (!active_run.isolated_ ||
            now < active_run.renewed_at_ + settings_.grant_lifetime_ / 3) {
            continue;
        }
        active_run.renewed_at_ = now;
        auto renewal = make_isolation_request(active_run.run_, now);
        renewal.renewal_ = true;
        if (arbiter_ == self_) {
            static_cast<void>(on_isolation_request(renewal, now));
        } else {
            events_.emplace_back(std::move(renewal));
        }
    }
}

} // namespace basilstream::coordination
