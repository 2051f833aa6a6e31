#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "basilstream/coordination/placement/internal/draft.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

// Maximum number of relocations that one plan starts.
constexpr auto relocations_per_plan = 2U;
// Runners are compared by utilisation in intervals of this width, so that free
// memory decides between runners of similar utilisation.
constexpr auto utilisation_bucket_width = 0.1;

// In descending order of urgency.
enum class urgency { unreachable, outdated, under_replicated };

struct replica_deficit {
    std::size_t model_ = 0;
    urgency urgency_ = urgency::under_replicated;
    placement_reason reason_ = placement_reason::redundancy;
};

auto desired_replicas(const model_view& model, const replica_count& count)
    -> unsigned {
    // A rollout replaces each replica of another version by a new one.
    return std::max(model.desired_replicas_, count.obsolete_);
}

auto desired_zones(const plan_builder& builder, std::size_t model) -> unsigned {
    return std::min(builder.settings_.replicas_,
                    builder.fleet_.reachable_zones(model));
}

auto find_deficit(const plan_builder& builder, std::size_t index)
    -> std::optional<replica_deficit> {
    const auto& model = builder.fleet_.models_[index];
    const auto count = builder.fleet_.count_replicas(index);
    if (count.retained_ == 0) {
        return replica_deficit{index, urgency::unreachable,
                               placement_reason::unreachable};
    }
    if (count.up_to_date_ == 0) {
        return replica_deficit{index, urgency::outdated,
                               placement_reason::rollout};
    }
    if (count.up_to_date_ < desired_replicas(model, count) ||
        count.zones_ < desired_zones(builder, index)) {
        return replica_deficit{index, urgency::under_replicated,
                               count.obsolete_ > 0
                                   ? placement_reason::rollout
                                   : placement_reason::redundancy};
    }
    return std::nullopt;
}

auto is_more_urgent(const replica_deficit& a, const replica_deficit& b,
                    const std::vector<model_view>& models) -> bool {
    if (a.urgency_ != b.urgency_) {
        return a.urgency_ < b.urgency_;
    }
    const auto& left = models[a.model_];
    const auto& right = models[b.model_];
    if (left.declared_->priority_ != right.declared_->priority_) {
        return left.declared_->priority_ > right.declared_->priority_;
    }
    // Large models are placed first because fewer runners can hold them.
    return left.bytes_ > right.bytes_;
}

auto find_deficits(const plan_builder& builder)
    -> std::vector<replica_deficit> {
    auto result = std::vector<replica_deficit>{};
    for (auto index = std::size_t{0}; index < builder.fleet_.models_.size();
         ++index) {
        if (const auto deficit = find_deficit(builder, index)) {
            result.push_back(*deficit);
        }
    }
    const auto& models = builder.fleet_.models_;
    std::stable_sort(result.begin(), result.end(),
                     [&](const replica_deficit& a, const replica_deficit& b) {
                         return is_more_urgent(a, b, models);
                     });
    return result;
}

// A runner for a repair, and the eviction needed before the load.
struct repair_option {
    std::size_t runner_ = npos;
    eviction eviction_;
};

// Orders options; a smaller key is better. Prefers, in this order: no eviction,
// a less severe tier, a region without a replica, a smaller loss, a lower
// utilisation, more free memory, and the lower runner index.
using repair_option_key =
    std::tuple<bool, eviction_tier, bool, double, double, double, std::size_t>;

class repairer {
public:
    repairer(plan_builder& builder, const replica_deficit& deficit)
        : builder_{builder}, deficit_{deficit} {}

