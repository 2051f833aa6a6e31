#include "bench/policy_benchmark/trace.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>

#include "basilstream/base/random/random.hpp"

namespace basilstream::bench {
namespace {

constexpr auto mean_output_tokens = 228.0;
constexpr auto longest_output = 1024.0;
constexpr auto prefixes_per_model = 120;
constexpr auto tenfold = 10.0;
// Seconds over which rates are constant.
constexpr auto rate_interval = 5.0;

// Factor on a model's demand at `progress` (0 to 1) of the trace.
using rate_curve = std::function<double(std::size_t model, double progress)>;

auto steady_curve() -> rate_curve {
    return [](std::size_t, double) {
        return 1.0;
    };
}

// The models of one organisation rise tenfold up to a deadline and fall off
// at once; they are not among the most used ones at rest.
auto deadline_curve() -> rate_curve {
    return [](std::size_t model, double progress) {
        const auto involved = model % 5 == 3;
        if (!involved || progress < 0.25 || progress > 0.75) {
            return 1.0;
        }
        return 1 + (tenfold - 1) * (progress - 0.25) / 0.5;
    };
}

// Everything starts from a fifth and is at its peak after a few minutes; half
// of the models take part.
auto morning_curve() -> rate_curve {
    return [](std::size_t model, double progress) {
        const auto ramp = std::clamp((progress - 0.1) / 0.25, 0.0, 1.0);
        const auto top = model % 2 == 1 ? 2.0 : 0.6;
        return 0.2 + (top - 0.2) * ramp;
    };
}

// Each model moves tenfold up and down with its own phase.
auto drift_curve(random_source& random, std::size_t models) -> rate_curve {
    auto phases = std::vector<double>(models);
    for (auto& phase : phases) {
        phase = 2 * std::numbers::pi * random.fraction();
    }
    return [phases](std::size_t model, double progress) {
        const auto angle = 2 * std::numbers::pi * progress + phases[model];
        return std::pow(tenfold, std::sin(angle) / 2);
    };
}

auto curve_of(trace_kind kind, random_source& random, std::size_t models)
    -> rate_curve {
    switch (kind) {
    case trace_kind::tender_deadline:
        return deadline_curve();
    case trace_kind::meet_morning:
        return morning_curve();
    case trace_kind::drift:
    case trace_kind::lagging_reports:
    case trace_kind::log_outage:
        return drift_curve(random, models);
    default:
        return steady_curve();
    }
}

auto faults_of(trace_kind kind, double seconds) -> std::vector<fault> {
    switch (kind) {
    case trace_kind::runner_loss:
        return {{0.3 * seconds, fault_kind::runner_lost, 1},
                {0.6 * seconds, fault_kind::runner_lost, 5}};
    case trace_kind::zone_loss:
        return {{0.4 * seconds, fault_kind::zone_lost, 1}};
    case trace_kind::log_outage:
        // A VM is lost while no order can be given.
        return {{0.1 * seconds, fault_kind::log_down, 0},
                {0.4 * seconds, fault_kind::runner_lost, 2},
                {0.9 * seconds, fault_kind::log_up, 0}};
    case trace_kind::rollout:
        return {{0.2 * seconds, fault_kind::new_versions, 0}};
    default:
        return {};
    }
}

// Draws from an exponential distribution.
auto exponential(random_source& random, double mean) -> double {
    return -mean * std::log(1 - random.fraction());
}

auto draw_request(random_source& random, std::uint32_t model, double at,
                  int entry_vms) -> trace_request {
    auto one = trace_request{};
    one.arrival_ = at;
    one.model_ = model;
    one.entry_vm_ = static_cast<std::uint32_t>(
        random.below(static_cast<std::uint64_t>(entry_vms)));
    // Few prefixes are used much: the square of a uniform number.
    const auto rank = random.fraction() * random.fraction();
    const auto prefix = static_cast<std::uint64_t>(rank * prefixes_per_model);
    one.prefix_ = (std::uint64_t{model} << 32U) + prefix + 1;
    one.prompt_tokens_ = 200 + static_cast<int>(200 * ((one.prefix_ * 7) % 14));
    const auto tokens = exponential(random, mean_output_tokens);
    one.output_tokens_ =
        static_cast<int>(std::clamp(tokens, 8.0, longest_output));
    return one;
}

// Mean of the total rate over the trace relative to that at rest.
auto mean_factor(const rate_curve& curve, const deployment& made) -> double {
    constexpr auto samples = 100;
    auto total = 0.0;
    for (auto sample = 0; sample < samples; ++sample) {
        for (auto model = std::size_t{0}; model < made.popularity_.size();
             ++model) {
            total += made.popularity_[model] *
                     curve(model, (sample + 0.5) / samples);
        }
    }
    return total / samples;
}

// Bursts keep their shape: the demand at rest is scaled so that the mean over
// the trace is the stated load.
auto base_rate(const rate_curve& curve, const deployment& made,
               double utilisation, int accelerators) -> double {
    const auto tokens =
        utilisation * accelerators * runner_capacity(made.speed_);
    return tokens / mean_output_tokens / mean_factor(curve, made);
}

} // namespace

auto make_trace(trace_kind kind, const deployment& made, std::uint64_t seed,
                double seconds, double utilisation, int accelerators) -> trace {
    auto random = seeded_random{seed};
    const auto models = made.models_.size();
    const auto curve = curve_of(kind, random, models);
    const auto rate = base_rate(curve, made, utilisation, accelerators);
    auto result = trace{};
    result.kind_ = kind;
    result.seconds_ = seconds;
    result.report_lag_ = kind == trace_kind::lagging_reports ? 8 : 0.5;
    result.faults_ = faults_of(kind, seconds);
    for (auto model = std::size_t{0}; model < models; ++model) {
        const auto intervals =
            static_cast<int>(std::ceil(seconds / rate_interval));
        for (auto interval = 0; interval < intervals; ++interval) {
            const auto start = interval * rate_interval;
            const auto factor = curve(model, start / seconds);
            const auto mean = 1 / (rate * made.popularity_[model] * factor);
            auto at = start + exponential(random, mean);
            while (at < start + rate_interval) {
                result.requests_.push_back(
                    draw_request(random, static_cast<std::uint32_t>(model), at,
                                 made.entry_vms_));
                at += exponential(random, mean);
            }
        }
    }
    std::stable_sort(result.requests_.begin(), result.requests_.end(),
                     [](const trace_request& a, const trace_request& b) {
                         return a.arrival_ < b.arrival_;
                     });
    return result;
}

} // namespace basilstream::bench
