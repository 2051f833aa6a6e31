/// The metrics and the tracer of a daemon, as members.
///
///     telemetry.first_token_.record(duration);
///     telemetry.count_failure(error_code::overloaded);
#pragma once

#include <functional>
#include <map>
#include <string>

#include "basilstream/base/error/error.hpp"
#include "basilstream/transport/metrics/metrics.hpp"
#include "basilstream/transport/tracing/tracing.hpp"

namespace basilstream::daemon {

using transport::span;

/// Metrics of one daemon. Recording is safe from any thread.
class telemetry {
public:
    telemetry(transport::metrics_registry& registry, transport::tracer& traces);

    /// Counts a request that ended with an error.
    auto count_failure(error_code code) -> void;

    /// Called with the tokens that each attempt generated, by model. Control
    /// thread only.
    std::function<void(const std::string& model, std::uint64_t tokens)>
        on_served_ = [](const std::string&, std::uint64_t) {
        };
    transport::metrics_registry& registry_;
    transport::tracer& traces_;
    transport::counter& requests_;
    transport::counter& served_;
    transport::counter& attempts_;
    transport::counter& retries_;
    transport::counter& resumed_;
    transport::counter& tokens_;
    transport::counter& silent_;
    transport::counter& cancelled_;
    transport::duration_histogram& first_token_;
    transport::duration_histogram& token_interval_;
    transport::duration_histogram& queued_;
    transport::duration_histogram& claim_;

private:
    std::map<error_code, transport::counter*> failures_;
};

} // namespace basilstream::daemon
