#include "basilstream/base/invariant/invariant.hpp"

#include <atomic>
#include <mutex>
#include <utility>

namespace basilstream {
namespace {

std::atomic<std::uint64_t> violations{0};
std::mutex handler_mutex;

auto current_handler() -> invariant_handler& {
    static auto handler = invariant_handler{};
    return handler;
}

} // namespace

auto holds(bool condition, std::string_view name, std::string_view detail)
    -> bool {
    if (condition) {
        return true;
    }
    violations.fetch_add(1);
    const auto lock = std::lock_guard{handler_mutex};
    if (current_handler()) {
        current_handler()(name, detail);
    }
    return false;
}

auto invariant_violations() -> std::uint64_t {
    return violations.load();
}

auto set_invariant_handler(invariant_handler handler) -> void {
    const auto lock = std::lock_guard{handler_mutex};
    current_handler() = std::move(handler);
}

} // namespace basilstream
