/// Costs of the pure modules at several sizes, and the slopes that follow.
///
///     auto measured = measure_planner();
///     measured.seconds_slope();    // per unit of size
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace basilstream::bench {

/// What one operation costs at one size.
struct cost_point {
    double size_ = 0;
    /// Processor time of one operation.
    double seconds_ = 0;
    /// Heap that the module's state takes.
    double bytes_ = 0;
};

/// A line through the points by least squares.
struct slope {
    double fixed_ = 0;
    double per_unit_ = 0;
};

/// Cost of one module over sizes.
struct cost_curve {
    std::string module_;
    std::string operation_;
    /// What the size counts.
    std::string unit_;
    std::vector<cost_point> points_;

    [[nodiscard]] auto seconds_slope() const -> slope;
    [[nodiscard]] auto bytes_slope() const -> slope;
};

/// Returns the processor seconds that one of `count` calls takes: the best of
/// three rounds.
[[nodiscard]] auto seconds_of(std::size_t count,
                              const std::function<void()>& call) -> double;

/// Returns the bytes that are allocated on the heap.
[[nodiscard]] auto heap_bytes() -> double;

/// One plan of a settled fleet with changing demand.
[[nodiscard]] auto measure_planner() -> cost_curve;

/// The first plan after the loss of an availability zone.
[[nodiscard]] auto measure_repair_plan() -> cost_curve;

/// One routing decision with its begin and end, over the number of runners.
[[nodiscard]] auto measure_router() -> cost_curve;

/// Admission of one request and its release, over the requests in flight.
[[nodiscard]] auto measure_admission() -> cost_curve;

/// One record of a move applied to the state, over the number of runners.
[[nodiscard]] auto measure_replay() -> cost_curve;

/// Taking and restoring a snapshot, over the number of runners.
[[nodiscard]] auto measure_snapshot() -> cost_curve;

/// One claim from submission to its stored result, over the keys remembered.
[[nodiscard]] auto measure_claims() -> cost_curve;

/// One second of one daemon's probing, over the number of daemons; in place of
/// the heap the bytes that it sends in that second.
[[nodiscard]] auto measure_membership() -> cost_curve;

/// One answer to a caller, over the number of daemons.
[[nodiscard]] auto measure_discovery() -> cost_curve;

} // namespace basilstream::bench
