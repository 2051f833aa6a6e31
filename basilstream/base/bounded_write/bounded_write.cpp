#include "basilstream/base/bounded_write/bounded_write.hpp"

#include <cerrno>
#include <climits>
#include <cstddef>

#include <poll.h>
#include <unistd.h>

namespace basilstream {
namespace {

constexpr auto check_interval_milliseconds = 20;

} // namespace

auto write_while(int descriptor, std::string_view text,
                 const std::function<bool()>& may_wait) -> bool {
    while (!text.empty()) {
        auto room = pollfd{descriptor, POLLOUT, 0};
        if (::poll(&room, 1, 0) <= 0) {
            if (!may_wait()) {
                return false;
            }
            ::poll(&room, 1, check_interval_milliseconds);
            continue;
        }
        // A pipe that is ready takes as many bytes at once.
        const auto piece = text.substr(0, PIPE_BUF);
        const auto count = ::write(descriptor, piece.data(), piece.size());
        if (count >= 0) {
            text.remove_prefix(static_cast<std::size_t>(count));
        } else if (errno != EINTR && errno != EAGAIN) {
            return false;
        }
    }
    return true;
}

} // namespace basilstream
