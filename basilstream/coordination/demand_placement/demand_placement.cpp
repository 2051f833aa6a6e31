#include "basilstream/coordination/demand_placement/demand_placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

#include "basilstream/coordination/demand_placement/internal/work_planner.hpp"

namespace basilstream::coordination {
namespace {

// Demand below this rate counts as no demand.
constexpr auto min_tokens_per_second = 0.01;

auto seconds_of(duration value) -> double {
    return std::chrono::duration<double>(value).count();
}

auto contains(const std::vector<std::string>& names, const std::string& name)
    -> bool {
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Demand for one model or adapter, and the number of its copies.
struct copy_stats {
    // Tokens per second over all copies.
    double rate_ = 0;
    // Copies that are ready or loading, on runners that are not draining.
    int count_ = 0;
    int ready_ = 0;

    [[nodiscard]] auto rate_per_copy() const -> double {
        return rate_ / std::max(count_, 1);
    }
    // Returns the rate per copy after the eviction of one copy; infinity if no
    // copy would remain.
    [[nodiscard]] auto rate_per_remaining_copy() const -> double {
        return count_ > 1 ? rate_ / (count_ - 1)
                          : std::numeric_limits<double>::infinity();
    }
};

class fleet_planner {
public:
    fleet_planner(const fleet_input& input, const fleet_settings& settings)
        : input_{input}, settings_{settings}, store_loads_{input.store_loads_} {
        count_copies();
        for (const auto& runner : input.runners_) {
            runner_usages_.push_back(usage_of(runner, input.engine_));
            runner_loads_.push_back(load_of(runner));
        }
        auto total_rate = 0.0;
        auto active_runners = 0;
        for (const auto& model : input.engine_.models_) {
            total_rate += models_[model.name_].rate_;
        }
        for (const auto& runner : input.runners_) {
            active_runners += runner.draining_ ? 0 : 1;
        }
        mean_load_ = total_rate / std::max(active_runners, 1);
        max_unloading_for_unserved_ = std::max(
            settings_.max_models_unloading_,
            static_cast<std::size_t>(std::lround(
                settings_.unserved_unloading_share_ * active_runners)));
    }

    auto run() -> std::vector<fleet_step> {
        // A runner refuses orders for adapters for as long as it loads a model,
        // seconds, whereas an adapter takes milliseconds.
        place_adapters(adapter_room::free_slots_only);
        if (settings_.even_work_) {
            place_models_by_work();
        } else {
            place_models();
        }
        place_adapters(adapter_room::with_eviction);
        place_copies_for_adapters();
        return std::move(steps_);
    }
    [[nodiscard]] auto unplaced() const -> const std::vector<unplaced_model>& {
        return unplaced_;
    }

private:
    // Which adapters place_adapters() places: only those without a copy, in
    // free slots, or all, also in place of others.
    enum class adapter_room { free_slots_only, with_eviction };

    auto key_of(const std::string& model, const std::string& adapter = {}) const
        -> demand_key {
        return {input_.service_, model, adapter};
    }

    auto count_copies() -> void {
        for (const auto& model : input_.engine_.models_) {
            models_[model.name_].rate_ =
                input_.demand_.rate(key_of(model.name_), input_.now_);
        }
        for (const auto& key :
             input_.demand_.keys_in_demand(input_.service_, input_.now_)) {
            if (!key.adapter_.empty()) {
                adapters_[{key.model_, key.adapter_}].rate_ =
                    input_.demand_.rate(key, input_.now_);
            }
        }
        for (const auto& runner : input_.runners_) {
            if (runner.draining_) {
                continue;
            }
            for (const auto& model : runner.models_) {
                count_copy(models_[model.name_], model.state_);
                models_loading_ +=
                    model.state_ == load_state::loading ? 1U : 0U;
                models_unloading_ +=
                    model.state_ == load_state::unloading ? 1U : 0U;
                places_being_freed_ +=
                    model.state_ == load_state::unloading ? 1 : 0;
                for (const auto& adapter : model.adapters_) {
                    count_copy(adapters_[{model.name_, adapter.name_}],
                               adapter.state_);
                }
            }
        }
    }

    static auto count_copy(copy_stats& stats, load_state state) -> void {
        stats.count_ += state == load_state::unloading ? 0 : 1;
        stats.ready_ += state == load_state::ready ? 1 : 0;
    }

    auto load_of(const fleet_runner& runner) -> double {
        auto load = 0.0;
        for (const auto& model : runner.models_) {
            if (model.state_ != load_state::unloading) {
                load += models_[model.name_].rate_per_copy();
            }
        }
        return load;
    }

    auto model_in_demand(const std::string& model) const -> bool {
        return input_.demand_.in_demand(key_of(model), input_.now_);
    }

    auto retention_expired(const std::string& model) const -> bool {
        return input_.demand_.retention_expired(key_of(model), input_.now_);
    }

    // Places one more copy each of the models without a copy and of those whose
    // copies are busy, the most valuable copies first.
    auto place_models() -> void {
        struct wanted_copy {
            const service_model* model_ = nullptr;
            fleet_reason reason_ = fleet_reason::demand;
            double value_ = 0;
        };
        auto wanted = std::vector<wanted_copy>{};
        for (const auto& model : input_.engine_.models_) {
            const auto& stats = models_[model.name_];
            const auto missing = stats.count_ == 0;
            const auto busy = stats.rate_ >= min_tokens_per_second &&
                              stats.rate_per_copy() >=
                                  settings_.model_copy_share_ * mean_load_;
            if (missing ? model_in_demand(model.name_)
                        : busy && input_.demand_settled_) {
                wanted.push_back(
                    {&model,
                     missing ? fleet_reason::unserved : fleet_reason::demand,
                     value_of_next_copy(model.name_)});
            }
        }
        std::stable_sort(wanted.begin(), wanted.end(),
                         [](const auto& left, const auto& right) {
                             return left.value_ > right.value_;
                         });
        for (const auto& copy : wanted) {
            place_copy(*copy.model_, copy.reason_, copy.value_);
        }
    }

    auto place_models_by_work() -> void {
        auto context = internal::work_context{
            .has_step_ =
                [this](const fleet_runner& runner) {
                    return runners_with_adapter_step_.contains(runner.id_);
                },
            .adapters_rate_ =
                [this](const held_model& held) {
                    return sole_adapters_rate(held);
                }};
        auto plan =
            internal::work_planner{input_, settings_, std::move(context)}.run();
        for (auto& step : plan.steps_) {
            runners_with_model_step_.insert(step.runner_);
            models_[step.model_].count_ += step.is_load_ ? 1 : -1;
            models_loading_ += step.is_load_ ? 1U : 0U;
            models_unloading_ += step.is_load_ ? 0U : 1U;
            store_loads_ -= step.from_store_ ? 1 : 0;
            steps_.push_back(std::move(step));
        }
        unplaced_ = std::move(plan.unplaced_);
    }

    // Load of a model, in units of the mean load of a runner.
    auto relative_load(const std::string& model) -> double {
        return models_[model].rate_ /
               std::max(mean_load_, min_tokens_per_second);
    }

    // What one more copy is worth. Requests wait the longer the more load a
    // copy has, so that c copies of a model with the load u cost u * u / c, and
    // a model without a copy costs u, and more as its requests wait.
    auto value_of_next_copy(const std::string& model) -> double {
        const auto load = relative_load(model);
        const auto count = models_[model].count_;
        if (count > 0) {
            return load * load / (count * (count + 1));
        }
        const auto waited =
            input_.demand_.unserved_for(key_of(model), input_.now_);
        return load * (1 + seconds_of(waited) /
                               seconds_of(settings_.model_aging_time_));
    }

    // What is lost with a copy of a model and the adapters on it.
    auto loss_of_copy(const held_model& held) -> double {
        const auto load = relative_load(held.name_);
        const auto count = models_[held.name_].count_;
        auto loss = count > 1 ? load * load / (count * (count - 1)) : load;
        for (const auto& adapter : held.adapters_) {
            if (is_sole_wanted_copy(held.name_, adapter.name_)) {
                loss += adapters_[{held.name_, adapter.name_}].rate_ /
                        std::max(mean_load_, min_tokens_per_second);
            }
        }
        return loss;
    }

    // Returns the rate of the adapters in demand that have their only copy on
    // this copy of a model.
    auto sole_adapters_rate(const held_model& held) -> double {
        auto rate = 0.0;
        for (const auto& adapter : held.adapters_) {
            if (is_sole_wanted_copy(held.name_, adapter.name_)) {
                rate += adapters_[{held.name_, adapter.name_}].rate_;
            }
        }
        return rate;
    }

    // A way to place a copy of a model on a runner.
    struct placement_option {
        std::size_t runner_ = 0;
        duration load_time_{};
        bool from_store_ = false;
        // Model to evict first; null if the free memory suffices.
        const held_model* victim_ = nullptr;
        // Lower is better.
        double cost_ = 0;
    };

    auto place_copy(const service_model& model, fleet_reason reason,
                    double value) -> void {
        auto best = std::optional<placement_option>{};
        for (auto index = std::size_t{0}; index < input_.runners_.size();
             ++index) {
            const auto found = find_option(index, model, reason, value);
            if (found && (!best || found->cost_ < best->cost_)) {
                best = found;
            }
        }
        const auto displaces = best && best->victim_ != nullptr;
        if (reason != fleet_reason::unserved && displaces &&
            models_loading_ >= settings_.max_models_loading_) {
            return;
        }
        if (places_being_freed_ > 0 && (!best || displaces)) {
            // Takes the place of a copy that is being unloaded.
            --places_being_freed_;
            return;
        }
        if (!best) {
            unplaced_.push_back({model.name_, reason, reason_without_option(),
                                 count_blocked(model)});
            return;
        }
        const auto& runner = input_.runners_[best->runner_];
        runners_with_model_step_.insert(runner.id_);
        if (displaces) {
            steps_.push_back({runner.id_,
                              false,
                              best->victim_->name_,
                              {},
                              fleet_reason::eviction,
                              false,
                              {}});
            --models_[best->victim_->name_].count_;
            // The new copy counts from now on, although its load is ordered
            // only by a later plan, after the victim has been unloaded.
            ++models_[model.name_].count_;
            ++models_unloading_;
            return;
        }
        steps_.push_back({runner.id_,
                          true,
                          model.name_,
                          {},
                          reason,
                          best->from_store_,
                          best->load_time_});
        store_loads_ -= best->from_store_ ? 1 : 0;
        ++models_[model.name_].count_;
        ++models_loading_;
    }

    // Returns the number of runners with room for the model that take no order
    // for one in this plan.
    auto count_blocked(const service_model& model) const -> int {
        auto count = 0;
        for (auto index = std::size_t{0}; index < input_.runners_.size();
             ++index) {
            const auto& runner = input_.runners_[index];
            const auto has_room =
                input_.engine_.weights_mb_ - runner_usages_[index].memory_mb_ >=
                model.weights_mb_;
            const auto blocked =
                runner.models_blocked_ ||
                runners_with_model_step_.contains(runner.id_) ||
                runners_with_adapter_step_.contains(runner.id_);
            count += has_room && blocked && !runner.draining_ &&
                             runner.find(model.name_) == nullptr
                         ? 1
                         : 0;
        }
        return count;
    }

    [[nodiscard]] auto reason_without_option() const -> unplaced_reason {
        if (store_loads_ <= 0) {
            return unplaced_reason::load_rate;
        }
        return models_unloading_ >= max_unloading_for_unserved_
                   ? unplaced_reason::evictions
                   : unplaced_reason::no_room;
    }

    auto find_option(std::size_t index, const service_model& model,
                     fleet_reason reason, double value)
        -> std::optional<placement_option> {
        const auto& runner = input_.runners_[index];
        if (runner.draining_ || runner.models_blocked_ ||
            runners_with_model_step_.contains(runner.id_) ||
            runners_with_adapter_step_.contains(runner.id_) ||
            runner.find(model.name_) != nullptr) {
            return std::nullopt;
        }
        auto option = placement_option{.runner_ = index};
        if (contains(runner.weights_in_memory_, model.name_)) {
            option.load_time_ = model.memory_load_time_;
        } else if (contains(runner.weights_on_disk_, model.name_)) {
            option.load_time_ = model.disk_load_time_;
        } else {
            option.load_time_ = model.store_load_time_;
            option.from_store_ = true;
        }
        if (option.from_store_ && store_loads_ <= 0) {
            return std::nullopt;
        }
        const auto free_mb =
            input_.engine_.weights_mb_ - runner_usages_[index].memory_mb_;
        auto evicted_rate = 0.0;
        if (free_mb < model.weights_mb_) {
            option.victim_ = find_victim(runner, model, free_mb, reason, value);
            if (option.victim_ == nullptr) {
                return std::nullopt;
            }
            evicted_rate = models_[option.victim_->name_].rate_per_copy();
        }
        // Sum of load time and load on the runner, in units of the mean load of
        // a runner; 4 s of load time weigh as much as one mean load.
        const auto load_unit = std::max(mean_load_, min_tokens_per_second);
        option.cost_ = seconds_of(option.load_time_) / 4.0 +
                       (runner_loads_[index] + evicted_rate) / load_unit;
        return option;
    }

    // Returns the model on the runner whose copy is worth least, if it is worth
    // less than `value`; null if there is none that may be evicted.
    auto find_victim(const fleet_runner& runner, const service_model& model,
                     double free_mb, fleet_reason reason, double value)
        -> const held_model* {
        const held_model* best = nullptr;
        auto lowest_loss = std::numeric_limits<double>::infinity();
        const auto max_unloading = reason == fleet_reason::unserved
                                       ? max_unloading_for_unserved_
                                       : settings_.max_models_unloading_;
        if (models_unloading_ >= max_unloading || !input_.demand_settled_) {
            return nullptr;
        }
        for (const auto& held : runner.models_) {
            const auto* const declared = input_.engine_.find_model(held.name_);
            if (held.state_ != load_state::ready || declared == nullptr ||
                free_mb + declared->weights_mb_ < model.weights_mb_) {
                continue;
            }
            const auto& stats = models_[held.name_];
            const auto is_last_copy = stats.count_ <= 1;
            if (is_last_copy && (reason != fleet_reason::unserved ||
                                 !retention_expired(held.name_))) {
                continue;
            }
            const auto loss = loss_of_copy(held);
            if (loss * settings_.eviction_factor_ < value &&
                loss < lowest_loss) {
                best = &held;
                lowest_loss = loss;
            }
        }
        return best;
    }

    // Places copies of models that have more adapters in demand than their
    // runners have slots for: those would evict each other in turn.
    auto place_copies_for_adapters() -> void {
        for (const auto& model : input_.engine_.models_) {
            if (input_.demand_settled_ &&
                models_without_slots_.contains(model.name_) &&
                models_loading_ < settings_.max_models_loading_ &&
                !is_loading(model.name_)) {
                place_copy(model, fleet_reason::demand,
                           std::max(value_of_next_copy(model.name_),
                                    relative_load(model.name_)));
            }
        }
    }

    auto is_loading(const std::string& model) const -> bool {
        return std::any_of(input_.runners_.begin(), input_.runners_.end(),
                           [&](const auto& runner) {
                               const auto* const held = runner.find(model);
                               return held != nullptr &&
                                      held->state_ == load_state::loading;
                           });
    }

    auto place_adapters(adapter_room room) -> void {
        struct ranked_adapter {
            bool missing_ = false;
            double rate_ = 0;
            std::pair<std::string, std::string> name_;
        };
        auto adapters_by_rank = std::vector<ranked_adapter>{};
        for (const auto& [name, stats] : adapters_) {
            const auto in_demand = input_.demand_.in_demand(
                key_of(name.first, name.second), input_.now_);
            const auto missing = in_demand && stats.count_ == 0;
            const auto overloaded =
                stats.count_ > 0 && stats.rate_ > min_tokens_per_second &&
                stats.rate_per_copy() >
                    settings_.adapter_copy_share_ * mean_load_;
            const auto considered =
                missing || (overloaded && room == adapter_room::with_eviction);
            if (considered) {
                adapters_by_rank.push_back(
                    {missing, missing ? aged_rate(name) : stats.rate_per_copy(),
                     name});
            }
        }
        std::sort(
            adapters_by_rank.begin(), adapters_by_rank.end(),
            [](const auto& left, const auto& right) {
                return std::tuple{!left.missing_, -left.rate_, left.name_} <
                       std::tuple{!right.missing_, -right.rate_, right.name_};
            });
        for (const auto& adapter : adapters_by_rank) {
            place_adapter(adapter.name_.first, adapter.name_.second, room);
        }
    }

    auto place_adapter(const std::string& model, const std::string& adapter,
                       adapter_room room) -> void {
        const auto* const declared = input_.engine_.find_model(model);
        if (declared == nullptr) {
            return;
        }
        auto best = input_.runners_.size();
        auto best_cost = std::numeric_limits<double>::infinity();
        const held_adapter* best_victim = nullptr;
        std::string best_victim_model;
        auto no_slot = false;
        for (auto index = std::size_t{0}; index < input_.runners_.size();
             ++index) {
            const auto& runner = input_.runners_[index];
            if (!can_load_adapter(runner, model, adapter)) {
                continue;
            }
            const held_adapter* victim = nullptr;
            auto victim_model = std::string{};
            const auto needs_eviction =
                runner_usages_[index].adapters_ >=
                    input_.engine_.adapter_slots_ ||
                runner_usages_[index].memory_mb_ + declared->adapter_mb_ >
                    input_.engine_.weights_mb_;
            if (needs_eviction && room == adapter_room::free_slots_only) {
                continue;
            }
            if (needs_eviction) {
                victim =
                    find_adapter_victim(runner, model, adapter, victim_model);
                no_slot = no_slot || victim == nullptr ||
                          is_sole_wanted_copy(victim_model, victim->name_);
                if (victim == nullptr) {
                    continue;
                }
            }
            const auto load_unit = std::max(mean_load_, min_tokens_per_second);
            const auto cost =
                runner_loads_[index] / load_unit + (needs_eviction ? 1.0 : 0.0);
            if (cost < best_cost) {
                best = index;
                best_cost = cost;
                best_victim = victim;
                best_victim_model = victim_model;
            }
        }
        const auto is_missing = adapters_[{model, adapter}].count_ == 0;
        const auto displaces =
            best_victim != nullptr &&
            is_sole_wanted_copy(best_victim_model, best_victim->name_);
        if (no_slot && is_missing &&
            (best == input_.runners_.size() || displaces)) {
            models_without_slots_.insert(model);
        }
        if (best == input_.runners_.size()) {
            return;
        }
        const auto& runner = input_.runners_[best];
        runners_with_adapter_step_.insert(runner.id_);
        if (best_victim != nullptr) {
            steps_.push_back({runner.id_,
                              false,
                              best_victim_model,
                              best_victim->name_,
                              fleet_reason::eviction,
                              false,
                              {}});
            return;
        }
        const auto reason =
            is_missing ? fleet_reason::unserved : fleet_reason::demand;
        steps_.push_back({runner.id_, true, model, adapter, reason, false,
                          settings_.adapter_load_time_});
        ++adapters_[{model, adapter}].count_;
    }

    auto can_load_adapter(const fleet_runner& runner, const std::string& model,
                          const std::string& adapter) const -> bool {
        if (runner.draining_ || runner.adapters_blocked_ ||
            runners_with_model_step_.contains(runner.id_) ||
            runners_with_adapter_step_.contains(runner.id_)) {
            return false;
        }
        const auto* const held = runner.find(model);
        return held != nullptr && held->state_ == load_state::ready &&
               std::none_of(held->adapters_.begin(), held->adapters_.end(),
                            [&](const auto& candidate) {
                                return candidate.name_ == adapter;
                            });
    }

    // Returns the rate of an adapter without a copy, raised by its wait.
    auto aged_rate(const std::pair<std::string, std::string>& name) -> double {
        const auto waited = input_.demand_.unserved_for(
            key_of(name.first, name.second), input_.now_);
        return adapters_[name].rate_ *
               (1 +
                seconds_of(waited) / seconds_of(settings_.adapter_aging_time_));
    }

    auto is_sole_wanted_copy(const std::string& model,
                             const std::string& adapter) -> bool {
        return adapters_[{model, adapter}].count_ <= 1 &&
               input_.demand_.in_demand(key_of(model, adapter), input_.now_);
    }

    // Returns the adapter with the lowest rate per copy on the runner among
    // those that may be evicted for the given adapter, and sets `victim_model`
    // to its model. Returns null if there is none.
    auto find_adapter_victim(const fleet_runner& runner,
                             const std::string& model,
                             const std::string& adapter,
                             std::string& victim_model) -> const held_adapter* {
        const auto& requested_stats = adapters_[{model, adapter}];
        const auto rate_gained = requested_stats.count_ == 0
                                     ? std::numeric_limits<double>::infinity()
                                     : requested_stats.rate_per_copy();
        const auto rate_requested = aged_rate({model, adapter});
        const held_adapter* best = nullptr;
        auto lowest_rate = std::numeric_limits<double>::infinity();
        for (const auto& held : runner.models_) {
            for (const auto& candidate : held.adapters_) {
                if (candidate.state_ != load_state::ready) {
                    continue;
                }
                const auto& stats = adapters_[{held.name_, candidate.name_}];
                const auto is_last_copy =
                    is_sole_wanted_copy(held.name_, candidate.name_);
                // The last copy of an adapter in demand may be evicted only for
                // an adapter that has no copy and a higher rate.
                const auto rate_lost =
                    stats.rate_per_copy() * settings_.eviction_factor_;
                const auto evictable = is_last_copy
                                           ? requested_stats.count_ == 0 &&
                                                 rate_lost < rate_requested
                                           : rate_lost < rate_gained;
                if (evictable && stats.rate_per_copy() < lowest_rate) {
                    best = &candidate;
                    lowest_rate = stats.rate_per_copy();
                    victim_model = held.name_;
                }
            }
        }
        return best;
    }

    const fleet_input& input_;
    const fleet_settings& settings_;
    int store_loads_;
    std::map<std::string, copy_stats> models_;
    std::map<std::pair<std::string, std::string>, copy_stats> adapters_;
    // Memory and slots in use, and load in tokens per second, of each runner;
    // same order as `input_.runners_`.
    std::vector<fleet_usage> runner_usages_;
    std::vector<double> runner_loads_;
    // Mean load of the runners that are not draining.
    double mean_load_ = 0;
    std::size_t models_loading_ = 0;
    std::size_t models_unloading_ = 0;
    // Copies that are being unloaded, less the models that wait for their
    // places.
    int places_being_freed_ = 0;
    std::size_t max_unloading_for_unserved_ = 0;
    // Runners that already get an order in this plan.
    std::set<std::string> runners_with_model_step_;
    std::set<std::string> runners_with_adapter_step_;
    // Models with an adapter in demand that finds no slot but in place of
    // another one in demand.
    std::set<std::string> models_without_slots_;
    std::vector<fleet_step> steps_;
    std::vector<unplaced_model> unplaced_;
};

} // namespace

auto fleet_runner::find(const std::string& model) const -> const held_model* {
    const auto found = std::find_if(
        models_.begin(), models_.end(),
        [&](const auto& candidate) { return candidate.name_ == model; });
    return found == models_.end() ? nullptr : &*found;
}

auto usage_of(const fleet_runner& runner, const service_engine& engine)
    -> fleet_usage {
    auto usage = fleet_usage{};
    for (const auto& held : runner.models_) {
        const auto* const model = engine.find_model(held.name_);
        const auto adapters = static_cast<int>(held.adapters_.size());
        usage.adapters_ += adapters;
        // The size of a model that is no longer declared is unknown, so the
        // runner counts as full.
        usage.memory_mb_ +=
            model == nullptr
                ? engine.weights_mb_
                : model->weights_mb_ + adapters * model->adapter_mb_;
    }
    return usage;
}

auto plan_fleet(const fleet_input& input, const fleet_settings& settings)
    -> std::vector<fleet_step> {
    return fleet_planner{input, settings}.run();
}

auto find_unplaced_models(const fleet_input& input,
                          const fleet_settings& settings)
    -> std::vector<unplaced_model> {
    auto planner = fleet_planner{input, settings};
    (void)planner.run();
    return planner.unplaced();
}

auto work_unevenness(const fleet_input& input) -> double {
    const auto settings = fleet_settings{};
    auto context =
        internal::work_context{.has_step_ = [](const fleet_runner& /*runner*/) {
            return false;
        }};
    return internal::work_planner{input, settings, std::move(context)}
        .unevenness();
}

} // namespace basilstream::coordination
