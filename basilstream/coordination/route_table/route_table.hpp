/// Holds the operators' configuration of relayed traffic and finds the route of
/// a request.
///
///     auto table = route_table{};
///     table.replace(std::make_shared<const relay_config>(newest));
///     if (const auto* found = table.match("api.example", "/drafts/7")) {
///         const auto& service = pick_target(*found, random.fraction());
///     }
///
/// Not safe for concurrent use; a relay_config is immutable once shared.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// Whether requests of a route may be retried. A streaming request may be
/// retried if the route is resumable.
enum class request_kind { idempotent, non_idempotent, streaming };

inline constexpr auto request_kind_names = name_table<request_kind, 3>{
    {{{request_kind::idempotent, "idempotent"},
      {request_kind::non_idempotent, "non_idempotent"},
      {request_kind::streaming, "streaming"}}}};

/// A service that receives a share of a route's requests, proportional to
/// `weight_`.
struct route_target {
    std::string service_;
    double weight_ = 1;
};

/// Assigns the requests of a host and path prefix to services.
struct relay_route {
    std::string name_;
    /// Lower case, without a port.
    std::string host_;
    /// Starts and ends with a slash.
    std::string path_prefix_;
    request_kind kind_ = request_kind::idempotent;
    /// Time from the arrival of a request to its deadline.
    milliseconds timeout_{30'000};
    /// Target for the time to the answer, or to the first event of a stream.
    milliseconds objective_{1000};
    /// 0 is the most urgent.
    int priority_ = 0;
    /// Maximum number of attempts of a request that may have run on a backend
    /// server. Attempts that are known not to have run are not counted.
    int attempts_ = 1;
    /// Whether requests identify the parts of their prompts.
    bool identifies_prompt_parts_ = false;
    /// Whether an interrupted stream can be resumed on another backend server.
    bool resumable_ = false;
    /// Target for the longest pause between the events of a stream.
    milliseconds longest_gap_{1000};
    /// Whether requests need no API key even if the configuration requires one.
    bool public_ = false;
    std::vector<route_target> targets_;

    /// Returns whether a request that may have run can be run again.
    [[nodiscard]] auto is_repeatable() const -> bool {
        return kind_ == request_kind::idempotent ||
               (kind_ == request_kind::streaming && resumable_);
    }
};

/// A model that the runners of a service may load.
struct service_model {
    std::string name_;
    double weights_mb_ = 0;
    /// Time to load the weights from the weight store, or from a runner's own
    /// memory or disk.
    duration store_load_time_{};
    duration memory_load_time_{};
    duration disk_load_time_{};
    /// Number of adapters of the model.
    int adapters_ = 0;
    /// Size of an adapter.
    double adapter_mb_ = 0;
};

/// Capacity of each runner of a service, and the models that it may load.
struct service_engine {
    /// Number of requests that a runner runs concurrently.
    int slots_ = 1;
    /// Capacity of a runner's KV cache.
    std::int64_t kv_tokens_ = 0;
    /// Memory of a runner for the weights of models and adapters.
    double weights_mb_ = 0;
    /// Maximum number of adapters on a runner.
    int adapter_slots_ = 0;
    /// Rate at which all runners together may start loads from the weight
    /// store.
    double loads_per_second_ = 0;
    std::vector<service_model> models_;

    /// Returns null if the model is not declared.
    [[nodiscard]] auto find_model(std::string_view model) const
        -> const service_model*;
};

/// A group of runners, or the backend servers of a plain service.
struct relay_service {
    std::string name_;
    std::string health_path_;
    /// Maximum number of connections to a backend server from all daemons
    /// together; 0 if not set.
    int connection_limit_ = 0;
    /// Null for a plain service.
    std::shared_ptr<const service_engine> engine_;
};

/// What a request costs of its organisation's allowance.
enum class allowance_unit {
    /// Each request costs 1.
    requests,
    /// Prompt and output tokens that the request declares.
    tokens,
};

/// A customer whose callers authenticate by API key.
struct organisation {
    std::string name_;
    std::vector<std::string> api_keys_;
    /// 0 is the most urgent; empty if only the routes' priorities apply.
    std::optional<int> priority_;
    allowance_unit unit_ = allowance_unit::requests;
    /// Cost of a request that declares no tokens, with the unit `tokens`.
    double default_cost_ = 1;
    /// Allowance over all daemons, in units per second; 0 means no limit.
    double rate_per_second_ = 0;
    /// Units that may be used at once in addition.
    double burst_ = 0;
};

/// Limits on client connections and requests.
struct client_limits {
    std::size_t header_bytes_ = std::size_t{16} * 1024;
    std::size_t body_bytes_ = std::size_t{4} << 20U;
    /// Maximum time from the first byte of a request to the end of its header.
    milliseconds header_timeout_{3000};
    /// Time after which an idle connection may be closed.
    milliseconds idle_timeout_{15'000};
};

/// One version of the configuration.
struct relay_config {
    std::uint64_t version_ = 0;
    std::vector<relay_route> routes_;
    std::vector<relay_service> services_;
    client_limits limits_;
    std::vector<organisation> organisations_;
    /// Whether requests need an API key. Also set if every organisation of the
    /// record was invalid, so that an invalid record does not open the service
    /// to everyone.
    bool requires_keys_ = false;

    /// Returns null if the service is not declared.
    [[nodiscard]] auto find_service(std::string_view name) const
        -> const relay_service*;
};

/// Indexes the current configuration by host and path prefix.
class route_table {
public:
    /// Replaces the configuration if the version of `config` is higher. Returns
    /// whether it did.
    auto replace(std::shared_ptr<const relay_config> config) -> bool;
    /// Returns the route of `host` with the longest path prefix of `path`
    /// (without its query), or null if there is none. The pointer is valid as
    /// long as the current config() is alive.
    [[nodiscard]] auto match(std::string_view host, std::string_view path) const
        -> const relay_route*;
    /// Returns null until the first call of replace().
    [[nodiscard]] auto config() const
        -> const std::shared_ptr<const relay_config>& {
        return config_;
    }

private:
    using prefixes = std::unordered_map<std::string, const relay_route*>;
    std::shared_ptr<const relay_config> config_;
    std::unordered_map<std::string, prefixes> hosts_;
};

/// Returns the host in lower case and without its port.
[[nodiscard]] auto canonical_host(std::string_view host) -> std::string;

/// Returns the service of a target chosen with probability proportional to its
/// weight. `draw` is uniformly distributed in [0, 1).
[[nodiscard]] auto pick_target(const relay_route& route, double draw)
    -> const std::string&;

/// Returns the rank of a route among the routes that share a service with it:
/// the number of distinct (priority, objective) pairs that order before its
/// own. 0 is the most urgent.
[[nodiscard]] auto urgency_rank(const relay_config& config,
                                const relay_route& route) -> int;

} // namespace basilstream::coordination
