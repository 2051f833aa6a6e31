#include <algorithm>

#include "bench/policy_benchmark/simulation.hpp"

namespace basilstream::bench {
namespace {

using coordination::placement_action;
using coordination::resident_state;

constexpr auto adapter_seconds = 0.02;
constexpr auto gigabyte = 1024.0 * 1024.0 * 1024.0;

} // namespace

auto simulation::carry_out(
    const std::vector<coordination::placement_step>& steps, bool at_once)
    -> void {
    auto changed = std::vector<bool>(runners_.size());
    for (const auto& step : steps) {
        const auto load = step.action_ == placement_action::load_model ||
                          step.action_ == placement_action::load_adapter;
        if (load) {
            start_load(step, at_once);
        } else {
            remove_resident(step.resident_);
        }
        changed[runner_index_.at(step.resident_.runner_)] = true;
    }
    for (auto index = std::size_t{0}; index < changed.size(); ++index) {
        if (changed[index]) {
            announce(index);
            check_memory(index);
        }
    }
    check_reachable();
}

auto simulation::start_load(const coordination::placement_step& step,
                            bool at_once) -> void {
    const auto id = next_resident_++;
    auto resident = step.resident_;
    resident.state_ = at_once ? resident_state::ready : resident_state::loading;
    residents_[id] = resident;
    const auto is_model = resident.adapter_.empty();
    figures_.moves_ += is_model ? 1 : 0;
    figures_.adapter_loads_ += is_model ? 0 : 1;
    if (at_once) {
        return;
    }
    if (!is_model) {
        schedule(now_ + adapter_seconds, event_kind::load_done, id);
        return;
    }
    next_load_start_ =
        std::max(now_, next_load_start_ + 1 / made_.loads_per_second_);
    ++loads_in_flight_;
    const auto crowd =
        std::max(1.0, static_cast<double>(loads_in_flight_) /
                          static_cast<double>(made_.loads_at_once_));
    const auto transfer = static_cast<double>(resident.memory_bytes_) /
                          gigabyte * made_.seconds_per_gigabyte_ * crowd;
    schedule(next_load_start_ + transfer, event_kind::load_done, id);
    const auto where = runner_index_.at(resident.runner_);
    auto& target = runners_[where];
    ++target.loads_;
    target.engine_.set_loading(true, now_);
    reschedule(where);
}

auto simulation::load_done(std::size_t resident_id) -> void {
    const auto at = residents_.find(resident_id);
    const auto gone = at == residents_.end();
    if (gone || !at->second.adapter_.empty()) {
        if (!gone) {
            at->second.state_ = resident_state::ready;
        }
        return;
    }
    --loads_in_flight_;
    at->second.state_ = resident_state::ready;
    const auto where = runner_index_.at(at->second.runner_);
    auto& target = runners_[where];
    --target.loads_;
    target.engine_.set_loading(target.loads_ > 0, now_);
    reschedule(where);
    announce(where);
}

auto simulation::remove_resident(
    const coordination::placement_resident& resident) -> void {
    const auto at = std::find_if(residents_.begin(), residents_.end(),
                                 [&](const auto& entry) {
                                     const auto& one = entry.second;
                                     return one.runner_ == resident.runner_ &&
                                            one.model_ == resident.model_ &&
                                            one.adapter_ == resident.adapter_ &&
                                            one.version_ == resident.version_;
                                 });
    if (at != residents_.end()) {
        residents_.erase(at);
    }
}

} // namespace basilstream::bench
