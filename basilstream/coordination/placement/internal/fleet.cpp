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
                         [](const View& view, const std::string& wanted) {
                             return view.declared_->name_ < wanted;
                         });
    if (at == views.end() || at->declared_->name_ != name) {
        return none;
    }
    return static_cast<std::size_t>(at - views.begin());
}

// The share of the distance to a new value that is covered in `elapsed`.
auto smoothing(duration elapsed, duration time_constant) -> double {
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

auto resident_before(const placement_resident* a, const placement_resident* b)
    -> bool {
    // A model comes before its adapters: the empty name sorts first.
    return std::tie(a->runner_, a->model_, a->adapter_, a->version_) <
           std::tie(b->runner_, b->model_, b->adapter_, b->version_);
}

} // namespace

auto runner_view::free() const -> std::uint64_t {
    return declared_->memory_bytes_ > used_ ? declared_->memory_bytes_ - used_
                                            : 0;
}

auto runner_view::utilisation() const -> double {
    return declared_->tokens_per_second_ > 0
               ? flow_ / declared_->tokens_per_second_
               : 0;
}

auto recent_peaks(const placement_input& input,
                  const planner_settings& settings)
    -> std::vector<demand_peak> {
    auto known = std::map<std::string_view, double>{};
    for (const auto& old : input.history_.peaks_) {
        known[old.model_] = old.tokens_per_second_;
    }
    const auto demands = index_demands(input);
    const auto elapsed = input.now_ - input.history_.planned_at_;
    const auto fall = smoothing(elapsed, settings.peak_time_);
    auto result = std::vector<demand_peak>{};
    for (const auto* model : sorted_by_name(input.models_)) {
        const auto now = demand_of(demands, model->name_).tokens_per_second_;
        const auto old =
            known.count(model->name_) > 0 ? known[model->name_] : now;
        const auto fallen = old + (now - old) * fall;
        result.push_back({model->name_, std::max(now, fallen)});
    }
    return result;
}

fleet::fleet(const placement_input& input, const planner_settings& settings) {
    add_runners(input);
    add_models(input, settings);
    add_residents(input);
    restore_history(input);
}

auto fleet::add_runners(const placement_input& input) -> void {
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

auto fleet::add_models(const placement_input& input,
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
        view.wanted_ =
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

auto fleet::add_residents(const placement_input& input) -> void {
    auto residents = std::vector<const placement_resident*>{};
    for (const auto& resident : input.residents_) {
        residents.push_back(&resident);
    }
    std::sort(residents.begin(), residents.end(), resident_before);
    for (const auto* resident : residents) {
        add_resident(*resident, input.now_);
    }
    find_missing_adapters();
}

auto fleet::add_resident(const placement_resident& resident, time_point now)
    -> void {
    const auto runner = runner_index(resident.runner_);
    if (runner == none) {
        return;
    }
    runners_[runner].committed_ += resident.memory_bytes_;
    runners_[runner].used_ += resident.memory_bytes_;
    const auto model = model_index(resident.model_);
    if (model == none) {
        undeclared_.push_back(&resident);
        return;
    }
    if (!resident.adapter_.empty()) {
        auto* owner = owner_of(runner, model);
        if (owner == nullptr) {
            undeclared_.push_back(&resident);
            return;
        }
        owner->parts_.push_back(&resident);
        owner->bytes_ += resident.memory_bytes_;
        return;
    }
    auto one = replica{};
    one.runner_ = runner;
    one.model_ = model;
    one.version_ = resident.version_;
    one.bytes_ = resident.memory_bytes_;
    one.current_ = resident.version_ == models_[model].declared_->version_;
    one.ready_ = resident.state_ == resident_state::ready;
    one.unloading_ = resident.state_ == resident_state::unloading;
    one.since_ = now;
    one.parts_.push_back(&resident);
    loading_ += resident.state_ == resident_state::loading ? 1 : 0;
    runners_[runner].replicas_.push_back(replicas_.size());
    models_[model].replicas_.push_back(replicas_.size());
    replicas_.push_back(std::move(one));
}

auto fleet::owner_of(std::size_t runner, std::size_t model) -> replica* {
    replica* owner = nullptr;
    for (const auto index : runners_[runner].replicas_) {
        auto& one = replicas_[index];
        if (one.model_ == model && (owner == nullptr || one.current_)) {
            owner = &one;
        }
    }
    return owner;
}

auto fleet::find_missing_adapters() -> void {
    for (auto& one : replicas_) {
        if (!one.current_ || !stays(one)) {
            continue;
        }
        for (const auto& adapter : models_[one.model_].declared_->adapters_) {
            const auto there = std::any_of(
                one.parts_.begin(), one.parts_.end(), [&](const auto* part) {
                    return part->adapter_ == adapter.name_ &&
                           part->version_ == adapter.version_;
                });
            if (!there) {
                one.missing_.push_back(&adapter);
                one.missing_bytes_ += adapter.memory_bytes_;
            }
        }
        runners_[one.runner_].used_ += one.missing_bytes_;
    }
}

auto fleet::restore_history(const placement_input& input) -> void {
    auto starts =
        std::map<std::pair<std::string_view, std::string_view>, time_point>{};
    for (const auto& start : input.history_.residences_) {
        starts[{start.runner_, start.model_}] = start.since_;
    }
    for (auto& one : replicas_) {
        const auto at = starts.find({runners_[one.runner_].declared_->name_,
                                     models_[one.model_].declared_->name_});
        if (at != starts.end()) {
            one.since_ = at->second;
        }
    }
}

auto fleet::runner_index(const std::string& name) const -> std::size_t {
    return find_by_name(runners_, name);
}

auto fleet::model_index(const std::string& name) const -> std::size_t {
    return find_by_name(models_, name);
}

auto fleet::stays(const replica& one) const -> bool {
    return !one.unloading_ && !one.removed_ &&
           !runners_[one.runner_].declared_->leaving_;
}

auto fleet::count(std::size_t model, const replica* without) const
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
        const auto& one = replicas_[index];
        if (&one == without) {
            continue;
        }
        const auto ready = one.ready_ && !one.unloading_ && !one.removed_;
        result.ready_anywhere_ += ready ? 1 : 0;
        if (!stays(one)) {
            continue;
        }
        const auto& zone = runners_[one.runner_].declared_->availability_zone_;
        ++result.staying_;
        result.ready_ += ready ? 1 : 0;
        result.obsolete_ += one.current_ ? 0 : 1;
        if (ready) {
            add(ready_zones, zone);
        }
        if (one.current_) {
            ++result.current_;
            result.current_ready_ += ready ? 1 : 0;
            add(zones, zone);
        }
    }
    result.zones_ = static_cast<unsigned>(zones.size());
    result.ready_zones_ = static_cast<unsigned>(ready_zones.size());
    return result;
}

