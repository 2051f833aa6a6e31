/// Who decides what is resident where: the planner under test and baselines.
#pragma once

#include <memory>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::bench {

/// Turns what is known of the fleet into steps, once a plan interval.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    auto operator=(const placement_policy&) -> placement_policy& = delete;
    virtual ~placement_policy() = default;

    /// Returns the steps to take. The history of `input` is not set.
    [[nodiscard]] virtual auto plan(coordination::placement_input input)
        -> std::vector<coordination::placement_step> = 0;
};

enum class placement_kind {
    ours,
    /// As many replicas of each model as fit, whatever the demand.
    static_even,
    /// Replicas in proportion to the demand of the moment, without a price.
    follow_demand,
    /// Ours with one idea switched off.
    without_price,
    without_peak,
    without_demand,
    without_redundancy,
    without_spares,
};

/// Returns a policy; ours with the settings of the daemon.
[[nodiscard]] auto make_placement(placement_kind kind)
    -> std::unique_ptr<placement_policy>;

} // namespace basilstream::bench
