#include "basilstream/coordination/quarantine/quarantine.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {
namespace {

// Number of distinct runner crashes after which a fingerprint is quarantined.
constexpr auto crashes_to_quarantine = std::size_t{2};
// Thresholds for possible crashes, of which only the lost connection is known:
// number of runner processes, and number of runs on any of them. A connection
// may also be lost to a runner that lives, and a runner's new start may not be
// known yet.
constexpr auto processes_to_quarantine = std::size_t{3};
constexpr auto lost_runs_to_quarantine = std::size_t{4};
// Fingerprints are kept for hours, so that they need not be visited at each
// poll.
constexpr auto record_expiry_interval = seconds{1};

} // namespace

quarantine::quarantine(quarantine_settings settings, std::string self,
                       quarantine_guards guards)
    : settings_{settings}, self_{std::move(self)}, guards_{guards},
      arbiter_{self_} {}

auto quarantine::set_members(const std::vector<std::string>& members,
                             time_point now) -> void {
    const auto weight = [](const std::string& name) {
        return XXH3_64bits(name.data(), name.size());
    };
    const auto highest = std::max_element(
        members.begin(), members.end(),
        [&](const auto& left, const auto& right) {
            return std::pair{weight(left), std::string_view{left}} <
                   std::pair{weight(right), std::string_view{right}};
        });
    const auto new_arbiter = highest == members.end() ? self_ : *highest;
    const auto first_update = !has_members_;
    has_members_ = true;
    if (new_arbiter == arbiter_ && !first_update) {
        return;
    }
    arbiter_ = new_arbiter;
    if (arbiter_ == self_) {
        grants_allowed_from_ = now + settings_.takeover_delay_;
    }
    // Makes the renewals due, so that the new arbiter learns of the isolated
    // runs in flight.
    for (auto& [id, active_run] : runs_) {
        active_run.renewed_at_ = now - settings_.grant_lifetime_;
    }
}

auto quarantine::is_same_crash(const crash& left, const crash& right) const
    -> bool {
    if (left.runner_ != right.runner_) {
        return false;
    }
    if (!left.run_id_.empty() && left.run_id_ == right.run_id_) {
        return true;
    }
    // A crash ends all runs on the runner, so that a run which began after the
    // crash ended with another one.
    if (left.run_started_at_ && right.run_started_at_) {
        const auto& [earlier, later] = left.seen_at_ < right.seen_at_
                                           ? std::tie(left, right)
                                           : std::tie(right, left);
        return *later.run_started_at_ < earlier.seen_at_ ||
               later.seen_at_ == earlier.seen_at_;
    }
    const auto same_boot =
        !left.boot_id_.empty() && left.boot_id_ == right.boot_id_;
    const auto distance = left.seen_at_ > right.seen_at_
                              ? left.seen_at_ - right.seen_at_
                              : right.seen_at_ - left.seen_at_;
    return same_boot || distance < settings_.same_crash_window_;
}

auto quarantine::make_crash(const suspicion& received, time_point now)
    -> crash {
    auto observed = crash{received.runner_, received.boot_id_,
                          now - received.age_, received.isolated_};
    if (received.ran_for_) {
        observed.run_started_at_ = observed.seen_at_ - *received.ran_for_;
    }
    observed.evidence_ = received.evidence_;
    observed.run_id_ = received.run_id_;
    return observed;
}

auto quarantine::make_crash(const local_run& ended, crash_evidence evidence,
                            time_point seen_at) -> crash {
    return {.runner_ = ended.run_.runner_,
            .boot_id_ = ended.run_.boot_id_,
            .seen_at_ = seen_at,
            .isolated_ = ended.isolated_,
            .run_started_at_ = ended.started_at_,
            .evidence_ = evidence,
            .run_id_ = ended.run_.request_id_};
}

auto quarantine::make_suspicion(const fingerprint& print, const crash& observed,
                                time_point now) -> suspicion {
    auto result = suspicion{print, observed.runner_, observed.boot_id_,
                            now - observed.seen_at_, observed.isolated_};
    if (observed.run_started_at_) {
        result.ran_for_ = observed.seen_at_ - *observed.run_started_at_;
    }
    result.evidence_ = observed.evidence_;
    result.run_id_ = observed.run_id_;
    return result;
}