auto fleet::hosts(std::size_t runner, std::size_t model) const -> bool {
    const auto& own = models_[model].replicas_;
    return std::any_of(own.begin(), own.end(), [&](std::size_t index) {
        const auto& one = replicas_[index];
        return one.runner_ == runner && one.current_;
    });
}

auto fleet::allowed(std::size_t runner, std::size_t model) const -> bool {
    const auto& declared = *runners_[runner].declared_;
    if (declared.leaving_) {
        return false;
    }
    const auto& zones = models_[model].declared_->availability_zones_;
    return zones.empty() ||
           std::find(zones.begin(), zones.end(), declared.availability_zone_) !=
               zones.end();
}

auto fleet::covers_zone(std::size_t model, std::size_t runner,
                        const replica* without) const -> bool {
    const auto& zone = runners_[runner].declared_->availability_zone_;
    const auto& own = models_[model].replicas_;
    return std::any_of(own.begin(), own.end(), [&](std::size_t index) {
        const auto& one = replicas_[index];
        return &one != without && one.current_ && stays(one) &&
               runners_[one.runner_].declared_->availability_zone_ == zone;
    });
}

auto fleet::covers_region(std::size_t model, std::size_t runner) const -> bool {
    const auto& region = runners_[runner].declared_->region_;
    const auto& own = models_[model].replicas_;
    return std::any_of(own.begin(), own.end(), [&](std::size_t index) {
        const auto& one = replicas_[index];
        return one.current_ && stays(one) &&
               runners_[one.runner_].declared_->region_ == region;
    });
}

auto fleet::book(std::size_t runner, std::size_t model, time_point now)
    -> void {
    auto one = replica{};
    one.runner_ = runner;
    one.model_ = model;
    one.version_ = models_[model].declared_->version_;
    one.bytes_ = models_[model].bytes_;
    one.current_ = true;
    one.planned_ = true;
    one.since_ = now;
    runners_[runner].committed_ += one.bytes_;
    runners_[runner].used_ += one.bytes_;
    runners_[runner].replicas_.push_back(replicas_.size());
    models_[model].replicas_.push_back(replicas_.size());
    replicas_.push_back(std::move(one));
    ++loading_;
}

auto fleet::remove(replica& taken) -> void {
    taken.removed_ = true;
    taken.planned_ = true;
    auto& runner = runners_[taken.runner_];
    const auto reserved = taken.bytes_ + taken.missing_bytes_;
    runner.committed_ -= std::min(runner.committed_, taken.bytes_);
    runner.used_ -= std::min(runner.used_, reserved);
}

auto fleet::reachable_zones(std::size_t model) const -> unsigned {
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
