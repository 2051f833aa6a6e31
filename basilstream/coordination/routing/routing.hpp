/// Chooses a runner for each attempt of a request among the replicas of the
/// requested model. Plain services use the same router: a service is treated as
/// a model without versions, adapters or prompt prefixes.
///
///     auto routes = router{router_settings{.zone_ = "muc-a"}, random};
///     routes.update_runner(runner_info{...});
///     const auto chosen = routes.choose({.model_ = "acme/chat"}, now);
///     if (chosen) {
///         routes.start_attempt(chosen->runner_);
///         // ... send the attempt ...
///         routes.finish_attempt(chosen->runner_);
///     }
///
/// A decision examines only the replicas of one model, so its cost does not
/// grow with the number of runners. Not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
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
#include "basilstream/coordination/replica_shares/replica_shares.hpp"

namespace basilstream::coordination {

/// The main reason why a runner was chosen.
enum class route_reason {
    only_candidate,
    /// The runner's prefix cache holds the prefix.
    cached_prefix,
    /// Rendezvous hashing of the prefix selected the runner.
    prefix_affinity,
    least_loaded,
};

/// Why a candidate was not chosen. The reasons up to software_mismatch
/// exclude a candidate; the others rank it below the chosen one.
enum class rejection_reason {
    not_ready,
    leaving,
    excluded,
    ejected,
    version_mismatch,
    adapter_missing,
    at_limit,
    rate_limited,
    paused,
    software_mismatch,
    saturated,
    avoided,
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

inline constexpr auto rejection_reason_names = name_table<rejection_reason, 17>{
    {{{rejection_reason::not_ready, "not_ready"},
      {rejection_reason::leaving, "leaving"},
      {rejection_reason::excluded, "excluded"},
      {rejection_reason::ejected, "ejected"},
      {rejection_reason::version_mismatch, "version_mismatch"},
      {rejection_reason::adapter_missing, "adapter_missing"},
      {rejection_reason::at_limit, "at_limit"},
      {rejection_reason::rate_limited, "rate_limited"},
      {rejection_reason::paused, "paused"},
      {rejection_reason::software_mismatch, "software_mismatch"},
      {rejection_reason::saturated, "saturated"},
      {rejection_reason::avoided, "avoided"},
      {rejection_reason::over_load_bound, "over_load_bound"},
      {rejection_reason::prefix_not_cached, "prefix_not_cached"},
      {rejection_reason::other_zone, "other_zone"},
      {rejection_reason::lower_affinity, "lower_affinity"},
      {rejection_reason::more_loaded, "more_loaded"}}}};

/// A model on a runner. It accepts requests once `ready_` is set.
struct resident_model {
    std::string model_;
    std::string version_;
    std::vector<std::string> adapters_;
    bool ready_ = true;
};

/// Describes a runner or a backend server of a plain service.
struct runner_info {
    std::string name_ = {};
    std::string address_ = {};
    std::string zone_ = {};
    /// Identifies one run of the process; empty if unknown.
    std::string boot_id_ = {};
    /// Version of its software, as opposed to that of a model's weights; empty
    /// if unknown.
    std::string software_version_ = {};
    /// Number of requests that it runs concurrently.
    int slots_ = 1;
    /// Whether the runner is draining and must not receive new work.
    bool leaving_ = false;
    std::vector<resident_model> residents_;
};

/// A load report that a runner sends about itself. It may be out of date.
struct load_report {
    std::string runner_;
    /// Increases with each report of the same process; a report whose number
    /// is not higher than the last is ignored.
    std::uint64_t sequence_ = 0;
    int running_ = 0;
    int waiting_ = 0;
};

/// Reports that a runner's prefix cache stored or evicted a prefix. Events may
/// be delayed or lost.
struct cache_event {
    std::string runner_;
    /// Increases by one with each event of the same process, starting at 1.
    std::uint64_t sequence_ = 0;
    /// False for an eviction.
    bool stored_ = true;
    std::string model_;
    std::uint64_t prefix_hash_ = 0;
};

/// The requirements of an attempt. The views must outlive the call of choose().
struct route_request {
    std::string_view model_ = {};
    /// Empty means any version.
    std::string_view version_ = {};
    /// If set, only runners of this software version are eligible; none is if
    /// it is empty.
    std::optional<std::string_view> software_version_ = {};
    /// Empty means the base model.
    std::string_view adapter_ = {};
    /// From prefix_hash(); 0 means no affinity.
    std::uint64_t prefix_hash_ = 0;
    /// Runners on which earlier attempts of the request failed.
    std::span<const std::string> excluded_ = {};
    /// Runners that are chosen only if all others are saturated.
    std::span<const std::string> avoided_ = {};
    /// Whether a runner without the adapter is eligible. The code that calls
    /// choose() must then load the adapter before it sends the attempt.
    bool may_load_adapter_ = false;
    /// Whether to fill route::rejected_.
    bool explain_ = false;
};

/// A candidate that was not chosen, and why.
struct rejected_candidate {
    std::string runner_;
    rejection_reason reason_ = rejection_reason::not_ready;
};

/// The chosen runner and the grounds of the decision.
struct route {
    std::string runner_;
    std::string address_;
    std::string boot_id_;
    route_reason reason_ = route_reason::only_candidate;
    /// Whether the runner is in the daemon's availability zone.
    bool same_zone_ = true;
    /// Whether the runner has loaded the requested adapter.
    bool adapter_loaded_ = true;
    /// Estimated number of requests on the runner, without this one.
    double load_ = 0;
    /// Number of requests that the runner runs concurrently.
    int slots_ = 1;
    /// Estimated number of requests per slot on all candidates.
    double mean_load_per_slot_ = 0;
    /// Filled only if route_request::explain_ is set.
    std::vector<rejected_candidate> rejected_;
};

struct router_settings {
    /// The daemon's own availability zone.
    std::string zone_;
    /// Affinity is ignored for a replica whose load exceeds this multiple of
    /// its share of the model's load (consistent hashing with bounded loads;
    /// Mirrokni, Thorup and Zadimoghaddam, 2018).
    double load_factor_ = 1.25;
    /// Lower limit of the load bound, as a fraction of the replica's slots.
    double minimum_bound_share_ = 0.5;
    /// Age at which a load report is disregarded. Its weight falls linearly
    /// from 1 to 0 until then.
    duration report_lifetime_ = seconds{5};
    /// Typical time that a request spends on a runner, which determines how
    /// fast reported loads become stale. A stream of about 40 events at 20 ms
    /// each takes roughly a second.
    duration typical_duration_ = seconds{1};
    /// How often the shares of the replicas follow changes of what runners
    /// hold, and the age at which loads of models are disregarded.
    duration share_interval_ = milliseconds{500};
    duration model_loads_lifetime_ = seconds{15};
    /// Consecutive failures after which a runner is ejected temporarily.
    int failures_before_ejection_ = 3;
    /// Length of the first ejection. It doubles with each further one, up to
    /// `longest_ejection_`. A success resets it.
    duration first_ejection_ = seconds{1};
    duration longest_ejection_ = seconds{30};
    /// Maximum number of cached prefixes tracked per replica.
    std::size_t prefixes_per_replica_ = 4096;
};

/// Hard criteria that exclude a candidate. They can be replaced so that a test
/// can disable one and verify that its checks detect the violation.
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

/// Tracks runners and their load, and chooses a runner for each attempt.
class router {
public:
    router(router_settings settings, random_source& random,
           router_guards guards = {});
    ~router();

