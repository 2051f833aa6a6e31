#include <set>
#include <string>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/placement/placement.hpp"
#include "bench/capacity/capacity.hpp"

namespace basilstream::bench {
namespace {

using namespace coordination;

constexpr auto gigabyte = std::uint64_t{1} << 30U;
constexpr auto runners_at_target = 1700.0;
constexpr auto models_at_target = 450.0;
constexpr auto zones_at_target = 19;
constexpr auto regions_at_target = 5;
constexpr auto tokens_at_target = 890'000.0;
constexpr auto tokens_per_request = 228.0;
constexpr auto adapters_per_model = 3;
constexpr auto sizes = {100, 400, 900, 1700};

auto make_input(int runners) -> placement_input {
    auto input = placement_input{};
    const auto share = runners / runners_at_target;
    for (auto index = 0; index < runners; ++index) {
        const auto zone = index % zones_at_target;
        auto runner = placement_runner{};
        runner.name_ = "runner-" + std::to_string(index);
        runner.availability_zone_ = "zone-" + std::to_string(zone);
        runner.region_ = "region-" + std::to_string(zone % regions_at_target);
        runner.memory_bytes_ = 80 * gigabyte;
        runner.tokens_per_second_ = 614;
        input.runners_.push_back(runner);
    }
    const auto models = static_cast<int>(models_at_target * share);
    for (auto index = 0; index < models; ++index) {
        auto model = placement_model{};
        model.organisation_ = "organisation-" + std::to_string(index % 5);
        model.name_ = model.organisation_ + "/" + std::to_string(index);
        model.version_ = "v1";
        model.memory_bytes_ = (6 + index % 4 * 6) * gigabyte;
        for (auto adapter = 0; adapter < adapters_per_model; ++adapter) {
            model.adapters_.push_back(
                {std::to_string(adapter), "v1", gigabyte / 5});
        }
        input.models_.push_back(model);
    }
    for (auto index = 0; index < 5; ++index) {
        input.organisations_.push_back(
            {"organisation-" + std::to_string(index), 1, 10});
    }
    return input;
}

auto set_demand(placement_input& input, double share, random_source& random)
    -> void {
    input.demands_.clear();
    auto total = 0.0;
    auto weights = std::vector<double>{};
    for (auto index = std::size_t{0}; index < input.models_.size(); ++index) {
        weights.push_back((0.5 + random.fraction()) /
                          static_cast<double>(index + 10));
        total += weights.back();
    }
    for (auto index = std::size_t{0}; index < input.models_.size(); ++index) {
        const auto tokens = tokens_at_target * share * weights[index] / total;
        input.demands_.push_back(
            {input.models_[index].name_, tokens, tokens / tokens_per_request});
    }
}

auto apply(placement_input& input, placement_plan& plan) -> void {
    input.residents_ = std::move(plan.target_residents_);
    input.history_ = std::move(plan.history_);
    input.now_ += seconds{5};
}

// Returns a fleet on which everything wanted is resident.
auto settled(int runners, random_source& random) -> placement_input {
    // Fast to settle: what is measured is a plan in normal operation.
    auto filling = planner_settings{};
    filling.repairs_in_flight_ = 100'000;
    filling.adapters_per_plan_ = 100'000;
    filling.spares_per_plan_ = 0;
    auto input = make_input(runners);
    set_demand(input, runners / runners_at_target, random);
    constexpr auto filling_rounds = 4;
    for (auto round = 0; round < filling_rounds; ++round) {
        auto plan = planner{filling}.plan(input);
        apply(input, plan);
    }
    return input;
}

} // namespace

auto measure_planner() -> cost_curve {
    auto curve = cost_curve{"planner", "plan", "runners", {}};
    for (const auto runners : sizes) {
        auto random = seeded_random{1};
        const auto before = heap_bytes();
        auto input = settled(runners, random);
        const auto normal = planner{planner_settings{}};
        const auto seconds = seconds_of(4, [&] {
            set_demand(input, runners / runners_at_target, random);
            auto plan = normal.plan(input);
            apply(input, plan);
        });
        const auto bytes = heap_bytes() - before;
        curve.points_.push_back({static_cast<double>(runners), seconds, bytes});
    }
    return curve;
}

auto measure_repair_plan() -> cost_curve {
    auto curve = cost_curve{"planner", "plan after a zone loss", "runners", {}};
    for (const auto runners : sizes) {
        auto random = seeded_random{1};
        const auto before = heap_bytes();
        auto input = settled(runners, random);
        auto lost = std::set<std::string>{};
        for (const auto& one : input.runners_) {
            if (one.availability_zone_ == "zone-0") {
                lost.insert(one.name_);
            }
        }
        std::erase_if(input.runners_, [&](const auto& one) {
            return lost.contains(one.name_);
        });
        std::erase_if(input.residents_, [&](const auto& one) {
            return lost.contains(one.runner_);
        });
        const auto normal = planner{planner_settings{}};
        const auto seconds = seconds_of(2, [&] { (void)normal.plan(input); });
        curve.points_.push_back(
            {static_cast<double>(runners), seconds, heap_bytes() - before});
    }
    return curve;
}

} // namespace basilstream::bench