auto quarantine::is_active(const crash& observed, time_point now) const
    -> bool {
    return !observed.cleared_ &&
           now < observed.seen_at_ + settings_.suspicion_lifetime_;
}

auto quarantine::count_active_crashes(const record& entry, time_point now) const
    -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        entry.crashes_.begin(), entry.crashes_.end(),
        [&](const crash& observed) { return is_active(observed, now); }));
}

auto quarantine::active_crashes(const fingerprint& print, time_point now) const
    -> std::vector<suspicion> {
    auto result = std::vector<suspicion>{};
    const auto found = records_.find(print);
    if (found == records_.end()) {
        return result;
    }
    for (const auto& observed : found->second.crashes_) {
        if (is_active(observed, now)) {
            result.push_back(make_suspicion(print, observed, now));
        }
    }
    return result;
}

auto quarantine::coincide(const crash& earlier, const crash& later) const
    -> bool {
    // A run that began after the earlier crash may be its repetition.
    const auto side_by_side =
        later.run_started_at_ && *later.run_started_at_ < earlier.seen_at_;
    return side_by_side &&
           later.seen_at_ - earlier.seen_at_ < settings_.coincidence_;
}

auto quarantine::group_active_crashes(const record& entry, time_point now) const
    -> std::vector<std::vector<const crash*>> {
    auto active = std::vector<const crash*>{};
    for (const auto& observed : entry.crashes_) {
        if (is_active(observed, now)) {
            active.push_back(&observed);
        }
    }
    std::stable_sort(active.begin(), active.end(),
                     [](const crash* left, const crash* right) {
                         return left->seen_at_ < right->seen_at_;
                     });
    auto groups = std::vector<std::vector<const crash*>>{};
    for (const auto* const observed : active) {
        if (groups.empty() || !coincide(*groups.back().front(), *observed)) {
            groups.emplace_back();
        }
        groups.back().push_back(observed);
    }
    return groups;
}

auto quarantine::has_crashed_enough(const record& entry, time_point now) const
    -> bool {
    const auto groups = group_active_crashes(entry, now);
    auto processes = std::set<std::pair<std::string, std::string>>{};
    for (const auto& group : groups) {
        processes.emplace(group.front()->runner_, group.front()->boot_id_);
    }
    const auto certain = static_cast<std::size_t>(
        std::count_if(groups.begin(), groups.end(), [](const auto& group) {
            return std::any_of(
                group.begin(), group.end(), [](const crash* observed) {
                    return observed->evidence_ == crash_evidence::runner_gone;
                });
        }));
    return certain >= crashes_to_quarantine ||
           processes.size() >= processes_to_quarantine ||
           groups.size() >= lost_runs_to_quarantine;
}

// Returns whether the crash is new, or more is known of it now: that the runner
// is gone, or that the run was isolated.
auto quarantine::add_crash(const fingerprint& print, crash observed,
                           time_point now) -> bool {
    if (now >= observed.seen_at_ + settings_.suspicion_lifetime_) {
        return false;
    }
    if (!records_.contains(print) && records_.size() >= settings_.capacity_) {
        evict_oldest_suspect();
    }
    auto& crashes = records_[print].crashes_;
    const auto existing =
        std::find_if(crashes.begin(), crashes.end(), [&](const crash& other) {
            return is_same_crash(other, observed);
        });
    if (existing == crashes.end()) {
        crashes.push_back(std::move(observed));
        ++statistics_.crashes_;
        return true;
    }
    ++statistics_.duplicate_crashes_;
    const auto confirmed = observed.isolated_ && !existing->isolated_;
    const auto certain = observed.evidence_ == crash_evidence::runner_gone &&
                         existing->evidence_ != crash_evidence::runner_gone;
    existing->isolated_ = existing->isolated_ || observed.isolated_;
    if (certain) {
        existing->evidence_ = crash_evidence::runner_gone;
    }
    return confirmed || certain;
}

