/// Settings of a daemon that relays by routes: a JSON file checked against a
/// schema.
///
///     auto settings = load_relay_settings("entry-1.json");
///     if (!settings) { std::cerr << settings.error().detail_; }
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Limits that all daemons of the deployment share.
struct shared_limits {
    /// Repeats of requests to a service: this share of its requests,
    double retry_ratio_ = 0.1;
    /// and so many besides, in each window.
    double retry_allowance_ = 10;
    seconds retry_window_{10};
    /// Two daemons' orders to one runner are at least this far apart.
    milliseconds lease_{3000};
    /// The window in which loads from the weight store are counted.
    seconds load_window_{5};
};

/// Times of a stop.
struct stop_settings {
    /// The process is killed this long after the request to stop.
    milliseconds grace_{8000};
};

/// All settings.
struct relay_daemon_settings {
    std::string name_;
    std::string zone_;
    /// "IP:PORT" each: for clients, for readiness checks, for clients that ask
    /// where to connect, for the metrics, and of the store.
    std::string caller_address_;
    std::string readiness_address_;
    std::string directory_address_;
    std::string metrics_address_;
    std::string store_address_;
    /// For the other daemons; the port is the first that is free.
    std::string peer_ip_;
    std::uint16_t first_peer_port_ = 0;
    std::uint16_t last_peer_port_ = 0;
    /// How long clients keep an answer of the directory.
    milliseconds endpoint_time_to_live_{2000};
    shared_limits limits_;
    stop_settings stop_;
    transport::logger_options logging_;
};

/// Reads and checks a file. The error's text is one line that names file, key,
/// value and what is allowed.
[[nodiscard]] auto load_relay_settings(const std::string& path)
    -> result<relay_daemon_settings>;

/// As `load_relay_settings`, from text.
[[nodiscard]] auto parse_relay_settings(std::string_view text,
                                        std::string_view source)
    -> result<relay_daemon_settings>;

/// Whether a settings file is one of these rather than of a daemon that
/// serves the product's own interface.
[[nodiscard]] auto has_relay_settings(const std::string& path) -> bool;

/// Returns the JSON Schema of the settings.
[[nodiscard]] auto relay_settings_schema() -> std::string_view;

} // namespace basilstream::daemon
