#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <iterator>
#include <utility>

#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::coordination {
namespace {

// Number of crashes after which a part is held, and after which parts are held
// that cannot be told apart.
constexpr auto crashes_to_hold = std::size_t{3};
constexpr auto crashes_to_hold_ambiguous = std::size_t{5};
// Number of trials of a held part.
constexpr auto max_trials = 2;
// Bounds of the state.
constexpr auto max_crashes = std::size_t{64};
constexpr auto max_parts_of_crash = std::size_t{1024};
constexpr auto max_innocent = std::size_t{32'768};
constexpr auto max_marks = std::size_t{1024};
// Parts in one report, which must fit into a record of the store.
constexpr auto max_parts_of_report = std::size_t{256};
// Reports of one crash arrive within this time of each other if the start of
// the runner's process is not known.
constexpr auto same_crash_window = seconds{10};
// An end that may be a crash belongs to one that is seen this much earlier or
// later.
constexpr auto uncertain_end_distance = seconds{1};
// A mark is published again if it is older than this share of its lifetime and
// still needed.
constexpr auto refresh_share = 4;

constexpr auto arbiter_key = std::string_view{"prompt parts"};

auto distance(time_point left, time_point right) -> duration {
    return left > right ? left - right : right - left;
}

} // namespace

auto format_part(prompt_part_id part) -> std::string {
    auto digits = std::array<char, 17>{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, part);
    return digits.data();
}

auto parse_part(std::string_view digits) -> std::optional<prompt_part_id> {
    constexpr auto base = 16;
    auto part = prompt_part_id{};
    const auto* const last = digits.data() + digits.size();
    const auto [end, failure] =
        std::from_chars(digits.data(), last, part, base);
    return failure == std::errc{} && end == last ? std::optional{part}
                                                 : std::nullopt;
}

prompt_quarantine::prompt_quarantine(prompt_quarantine_settings settings,
                                     std::string self)
    : settings_{settings}, self_{std::move(self)} {}

auto prompt_quarantine::set_members(const std::vector<std::string>& members,
                                    time_point now) -> void {
    const auto selected = select_by_weight(arbiter_key, members, 1);
    const auto& elected = selected.empty() ? self_ : selected.front();
    if (elected == arbiter_) {
        return;
    }
    arbiter_ = elected;
    arbiter_since_ =
        arbiter_ == self_ ? std::optional{now} : std::optional<time_point>{};
}

auto prompt_quarantine::is_innocent(prompt_part_id part) const -> bool {
    return innocent_.contains(part) || innocent_before_.contains(part);
}

auto prompt_quarantine::remember_innocent(prompt_part_id part) -> void {
    innocent_.insert(part);
    if (innocent_.size() >= max_innocent) {
        innocent_before_ = std::exchange(innocent_, {});
    }
}

auto prompt_quarantine::next_trial(const mark& entry) const
    -> std::optional<time_point> {
    if (entry.failed_trials_ >= max_trials) {
        return std::nullopt;
    }
    const auto wait = entry.failed_trials_ > 0 ? settings_.second_trial_after_
                      : entry.ambiguous_
                          ? settings_.first_trial_after_if_ambiguous_
                          : settings_.first_trial_after_;
    return entry.set_at_ + wait;
}

auto prompt_quarantine::may_try(prompt_part_id part, time_point now) const
    -> bool {
    // Runs that may still prove to have ended in a crash count too.
    return arbiter_since_ &&
           now >= *arbiter_since_ + settings_.takeover_delay_ &&
           std::none_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
               const auto& parts = entry.second.run_.parts_;
               return std::find(parts.begin(), parts.end(), part) !=
                      parts.end();
           });
}

auto prompt_quarantine::find_held(const std::vector<prompt_part_id>& parts,
                                  time_point now) const
    -> std::optional<prompt_part_id> {
    if (marks_.empty()) {
        return std::nullopt;
    }
    for (const auto part : parts) {
        const auto found = marks_.find(part);
        if (found == marks_.end()) {
            continue;
        }
        const auto trial_at = next_trial(found->second);
        if (!trial_at || now < *trial_at || !may_try(part, now)) {
            return part;
        }
    }
    return std::nullopt;
}