auto quarantine::is_on_trial(const record& entry, time_point now) const
    -> bool {
    return !settings_.isolate_suspects_ && entry.marked_until_ &&
           now >= *entry.marked_until_;
}

auto quarantine::may_try(const fingerprint& print, time_point now) const
    -> bool {
    // Runs whose crash may still be detected count too.
    return has_members_ && arbiter_ == self_ && now >= grants_allowed_from_ &&
           std::none_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
               return entry.second.run_.fingerprint_ == print;
           });
}

auto quarantine::mark_lifetime(const record& entry) const -> duration {
    if (settings_.isolate_suspects_) {
        return entry.confirmed_ ? settings_.mark_lifetime_
                                : settings_.unconfirmed_lifetime_;
    }
    auto lifetime = settings_.unconfirmed_lifetime_;
    for (auto trial = 0; trial < entry.failed_trials_ &&
                         lifetime < settings_.max_mark_lifetime_;
         ++trial) {
        lifetime *= settings_.trial_backoff_factor_;
    }
    return std::min(lifetime, settings_.max_mark_lifetime_);
}

auto quarantine::update_mark(const fingerprint& print, record& entry,
                             time_point seen_at, bool append_to_log,
                             time_point now) -> void {
    const auto confirmed =
        std::any_of(entry.crashes_.begin(), entry.crashes_.end(),
                    [&](const crash& observed) {
                        return is_active(observed, now) && observed.isolated_;
                    });
    const auto marked = entry.marked_until_ && now < *entry.marked_until_;
    const auto on_trial = is_on_trial(entry, now);
    const auto justified = on_trial ? seen_at >= *entry.marked_until_
                                    : has_crashed_enough(entry, now);
    if (!justified || (marked && (entry.confirmed_ || !confirmed))) {
        return;
    }
    ++statistics_.marks_;
    entry.failed_trials_ += on_trial ? 1 : 0;
    entry.confirmed_ = confirmed;
    entry.marked_until_ = now + mark_lifetime(entry);
    entry.marked_runners_.clear();
    for (const auto& observed : entry.crashes_) {
        if (is_active(observed, now)) {
            entry.marked_runners_.push_back(observed.runner_);
        }
    }
    if (append_to_log) {
        events_.emplace_back(
            quarantine_mark{.fingerprint_ = print,
                            .runners_ = entry.marked_runners_,
                            .confirmed_ = confirmed,
                            .failed_trials_ = entry.failed_trials_});
    }
}

auto quarantine::check(const fingerprint& print, time_point now) const
    -> quarantine_verdict {
    const auto found = records_.find(print);
    if (found == records_.end()) {
        return quarantine_verdict::clear;
    }
    const auto& entry = found->second;
    if (entry.marked_until_ && now < *entry.marked_until_) {
        return quarantine_verdict::quarantined;
    }
    if (is_on_trial(entry, now)) {
        return may_try(print, now) ? quarantine_verdict::suspected
                                   : quarantine_verdict::quarantined;
    }
    return count_active_crashes(entry, now) > 0 ? quarantine_verdict::suspected
                                                : quarantine_verdict::clear;
}

auto quarantine::retry_after(const fingerprint& print, time_point now) const
    -> std::optional<milliseconds> {
    const auto found = records_.find(print);
    if (found == records_.end() || !found->second.marked_until_) {
        return settings_.retry_hint_;
    }
    // Until the arbiter has made a trial of an expired mark, ask again soon.
    return std::max(
        std::chrono::ceil<milliseconds>(*found->second.marked_until_ - now),
        settings_.retry_hint_);
}

auto quarantine::make_quarantined_error(const fingerprint& print,
                                        time_point now) const -> error {
    return {.code_ = error_code::quarantined,
            .step_ = step::admission,
            .peer_ = {},
            .detail_ = "request quarantined because the backend servers that "
                       "ran it crashed; fingerprint " +
                       print.to_string(),
            .run_ = run_status::not_run,
            .retry_after_ = retry_after(print, now)};
}

