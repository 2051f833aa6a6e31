// Crashes of runners and the parts that were in flight on them.
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "basilstream/coordination/prompt_quarantine/internal/bounds.hpp"

namespace basilstream::coordination {

using internal::crashes_to_hold;
using internal::distance;
using internal::same_crash_window;
using internal::uncertain_end_distance;

namespace {

constexpr auto max_crashes = std::size_t{64};
constexpr auto max_parts_of_crash = std::size_t{1024};
// Parts in one report, which must fit into a record of the store.
constexpr auto max_parts_of_report = std::size_t{256};

} // namespace

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

auto prompt_quarantine::explain_uncertain_ends(std::string_view runner,
                                               std::string_view boot_id,
                                               time_point seen_at) -> void {
    const auto explained =
        take_uncertain_ends([&](const uncertain_end& candidate) {
            return candidate.run_.run_.runner_ == runner &&
                   candidate.run_.run_.boot_id_ == boot_id &&
                   distance(candidate.ended_at_, seen_at) <
                       uncertain_end_distance;
        });
    for (const auto& lost : explained) {
        fail_trial(lost.run_, seen_at);
        blame_run(lost.run_, lost.ended_at_);
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

auto prompt_quarantine::merge(const prompt_crash& received, time_point now)
    -> void {
    const auto seen_at = now - received.age_;
    if (now >= seen_at + settings_.crash_lifetime_) {
        return;
    }
    auto& seen = add_crash(received.runner_, received.boot_id_, seen_at);
    add_parts(seen, received.parts_, false);
    clear_suspects(received.parts_, now);
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

auto prompt_quarantine::clear_suspects(
    const std::vector<prompt_part_id>& reported, time_point now) -> void {
    for (const auto part : reported) {
        const auto known = suspects_.find(part);
        if (known != suspects_.end() &&
            known->second >= static_cast<int>(crashes_to_hold) - 1 &&
            is_innocent(part)) {
            pending_clearances_.try_emplace(part, now + clearance_delay(part));
        }
    }
}

auto prompt_quarantine::clearance_delay(prompt_part_id part) const -> duration {
    if (members_ <= max_prompt_repliers) {
        return duration{0};
    }
    const auto hash =
        std::hash<std::string>{}(self_ + "/" + std::to_string(part));
    const auto spread =
        settings_.clearance_delay_per_member_ * static_cast<int>(members_);
    return duration{static_cast<duration::rep>(
        hash % static_cast<std::uint64_t>(spread.count()))};
}

auto prompt_quarantine::send_due_clearances(time_point now) -> void {
    auto cleared = prompt_part_clearance{};
    std::erase_if(pending_clearances_, [&](const auto& entry) {
        const auto due = now >= entry.second;
        if (due) {
            cleared.parts_.push_back(entry.first);
        }
        return due;
    });
    if (!cleared.parts_.empty()) {
        events_.emplace_back(std::move(cleared));
    }
}

} // namespace basilstream::coordination
