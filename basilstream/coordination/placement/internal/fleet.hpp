/// Indexed view of the fleet while a plan is built. Runners and models are
/// sorted by name, so that the plan does not depend on the order of the inputs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination::internal::placement {

/// A replica: one version of a model on a runner, with its adapters.
struct replica_view {
    /// Index in `fleet_view::runners_`.
    std::size_t runner_ = 0;
    /// Index in `fleet_view::models_`.
    std::size_t model_ = 0;
    std::string version_;
    /// Memory of the model and its resident adapters; for a replica that
    /// this plan loads, of the model and all declared adapters.
    std::uint64_t bytes_ = 0;
    /// Declared adapters that are not resident yet.
    std::vector<const placement_adapter*> missing_adapters_;
    std::uint64_t missing_adapter_bytes_ = 0;
    /// The replica has the desired version.
    bool up_to_date_ = false;
    bool ready_ = false;
    bool unloading_ = false;
    /// Loaded or unloaded by a step of this plan.
    bool planned_ = false;
    /// Unloaded by a step of this plan.
    bool removed_ = false;
    /// Time at which a plan first found the model on the runner.
    time_point since_;
    /// Tokens per second that `balance_load` assigns to the replica.
    double assigned_load_ = 0;
    /// Residents in the ledger that belong to the replica: the model first,
    /// then its adapters. Empty for a replica that this plan loads.
    std::vector<const placement_resident*> residents_;
};

/// A runner with its replicas, memory and load as planned.
struct runner_view {
    const placement_runner* declared_ = nullptr;
    /// Bytes in the ledger, minus planned unloads of replicas, plus planned
    /// loads.
    std::uint64_t committed_bytes_ = 0;
    /// `committed_bytes_` plus the adapters that are missing on this runner.
    std::uint64_t reserved_bytes_ = 0;
    /// Expected load in tokens per second.
    double assigned_load_ = 0;
    std::vector<std::size_t> replicas_;

    /// Returns the bytes that are not reserved.
    [[nodiscard]] auto free_bytes() const -> std::uint64_t;
    /// Returns the expected load divided by the capacity; zero without
    /// capacity.
    [[nodiscard]] auto utilisation() const -> double;
};

/// A declared model with its demand and the indices of its replicas.
struct model_view {
    const placement_model* declared_ = nullptr;
    /// Measured demand.
    double tokens_per_second_ = 0;
    double requests_per_second_ = 0;
    /// Decaying peak of the demand in tokens per second.
    double recent_peak_ = 0;
    double weight_ = 1;
    double move_price_ = 0;
    /// Memory of the model with all its adapters.
    std::uint64_t bytes_ = 0;
    unsigned desired_replicas_ = 0;
    std::vector<std::size_t> replicas_;
};

/// Numbers of replicas of a model. A retained replica is neither unloading nor
/// removed, and its runner is not leaving.
struct replica_count {
    /// Any version, ready, including those on leaving runners.
    unsigned ready_anywhere_ = 0;
    /// Any version, retained, loading or ready.
    unsigned retained_ = 0;
    /// Any version, retained, ready.
    unsigned ready_ = 0;
    /// Desired version, retained, loading or ready.
    unsigned up_to_date_ = 0;
    /// Desired version, retained, ready.
    unsigned up_to_date_ready_ = 0;
    /// Other versions, retained, loading or ready.
    unsigned obsolete_ = 0;
    /// Availability zones with a retained replica of the desired version.
    unsigned zones_ = 0;
    /// Availability zones with a retained, ready replica of any version.
    unsigned ready_zones_ = 0;
};

/// Runners, models and replicas, updated with the steps of the plan.
class fleet_view {
public:
    fleet_view(const placement_input& input, const planner_settings& settings);

    std::vector<runner_view> runners_;
    std::vector<model_view> models_;
    std::vector<replica_view> replicas_;
    /// Residents whose model is not declared, and adapters without a replica.
    std::vector<const placement_resident*> undeclared_;
    /// Model loads in flight, including those of this plan.
    unsigned loads_in_flight_ = 0;

    /// Counts the replicas of `model`, excluding `without` if not null.
    [[nodiscard]] auto
    count_replicas(std::size_t model,
                   const replica_view* excluded = nullptr) const
        -> replica_count;

    /// Returns true if `runner` has a replica of `model` in the desired
    /// version, in any state.
    [[nodiscard]] auto hosts(std::size_t runner, std::size_t model) const
        -> bool;

    /// Returns true if `runner` is not leaving and is in an availability zone
    /// that the declaration of `model` permits.
    [[nodiscard]] auto is_allowed(std::size_t runner, std::size_t model) const
        -> bool;

    /// Returns true if a retained replica of `model` in the desired version,
    /// other than `without`, is in the availability zone of `runner`.
    [[nodiscard]] auto covers_zone(std::size_t model, std::size_t runner,
                                   const replica_view* excluded = nullptr) const
        -> bool;

    /// Returns true if a retained replica of `model` in the desired version is
    /// in the region of `runner`.
    [[nodiscard]] auto covers_region(std::size_t model,
                                     std::size_t runner) const -> bool;

    /// Adds a replica of `model` with all its adapters on `runner` and reserves
    /// its memory.
    auto add_planned_replica(std::size_t runner, std::size_t model,
                             time_point now) -> void;

    /// Marks `removed` as unloaded by this plan and frees its memory.
    auto mark_removed(replica_view& removed) -> void;

    /// Returns the number of availability zones in which `model` may be placed
    /// and which have a runner that is not leaving.
    [[nodiscard]] auto reachable_zones(std::size_t model) const -> unsigned;

private:
    auto add_runners(const placement_input& input) -> void;
    auto add_models(const placement_input& input,
                    const planner_settings& settings) -> void;
    auto add_residents(const placement_input& input) -> void;
    auto add_resident(const placement_resident& resident, time_point now)
        -> void;
    auto find_adapter_owner(std::size_t runner, std::size_t model)
        -> replica_view*;
    auto record_missing_adapters() -> void;
    auto restore_history(const placement_input& input) -> void;
    [[nodiscard]] auto runner_index(const std::string& name) const
        -> std::size_t;
    [[nodiscard]] auto model_index(const std::string& name) const
        -> std::size_t;
    [[nodiscard]] auto is_retained(const replica_view& replica) const -> bool;

    // Availability zones of the runners that are not leaving, sorted.
    std::vector<std::string> zones_;
};

/// Index that denotes no element.
inline constexpr auto npos = static_cast<std::size_t>(-1);

/// Returns the peaks of `input.history_` decayed to `input.now_` and raised to
/// the measured demand, for all declared models, sorted by model.
[[nodiscard]] auto recent_peaks(const placement_input& input,
                                const planner_settings& settings)
    -> std::vector<demand_peak>;

} // namespace basilstream::coordination::internal::placement
