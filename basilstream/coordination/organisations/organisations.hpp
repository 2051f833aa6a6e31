/// Authenticates callers by API key and ranks their requests.
///
///     const auto index = organisation_index{config};
///     const auto caller = index.authenticate(route, api_key);
///     if (caller.outcome_ == authentication_outcome::rejected) { /* 401 */ }
///     const auto urgency = index.urgency(route, caller.organisation_);
///
/// Load pattern: a thousand requests per second, each with a key that any
/// client may have made up, against a configuration of a few to some thousand
/// organisations that changes while connections are open. A look-up takes the
/// digest of the key and one probe of a hash table, so that neither its time
/// nor the table depends on what stored keys and the key have in common.
///
/// Immutable; safe to share between threads.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/route_table/route_table.hpp"

namespace basilstream::coordination {

enum class authentication_outcome {
    /// The configuration has no organisations.
    not_required,
    /// A public route, without a known key.
    anonymous,
    authenticated,
    /// The key is missing or unknown.
    rejected,
};

inline constexpr auto authentication_outcome_names =
    name_table<authentication_outcome, 4>{
        {{{authentication_outcome::not_required, "not_required"},
          {authentication_outcome::anonymous, "anonymous"},
          {authentication_outcome::authenticated, "authenticated"},
          {authentication_outcome::rejected, "rejected"}}}};

struct authentication {
    authentication_outcome outcome_ = authentication_outcome::not_required;
    /// Set if authenticated; valid as long as the configuration.
    const organisation* organisation_ = nullptr;
};

/// Keys of more bytes are rejected without a look-up.
inline constexpr auto max_api_key_bytes = std::size_t{4096};

/// Levels of urgency that backend servers distinguish, 0 the most urgent.
inline constexpr auto urgency_levels = 10;

/// Place of a request among those that share a service with it, in order of
/// urgency; 0 is the most urgent.
struct urgency_standing {
    int position_ = 0;
    int count_ = 1;
};

/// The organisations of one version of the configuration.
class organisation_index {
public:
    /// Keeps `config` alive.
    explicit organisation_index(std::shared_ptr<const relay_config> config);

    /// Returns who sends a request on `route` with `api_key`; an empty key is
    /// one that could not be read.
    [[nodiscard]] auto
    authenticate(const relay_route& route,
                 const std::optional<std::string>& api_key) const
        -> authentication;

    /// Returns null if the configuration has no organisation of that name.
    [[nodiscard]] auto find(std::string_view name) const -> const organisation*;

    /// Returns the level, 0 to 9, of a request among those that share a service
    /// with its route. Orders by the priority of the organisation, then by the
    /// priority and the objective of the route. An organisation without a
    /// priority, and a null one, has that of the route.
    [[nodiscard]] auto urgency(const relay_route& route,
                               const organisation* caller) const -> int;
    /// Returns the place by which urgency() orders.
    [[nodiscard]] auto standing(const relay_route& route,
                                const organisation* caller) const
        -> urgency_standing;

    /// Returns the organisations and keys that are not used, one line each,
    /// without the keys.
    [[nodiscard]] auto problems() const -> const std::vector<std::string>& {
        return problems_;
    }

private:
    using digest = std::array<unsigned char, 32>;
    struct digest_hash {
        auto operator()(const digest& value) const -> std::size_t;
    };

    // Priority of the organisation, priority and objective of the route.
    using level = std::tuple<int, int, milliseconds>;

    static auto level_of(const relay_route& route, std::optional<int> priority)
        -> level;
    auto add_levels() -> void;
    static auto digest_of(std::string_view api_key) -> digest;
    auto add_keys(const organisation& entry) -> void;

    std::shared_ptr<const relay_config> config_;
    std::unordered_map<digest, const organisation*, digest_hash> by_digest_;
    std::map<std::string_view, const organisation*> by_name_;
    // Levels of the requests that a service may get, in order of urgency.
    std::unordered_map<std::string, std::set<level>> levels_;
    std::vector<std::string> problems_;
};

/// Returns what a request costs of its organisation's allowance. `tokens` is
/// what the request declares, nothing if it declares none.
[[nodiscard]] auto allowance_cost(const organisation& caller,
                                  std::optional<std::int64_t> tokens) -> double;

} // namespace basilstream::coordination
