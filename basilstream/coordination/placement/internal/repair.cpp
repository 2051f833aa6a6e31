#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "basilstream/coordination/placement/internal/draft.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

// Relocations that one plan starts.
constexpr auto relocations_per_plan = 2U;
// Runners whose expected utilisation differs by less count as equal.
constexpr auto utilisation_step = 0.1;

// Most urgent first.
enum class urgency { unreachable, outdated, thin };

struct deficit {
    std::size_t model_ = 0;
    urgency urgency_ = urgency::thin;
    placement_reason reason_ = placement_reason::redundancy;
};

auto wanted_replicas(const model_view& model, const replica_count& count)
    -> unsigned {
    // A rollout replaces replicas one for one.
    return std::max(model.wanted_, count.obsolete_);
}

auto wanted_zones(const draft& plan, std::size_t model) -> unsigned {
    return std::min(plan.settings_.replicas_,
                    plan.fleet_.reachable_zones(model));
}

auto find_deficit(const draft& plan, std::size_t index)
    -> std::optional<deficit> {
    const auto& model = plan.fleet_.models_[index];
    const auto count = plan.fleet_.count(index);
    if (count.staying_ == 0) {
        return deficit{index, urgency::unreachable,
                       placement_reason::unreachable};
    }
    if (count.current_ == 0) {
        return deficit{index, urgency::outdated, placement_reason::rollout};
    }
    if (count.current_ < wanted_replicas(model, count) ||
        count.zones_ < wanted_zones(plan, index)) {
        return deficit{index, urgency::thin,
                       count.obsolete_ > 0 ? placement_reason::rollout
                                           : placement_reason::redundancy};
    }
    return std::nullopt;
}

auto before(const deficit& a, const deficit& b,
            const std::vector<model_view>& models) -> bool {
    if (a.urgency_ != b.urgency_) {
        return a.urgency_ < b.urgency_;
    }
    const auto& left = models[a.model_];
    const auto& right = models[b.model_];
    if (left.declared_->priority_ != right.declared_->priority_) {
        return left.declared_->priority_ > right.declared_->priority_;
    }
    // Large models find room with more difficulty.
    return left.bytes_ > right.bytes_;
}

auto find_deficits(const draft& plan) -> std::vector<deficit> {
    auto result = std::vector<deficit>{};
    for (auto index = std::size_t{0}; index < plan.fleet_.models_.size();
         ++index) {
        if (const auto one = find_deficit(plan, index)) {
            result.push_back(*one);
        }
    }
    const auto& models = plan.fleet_.models_;
    std::stable_sort(result.begin(), result.end(),
                     [&](const deficit& a, const deficit& b) {
                         return before(a, b, models);
                     });
    return result;
}

// The place that a repair takes, and what has to go first.
struct choice {
    std::size_t runner_ = none;
    eviction eviction_;
};

// Less is better: no eviction, a low tier, a region without a replica, little
// lost, an idle runner with much free memory.
using choice_key =
    std::tuple<bool, eviction_tier, bool, double, double, double, std::size_t>;

class repairer {
public:
    repairer(draft& plan, const deficit& wanted)
        : plan_{plan}, wanted_{wanted} {}

    auto run() -> bool {
        const auto count = plan_.fleet_.count(wanted_.model_);
        new_zone_ = count.zones_ < wanted_zones(plan_, wanted_.model_);
        const auto& model = plan_.fleet_.models_[wanted_.model_];
        const auto lacks_replica =
            count.current_ < wanted_replicas(model, count);
        if (try_place()) {
            return true;
        }
        if (new_zone_ && lacks_replica) {
            new_zone_ = false;
            return try_place();
        }
        return false;
    }

private:
    auto try_place() -> bool {
        const auto place = best_place();
        if (place.runner_ == none) {
            return false;
        }
        for (const auto index : place.eviction_.replicas_) {
            plan_.unload(plan_.fleet_.replicas_[index],
                         placement_reason::eviction);
        }
        plan_.load(place.runner_, wanted_.model_, wanted_.reason_, 0, 0);
        auto& model = plan_.fleet_.models_[wanted_.model_];
        plan_.fleet_.runners_[place.runner_].flow_ +=
            model.tokens_per_second_ / model.wanted_;
        return true;
    }

    auto best_place() -> choice {
        auto best = choice{};
        for (auto index = std::size_t{0}; index < plan_.fleet_.runners_.size();
             ++index) {
            if (!suitable(index)) {
                continue;
            }
            consider(index, best);
        }
        return best;
    }

    auto suitable(std::size_t runner) const -> bool {
        const auto model = wanted_.model_;
        return plan_.fleet_.allowed(runner, model) &&
               !plan_.fleet_.hosts(runner, model) &&
               !(new_zone_ && plan_.fleet_.covers_zone(model, runner));
    }

    auto consider(std::size_t runner, choice& best) -> void {
        const auto bytes = plan_.fleet_.models_[wanted_.model_].bytes_;
        auto candidate = choice{runner, {}};
        if (plan_.fleet_.runners_[runner].free() < bytes) {
            if (best.runner_ != none && best.eviction_.replicas_.empty()) {
                return;
            }
            const auto tier = wanted_.urgency_ == urgency::thin
                                  ? eviction_tier::surplus
                                  : eviction_tier::redundant;
            auto found = plan_.find_eviction(runner, bytes, tier);
            if (!found) {
                return;
            }
            candidate.eviction_ = std::move(*found);
        }
        if (best.runner_ == none || key(candidate) < key(best)) {
            best = std::move(candidate);
        }
    }

