/// Sizes of the deployments that the policy benchmark runs.
///
///     auto deployment = make_deployment(deployment_kind::banevagt, 20);
#pragma once

#include <string>
#include <vector>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::bench {

enum class deployment_kind { angebotswerk, banevagt };

inline constexpr auto deployment_names = name_table<deployment_kind, 2>{
    {{{deployment_kind::angebotswerk, "angebotswerk"},
      {deployment_kind::banevagt, "banevagt"}}}};

/// How fast an engine works. Continuous batching: the time between tokens
/// grows with the number of requests that run at once.
struct engine_speed {
    /// Seconds between tokens with an empty batch.
    double base_step_ = 0.016;
    /// Seconds added by each request that runs.
    double step_per_request_ = 0.0011;
    /// Requests that one in prefill counts for.
    double prefill_weight_ = 3;
    /// Prompt tokens computed in the time of one step.
    double prefill_tokens_per_step_ = 200;
    /// Factor on the time between tokens while weights are loaded.
    double loading_slowdown_ = 1.15;
    int slots_ = 64;
    /// Prompt prefixes that fit into the cache.
    std::size_t cached_prefixes_ = 200;

    /// Returns the seconds between tokens with `weight` requests.
    [[nodiscard]] auto step(double weight) const -> double {
        return base_step_ + step_per_request_ * weight;
    }
};

/// One deployment at rest.
struct deployment {
    deployment_kind kind_ = deployment_kind::angebotswerk;
    std::vector<coordination::placement_runner> runners_;
    std::vector<coordination::placement_model> models_;
    std::vector<coordination::placement_organisation> organisations_;
    /// Share of the demand of each model at rest, in the order of `models_`.
    std::vector<double> popularity_;
    engine_speed speed_;
    /// Limits of the weight store.
    double loads_per_second_ = 2;
    int loads_at_once_ = 25;
    /// Seconds that a gigabyte of weights takes.
    double seconds_per_gigabyte_ = 0.5;
    /// Seconds from caller to runner and back.
    double network_delay_ = 0.006;
    int entry_vms_ = 6;
};

/// Returns a deployment with `runners` accelerators over its three
/// availability zones.
[[nodiscard]] auto make_deployment(deployment_kind kind, int runners)
    -> deployment;

/// Tokens per second that a runner generates within the goal of 78 ms between
/// tokens, with the share of prefill taken off.
[[nodiscard]] auto runner_capacity(const engine_speed& speed) -> double;

} // namespace basilstream::bench