auto quarantine::on_dispatch(const fingerprint_run& run, time_point now)
    -> bool {
    const auto verdict = check(run.fingerprint_, now);
    const auto grant = received_grants_.find(run.request_id_);
    const auto granted = grant != received_grants_.end() && now < grant->second;
    if (verdict == quarantine_verdict::quarantined ||
        (verdict == quarantine_verdict::suspected && !granted &&
         settings_.isolate_suspects_)) {
        ++statistics_.refusals_;
        drop_grant(run.request_id_);
        return false;
    }
    const auto found = records_.find(run.fingerprint_);
    if (found != records_.end() && is_on_trial(found->second, now)) {
        ++statistics_.trials_;
    }
    received_grants_.erase(run.request_id_);
    runs_[run.request_id_] = {run, granted, now, now};
    return true;
}

auto quarantine::on_finish(std::string_view request_id, bool complete,
                           time_point now) -> void {
    const auto found = runs_.find(std::string{request_id});
    if (found == runs_.end() || found->second.lost_at_) {
        return;
    }
    const auto active_run = std::move(found->second);
    runs_.erase(found);
    if (active_run.isolated_) {
        release_isolation(active_run.run_.request_id_, false);
    }
    if (complete) {
        clear(active_run.run_.fingerprint_, now);
    }
}

auto quarantine::on_connection_lost(std::string_view request_id, time_point now)
    -> void {
    const auto found = runs_.find(std::string{request_id});
    if (found == runs_.end() || found->second.lost_at_) {
        return;
    }
    auto& lost = found->second;
    lost.lost_at_ = now;
    ++statistics_.lost_runs_;
    if (settings_.count_lost_connections_) {
        const auto evidence = lost.runner_gone_
                                  ? crash_evidence::runner_gone
                                  : crash_evidence::connection_lost;
        record_crash(lost.run_, make_crash(lost, evidence, now), now);
    }
}

auto quarantine::on_cancelled(std::string_view request_id, time_point now)
    -> void {
    const auto found = runs_.find(std::string{request_id});
    if (found == runs_.end() || found->second.lost_at_) {
        return;
    }
    auto& cancelled = found->second;
    cancelled.lost_at_ = now;
    if (cancelled.runner_gone_) {
        record_crash(cancelled.run_,
                     make_crash(cancelled, crash_evidence::runner_gone, now),
                     now);
    }
}

auto quarantine::expire_lost_runs(time_point now) -> void {
    auto expired = std::vector<std::string>{};
    for (auto& [id, active_run] : runs_) {
        if (active_run.lost_at_ &&
            now >= *active_run.lost_at_ + settings_.crash_detection_window_) {
            active_run.lost_at_.reset();
            expired.push_back(id);
        }
    }
    statistics_.expired_runs_ += expired.size();
    for (const auto& id : expired) {
        on_finish(id, false, now);
    }
}

auto quarantine::clear(const fingerprint& print, time_point now) -> void {
    if (check(print, now) != quarantine_verdict::suspected) {
        return;
    }
    ++statistics_.clearances_;
    auto cleared = clearance{print, active_crashes(print, now)};
    auto& entry = records_[print];
    for (auto& observed : entry.crashes_) {
        observed.cleared_ = true;
    }
    if (is_on_trial(entry, now)) {
        entry.marked_until_.reset();
        entry.failed_trials_ = 0;
        events_.emplace_back(quarantine_release{print});
    }
    announce(std::move(cleared), now);
}

auto quarantine::record_crash(const fingerprint_run& run, crash observed,
                              time_point now) -> void {
    const auto& print = run.fingerprint_;
    announce(make_suspicion(print, observed, now), now);
    const auto seen_at = observed.seen_at_;
    if (add_crash(print, std::move(observed), now)) {
        update_mark(print, records_[print], seen_at, true, now);
    }
}