auto prompt_quarantine::held_for(prompt_part_id part, time_point now) const
    -> duration {
    const auto found = marks_.find(part);
    if (found == marks_.end()) {
        return duration{0};
    }
    const auto until =
        next_trial(found->second)
            .value_or(found->second.set_at_ + settings_.mark_lifetime_);
    return std::max<duration>(until - now, seconds{1});
}

auto prompt_quarantine::on_refused(prompt_part_id part, time_point now)
    -> void {
    ++statistics_.refusals_;
    const auto found = marks_.find(part);
    if (found == marks_.end() || next_trial(found->second)) {
        return;
    }
    // Without further trials the mark lasts as long as such requests come.
    auto& entry = found->second;
    if (now - entry.set_at_ > settings_.mark_lifetime_ / refresh_share) {
        entry.set_at_ = now;
        events_.emplace_back(prompt_part_mark{
            part, duration{0}, entry.ambiguous_, entry.failed_trials_});
    }
}

auto prompt_quarantine::on_dispatch(prompt_run run, time_point now) -> void {
    if (run.parts_.empty()) {
        return;
    }
    const auto trial =
        !marks_.empty() &&
        std::any_of(run.parts_.begin(), run.parts_.end(),
                    [&](prompt_part_id part) { return marks_.contains(part); });
    statistics_.trials_ += trial ? 1 : 0;
    auto id = run.run_id_;
    runs_.insert_or_assign(
        std::move(id),
        local_run{.run_ = std::move(run), .started_at_ = now, .trial_ = trial});
}

auto prompt_quarantine::on_output(std::string_view run_id, time_point now)
    -> void {
    const auto found = runs_.find(std::string{run_id});
    if (found != runs_.end() && !found->second.output_since_) {
        found->second.output_since_ = now;
    }
}

auto prompt_quarantine::on_alive(std::string_view run_id, time_point now)
    -> void {
    if (crashes_.empty()) {
        return;
    }
    const auto found = runs_.find(std::string{run_id});
    if (found == runs_.end()) {
        return;
    }
    const auto& active_run = found->second;
    for (auto& entry : crashes_) {
        const auto refutes =
            !entry.refuted_ && !entry.listed_ && entry.lost_here_at_ &&
            entry.runner_ == active_run.run_.runner_ &&
            entry.boot_id_ == active_run.run_.boot_id_ &&
            active_run.started_at_ > *entry.lost_here_at_ &&
            now - *entry.lost_here_at_ < settings_.shortest_restart_;
        if (refutes) {
            merge(prompt_crash_refutation{entry.runner_, entry.boot_id_}, now);
            events_.emplace_back(
                prompt_crash_refutation{entry.runner_, entry.boot_id_});
        }
    }
}

auto prompt_quarantine::on_finish(std::string_view run_id, bool complete,
                                  time_point now) -> void {
    const auto found = runs_.find(std::string{run_id});
    if (found == runs_.end() || found->second.ended_at_) {
        return;
    }
    const auto ended = std::move(found->second);
    runs_.erase(found);
    if (!complete) {
        return;
    }
    auto cleared = prompt_part_clearance{};
    for (const auto part : ended.run_.parts_) {
        const auto news = !is_innocent(part) && suspects_.contains(part);
        remember_innocent(part);
        if (news || marks_.contains(part)) {
            cleared.parts_.push_back(part);
        }
    }
    if (!cleared.parts_.empty()) {
        for (const auto part : cleared.parts_) {
            release(part, true);
        }
        merge(cleared, now);
        events_.emplace_back(std::move(cleared));
    }
}

