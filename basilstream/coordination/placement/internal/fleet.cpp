#include "basilstream/coordination/placement/internal/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace basilstream::coordination::internal::placement {
namespace {

template <class Item>
auto sorted_by_name(const std::vector<Item>& items)
    -> std::vector<const Item*> {
    auto sorted = std::vector<const Item*>{};
    sorted.reserve(items.size());
    for (const auto& item : items) {
        sorted.push_back(&item);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const Item* a, const Item* b) { return a->name_ < b->name_; });
    return sorted;
}

template <class View>
auto find_by_name(const std::vector<View>& views, const std::string& name)
    -> std::size_t {
    const auto at =
        std::lower_bound(views.begin(), views.end(), name,
                         [](const View& view, const std::string& name_to_find) {
                             return view.declared_->name_ < name_to_find;
                         });
    if (at == views.end() || at->declared_->name_ != name) {
        return npos;
    }
    return static_cast<std::size_t>(at - views.begin());
}

// Returns the weight of the new value in exponential smoothing after `elapsed`;
// 1 without a time constant.
auto smoothing_factor(duration elapsed, duration time_constant) -> double {
    if (time_constant <= duration::zero()) {
        return 1;
    }
    const auto ratio = static_cast<double>(elapsed.count()) /
                       static_cast<double>(time_constant.count());
    return 1 - std::exp(-ratio);
}

using demand_index = std::map<std::string_view, const placement_demand*>;

auto index_demands(const placement_input& input) -> demand_index {
    auto result = demand_index{};
    for (const auto& demand : input.demands_) {
        result[demand.model_] = &demand;
    }
    return result;
}

auto demand_of(const demand_index& demands, const std::string& model)
    -> placement_demand {
    const auto at = demands.find(model);
    return at == demands.end() ? placement_demand{} : *at->second;
}

auto is_before(const placement_resident* a, const placement_resident* b)
    -> bool {
    // A model sorts before its adapters because its adapter name is empty.
    return std::tie(a->runner_, a->model_, a->adapter_, a->version_) <
           std::tie(b->runner_, b->model_, b->adapter_, b->version_);
}

} // namespace

auto runner_view::free_bytes() const -> std::uint64_t {
    return declared_->memory_bytes_ > reserved_bytes_
               ? declared_->memory_bytes_ - reserved_bytes_
               : 0;
}

auto runner_view::utilisation() const -> double {
    return declared_->tokens_per_second_ > 0
               ? assigned_load_ / declared_->tokens_per_second_
               : 0;
}

auto recent_peaks(const placement_input& input,
                  const planner_settings& settings)
    -> std::vector<demand_peak> {
    auto previous_peaks = std::map<std::string_view, double>{};
    for (const auto& previous : input.history_.peaks_) {
        previous_peaks[previous.model_] = previous.tokens_per_second_;
    }
    const auto demands = index_demands(input);
    const auto elapsed = input.now_ - input.history_.planned_at_;
    const auto decay = smoothing_factor(elapsed, settings.peak_time_constant_);
    auto result = std::vector<demand_peak>{};
    for (const auto* model : sorted_by_name(input.models_)) {
        const auto current =
            demand_of(demands, model->name_).tokens_per_second_;
        const auto previous = previous_peaks.count(model->name_) > 0
                                  ? previous_peaks[model->name_]
                                  : current;
        const auto decayed = previous + (current - previous) * decay;
        result.push_back({model->name_, std::max(current, decayed)});
    }
    return result;
}

fleet_view::fleet_view(const placement_input& input,
                       const planner_settings& settings) {
    add_runners(input);
    add_models(input, settings);
    add_residents(input);
    restore_history(input);
}

auto fleet_view::add_runners(const placement_input& input) -> void {
    for (const auto* runner : sorted_by_name(input.runners_)) {
        auto view = runner_view{};
        view.declared_ = runner;
        runners_.push_back(std::move(view));
        if (!runner->leaving_) {
            zones_.push_back(runner->availability_zone_);
        }
    }
    std::sort(zones_.begin(), zones_.end());
    zones_.erase(std::unique(zones_.begin(), zones_.end()), zones_.end());
}

