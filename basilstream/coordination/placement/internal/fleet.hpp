/// Working picture of a fleet while one plan is made: indexed, sorted by name
/// and so independent of the order of the inputs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination::internal::placement {

/// One model in one version on one runner, with the adapters beside it.
struct replica_view {
    std::size_t runner_ = 0;
    std::size_t model_ = 0;
    std::string version_;
    std::uint64_t bytes_ = 0;
    /// Adapters declared for it that are not resident yet.
    std::vector<const placement_adapter*> missing_adapters_;
    std::uint64_t missing_adapter_bytes_ = 0;
    /// Of the wanted version.
    bool up_to_date_ = false;
    bool ready_ = false;
    bool unloading_ = false;
    /// Loaded or unloaded by a step of this plan.
    bool planned_ = false;
    bool removed_ = false;
    time_point since_;
    /// Tokens per second that the balanced flow sends here.
    double assigned_load_ = 0;
    /// What the ledger lists for it; the model itself and its adapters.
    std::vector<const placement_resident*> parts_;
};

/// A runner with what is booked on it.
struct runner_view {
    const placement_runner* declared_ = nullptr;
    /// What the ledger counts, less the unloads and plus the loads planned.
    std::uint64_t committed_bytes_ = 0;
    /// The same plus the adapters that are still missing here.
    std::uint64_t reserved_bytes_ = 0;
    double assigned_load_ = 0;
    std::vector<std::size_t> replicas_;

    [[nodiscard]] auto free() const -> std::uint64_t;
    [[nodiscard]] auto utilisation() const -> double;
};

/// A declared model with its demand and the indices of its replicas.
struct model_view {
    const placement_model* declared_ = nullptr;
    double tokens_per_second_ = 0;
    double requests_per_second_ = 0;
    double recent_peak_ = 0;
    double weight_ = 1;
    double move_price_ = 0;
    /// Memory of the model with all its adapters.
    std::uint64_t bytes_ = 0;
    unsigned desired_replicas_ = 0;
    std::vector<std::size_t> replicas_;
};

/// How many replicas a model has, by what they are good for.
struct replica_count {
    /// Any version, any runner, ready now.
    unsigned ready_anywhere_ = 0;
    /// Any version on staying runners, loading or ready.
    unsigned retained_ = 0;
    /// Any version on staying runners, ready now.
    unsigned ready_ = 0;
    /// Wanted version on staying runners, loading or ready.
    unsigned up_to_date_ = 0;
    /// Wanted version on staying runners, ready now.
    unsigned up_to_date_ready_ = 0;
    /// Other versions on staying runners, loading or ready.
    unsigned obsolete_ = 0;
    unsigned zones_ = 0;
    unsigned ready_zones_ = 0;
};

/// Runners, models and replicas of one plan in the making.
class fleet_view {
public:
    fleet_view(const placement_input& input, const planner_settings& settings);

    std::vector<runner_view> runners_;
    std::vector<model_view> models_;
    std::vector<replica_view> replicas_;
    /// Residents whose model is not declared, and adapters without a model.
    std::vector<const placement_resident*> undeclared_;
    /// Model loads in flight, those of this plan included.
    unsigned loading_ = 0;

    /// Counts the replicas of `model`, leaving out `without`.
    [[nodiscard]] auto
    count_replicas(std::size_t model,
                   const replica_view* without = nullptr) const
        -> replica_count;

    /// True when a replica of `model` in the wanted version is on `runner`.
    [[nodiscard]] auto hosts(std::size_t runner, std::size_t model) const
        -> bool;

    /// True when `model` may be placed on `runner` as far as declared.
    [[nodiscard]] auto is_allowed(std::size_t runner, std::size_t model) const
        -> bool;

    /// True when a replica of `model` that will stay is in the availability
    /// zone of `runner`.
    [[nodiscard]] auto covers_zone(std::size_t model, std::size_t runner,
                                   const replica_view* without = nullptr) const
        -> bool;

    /// True when a replica of `model` that will stay is in `runner`'s region.
    [[nodiscard]] auto covers_region(std::size_t model,
                                     std::size_t runner) const -> bool;

    /// Books a replica of `model` on `runner`.
    auto add_planned_replica(std::size_t runner, std::size_t model,
                             time_point now) -> void;

    /// Marks `taken` as unloaded by this plan and frees its memory.
    auto mark_removed(replica_view& removed) -> void;

    /// Availability zones in which `model` can be replicated.
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
    [[nodiscard]] auto is_retained(const replica_view& one) const -> bool;

    // Availability zones of the runners that stay.
    std::vector<std::string> zones_;
};

/// Index that means "none".
inline constexpr auto npos = static_cast<std::size_t>(-1);

/// Returns the recent peaks of this plan, sorted by model.
[[nodiscard]] auto recent_peaks(const placement_input& input,
                                const planner_settings& settings)
    -> std::vector<demand_peak>;

} // namespace basilstream::coordination::internal::placement
