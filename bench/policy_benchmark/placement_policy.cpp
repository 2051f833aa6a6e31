#include "bench/policy_benchmark/placement_policy.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace basilstream::bench {
namespace {

using coordination::placement_action;
using coordination::placement_input;
using coordination::placement_model;
using coordination::placement_resident;
using coordination::placement_runner;
using coordination::placement_step;
using coordination::planner;
using coordination::planner_settings;
using coordination::resident_state;

// The planner with the given settings.
class planned final : public placement_policy {
public:
    planned(planner_settings settings, bool priced)
        : planner_{settings}, priced_{priced} {}

    auto plan(placement_input input) -> std::vector<placement_step> override {
        input.history_ = std::move(history_);
        if (!priced_) {
            for (auto& organisation : input.organisations_) {
                organisation.move_price_ = 0;
            }
        }
        auto made = planner_.plan(input);
        history_ = std::move(made.history_);
        return std::move(made.steps_);
    }

private:
    planner planner_;
    bool priced_;
    coordination::placement_history history_;
};

auto bytes_of(const placement_model& model) -> std::uint64_t {
    auto result = model.memory_bytes_;
    for (const auto& adapter : model.adapters_) {
        result += adapter.memory_bytes_;
    }
    return result;
}

// Brings the residents to a target number of replicas of each model. What the
// baselines share; they know no price, no history and no pacing.
class targeted final : public placement_policy {
public:
    explicit targeted(bool follows_demand) : follows_demand_{follows_demand} {}

    auto plan(placement_input input) -> std::vector<placement_step> override {
        input_ = &input;
        steps_.clear();
        survey();
        const auto targets = set_targets();
        for (const auto& [name, target] : targets) {
            shrink(name, target);
        }
        for (auto wanted = std::size_t{1}; wanted <= input.runners_.size();
             ++wanted) {
            grow_all(targets, wanted);
        }
        add_adapters();
        return std::move(steps_);
    }

private:
    auto survey() -> void {
        used_.clear();
        replicas_.clear();
        models_.clear();
        for (const auto& runner : input_->runners_) {
            used_[runner.name_] = 0;
        }
        for (const auto& model : input_->models_) {
            models_[model.name_] = &model;
            replicas_[model.name_] = {};
        }
        for (const auto& one : input_->residents_) {
            const auto& model = *models_.at(one.model_);
            if (one.adapter_.empty()) {
                // The room of adapters is kept from the start.
                used_[one.runner_] +=
                    one.memory_bytes_ + bytes_of(model) - model.memory_bytes_;
            }
            if (one.adapter_.empty() && one.version_ == model.version_) {
                replicas_[one.model_].push_back(&one);
            }
        }
    }

    auto set_targets() const -> std::map<std::string, std::size_t> {
        auto result = std::map<std::string, std::size_t>{};
        auto memory = 0.0;
        auto needed = 0.0;
        auto demand = 0.0;
        for (const auto& runner : input_->runners_) {
            memory += static_cast<double>(runner.memory_bytes_);
        }
        for (const auto& model : input_->models_) {
            needed += static_cast<double>(bytes_of(model));
        }
        for (const auto& one : input_->demands_) {
            demand += one.tokens_per_second_;
        }
        // A tenth of the memory is lost to fragmentation.
        const auto spread = std::max(1.0, std::floor(0.9 * memory / needed));
        for (const auto& model : input_->models_) {
            result[model.name_] = static_cast<std::size_t>(spread);
        }
        if (!follows_demand_ || demand <= 0) {
            return result;
        }
        const auto runners = static_cast<double>(input_->runners_.size());
        for (const auto& one : input_->demands_) {
            const auto share = one.tokens_per_second_ / demand;
            // Enough replicas for its load at half of a runner each.
            const auto replicas = std::ceil(2 * share * runners);
            result[one.model_] =
                static_cast<std::size_t>(std::clamp(replicas, 2.0, runners));
        }
        return result;
    }

    auto shrink(const std::string& name, std::size_t target) -> void {
        auto& own = replicas_[name];
        auto ready = std::count_if(own.begin(), own.end(), [](const auto* one) {
            return one->state_ == resident_state::ready;
        });
        for (auto at = own.rbegin(); at != own.rend(); ++at) {
            if (ready <= static_cast<std::ptrdiff_t>(target)) {
                break;
            }
            if ((*at)->state_ == resident_state::ready) {
                unload(**at);
                *at = nullptr;
                --ready;
            }
        }
        std::erase(own, nullptr);
        drop_old_versions(name, static_cast<std::size_t>(ready), target);
    }

    auto drop_old_versions(const std::string& name, std::size_t ready,
                           std::size_t target) -> void {
        if (ready < std::min<std::size_t>(target, 2)) {
            return;
        }
        for (const auto& one : input_->residents_) {
            if (one.model_ == name && one.adapter_.empty() &&
                one.version_ != models_.at(name)->version_ &&
                one.state_ == resident_state::ready) {
                unload(one);
            }
        }
    }