auto fleet_view::add_models(const placement_input& input,
                            const planner_settings& settings) -> void {
    auto organisations =
        std::map<std::string_view, const placement_organisation*>{};
    for (const auto& organisation : input.organisations_) {
        organisations[organisation.name_] = &organisation;
    }
    const auto demands = index_demands(input);
    const auto peaks = recent_peaks(input, settings);
    for (const auto* model : sorted_by_name(input.models_)) {
        auto view = model_view{};
        view.declared_ = model;
        view.bytes_ = model->memory_bytes_;
        for (const auto& adapter : model->adapters_) {
            view.bytes_ += adapter.memory_bytes_;
        }
        view.desired_replicas_ =
            std::max({settings.replicas_, model->minimum_replicas_, 1U});
        const auto demand = demand_of(demands, model->name_);
        view.tokens_per_second_ = demand.tokens_per_second_;
        view.requests_per_second_ = demand.requests_per_second_;
        view.recent_peak_ = peaks[models_.size()].tokens_per_second_;
        const auto at = organisations.find(model->organisation_);
        if (at != organisations.end()) {
            view.weight_ = at->second->weight_;
            view.move_price_ = at->second->move_price_;
        }
        models_.push_back(std::move(view));
    }
}

auto fleet_view::add_residents(const placement_input& input) -> void {
    auto residents = std::vector<const placement_resident*>{};
    for (const auto& resident : input.residents_) {
        residents.push_back(&resident);
    }
    std::sort(residents.begin(), residents.end(), is_before);
    for (const auto* resident : residents) {
        add_resident(*resident, input.now_);
    }
    record_missing_adapters();
}

auto fleet_view::add_resident(const placement_resident& resident,
                              time_point now) -> void {
    const auto runner = runner_index(resident.runner_);
    if (runner == npos) {
        return;
    }
    runners_[runner].committed_bytes_ += resident.memory_bytes_;
    runners_[runner].reserved_bytes_ += resident.memory_bytes_;
    const auto model = model_index(resident.model_);
    if (model == npos) {
        undeclared_.push_back(&resident);
        return;
    }
    if (!resident.adapter_.empty()) {
        auto* owner = find_adapter_owner(runner, model);
        if (owner == nullptr) {
            undeclared_.push_back(&resident);
            return;
        }
        owner->residents_.push_back(&resident);
        owner->bytes_ += resident.memory_bytes_;
        return;
    }
    auto replica = replica_view{};
    replica.runner_ = runner;
    replica.model_ = model;
    replica.version_ = resident.version_;
    replica.bytes_ = resident.memory_bytes_;
    replica.up_to_date_ =
        resident.version_ == models_[model].declared_->version_;
    replica.ready_ = resident.state_ == resident_state::ready;
    replica.unloading_ = resident.state_ == resident_state::unloading;
    replica.since_ = now;
    replica.residents_.push_back(&resident);
    loads_in_flight_ += resident.state_ == resident_state::loading ? 1 : 0;
    runners_[runner].replicas_.push_back(replicas_.size());
    models_[model].replicas_.push_back(replicas_.size());
    replicas_.push_back(std::move(replica));
}

auto fleet_view::find_adapter_owner(std::size_t runner, std::size_t model)
    -> replica_view* {
    replica_view* owner = nullptr;
    for (const auto index : runners_[runner].replicas_) {
        auto& replica = replicas_[index];
        if (replica.model_ == model &&
            (owner == nullptr || replica.up_to_date_)) {
            owner = &replica;
        }
    }
    return owner;
}

auto fleet_view::record_missing_adapters() -> void {
    for (auto& replica : replicas_) {
        if (!replica.up_to_date_ || !is_retained(replica)) {
            continue;
        }
        for (const auto& adapter :
             models_[replica.model_].declared_->adapters_) {
            const auto is_resident = std::any_of(
                replica.residents_.begin(), replica.residents_.end(),
                [&](const auto* resident) {
                    return resident->adapter_ == adapter.name_ &&
                           resident->version_ == adapter.version_;
                });
            if (!is_resident) {
                replica.missing_adapters_.push_back(&adapter);
                replica.missing_adapter_bytes_ += adapter.memory_bytes_;
            }
        }
        runners_[replica.runner_].reserved_bytes_ +=
            replica.missing_adapter_bytes_;
    }
}

auto fleet_view::restore_history(const placement_input& input) -> void {
    auto starts =
        std::map<std::pair<std::string_view, std::string_view>, time_point>{};
    for (const auto& start : input.history_.residences_) {
        starts[{start.runner_, start.model_}] = start.since_;
    }
    for (auto& replica : replicas_) {
        const auto at = starts.find({runners_[replica.runner_].declared_->name_,
                                     models_[replica.model_].declared_->name_});
        if (at != starts.end()) {
            replica.since_ = at->second;
        }
    }
}

auto fleet_view::runner_index(const std::string& name) const -> std::size_t {
    return find_by_name(runners_, name);
}

auto fleet_view::model_index(const std::string& name) const -> std::size_t {
    return find_by_name(models_, name);
}

auto fleet_view::is_retained(const replica_view& replica) const -> bool {
    return !replica.unloading_ && !replica.removed_ &&
           !runners_[replica.runner_].declared_->leaving_;
}

