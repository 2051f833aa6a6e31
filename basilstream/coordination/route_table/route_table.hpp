/// What operators declare for relayed traffic, and which route a request takes.
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
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// How often a request of a route may run.
enum class request_kind { idempotent, non_idempotent, streaming };

inline constexpr auto request_kind_names = name_table<request_kind, 3>{
    {{{request_kind::idempotent, "idempotent"},
      {request_kind::non_idempotent, "non_idempotent"},
      {request_kind::streaming, "streaming"}}}};

/// A share of a route's requests.
struct route_target {
    std::string service_;
    double weight_ = 1;
};

/// One route.
struct relay_route {
    std::string name_;
    /// Lower case, without a port.
    std::string host_;
    /// Begins and ends with a slash.
    std::string path_prefix_;
    request_kind kind_ = request_kind::idempotent;
    /// Longest time that a request may be kept waiting.
    milliseconds timeout_{30'000};
    /// Time to the answer, or to a stream's first event, that is wanted.
    milliseconds objective_{1000};
    /// 0 is the most urgent.
    int priority_ = 0;
    /// Backend servers on which one request may run.
    int attempts_ = 1;
    /// Whether requests name the parts of their prompts.
    bool names_prompt_parts_ = false;
    /// Whether a broken stream may go on at another backend server.
    bool resumable_ = false;
    /// Longest pause between a stream's events that is wanted.
    milliseconds longest_gap_{1000};
    std::vector<route_target> targets_;

    /// Whether a request may run again after it may have run.
    [[nodiscard]] auto is_repeatable() const -> bool {
        return kind_ == request_kind::idempotent ||
               (kind_ == request_kind::streaming && resumable_);
    }
};

/// A model that the runners of a service may hold.
struct service_model {
    std::string name_;
    double weights_mb_ = 0;
    /// From the weight store, a runner's memory and its disk.
    duration store_load_time_{};
    duration memory_load_time_{};
    duration disk_load_time_{};
    int adapters_ = 0;
    double adapter_mb_ = 0;
};

/// What a service's runners can do.
struct service_engine {
    int slots_ = 1;
    std::int64_t kv_tokens_ = 0;
    /// Memory of one runner for models and adapters.
    double weights_mb_ = 0;
    int adapter_slots_ = 0;
    /// Loads from the weight store that all runners may begin.
    double loads_per_second_ = 0;
    std::vector<service_model> models_;

    [[nodiscard]] auto find_model(std::string_view model) const
        -> const service_model*;
};

/// A service: runners, or backend servers of a plain service.
struct relay_service {
    std::string name_;
    std::string health_path_;
    /// Connections that one backend server accepts, from all daemons together.
    int connection_limit_ = 0;
    /// Set for runners.
    std::shared_ptr<const service_engine> engine_;
};

/// Bounds on what clients send.
struct client_limits {
    std::size_t header_bytes_ = std::size_t{16} * 1024;
    std::size_t body_bytes_ = std::size_t{4} << 20U;
    /// From a request's first byte to the end of its header.
    milliseconds header_timeout_{3000};
    /// After which an idle connection may be closed.
    milliseconds idle_timeout_{15'000};
};

/// One version of the whole configuration.
struct relay_config {
    std::uint64_t version_ = 0;
    std::vector<relay_route> routes_;
    std::vector<relay_service> services_;
    client_limits limits_;

    [[nodiscard]] auto find_service(std::string_view name) const
        -> const relay_service*;
};

/// The configuration in force, indexed by host and path.
class route_table {
public:
    /// Puts `config` in force if its version is higher. Returns whether it is.
    auto replace(std::shared_ptr<const relay_config> config) -> bool;
    /// Returns the route of `host` with the longest prefix that begins `path`
    /// (a query is ignored), or null. Valid while its config() is held.
    [[nodiscard]] auto match(std::string_view host, std::string_view path) const
        -> const relay_route*;
    /// Null until a configuration is known.
    [[nodiscard]] auto config() const
        -> const std::shared_ptr<const relay_config>& {
        return config_;
    }

private:
    using prefixes = std::unordered_map<std::string, const relay_route*>;
    std::shared_ptr<const relay_config> config_;
    std::unordered_map<std::string, prefixes> hosts_;
};

/// Returns the service for a request; `draw` in [0, 1) picks by weight.
[[nodiscard]] auto pick_target(const relay_route& route, double draw)
    -> const std::string&;

/// Returns how urgent the route's requests are among those of the services it
/// shares with other routes: 0 for the most urgent, ordered by priority and
/// then by objective.
[[nodiscard]] auto urgency_rank(const relay_config& config,
                                const relay_route& route) -> int;

} // namespace basilstream::coordination
