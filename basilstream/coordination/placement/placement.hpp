/// Placement: decides which models, versions and adapters each runner hosts.
///
/// The planner is a pure function: equal inputs give equal plans on every
/// machine, regardless of the order of the input lists. It is stateless; state
/// carried from one plan to the next is part of its input and output
/// (`placement_history`).
///
///     auto placement_planner = planner{planner_settings{}};
///     auto plan = placement_planner.plan(input);
///     for (const auto& step : plan.steps_) { ... }   // in this order
///     input.history_ = plan.history_;                // for the next plan
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// A live runner. Runners that are no longer live are not part of the input.
struct placement_runner {
    std::string name_;
    std::string availability_zone_;
    std::string region_;
    std::uint64_t memory_bytes_ = 0;
    /// Tokens per second that the runner generates while it meets the target
    /// for inter-token latency. Zero: no demand is assigned to the runner.
    double tokens_per_second_ = 0;
    /// The runner is draining: it receives no loads, and its replicas are
    /// replaced on other runners.
    bool leaving_ = false;
};

/// A declared adapter, to be resident on every runner that hosts its model.
struct placement_adapter {
    std::string name_;
    std::string version_;
    std::uint64_t memory_bytes_ = 0;
};

/// A declared model and its desired version.
struct placement_model {
    /// ORGANISATION/MODEL.
    std::string name_;
    std::string organisation_;
    /// Desired version; it replaces residents of other versions.
    std::string version_;
    /// Memory of the model without its adapters.
    std::uint64_t memory_bytes_ = 0;
    /// Availability zones in which the model may be resident; empty means all.
    std::vector<std::string> availability_zones_;
    /// Of models that need repair equally urgently, those with a higher
    /// priority are repaired first and so obtain scarce memory.
    int priority_ = 0;
    /// Lower bound on the number of replicas; has an effect only above
    /// `planner_settings::replicas_`.
    unsigned minimum_replicas_ = 0;
    std::vector<placement_adapter> adapters_;
};

/// State of a resident in the memory ledger.
enum class resident_state { loading, ready, unloading };

/// A model or adapter that occupies memory of a runner, from the time the
/// write-ahead intent of its load is found valid until its unload is known to
/// have ended.
struct placement_resident {
    std::string runner_;
    std::string model_;
    /// Adapter name; empty for the model itself.
    std::string adapter_;
    std::string version_;
    std::uint64_t memory_bytes_ = 0;
    resident_state state_ = resident_state::ready;
    auto operator==(const placement_resident&) const -> bool = default;
};

/// Demand for a model, measured over the last planning interval.
struct placement_demand {
    std::string model_;
    double tokens_per_second_ = 0;
    double requests_per_second_ = 0;
};

/// Weights that an organisation has declared for its objective.
struct placement_organisation {
    std::string name_;
    /// Weight of one of its requests relative to other organisations.
    double weight_ = 1;
    /// A load for demand starts only if its expected gain, in weighted requests
    /// over `planner_settings::horizon_`, exceeds this price.
    double move_price_ = 10;
};

/// Decaying peak of a model's demand.
struct demand_peak {
    std::string model_;
    /// Tokens per second. Rises at once with the measured demand and decays
    /// exponentially towards it.
    double tokens_per_second_ = 0;
};

/// Time at which a plan first found a model on a runner.
struct residence_start {
    std::string runner_;
    std::string model_;
    time_point since_;
};

/// State carried from one plan to the next; empty for the first plan. After a
/// failover without it, the planner uses the measured demand alone.
struct placement_history {
    std::vector<demand_peak> peaks_;
    std::vector<residence_start> residences_;
    time_point planned_at_;
};

/// The complete input of a plan. The order of the elements in its lists has no
/// effect on the plan.
struct placement_input {
    time_point now_;
    std::vector<placement_runner> runners_;
    std::vector<placement_model> models_;
    std::vector<placement_organisation> organisations_;
    std::vector<placement_resident> residents_;
    std::vector<placement_demand> demands_;
    placement_history history_;
};

enum class placement_action {
    load_model,
    unload_model,
    load_adapter,
    unload_adapter
};

/// Names of actions, identical to those in `engine_order`.
inline constexpr auto placement_action_names = name_table<placement_action, 4>{
    {{{placement_action::load_model, "load_model"},
      {placement_action::unload_model, "unload_model"},
      {placement_action::load_adapter, "load_adapter"},
      {placement_action::unload_adapter, "unload_adapter"}}}};

/// Reason for a step.
enum class placement_reason {
    /// The model has no replica on a live runner that is not leaving.
    unreachable,
    /// The model has fewer replicas or availability zones than desired.
    redundancy,
    /// Replaces replicas of another version by the desired version.
    rollout,
    /// The expected gain exceeds the move price.
    demand,
    /// Loads an extra replica into otherwise unused memory, in advance of a
    /// rise in demand or an outage.
    spare,
    /// Moves a replica to free memory for a model that fits on no runner.
    relocation,
    /// A declared adapter of a resident model is missing.
    adapter,
    /// Frees memory for another load.
    eviction,
    /// The model, version or adapter is no longer declared.
    undeclared,
};

