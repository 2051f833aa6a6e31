/// Builds a placement plan: the planned state of the fleet and the steps that
/// lead to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/coordination/placement/internal/fleet.hpp"

namespace basilstream::coordination::internal::placement {

/// Effect of unloading a replica, from the least to the most severe.
enum class eviction_tier {
    /// The replica has another version; the desired version is ready elsewhere,
    /// and the model keeps ready replicas in the desired availability zones.
    obsolete,
    /// The model keeps its desired replicas and availability zones.
    surplus,
    /// The model stays reachable, with fewer ready replicas or availability
    /// zones than desired.
    loses_redundancy,
};

/// Set of replicas to unload from a runner.
struct eviction {
    /// Indices in `fleet_view::replicas_`.
    std::vector<std::size_t> replicas_;
    /// The most severe tier among the replicas.
    eviction_tier tier_ = eviction_tier::obsolete;
    /// Tokens per second lost by the eviction at the recent peak of demand.
    double loss_ = 0;
};

/// Collects the steps of a plan and applies loads and unloads of models to the
/// view of the fleet.
class plan_builder {
public:
    plan_builder(const placement_input& input, const planner_settings& settings)
        : input_{input}, settings_{settings}, fleet_{input, settings} {}

    /// Adds a step that loads `model` on `runner`.
    auto load(std::size_t runner, std::size_t model, placement_reason reason,
              double gain, double price) -> void;

    /// Adds steps that unload `removed` and its adapters, adapters first.
    auto unload(replica_view& removed, placement_reason reason) -> void;

    /// Adds a step that unloads `resident` unless it is unloading already.
    auto unload(const placement_resident& resident, placement_reason reason)
        -> void;

    /// Records a load that was considered and not started. `runner` may be
    /// `npos`.
    auto reject(std::size_t model, std::size_t runner,
                placement_rejection_reason reason, double gain, double price)
        -> void;

    /// Returns the replicas to unload from `runner`, none above `tier`, so that
    /// `bytes` fit; `nullopt` if that is not possible. Replicas with the least
    /// severe tier and then the smallest loss are selected first.
    [[nodiscard]] auto find_eviction(std::size_t runner, std::uint64_t bytes,
                                     eviction_tier tier)
        -> std::optional<eviction>;

    /// Returns the tier in which `replica` may be unloaded; `nullopt` if it
    /// must be kept.
    [[nodiscard]] auto find_eviction_tier(const replica_view& replica) const
        -> std::optional<eviction_tier>;

    const placement_input& input_;
    const planner_settings& settings_;
    fleet_view fleet_;
    std::vector<placement_step> steps_;
    std::vector<placement_rejection> rejections_;
    /// Why each model is not redundant, indexed as `fleet_view::models_`; empty
    /// if nothing was found to repair.
    std::vector<std::string> details_ =
        std::vector<std::string>(fleet_.models_.size());
};

/// Adds the loads that make every model reachable, replicated and of the
/// desired version. Returns false if the limit on loads in flight delayed a
/// repair.
auto repair(plan_builder& builder) -> bool;

/// Unloads replicas of replaced versions, and residents that are not declared.
auto unload_obsolete(plan_builder& builder) -> void;

/// Loads missing adapters of ready replicas and unloads undeclared ones.
auto reconcile_adapters(plan_builder& builder) -> void;

/// Adds the loads whose expected gain exceeds the move price.
auto improve(plan_builder& builder) -> void;

/// Adds replicas in unused memory while no other model load is in flight. They
/// exceed the desired replicas and can be evicted at any time.
auto use_spare_memory(plan_builder& builder) -> void;

} // namespace basilstream::coordination::internal::placement
