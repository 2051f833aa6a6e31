#include "basilstream/coordination/demand_placement/demand_placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>

namespace basilstream::coordination {
namespace {

// Demand below this rate, in tokens a second, is none.
constexpr auto least_rate = 0.01;

auto seconds_of(duration value) -> double {
    return std::chrono::duration<double>(value).count();
}

auto contains(const std::vector<std::string>& names, const std::string& name)
    -> bool {
    return std::find(names.begin(), names.end(), name) != names.end();
}

// What the copies of one model or adapter carry.
struct copies {
    double rate_ = 0;
    // Ready or coming, on runners that stay.
    int count_ = 0;
    int ready_ = 0;

    [[nodiscard]] auto share() const -> double {
        return rate_ / std::max(count_, 1);
    }
    // What each copy would carry with one copy fewer.
    [[nodiscard]] auto share_without_one() const -> double {
        return count_ > 1 ? rate_ / (count_ - 1)
                          : std::numeric_limits<double>::infinity();
    }
};

class fleet_plan {
public:
    fleet_plan(const fleet_input& input, const fleet_settings& settings)
        : input_{input}, settings_{settings}, store_loads_{input.store_loads_} {
        count_copies();
        for (const auto& runner : input.runners_) {
            usage_.push_back(usage_of(runner, input.engine_));
            load_.push_back(load_of(runner));
        }
        auto total = 0.0;
        auto staying = 0;
        for (const auto& model : input.engine_.models_) {
            total += models_[model.name_].rate_;
        }
        for (const auto& runner : input.runners_) {
            staying += runner.leaving_ ? 0 : 1;
        }
        mean_load_ = total / std::max(staying, 1);
    }

    auto run() -> std::vector<fleet_step> {
        place_missing_models();
        place_more_copies();
        place_adapters();
        return std::move(steps_);
    }

private:
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
             input_.demand_.wanted_keys(input_.service_, input_.now_)) {
            if (!key.adapter_.empty()) {
                adapters_[{key.model_, key.adapter_}].rate_ =
                    input_.demand_.rate(key, input_.now_);
            }
        }
        for (const auto& runner : input_.runners_) {
            if (runner.leaving_) {
                continue;
            }
            for (const auto& model : runner.models_) {
                count_one(models_[model.name_], model.state_);
                coming_ += model.state_ == holding_state::coming ? 1U : 0U;
                going_ += model.state_ == holding_state::going ? 1U : 0U;
                for (const auto& adapter : model.adapters_) {
                    count_one(adapters_[{model.name_, adapter.name_}],
                              adapter.state_);
                }
            }
        }
    }

    static auto count_one(copies& of, holding_state state) -> void {
        of.count_ += state == holding_state::going ? 0 : 1;
        of.ready_ += state == holding_state::ready ? 1 : 0;
    }

    auto load_of(const fleet_runner& runner) -> double {
        auto load = 0.0;
        for (const auto& model : runner.models_) {
            if (model.state_ != holding_state::going) {
                load += models_[model.name_].share();
            }
        }
        return load;
    }

    auto wanted(const std::string& model) const -> bool {
        return input_.demand_.wanted(key_of(model), input_.now_);
    }

    auto forgotten(const std::string& model) const -> bool {
        return input_.demand_.forgotten(key_of(model), input_.now_);
    }

    auto place_missing_models() -> void {
        auto missing = std::vector<const service_model*>{};
        for (const auto& model : input_.engine_.models_) {
            if (models_[model.name_].count_ == 0 && wanted(model.name_)) {
                missing.push_back(&model);
            }
        }
        std::sort(missing.begin(), missing.end(),
                  [this](const auto* left, const auto* right) {
                      return models_[left->name_].rate_ >
                             models_[right->name_].rate_;
                  });
        for (const auto* const model : missing) {
            place_copy(*model, fleet_reason::unserved);
        }
    }

    auto place_more_copies() -> void {
        auto order = std::vector<const service_model*>{};
        for (const auto& model : input_.engine_.models_) {
            order.push_back(&model);
        }
        std::sort(order.begin(), order.end(),
                  [this](const auto* left, const auto* right) {
                      return models_[left->name_].share() >
                             models_[right->name_].share();
                  });
        for (const auto* const model : order) {
            const auto& known = models_[model->name_];
            if (coming_ >= settings_.copies_coming_ ||
                known.share() < settings_.model_copy_share_ * mean_load_ ||
                known.rate_ < least_rate) {
                return;
            }
            if (known.count_ > 0) {
                place_copy(*model, fleet_reason::demand);
            }
        }
    }

    // How a model would come to a runner.
    struct option {
        std::size_t runner_ = 0;
        duration load_time_{};
        bool from_store_ = false;
        const held_model* victim_ = nullptr;
        double cost_ = 0;
    };