    /// Adds a runner or replaces its description. Keeps the in-flight count.
    /// Keeps the known cached prefixes and the latest load report unless the
    /// boot id changed. A runner once reported as leaving remains so until it
    /// is removed or its boot id changes.
    auto update_runner(const runner_info& info) -> void;

    /// Removes a runner. finish_attempt() may still be called for its attempts
    /// in flight.
    auto remove_runner(std::string_view runner) -> void;

    /// Excludes a runner from new work immediately. Also applies to a runner
    /// that is added later under this name, until its boot id changes.
    auto mark_leaving(std::string_view runner) -> void;

    /// Sets the age that load reports have when they are received. With a lag
    /// of 0, requests without a prefix hash go to the less loaded of two random
    /// replicas. Otherwise they are distributed by the load expected after the
    /// age of the reports.
    auto set_report_lag(duration lag) -> void { report_lag_ = lag; }

    /// Stores a load report received at `now`; ignores one that is not newer
    /// than the last, or of an unknown runner.
    auto on_load_report(const load_report& report, time_point now) -> void;

    /// Replaces the loads of the models that all daemons cause, in any unit.
    /// Requests are spread by them as far as load reports are out of date; see
    /// replica_shares.
    auto set_model_loads(std::map<std::string, double> loads, time_point now)
        -> void;

    /// Replaces the weights of the runners, by which loads are compared; a
    /// runner that is not named has none. Without any weights all choices and
    /// the random numbers that they take are those of a router that knows none.
    auto set_weights(std::map<std::string, server_weight> weights) -> void;

    /// Applies a cache event; ignores one that is not newer than the last, or
    /// of an unknown runner. A gap in the sequence may hide evictions, so it
    /// clears all cached prefixes of the runner.
    auto on_cache_event(const cache_event& event) -> void;

    /// Sets the maximum number of attempts of this daemon in flight on the
    /// runner.
    auto set_concurrency_limit(std::string_view runner, int limit) -> void;

    /// Excludes the runner until `time`, when it may accept another request
    /// within its rate limit.
    auto set_rate_limited_until(std::string_view runner, time_point time)
        -> void;

    /// Excludes the runner until `time`, because it has asked for a pause.
    auto set_paused_until(std::string_view runner, time_point time) -> void;

    /// Adjust the count of attempts in flight on the runner.
    auto start_attempt(std::string_view runner) -> void;
    auto finish_attempt(std::string_view runner) -> void;

    /// Record the outcome of an attempt for the ejection of failing runners.
    /// A rejection because no slot is free must not be counted as a failure.
    auto on_success(std::string_view runner) -> void;
    auto on_failure(std::string_view runner, time_point now) -> void;