auto prompt_quarantine::on_uncertain_end(std::string_view run_id,
                                         time_point now) -> void {
    const auto found = runs_.find(std::string{run_id});
    if (found == runs_.end() || found->second.ended_at_) {
        return;
    }
    found->second.ended_at_ = now;
    const auto& run = found->second.run_;
    const auto known =
        std::any_of(crashes_.begin(), crashes_.end(), [&](const crash& entry) {
            return entry.runner_ == run.runner_ &&
                   entry.boot_id_ == run.boot_id_ && !entry.refuted_ &&
                   distance(entry.seen_at_, now) < uncertain_end_distance;
        });
    if (known) {
        explain_uncertain_ends(std::string{run.runner_},
                               std::string{run.boot_id_}, now);
    }
}

auto prompt_quarantine::on_connection_lost(std::string_view run_id,
                                           time_point now) -> void {
    const auto found = runs_.find(std::string{run_id});
    if (found == runs_.end() || found->second.ended_at_) {
        return;
    }
    const auto lost = std::move(found->second);
    runs_.erase(found);
    fail_trial(lost, now);
    if (auto* const seen = blame_run(lost, now)) {
        seen->lost_here_at_ = now;
        explain_uncertain_ends(lost.run_.runner_, lost.run_.boot_id_, now);
    }
}

auto prompt_quarantine::on_crash(std::string_view runner, time_point now)
    -> void {
    for (auto& entry : crashes_) {
        const auto same =
            entry.runner_ == runner && now < entry.seen_at_ + same_crash_window;
        entry.listed_ = entry.listed_ || same;
    }
    auto ended = std::vector<local_run>{};
    for (const auto& [id, candidate] : runs_) {
        if (candidate.run_.runner_ == runner && candidate.ended_at_) {
            ended.push_back(candidate);
        }
    }
    for (const auto& lost : ended) {
        runs_.erase(lost.run_.run_id_);
        fail_trial(lost, now);
        if (auto* const seen = blame_run(lost, *lost.ended_at_)) {
            seen->listed_ = true;
        }
    }
}

auto prompt_quarantine::explain_uncertain_ends(std::string_view runner,
                                               std::string_view boot_id,
                                               time_point seen_at) -> void {
    auto explained = std::vector<local_run>{};
    for (const auto& [id, candidate] : runs_) {
        if (candidate.ended_at_ && candidate.run_.runner_ == runner &&
            candidate.run_.boot_id_ == boot_id &&
            distance(*candidate.ended_at_, seen_at) < uncertain_end_distance) {
            explained.push_back(candidate);
        }
    }
    for (const auto& lost : explained) {
        runs_.erase(lost.run_.run_id_);
        fail_trial(lost, seen_at);
        blame_run(lost, *lost.ended_at_);
    }
}

auto prompt_quarantine::fail_trial(const local_run& ended, time_point now)
    -> void {
    if (!ended.trial_) {
        return;
    }
    for (const auto part : ended.run_.parts_) {
        const auto found = marks_.find(part);
        if (found == marks_.end()) {
            continue;
        }
        auto& entry = found->second;
        entry.set_at_ = now;
        ++entry.failed_trials_;
        events_.emplace_back(prompt_part_mark{
            part, duration{0}, entry.ambiguous_, entry.failed_trials_});
    }
}

auto prompt_quarantine::blame_run(const local_run& ended, time_point seen_at)
    -> crash* {
    if (ended.output_since_ &&
        seen_at - *ended.output_since_ >= settings_.harmless_output_) {
        return nullptr;
    }
    auto& seen = add_crash(ended.run_.runner_, ended.run_.boot_id_, seen_at);
    add_parts(seen, ended.run_.parts_, true);
    own_crash_added_ = true;
    return &seen;
}

auto prompt_quarantine::find_crash(std::string_view runner,
                                   std::string_view boot_id, time_point seen_at)
    -> crash* {
    const auto found =
        std::find_if(crashes_.begin(), crashes_.end(), [&](const crash& entry) {
            return entry.runner_ == runner && entry.boot_id_ == boot_id &&
                   (!boot_id.empty() ||
                    distance(entry.seen_at_, seen_at) < same_crash_window);
        });
    return found == crashes_.end() ? nullptr : &*found;
}

auto prompt_quarantine::forget_parts(crash& target) -> void {
    for (const auto part : std::exchange(target.parts_, {})) {
        if (--suspects_[part] <= 0) {
            suspects_.erase(part);
        }
    }
}

