#include "basilstream/base/clock/clock.hpp"

namespace basilstream {

auto steady_clock::now() const -> time_point {
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

} // namespace basilstream
