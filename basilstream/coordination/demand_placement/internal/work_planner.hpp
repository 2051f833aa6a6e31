/// Places copies of models so that the expected work of the runners is even.
///
///     auto planner = work_planner{input, settings, mean_work, blocked, loss};
///     const auto plan = planner.run();
///
/// Load pattern: a fifth to a third of the runners lose their models within
/// seconds while requests for rarely used models arrive in bursts, or demand
/// moves to other models, and the runners without a model in high demand stay
/// idle while the others reject requests. Of all copies that could be added,
/// the one that takes most work off busy runners, less the price of its load
/// and of the copy that it replaces, is placed first, then the next one given
/// the first. Places on runners with an order in progress are reserved, so that
/// no other copy is evicted for what will fit there.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilstream/coordination/demand_placement/demand_placement.hpp"
#include "basilstream/coordination/demand_placement/internal/work_balance.hpp"

namespace basilstream::coordination::internal {

/// What the work_planner takes from the planner of adapters.
struct work_context {
    /// Returns whether the runner gets an order for an adapter in this plan.
    std::function<bool(const fleet_runner&)> has_step_;
    /// Returns the rate of the adapters in demand that have their only copy on
    /// a copy of a model.
    std::function<double(const held_model&)> adapters_rate_;
};

struct work_plan {
    std::vector<fleet_step> steps_;
    std::vector<unplaced_model> unplaced_;
};

class work_planner {
public:
    work_planner(const fleet_input& input, const fleet_settings& settings,
                 work_context context);

    /// Call once.
    [[nodiscard]] auto run() -> work_plan;
    /// Of the current copies; see work_balance::unevenness().
    [[nodiscard]] auto unevenness() const -> double {
        return balance_.unevenness();
    }

private:
    static constexpr auto undeclared_ = static_cast<std::size_t>(-1);

    struct held_copy {
        std::size_t model_ = undeclared_;
        const held_model* held_ = nullptr;
        // Computed when first needed, as adapters are looked up by name.
        std::optional<double> adapters_loss_;
        // Last result of loss_of(), and the version of the model that it is
        // for.
        std::optional<double> loss_;
        int loss_version_ = -1;
    };
    struct runner_state {
        const fleet_runner* runner_ = nullptr;
        std::vector<held_copy> copies_;
        // Models for which a place is taken by this plan.
        std::vector<std::size_t> reserved_;
        double free_mb_ = 0;
        // May get an order for a model in this plan.
        bool available_ = false;
        // Has an order for a model in progress, so that it takes another one
        // within seconds.
        bool available_later_ = false;
    };
    struct model_state {
        demand_summary demand_;
        // By urgency; 1 is the mean of all demand.
        double weight_ = 1;
        int copies_ = 0;
        int ready_ = 0;
        // Grows as copies are added and removed and work is distributed anew.
        int version_ = 0;
    };
    // A way to place a copy of a model.
    struct option {
        std::size_t runner_ = 0;
        // Null if the free memory suffices.
        held_copy* victim_ = nullptr;
        bool now_ = false;
        bool from_store_ = false;
        duration load_time_{};
        // Gain less prices and losses.
        double net_ = 0;
    };
    // A place on a runner: the level there, and what it costs to free it.
    struct offer {
        double level_ = 0;
        double cost_ = 0;
    };
    struct candidate {
        double value_ = 0;
        std::size_t model_ = 0;
        auto operator<(const candidate& other) const -> bool {
            return value_ < other.value_ ||
                   (value_ == other.value_ && model_ > other.model_);
        }
    };

    static auto models_of(const fleet_input& input) -> std::vector<model_state>;
    static auto mean_work_of(const fleet_input& input,
                             const std::vector<model_state>& models) -> double;
    auto works() const -> std::vector<double>;
    static auto speeds_of(const fleet_input& input) -> std::vector<double>;
    auto add_models() -> void;
    auto add_runners() -> void;
    auto declared(std::size_t model) const -> const service_model& {
        return input_.engine_.models_[model];
    }
    auto is_missing(std::size_t model) const -> bool {
        return models_[model].copies_ == 0;
    }
    // Returns the models that may want a copy, with an upper bound of its
    // value.
    auto candidates() -> std::vector<candidate>;
    auto value_of_first_copy(std::size_t model) const -> double;
    auto price_of_load(duration load_time) const -> double;
    auto best_option(std::size_t model) -> std::optional<option>;
    auto option_on(std::size_t runner, std::size_t model, double first_value)
        -> std::optional<option>;
    // Returns the copy on the runner that is worth least among those that may
    // be evicted for the model, and its worth.
    auto find_victim(std::size_t runner, std::size_t model)
        -> std::pair<held_copy*, double>;
    auto distribute(std::size_t model) -> void;
    // Returns nothing if the copy may not be evicted.
    auto loss_of(std::size_t runner, held_copy& copy) -> std::optional<double>;
    auto compute_loss(std::size_t runner, held_copy& copy)
        -> std::optional<double>;
    // Returns what the runners offer at best, without those that another one
    // surpasses: most plans need no pass over all runners for most models.
    auto best_offers() -> std::vector<offer>;
    auto set_source(const fleet_runner& runner, std::size_t model,
                    option& found) const -> void;
    auto place(std::size_t model, const option& chosen) -> void;
    auto add_unplaced(std::size_t model) -> void;

    const fleet_input& input_;
    const fleet_settings& settings_;
    work_context context_;
    std::vector<model_state> models_;
    // Of a runner of speed 1, in tokens per second.
    double mean_work_;
    work_balance balance_;
    std::unordered_map<std::string_view, std::size_t> indexes_;
    std::vector<runner_state> runners_;
    int store_loads_;
    std::size_t unloading_ = 0;
    std::size_t max_unloading_unserved_ = 0;
    std::size_t max_unloading_busy_ = 0;
    work_plan plan_;
};

} // namespace basilstream::coordination::internal
