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

} // namespace basilstream
