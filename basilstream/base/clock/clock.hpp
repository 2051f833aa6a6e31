/// Time as an injected dependency, so that decisions run on a virtual clock.
///
///     auto time = manual_clock{};
///     time.advance(std::chrono::seconds{3});
///     time.now();
#pragma once

#include <chrono>

namespace basilstream {

using duration = std::chrono::nanoseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tag of the time scale that every decision uses. Monotonic; its zero has no
/// meaning outside one process.
struct time_scale {};
using time_point = std::chrono::time_point<time_scale, duration>;

/// Source of the current time. Implementations are safe to call from several
/// threads unless they say otherwise.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    auto operator=(const clock&) -> clock& = delete;
    virtual ~clock() = default;

    /// Returns the current time; never less than an earlier answer.
    [[nodiscard]] virtual auto now() const -> time_point = 0;
};

/// The machine's monotonic clock (CLOCK_MONOTONIC).
class steady_clock final : public clock {
public:
    [[nodiscard]] auto now() const -> time_point override;
};

/// The machine's clock that also counts the time for which it was suspended
/// (CLOCK_BOOTTIME): for leases, which run out meanwhile.
class boot_clock final : public clock {
public:
    [[nodiscard]] auto now() const -> time_point override;
};

/// Source of the time of day, for times that outlast a process. It differs
/// between machines and may jump by seconds in either direction.
class wall_clock {
public:
    wall_clock() = default;
    wall_clock(const wall_clock&) = delete;
    auto operator=(const wall_clock&) -> wall_clock& = delete;
    virtual ~wall_clock() = default;

    /// Returns the Unix time.
    [[nodiscard]] virtual auto unix_time() const -> milliseconds = 0;
};

/// The machine's time of day (CLOCK_REALTIME).
class system_wall_clock final : public wall_clock {
public:
    [[nodiscard]] auto unix_time() const -> milliseconds override;
};

/// A clock that moves only when told. Not safe for concurrent use.
class manual_clock final : public clock {
public:
    [[nodiscard]] auto now() const -> time_point override { return now_; }

    /// Moves time forward by `step`, which must not be negative.
    auto advance(duration step) -> void { now_ += step; }

private:
    time_point now_{};
};

} // namespace basilstream