auto prompt_quarantine::add_crash(const std::string& runner,
                                  const std::string& boot_id,
                                  time_point seen_at) -> crash& {
    if (auto* const known = find_crash(runner, boot_id, seen_at)) {
        // A process that loses connections once more has lived until now.
        const auto survived =
            known->refuted_
                ? seen_at > known->seen_at_ + settings_.shortest_restart_
                : !known->listed_ &&
                      seen_at > known->seen_at_ + same_crash_window;
        if (survived) {
            forget_parts(*known);
            *known = {
                .runner_ = runner, .boot_id_ = boot_id, .seen_at_ = seen_at};
        }
        return *known;
    }
    if (crashes_.size() >= max_crashes) {
        forget_parts(crashes_.front());
        crashes_.pop_front();
    }
    ++statistics_.crashes_;
    crashes_.push_back(
        {.runner_ = runner, .boot_id_ = boot_id, .seen_at_ = seen_at});
    return crashes_.back();
}

auto prompt_quarantine::add_parts(crash& target,
                                  const std::vector<prompt_part_id>& parts,
                                  bool own) -> void {
    auto added = std::vector<prompt_part_id>{};
    for (const auto part : parts) {
        const auto known = std::binary_search(target.parts_.begin(),
                                              target.parts_.end(), part);
        if (!known && !(own && is_innocent(part))) {
            added.push_back(part);
        }
    }
    // At the bound, parts of other crashes matter most.
    std::stable_partition(added.begin(), added.end(), [&](prompt_part_id part) {
        return suspects_.contains(part);
    });
    const auto room =
        max_parts_of_crash - std::min(max_parts_of_crash, target.parts_.size());
    added.resize(std::min(added.size(), room));
    if (added.empty()) {
        return;
    }
    for (const auto part : added) {
        ++suspects_[part];
    }
    target.parts_.insert(target.parts_.end(), added.begin(), added.end());
    std::sort(target.parts_.begin(), target.parts_.end());
    if (own) {
        target.unreported_.insert(target.unreported_.end(), added.begin(),
                                  added.end());
    }
    judge_again_ = true;
}

auto prompt_quarantine::find_blamed() const -> judgement {
    auto candidates = std::map<prompt_part_id, std::vector<const crash*>>{};
    for (const auto& entry : crashes_) {
        if (entry.refuted_) {
            continue;
        }
        for (const auto part : entry.parts_) {
            const auto known = suspects_.find(part);
            if (known != suspects_.end() &&
                known->second >= static_cast<int>(crashes_to_hold) &&
                !is_innocent(part)) {
                candidates[part].push_back(&entry);
            }
        }
    }
    // Counts crashes that nothing explains yet, those at nearly the same time
    // as one.
    auto result = judgement{};
    auto& explained = result.explained_;
    const auto count = [&](const std::vector<const crash*>& crashes) {
        auto times = std::vector<time_point>{};
        for (const auto* const entry : crashes) {
            if (!explained.contains(entry)) {
                times.push_back(entry->seen_at_);
            }
        }
        std::sort(times.begin(), times.end());
        auto counted = std::size_t{0};
        auto last = std::optional<time_point>{};
        for (const auto at : times) {
            if (!last || at - *last >= settings_.coincidence_) {
                ++counted;
                last = at;
            }
        }
        return counted;
    };
    while (!candidates.empty()) {
        auto best = std::size_t{0};
        auto suspected = std::vector<prompt_part_id>{};
        for (const auto& [part, crashes] : candidates) {
            const auto counted = count(crashes);
            if (counted > best) {
                best = counted;
                suspected.clear();
            }
            if (counted == best) {
                suspected.push_back(part);
            }
        }
        if (best < crashes_to_hold) {
            break;
        }
        // Parts that were in flight at different crashes are to blame each.
        const auto overlaps = [&](prompt_part_id left, prompt_part_id right) {
            const auto& others = candidates[right];
            return left != right &&
                   std::any_of(candidates[left].begin(), candidates[left].end(),
                               [&](const auto* entry) {
                                   return !explained.contains(entry) &&
                                          std::find(others.begin(),
                                                    others.end(),
                                                    entry) != others.end();
                               });
        };
        auto to_blame = blamed_parts{};
        for (const auto part : suspected) {
            const auto ambiguous = std::any_of(
                suspected.begin(), suspected.end(),
                [&](prompt_part_id other) { return overlaps(part, other); });
            if (!ambiguous || best >= crashes_to_hold_ambiguous) {
                to_blame[part] = ambiguous;
            }
        }
        if (to_blame.empty()) {
            break;
        }
        for (const auto& [part, ambiguous] : to_blame) {
            result.blamed_[part] = ambiguous;
            explained.insert(candidates[part].begin(), candidates[part].end());
            candidates.erase(part);
        }
    }
    return result;
}

