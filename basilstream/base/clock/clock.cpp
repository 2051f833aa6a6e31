#include "basilstream/base/clock/clock.hpp"

#include <ctime>

namespace basilstream {

auto steady_clock::now() const -> time_point {
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

auto boot_clock::now() const -> time_point {
    auto value = timespec{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{seconds{value.tv_sec} +
                      std::chrono::nanoseconds{value.tv_nsec}};
}

auto system_wall_clock::unix_time() const -> milliseconds {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace basilstream
