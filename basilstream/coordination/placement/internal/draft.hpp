/// A plan in the making: the fleet as it will be and the steps that lead there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/coordination/placement/internal/fleet.hpp"

namespace basilstream::coordination::internal::placement {

/// What unloading a replica takes away, from least to most.
enum class eviction_tier {
    /// Another version serves in its place.
    obsolete,
    /// The model keeps its wanted replicas and availability zones.
    surplus,
    /// The model stays reachable.
    loses_redundancy,
};

/// Replicas to unload from one runner.
struct eviction {
    std::vector<std::size_t> replicas_;
    eviction_tier tier_ = eviction_tier::obsolete;
    /// Tokens per second lost without them.
    double loss_ = 0;
};

/// Collects the steps of a plan and books them in the fleet.
class plan_builder {
public:
    plan_builder(const placement_input& input, const planner_settings& settings)
        : input_{input}, settings_{settings}, fleet_{input, settings} {}

    /// Adds the load of `model` on `runner`.
    auto load(std::size_t runner, std::size_t model, placement_reason reason,
              double gain, double cost) -> void;

    /// Adds the unloads of `taken`, adapters first.
    auto unload(replica_view& removed, placement_reason reason) -> void;

    /// Adds the unload of one resident, or nothing when that is under way.
    auto unload(const placement_resident& resident, placement_reason reason)
        -> void;

    /// Adds a load that was weighed and not taken.
    auto reject(std::size_t model, std::size_t runner,
                placement_rejection_reason reason, double gain, double cost)
        -> void;

    /// Returns what may be unloaded from `runner` up to `tier` so that `bytes`
    /// fit; nothing when they don't.
    [[nodiscard]] auto find_eviction(std::size_t runner, std::uint64_t bytes,
                                     eviction_tier tier)
        -> std::optional<eviction>;

    /// Returns in which tier `one` may be unloaded, or nothing.
    [[nodiscard]] auto find_eviction_tier(const replica_view& one) const
        -> std::optional<eviction_tier>;

    const placement_input& input_;
    const planner_settings& settings_;
    fleet_view fleet_;
    std::vector<placement_step> steps_;
    std::vector<placement_rejection> rejections_;
    /// Why a model is not redundant, in the order of models.
    std::vector<std::string> details_ =
        std::vector<std::string>(fleet_.models_.size());
};

/// Starts the loads that make every model reachable, replicated and of the
/// wanted version. Returns false when pacing held a repair back.
auto repair(plan_builder& builder) -> bool;

/// Unloads versions that have been replaced, and what is not declared.
auto unload_obsolete(plan_builder& builder) -> void;

/// Loads missing adapters beside their models, unloads undeclared ones.
auto reconcile_adapters(plan_builder& builder) -> void;

/// Starts the loads whose expected gain pays the move price.
auto improve(plan_builder& builder) -> void;

/// Loads replicas into memory that nothing needs while nothing else is loading.
/// They can be evicted at any time.
auto use_spare_memory(plan_builder& builder) -> void;

} // namespace basilstream::coordination::internal::placement
