#include "bench/policy_benchmark/deployment.hpp"

#include <array>
#include <cmath>

namespace basilstream::bench {
namespace {

constexpr auto gigabyte = std::uint64_t{1} << 30U;
constexpr auto runner_memory = 80 * gigabyte;
constexpr auto adapter_memory = gigabyte / 5;
constexpr auto organisations_per_deployment = 5;
constexpr auto token_interval_goal = 0.078;
// Share of a runner's time that goes to prompts.
constexpr auto prefill_share = 0.15;
constexpr auto model_gigabytes = std::array{8, 12, 6, 16, 10, 24, 12, 8};

struct deployment_shape {
    std::array<const char*, 3> zones_;
    int models_;
    int adapters_;
    double move_price_;
    double network_delay_;
    int loads_at_once_;
};

auto shape_of(deployment_kind kind) -> deployment_shape {
    if (kind == deployment_kind::angebotswerk) {
        return {{"muc-a", "muc-b", "muc-c"}, 35, 95, 30, 0.007, 25};
    }
    return {{"dk-west-a", "dk-west-b", "dk-west-c"}, 20, 110, 8, 0.005, 15};
}

auto two_digits(int number) -> std::string {
    return (number < 10 ? "0" : "") + std::to_string(number);
}

auto add_models(deployment& made, const deployment_shape& shape) -> void {
    auto total = 0.0;
    for (auto index = 0; index < shape.models_; ++index) {
        auto model = coordination::placement_model{};
        const auto owner = index % organisations_per_deployment;
        model.organisation_ = "organisation-" + std::to_string(owner);
        model.name_ = model.organisation_ + "/model-" + two_digits(index);
        model.version_ = "v1";
        model.memory_bytes_ =
            gigabyte * static_cast<std::uint64_t>(
                           model_gigabytes[static_cast<std::size_t>(index) %
                                           model_gigabytes.size()]);
        const auto adapters = shape.adapters_ / shape.models_ +
                              (index < shape.adapters_ % shape.models_ ? 1 : 0);
        for (auto adapter = 0; adapter < adapters; ++adapter) {
            model.adapters_.push_back(
                {"adapter-" + two_digits(adapter), "v1", adapter_memory});
        }
        made.models_.push_back(model);
        // Zipf's law with exponent 0.9.
        made.popularity_.push_back(std::pow(index + 1, -0.9));
        total += made.popularity_.back();
    }
    for (auto& share : made.popularity_) {
        share /= total;
    }
}

} // namespace

auto runner_capacity(const engine_speed& speed) -> double {
    const auto requests =
        (token_interval_goal - speed.base_step_) / speed.step_per_request_;
    return requests / token_interval_goal * (1 - prefill_share);
}

auto make_deployment(deployment_kind kind, int runners) -> deployment {
    const auto shape = shape_of(kind);
    auto made = deployment{};
    made.kind_ = kind;
    made.network_delay_ = shape.network_delay_;
    made.loads_at_once_ = shape.loads_at_once_;
    for (auto index = 0; index < runners; ++index) {
        auto runner = coordination::placement_runner{};
        runner.name_ = "runner-" + two_digits(index);
        runner.availability_zone_ =
            shape.zones_[static_cast<std::size_t>(index) % 3];
        runner.region_ = deployment_names.name_of(kind);
        runner.memory_bytes_ = runner_memory;
        runner.tokens_per_second_ = runner_capacity(made.speed_);
        made.runners_.push_back(runner);
    }
    for (auto index = 0; index < organisations_per_deployment; ++index) {
        made.organisations_.push_back(
            {"organisation-" + std::to_string(index), 1, shape.move_price_});
    }
    add_models(made, shape);
    return made;
}

} // namespace basilstream::bench