    auto unload(const placement_resident& one) -> void {
        for (const auto& other : input_->residents_) {
            if (other.runner_ == one.runner_ && other.model_ == one.model_ &&
                !other.adapter_.empty()) {
                steps_.push_back({placement_action::unload_adapter, other});
            }
        }
        steps_.push_back({placement_action::unload_model, one});
        used_[one.runner_] -=
            std::min(used_[one.runner_], bytes_of(*models_.at(one.model_)));
    }

    auto grow_all(const std::map<std::string, std::size_t>& targets,
                  std::size_t wanted) -> void {
        for (const auto& [name, target] : targets) {
            if (target >= wanted && replicas_[name].size() < wanted) {
                grow(name);
            }
        }
    }

    // Loads on the runner with the most free memory, in an availability zone
    // of its own while there is one.
    auto grow(const std::string& name) -> void {
        const auto& model = *models_.at(name);
        const placement_runner* best = nullptr;
        auto best_key = std::pair{true, std::uint64_t{0}};
        for (const auto& runner : input_->runners_) {
            const auto free =
                runner.memory_bytes_ -
                std::min(runner.memory_bytes_, used_[runner.name_]);
            if (free < bytes_of(model) || on_runner(name, runner.name_)) {
                continue;
            }
            const auto key = std::pair{in_zone(name, runner), ~free};
            if (best == nullptr || key < best_key) {
                best = &runner;
                best_key = key;
            }
        }
        if (best == nullptr) {
            return;
        }
        auto step = placement_step{};
        step.resident_ = {best->name_,
                          name,
                          "",
                          model.version_,
                          model.memory_bytes_,
                          resident_state::loading};
        steps_.push_back(step);
        used_[best->name_] += bytes_of(model);
        planned_.push_back(
            std::make_unique<placement_resident>(step.resident_));
        replicas_[name].push_back(planned_.back().get());
    }

    auto on_runner(const std::string& name, const std::string& runner) const
        -> bool {
        const auto& own = replicas_.at(name);
        return std::any_of(own.begin(), own.end(), [&](const auto* one) {
            return one->runner_ == runner;
        });
    }

    auto in_zone(const std::string& name, const placement_runner& where) const
        -> bool {
        const auto& own = replicas_.at(name);
        return std::any_of(own.begin(), own.end(), [&](const auto* one) {
            const auto at =
                std::find_if(input_->runners_.begin(), input_->runners_.end(),
                             [&](const auto& runner) {
                                 return runner.name_ == one->runner_;
                             });
            return at != input_->runners_.end() &&
                   at->availability_zone_ == where.availability_zone_;
        });
    }

    auto add_adapters() -> void {
        auto there = std::set<
            std::tuple<std::string, std::string, std::string, std::string>>{};
        for (const auto& one : input_->residents_) {
            there.insert({one.runner_, one.model_, one.adapter_, one.version_});
        }
        for (const auto& [name, own] : replicas_) {
            for (const auto* one : own) {
                if (one->state_ != resident_state::ready) {
                    continue;
                }
                for (const auto& adapter : models_.at(name)->adapters_) {
                    if (there.count({one->runner_, name, adapter.name_,
                                     adapter.version_}) == 0) {
                        add_adapter(*one, adapter);
                    }
                }
            }
        }
    }

    auto add_adapter(const placement_resident& beside,
                     const coordination::placement_adapter& adapter) -> void {
        auto step = placement_step{};
        step.action_ = placement_action::load_adapter;
        step.resident_ = {beside.runner_,        beside.model_,
                          adapter.name_,         adapter.version_,
                          adapter.memory_bytes_, resident_state::loading};
        steps_.push_back(step);
    }

    bool follows_demand_;
    const placement_input* input_ = nullptr;
    std::map<std::string, std::uint64_t> used_;
    std::map<std::string, const placement_model*> models_;
    std::map<std::string, std::vector<const placement_resident*>> replicas_;
    std::vector<std::unique_ptr<placement_resident>> planned_;
    std::vector<placement_step> steps_;
};

} // namespace

auto make_placement(placement_kind kind) -> std::unique_ptr<placement_policy> {
    auto settings = planner_settings{};
    switch (kind) {
    case placement_kind::static_even:
        return std::make_unique<targeted>(false);
    case placement_kind::follow_demand:
        return std::make_unique<targeted>(true);
    case placement_kind::without_price:
        return std::make_unique<planned>(settings, false);
    case placement_kind::without_peak:
        settings.peak_time_constant_ = duration::zero();
        break;
    case placement_kind::without_demand:
        settings.improvements_in_flight_ = 0;
        break;
    case placement_kind::without_redundancy:
        settings.replicas_ = 1;
        break;
    case placement_kind::without_spares:
        settings.spares_per_plan_ = 0;
        break;
    case placement_kind::ours:
        break;
    }
    return std::make_unique<planned>(settings, true);
}

} // namespace basilstream::bench
