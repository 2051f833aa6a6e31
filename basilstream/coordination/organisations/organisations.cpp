#include "basilstream/coordination/organisations/organisations.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace basilstream::coordination {
namespace {

// Consecutive levels are two steps apart as long as there is room for that, so
// that equal priorities of all organisations leave the levels of routes as they
// are without organisations.
constexpr auto first_level = 1;
constexpr auto level_spacing = 2;
constexpr auto last_level = urgency_levels - 1;
constexpr auto max_spaced_levels = 5;

} // namespace

auto organisation_index::digest_hash::operator()(const digest& value) const
    -> std::size_t {
    auto hash = std::size_t{0};
    std::memcpy(&hash, value.data(), sizeof hash);
    return hash;
}

auto organisation_index::digest_of(std::string_view api_key) -> digest {
    auto value = digest{};
    SHA256(reinterpret_cast<const unsigned char*>(api_key.data()),
           api_key.size(), value.data());
    return value;
}

organisation_index::organisation_index(
    std::shared_ptr<const relay_config> config)
    : config_{std::move(config)} {
    for (const auto& entry : config_->organisations_) {
        if (!by_name_.emplace(entry.name_, &entry).second) {
            problems_.push_back("organisation " + entry.name_ +
                                " is listed twice; the first entry is used");
            continue;
        }
        add_keys(entry);
    }
    add_levels();
}

auto organisation_index::add_keys(const organisation& entry) -> void {
    for (const auto& api_key : entry.api_keys_) {
        if (api_key.empty() || api_key.size() > max_api_key_bytes) {
            problems_.push_back("organisation " + entry.name_ +
                                " has a key that is empty or too long");
        } else if (const auto added =
                       by_digest_.emplace(digest_of(api_key), &entry);
                   !added.second && added.first->second != &entry) {
            problems_.push_back("organisations " + added.first->second->name_ +
                                " and " + entry.name_ +
                                " have the same key; the first one keeps it");
        }
    }
}

auto organisation_index::authenticate(
    const relay_route& route, const std::optional<std::string>& api_key) const
    -> authentication {
    if (!config_->requires_keys_) {
        return {};
    }
    if (api_key && !api_key->empty() && api_key->size() <= max_api_key_bytes) {
        const auto wanted = digest_of(*api_key);
        const auto found = by_digest_.find(wanted);
        if (found != by_digest_.end() &&
            CRYPTO_memcmp(found->first.data(), wanted.data(), wanted.size()) ==
                0) {
            return {authentication_outcome::authenticated, found->second};
        }
    }
    return {route.public_ ? authentication_outcome::anonymous
                          : authentication_outcome::rejected};
}

auto organisation_index::find(std::string_view name) const
    -> const organisation* {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

auto organisation_index::level_of(const relay_route& route,
                                  std::optional<int> priority) -> level {
    return {priority.value_or(route.priority_), route.priority_,
            route.objective_};
}

auto organisation_index::add_levels() -> void {
    // Callers of public routes have no organisation.
    auto priorities = std::set<std::optional<int>>{std::nullopt};
    for (const auto& [name, entry] : by_name_) {
        priorities.insert(entry->priority_);
    }
    for (const auto& route : config_->routes_) {
        for (const auto& target : route.targets_) {
            for (const auto& priority : priorities) {
                levels_[target.service_].insert(level_of(route, priority));
            }
        }
    }
}

auto organisation_index::standing(const relay_route& route,
                                  const organisation* caller) const
    -> urgency_standing {
    auto levels = std::set<level>{};
    for (const auto& target : route.targets_) {
        const auto found = levels_.find(target.service_);
        if (found != levels_.end()) {
            levels.insert(found->second.begin(), found->second.end());
        }
    }
    const auto own =
        level_of(route, caller != nullptr ? caller->priority_ : std::nullopt);
    return {static_cast<int>(std::distance(levels.begin(), levels.find(own))),
            static_cast<int>(levels.size())};
}

auto organisation_index::urgency(const relay_route& route,
                                 const organisation* caller) const -> int {
    const auto [rank, count] = standing(route, caller);
    if (!config_->requires_keys_ || count <= max_spaced_levels) {
        return std::min(first_level + level_spacing * rank, last_level);
    }
    return rank * last_level / (count - 1);
}

auto allowance_cost(const organisation& caller,
                    std::optional<std::int64_t> tokens) -> double {
    if (caller.unit_ == allowance_unit::requests) {
        return 1;
    }
    return tokens ? static_cast<double>(*tokens) : caller.default_cost_;
}

} // namespace basilstream::coordination
