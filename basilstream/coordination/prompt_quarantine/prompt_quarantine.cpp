#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "basilstream/coordination/prompt_quarantine/internal/bounds.hpp"
#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::coordination {

using internal::distance;
using internal::same_crash_window;
using internal::uncertain_end_distance;

namespace {

// Number of parts of complete answers that are remembered.
constexpr auto max_innocent = std::size_t{32'768};

constexpr auto arbiter_key = std::string_view{"prompt parts"};

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
    members_ = members.size();
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
    if (found == runs_.end()) {
        return;
    }
    if (!found->second.output_since_) {
        found->second.output_since_ = now;
    }
    settle_uncertain_ends(found->second, now);
}

auto prompt_quarantine::on_alive(std::string_view run_id, time_point now)
    -> void {
    const auto found = runs_.find(std::string{run_id});
    if (found == runs_.end()) {
        return;
    }
    const auto& active_run = found->second;
    settle_uncertain_ends(active_run, now);
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
    if (found == runs_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    runs_.erase(found);
    if (complete) {
        clear_parts(ended.run_.parts_, now);
    }
}

auto prompt_quarantine::clear_parts(const std::vector<prompt_part_id>& parts,
                                    time_point now) -> void {
    auto cleared = prompt_part_clearance{};
    for (const auto part : parts) {
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

auto prompt_quarantine::take_uncertain_ends(
    const std::function<bool(const uncertain_end&)>& fulfils)
    -> std::vector<uncertain_end> {
    auto taken = std::vector<uncertain_end>{};
    std::erase_if(uncertain_ends_, [&](uncertain_end& candidate) {
        const auto matches = fulfils(candidate);
        if (matches) {
            taken.push_back(std::move(candidate));
        }
        return matches;
    });
    return taken;
}

auto prompt_quarantine::settle_uncertain_ends(const local_run& alive,
                                              time_point now) -> void {
    const auto survived =
        take_uncertain_ends([&](const uncertain_end& candidate) {
            const auto& run = candidate.run_.run_;
            const auto since = now - candidate.ended_at_;
            // A run that began before the end has the same process; one that
            // began afterwards has it if no other one can have started yet.
            const auto same_process = alive.started_at_ <= candidate.ended_at_
                                          ? since > settings_.longest_delivery_
                                          : since < settings_.shortest_restart_;
            return candidate.complete_ && same_process &&
                   run.runner_ == alive.run_.runner_ &&
                   run.boot_id_ == alive.run_.boot_id_;
        });
    for (const auto& ended : survived) {
        clear_parts(ended.run_.run_.parts_, now);
    }
}

auto prompt_quarantine::on_uncertain_end(std::string_view run_id, bool complete,
                                         time_point now) -> void {
    const auto found = runs_.find(std::string{run_id});
    if (found == runs_.end()) {
        return;
    }
    uncertain_ends_.push_back({std::move(found->second), now, complete});
    runs_.erase(found);
    const auto run = uncertain_ends_.back().run_.run_;
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
    if (found == runs_.end()) {
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
    const auto ended = take_uncertain_ends([&](const uncertain_end& candidate) {
        return candidate.run_.run_.runner_ == runner;
    });
    for (const auto& lost : ended) {
        fail_trial(lost.run_, now);
        if (auto* const seen = blame_run(lost.run_, lost.ended_at_)) {
            seen->listed_ = true;
        }
    }
}

auto prompt_quarantine::merge(const prompt_part_clearance& received,
                              time_point /*now*/) -> void {
    for (const auto part : received.parts_) {
        ++statistics_.clearances_;
        pending_clearances_.erase(part);
        remember_innocent(part);
        judge_again_ = judge_again_ || suspects_.contains(part);
        release(part, arbiter_ == self_);
    }
}

auto prompt_quarantine::expire(time_point now) -> void {
    if (now >= innocent_since_ + settings_.memory_of_answers_) {
        innocent_since_ = now;
        innocent_before_ = std::exchange(innocent_, {});
    }
    (void)take_uncertain_ends([&](const uncertain_end& candidate) {
        return now >= candidate.ended_at_ + settings_.crash_detection_window_;
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
    send_due_clearances(now);
    return std::exchange(events_, {});
}

} // namespace basilstream::coordination