    /// Chooses a runner. Errors, all with run status not_run and step routing:
    /// - not_found: no runner has the model, or none has the requested version
    /// - not_ready: the adapter is not loaded on any usable replica
    /// - unavailable: every replica is loading, leaving, excluded or of another
    ///   version
    /// - overloaded: no replica is usable and at least one is at its
    ///   concurrency or rate limit, or has asked for a pause
    [[nodiscard]] auto choose(const route_request& request, time_point now)
        -> result<route>;

    /// Chooses, among the runners that only their rate limit excludes, the one
    /// that is excluded for the shortest time. Returns nothing if there is
    /// none.
    [[nodiscard]] auto choose_rate_limited(const route_request& request,
                                           time_point now)
        -> std::optional<route>;

    /// Returns when the first pause ends of the runners that could be chosen
    /// but for their pause; nothing if there are none. Disregards
    /// route_request::excluded_, as a failure before a pause says little about
    /// the time after it.
    [[nodiscard]] auto first_pause_end(const route_request& request,
                                       time_point now) const
        -> std::optional<time_point>;

    /// Returns whether a runner of the software version holds `model` and is
    /// not leaving, regardless of limits.
    [[nodiscard]] auto has_replica(std::string_view model,
                                   std::string_view software_version) const
        -> bool;

    /// Returns whether the runner is known, is not leaving and has not asked
    /// for a pause.
    [[nodiscard]] auto accepts_work(std::string_view runner,
                                    time_point now) const -> bool;

    /// Returns the names of the models on a runner; empty if it is unknown.
    [[nodiscard]] auto models_on(std::string_view runner) const
        -> std::vector<std::string>;

    /// Returns the number of this daemon's attempts in flight on the runner.
    [[nodiscard]] auto in_flight(std::string_view runner) const -> int;

    /// Returns the number of requests per slot of a runner by its latest load
    /// report, whatever its age; 0 if the runner is unknown.
    [[nodiscard]] auto reported_load_per_slot(std::string_view runner) const
        -> double;

    /// Returns the number of this daemon's attempts, for any model, in flight
    /// on the runners that hold `model`.
    [[nodiscard]] auto in_flight_on_replicas(std::string_view model) const
        -> int;

    /// Returns the number of replicas of `model` that are ready and not
    /// leaving, regardless of concurrency limits.
    [[nodiscard]] auto usable_replicas(std::string_view model) const -> int;

    /// Returns false if `model` has usable replicas and all of them are at
    /// their concurrency limit, so that choose() would return overloaded.
    [[nodiscard]] auto has_capacity(std::string_view model) const -> bool;

    /// Returns the number of known runners.
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
                               const route_request& request,
                               time_point now) const
        -> std::optional<rejection_reason>;
    auto collect_candidates(const replicas& model_replicas,
                            const route_request& request, time_point now)
        -> void;
    auto drop_ejected(time_point now) -> void;
    auto assign_tiers(const route_request& request) -> void;
    auto best_tier() const -> unsigned;
    auto pick_by_affinity(const route_request& request, unsigned tier) const
        -> std::size_t;
    auto pick_by_load(unsigned tier) -> std::size_t;
    // Draws two candidates of the tier by their widths and returns the lower.
    auto pick_by_height(unsigned tier) -> std::size_t;
    auto pick_by_stale_load(unsigned tier, time_point now) -> std::size_t;
    // Returns nothing if no share of the columns' candidates is known.
    auto pick_by_share(const std::vector<load_column>& columns)
        -> std::optional<std::size_t>;
    auto refresh_shares(time_point now) -> void;
    // Returns the shares of the models on `runners`.
    auto
    shares_of(std::vector<model_load> loads,
              const std::vector<const internal::runner_entry*>& runners) const
        -> std::vector<std::vector<double>>;
    auto make_route(std::size_t chosen, const route_request& request) const
        -> route;
    auto no_candidate_error(const route_request& request) const -> error;

    duration report_lag_{0};
    router_settings settings_;
    random_source& random_;
    router_guards guards_;
    std::unordered_map<std::string, entry_pointer> runners_;
    std::unordered_map<std::string, replicas> models_;
    // Loads by model, and when they were last received.
    std::map<std::string, double> model_loads_;
    std::optional<time_point> model_loads_received_;
    time_point next_share_refresh_ = time_point::max();
    // Of all runners that have weights, also those not known yet.
    std::map<std::string, server_weight> weights_;
    // Boot ids of leaving runners by name; empty if the boot id is unknown.
    std::unordered_map<std::string, std::string> leaving_boot_ids_;
    // Working storage of choose(), kept to avoid allocations.
    std::vector<internal::candidate> candidates_;
    std::vector<rejected_candidate> rejected_;
};

/// Returns the 64-bit XXH3 hash of the first 256 bytes of a prompt. Returns 0
/// only for an empty prompt. Cache events of runners use the same hash.
[[nodiscard]] auto prefix_hash(std::string_view prompt) -> std::uint64_t;

} // namespace basilstream::coordination
