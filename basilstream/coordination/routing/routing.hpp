/// Chooses a runner for each attempt of a request among the replicas of its
/// model. Plain services use the same router: a service is a model without
/// versions, adapters or prompt prefixes.
///
///     auto routes = router{router_settings{.zone_ = "muc-a"}, random};
///     routes.update_runner(runner_info{...}, now);
///     const auto chosen = routes.choose({.model_ = "acme/chat"}, now);
///     if (chosen) {
///         routes.begin(chosen->runner_);    // ... send the attempt ...
///         routes.end(chosen->runner_);
///     }
///
/// A decision looks at the replicas of one model only, so its cost does not
/// grow with the number of runners. Not safe for concurrent use.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {

/// Why a runner was chosen; the strongest reason that set it apart.
enum class route_reason {
    only_candidate,
    cached_prefix,
    prefix_affinity,
    least_loaded,
};

/// Why a candidate was not chosen.
enum class rejection_reason {
    not_ready,
    leaving,
    excluded,
    ejected,
    version_mismatch,
    adapter_missing,
    at_limit,
    saturated,
    over_load_bound,
    prefix_not_cached,
    other_zone,
    lower_affinity,
    more_loaded,
};

inline constexpr auto route_reason_names = name_table<route_reason, 4>{
    {{{route_reason::only_candidate, "only_candidate"},
      {route_reason::cached_prefix, "cached_prefix"},
      {route_reason::prefix_affinity, "prefix_affinity"},
      {route_reason::least_loaded, "least_loaded"}}}};

inline constexpr auto rejection_reason_names = name_table<rejection_reason, 13>{
    {{{rejection_reason::not_ready, "not_ready"},
      {rejection_reason::leaving, "leaving"},
      {rejection_reason::excluded, "excluded"},
      {rejection_reason::ejected, "ejected"},
      {rejection_reason::version_mismatch, "version_mismatch"},
      {rejection_reason::adapter_missing, "adapter_missing"},
      {rejection_reason::at_limit, "at_limit"},
      {rejection_reason::saturated, "saturated"},
      {rejection_reason::over_load_bound, "over_load_bound"},
      {rejection_reason::prefix_not_cached, "prefix_not_cached"},
      {rejection_reason::other_zone, "other_zone"},
      {rejection_reason::lower_affinity, "lower_affinity"},
      {rejection_reason::more_loaded, "more_loaded"}}}};

/// A model in place on a runner.
struct resident_model {
    std::string model_;
    std::string version_;
    std::vector<std::string> adapters_;
    bool ready_ = true;
};

/// What is known of a runner or of a plain service's backend server.
struct runner_info {
    std::string name_ = {};
    std::string address_ = {};
    std::string zone_ = {};
    /// Changes when the process was restarted; empty when not known.
    std::string boot_id_ = {};
    /// Requests that it runs at once.
    int slots_ = 1;
    bool leaving_ = false;
    std::vector<resident_model> residents_;
};

/// A runner's own report of its load. It may lag.
struct load_report {
    std::string runner_;
    /// Counts up within a boot; a report that is not newer is dropped.
    std::uint64_t sequence_ = 0;
    int running_ = 0;
    int waiting_ = 0;
};

/// One event of a runner's prefix cache. Events may be late or missing.
struct cache_event {
    std::string runner_;
    std::uint64_t sequence_ = 0;
    bool stored_ = true;
    std::string model_;
    std::uint64_t prefix_hash_ = 0;
};

/// What an attempt needs. The views must outlive the call of choose().
struct route_request {
    std::string_view model_ = {};
    /// Empty means any version.
    std::string_view version_ = {};
    /// Empty means the base model.
    std::string_view adapter_ = {};
    /// From prefix_hash(); 0 means no affinity.
    std::uint64_t prefix_hash_ = 0;
    /// Runners on which earlier attempts of the request failed.
    std::span<const std::string> excluded_ = {};
    /// Whether a runner without the adapter is acceptable because the caller
    /// will have the adapter loaded there first.
    bool may_load_adapter_ = false;
    /// Whether to fill route::rejected_.
    bool explain_ = false;
};

/// A candidate that was not chosen, and why.
struct rejected_candidate {
    std::string runner_;
    rejection_reason reason_ = rejection_reason::not_ready;
};

/// The chosen runner.
struct route {
    std::string runner_;
    std::string address_;
    std::string boot_id_;
    route_reason reason_ = route_reason::only_candidate;
    bool same_zone_ = true;
    bool adapter_in_place_ = true;
    /// The estimated number of requests on it before this one.
    double load_ = 0;
    std::vector<rejected_candidate> rejected_;
};

/// Settings of a router.
struct router_settings {
    /// The daemon's own availability zone.
    std::string zone_;
    /// A replica takes at most this multiple of its share of the model's load
    /// before affinity yields (consistent hashing with bounded loads; Mirrokni,
    /// Thorup and Zadimoghaddam, 2018).
    double load_factor_ = 1.25;
    /// Below this share of its slots a replica always counts as within bound.
    double minimum_bound_share_ = 0.5;
    /// The age at which a load report counts for nothing; it counts in full
    /// when new and proportionally less in between.
    duration report_lifetime_ = seconds{5};
    /// How long a request stays on a runner, about: so fast do reported loads
    /// turn over. A stream of some forty events at 20 ms each takes a second.
    duration typical_duration_ = seconds{1};
    /// Failures in a row after which a runner is ejected for a while.
    int failures_before_ejection_ = 3;
    duration first_ejection_ = seconds{1};
    duration longest_ejection_ = seconds{30};
    /// Cached prefixes remembered for each replica.
    std::size_t prefixes_per_replica_ = 4096;
};

