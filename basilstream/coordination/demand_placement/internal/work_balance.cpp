#include "basilstream/coordination/demand_placement/internal/work_balance.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace basilstream::coordination::internal {
namespace {

// Rounds of settle(). Each distributes one model after the other, which
// converges quickly, as a copy has few neighbours: after six rounds the levels
// of 112 runners with 336 copies change by less than a hundredth.
constexpr auto settle_rounds = 6;

// Weight of what a further copy is worth even if no runner is too busy. Without
// it models have as few copies as carry their work, and lose more of them with
// a third of the runners: the lowest share of requests served was 0.44 instead
// of 0.72. With 0.2, copies move too often when demand changes.
constexpr auto spread_weight = 0.1;

} // namespace

work_balance::work_balance(const std::vector<double>& speeds,
                           const std::vector<double>& works)
    : runners_(speeds.size()), models_(works.size()) {
    for (auto runner = std::size_t{0}; runner < speeds.size(); ++runner) {
        runners_[runner].speed_ = speeds[runner];
    }
    for (auto model = std::size_t{0}; model < works.size(); ++model) {
        models_[model].work_ = works[model];
    }
}

auto work_balance::copy_on(std::size_t model, std::size_t runner) -> copy& {
    auto& copies = runners_[runner].copies_;
    return *std::find_if(
        copies.begin(), copies.end(),
        [model](const copy& candidate) { return candidate.model_ == model; });
}

auto work_balance::add_copy(std::size_t model, std::size_t runner) -> void {
    models_[model].runners_.push_back(runner);
    runners_[runner].copies_.push_back({model, 0});
}

auto work_balance::remove_copy(std::size_t model, std::size_t runner) -> void {
    auto& state = runners_[runner];
    state.work_ -= work_on(model, runner);
    std::erase_if(state.copies_, [model](const copy& candidate) {
        return candidate.model_ == model;
    });
    std::erase(models_[model].runners_, runner);
    distribute(model);
}

auto work_balance::settle() -> void {
    for (auto round = 0; round < settle_rounds; ++round) {
        for (auto model = std::size_t{0}; model < models_.size(); ++model) {
            // The work of a sole copy does not change after the first round.
            if (round == 0 || models_[model].runners_.size() > 1) {
                distribute(model);
            }
        }
    }
    // Levels of sole copies, which depend on the other models.
    for (auto& model : models_) {
        if (model.runners_.size() == 1) {
            model.level_ = level_of_runner(model.runners_[0]);
        }
    }
}

auto work_balance::distribute(std::size_t model) -> void {
    auto& state = models_[model];
    for (const auto runner : state.runners_) {
        auto& entry = copy_on(model, runner);
        runners_[runner].work_ -= std::exchange(entry.work_, 0);
    }
    // Water filling: leaves out runners that are above the level without this
    // model, until none is.
    auto level = std::numeric_limits<double>::infinity();
    auto speed = 0.0;
    for (auto last = state.runners_.size() + 1;;) {
        auto work = state.work_;
        auto count = std::size_t{0};
        auto filled_speed = 0.0;
        for (const auto runner : state.runners_) {
            if (level_of_runner(runner) <= level) {
                work += runners_[runner].work_;
                filled_speed += runners_[runner].speed_;
                ++count;
            }
        }
        if (count == 0 || count >= last) {
            break;
        }
        last = count;
        speed = filled_speed;
        level = work / speed;
    }
    if (state.runners_.empty()) {
        return;
    }
    for (const auto runner : state.runners_) {
        auto& owner = runners_[runner];
        const auto work = owner.speed_ * level - owner.work_;
        if (work > 0) {
            copy_on(model, runner).work_ = work;
            owner.work_ += work;
        }
    }
    state.level_ = level;
    state.speed_ = speed;
}

auto work_balance::work_on(std::size_t model, std::size_t runner) const
    -> double {
    for (const auto& entry : runners_[runner].copies_) {
        if (entry.model_ == model) {
            return entry.work_;
        }
    }
    return 0;
}

auto work_balance::value_of_spread(const model_state& state, std::size_t copies)
    -> double {
    const auto count = static_cast<double>(copies);
    return spread_weight * state.work_ * state.work_ / (count * (count + 1));
}

auto work_balance::gain(std::size_t model, double speed, double level) const
    -> double {
    const auto& state = models_[model];
    if (state.runners_.empty()) {
        return 0;
    }
    const auto spread = value_of_spread(state, state.runners_.size());
    if (level >= state.level_) {
        return spread;
    }
    const auto difference = state.level_ - level;
    const auto rise = 1 / state.speed_ + 1 / speed;
    const auto moved = std::min(difference / rise, state.work_);
    return spread + moved * (2 * difference - moved * rise);
}

auto work_balance::loss(std::size_t model, std::size_t runner) const -> double {
    const auto work = work_on(model, runner);
    const auto& state = models_[model];
    const auto spread = value_of_spread(state, state.runners_.size() - 1);
    if (work <= 0) {
        return spread;
    }
    auto level = state.level_;
    auto speed = state.speed_ - runners_[runner].speed_;
    constexpr auto rounding = 1e-9;
    if (speed <= rounding) {
        // The other copies get no work now: their runners are busier.
        level = std::numeric_limits<double>::infinity();
        for (const auto other : state.runners_) {
            if (other != runner && level_of_runner(other) < level) {
                level = level_of_runner(other);
                speed = runners_[other].speed_;
            }
        }
    }
    return spread +
           std::max(2 * work * (level - level_of_runner(runner)) +
                        work * work * (1 / speed + 1 / runners_[runner].speed_),
                    0.0);
}

auto work_balance::unevenness() const -> double {
    auto levels = std::vector<double>{};
    auto work = 0.0;
    auto speed = 0.0;
    for (const auto& runner : runners_) {
        levels.push_back(runner.work_ / runner.speed_);
        work += runner.work_;
        speed += runner.speed_;
    }
    if (work <= 0) {
        return 1;
    }
    const auto count = std::max<std::size_t>(levels.size() / 10, 1);
    std::partial_sort(levels.begin(),
                      levels.begin() + static_cast<std::ptrdiff_t>(count),
                      levels.end(), std::greater<>{});
    auto busiest = 0.0;
    for (auto index = std::size_t{0}; index < count; ++index) {
        busiest += levels[index];
    }
    return busiest / static_cast<double>(count) / (work / speed);
}

} // namespace basilstream::coordination::internal