    auto run() -> bool {
        const auto count = builder_.fleet_.count_replicas(deficit_.model_);
        requires_new_zone_ =
            count.zones_ < desired_zones(builder_, deficit_.model_);
        const auto& model = builder_.fleet_.models_[deficit_.model_];
        const auto lacks_replica =
            count.up_to_date_ < desired_replicas(model, count);
        if (try_place()) {
            return true;
        }
        // Without a suitable runner in a further availability zone, a replica
        // in a zone that has one still protects against the loss of a runner.
        if (requires_new_zone_ && lacks_replica) {
            requires_new_zone_ = false;
            return try_place();
        }
        return false;
    }

private:
    auto try_place() -> bool {
        const auto option = find_best_option();
        if (option.runner_ == npos) {
            return false;
        }
        for (const auto index : option.eviction_.replicas_) {
            builder_.unload(builder_.fleet_.replicas_[index],
                            placement_reason::eviction);
        }
        builder_.load(option.runner_, deficit_.model_, deficit_.reason_, 0, 0);
        auto& model = builder_.fleet_.models_[deficit_.model_];
        builder_.fleet_.runners_[option.runner_].assigned_load_ +=
            model.tokens_per_second_ / model.desired_replicas_;
        return true;
    }

    auto find_best_option() -> repair_option {
        auto best = repair_option{};
        for (auto index = std::size_t{0};
             index < builder_.fleet_.runners_.size(); ++index) {
            if (!is_suitable(index)) {
                continue;
            }
            consider(index, best);
        }
        return best;
    }

    auto is_suitable(std::size_t runner) const -> bool {
        const auto model = deficit_.model_;
        return builder_.fleet_.is_allowed(runner, model) &&
               !builder_.fleet_.hosts(runner, model) &&
               !(requires_new_zone_ &&
                 builder_.fleet_.covers_zone(model, runner));
    }

    auto consider(std::size_t runner, repair_option& best) -> void {
        const auto bytes = builder_.fleet_.models_[deficit_.model_].bytes_;
        auto candidate = repair_option{runner, {}};
        if (builder_.fleet_.runners_[runner].free_bytes() < bytes) {
            if (best.runner_ != npos && best.eviction_.replicas_.empty()) {
                return;
            }
            const auto tier = deficit_.urgency_ == urgency::under_replicated
                                  ? eviction_tier::surplus
                                  : eviction_tier::loses_redundancy;
            auto found = builder_.find_eviction(runner, bytes, tier);
            if (!found) {
                return;
            }
            candidate.eviction_ = std::move(*found);
        }
        if (best.runner_ == npos || make_key(candidate) < make_key(best)) {
            best = std::move(candidate);
        }
    }

    auto make_key(const repair_option& option) const -> repair_option_key {
        const auto& runner = builder_.fleet_.runners_[option.runner_];
        const auto free = static_cast<double>(runner.free_bytes()) /
                          static_cast<double>(runner.declared_->memory_bytes_);
        return std::tuple{
            !option.eviction_.replicas_.empty(),
            option.eviction_.tier_,
            builder_.fleet_.covers_region(deficit_.model_, option.runner_),
            option.eviction_.loss_,
            std::floor(runner.utilisation() / utilisation_bucket_width),
            -free,
            option.runner_};
    }

    plan_builder& builder_;
    const replica_deficit& deficit_;
    bool requires_new_zone_ = false;
};

// Finds a replica whose move to another runner frees memory for a model that
// fits on no runner. This plan only loads the new replica; once that is ready,
// the old one is surplus and a later plan evicts it.
class relocator {
public:
    relocator(plan_builder& builder, std::size_t model)
        : builder_{builder}, model_{model} {}

    auto run() -> bool {
        const auto count = builder_.fleet_.count_replicas(model_);
        const auto requires_new_zone =
            count.zones_ < desired_zones(builder_, model_);
        for (auto runner = std::size_t{0};
             runner < builder_.fleet_.runners_.size(); ++runner) {
            if (!builder_.fleet_.is_allowed(runner, model_) ||
                builder_.fleet_.hosts(runner, model_) ||
                (requires_new_zone &&
                 builder_.fleet_.covers_zone(model_, runner))) {
                continue;
            }
            if (relocate_from(runner)) {
                return true;
            }
        }
        return false;
    }

private:
    auto relocate_from(std::size_t runner) -> bool {
        const auto& view = builder_.fleet_.runners_[runner];
        const auto bytes = builder_.fleet_.models_[model_].bytes_;
        for (const auto index : view.replicas_) {
            const auto& replica = builder_.fleet_.replicas_[index];
            const auto freed = view.free_bytes() + replica.bytes_ +
                               replica.missing_adapter_bytes_;
            if (!replica.ready_ || replica.unloading_ || replica.planned_ ||
                !replica.up_to_date_ || freed < bytes) {
                continue;
            }
            const auto target = find_relocation_target(replica);
            if (target != npos) {
                builder_.load(target, replica.model_,
                              placement_reason::relocation, 0, 0);
                return true;
            }
        }
        return false;
    }

