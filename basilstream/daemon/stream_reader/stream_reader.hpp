/// Follows one stream of the log by long polls, one at a time.
///
///     auto reader = stream_reader{context, connection, "limits", 0, take};
///     reader.tick();
///
/// Control thread only. Destroying it ends the following; an answer that is
/// under way is dropped.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilstream/daemon/context/context.hpp"
#include "basilstream/transport/log_connection/log_connection.hpp"

namespace basilstream::daemon {

/// Receives each answer, or the error of a read that failed. After a truncated
/// answer the reading goes on at the retained head.
using read_handler = std::function<void(const result<transport::log_read>&)>;

/// The follower of one stream.
class stream_reader {
public:
    stream_reader(const context& base, transport::log_connection& connection,
                  std::string stream, std::uint64_t from, read_handler take);

    /// Starts the next read when it is due; call every few milliseconds.
    auto tick() -> void;

private:
    auto take_answer(const result<transport::log_read>& read) -> void;

    context base_;
    transport::log_connection& connection_;
    std::string stream_;
    std::uint64_t from_;
    read_handler take_;
    bool in_flight_ = false;
    time_point not_before_;
    // Answers that outlive the reader find it gone.
    std::shared_ptr<stream_reader*> self_;
};

} // namespace basilstream::daemon
