#include "bench/policy_benchmark/experiment.hpp"

#include <atomic>
#include <functional>
#include <thread>

namespace basilstream::bench {
namespace {

constexpr auto fewest_accelerators = 12;
constexpr auto most_accelerators = 48;

// Runs `work(index)` for each index below `count`.
auto in_parallel(std::size_t count, int workers,
                 const std::function<void(std::size_t)>& work) -> void {
    auto next = std::atomic<std::size_t>{0};
    auto threads = std::vector<std::thread>{};
    for (auto index = 0; index < workers; ++index) {
        threads.emplace_back([&] {
            for (auto at = next++; at < count; at = next++) {
                work(at);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

auto shows_ideas(trace_kind kind) -> bool {
    return kind == trace_kind::drift || kind == trace_kind::tender_deadline ||
           kind == trace_kind::meet_morning || kind == trace_kind::zone_loss ||
           kind == trace_kind::log_outage || kind == trace_kind::rollout ||
           kind == trace_kind::lagging_reports;
}

auto burst_of(deployment_kind kind) -> trace_kind {
    return kind == deployment_kind::angebotswerk ? trace_kind::tender_deadline
                                                 : trace_kind::meet_morning;
}

auto least_accelerators(experiment what) -> int {
    auto low = fewest_accelerators;
    auto high = most_accelerators + 1;
    while (low < high) {
        what.accelerators_ = (low + high) / 2;
        if (run_one(what).attainment() >= attainment_goal) {
            high = what.accelerators_;
        } else {
            low = what.accelerators_ + 1;
        }
    }
    return low > most_accelerators ? 0 : low;
}

} // namespace

auto trace_lengths::of(trace_kind kind) const -> double {
    if (kind == trace_kind::drift) {
        return drift_;
    }
    return kind == trace_kind::log_outage ? log_outage_ : usual_;
}

auto compared_options() -> std::vector<run_options> {
    return {
        {"ours", placement_kind::ours, traffic_kind::ours, false},
        {"static_even", placement_kind::static_even, traffic_kind::ours, false},
        {"follow_demand", placement_kind::follow_demand, traffic_kind::ours,
         false},
        {"least_loaded", placement_kind::ours, traffic_kind::least_loaded,
         false},
        {"bound", placement_kind::ours, traffic_kind::omniscient, true}};
}

auto ablation_options() -> std::vector<run_options> {
    const auto placement = [](const char* name, placement_kind kind) {
        return run_options{name, kind, traffic_kind::ours, false};
    };
    const auto traffic = [](const char* name, traffic_kind kind) {
        return run_options{name, placement_kind::ours, kind, false};
    };
    return {placement("without_price", placement_kind::without_price),
            placement("without_peak", placement_kind::without_peak),
            placement("without_demand", placement_kind::without_demand),
            placement("without_redundancy", placement_kind::without_redundancy),
            placement("without_spares", placement_kind::without_spares),
            traffic("without_affinity", traffic_kind::ours_without_affinity),
            traffic("without_deadline", traffic_kind::ours_without_deadline),
            traffic("without_concurrency_limit",
                    traffic_kind::ours_without_concurrency_limit)};
}

auto plan_comparison(std::uint64_t seed, trace_lengths lengths)
    -> std::vector<experiment> {
    auto result = std::vector<experiment>{};
    for (const auto& [deployment, deployment_name] : deployment_names.rows_) {
        for (const auto& [trace, trace_name] : trace_names.rows_) {
            auto options = compared_options();
            if (shows_ideas(trace)) {
                for (auto& option : ablation_options()) {
                    options.push_back(std::move(option));
                }
            }
            for (auto& option : options) {
                result.push_back({deployment, trace, std::move(option), seed,
                                  lengths.of(trace)});
            }
        }
    }
    return result;
}

auto run_one(const experiment& what) -> run_figures {
    const auto made = make_deployment(what.deployment_, what.accelerators_);
    const auto events = make_trace(what.trace_, made, what.seed_, what.seconds_,
                                   what.utilisation_, what.load_accelerators_);
    return simulation{made, events, what.options_}.run();
}

auto run_all(const std::vector<experiment>& runs, int workers)
    -> std::vector<experiment_result> {
    auto results = std::vector<experiment_result>(runs.size());
    in_parallel(runs.size(), workers, [&](std::size_t index) {
        results[index] = {runs[index], run_one(runs[index])};
    });
    return results;
}

auto find_needs(std::uint64_t seed, double seconds, int workers)
    -> std::vector<need> {
    auto runs = std::vector<experiment>{};
    for (const auto& [deployment, name] : deployment_names.rows_) {
        for (const auto trace : {trace_kind::drift, burst_of(deployment)}) {
            auto options = compared_options();
            std::erase_if(options,
                          [](const auto& one) { return one.relaxed_; });
            for (auto& option : ablation_options()) {
                options.push_back(std::move(option));
            }
            for (auto& option : options) {
                runs.push_back(
                    {deployment, trace, std::move(option), seed, seconds});
            }
        }
    }
    auto results = std::vector<need>(runs.size());
    in_parallel(runs.size(), workers, [&](std::size_t index) {
        const auto& what = runs[index];
        results[index] = {what.deployment_, what.trace_, what.options_.name_,
                          least_accelerators(what)};
    });
    return results;
}

} // namespace basilstream::bench
