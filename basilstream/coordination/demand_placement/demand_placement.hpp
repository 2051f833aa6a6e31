/// Plans which models and adapters runners load and unload, based on recent
/// demand.
///
///     auto demand = demand_tracker{};
///     demand.add({"chat", "m7", "a3"}, {.requests_ = 1, .tokens_ = 900}, now);
///     for (const auto& step : plan_fleet(input)) { /* send one order */ }
///
/// Load pattern: a few models and adapters receive most of the requests, and
/// the popular ones change within seconds. Loading a model takes seconds, and
/// the rate of loads is limited across all runners. Loading an adapter takes
/// milliseconds, but each runner has only a few adapter slots. The most
/// valuable copies are placed first: those of models with much load on few
/// copies, and of models without a copy, the more the longer their requests
/// have waited. One may evict a copy that is worth less. A runner takes no
/// order for an adapter while it loads a model, so adapters that fit go first,
/// and a model with more adapters in demand than slots gets another copy. The
/// last copy of a model is evicted only for a model without a copy, and only
/// after its retention period.
///
/// The planner in coordination/placement keeps every declared model resident
/// with all of its adapters; this one handles more models and adapters than
/// fit. plan_fleet() is a pure function: equal inputs give equal steps. Not
/// safe for concurrent use.
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

/// Identifies a model of a service, or an adapter of that model.
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

/// Demand to be added to a demand_tracker.
struct demand_sample {
    double requests_ = 0;
    /// Requests that arrived while no runner could serve them.
    double unserved_ = 0;
    /// Work of the requests, in tokens.
    double tokens_ = 0;
    /// Sum of the tokens times the weight of each request's urgency; 0 if the
    /// urgency is not known, which counts like a weight of 1.
    double weighted_tokens_ = 0;
};

/// Returns the weight of a request's work by its urgency, 0 (most urgent) to 9.
/// Ranges from 2 to 0.5: work of unknown urgency, weight 1, is between them.
/// The ratio of four makes a place with the most urgent work worth one with
/// four times as much of the least urgent work.
[[nodiscard]] auto urgency_weight(int urgency) -> double;

/// Settings of a demand_tracker.
struct demand_settings {
    /// Time constant of the exponential decay.
    duration time_constant_ = seconds{5};
    /// That of `demand_summary::recent_rate_`: demand that has moved to other
    /// models shows sooner.
    duration recent_time_constant_ = seconds{3};
    /// A key without a request for this long is no longer in demand.
    duration idle_after_ = seconds{12};
    /// The last copy of a model may be evicted this long after the model's
    /// last request. For a model without a known request, the time counts from
    /// the first sample of the tracker, because a tracker that has just started
    /// cannot tell an unused model from one that has not been requested yet.
    duration last_copy_retention_ = seconds{30};
};

/// The demand for a model or adapter.
struct demand_summary {
    /// In tokens per second, by `recent_time_constant_`.
    double recent_rate_ = 0;
    /// Mean weight by urgency; 1 if not known.
    double weight_ = 1;
    bool in_demand_ = false;
    duration unserved_for_{};
    bool retention_expired_ = false;
};

/// Tracks the demand for models and adapters as exponentially decaying sums.
class demand_tracker {
public:
    explicit demand_tracker(demand_settings settings = {})
        : settings_{settings} {}

