// Which parts are to blame for the known crashes.
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "basilstream/coordination/prompt_quarantine/internal/bounds.hpp"

namespace basilstream::coordination {

using internal::crashes_to_hold;
using internal::crashes_to_hold_ambiguous;

// Blames parts one after the other, those at most crashes first, until the
// crashes that are left blame none. Parts that were in flight at the same
// crashes are judged together.
class prompt_quarantine::blame_search {
public:
    explicit blame_search(duration coincidence) : coincidence_{coincidence} {}

    auto add(prompt_part_id part, const crash& at) -> void {
        crashes_of_[part].push_back(&at);
    }

    auto run() -> judgement {
        for (auto& [part, crashes] : crashes_of_) {
            groups_[std::move(crashes)].push_back(part);
        }
        while (blame_next()) {
        }
        return std::move(result_);
    }

private:
    using crash_list = std::vector<const crash*>;
    using part_groups = std::map<crash_list, std::vector<prompt_part_id>>;
    using group = part_groups::value_type;

    // Returns the crashes of a group that nothing explains yet.
    [[nodiscard]] auto unexplained(const group& parts) const -> crash_list {
        auto crashes = crash_list{};
        std::copy_if(parts.first.begin(), parts.first.end(),
                     std::back_inserter(crashes), [&](const auto* entry) {
                         return !result_.explained_.contains(entry);
                     });
        return crashes;
    }

    // Counts crashes, those at nearly the same time as one.
    [[nodiscard]] auto count(const crash_list& crashes) const -> std::size_t {
        auto times = std::vector<time_point>{};
        for (const auto* const entry : crashes) {
            times.push_back(entry->seen_at_);
        }
        std::sort(times.begin(), times.end());
        auto counted = std::size_t{0};
        auto last = std::optional<time_point>{};
        for (const auto at : times) {
            if (!last || at - *last >= coincidence_) {
                ++counted;
                last = at;
            }
        }
        return counted;
    }

    // Returns the groups at most unexplained crashes, and their number.
    [[nodiscard]] auto find_suspects() const
        -> std::pair<std::vector<const group*>, std::size_t> {
        auto suspects = std::vector<const group*>{};
        auto most = std::size_t{0};
        for (const auto& candidate : groups_) {
            const auto counted = count(unexplained(candidate));
            if (counted > most) {
                most = counted;
                suspects.clear();
            }
            if (counted == most) {
                suspects.push_back(&candidate);
            }
        }
        return {std::move(suspects), most};
    }

    // Returns whether two groups were in flight at one unexplained crash.
    [[nodiscard]] auto overlap(const group& left, const group& right) const
        -> bool {
        const auto crashes = unexplained(left);
        return std::any_of(
            crashes.begin(), crashes.end(), [&](const auto* entry) {
                return std::find(right.first.begin(), right.first.end(),
                                 entry) != right.first.end();
            });
    }

    // Returns whether a part was to blame.
    auto blame_next() -> bool {
        const auto [suspects, crashes] = find_suspects();
        if (crashes < crashes_to_hold) {
            return false;
        }
        auto to_blame = std::vector<std::pair<const group*, bool>>{};
        for (const auto* const candidate : suspects) {
            const auto ambiguous =
                candidate->second.size() > 1 ||
                std::any_of(suspects.begin(), suspects.end(),
                            [&](const auto* other) {
                                return other != candidate &&
                                       overlap(*candidate, *other);
                            });
            if (!ambiguous || crashes >= crashes_to_hold_ambiguous) {
                to_blame.emplace_back(candidate, ambiguous);
            }
        }
        for (const auto& [blamed, ambiguous] : to_blame) {
            for (const auto part : blamed->second) {
                result_.blamed_[part] = ambiguous;
            }
            result_.explained_.insert(blamed->first.begin(),
                                      blamed->first.end());
            groups_.erase(groups_.find(blamed->first));
        }
        return !to_blame.empty();
    }

    duration coincidence_;
    std::map<prompt_part_id, crash_list> crashes_of_;
    part_groups groups_;
    judgement result_;
};

auto prompt_quarantine::find_blamed() const -> judgement {
    auto search = blame_search{settings_.coincidence_};
    for (const auto& entry : crashes_) {
        if (entry.refuted_) {
            continue;
        }
        for (const auto part : entry.parts_) {
            const auto known = suspects_.find(part);
            const auto often =
                known != suspects_.end() &&
                known->second >= static_cast<int>(crashes_to_hold);
            if (often && !is_innocent(part)) {
                search.add(part, entry);
            }
        }
    }
    return search.run();
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

} // namespace basilstream::coordination
