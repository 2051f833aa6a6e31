#include "basilstream/coordination/demand_placement/internal/work_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace basilstream::coordination::internal {
namespace {

// Demand below this rate counts as no demand.
constexpr auto min_tokens_per_second = 0.01;
// Speeds below this count as this, so that a runner without a sound estimate
// can't make levels infinite.
constexpr auto min_speed = 0.05;
// What waiting for the order in progress on a runner costs, as a multiple of
// the price of a load that takes one second: such orders take two to three
// seconds on average.
constexpr auto wait_price_seconds = 2.5;
// What the sole copy of a model without demand is worth: the next request for
// it waits for a load.
constexpr auto unused_copy_value = 0.05;

auto seconds_of(duration value) -> double {
    return std::chrono::duration<double>(value).count();
}

auto contains(const std::vector<std::string>& names, const std::string& name)
    -> bool {
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

work_planner::work_planner(const fleet_input& input,
                           const fleet_settings& settings, work_context context)
    : input_{input}, settings_{settings}, context_{std::move(context)},
      models_{models_of(input)}, mean_work_{mean_work_of(input, models_)},
      balance_{speeds_of(input), works()}, store_loads_{input.store_loads_} {
    add_models();
    add_runners();
    balance_.settle();
}

auto work_planner::models_of(const fleet_input& input)
    -> std::vector<model_state> {
    auto models = std::vector<model_state>{};
    auto key = demand_key{input.service_, {}, {}};
    for (const auto& model : input.engine_.models_) {
        key.model_ = model.name_;
        models.push_back({.demand_ = input.demand_.summary(key, input.now_)});
    }
    return models;
}

auto work_planner::mean_work_of(const fleet_input& input,
                                const std::vector<model_state>& models)
    -> double {
    auto rate = 0.0;
    for (const auto& model : models) {
        rate += model.demand_.recent_rate_;
    }
    auto speed = 0.0;
    for (const auto& runner : input.runners_) {
        speed += runner.draining_ ? 0 : std::max(runner.speed_, min_speed);
    }
    return std::max(rate / std::max(speed, min_speed), min_tokens_per_second);
}

auto work_planner::works() const -> std::vector<double> {
    auto works = std::vector<double>{};
    for (const auto& model : models_) {
        works.push_back(model.demand_.recent_rate_ / mean_work_);
    }
    return works;
}

auto work_planner::speeds_of(const fleet_input& input) -> std::vector<double> {
    auto speeds = std::vector<double>{};
    for (const auto& runner : input.runners_) {
        if (!runner.draining_) {
            speeds.push_back(std::max(runner.speed_, min_speed));
        }
    }
    return speeds;
}

auto work_planner::add_models() -> void {
    auto work = 0.0;
    auto weighted_work = 0.0;
    for (auto index = std::size_t{0}; index < models_.size(); ++index) {
        indexes_.emplace(declared(index).name_, index);
        work += balance_.work_of(index);
        weighted_work +=
            balance_.work_of(index) * models_[index].demand_.weight_;
    }
    const auto scale = weighted_work > 0 ? work / weighted_work : 1.0;
    for (auto& model : models_) {
        model.weight_ = model.demand_.weight_ * scale;
    }
}

auto work_planner::add_runners() -> void {
    for (const auto& runner : input_.runners_) {
        if (runner.draining_) {
            continue;
        }
        const auto index = runners_.size();
        auto& state = runners_.emplace_back();
        state.runner_ = &runner;
        state.free_mb_ = input_.engine_.weights_mb_;
        auto order_in_progress = false;
        for (const auto& held : runner.models_) {
            const auto found = indexes_.find(held.name_);
            const auto model =
                found == indexes_.end() ? undeclared_ : found->second;
            state.copies_.push_back({model, &held, {}});
            const auto unloads = held.state_ == load_state::unloading;
            order_in_progress =
                order_in_progress || held.state_ != load_state::ready;
            unloading_ += unloads ? 1U : 0U;
            // The size of a model that is no longer declared is unknown, so the
            // runner counts as full.
            const auto size =
                model == undeclared_
                    ? input_.engine_.weights_mb_
                    : declared(model).weights_mb_ +
                          static_cast<double>(held.adapters_.size()) *
                              declared(model).adapter_mb_;
            state.free_mb_ -= size;
            if (model == undeclared_ || unloads) {
                continue;
            }
            ++models_[model].copies_;
            models_[model].ready_ += held.state_ == load_state::ready ? 1 : 0;
            balance_.add_copy(model, index);
        }
        state.available_ =
            !runner.models_blocked_ && !context_.has_step_(runner);
        state.available_later_ = runner.models_blocked_ && order_in_progress;
        if (state.available_later_) {
            for (const auto& copy : state.copies_) {
                state.free_mb_ += copy.held_->state_ == load_state::unloading &&
                                          copy.model_ != undeclared_
                                      ? declared(copy.model_).weights_mb_
                                      : 0;
            }
        }
    }
    const auto share_of_runners = [&](double share) {
        return std::max(settings_.max_models_unloading_,
                        static_cast<std::size_t>(std::lround(
                            share * static_cast<double>(runners_.size()))));
    };
    max_unloading_unserved_ =
        share_of_runners(settings_.unserved_unloading_share_);
    max_unloading_busy_ = share_of_runners(settings_.work_unloading_share_);
}

auto work_planner::value_of_first_copy(std::size_t model) const -> double {
    const auto waited = models_[model].demand_.unserved_for_;
    return models_[model].weight_ * balance_.work_of(model) *
           (1 + seconds_of(waited) / seconds_of(settings_.model_aging_time_));
}

auto work_planner::price_of_load(duration load_time) const -> double {
    return settings_.copy_price_ +
           settings_.copy_price_per_second_ * seconds_of(load_time);
}

auto work_planner::candidates() -> std::vector<candidate> {
    auto highest_speed = min_speed;
    for (const auto& runner : runners_) {
        highest_speed = std::max(highest_speed, runner.runner_->speed_);
    }
    const auto offers = best_offers();
    auto found = std::vector<candidate>{};
    for (auto model = std::size_t{0}; model < models_.size(); ++model) {
        if (is_missing(model)) {
            if (models_[model].demand_.in_demand_) {
                found.push_back({value_of_first_copy(model), model});
            }
            continue;
        }
        auto bound = 0.0;
        for (const auto& place : offers) {
            bound = std::max(bound, models_[model].weight_ *
                                            balance_.gain(model, highest_speed,
                                                          place.level_) -
                                        place.cost_ - settings_.copy_price_);
        }
        if (input_.demand_settled_ && bound > 0) {
            found.push_back({bound, model});
        }
    }
    return found;
}

auto work_planner::run() -> work_plan {
    auto queue = candidates();
    std::make_heap(queue.begin(), queue.end());
    auto placed = 0;
    while (!queue.empty() && placed < settings_.max_copies_per_plan_) {
        std::pop_heap(queue.begin(), queue.end());
        auto top = queue.back();
        queue.pop_back();
        const auto first = is_missing(top.model_);
        if (!first) {
            distribute(top.model_);
        }
        const auto chosen = best_option(top.model_);
        if (!chosen) {
            add_unplaced(top.model_);
            continue;
        }
        // Values fall as other copies are placed.
        const auto value = first ? top.value_ : chosen->net_;
        if (!first && value < top.value_ && !queue.empty() &&
            value < queue.front().value_) {
            top.value_ = value;
            queue.push_back(top);
            std::push_heap(queue.begin(), queue.end());
            continue;
        }
        place(top.model_, *chosen);
        ++placed;
        // Further copies are worth less than this one.
        top.value_ = first ? models_[top.model_].weight_ *
                                 balance_.gain(top.model_, 1, 0)
                           : value;
        if (input_.demand_settled_ && top.value_ > settings_.copy_price_) {
            queue.push_back(top);
            std::push_heap(queue.begin(), queue.end());
        }
    }
    return std::move(plan_);
}

auto work_planner::best_option(std::size_t model) -> std::optional<option> {
    auto best = std::optional<option>{};
    const auto first_value =
        is_missing(model) ? value_of_first_copy(model) : 0.0;
    for (auto runner = std::size_t{0}; runner < runners_.size(); ++runner) {
        const auto found = option_on(runner, model, first_value);
        if (found && (!best || found->net_ > best->net_)) {
            best = found;
        }
    }
    return best;
}

auto work_planner::set_source(const fleet_runner& runner, std::size_t model,
                              option& found) const -> void {
    const auto& loaded = declared(model);
    if (contains(runner.weights_in_memory_, loaded.name_)) {
        found.load_time_ = loaded.memory_load_time_;
    } else if (contains(runner.weights_on_disk_, loaded.name_)) {
        found.load_time_ = loaded.disk_load_time_;
    } else {
        found.load_time_ = loaded.store_load_time_;
        found.from_store_ = true;
    }
}

auto work_planner::option_on(std::size_t index, std::size_t model,
                             double first_value) -> std::optional<option> {
    auto& runner = runners_[index];
    if (!runner.available_ && !runner.available_later_) {
        return std::nullopt;
    }
    const auto holds =
        std::any_of(
            runner.copies_.begin(), runner.copies_.end(),
            [model](const held_copy& copy) { return copy.model_ == model; }) ||
        std::find(runner.reserved_.begin(), runner.reserved_.end(), model) !=
            runner.reserved_.end();
    const auto fits = runner.free_mb_ >= declared(model).weights_mb_;
    if (holds || (!fits && !runner.available_)) {
        return std::nullopt;
    }
    auto found = option{.runner_ = index, .now_ = runner.available_};
    set_source(*runner.runner_, model, found);
    if (found.now_ && found.from_store_ && store_loads_ <= 0) {
        return std::nullopt;
    }
    const auto speed = std::max(runner.runner_->speed_, min_speed);
    const auto first = is_missing(model);
    const auto worth_on = [&](double level) {
        if (!first) {
            return models_[model].weight_ * balance_.gain(model, speed, level);
        }
        // Of the runners that could take the first copy, that with the lowest
        // level is best.
        const auto work = balance_.work_of(model);
        return -models_[model].weight_ *
               (2 * work * level + work * work / speed);
    };
    auto level = balance_.level_of_runner(index);
    auto price = price_of_load(found.load_time_);
    if (!found.now_) {
        price += settings_.copy_price_per_second_ * wait_price_seconds;
    }
    if (!fits) {
        const auto [victim, value] = find_victim(index, model);
        const auto loss = value * settings_.eviction_factor_;
        if (victim == nullptr || (first && loss >= first_value)) {
            return std::nullopt;
        }
        found.victim_ = victim;
        level = std::max(
            level - balance_.work_on(victim->model_, index) / speed, 0.0);
        price += loss + settings_.copy_price_;
    }
    found.net_ = worth_on(level) - price;
    if (!first && found.net_ <= 0) {
        return std::nullopt;
    }
    return found;
}

auto work_planner::distribute(std::size_t model) -> void {
    balance_.distribute(model);
    ++models_[model].version_;
}

auto work_planner::loss_of(std::size_t runner, held_copy& copy)
    -> std::optional<double> {
    const auto version = models_[copy.model_].version_;
    if (copy.loss_version_ != version) {
        copy.loss_ = compute_loss(runner, copy);
        copy.loss_version_ = version;
    }
    return copy.loss_;
}

auto work_planner::best_offers() -> std::vector<offer> {
    auto smallest = std::numeric_limits<double>::infinity();
    for (const auto& model : input_.engine_.models_) {
        smallest = std::min(smallest, model.weights_mb_);
    }
    auto offers = std::vector<offer>{};
    for (auto index = std::size_t{0}; index < runners_.size(); ++index) {
        auto& runner = runners_[index];
        const auto level = balance_.level_of_runner(index);
        if (runner.free_mb_ >= smallest) {
            if (runner.available_ || runner.available_later_) {
                offers.push_back({level, 0});
            }
            continue;
        }
        if (!runner.available_) {
            continue;
        }
        for (auto& copy : runner.copies_) {
            if (copy.model_ == undeclared_ ||
                copy.held_->state_ != load_state::ready) {
                continue;
            }
            if (const auto loss = loss_of(index, copy)) {
                const auto freed = balance_.work_on(copy.model_, index) /
                                   std::max(runner.runner_->speed_, min_speed);
                offers.push_back({std::max(level - freed, 0.0),
                                  settings_.eviction_factor_ * *loss +
                                      settings_.copy_price_});
            }
        }
    }
    std::sort(offers.begin(), offers.end(),
              [](const offer& left, const offer& right) {
                  return std::tie(left.level_, left.cost_) <
                         std::tie(right.level_, right.cost_);
              });
    auto lowest = std::numeric_limits<double>::infinity();
    std::erase_if(offers, [&lowest](const offer& candidate) {
        const auto surpassed = candidate.cost_ >= lowest;
        lowest = std::min(lowest, candidate.cost_);
        return surpassed;
    });
    return offers;
}

auto work_planner::compute_loss(std::size_t runner, held_copy& copy)
    -> std::optional<double> {
    const auto& model = models_[copy.model_];
    auto loss = 0.0;
    if (model.copies_ > 1) {
        // Copies that are still loading serve no requests.
        if (model.ready_ <= 1) {
            return std::nullopt;
        }
        loss = model.weight_ * balance_.loss(copy.model_, runner);
    } else {
        if (!model.demand_.retention_expired_) {
            return std::nullopt;
        }
        loss =
            model.weight_ * balance_.work_of(copy.model_) + unused_copy_value;
    }
    if (!copy.adapters_loss_) {
        copy.adapters_loss_ =
            copy.held_->adapters_.empty()
                ? 0.0
                : context_.adapters_rate_(*copy.held_) / mean_work_;
    }
    return loss + *copy.adapters_loss_;
}

auto work_planner::find_victim(std::size_t runner, std::size_t model)
    -> std::pair<held_copy*, double> {
    auto found = std::pair<held_copy*, double>{
        nullptr, std::numeric_limits<double>::infinity()};
    const auto limit =
        is_missing(model) ? max_unloading_unserved_ : max_unloading_busy_;
    if (unloading_ >= limit || !input_.demand_settled_) {
        return found;
    }
    auto& state = runners_[runner];
    for (auto& copy : state.copies_) {
        if (copy.model_ == undeclared_ ||
            copy.held_->state_ != load_state::ready ||
            state.free_mb_ + declared(copy.model_).weights_mb_ <
                declared(model).weights_mb_) {
            continue;
        }
        const auto loss = loss_of(runner, copy);
        if (loss && *loss < found.second) {
            found = {&copy, *loss};
        }
    }
    return found;
}

auto work_planner::place(std::size_t model, const option& chosen) -> void {
    auto& runner = runners_[chosen.runner_];
    const auto& id = runner.runner_->id_;
    if (chosen.victim_ != nullptr) {
        const auto victim = chosen.victim_->model_;
        plan_.steps_.push_back({id,
                                false,
                                chosen.victim_->held_->name_,
                                {},
                                fleet_reason::eviction,
                                false,
                                {}});
        --models_[victim].copies_;
        --models_[victim].ready_;
        balance_.remove_copy(victim, chosen.runner_);
        ++models_[victim].version_;
        runner.free_mb_ += declared(victim).weights_mb_;
        std::erase_if(runner.copies_, [victim](const held_copy& copy) {
            return copy.model_ == victim;
        });
        ++unloading_;
    } else if (chosen.now_) {
        plan_.steps_.push_back(
            {id,
             true,
             declared(model).name_,
             {},
             is_missing(model) ? fleet_reason::unserved : fleet_reason::demand,
             chosen.from_store_,
             chosen.load_time_});
        store_loads_ -= chosen.from_store_ ? 1 : 0;
    }
    // The new copy counts from now on, also if its load is ordered only by a
    // later plan.
    runner.available_ = false;
    runner.available_later_ = true;
    runner.reserved_.push_back(model);
    runner.free_mb_ -= declared(model).weights_mb_;
    ++models_[model].copies_;
    balance_.add_copy(model, chosen.runner_);
    distribute(model);
}

auto work_planner::add_unplaced(std::size_t model) -> void {
    const auto first = is_missing(model);
    const auto limit = first ? max_unloading_unserved_ : max_unloading_busy_;
    const auto reason = store_loads_ <= 0     ? unplaced_reason::load_rate
                        : unloading_ >= limit ? unplaced_reason::evictions
                                              : unplaced_reason::no_room;
    if (!first && reason == unplaced_reason::no_room) {
        // No further copy is worth its price.
        return;
    }
    const auto blocked = std::count_if(
        runners_.begin(), runners_.end(), [&](const auto& runner) {
            return !runner.available_ &&
                   runner.free_mb_ >= declared(model).weights_mb_ &&
                   runner.runner_->find(declared(model).name_) == nullptr;
        });
    plan_.unplaced_.push_back(
        {declared(model).name_,
         first ? fleet_reason::unserved : fleet_reason::demand, reason,
         static_cast<int>(blocked)});
}

} // namespace basilstream::coordination::internal
