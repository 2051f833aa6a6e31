/// Structured logs over spdlog: an event name and fields, as text or JSON.
///
///     auto log = logger{{.format_ = log_format::json}, "entry-1"};
///     log.info("request refused", {{"request_id", id}, {"step", "claim"}});
///
/// Safe to use from several threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
} // namespace spdlog

namespace basilstream::transport {

enum class log_level { debug, info, warning, error, off };

/// Names of levels, as settings spell them.
inline constexpr auto log_level_names =
    name_table<log_level, 5>{{{{log_level::debug, "debug"},
                               {log_level::info, "info"},
                               {log_level::warning, "warning"},
                               {log_level::error, "error"},
                               {log_level::off, "off"}}}};

enum class log_format { text, json };

/// Names of formats, as settings spell them.
inline constexpr auto log_format_names = name_table<log_format, 2>{
    {{{log_format::text, "text"}, {log_format::json, "json"}}}};

enum class log_target { standard_error, standard_output };

struct logger_options {
    log_level level_ = log_level::info;
    log_format format_ = log_format::text;
    log_target target_ = log_target::standard_error;
    /// Lines of one event in a second; further ones are counted and named in
    /// the event's next line. Zero means no limit.
    unsigned lines_per_second_ = 0;
    /// Lines that may wait for a thread which writes them, so that writing
    /// never blocks; when it is full the oldest are dropped and counted. Zero
    /// writes on the caller's thread.
    std::size_t queued_lines_ = 0;
    /// How long a line waits for room in the output before the rest of it is
    /// dropped; for good if empty. Lines of the queue that are left when the
    /// logger is destroyed wait for 100 ms in total.
    std::optional<std::chrono::milliseconds> max_wait_;
};

using log_field = std::pair<std::string_view, std::string_view>;
using log_fields = std::initializer_list<log_field>;

/// Limits the lines of each event. Not safe for concurrent use.
class line_budget {
public:
    explicit line_budget(unsigned lines_per_second)
        : lines_per_second_{lines_per_second} {}

    /// Whether a line of this event may be written in second `second`. Sets
    /// `left_out` to the lines refused since the last one that was allowed.
    [[nodiscard]] auto allow(std::string_view event, std::int64_t second,
                             std::uint64_t& left_out) -> bool;

private:
    struct count {
        std::int64_t second_ = 0;
        unsigned lines_ = 0;
        std::uint64_t left_out_ = 0;
    };
    unsigned lines_per_second_;
    std::map<std::string, count, std::less<>> events_;
};

class log_output;

/// Writes one line per event.
class logger {
public:
    /// `node` stands in every line.
    logger(const logger_options& options, std::string node);
    logger(const logger&) = delete;
    auto operator=(const logger&) -> logger& = delete;
    ~logger();

    auto debug(std::string_view event, log_fields fields = {}) -> void;
    auto info(std::string_view event, log_fields fields = {}) -> void;
    auto warning(std::string_view event, log_fields fields = {}) -> void;
    /// Logs a failure with its code, step, peer and detail.
    auto failure(log_level level, std::string_view event, const error& cause,
                 std::string_view request_id = {}) -> void;
    /// Whether a line of this level would be written.
    [[nodiscard]] auto enabled(log_level level) const -> bool;
    /// Writes out what is buffered.
    auto flush() -> void;
    /// Lines dropped because the queue was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    auto write(log_level level, std::string_view event, log_fields fields)
        -> void;

    logger_options options_;
    std::string node_;
    std::mutex budget_mutex_;
    line_budget budget_;
    // The queue's thread; null if lines are written at once.
    std::shared_ptr<spdlog::details::thread_pool> writer_;
    std::shared_ptr<log_output> output_;
    std::shared_ptr<spdlog::logger> sink_;
};

} // namespace basilstream::transport
