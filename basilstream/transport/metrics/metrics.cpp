#include "basilstream/transport/metrics/metrics.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <set>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>

namespace basilstream::transport {
namespace {

namespace histogram = boost::histogram;

// Upper bounds of the buckets, in seconds.
constexpr auto bounds = std::array{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.078, 0.1,  0.15,
    0.25,   0.5,   0.75,   1.0,   1.3,  2.0,   5.0,  10.0,  30.0, 60.0};

using safe_count = histogram::accumulators::thread_safe<std::uint64_t>;
using bucket_axis = histogram::axis::variable<>;
using bucket_histogram =
    histogram::histogram<std::tuple<bucket_axis>,
                         histogram::dense_storage<safe_count>>;

auto number(double value) -> std::string {
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

} // namespace

class duration_histogram::implementation {
public:
    // The axis starts at 0, so that the underflow bin stays empty.
    static auto edges() -> std::vector<double> {
        auto all = std::vector<double>{0.0};
        all.insert(all.end(), bounds.begin(), bounds.end());
        return all;
    }

    bucket_histogram buckets_{std::make_tuple(bucket_axis(edges())),
                              histogram::dense_storage<safe_count>{}};
    std::atomic<std::int64_t> sum_ns_{0};
    std::atomic<std::uint64_t> count_{0};

    // Values in the bucket whose upper bound is bounds[index]; the one after
    // the last holds the rest.
    [[nodiscard]] auto bucket(std::size_t index) const -> std::uint64_t {
        return buckets_.at(static_cast<int>(index));
    }
};

duration_histogram::duration_histogram()
    : implementation_{std::make_unique<implementation>()} {}

duration_histogram::~duration_histogram() = default;

auto duration_histogram::record(duration value) -> void {
    implementation_->buckets_(std::chrono::duration<double>(value).count());
    implementation_->sum_ns_.fetch_add(value.count(),
                                       std::memory_order_relaxed);
    implementation_->count_.fetch_add(1, std::memory_order_relaxed);
}

auto duration_histogram::count() const -> std::uint64_t {
    return implementation_->count_.load(std::memory_order_relaxed);
}

auto duration_histogram::quantile(double share) const -> double {
    const auto wanted =
        std::ceil(share * static_cast<double>(implementation_->count_.load()));
    auto seen = 0.0;
    for (auto index = std::size_t{0}; index < bounds.size(); ++index) {
        seen += static_cast<double>(implementation_->bucket(index));
        if (seen >= wanted && seen > 0) {
            return bounds.at(index);
        }
    }
    return seen > 0 ? bounds.back() : 0.0;
}

struct metrics_registry::entry {
    std::string name_;
    std::string help_;
    std::string labels_;
    counter counter_;
    std::unique_ptr<duration_histogram> histogram_;
    std::function<double()> gauge_;

    auto append_histogram(std::string& text) const -> void {
        auto total = std::uint64_t{0};
        for (auto index = std::size_t{0}; index < bounds.size(); ++index) {
            total += histogram_->implementation_->bucket(index);
            text += name_ + "_bucket{le=\"" + number(bounds.at(index)) +
                    "\"} " + std::to_string(total) + "\n";
        }
        const auto count = std::to_string(histogram_->count());
        const auto sum =
            static_cast<double>(histogram_->implementation_->sum_ns_.load()) /
            1e9;
        text += name_ + "_bucket{le=\"+Inf\"} " + count + "\n";
        text += name_ + "_sum " + number(sum) + "\n";
        text += name_ + "_count " + count + "\n";
    }
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

auto metrics_registry::add_counter(std::string name, std::string help,
                                   std::string labels) -> counter& {
    auto made = std::make_unique<entry>();
    made->name_ = std::move(name);
    made->help_ = std::move(help);
    made->labels_ = std::move(labels);
    entries_.push_back(std::move(made));
    return entries_.back()->counter_;
}

auto metrics_registry::add_histogram(std::string name, std::string help)
    -> duration_histogram& {
    auto made = std::make_unique<entry>();
    made->name_ = std::move(name);
    made->help_ = std::move(help);
    made->histogram_ = std::make_unique<duration_histogram>();
    entries_.push_back(std::move(made));
    return *entries_.back()->histogram_;
}

auto metrics_registry::add_gauge(std::string name, std::string help,
                                 std::function<double()> read,
                                 std::string labels) -> void {
    auto made = std::make_unique<entry>();
    made->name_ = std::move(name);
    made->help_ = std::move(help);
    made->gauge_ = std::move(read);
    made->labels_ = std::move(labels);
    entries_.push_back(std::move(made));
}

auto metrics_registry::prometheus_text() const -> std::string {
    auto text = std::string{};
    auto described = std::set<std::string>{};
    for (const auto& row : entries_) {
        const auto* type = "counter";
        if (row->histogram_) {
            type = "histogram";
        } else if (row->gauge_) {
            type = "gauge";
        }
        if (described.insert(row->name_).second) {
            text += "# HELP " + row->name_ + " " + row->help_ + "\n# TYPE " +
                    row->name_ + " " + type + "\n";
        }
        if (row->histogram_) {
            row->append_histogram(text);
        } else if (row->gauge_) {
            text += row->name_ +
                    (row->labels_.empty() ? "" : "{" + row->labels_ + "}") +
                    " " + number(row->gauge_()) + "\n";
        } else {
            text += row->name_ +
                    (row->labels_.empty() ? "" : "{" + row->labels_ + "}") +
                    " " + std::to_string(row->counter_.value()) + "\n";
        }
    }
    return text;
}

} // namespace basilstream::transport
