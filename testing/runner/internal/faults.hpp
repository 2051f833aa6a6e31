// Faults that a test switches on in a running stand-in runner.
#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace basilstream::testing::internal {

// A count says how many of the next completions or orders are affected.
struct runner_faults {
    // Prompts that contain this end the process when they start; empty: none.
    std::string crash_marker_;
    std::uint64_t crossed_ = 0;
    std::uint64_t truncated_ = 0;
    std::uint64_t broken_ = 0;
    std::uint64_t doubled_ = 0;
    // Tokens before a truncated or broken answer ends.
    std::uint64_t cut_after_ = 3;
    // Delay of every event of later completions.
    std::uint64_t late_ms_ = 0;
    // Refuses completions with 429.
    bool refuse_ = false;
    // Orders without effect, orders whose effect comes late, and orders whose
    // answer is lost; none of them is answered.
    std::uint64_t drop_orders_ = 0;
    std::uint64_t delay_orders_ = 0;
    std::uint64_t delay_orders_ms_ = 1000;
    std::uint64_t lost_order_answers_ = 0;
};

// Changes the faults that `body` names. Throws on a wrong type.
auto merge_faults(const nlohmann::json& body, runner_faults& faults) -> void;

// Takes one from a count; false when there is none.
auto take(std::uint64_t& count) -> bool;

} // namespace basilstream::testing::internal