    auto place_copy(const service_model& model, fleet_reason reason) -> void {
        auto best = std::optional<option>{};
        for (auto index = std::size_t{0}; index < input_.runners_.size();
             ++index) {
            const auto found = option_on(index, model, reason);
            if (found && (!best || found->cost_ < best->cost_)) {
                best = found;
            }
        }
        if (!best) {
            return;
        }
        const auto& runner = input_.runners_[best->runner_];
        touched_.insert(runner.id_);
        if (best->victim_ != nullptr) {
            steps_.push_back({runner.id_,
                              false,
                              best->victim_->name_,
                              {},
                              fleet_reason::eviction,
                              false,
                              {}});
            --models_[best->victim_->name_].count_;
            // The place is taken once the victim has gone.
            ++models_[model.name_].count_;
            ++going_;
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
        ++coming_;
    }

    auto option_on(std::size_t index, const service_model& model,
                   fleet_reason reason) -> std::optional<option> {
        const auto& runner = input_.runners_[index];
        if (runner.leaving_ || runner.models_blocked_ ||
            touched_.contains(runner.id_) ||
            runner.find(model.name_) != nullptr) {
            return std::nullopt;
        }
        auto found = option{.runner_ = index};
        if (contains(runner.weights_in_memory_, model.name_)) {
            found.load_time_ = model.memory_load_time_;
        } else if (contains(runner.weights_on_disk_, model.name_)) {
            found.load_time_ = model.disk_load_time_;
        } else {
            found.load_time_ = model.store_load_time_;
            found.from_store_ = true;
        }
        if (found.from_store_ && store_loads_ <= 0) {
            return std::nullopt;
        }
        const auto free = input_.engine_.weights_mb_ - usage_[index].memory_mb_;
        auto lost = 0.0;
        if (free < model.weights_mb_) {
            found.victim_ = victim_on(runner, model, free, reason);
            if (found.victim_ == nullptr) {
                return std::nullopt;
            }
            lost = models_[found.victim_->name_].share();
        }
        // Seconds until it serves and the load that it meets there, both as
        // shares of a runner's mean load.
        const auto unit = std::max(mean_load_, least_rate);
        found.cost_ =
            seconds_of(found.load_time_) / 4.0 + (load_[index] + lost) / unit;
        return found;
    }

    auto victim_on(const fleet_runner& runner, const service_model& model,
                   double free, fleet_reason reason) -> const held_model* {
        const held_model* best = nullptr;
        auto best_share = std::numeric_limits<double>::infinity();
        if (going_ >= settings_.models_going_) {
            return nullptr;
        }
        for (const auto& held : runner.models_) {
            const auto* const declared = input_.engine_.find_model(held.name_);
            if (held.state_ != holding_state::ready || declared == nullptr ||
                free + declared->weights_mb_ < model.weights_mb_) {
                continue;
            }
            const auto& known = models_[held.name_];
            const auto last = known.count_ <= 1;
            if (last &&
                (reason != fleet_reason::unserved || !forgotten(held.name_))) {
                continue;
            }
            const auto gain = reason == fleet_reason::unserved
                                  ? std::numeric_limits<double>::infinity()
                                  : models_[model.name_].share();
            const auto loss = last ? known.rate_ : known.share_without_one();
            if (loss * settings_.eviction_factor_ < gain &&
                known.share() < best_share) {
                best = &held;
                best_share = known.share();
            }
        }
        return best;
    }

    auto place_adapters() -> void {
        auto order = std::vector<
            std::pair<double, std::pair<std::string, std::string>>>{};
        for (const auto& [name, known] : adapters_) {
            const auto in_demand = input_.demand_.wanted(
                key_of(name.first, name.second), input_.now_);
            const auto missing = in_demand && known.count_ == 0;
            const auto crowded =
                known.count_ > 0 && known.rate_ > least_rate &&
                known.share() > settings_.adapter_copy_share_ * mean_load_;
            if (missing || crowded) {
                const auto rank = missing
                                      ? std::numeric_limits<double>::infinity()
                                      : known.share();
                order.push_back({rank, name});
            }
        }
        std::sort(order.begin(), order.end(),
                  [](const auto& left, const auto& right) {
                      return left.first != right.first
                                 ? left.first > right.first
                                 : left.second < right.second;
                  });
        for (const auto& [rank, name] : order) {
            place_adapter(name.first, name.second);
        }
    }

    auto place_adapter(const std::string& model, const std::string& adapter)
        -> void {
        const auto* const declared = input_.engine_.find_model(model);
        if (declared == nullptr) {
            return;
        }
        auto best = input_.runners_.size();
        auto best_cost = std::numeric_limits<double>::infinity();
        const held_adapter* best_victim = nullptr;
        std::string best_victim_model;
        for (auto index = std::size_t{0}; index < input_.runners_.size();
             ++index) {
            const auto& runner = input_.runners_[index];
            if (!takes_adapter(runner, model, adapter)) {
                continue;
            }
            const held_adapter* victim = nullptr;
            auto victim_model = std::string{};
            const auto full =
                usage_[index].adapters_ >= input_.engine_.adapter_slots_ ||
                usage_[index].memory_mb_ + declared->adapter_mb_ >
                    input_.engine_.weights_mb_;
            if (full) {
                victim = adapter_victim(runner, model, adapter, victim_model);
                if (victim == nullptr) {
                    continue;
                }
            }
            const auto unit = std::max(mean_load_, least_rate);
            const auto cost = load_[index] / unit + (full ? 1.0 : 0.0);
            if (cost < best_cost) {
                best = index;
                best_cost = cost;
                best_victim = victim;
                best_victim_model = victim_model;
            }
        }
        if (best == input_.runners_.size()) {
            return;
        }
        const auto& runner = input_.runners_[best];
        adapter_touched_.insert(runner.id_);
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
        const auto reason = adapters_[{model, adapter}].count_ == 0
                                ? fleet_reason::unserved
                                : fleet_reason::demand;
        steps_.push_back({runner.id_, true, model, adapter, reason, false,
                          settings_.adapter_load_time_});
        ++adapters_[{model, adapter}].count_;
    }

    auto takes_adapter(const fleet_runner& runner, const std::string& model,
                       const std::string& adapter) const -> bool {
        if (runner.leaving_ || runner.adapters_blocked_ ||
            touched_.contains(runner.id_) ||
            adapter_touched_.contains(runner.id_)) {
            return false;
        }
        const auto* const held = runner.find(model);
        return held != nullptr && held->state_ == holding_state::ready &&
               std::none_of(
                   held->adapters_.begin(), held->adapters_.end(),
                   [&](const auto& each) { return each.name_ == adapter; });
    }

    // The adapter on the runner that carries least and less than the new one
    // would, and is not the last copy of something in demand.
    auto adapter_victim(const fleet_runner& runner, const std::string& model,
                        const std::string& adapter, std::string& victim_model)
        -> const held_adapter* {
        const auto& wanted_copies = adapters_[{model, adapter}];
        const auto gain = wanted_copies.count_ == 0
                              ? std::numeric_limits<double>::infinity()
                              : wanted_copies.share();
        const held_adapter* best = nullptr;
        auto best_share = std::numeric_limits<double>::infinity();
        for (const auto& held : runner.models_) {
            for (const auto& each : held.adapters_) {
                if (each.state_ != holding_state::ready) {
                    continue;
                }
                const auto& known = adapters_[{held.name_, each.name_}];
                const auto in_demand = input_.demand_.wanted(
                    key_of(held.name_, each.name_), input_.now_);
                const auto last = known.count_ <= 1 && in_demand;
                // The last copy of something in demand yields only to what
                // has no copy at all and is asked for more.
                const auto loss = known.share() * settings_.eviction_factor_;
                const auto yields = last ? wanted_copies.count_ == 0 &&
                                               loss < wanted_copies.rate_
                                         : loss < gain;
                if (yields && known.share() < best_share) {
                    best = &each;
                    best_share = known.share();
                    victim_model = held.name_;
                }
            }
        }
        return best;
    }

    const fleet_input& input_;
    const fleet_settings& settings_;
    int store_loads_;
    std::map<std::string, copies> models_;
    std::map<std::pair<std::string, std::string>, copies> adapters_;
    std::vector<fleet_usage> usage_;
    std::vector<double> load_;
    double mean_load_ = 0;
    std::size_t coming_ = 0;
    std::size_t going_ = 0;
    std::set<std::string> touched_;
    std::set<std::string> adapter_touched_;
    std::vector<fleet_step> steps_;
};

} // namespace

auto fleet_runner::find(const std::string& model) const -> const held_model* {
    const auto found =
        std::find_if(models_.begin(), models_.end(),
                     [&](const auto& each) { return each.name_ == model; });
    return found == models_.end() ? nullptr : &*found;
}

auto usage_of(const fleet_runner& runner, const service_engine& engine)
    -> fleet_usage {
    auto usage = fleet_usage{};
    for (const auto& held : runner.models_) {
        const auto* const model = engine.find_model(held.name_);
        const auto adapters = static_cast<int>(held.adapters_.size());
        usage.adapters_ += adapters;
        // A model that is no longer declared has an unknown size: the runner
        // is taken for full.
        usage.memory_mb_ +=
            model == nullptr
                ? engine.weights_mb_
                : model->weights_mb_ + adapters * model->adapter_mb_;
    }
    return usage;
}

auto plan_fleet(const fleet_input& input, const fleet_settings& settings)
    -> std::vector<fleet_step> {
    return fleet_plan{input, settings}.run();
}

} // namespace basilstream::coordination
