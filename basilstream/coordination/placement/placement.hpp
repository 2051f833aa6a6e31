/// Placement: decides which runner holds which model, version and adapter.
///
/// The planner is a pure function: equal inputs give equal plans on every
/// machine, whatever the order in which the inputs are listed. It holds no
/// state; what it has to remember from one plan to the next is part of its
/// input and output (`placement_history`).
///
///     auto maker = planner{planner_settings{}};
///     auto plan = maker.plan(input);
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

/// A runner as placement sees it. A runner that is gone is left out.
struct placement_runner {
    std::string name_;
    std::string availability_zone_;
    std::string region_;
    std::uint64_t memory_bytes_ = 0;
    /// Tokens per second that it generates within the goal between tokens.
    double tokens_per_second_ = 0;
    /// A leaving runner gets nothing new, and its residents are replaced.
    bool leaving_ = false;
};

/// A declared adapter. It is resident wherever its model is.
struct placement_adapter {
    std::string name_;
    std::string version_;
    std::uint64_t memory_bytes_ = 0;
};

/// A declared model in one wanted version.
struct placement_model {
    /// ORGANISATION/MODEL.
    std::string name_;
    std::string organisation_;
    /// Residents of other versions are replaced by this one.
    std::string version_;
    std::uint64_t memory_bytes_ = 0;
    /// Availability zones in which it may be resident; empty means all.
    std::vector<std::string> availability_zones_;
    /// A higher number is served first when memory is scarce.
    int priority_ = 0;
    /// Raises the number of replicas above `planner_settings::replicas_`.
    unsigned minimum_replicas_ = 0;
    std::vector<placement_adapter> adapters_;
};

/// State of a resident as the memory ledger knows it.
enum class resident_state { loading, ready, unloading };

/// A model or an adapter that takes memory of a runner, from the valid intent
/// to load it until the definite end of its unloading.
struct placement_resident {
    std::string runner_;
    std::string model_;
    /// Empty for the model itself.
    std::string adapter_;
    std::string version_;
    std::uint64_t memory_bytes_ = 0;
    resident_state state_ = resident_state::ready;
    auto operator==(const placement_resident&) const -> bool = default;
};

/// Demand for one model, measured over the last plan interval.
struct placement_demand {
    std::string model_;
    double tokens_per_second_ = 0;
    double requests_per_second_ = 0;
};

/// What an organisation has declared about its objective.
struct placement_organisation {
    std::string name_;
    /// Worth of one of its requests against those of other organisations.
    double weight_ = 1;
    /// Requests that one load must be expected to gain.
    double move_price_ = 10;
};

/// What a plan remembers of one model's demand.
struct demand_peak {
    std::string model_;
    /// Tokens per second of a recent burst; falls slowly to the demand.
    double tokens_per_second_ = 0;
};

/// When a plan first saw a model on a runner.
struct residence_start {
    std::string runner_;
    std::string model_;
    time_point since_;
};

/// What one plan hands to the next; empty for the first. A planner that took
/// over without it plans from the measured demand alone.
struct placement_history {
    std::vector<demand_peak> peaks_;
    std::vector<residence_start> residences_;
    time_point planned_at_;
};

/// Everything that a plan depends on. The order within the lists is free.
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

/// Names of actions; the same as those of engine orders.
inline constexpr auto placement_action_names = name_table<placement_action, 4>{
    {{{placement_action::load_model, "load_model"},
      {placement_action::unload_model, "unload_model"},
      {placement_action::load_adapter, "load_adapter"},
      {placement_action::unload_adapter, "unload_adapter"}}}};

