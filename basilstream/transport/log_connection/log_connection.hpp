/// The platform's log service over HTTP: one append call, one read call.
///
///     auto log = log_connection{client, "http://127.0.0.1:7000"};
///     log.append("control", payloads, [](log_append_result result) { ... });
///     log.read("control", 0, 1024, milliseconds{1000}, [](auto read) { ... });
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/transport/http_client/http_client.hpp"

namespace basilstream::transport {

/// A record as the log gives it.
struct log_payload {
    std::uint64_t offset_ = 0;
    std::string bytes_;
};

/// Records and the bounds of their stream.
struct log_read {
    std::vector<log_payload> records_;
    /// Oldest retained offset.
    std::uint64_t first_offset_ = 0;
    /// Offset after the newest record of the whole stream.
    std::uint64_t next_offset_ = 0;
    /// The offset asked for is below the retained head; no records are given.
    bool truncated_ = false;
};

/// The log service. Thread-safe; answers arrive on the client's thread. An
/// append that fails may still have taken effect: its error says so by
/// `run_status::unknown`, and `not_run` when the log refused it.
class log_connection {
public:
    /// `client` must outlive the connection and every call.
    log_connection(http_client& client, std::string url);

    /// Appends `payloads` in one atomic call. The value is the first offset.
    auto append(const std::string& stream,
                const std::vector<std::string>& payloads,
                std::function<void(result<std::uint64_t>)> done) -> void;

    /// Reads at most `max_records` from `from` on; waits up to `wait` for one.
    auto read(const std::string& stream, std::uint64_t from,
              std::uint32_t max_records, milliseconds wait,
              std::function<void(result<log_read>)> done) -> void;

    /// Reads the bounds of a stream.
    auto bounds(const std::string& stream,
                std::function<void(result<log_read>)> done) -> void;

private:
    http_client& client_;
    std::string url_;
};

} // namespace basilstream::transport