    auto key(const choice& one) const -> choice_key {
        const auto& runner = plan_.fleet_.runners_[one.runner_];
        const auto free = static_cast<double>(runner.free()) /
                          static_cast<double>(runner.declared_->memory_bytes_);
        return std::tuple{
            !one.eviction_.replicas_.empty(),
            one.eviction_.tier_,
            plan_.fleet_.covers_region(wanted_.model_, one.runner_),
            one.eviction_.loss_,
            std::floor(runner.utilisation() / utilisation_step),
            -free,
            one.runner_};
    }

    draft& plan_;
    const deficit& wanted_;
    bool new_zone_ = false;
};

// Finds a replica whose move to another runner makes room for a model that
// fits nowhere. The move is a load now; the old replica is a surplus once the
// new one is ready, and the next plan evicts it.
class relocator {
public:
    relocator(draft& plan, std::size_t model) : plan_{plan}, model_{model} {}

    auto run() -> bool {
        const auto count = plan_.fleet_.count(model_);
        const auto new_zone = count.zones_ < wanted_zones(plan_, model_);
        for (auto runner = std::size_t{0};
             runner < plan_.fleet_.runners_.size(); ++runner) {
            if (!plan_.fleet_.allowed(runner, model_) ||
                plan_.fleet_.hosts(runner, model_) ||
                (new_zone && plan_.fleet_.covers_zone(model_, runner))) {
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
        const auto& view = plan_.fleet_.runners_[runner];
        const auto bytes = plan_.fleet_.models_[model_].bytes_;
        for (const auto index : view.replicas_) {
            const auto& one = plan_.fleet_.replicas_[index];
            const auto freed = view.free() + one.bytes_ + one.missing_bytes_;
            if (!one.ready_ || one.unloading_ || one.planned_ ||
                !one.current_ || freed < bytes) {
                continue;
            }
            const auto target = target_for(one);
            if (target != none) {
                plan_.load(target, one.model_, placement_reason::relocation, 0,
                           0);
                return true;
            }
        }
        return false;
    }

    auto target_for(const replica& one) const -> std::size_t {
        const auto bytes = plan_.fleet_.models_[one.model_].bytes_;
        const auto rest = plan_.fleet_.count(one.model_, &one);
        const auto zones = wanted_zones(plan_, one.model_);
        for (auto runner = std::size_t{0};
             runner < plan_.fleet_.runners_.size(); ++runner) {
            const auto& view = plan_.fleet_.runners_[runner];
            if (view.free() < bytes || runner == one.runner_ ||
                !plan_.fleet_.allowed(runner, one.model_) ||
                plan_.fleet_.hosts(runner, one.model_)) {
                continue;
            }
            if (rest.zones_ >= zones ||
                !plan_.fleet_.covers_zone(one.model_, runner, &one)) {
                return runner;
            }
        }
        return none;
    }

    draft& plan_;
    std::size_t model_;
};

// A load beyond the wanted replicas is under way: a relocation may be waiting
// for it.
auto surplus_loading(const draft& plan) -> bool {
    const auto& fleet = plan.fleet_;
    return std::any_of(fleet.replicas_.begin(), fleet.replicas_.end(),
                       [&](const replica& one) {
                           return !one.ready_ && !one.unloading_ &&
                                  !one.planned_ &&
                                  fleet.count(one.model_).current_ >
                                      fleet.models_[one.model_].wanted_;
                       });
}

} // namespace

auto repair(draft& plan) -> bool {
    auto complete = true;
    auto relocations = surplus_loading(plan) ? relocations_per_plan : 0U;
    for (const auto& one : find_deficits(plan)) {
        if (plan.fleet_.loading_ >= plan.settings_.repairs_in_flight_) {
            plan.reject(one.model_, none, placement_rejection_reason::pacing, 0,
                        0);
            plan.details_[one.model_] = "waits for other loads to end";
            complete = false;
            continue;
        }
        if (repairer{plan, one}.run()) {
            plan.details_[one.model_] = "a replica is being loaded";
            continue;
        }
        if (relocations < relocations_per_plan &&
            relocator{plan, one.model_}.run()) {
            ++relocations;
            plan.details_[one.model_] = "room is being made for a replica";
            continue;
        }
        plan.reject(one.model_, none, placement_rejection_reason::no_memory, 0,
                    0);
        plan.details_[one.model_] =
            "no runner of a further availability zone has the memory";
    }
    return complete;
}

auto retire(draft& plan) -> void {
    for (auto& one : plan.fleet_.replicas_) {
        const auto leaving =
            plan.fleet_.runners_[one.runner_].declared_->leaving_;
        if (one.current_ || leaving || !plan.tier_of(one)) {
            continue;
        }
        const auto count = plan.fleet_.count(one.model_);
        const auto& model = plan.fleet_.models_[one.model_];
        if (count.current_ready_ >= wanted_replicas(model, count) &&
            count.zones_ >= wanted_zones(plan, one.model_)) {
            plan.unload(one, placement_reason::rollout);
        }
    }
    // Adapters were sorted behind their models and are unloaded first.
    const auto& undeclared = plan.fleet_.undeclared_;
    for (auto at = undeclared.rbegin(); at != undeclared.rend(); ++at) {
        if ((*at)->state_ == resident_state::ready) {
            plan.unload(**at, placement_reason::undeclared);
        }
    }
}

} // namespace basilstream::coordination::internal::placement