auto prompt_quarantine::is_unfounded(prompt_part_id part,
                                     const judgement& reached) const -> bool {
    auto seen = false;
    for (const auto& entry : crashes_) {
        const auto involved =
            std::binary_search(entry.parts_.begin(), entry.parts_.end(), part);
        if (involved && !entry.refuted_ &&
            !reached.explained_.contains(&entry)) {
            return false;
        }
        seen = seen || involved;
    }
    return seen;
}

auto prompt_quarantine::update_marks(bool publish, time_point now) -> void {
    const auto reached = find_blamed();
    for (const auto& [part, ambiguous] : reached.blamed_) {
        const auto found = marks_.find(part);
        if (found == marks_.end()) {
            set_mark(part, {now, ambiguous, 0, true}, publish, now);
        } else {
            found->second.derived_ = true;
            found->second.ambiguous_ = found->second.ambiguous_ && ambiguous;
        }
    }
    // A part is released if another one explains its crashes.
    auto unfounded = std::vector<prompt_part_id>{};
    for (auto& [part, entry] : marks_) {
        if (!entry.derived_ || entry.failed_trials_ > 0 ||
            reached.blamed_.contains(part)) {
            continue;
        }
        if (is_unfounded(part, reached)) {
            unfounded.push_back(part);
        } else {
            // The mark was set before all reports had arrived.
            entry.ambiguous_ = true;
        }
    }
    for (const auto part : unfounded) {
        release(part, arbiter_ == self_);
    }
}

auto prompt_quarantine::set_mark(prompt_part_id part, const mark& entry,
                                 bool publish, time_point now) -> void {
    if (marks_.size() >= max_marks) {
        marks_.erase(std::min_element(marks_.begin(), marks_.end(),
                                      [](const auto& left, const auto& right) {
                                          return left.second.set_at_ <
                                                 right.second.set_at_;
                                      }));
    }
    marks_.insert_or_assign(part, entry);
    ++statistics_.marks_;
    if (publish) {
        events_.emplace_back(prompt_part_mark{
            part, now - entry.set_at_, entry.ambiguous_, entry.failed_trials_});
    }
}

auto prompt_quarantine::release(prompt_part_id part, bool publish) -> void {
    if (marks_.erase(part) == 0) {
        return;
    }
    ++statistics_.releases_;
    if (publish) {
        events_.emplace_back(prompt_part_release{part});
    }
}

auto prompt_quarantine::clear_suspects(
    const std::vector<prompt_part_id>& reported) -> void {
    auto cleared = prompt_part_clearance{};
    for (const auto part : reported) {
        const auto known = suspects_.find(part);
        if (known != suspects_.end() &&
            known->second >= static_cast<int>(crashes_to_hold) - 1 &&
            is_innocent(part)) {
            cleared.parts_.push_back(part);
        }
    }
    if (!cleared.parts_.empty()) {
        events_.emplace_back(std::move(cleared));
    }
}

auto prompt_quarantine::merge(const prompt_crash& received, time_point now)
    -> void {
    const auto seen_at = now - received.age_;
    if (now >= seen_at + settings_.crash_lifetime_) {
        return;
    }
    auto& seen = add_crash(received.runner_, received.boot_id_, seen_at);
    add_parts(seen, received.parts_, false);
    clear_suspects(received.parts_);
    explain_uncertain_ends(received.runner_, received.boot_id_, seen_at);
}

