/// Decides which models and adapters runners load and drop, from the demand of
/// the last seconds.
///
///     auto demand = demand_tracker{};
///     demand.add({"chat", "m7", "a3"}, {.requests_ = 1, .tokens_ = 900}, now);
///     for (const auto& step : plan_fleet(input)) { /* one order each */ }
///
/// Load pattern: few models and adapters get most requests, many get few, and
/// which ones changes within seconds; loads take seconds and are limited over
/// all runners, adapters take milliseconds, and every runner has a few places
/// for them. What is asked for and in place nowhere comes first; then the
/// model whose copies carry most gets another copy in the place of the one
/// that carries least, unless that is the last copy of something in demand.
///
/// Unlike `planner`, which keeps each declared model resident with all of its
/// adapters, this plans for more models and adapters than fit. Pure; equal
/// inputs give equal steps. Not safe for concurrent use.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/route_table/route_table.hpp"

namespace basilstream::coordination {

/// A model of a service, or an adapter of it.
struct demand_key {
    std::string service_;
    std::string model_;
    /// Empty for the model itself.
    std::string adapter_;
    auto operator<(const demand_key& other) const -> bool {
        return std::tie(service_, model_, adapter_) <
               std::tie(other.service_, other.model_, other.adapter_);
    }
    auto operator==(const demand_key&) const -> bool = default;
};

/// Requests of a short while.
struct demand_sample {
    double requests_ = 0;
    /// Those for which no runner was in place.
    double unserved_ = 0;
    /// Work of the requests, in tokens.
    double tokens_ = 0;
};

/// Settings of a demand_tracker.
struct demand_settings {
    /// Time constant with which demand is forgotten.
    duration time_constant_ = seconds{5};
    /// What was not asked for during this time is not in demand.
    duration idle_after_ = seconds{12};
    /// The last copy of a model is kept for this long after it was asked for,
    /// and since the book was begun: before, nothing tells it from a model
    /// that nobody wants.
    duration last_copy_retention_ = seconds{30};
};

/// Demand of the last seconds, as exponentially decaying sums.
class demand_tracker {
public:
    explicit demand_tracker(demand_settings settings = {})
        : settings_{settings} {}

    auto add(const demand_key& key, const demand_sample& sample, time_point now)
        -> void;
    /// Tokens per second.
    [[nodiscard]] auto rate(const demand_key& key, time_point now) const
        -> double;
    /// Whether it was asked for lately.
    [[nodiscard]] auto in_demand(const demand_key& key, time_point now) const
        -> bool;
    /// Whether it was not asked for in so long that its last copy may go.
    [[nodiscard]] auto retention_expired(const demand_key& key,
                                         time_point now) const -> bool;
    /// Forgets what has not been asked for in a long time.
    auto trim(time_point now) -> void;
    /// Everything that was asked for lately, in order.
    [[nodiscard]] auto keys_in_demand(const std::string& service,
                                      time_point now) const
        -> std::vector<demand_key>;

private:
    struct entry {
        double tokens_ = 0;
        time_point updated_{};
        time_point last_request_{};
    };
    [[nodiscard]] auto decayed_tokens(const entry& record, time_point now) const
        -> double;

    demand_settings settings_;
    std::map<demand_key, entry> entries_;
    std::optional<time_point> first_sample_at_;
};

enum class load_state { ready, loading, unloading };

/// An adapter in a runner's memory, or on its way there or out of it.
struct held_adapter {
    std::string name_;
    load_state state_ = load_state::ready;
};

/// A model, likewise.
struct held_model {
    std::string name_;
    load_state state_ = load_state::ready;
    std::vector<held_adapter> adapters_;
};

/// A runner as placement knows it.
struct fleet_runner {
    std::string id_;
    /// Gets nothing new.
    bool draining_ = false;
    /// No order may go to it now: one is in progress, or its state is unknown.
    bool models_blocked_ = false;
    bool adapters_blocked_ = false;
    std::vector<held_model> models_;
    std::vector<std::string> weights_in_memory_;
    std::vector<std::string> weights_on_disk_;

    [[nodiscard]] auto find(const std::string& model) const
        -> const held_model*;
};

enum class fleet_reason { unserved, demand, eviction };

inline constexpr auto fleet_reason_names =
    name_table<fleet_reason, 3>{{{{fleet_reason::unserved, "unserved"},
                                  {fleet_reason::demand, "demand"},
                                  {fleet_reason::eviction, "eviction"}}}};

/// One order to a runner.
struct fleet_step {
    std::string runner_;
    bool load_ = true;
    std::string model_;
    std::string adapter_;
    fleet_reason reason_ = fleet_reason::demand;
    /// Whether it counts as a load from the weight store.
    bool from_store_ = false;
    duration expected_load_time_{};
};

/// Bounds of a plan.
struct fleet_settings {
    /// A model gets another copy if each of its copies carries more than this
    /// share of a runner's mean load, and an adapter likewise.
    double model_copy_share_ = 0.5;
    double adapter_copy_share_ = 0.3;
    /// A copy is dropped for one that would carry this many times as much.
    double eviction_factor_ = 1.6;
    /// Models on their way to runners at once for more copies.
    std::size_t max_models_loading_ = 12;
    /// Models that leave runners at once. What leaves serves no longer, so
    /// that a shift of demand must not move everything.
    std::size_t max_models_unloading_ = 4;
    /// How long an adapter takes to load.
    duration adapter_load_time_ = milliseconds{40};
};

/// Everything that a plan depends on.
struct fleet_input {
    std::string service_;
    const service_engine& engine_;
    const std::vector<fleet_runner>& runners_;
    const demand_tracker& demand_;
    /// Loads from the weight store that may begin now.
    int store_loads_ = 0;
    time_point now_;
};

/// Returns the orders that are due, at most one for models and one for
/// adapters on each runner. Carried out in any order none exceeds a runner's
/// memory or places.
[[nodiscard]] auto plan_fleet(const fleet_input& input,
                              const fleet_settings& settings = {})
    -> std::vector<fleet_step>;

/// Memory and adapter places that a runner's holdings take; what is coming or
/// going counts in full.
struct fleet_usage {
    double memory_mb_ = 0;
    int adapters_ = 0;
};
[[nodiscard]] auto usage_of(const fleet_runner& runner,
                            const service_engine& engine) -> fleet_usage;

} // namespace basilstream::coordination
