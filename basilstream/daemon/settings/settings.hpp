/// Loads a daemon's settings from a JSON file and validates them against a
/// schema.
///
///     auto settings = load_settings("entry-1.json");
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

/// Listener for callers.
struct caller_settings {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    unsigned threads_ = 2;
    unsigned max_connections_ = 4096;
    std::size_t max_body_bytes_ = std::size_t{1} << 20U;
};

/// Listener for operators' status requests.
struct admin_settings {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
};

/// Listener for other daemons, and the daemons to contact first.
struct peer_settings {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::vector<std::string> seeds_;
};

/// Addresses and limits of the platform's services.
struct platform_settings {
    std::string log_url_;
    std::string vm_list_url_;
    std::string vm_list_path_ = "/v1/vms";
    milliseconds vm_list_interval_{1000};
    /// This daemon's share of the log's append rate.
    double appends_per_second_ = 20;
};

/// Deadlines, time-outs and limits for requests.
struct request_settings {
    milliseconds first_token_deadline_{5000};
    milliseconds deadline_{120'000};
    std::size_t queue_capacity_ = 1024;
    std::size_t max_open_requests_ = 4096;
    /// A stream that delivers no piece for this long is aborted.
    milliseconds progress_timeout_{2000};
    milliseconds first_piece_timeout_{10'000};
    milliseconds report_interval_{1000};
};

/// Limits of the whole deployment.
struct deployment_settings {
    /// Control shards; one, or one named after each availability zone.
    std::vector<std::string> shards_ = {"default"};
    unsigned loads_per_second_ = 2;
    unsigned loads_at_once_ = 15;
    unsigned adapters_in_flight_ = 120;
    milliseconds plan_interval_{2000};
    unsigned replicas_ = 2;
};

/// Trace export and sampling.
struct trace_settings {
    /// Zipkin v2 collector, `http://IP:PORT/api/v2/spans`; tracing is off if
    /// empty.
    std::string zipkin_url_;
    /// Fraction of requests traced, from 0 to 1, if the caller sent no sampling
    /// decision.
    double sample_ = 1.0;
};

/// All settings.
struct daemon_settings {
    std::string name_;
    std::string zone_;
    caller_settings caller_;
    admin_settings admin_;
    peer_settings peer_;
    platform_settings platform_;
    request_settings requests_;
    deployment_settings deployment_;
    trace_settings trace_;
    transport::logger_options logging_;
    /// Time to live of an endpoint answer.
    milliseconds endpoint_time_to_live_{5000};
};

/// Loads and validates a settings file. The error is a single line that names
/// the file, key, value and permitted values.
[[nodiscard]] auto load_settings(const std::string& path)
    -> result<daemon_settings>;

/// Parses and validates settings from `text`; `source` names it in errors.
[[nodiscard]] auto parse_settings(std::string_view text,
                                  std::string_view source)
    -> result<daemon_settings>;

/// Returns the JSON Schema of the settings.
[[nodiscard]] auto settings_schema() -> std::string_view;

} // namespace basilstream::daemon