/// Why a step is taken.
enum class placement_reason {
    /// The model had no replica on a live runner.
    unreachable,
    /// It had fewer replicas or availability zones than wanted.
    redundancy,
    /// The wanted version was not resident.
    rollout,
    /// The expected gain pays the move price.
    demand,
    /// Uses memory that nothing else needs, ahead of a rise or an outage.
    spare,
    /// Makes room for a model that fits nowhere else.
    relocation,
    /// An adapter of a resident model was missing.
    adapter,
    /// The memory is wanted for the step after it.
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

/// One order to an engine. Steps are carried out in the listed order, those of
/// different runners at the same time. Each fits into the runner's memory once
/// those before it on the same runner have ended. A step never unloads a model
/// that has no other ready replica.
struct placement_step {
    placement_action action_ = placement_action::load_model;
    /// What is loaded or unloaded, and where; its state is not meaningful.
    placement_resident resident_;
    placement_reason reason_ = placement_reason::demand;
    /// Requests expected to be gained over `planner_settings::horizon_`,
    /// weighted; zero for repairs, which are not weighed.
    double gain_ = 0;
    /// The move price that the gain was compared with.
    double cost_ = 0;
};

/// Why a candidate was not taken.
enum class placement_rejection_reason {
    gain_below_price,
    no_memory,
    pacing,
};

/// Names of rejection reasons, as `basilctl explain` prints them.
inline constexpr auto placement_rejection_reason_names =
    name_table<placement_rejection_reason, 3>{
        {{{placement_rejection_reason::gain_below_price, "gain_below_price"},
          {placement_rejection_reason::no_memory, "no_memory"},
          {placement_rejection_reason::pacing, "pacing"}}}};

/// A load that was weighed and not taken.
struct placement_rejection {
    std::string model_;
    /// Empty when no runner came into question.
    std::string runner_;
    placement_rejection_reason reason_ = placement_rejection_reason::no_memory;
    double gain_ = 0;
    double cost_ = 0;
};

/// Status of one declared model, for its resource.
struct placement_status {
    std::string model_;
    /// Replicas of any version on live or leaving runners.
    unsigned ready_replicas_ = 0;
    /// Ready replicas of the wanted version on live runners.
    unsigned up_to_date_replicas_ = 0;
    /// Availability zones with a ready replica on a live runner.
    unsigned availability_zones_ = 0;
    unsigned desired_replicas_ = 0;
    /// Survives the loss of any one VM or availability zone.
    bool redundant_ = false;
    /// Why it is not redundant or unreachable now; one sentence, else empty.
    std::string detail_;
};

/// A plan. `wanted_` is what is resident once all steps have ended.
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

/// Settings of the planner. A value of zero switches the idea off.
struct planner_settings {
    /// Replicas of each model, in distinct availability zones.
    unsigned replicas_ = 2;
    /// Time over which a load has to earn its price.
    duration horizon_ = seconds{300};
    /// Time constant with which a recent peak is forgotten. It decides what an
    /// eviction loses, so that the pause between two bursts moves nothing.
    duration peak_time_constant_ = seconds{900};
    /// A spare is loaded on a runner on which nothing changed for this long.
    duration spare_quiet_time_ = seconds{300};
    /// Loads in flight at once; fewer than the weight store's limit, so that a
    /// repair finds room.
    unsigned repairs_in_flight_ = 12;
    unsigned improvements_in_flight_ = 4;
    /// Spare replicas that one plan loads when it has nothing else to do.
    unsigned spares_per_plan_ = 1;
    /// Adapter loads that one plan starts.
    unsigned adapters_per_plan_ = 64;
    /// Lower bound on a price: a load never starts for nothing.
    double minimum_price_ = 0;
};

/// Makes plans. Immutable, so safe for concurrent use.
class planner {
public:
    explicit planner(planner_settings settings) : settings_{settings} {}

    /// Returns the next plan. Takes time in proportion to residents plus a
    /// bounded number of candidates.
    [[nodiscard]] auto plan(const placement_input& input) const
        -> placement_plan;

private:
    planner_settings settings_;
};

/// Returns one line that explains `step` for `basilctl explain`.
[[nodiscard]] auto explain(const placement_step& step) -> std::string;

/// Returns one line that explains `rejection` for `basilctl explain`.
[[nodiscard]] auto explain(const placement_rejection& rejection) -> std::string;

} // namespace basilstream::coordination
