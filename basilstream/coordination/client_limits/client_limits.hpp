/// Bounds of what clients outside the deployment's control may take of a
/// daemon.
///
///     const auto memory = memory_shares_of(120);
///     const auto bytes = buffer_share(memory.send_buffer_bytes_, used, 4096);
///     if (!discards.take(bytes_read, now)) { stop_reading(); }
///
/// Load pattern: clients that send on after they were refused, that read
/// nothing of their answers, or that open many connections.
///
/// Pure, and not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// How a daemon's memory is divided.
struct memory_shares {
    /// Bodies of requests, with a copy each for the backend server.
    std::size_t body_bytes_ = std::size_t{64} << 20U;
    /// Answers that are not whole yet or that clients have not taken.
    std::size_t answer_bytes_ = std::size_t{32} << 20U;
    /// Buffers of the kernel for all clients together; 0 for those that the
    /// kernel chooses itself.
    std::size_t receive_buffer_bytes_ = 0;
    std::size_t send_buffer_bytes_ = 0;
    /// Clients' connections; 0 for as many as the descriptors allow.
    std::size_t connections_ = 0;
};

/// Returns the shares in a VM of `megabytes` of memory; those above if it is
/// not known.
[[nodiscard]] auto memory_shares_of(std::optional<std::size_t> megabytes)
    -> memory_shares;

/// Returns the size of the kernel's buffer for one more connection, of `total`
/// bytes of which the others have `used`: a part of what is left, at least
/// `smallest`. 0 if `total` is 0.
[[nodiscard]] auto buffer_share(std::size_t total, std::size_t used,
                                std::size_t smallest) -> std::size_t;

/// Bounds the bytes that are read and discarded after refusals, over all
/// connections: a burst, and a rate at which it is renewed.
class discard_budget {
public:
    /// Four of the largest bodies at once, and the rate of a link of
    /// 10 Mbit/s.
    static constexpr auto burst_bytes_ = std::size_t{16} << 20U;
    static constexpr auto bytes_per_second_ = 1.25e6;

    explicit discard_budget(time_point now) : renewed_at_{now} {}
    /// Takes `bytes`; returns false if there are not as many left.
    [[nodiscard]] auto take(std::size_t bytes, time_point now) -> bool;

private:
    double left_ = burst_bytes_;
    time_point renewed_at_;
};

/// An answer of which its client has not taken all.
struct unread_answer {
    std::uint64_t id_ = 0;
    std::size_t bytes_ = 0;
    /// Time since the client last took any of it.
    duration idle_{};
};

/// Returns which unread answers are to end so that `wanted` bytes become free:
/// those of which nothing was taken for `grace`, the one with most bytes and
/// least progress first.
[[nodiscard]] auto choose_unread(std::vector<unread_answer> answers,
                                 std::size_t wanted, duration grace)
    -> std::vector<std::uint64_t>;

} // namespace basilstream::coordination
