/// Bounds that the parts of a prompt_quarantine share.
#pragma once

#include <cstddef>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination::internal {

/// Number of crashes after which a part is held.
inline constexpr auto crashes_to_hold = std::size_t{3};
/// Number of crashes after which parts are held that cannot be told apart.
inline constexpr auto crashes_to_hold_ambiguous = std::size_t{5};
/// Reports of one crash arrive within this time of each other if the start of
/// the runner's process is not known.
inline constexpr auto same_crash_window = seconds{10};
/// An end that may be a crash belongs to one that is seen this much earlier or
/// later.
inline constexpr auto uncertain_end_distance = seconds{1};

[[nodiscard]] inline auto distance(time_point left, time_point right)
    -> duration {
    return left > right ? left - right : right - left;
}

} // namespace basilstream::coordination::internal
