#include "bench/load/internal/latency.hpp"

#include <boost/histogram.hpp>

namespace basilstream::bench::internal {
namespace {

namespace histogram = boost::histogram;
using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

// From 10 microseconds to 100 seconds in steps of about one percent.
constexpr auto bins = 1600U;
constexpr auto lowest_ms = 0.01;
constexpr auto highest_ms = 100'000.0;

} // namespace

class latency_histogram::implementation {
public:
    using type = decltype(histogram::make_histogram(
        log_axis{bins, lowest_ms, highest_ms}));
    type values_ =
        histogram::make_histogram(log_axis{bins, lowest_ms, highest_ms});
    std::uint64_t count_ = 0;
};

latency_histogram::latency_histogram()
    : implementation_{std::make_unique<implementation>()} {}

latency_histogram::~latency_histogram() = default;

auto latency_histogram::record(duration value) -> void {
    const auto lock = std::lock_guard{mutex_};
    implementation_->values_(
        std::chrono::duration<double, std::milli>(value).count());
    ++implementation_->count_;
}

auto latency_histogram::summary() const -> latency_summary {
    constexpr auto median = 0.5;
    constexpr auto ninety_fifth = 0.95;
    constexpr auto ninety_ninth = 0.99;
    const auto lock = std::lock_guard{mutex_};
    return {implementation_->count_, quantile_ms(median),
            quantile_ms(ninety_fifth), quantile_ms(ninety_ninth)};
}

// Returns the upper edge of the bin that holds the quantile.
auto latency_histogram::quantile_ms(double share) const -> double {
    const auto wanted = share * static_cast<double>(implementation_->count_);
    auto seen = 0.0;
    if (implementation_->count_ == 0) {
        return 0;
    }
    for (auto&& bin : histogram::indexed(implementation_->values_,
                                         histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (seen >= wanted) {
            return bin.bin(0).upper();
        }
    }
    return highest_ms;
}

} // namespace basilstream::bench::internal