auto fleet_view::count_replicas(std::size_t model,
                                const replica_view* excluded) const
    -> replica_count {
    auto result = replica_count{};
    auto zones = std::vector<std::string_view>{};
    auto ready_zones = std::vector<std::string_view>{};
    const auto add = [](std::vector<std::string_view>& list,
                        std::string_view zone) {
        if (std::find(list.begin(), list.end(), zone) == list.end()) {
            list.push_back(zone);
        }
    };
    for (const auto index : models_[model].replicas_) {
        const auto& replica = replicas_[index];
        if (&replica == excluded) {
            continue;
        }
        const auto ready =
            replica.ready_ && !replica.unloading_ && !replica.removed_;
        result.ready_anywhere_ += ready ? 1 : 0;
        if (!is_retained(replica)) {
            continue;
        }
        const auto& zone =
            runners_[replica.runner_].declared_->availability_zone_;
        ++result.retained_;
        result.ready_ += ready ? 1 : 0;
        result.obsolete_ += replica.up_to_date_ ? 0 : 1;
        if (ready) {
            add(ready_zones, zone);
        }
        if (replica.up_to_date_) {
            ++result.up_to_date_;
            result.up_to_date_ready_ += ready ? 1 : 0;
            add(zones, zone);
        }
    }
    result.zones_ = static_cast<unsigned>(zones.size());
    result.ready_zones_ = static_cast<unsigned>(ready_zones.size());
    return result;
}

auto fleet_view::hosts(std::size_t runner, std::size_t model) const -> bool {
    const auto& own = models_[model].replicas_;
    return std::any_of(own.begin(), own.end(), [&](std::size_t index) {
        const auto& replica = replicas_[index];
        return replica.runner_ == runner && replica.up_to_date_;
    });
}

auto fleet_view::is_allowed(std::size_t runner, std::size_t model) const
    -> bool {
    const auto& declared = *runners_[runner].declared_;
    if (declared.leaving_) {
        return false;
    }
    const auto& zones = models_[model].declared_->availability_zones_;
    return zones.empty() ||
           std::find(zones.begin(), zones.end(), declared.availability_zone_) !=
               zones.end();
}

auto fleet_view::covers_zone(std::size_t model, std::size_t runner,
                             const replica_view* excluded) const -> bool {
    const auto& zone = runners_[runner].declared_->availability_zone_;
    const auto& own = models_[model].replicas_;
    return std::any_of(own.begin(), own.end(), [&](std::size_t index) {
        const auto& replica = replicas_[index];
        return &replica != excluded && replica.up_to_date_ &&
               is_retained(replica) &&
               runners_[replica.runner_].declared_->availability_zone_ == zone;
    });
}

auto fleet_view::covers_region(std::size_t model, std::size_t runner) const
    -> bool {
    const auto& region = runners_[runner].declared_->region_;
    const auto& own = models_[model].replicas_;
    return std::any_of(own.begin(), own.end(), [&](std::size_t index) {
        const auto& replica = replicas_[index];
        return replica.up_to_date_ && is_retained(replica) &&
               runners_[replica.runner_].declared_->region_ == region;
    });
}

auto fleet_view::add_planned_replica(std::size_t runner, std::size_t model,
                                     time_point now) -> void {
    auto replica = replica_view{};
    replica.runner_ = runner;
    replica.model_ = model;
    replica.version_ = models_[model].declared_->version_;
    replica.bytes_ = models_[model].bytes_;
    replica.up_to_date_ = true;
    replica.planned_ = true;
    replica.since_ = now;
    runners_[runner].committed_bytes_ += replica.bytes_;
    runners_[runner].reserved_bytes_ += replica.bytes_;
    runners_[runner].replicas_.push_back(replicas_.size());
    models_[model].replicas_.push_back(replicas_.size());
    replicas_.push_back(std::move(replica));
    ++loads_in_flight_;
}

auto fleet_view::mark_removed(replica_view& removed) -> void {
    removed.removed_ = true;
    removed.planned_ = true;
    auto& runner = runners_[removed.runner_];
    const auto reserved = removed.bytes_ + removed.missing_adapter_bytes_;
    runner.committed_bytes_ -=
        std::min(runner.committed_bytes_, removed.bytes_);
    runner.reserved_bytes_ -= std::min(runner.reserved_bytes_, reserved);
}

auto fleet_view::reachable_zones(std::size_t model) const -> unsigned {
    const auto& allowed = models_[model].declared_->availability_zones_;
    if (allowed.empty()) {
        return static_cast<unsigned>(zones_.size());
    }
    return static_cast<unsigned>(std::count_if(
        zones_.begin(), zones_.end(), [&](const std::string& zone) {
            return std::find(allowed.begin(), allowed.end(), zone) !=
                   allowed.end();
        }));
}

} // namespace basilstream::coordination::internal::placement
