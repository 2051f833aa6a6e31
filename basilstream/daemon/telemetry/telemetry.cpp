#include "basilstream/daemon/telemetry/telemetry.hpp"

namespace basilstream::daemon {

telemetry::telemetry(transport::metrics_registry& registry,
                     transport::tracer& traces)
    : registry_{registry}, traces_{traces}, requests_{registry.add_counter(
                                                "basilstream_requests_total",
                                                "Requests of callers.")},
      served_{registry.add_counter("basilstream_served_total",
                                   "Requests answered whole.")},
      attempts_{registry.add_counter("basilstream_attempts_total",
                                     "Attempts sent to backend servers.")},
      retries_{registry.add_counter("basilstream_retries_total",
                                    "Attempts after the first.")},
      resumed_{registry.add_counter("basilstream_resumed_total",
                                    "Streams resumed on another runner.")},
      tokens_{registry.add_counter("basilstream_tokens_total",
                                   "Tokens delivered to callers.")},
      silent_{registry.add_counter("basilstream_silent_connections_total",
                                   "Connections broken off as silent.")},
      cancelled_{registry.add_counter("basilstream_cancelled_total",
                                      "Requests whose caller left.")},
      first_token_{registry.add_histogram(
          "basilstream_first_token_seconds",
          "Time from a request's arrival to its first token.")},
      token_interval_{
          registry.add_histogram("basilstream_token_interval_seconds",
                                 "Mean time between tokens of an attempt.")},
      queued_{registry.add_histogram("basilstream_queued_seconds",
                                     "Time in the admission queue.")},
      claim_{registry.add_histogram("basilstream_claim_seconds",
                                    "Time to claim an idempotency key.")} {
    for (const auto& [code, name] : error_code_names.rows_) {
        failures_[code] = &registry.add_counter(
            "basilstream_failures_total", "Requests that ended with an error.",
            "code=\"" + std::string{name} + "\"");
    }
}

auto telemetry::count_failure(error_code code) -> void {
    failures_.at(code)->add();
}

} // namespace basilstream::daemon
