#include "testing/runner/internal/faults.hpp"

#include <array>
#include <utility>

namespace basilstream::testing::internal {
namespace {

using count_member = std::uint64_t runner_faults::*;

constexpr auto counts = std::array<std::pair<const char*, count_member>, 10>{
    {{"crossed", &runner_faults::crossed_},
     {"truncated", &runner_faults::truncated_},
     {"broken", &runner_faults::broken_},
     {"doubled", &runner_faults::doubled_},
     {"cut_after", &runner_faults::cut_after_},
     {"late_ms", &runner_faults::late_ms_},
     {"drop_orders", &runner_faults::drop_orders_},
     {"delay_orders", &runner_faults::delay_orders_},
     {"delay_orders_ms", &runner_faults::delay_orders_ms_},
     {"lost_order_answers", &runner_faults::lost_order_answers_}}};

} // namespace

auto merge_faults(const nlohmann::json& body, runner_faults& faults) -> void {
    for (const auto& [name, member] : counts) {
        faults.*member = body.value(name, faults.*member);
    }
    faults.crash_marker_ = body.value("crash_marker", faults.crash_marker_);
    faults.refuse_ = body.value("refuse", faults.refuse_);
}

auto take(std::uint64_t& count) -> bool {
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace basilstream::testing::internal