/// Tests that a candidate must pass in any case, by name. A test replaces a
/// member by `never` to show that the check on it can fail.
struct router_guards {
    bool (*leaving_)(bool leaving) = [](bool leaving) {
        return leaving;
    };
    bool (*at_limit_)(int in_flight, int limit) = [](int in_flight, int limit) {
        return in_flight >= limit;
    };
};

namespace internal {
struct runner_entry;
struct replica;
struct candidate;
} // namespace internal

/// The replica index and the decision.
class router {
public:
    router(router_settings settings, random_source& random,
           router_guards guards = {});
    ~router();

    /// Adds a runner or replaces what is known of it. In-flight counts and
    /// cached prefixes are kept, unless the boot id changed. A runner once
    /// seen leaving stays so until it is removed or has another boot id.
    auto update_runner(const runner_info& info) -> void;

    /// Forgets a runner. Attempts in flight may still call end().
    auto remove_runner(std::string_view runner) -> void;

    /// Excludes a runner from new work at once, whichever source said so.
    /// Also holds for a runner that becomes known later under this name.
    auto mark_leaving(std::string_view runner) -> void;

    /// Sets how old the loads in reports are when they are received. Without
    /// lag the less loaded of two random replicas is chosen, with it the choice
    /// is spread by what may have changed since.
    auto set_report_lag(duration lag) -> void { report_lag_ = lag; }
    /// Takes in a load report received at `now`.
    auto on_load_report(const load_report& report, time_point now) -> void;

    /// Takes in a cache event. A gap in the sequence may hide evictions, so
    /// that all cached prefixes of the runner are forgotten.
    auto on_cache_event(const cache_event& event) -> void;

    /// Sets how many attempts of this daemon may be in flight on the runner.
    auto set_concurrency_limit(std::string_view runner, int limit) -> void;

    /// Counts an attempt as begun or ended on the runner.
    auto start_attempt(std::string_view runner) -> void;
    auto finish_attempt(std::string_view runner) -> void;

    /// Reports how an attempt ended, for the ejection of failing runners.
    /// A refusal for lack of a slot is no failure.
    auto on_success(std::string_view runner) -> void;
    auto on_failure(std::string_view runner, time_point now) -> void;

    /// Chooses a runner. Errors, all not_run at step routing: not_found (no
    /// runner has the model in this version), not_ready (adapter not in place
    /// anywhere), unavailable (every replica is loading, leaving or excluded),
    /// overloaded (every replica is at its concurrency limit).
    [[nodiscard]] auto choose(const route_request& request, time_point now)
        -> result<route>;

    /// Returns the names of the models in place on a runner.
    [[nodiscard]] auto models_on(std::string_view runner) const
        -> std::vector<std::string>;

    /// Returns how many attempts of this daemon are in flight on the runner.
    [[nodiscard]] auto in_flight(std::string_view runner) const -> int;

    /// Returns how many attempts of this daemon, for whatever model, are in
    /// flight on the replicas of `model`.
    [[nodiscard]] auto in_flight_on_replicas(std::string_view model) const
        -> int;

    /// Returns how many replicas of `model` could take work, leaving aside
    /// concurrency limits.
    [[nodiscard]] auto usable_replicas(std::string_view model) const -> int;

    /// Returns false if every usable replica of `model` is at its limit, so
    /// that choose() could only answer overloaded.
    [[nodiscard]] auto has_capacity(std::string_view model) const -> bool;

    /// Returns the number of runners known.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    using entry_pointer = std::unique_ptr<internal::runner_entry>;
    using replicas = std::vector<internal::replica>;

    auto find(std::string_view runner) const -> internal::runner_entry*;
    auto remove_from_index(internal::runner_entry& entry) -> void;
    auto add_to_index(internal::runner_entry& entry, replicas& old_replicas)
        -> void;
    auto refresh_leaving(internal::runner_entry& entry) -> void;
    auto hard_rejection_reason(const internal::replica& candidate,
                               const route_request& request) const
        -> std::optional<rejection_reason>;
    auto collect_candidates(const replicas& all, const route_request& request,
                            time_point now) -> void;
    auto drop_ejected(time_point now) -> void;
    auto assign_tiers(const route_request& request) -> void;
    auto best_tier() const -> unsigned;
    auto pick_by_affinity(const route_request& request, unsigned tier) const
        -> std::size_t;
    auto pick_by_load(unsigned tier) -> std::size_t;
    auto pick_by_stale_load(unsigned tier, time_point now) -> std::size_t;
    auto make_route(std::size_t chosen, const route_request& request) const
        -> route;
    auto no_candidate_error(const route_request& request) const -> error;

    duration report_lag_{0};
    router_settings settings_;
    random_source& random_;
    router_guards guards_;
    std::unordered_map<std::string, entry_pointer> runners_;
    std::unordered_map<std::string, replicas> models_;
    // Names of leaving runners with their boot ids.
    std::unordered_map<std::string, std::string> leaving_;
    // Scratch of choose(), kept to save allocations.
    std::vector<internal::candidate> candidates_;
    std::vector<rejected_candidate> rejected_;
};

/// Returns the hash of a prompt's first 256 bytes (XXH3, 64 bits), never 0
/// for a prompt that is not empty. Runners' cache events use the same hash.
[[nodiscard]] auto prefix_hash(std::string_view prompt) -> std::uint64_t;

} // namespace basilstream::coordination
