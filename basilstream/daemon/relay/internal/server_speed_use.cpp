#include "basilstream/daemon/relay/internal/server_speed_use.hpp"

#include <cstdio>

namespace basilstream::daemon::internal {
namespace {

// Escapes a label value as the Prometheus text format asks for.
auto escaped(const std::string& text) -> std::string {
    auto value = std::string{};
    for (const auto letter : text) {
        if (letter == '"' || letter == '\\') {
            value.push_back('\\');
        }
        value.push_back(letter);
    }
    return value;
}

auto ratio_text(double ratio) -> std::string {
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.2f", ratio);
    return text.data();
}

} // namespace

server_speed_use::server_speed_use(const clock& time, transport::logger& log,
                                   transport::metrics_registry& metrics,
                                   coordination::router& routes, double spread)
    : clock_{time}, log_{log}, metrics_{metrics}, router_{routes},
      speeds_{{.spread_ = spread}} {
    for (const auto& [third, name] : speed_third_names.rows_) {
        attempts_.at(static_cast<std::size_t>(third)) = &metrics_.add_counter(
            "basilstream_attempts_by_speed_total",
            "Attempts by the third of their service's servers, by speed.",
            "third=\"" + std::string{name} + "\"");
    }
}

auto server_speed_use::update(bool fits) -> void {
    const auto now = clock_.now();
    if (fits) {
        speeds_.fit(now);
    } else {
        speeds_.refresh(now);
    }
    router_.set_weights(speeds_.weights(now));
    report_changes();
}

auto server_speed_use::on_attempt(const std::string& server) -> void {
    if (const auto third = speeds_.third_of(server, clock_.now())) {
        attempts_.at(static_cast<std::size_t>(*third))->add();
    }
}

auto server_speed_use::on_sample(const std::string& server,
                                 const std::string& model, duration gap)
    -> void {
    speeds_.on_stream(server, model, gap,
                      router_.reported_load_per_slot(server), clock_.now());
}

auto server_speed_use::report_changes() -> void {
    for (const auto& [service, known] : speeds_.services()) {
        const auto [reported, added] = reported_.try_emplace(service, false);
        if (added) {
            metrics_.add_gauge(
                "basilstream_speed_spread",
                "Ratio of the 90th to the 10th percentile of server speeds.",
                [this, name = service] {
                    return speeds_.services().at(name).spread_;
                },
                "service=\"" + escaped(service) + "\"");
        }
        if (reported->second == known.weighted_) {
            continue;
        }
        reported->second = known.weighted_;
        log_.info(known.weighted_ ? "weighting by server speed begins"
                                  : "weighting by server speed ends",
                  {{"service", service},
                   {"spread", ratio_text(known.spread_)},
                   {"servers", std::to_string(known.known_servers_)}});
    }
}

} // namespace basilstream::daemon::internal