    auto add(const demand_key& key, const demand_sample& sample, time_point now)
        -> void;
    /// Replaces what is known of the demand for the key by the demand that
    /// another tracker has seen.
    auto set_rate(const demand_key& key, double tokens_per_second,
                  time_point now) -> void;
    /// Returns the decayed average demand, in tokens per second; 0 for an
    /// unknown key.
    [[nodiscard]] auto rate(const demand_key& key, time_point now) const
        -> double;
    /// Returns all that is known of the demand, by one look-up.
    [[nodiscard]] auto summary(const demand_key& key, time_point now) const
        -> demand_summary;
    /// Returns whether the key was requested within `idle_after_`.
    [[nodiscard]] auto in_demand(const demand_key& key, time_point now) const
        -> bool;
    /// Returns for how long requests for the key have arrived unserved; zero if
    /// the last one was served.
    [[nodiscard]] auto unserved_for(const demand_key& key, time_point now) const
        -> duration;
    /// Returns whether the last copy of the model may be evicted, because it
    /// has not been requested for `last_copy_retention_`.
    [[nodiscard]] auto retention_expired(const demand_key& key,
                                         time_point now) const -> bool;
    /// Removes keys that have not been requested for ten times
    /// `idle_after_`.
    auto trim(time_point now) -> void;
    /// Returns the keys of a service that are in demand, in ascending order.
    [[nodiscard]] auto keys_in_demand(const std::string& service,
                                      time_point now) const
        -> std::vector<demand_key>;

private:
    struct entry {
        // Decayed sums as of `updated_`.
        double tokens_ = 0;
        double weighted_tokens_ = 0;
        double recent_tokens_ = 0;
        time_point updated_{};
        time_point last_request_{};
        std::optional<time_point> unserved_since_;
    };
    // Returns the mean weight by urgency; 1 without demand.
    static auto weight_of(const entry& record) -> double;
    // Returns the factor by which a sum has decayed since `updated_`.
    static auto decay_of(const entry& record, duration time_constant,
                         time_point now) -> double;

    demand_settings settings_;
    std::map<demand_key, entry> entries_;
    // Empty until the first sample.
    std::optional<time_point> first_sample_at_;
};

enum class load_state { ready, loading, unloading };

/// An adapter that a runner holds, is loading or is unloading.
struct held_adapter {
    std::string name_;
    load_state state_ = load_state::ready;
};

/// A model that a runner holds, is loading or is unloading.
struct held_model {
    std::string name_;
    load_state state_ = load_state::ready;
    std::vector<held_adapter> adapters_;
};

/// The state of a runner, as input for plan_fleet().
struct fleet_runner {
    std::string id_;
    /// The runner must not get any orders.
    bool draining_ = false;
    /// No order for a model may be sent now, because one is in progress or the
    /// state of the runner is unknown.
    bool models_blocked_ = false;
    /// No order for an adapter may be sent now, because too many are in
    /// progress or the state of the runner is unknown.
    bool adapters_blocked_ = false;
    std::vector<held_model> models_;
    /// Models whose weights the runner has in memory or on disk, so that they
    /// need not be fetched from the weight store.
    std::vector<std::string> weights_in_memory_;
    std::vector<std::string> weights_on_disk_;
    /// Speed relative to the other runners, above 0. Counts with
    /// `fleet_settings::even_work_` only.
    double speed_ = 1;

    /// Returns null if the runner does not hold the model.
    [[nodiscard]] auto find(const std::string& model) const
        -> const held_model*;
};

/// Why an order is due: a model or adapter in demand has no copy, a resident
/// one needs more copies, or a copy makes room for another one.
enum class fleet_reason { unserved, demand, eviction };

inline constexpr auto fleet_reason_names =
    name_table<fleet_reason, 3>{{{{fleet_reason::unserved, "unserved"},
                                  {fleet_reason::demand, "demand"},
                                  {fleet_reason::eviction, "eviction"}}}};

/// An order to a runner to load or unload a model or an adapter.
struct fleet_step {
    std::string runner_;
    /// True to load, false to unload.
    bool is_load_ = true;
    std::string model_;
    /// Empty if the order is for the model itself.
    std::string adapter_;
    fleet_reason reason_ = fleet_reason::demand;
    /// Whether the order counts as a load from the weight store.
    bool from_store_ = false;
    /// Zero for an unload.
    duration expected_load_time_{};
};