auto quarantine::on_crash(std::string_view runner, time_point now)
    -> std::size_t {
    auto affected_runs = std::vector<local_run>{};
    for (const auto& [id, candidate] : runs_) {
        if (candidate.run_.runner_ == runner) {
            affected_runs.push_back(candidate);
        }
    }
    std::sort(affected_runs.begin(), affected_runs.end(),
              [](const local_run& left, const local_run& right) {
                  return left.lost_at_.value_or(time_point::max()) >
                         right.lost_at_.value_or(time_point::max());
              });
    auto counted = std::set<fingerprint>{};
    for (const auto& affected : affected_runs) {
        if (settings_.count_lost_connections_ && !affected.lost_at_) {
            runs_[affected.run_.request_id_].runner_gone_ = true;
            continue;
        }
        runs_.erase(affected.run_.request_id_);
        // Connections lost earlier were lost to a runner that was still alive.
        if (settings_.count_lost_connections_ &&
            !counted.insert(affected.run_.fingerprint_).second) {
            continue;
        }
        record_crash(affected.run_,
                     make_crash(affected, crash_evidence::runner_gone,
                                affected.lost_at_.value_or(now)),
                     now);
        if (affected.isolated_) {
            release_isolation(affected.run_.request_id_, true);
        }
    }
    // The holder of a granted run knows whether the run ended before the crash,
    // but the holder may have failed or its release may be lost. Keeps the
    // grant for `holder_report_timeout_`; expire_grants() then records the
    // crash if no release has arrived.
    for (auto& [id, issued_grant] : grants_) {
        if (issued_grant.run_.runner_ == runner && !issued_grant.crashed_at_) {
            issued_grant.crashed_at_ = now;
        }
    }
    return affected_runs.size();
}

auto quarantine::announce(std::variant<suspicion, clearance> gossip,
                          time_point now) -> void {
    announcements_.push_back(
        {std::move(gossip), now, now, settings_.announcement_count_});
}

auto quarantine::repeat_announcements(time_point now) -> void {
    for (auto& announcement : announcements_) {
        if (now < announcement.next_send_at_) {
            continue;
        }
        announcement.next_send_at_ = now + settings_.announcement_interval_;
        --announcement.remaining_sends_;
        const auto age = now - announcement.created_at_;
        if (auto crash = std::get_if<suspicion>(&announcement.gossip_)) {
            auto message = *crash;
            message.age_ += age;
            events_.emplace_back(std::move(message));
        } else {
            auto message = std::get<clearance>(announcement.gossip_);
            for (auto& cleared : message.crashes_) {
                cleared.age_ += age;
            }
            events_.emplace_back(std::move(message));
        }
    }
    std::erase_if(announcements_, [](const auto& announcement) {
        return announcement.remaining_sends_ <= 0;
    });
}

auto quarantine::merge(const suspicion& received, time_point now) -> bool {
    const auto observed = make_crash(received, now);
    if (!add_crash(received.fingerprint_, observed, now)) {
        return false;
    }
    update_mark(received.fingerprint_, records_[received.fingerprint_],
                observed.seen_at_, arbiter_ == self_, now);
    return true;
}

auto quarantine::merge(const clearance& received, time_point now) -> void {
    if (check(received.fingerprint_, now) == quarantine_verdict::quarantined) {
        return;
    }
    for (const auto& crash : received.crashes_) {
        const auto observed = make_crash(crash, now);
        add_crash(received.fingerprint_, observed, now);
        for (auto& existing : records_[received.fingerprint_].crashes_) {
            existing.cleared_ =
                existing.cleared_ || is_same_crash(existing, observed);
        }
    }
}

auto quarantine::apply(const quarantine_mark& mark, time_point now) -> void {
    auto marked = record{};
    marked.confirmed_ = mark.confirmed_;
    marked.failed_trials_ = mark.failed_trials_;
    marked.marked_runners_ = mark.runners_;
    marked.marked_until_ = now - mark.age_ + mark_lifetime(marked);
    if (now >= *marked.marked_until_ + settings_.trial_retention_) {
        return;
    }
    auto& entry = records_[mark.fingerprint_];
    const auto newer =
        !entry.marked_until_ ||
        std::pair{marked.failed_trials_, *marked.marked_until_} >
            std::pair{entry.failed_trials_, *entry.marked_until_};
    if (settings_.isolate_suspects_ || newer) {
        marked.crashes_ = std::move(entry.crashes_);
        entry = std::move(marked);
    }
}

