/// Expected load of runners: spreads each model's demand over its replicas so
/// that their utilisation is as even as possible, as the router does.
#pragma once

#include <cstddef>
#include <vector>

#include "basilstream/coordination/placement/internal/fleet.hpp"

namespace basilstream::coordination::internal::placement {

/// Expected share of a runner's capacity whose requests miss their deadline at
/// `utilisation`. Convex and smooth: zero while there is headroom, and all
/// that exceeds the capacity beyond it.
[[nodiscard]] auto lost_share(double utilisation) -> double;

/// Derivative of `lost_share`.
[[nodiscard]] auto marginal_lost_share(double utilisation) -> double;

/// Other load and capacity of one runner to which demand may go.
struct runner_load {
    double other_load_ = 0;
    double capacity_ = 0;
    double assigned_load_ = 0;
};

/// Spreads `demand` over `channels` so that the highest utilisation is as low
/// as possible. Channels without capacity get nothing.
auto water_fill(std::vector<runner_load>& loads, double demand) -> void;

/// Sets the flow of every replica and runner. Replicas that load now count,
/// those on leaving runners do not.
auto balance_load(fleet_view& fleet) -> void;

/// Change of the tokens per second lost on the runners of `model` if it had
/// `demand` and a replica on `added` came and the one on `removed` went. Either
/// may be `none`.
[[nodiscard]] auto loss_change(const fleet_view& fleet, std::size_t model,
                               double demand, std::size_t added,
                               std::size_t removed) -> double;

} // namespace basilstream::coordination::internal::placement