    auto find_relocation_target(const replica_view& replica) const
        -> std::size_t {
        const auto bytes = builder_.fleet_.models_[replica.model_].bytes_;
        const auto others =
            builder_.fleet_.count_replicas(replica.model_, &replica);
        const auto zones = desired_zones(builder_, replica.model_);
        for (auto runner = std::size_t{0};
             runner < builder_.fleet_.runners_.size(); ++runner) {
            const auto& view = builder_.fleet_.runners_[runner];
            if (view.free_bytes() < bytes || runner == replica.runner_ ||
                !builder_.fleet_.is_allowed(runner, replica.model_) ||
                builder_.fleet_.hosts(runner, replica.model_)) {
                continue;
            }
            if (others.zones_ >= zones ||
                !builder_.fleet_.covers_zone(replica.model_, runner,
                                             &replica)) {
                return runner;
            }
        }
        return npos;
    }

    plan_builder& builder_;
    std::size_t model_;
};

// Returns true if a model with more than its desired replicas is loading one. A
// relocation may be waiting for that load, so no further one is started.
auto is_surplus_loading(const plan_builder& builder) -> bool {
    const auto& fleet = builder.fleet_;
    return std::any_of(
        fleet.replicas_.begin(), fleet.replicas_.end(),
        [&](const replica_view& replica) {
            return !replica.ready_ && !replica.unloading_ &&
                   !replica.planned_ &&
                   fleet.count_replicas(replica.model_).up_to_date_ >
                       fleet.models_[replica.model_].desired_replicas_;
        });
}

} // namespace

auto repair(plan_builder& builder) -> bool {
    auto all_repairs_started = true;
    auto started_relocations =
        is_surplus_loading(builder) ? relocations_per_plan : 0U;
    for (const auto& deficit : find_deficits(builder)) {
        if (builder.fleet_.loads_in_flight_ >=
            builder.settings_.repairs_in_flight_) {
            builder.reject(deficit.model_, npos,
                           placement_rejection_reason::pacing, 0, 0);
            builder.details_[deficit.model_] =
                "waiting for other loads to complete";
            all_repairs_started = false;
            continue;
        }
        if (repairer{builder, deficit}.run()) {
            builder.details_[deficit.model_] = "a replica is being loaded";
            continue;
        }
        if (started_relocations < relocations_per_plan &&
            relocator{builder, deficit.model_}.run()) {
            ++started_relocations;
            builder.details_[deficit.model_] =
                "another replica is being moved to free memory";
            continue;
        }
        builder.reject(deficit.model_, npos,
                       placement_rejection_reason::no_memory, 0, 0);
        builder.details_[deficit.model_] =
            "no eligible runner has enough free or evictable memory";
    }
    return all_repairs_started;
}

auto unload_obsolete(plan_builder& builder) -> void {
    for (auto& replica : builder.fleet_.replicas_) {
        const auto leaving =
            builder.fleet_.runners_[replica.runner_].declared_->leaving_;
        if (replica.up_to_date_ || leaving ||
            !builder.find_eviction_tier(replica)) {
            continue;
        }
        const auto count = builder.fleet_.count_replicas(replica.model_);
        const auto& model = builder.fleet_.models_[replica.model_];
        if (count.up_to_date_ready_ >= desired_replicas(model, count) &&
            count.zones_ >= desired_zones(builder, replica.model_)) {
            builder.unload(replica, placement_reason::rollout);
        }
    }
    // Adapters are sorted after their models; the reverse order unloads them
    // first.
    const auto& undeclared = builder.fleet_.undeclared_;
    for (auto at = undeclared.rbegin(); at != undeclared.rend(); ++at) {
        if ((*at)->state_ == resident_state::ready) {
            builder.unload(**at, placement_reason::undeclared);
        }
    }
}

} // namespace basilstream::coordination::internal::placement