/// Names of reasons, as `basilctl explain` prints them.
inline constexpr auto placement_reason_names = name_table<placement_reason, 9>{
    {{{placement_reason::unreachable, "unreachable"},
      {placement_reason::redundancy, "redundancy"},
      {placement_reason::rollout, "rollout"},
      {placement_reason::demand, "demand"},
      {placement_reason::spare, "spare"},
      {placement_reason::relocation, "relocation"},
      {placement_reason::adapter, "adapter"},
      {placement_reason::eviction, "eviction"},
      {placement_reason::undeclared, "undeclared"}}}};

/// One order to an engine. The steps of a runner are executed in the listed
/// order, those of different runners concurrently. Each load fits into the
/// runner's memory once the preceding steps on that runner have completed. No
/// step unloads the last ready replica of a declared model.
struct placement_step {
    placement_action action_ = placement_action::load_model;
    /// The model or adapter to load or unload and its runner; `state_` has no
    /// meaning here.
    placement_resident resident_;
    placement_reason reason_ = placement_reason::demand;
    /// Expected gain in weighted requests over `planner_settings::horizon_`.
    /// Zero unless the reason is `demand`: other steps are not compared with a
    /// price.
    double gain_ = 0;
    /// Price with which the gain was compared, in weighted requests.
    double price_ = 0;
};

/// Reason for which a load was rejected.
enum class placement_rejection_reason {
    /// The expected gain does not exceed the price.
    gain_below_price,
    /// No eligible runner has enough memory, even after permitted evictions.
    no_memory,
    /// The limit on loads in flight is reached.
    pacing,
};

/// Names of rejection reasons, as `basilctl explain` prints them.
inline constexpr auto placement_rejection_reason_names =
    name_table<placement_rejection_reason, 3>{
        {{{placement_rejection_reason::gain_below_price, "gain_below_price"},
          {placement_rejection_reason::no_memory, "no_memory"},
          {placement_rejection_reason::pacing, "pacing"}}}};

/// A load that was considered and not started.
struct placement_rejection {
    std::string model_;
    /// Empty if no particular runner was considered.
    std::string runner_;
    placement_rejection_reason reason_ = placement_rejection_reason::no_memory;
    /// As in `placement_step`; zero unless the reason is `gain_below_price`.
    double gain_ = 0;
    double price_ = 0;
};

/// Status of a declared model, as reported in its resource.
struct placement_status {
    std::string model_;
    /// Ready replicas of any version, including those on leaving runners.
    unsigned ready_replicas_ = 0;
    /// Ready replicas of the desired version, excluding those on leaving
    /// runners.
    unsigned up_to_date_replicas_ = 0;
    /// Availability zones with a ready replica on a runner that is not leaving.
    unsigned availability_zones_ = 0;
    unsigned desired_replicas_ = 0;
    /// The model stays reachable after the loss of any single VM or
    /// availability zone.
    bool redundant_ = false;
    /// Sentence that says why the model is not redundant; empty if it is.
    std::string detail_;
};

/// A plan. `target_residents_` are the residents once all steps have completed.
struct placement_plan {
    std::vector<placement_resident> target_residents_;
    std::vector<placement_step> steps_;
    std::vector<placement_rejection> rejections_;
    std::vector<placement_status> statuses_;
    /// Expected utilisation of each runner before the steps, in the order of
    /// runner names.
    std::vector<std::pair<std::string, double>> utilisations_;
    placement_history history_;
};

/// Settings of the planner. Unless stated otherwise, zero disables what a
/// setting controls.
struct planner_settings {
    /// Replicas of each model, in distinct availability zones. At least one is
    /// always planned.
    unsigned replicas_ = 2;
    /// Period over which the gain of a load is compared with its price.
    duration horizon_ = seconds{300};
    /// Time constant of the decay of demand peaks. The loss caused by an
    /// eviction is computed from the peak, so that a pause between two bursts
    /// does not evict replicas.
    duration peak_time_constant_ = seconds{900};
    /// A spare replica is loaded only on a runner that has not received a
    /// replica for this long.
    duration spare_quiet_time_ = seconds{300};
    /// A repair starts only while fewer model loads than this are in flight.
    /// This limit and the next are below the weight store's limit, so that the
    /// store has capacity for a repair.
    unsigned repairs_in_flight_ = 12;
    /// A load for demand starts only while fewer model loads than this are in
    /// flight.
    unsigned improvements_in_flight_ = 4;
    /// Spare replicas that a plan loads when no other load is in flight.
    unsigned spares_per_plan_ = 1;
    /// Maximum number of adapter loads that one plan starts.
    unsigned adapters_per_plan_ = 64;
    /// Lower bound on the price of a load, in weighted requests; prevents loads
    /// for a negligible gain where an organisation's `move_price_` is lower.
    double minimum_price_ = 0;
};

/// Computes placement plans. Immutable and therefore thread-safe.
class planner {
public:
    explicit planner(planner_settings settings) : settings_{settings} {}

    /// Returns the next plan. The running time is proportional to the number of
    /// residents plus a bounded number of candidates.
    [[nodiscard]] auto plan(const placement_input& input) const
        -> placement_plan;

private:
    planner_settings settings_;
};

/// Returns a one-line description of `step` for `basilctl explain`.
[[nodiscard]] auto explain(const placement_step& step) -> std::string;

/// Returns a one-line description of `rejection` for `basilctl explain`.
[[nodiscard]] auto explain(const placement_rejection& rejection) -> std::string;

} // namespace basilstream::coordination
