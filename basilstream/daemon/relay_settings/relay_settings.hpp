/// Settings of a daemon that relays requests by routes, read from a JSON file
/// and checked against a JSON Schema.
///
///     auto settings = load_relay_settings("entry-1.json");
///     if (!settings) { std::cerr << settings.error().detail_; }
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Limits that are the same for all daemons of a deployment.
struct shared_limits {
    /// Retry budget of a service in each window: this fraction of its requests
    /// plus `retry_allowance_` retries.
    double retry_ratio_ = 0.1;
    double retry_allowance_ = 10;
    seconds retry_window_{10};
    /// Minimum time between the last order to runners from one holder of the
    /// placement lease and the first from the next.
    milliseconds lease_{3000};
    /// Window over which loads from the weight store are counted.
    seconds load_window_{5};
    /// Time within which an announcement of a backend server, for example that
    /// it is draining, must be followed; likewise a configuration.
    milliseconds announcement_delay_{2000};
    milliseconds config_delay_{2000};
    /// What an organisation uses in each window stays below its limit for that
    /// window times (1 + `allowance_overrun_`), plus `allowance_slack_` units.
    seconds allowance_window_{8};
    double allowance_overrun_ = 0;
    double allowance_slack_ = 0;
    /// Memory of the VM in MB, if it is known.
    std::optional<std::size_t> memory_mb_;
};

/// How requests are spread over the backend servers of a service.
struct routing_settings {
    /// Servers are weighted by their speeds where the ratio of the 90th to the
    /// 10th percentile of these exceeds this.
    double speed_spread_ = 1.5;
};

/// Time limits of a shutdown.
struct stop_settings {
    /// Time from the stop request until the process is killed.
    milliseconds grace_{8000};
};

/// Settings of one relaying daemon.
struct relay_daemon_settings {
    std::string name_;
    std::string zone_;
    /// Listening address for requests of callers. All addresses are "IP:PORT".
    std::string caller_address_;
    /// Listening address for readiness checks.
    std::string readiness_address_;
    /// Listening address for clients that look up daemon endpoints.
    std::string directory_address_;
    /// Listening address for metrics and basilctl; empty for no such listener.
    std::string metrics_address_;
    /// Address of the record store.
    std::string store_address_;
    /// Listening address for messages of other daemons. The daemon uses the
    /// first free port from `first_peer_port_` to `last_peer_port_`.
    std::string peer_ip_;
    std::uint16_t first_peer_port_ = 0;
    std::uint16_t last_peer_port_ = 0;
    /// Time for which clients cache an endpoint response.
    milliseconds endpoint_time_to_live_{2000};
    shared_limits limits_;
    routing_settings routing_;
    /// Whether requests wait at the daemon for capacity, by priority, while
    /// callers compete for it.
    bool least_cost_ = false;
    stop_settings stop_;
    transport::logger_options logging_;
};

/// Reads and checks a file. The text of an error is one line that names the
/// file, the key, its value and the allowed values.
[[nodiscard]] auto load_relay_settings(const std::string& path)
    -> result<relay_daemon_settings>;

/// Like `load_relay_settings`, but parses `text`; errors name `source` as the
/// file.
[[nodiscard]] auto parse_relay_settings(std::string_view text,
                                        std::string_view source)
    -> result<relay_daemon_settings>;

/// What a settings file holds.
enum class settings_kind {
    /// Settings of a relaying daemon.
    relay,
    /// Settings of a daemon that serves the product's own interface.
    product,
    /// No JSON document: the file is not there or still being written.
    unreadable,
};

[[nodiscard]] auto settings_kind_of(const std::string& path) -> settings_kind;

[[nodiscard]] auto relay_settings_schema() -> std::string_view;

} // namespace basilstream::daemon
