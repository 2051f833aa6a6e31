#include "bench/policy_benchmark/least_loaded.hpp"

#include <algorithm>

namespace basilstream::bench {

least_loaded::least_loaded(const deployment& made, std::uint64_t seed,
                           int limit)
    : limit_{limit}, random_{seed}, loads_(made.runners_.size()),
      replicas_(made.models_.size()) {}

auto least_loaded::on_runner(const runner_state& state, double) -> void {
    for (auto& replicas : replicas_) {
        std::erase(replicas, state.runner_);
    }
    for (const auto& [model, version] : state.models_) {
        auto& replicas = replicas_[model];
        if (std::find(replicas.begin(), replicas.end(), state.runner_) ==
            replicas.end()) {
            replicas.push_back(state.runner_);
        }
    }
}

auto least_loaded::on_report(std::size_t runner, int running, int waiting,
                             double) -> void {
    loads_[runner] = {running + waiting, 0};
}

auto least_loaded::submit(request_index index, const trace_request& request,
                          double, double) -> traffic_answer {
    const auto& replicas = replicas_[request.model_];
    if (replicas.empty()) {
        return {index, traffic_outcome::refused, 0};
    }
    const auto start = random_.below(replicas.size());
    auto best = replicas[start];
    const auto load_of = [this](std::size_t runner) {
        return loads_[runner].reported_ + loads_[runner].since_report_;
    };
    for (auto step = std::size_t{1}; step < replicas.size(); ++step) {
        const auto runner = replicas[(start + step) % replicas.size()];
        if (load_of(runner) < load_of(best)) {
            best = runner;
        }
    }
    if (load_of(best) >= limit_) {
        return {index, traffic_outcome::refused, 0};
    }
    ++loads_[best].since_report_;
    return {index, traffic_outcome::admitted, best};
}

auto least_loaded::on_release(const traffic_release& release, double) -> void {
    --loads_[release.runner_].since_report_;
}

} // namespace basilstream::bench
