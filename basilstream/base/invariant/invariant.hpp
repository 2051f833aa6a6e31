/// Invariants that are asserted in release builds too. A broken invariant is
/// counted and reported, and the caller withholds the unsafe action.
///
///     if (!holds(used <= capacity, "ledger_within_capacity", runner)) {
///         return tl::unexpected(...);   // fail safe
///     }
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace basilstream {

/// Receives the name and detail of each broken invariant.
using invariant_handler =
    std::function<void(std::string_view name, std::string_view detail)>;

/// Returns `condition`. When it is false, counts the violation and calls the
/// handler. Safe to call from several threads.
[[nodiscard]] auto holds(bool condition, std::string_view name,
                         std::string_view detail = {}) -> bool;

/// Returns how many violations this process has counted.
[[nodiscard]] auto invariant_violations() -> std::uint64_t;

/// Sets the handler for the process; an empty one removes it. Safe to call
/// from several threads.
auto set_invariant_handler(invariant_handler handler) -> void;

} // namespace basilstream
