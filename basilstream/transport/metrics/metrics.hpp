/// Counters, gauges and time histograms (Boost.Histogram), written out as
/// Prometheus text.
///
///     auto registry = metrics_registry{};
///     auto& served = registry.add_counter("requests_total", "Requests.");
///     served.add();
///     registry.prometheus_text();
///
/// Recording is lock-free and safe from any thread; metrics are added before
/// the threads that use them start.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::transport {

/// A number that only grows.
class counter {
public:
    auto add(std::uint64_t amount = 1) -> void {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] auto value() const -> std::uint64_t {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Distribution of durations over fixed bounds from 0.5 ms to 60 s.
class duration_histogram {
public:
    duration_histogram();
    ~duration_histogram();
    duration_histogram(const duration_histogram&) = delete;
    auto operator=(const duration_histogram&) -> duration_histogram& = delete;

    auto record(duration value) -> void;
    /// Number of values recorded.
    [[nodiscard]] auto count() const -> std::uint64_t;
    /// Returns the upper bound, in seconds, of the bucket that holds quantile
    /// `share` (0 to 1); 0 when nothing was recorded.
    [[nodiscard]] auto quantile(double share) const -> double;

private:
    friend class metrics_registry;
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// All metrics of a process.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    auto operator=(const metrics_registry&) -> metrics_registry& = delete;

    /// `labels` is the inside of the braces, such as `code="overloaded"`.
    auto add_counter(std::string name, std::string help,
                     std::string labels = {}) -> counter&;
    auto add_histogram(std::string name, std::string help)
        -> duration_histogram&;
    /// `read` is called at each output, on the thread that asks for it.
    auto add_gauge(std::string name, std::string help,
                   std::function<double()> read, std::string labels = {})
        -> void;

    /// Returns all metrics in the Prometheus text format 0.0.4.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    struct entry;
    std::vector<std::unique_ptr<entry>> entries_;
};

} // namespace basilstream::transport