auto prompt_quarantine::merge(const prompt_crash_refutation& received,
                              time_point now) -> void {
    for (auto& entry : crashes_) {
        if (entry.runner_ == received.runner_ &&
            entry.boot_id_ == received.boot_id_ && !entry.refuted_ &&
            !entry.listed_ && now - entry.seen_at_ < same_crash_window) {
            entry.refuted_ = true;
            entry.unreported_.clear();
            ++statistics_.refutations_;
            judge_again_ = true;
        }
    }
}

auto prompt_quarantine::merge(const prompt_part_clearance& received,
                              time_point /*now*/) -> void {
    for (const auto part : received.parts_) {
        ++statistics_.clearances_;
        remember_innocent(part);
        judge_again_ = judge_again_ || suspects_.contains(part);
        release(part, arbiter_ == self_);
    }
}

auto prompt_quarantine::merge(const prompt_part_mark& received, time_point now)
    -> void {
    const auto entry = mark{now - received.age_, received.ambiguous_,
                            received.failed_trials_, false};
    if (received.age_ >= settings_.mark_lifetime_ ||
        is_innocent(received.part_)) {
        return;
    }
    const auto known = marks_.find(received.part_);
    if (known == marks_.end()) {
        set_mark(received.part_, entry, false, now);
        return;
    }
    auto& existing = known->second;
    if (entry.failed_trials_ >= existing.failed_trials_) {
        existing.failed_trials_ = entry.failed_trials_;
        existing.set_at_ = std::max(existing.set_at_, entry.set_at_);
    }
}

auto prompt_quarantine::merge(const prompt_part_release& received,
                              time_point /*now*/) -> void {
    release(received.part_, false);
}

auto prompt_quarantine::report_crashes(time_point now) -> void {
    for (auto& entry : crashes_) {
        auto& parts = entry.unreported_;
        for (auto first = std::size_t{0}; first < parts.size();
             first += max_parts_of_report) {
            const auto last =
                std::min(parts.size(), first + max_parts_of_report);
            events_.emplace_back(prompt_crash{
                entry.runner_,
                entry.boot_id_,
                now - entry.seen_at_,
                {std::next(parts.begin(), static_cast<std::ptrdiff_t>(first)),
                 std::next(parts.begin(), static_cast<std::ptrdiff_t>(last))}});
        }
        parts.clear();
    }
}

auto prompt_quarantine::expire(time_point now) -> void {
    if (now >= innocent_since_ + settings_.memory_of_answers_) {
        innocent_since_ = now;
        innocent_before_ = std::exchange(innocent_, {});
    }
    std::erase_if(runs_, [&](const auto& entry) {
        const auto& ended_at = entry.second.ended_at_;
        return ended_at && now >= *ended_at + settings_.crash_detection_window_;
    });
    while (!crashes_.empty() &&
           now >= crashes_.front().seen_at_ + settings_.crash_lifetime_) {
        forget_parts(crashes_.front());
        crashes_.pop_front();
    }
    auto outdated = std::vector<prompt_part_id>{};
    for (const auto& [part, entry] : marks_) {
        if (now >= entry.set_at_ + settings_.mark_lifetime_) {
            outdated.push_back(part);
        }
    }
    for (const auto part : outdated) {
        release(part, arbiter_ == self_);
    }
}

auto prompt_quarantine::poll(time_point now)
    -> std::vector<prompt_quarantine_event> {
    expire(now);
    if (std::exchange(judge_again_, false)) {
        const auto own = std::exchange(own_crash_added_, false);
        update_marks(own || arbiter_ == self_, now);
    }
    report_crashes(now);
    return std::exchange(events_, {});
}

auto prompt_quarantine::list() const -> std::vector<held_part> {
    auto result = std::vector<held_part>{};
    for (const auto& [part, entry] : marks_) {
        result.push_back({part, entry.ambiguous_, entry.failed_trials_});
    }
    return result;
}

} // namespace basilstream::coordination
