/// Estimates the load of runners: distributes each model's demand over its
/// replicas so that their utilisation is as even as possible, as the router
/// does.
#pragma once

#include <cstddef>
#include <vector>

#include "basilstream/coordination/placement/internal/fleet.hpp"

namespace basilstream::coordination::internal::placement {

/// Returns the expected fraction of a runner's capacity whose requests miss
/// their deadline at `utilisation`. Convex, with a continuous derivative: zero
/// at low utilisation; above capacity, all further load is lost.
[[nodiscard]] auto lost_share(double utilisation) -> double;

/// Returns the derivative of `lost_share`, between 0 and 1.
[[nodiscard]] auto marginal_lost_share(double utilisation) -> double;

/// Load and capacity of a runner that serves a model, in tokens per second.
struct runner_load {
    /// Load of other models.
    double other_load_ = 0;
    double capacity_ = 0;
    /// Part of the model's demand that `water_fill` assigned to the runner.
    double assigned_load_ = 0;
};

/// Distributes `demand` over `loads` by water-filling, which minimises the
/// highest utilisation. Runners without capacity are assigned nothing.
auto water_fill(std::vector<runner_load>& loads, double demand) -> void;

/// Sets the assigned load of every replica and runner. Replicas that are still
/// loading count as serving, those on leaving runners do not.
auto balance_load(fleet_view& fleet) -> void;

/// Returns the change in tokens per second lost on the runners of `model` at
/// `demand` if a replica is added on `added` and the one on `removed` is
/// removed. Either may be `npos`.
[[nodiscard]] auto loss_change(const fleet_view& fleet, std::size_t model,
                               double demand, std::size_t added,
                               std::size_t removed) -> double;

} // namespace basilstream::coordination::internal::placement
