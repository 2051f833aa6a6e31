/// Results of the policy benchmark as JSON, as a plot and as text.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/policy_benchmark/experiment.hpp"

namespace basilstream::bench {

/// Everything that one invocation measured.
struct report {
    std::uint64_t seed_ = 1;
    std::vector<experiment_result> results_;
    std::vector<need> needs_;
};

/// Returns the report as JSON, keys sorted, figures rounded to four digits
/// after the point.
[[nodiscard]] auto to_json(const report& what) -> std::string;

/// Returns an SVG document: attainment and moves of each trace, side by side
/// for the compared policies.
[[nodiscard]] auto to_svg(const report& what) -> std::string;

/// Returns one line for each run and each need.
[[nodiscard]] auto to_text(const report& what) -> std::string;

} // namespace basilstream::bench
