#include <algorithm>

#include "basilstream/base/invariant/invariant.hpp"
#include "bench/policy_benchmark/simulation.hpp"

namespace basilstream::bench {
namespace {

using coordination::resident_state;

auto percentile(std::vector<float>& values, double share) -> double {
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

} // namespace

auto simulation::announce(std::size_t index) -> void {
    auto state = runner_state{index, runners_[index].gone_, {}};
    const auto& name = made_.runners_[index].name_;
    for (const auto& [id, one] : residents_) {
        if (one.runner_ == name && one.adapter_.empty() &&
            one.state_ == resident_state::ready) {
            state.models_.emplace_back(model_index_.at(one.model_),
                                       one.version_);
        }
    }
    for (auto& vm : entry_vms_) {
        vm->on_runner(state, now_);
    }
}

auto simulation::check_reachable() -> void {
    if (now_ < 0) {
        return;
    }
    auto reachable = std::vector<bool>(made_.models_.size());
    for (const auto& [id, one] : residents_) {
        if (one.adapter_.empty() && one.state_ == resident_state::ready) {
            reachable[model_index_.at(one.model_)] = true;
        }
    }
    const auto count = std::count(reachable.begin(), reachable.end(), true);
    figures_.reachable_ = std::min(
        figures_.reachable_,
        static_cast<double>(count) / static_cast<double>(made_.models_.size()));
}

auto simulation::check_memory(std::size_t index) -> void {
    const auto& declared = made_.runners_[index];
    auto used = std::uint64_t{0};
    for (const auto& [id, one] : residents_) {
        used += one.runner_ == declared.name_ ? one.memory_bytes_ : 0;
    }
    // A broken invariant is counted; the tests look at the count.
    (void)holds(used <= declared.memory_bytes_, "bench_within_memory",
                declared.name_);
}

auto simulation::summarise() -> run_figures {
    auto totals = std::map<std::string, double>{};
    for (const auto& request : trace_.requests_) {
        totals[made_.models_[request.model_].organisation_] += 1;
    }
    for (const auto& [name, total] : totals) {
        figures_.attainment_by_organisation_[name] /= total;
    }
    figures_.runners_ = runners_.size();
    figures_.first_token_p50_ = percentile(first_tokens_, 0.5);
    figures_.first_token_p95_ = percentile(first_tokens_, 0.95);
    figures_.first_token_p99_ = percentile(first_tokens_, 0.99);
    figures_.interval_p50_ = percentile(intervals_, 0.5);
    figures_.interval_p95_ = percentile(intervals_, 0.95);
    figures_.interval_p99_ = percentile(intervals_, 0.99);
    return figures_;
}

} // namespace basilstream::bench