/// Limits and thresholds of a plan.
struct fleet_settings {
    /// A model or an adapter gets another copy if its rate per copy exceeds
    /// this share of the mean load of a runner.
    double model_copy_share_ = 0.5;
    double adapter_copy_share_ = 0.3;
    /// A copy is evicted for another one only if its value, times this factor,
    /// is below the value of the other one. For adapters the value is the rate.
    double eviction_factor_ = 1.6;
    /// The rate of an adapter without a copy counts once more for each such
    /// time that its requests have been unserved, so that adapters that
    /// outnumber the slots are served in turn.
    duration adapter_aging_time_ = seconds{1};
    /// The same for models without a copy.
    duration model_aging_time_ = seconds{1};
    /// No copy is evicted for an additional copy of a served model while this
    /// many model loads are in progress.
    std::size_t max_models_loading_ = 12;
    /// Maximum number of models that are unloading at the same time. A model
    /// that is unloading serves no requests, so a shift in demand must not
    /// replace all copies at once.
    std::size_t max_models_unloading_ = 4;
    /// The same, for each runner, for the sake of models without a copy, if
    /// that is more: in a large fleet more models are asked for at once.
    double unserved_unloading_share_ = 0.22;
    /// Expected time to load an adapter.
    duration adapter_load_time_ = milliseconds{40};
    /// Whether copies of models are placed so that the expected work of the
    /// runners is even for their speeds, weighted by urgency, instead of by the
    /// rate per copy.
    bool even_work_ = false;
    /// Gain below which a served model gets no further copy with `even_work_`:
    /// a price for the load, plus one for each second that it takes. Evening
    /// out two runners with 1.2 and 0.8 of the mean work gains 0.08.
    double copy_price_ = 0.07;
    double copy_price_per_second_ = 0.01;
    /// Maximum number of models that are unloading for the sake of served
    /// models with `even_work_`, for each runner.
    double work_unloading_share_ = 0.22;
    /// Maximum number of copies that one plan places with `even_work_`, which
    /// bounds its time: each copy takes a pass over all runners.
    int max_copies_per_plan_ = 100;
};

/// Input of plan_fleet().
struct fleet_input {
    std::string service_;
    const service_engine& engine_;
    const std::vector<fleet_runner>& runners_;
    const demand_tracker& demand_;
    /// Number of loads from the weight store that may start now.
    int store_loads_ = 0;
    time_point now_;
    /// Whether the tracker has seen enough to compare models. Otherwise models
    /// without a copy get one where there is room, and nothing else is done for
    /// models.
    bool demand_settled_ = true;
};

/// Returns the orders to send now, at most one for a model and one for an
/// adapter per runner. Whatever sequence they are executed in, they never
/// exceed the memory or the adapter slots of a runner.
[[nodiscard]] auto plan_fleet(const fleet_input& input,
                              const fleet_settings& settings = {})
    -> std::vector<fleet_step>;

/// Why a model gets no copy, or no further one, now: the rate of loads from the
/// weight store is used up, too many models are unloading, or no runner has
/// room or a copy that may be evicted.
enum class unplaced_reason { load_rate, evictions, no_room };

inline constexpr auto unplaced_reason_names =
    name_table<unplaced_reason, 3>{{{{unplaced_reason::load_rate, "load_rate"},
                                     {unplaced_reason::evictions, "evictions"},
                                     {unplaced_reason::no_room, "no_room"}}}};

struct unplaced_model {
    std::string model_;
    /// What the copy is for: fleet_reason::unserved or fleet_reason::demand.
    fleet_reason copy_for_ = fleet_reason::unserved;
    unplaced_reason reason_ = unplaced_reason::no_room;
    /// Runners that have room, but take no order for a model now.
    int blocked_runners_ = 0;
};

/// Returns the models that want a copy and get none by the plan for the same
/// input. Takes as long as plan_fleet().
[[nodiscard]] auto find_unplaced_models(const fleet_input& input,
                                        const fleet_settings& settings = {})
    -> std::vector<unplaced_model>;

/// Returns the mean expected work of the busiest tenth of the runners for their
/// speeds, in units of the mean of all; 1 is even.
[[nodiscard]] auto work_unevenness(const fleet_input& input) -> double;

/// Memory and adapter slots in use on a runner. Models and adapters that are
/// loading or unloading count in full.
struct fleet_usage {
    double memory_mb_ = 0;
    int adapters_ = 0;
};
[[nodiscard]] auto usage_of(const fleet_runner& runner,
                            const service_engine& engine) -> fleet_usage;

} // namespace basilstream::coordination
