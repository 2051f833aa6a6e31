// Conditions that declared resources report.
#include <algorithm>
#include <set>

#include "basilstream/state/machine/machine.hpp"

namespace basilstream::state {
namespace {

auto allows(const std::vector<std::string>& zones, const std::string& zone)
    -> bool {
    return zones.empty() ||
           std::find(zones.begin(), zones.end(), zone) != zones.end();
}

} // namespace

auto machine::placements(std::string_view model) const
    -> std::vector<placement> {
    const auto found = residents_.find(model);
    if (found == residents_.end()) {
        return {};
    }
    auto all = std::vector<placement>{};
    all.reserve(found->second.size());
    for (const auto& [name, key] : found->second) {
        const auto* runner = find_runner(name);
        all.push_back({runner, key, runner->find(key)->state_});
    }
    return all;
}

auto machine::conditions() const -> std::vector<model_condition> {
    auto all = std::vector<model_condition>{};
    for (const auto* entry : resources()) {
        if (const auto* model =
                std::get_if<model_resource>(&entry->resource_)) {
            all.push_back(condition_of(*model));
        } else if (const auto* adapter =
                       std::get_if<adapter_resource>(&entry->resource_)) {
            all.push_back(condition_of(*adapter));
        } else {
            continue;
        }
        all.back().generation_ = entry->generation_;
    }
    return all;
}

auto machine::condition_of(const model_resource& model) const
    -> model_condition {
    auto condition = model_condition{};
    condition.name_ = qualified_name(model.organisation_, model.name_);
    condition.wanted_replicas_ =
        model.minimum_replicas_ *
        static_cast<std::uint32_t>(model.versions_.size());
    auto zones = std::set<std::string_view>{};
    for (const auto& place : placements(condition.name_)) {
        const auto ready =
            place.state_ == resident_state::ready && is_serving(*place.runner_);
        if (!place.key_.adapter_.empty()) {
            continue;
        }
        condition.reachable_ = condition.reachable_ || ready;
        const auto declared =
            std::find(model.versions_.begin(), model.versions_.end(),
                      place.key_.version_) != model.versions_.end();
        if (ready) {
            zones.insert(place.runner_->zone_);
        }
        condition.ready_replicas_ += ready && declared ? 1 : 0;
        condition.loading_replicas_ +=
            place.state_ == resident_state::loading ? 1 : 0;
    }
    condition.zones_ = static_cast<std::uint32_t>(zones.size());
    if (condition.ready_replicas_ < condition.wanted_replicas_) {
        condition.reason_ = condition.loading_replicas_ > 0
                                ? std::string{"replicas are loading"}
                                : shortage_of(model);
    }
    return condition;
}

auto machine::condition_of(const adapter_resource& adapter) const
    -> model_condition {
    auto condition = model_condition{};
    const auto model = qualified_name(adapter.organisation_, adapter.model_);
    condition.name_ = qualified_name(model, adapter.name_);
    condition.wanted_replicas_ = adapter.minimum_replicas_;
    auto zones = std::set<std::string_view>{};
    for (const auto& place : placements(model)) {
        if (place.key_.adapter_ != adapter.name_) {
            continue;
        }
        const auto ready =
            place.state_ == resident_state::ready && is_serving(*place.runner_);
        condition.ready_replicas_ += ready ? 1 : 0;
        condition.loading_replicas_ +=
            place.state_ == resident_state::loading ? 1 : 0;
        if (ready) {
            zones.insert(place.runner_->zone_);
        }
    }
    condition.reachable_ = condition.ready_replicas_ > 0;
    condition.zones_ = static_cast<std::uint32_t>(zones.size());
    if (condition.ready_replicas_ < condition.wanted_replicas_) {
        condition.reason_ = condition.loading_replicas_ > 0
                                ? "replicas are loading"
                                : "waits for its model or for memory beside it";
    }
    return condition;
}

auto machine::shortage_of(const model_resource& model) const -> std::string {
    auto allowed = std::size_t{0};
    auto largest = std::uint64_t{0};
    for (const auto& [name, runner] : runners_) {
        if (!runner.gone_ && allows(model.zones_, runner.zone_)) {
            ++allowed;
            largest = std::max(largest, runner.free_bytes());
        }
    }
    if (allowed == 0) {
        return "no runner is in an allowed availability zone";
    }
    const auto sizes = "a replica needs " +
                       std::to_string(model.memory_bytes_) +
                       " bytes, the largest free memory is " +
                       std::to_string(largest) + " bytes";
    return largest >= model.memory_bytes_
               ? "waits for a load to start; " + sizes
               : "memory does not suffice: " + sizes;
}

} // namespace basilstream::state