auto quarantine::lift(const fingerprint& print, time_point) -> void {
    const auto found = records_.find(print);
    if (found == records_.end()) {
        return;
    }
    found->second.marked_until_.reset();
    found->second.failed_trials_ = 0;
    // Kept as cleared, so that late gossip about these crashes does not raise
    // a new suspicion.
    for (auto& observed : found->second.crashes_) {
        observed.cleared_ = true;
    }
}

auto quarantine::evict_oldest_suspect() -> void {
    auto oldest = records_.end();
    for (auto it = records_.begin(); it != records_.end(); ++it) {
        const auto& entry = it->second;
        if (entry.marked_until_ || entry.crashes_.empty()) {
            continue;
        }
        if (oldest == records_.end() ||
            entry.crashes_.front().seen_at_ <
                oldest->second.crashes_.front().seen_at_) {
            oldest = it;
        }
    }
    if (oldest != records_.end()) {
        records_.erase(oldest);
    }
}

auto quarantine::expire(time_point now) -> void {
    std::erase_if(received_grants_, [&](const auto& received_grant) {
        if (now < received_grant.second) {
            return false;
        }
        release_isolation(received_grant.first, false);
        return true;
    });
    expire_grants(now);
    expire_lost_runs(now);
    // Isolated runs depend on when exactly a mark expires.
    if (!settings_.isolate_suspects_ && now < next_record_expiry_) {
        return;
    }
    next_record_expiry_ = now + record_expiry_interval;
    for (auto it = records_.begin(); it != records_.end();) {
        auto& entry = it->second;
        const auto was_marked = entry.marked_until_.has_value();
        expire(entry, now);
        if (was_marked && !entry.marked_until_ &&
            !settings_.isolate_suspects_ && arbiter_ == self_) {
            events_.emplace_back(quarantine_release{it->first});
        }
        const auto empty = entry.crashes_.empty() && !entry.marked_until_;
        it = empty ? records_.erase(it) : std::next(it);
    }
}

auto quarantine::expire(record& entry, time_point now) const -> void {
    if (entry.marked_until_ && now < *entry.marked_until_) {
        return;
    }
    const auto was_marked = entry.marked_until_.has_value();
    const auto kept_for_trial =
        is_on_trial(entry, now) &&
        now < *entry.marked_until_ + settings_.trial_retention_;
    if (entry.marked_until_ && !kept_for_trial) {
        entry.marked_until_.reset();
        entry.failed_trials_ = 0;
    }
    if (settings_.isolate_suspects_ && was_marked) {
        // The fingerprint becomes suspected again for `suspicion_lifetime_`:
        // one more crash renews the mark, a complete answer clears the
        // fingerprint.
        for (auto& observed : entry.crashes_) {
            observed.seen_at_ = now;
        }
    }
    std::erase_if(entry.crashes_, [&](const crash& observed) {
        return now >= observed.seen_at_ + settings_.suspicion_lifetime_;
    });
}

auto quarantine::poll(time_point now) -> std::vector<quarantine_event> {
    expire(now);
    renew_local_runs(now);
    repeat_announcements(now);
    return std::exchange(events_, {});
}

auto quarantine::list(time_point now) const -> std::vector<quarantine_entry> {
    auto result = std::vector<quarantine_entry>{};
    for (const auto& [print, entry] : records_) {
        const auto verdict = check(print, now);
        if (verdict == quarantine_verdict::clear) {
            continue;
        }
        auto status = quarantine_entry{print, verdict, {}, {}};
        if (verdict == quarantine_verdict::quarantined) {
            status.runners_ = entry.marked_runners_;
            status.remaining_ =
                std::max(*entry.marked_until_ - now, duration{0});
        } else {
            const auto suspicions = active_crashes(print, now);
            if (suspicions.empty()) {
                status.runners_ = entry.marked_runners_;
            } else {
                status.runners_.push_back(suspicions.back().runner_);
                status.remaining_ =
                    settings_.suspicion_lifetime_ - suspicions.back().age_;
            }
        }
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace basilstream::coordination
