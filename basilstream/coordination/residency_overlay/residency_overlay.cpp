#include "basilstream/coordination/residency_overlay/residency_overlay.hpp"

#include <algorithm>

namespace basilstream::coordination {
namespace {

auto find_model(backend_server& server, const std::string& name)
    -> backend_model* {
    const auto found =
        std::find_if(server.models_.begin(), server.models_.end(),
                     [&](const auto& each) { return each.name_ == name; });
    return found == server.models_.end() ? nullptr : &*found;
}

auto put(backend_server& server, const std::string& model,
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

auto take(backend_server& server, const std::string& model,
          const std::string& adapter) -> void {
    if (adapter.empty()) {
        std::erase_if(server.models_,
                      [&](const auto& each) { return each.name_ == model; });
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

auto residency_overlay::forget(const std::string& runner) -> void {
    runners_.erase(runner);
}

auto residency_overlay::apply(backend_server announced, time_point announced_at,
                              time_point now) -> backend_server {
    const auto found = runners_.find(announced.id_);
    if (found == runners_.end()) {
        return announced;
    }
    std::erase_if(found->second, [&](const auto& each) {
        const auto& news = each.second;
        const auto since = std::max(news.since_, news.ready_at_);
        return announced_at > since + settings_.announcement_lag_ ||
               now > since + settings_.longest_;
    });
    for (const auto& [name, news] : found->second) {
        if (news.state_ == holding_state::ready) {
            put(announced, name.first, name.second);
        } else if (news.state_ == holding_state::going) {
            take(announced, name.first, name.second);
        }
    }
    return announced;
}

auto residency_overlay::ready_in(const std::string& model,
                                 const std::string& adapter,
                                 time_point now) const
    -> std::optional<duration> {
    auto soonest = std::optional<duration>{};
    for (const auto& [runner, all] : runners_) {
        const auto found = all.find({model, adapter});
        if (found == all.end() ||
            found->second.state_ != holding_state::coming ||
            now > found->second.ready_at_ + settings_.longest_) {
            continue;
        }
        const auto left = std::max(found->second.ready_at_ - now, duration{0});
        soonest = std::min(soonest.value_or(left), left);
    }
    return soonest;
}

} // namespace basilstream::coordination
