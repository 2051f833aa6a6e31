#include "basilstream/coordination/route_table/route_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace basilstream::coordination {
namespace {

auto shares_service(const relay_route& left, const relay_route& right) -> bool {
    return std::any_of(left.targets_.begin(), left.targets_.end(),
                       [&](const auto& left_target) {
                           return std::any_of(right.targets_.begin(),
                                              right.targets_.end(),
                                              [&](const auto& other) {
                                                  return left_target.service_ ==
                                                         other.service_;
                                              });
                       });
}

} // namespace

auto canonical_host(std::string_view host) -> std::string {
    auto name = std::string{host.substr(0, host.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                              : letter;
    });
    return name;
}

auto service_engine::find_model(std::string_view model) const
    -> const service_model* {
    const auto found =
        std::find_if(models_.begin(), models_.end(),
                     [&](const auto& each) { return each.name_ == model; });
    return found == models_.end() ? nullptr : &*found;
}

auto relay_config::find_service(std::string_view name) const
    -> const relay_service* {
    const auto found =
        std::find_if(services_.begin(), services_.end(),
                     [&](const auto& each) { return each.name_ == name; });
    return found == services_.end() ? nullptr : &*found;
}

auto route_table::replace(std::shared_ptr<const relay_config> config) -> bool {
    if (config_ && config->version_ <= config_->version_) {
        return false;
    }
    config_ = std::move(config);
    hosts_.clear();
    for (const auto& route : config_->routes_) {
        hosts_[canonical_host(route.host_)][route.path_prefix_] = &route;
    }
    return true;
}

auto route_table::match(std::string_view host, std::string_view path) const
    -> const relay_route* {
    const auto found = hosts_.find(canonical_host(host));
    if (found == hosts_.end()) {
        return nullptr;
    }
    auto prefix = path.substr(0, path.find('?'));
    while (true) {
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        prefix = prefix.substr(0, slash + 1);
        const auto route = found->second.find(std::string{prefix});
        if (route != found->second.end()) {
            return route->second;
        }
        prefix = prefix.substr(0, slash);
    }
}

auto pick_target(const relay_route& route, double draw) -> const std::string& {
    auto total = 0.0;
    for (const auto& target : route.targets_) {
        total += target.weight_;
    }
    auto remaining_weight = draw * total;
    for (const auto& target : route.targets_) {
        remaining_weight -= target.weight_;
        if (remaining_weight < 0) {
            return target.service_;
        }
    }
    return route.targets_.back().service_;
}

auto urgency_rank(const relay_config& config, const relay_route& route) -> int {
    auto more_urgent_levels = std::set<std::pair<int, milliseconds>>{};
    const auto own_level = std::pair{route.priority_, route.objective_};
    for (const auto& other : config.routes_) {
        const auto level = std::pair{other.priority_, other.objective_};
        if (level < own_level && shares_service(route, other)) {
            more_urgent_levels.insert(level);
        }
    }
    return static_cast<int>(more_urgent_levels.size());
}

} // namespace basilstream::coordination
