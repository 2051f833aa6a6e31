// Held parts: when they are set, tried and released.
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

// Number of trials of a held part.
constexpr auto max_trials = 2;
constexpr auto max_marks = std::size_t{1024};
// A mark is published again if it is older than this share of its lifetime and
// still needed.
constexpr auto refresh_share = 4;

} // namespace

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
    const auto has_part = [part](const local_run& each) {
        const auto& parts = each.run_.parts_;
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    };
    // Runs that may still prove to have ended in a crash count too.
    return arbiter_since_ &&
           now >= *arbiter_since_ + settings_.takeover_delay_ &&
           std::none_of(
               runs_.begin(), runs_.end(),
               [&](const auto& entry) { return has_part(entry.second); }) &&
           std::none_of(uncertain_ends_.begin(), uncertain_ends_.end(),
                        [&](const auto& each) { return has_part(each.run_); });
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

auto prompt_quarantine::list() const -> std::vector<held_part> {
    auto result = std::vector<held_part>{};
    for (const auto& [part, entry] : marks_) {
        result.push_back({part, entry.ambiguous_, entry.failed_trials_});
    }
    return result;
}

} // namespace basilstream::coordination
