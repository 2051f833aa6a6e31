// Distribution of latencies. Safe for concurrent use.
#pragma once

#include <memory>
#include <mutex>

#include "bench/load/load.hpp"

namespace basilstream::bench::internal {

class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    auto operator=(const latency_histogram&) -> latency_histogram& = delete;

    auto record(duration value) -> void;
    [[nodiscard]] auto summary() const -> latency_summary;

private:
    [[nodiscard]] auto quantile_ms(double share) const -> double;

    class implementation;
    mutable std::mutex mutex_;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::bench::internal
