#include "basilstream/coordination/residency_overlay/residency_overlay.hpp"

#include <algorithm>

namespace basilstream::coordination {
namespace {

auto find_model(backend_server& server, const std::string& name)
    -> backend_model* {
    const auto found = std::find_if(
        server.models_.begin(), server.models_.end(),
        [&](const auto& candidate) { return candidate.name_ == name; });
    return found == server.models_.end() ? nullptr : &*found;
}

auto add_holding(backend_server& server, const std::string& model,
                 const std::string& adapter) -> void {
    auto* held = find_model(server, model);
    if (held == nullptr && !adapter.empty()) {
        return;
    }
    if (held == nullptr) {
        server.models_.push_back({model, 0, {}});
        return;
    }
    auto& adapters = held->adapters_;
    if (!adapter.empty() && std::find(adapters.begin(), adapters.end(),
                                      adapter) == adapters.end()) {
        adapters.push_back(adapter);
    }
}

auto remove_holding(backend_server& server, const std::string& model,
                    const std::string& adapter) -> void {
    if (adapter.empty()) {
        std::erase_if(server.models_, [&](const auto& candidate) {
            return candidate.name_ == model;
        });
    } else if (auto* const held = find_model(server, model)) {
        std::erase(held->adapters_, adapter);
    }
}

} // namespace

auto residency_overlay::add(const holding_change& change, time_point now)
    -> void {
    runners_[change.runner_][{change.model_, change.adapter_}] = {
        change.state_, now, now + change.ready_in_};
}

auto residency_overlay::remove_runner(const std::string& runner) -> void {
    runners_.erase(runner);
}

auto residency_overlay::apply(backend_server announced, time_point announced_at,
                              time_point now) -> backend_server {
    const auto found = runners_.find(announced.id_);
    if (found == runners_.end()) {
        return announced;
    }
    std::erase_if(found->second, [&](const auto& entry) {
        const auto& update = entry.second;
        const auto since = std::max(update.received_at_, update.ready_at_);
        return announced_at > since + settings_.announcement_lag_ ||
               now > since + settings_.max_age_;
    });
    for (const auto& [name, update] : found->second) {
        if (update.state_ == load_state::ready) {
            add_holding(announced, name.first, name.second);
        } else if (update.state_ == load_state::unloading) {
            remove_holding(announced, name.first, name.second);
        }
    }
    return announced;
}

auto residency_overlay::ready_in(const std::string& model,
                                 const std::string& adapter,
                                 time_point now) const
    -> std::optional<duration> {
    auto soonest = std::optional<duration>{};
    for (const auto& [runner, updates] : runners_) {
        const auto found = updates.find({model, adapter});
        if (found == updates.end() ||
            found->second.state_ != load_state::loading ||
            now > found->second.ready_at_ + settings_.max_age_) {
            continue;
        }
        const auto remaining =
            std::max(found->second.ready_at_ - now, duration{0});
        soonest = std::min(soonest.value_or(remaining), remaining);
    }
    return soonest;
}

auto residency_overlay::loading_for(const std::string& runner,
                                    time_point now) const -> duration {
    const auto found = runners_.find(runner);
    auto longest = duration{0};
    if (found == runners_.end()) {
        return longest;
    }
    for (const auto& [name, update] : found->second) {
        if (name.second.empty() && update.state_ == load_state::loading) {
            longest = std::max(longest, update.ready_at_ - now);
        }
    }
    return longest;
}

} // namespace basilstream::coordination
