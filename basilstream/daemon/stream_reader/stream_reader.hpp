/// Tails one stream of the log by long polling, one read at a time.
///
///     auto reader = stream_reader{context, connection, "limits", 0, handler};
///     reader.tick();
///
/// Control thread only. Destroying the reader stops it; the result of a read
/// in flight is dropped.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilstream/daemon/context/context.hpp"
#include "basilstream/transport/log_connection/log_connection.hpp"

namespace basilstream::daemon {

/// Receives the result or error of each read. After a truncated result, reading
/// continues at the first retained offset.
using read_handler = std::function<void(const result<transport::log_read>&)>;

/// Tails one stream.
class stream_reader {
public:
    stream_reader(const context& base, transport::log_connection& connection,
                  std::string stream, std::uint64_t from, read_handler handler);

    /// Starts the next read when it is due; call every few milliseconds.
    auto tick() -> void;

private:
    auto on_read_result(const result<transport::log_read>& read) -> void;

    context base_;
    transport::log_connection& connection_;
    std::string stream_;
    std::uint64_t from_;
    read_handler handler_;
    bool in_flight_ = false;
    time_point next_read_;
    // Lets the callback of a read detect that the reader was destroyed.
    std::shared_ptr<stream_reader*> self_;
};

} // namespace basilstream::daemon
