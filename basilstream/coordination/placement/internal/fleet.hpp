/// Working picture of a fleet while one plan is made: indexed, sorted by name
/// and so independent of the order of the inputs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination::internal::placement {

/// One model in one version on one runner, with the adapters beside it.
struct replica {
    std::size_t runner_ = 0;
    std::size_t model_ = 0;
    std::string version_;
    std::uint64_t bytes_ = 0;
    /// Adapters declared for it that are not resident yet.
    std::vector<const placement_adapter*> missing_;
    std::uint64_t missing_bytes_ = 0;
    /// Of the wanted version.
    bool current_ = false;
    bool ready_ = false;
    bool unloading_ = false;
    /// Loaded or unloaded by a step of this plan.
    bool planned_ = false;
    bool removed_ = false;
    time_point since_;
    /// Tokens per second that the balanced flow sends here.
    double flow_ = 0;
    /// What the ledger lists for it; the model itself and its adapters.
    std::vector<const placement_resident*> parts_;
};

/// A runner with what is booked on it.
struct runner_view {
    const placement_runner* declared_ = nullptr;
    /// What the ledger counts, less the unloads and plus the loads planned.
    std::uint64_t committed_ = 0;
    /// The same plus the adapters that are still missing here.
    std::uint64_t used_ = 0;
    double flow_ = 0;
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
    unsigned wanted_ = 0;
    std::vector<std::size_t> replicas_;
};

/// How many replicas a model has, by what they are good for.
struct replica_count {
    /// Any version, any runner, ready now.
    unsigned ready_anywhere_ = 0;
    /// Any version on staying runners, loading or ready.
    unsigned staying_ = 0;
    /// Any version on staying runners, ready now.
    unsigned ready_ = 0;
    /// Wanted version on staying runners, loading or ready.
    unsigned current_ = 0;
    /// Wanted version on staying runners, ready now.
    unsigned current_ready_ = 0;
    /// Other versions on staying runners, loading or ready.
    unsigned obsolete_ = 0;
    unsigned zones_ = 0;
    unsigned ready_zones_ = 0;
};

/// Runners, models and replicas of one plan in the making.
class fleet {
public:
    fleet(const placement_input& input, const planner_settings& settings);

    std::vector<runner_view> runners_;
    std::vector<model_view> models_;
    std::vector<replica> replicas_;
    /// Residents whose model is not declared, and adapters without a model.
    std::vector<const placement_resident*> undeclared_;
    /// Model loads in flight, those of this plan included.
    unsigned loading_ = 0;

    /// Counts the replicas of `model`, leaving out `without`.
    [[nodiscard]] auto count(std::size_t model,
                             const replica* without = nullptr) const
        -> replica_count;

    /// True when a replica of `model` in the wanted version is on `runner`.
    [[nodiscard]] auto hosts(std::size_t runner, std::size_t model) const
        -> bool;

    /// True when `model` may be placed on `runner` as far as declared.
    [[nodiscard]] auto allowed(std::size_t runner, std::size_t model) const
        -> bool;

    /// True when a replica of `model` that will stay is in the availability
    /// zone of `runner`.
    [[nodiscard]] auto covers_zone(std::size_t model, std::size_t runner,
                                   const replica* without = nullptr) const
        -> bool;

    /// True when a replica of `model` that will stay is in `runner`'s region.
    [[nodiscard]] auto covers_region(std::size_t model,
                                     std::size_t runner) const -> bool;

    /// Books a replica of `model` on `runner`.
    auto book(std::size_t runner, std::size_t model, time_point now) -> void;

    /// Marks `taken` as unloaded by this plan and frees its memory.
    auto remove(replica& taken) -> void;

    /// Availability zones in which `model` can be replicated.
    [[nodiscard]] auto reachable_zones(std::size_t model) const -> unsigned;

private:
    auto add_runners(const placement_input& input) -> void;
    auto add_models(const placement_input& input,
                    const planner_settings& settings) -> void;
    auto add_residents(const placement_input& input) -> void;
    auto add_resident(const placement_resident& resident, time_point now)
        -> void;
    auto owner_of(std::size_t runner, std::size_t model) -> replica*;
    auto find_missing_adapters() -> void;
    auto restore_history(const placement_input& input) -> void;
    [[nodiscard]] auto runner_index(const std::string& name) const
        -> std::size_t;
    [[nodiscard]] auto model_index(const std::string& name) const
        -> std::size_t;
    [[nodiscard]] auto stays(const replica& one) const -> bool;

    // Availability zones of the runners that stay.
    std::vector<std::string> zones_;
};

/// Index that means "none".
inline constexpr auto none = static_cast<std::size_t>(-1);

/// Returns the recent peaks of this plan, sorted by model.
[[nodiscard]] auto recent_peaks(const placement_input& input,
                                const planner_settings& settings)
    -> std::vector<demand_peak>;

} // namespace basilstream::coordination::internal::placement
