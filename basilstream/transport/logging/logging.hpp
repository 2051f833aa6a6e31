/// Structured logs over spdlog: an event name and fields, as text or JSON.
///
///     auto log = logger{{.format_ = log_format::json}, "entry-1"};
///     log.info("request refused", {{"request_id", id}, {"step", "claim"}});
///
/// Safe to use from several threads.
#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace spdlog {
class logger;
}

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

struct logger_options {
    log_level level_ = log_level::info;
    log_format format_ = log_format::text;
};

using log_field = std::pair<std::string_view, std::string_view>;
using log_fields = std::initializer_list<log_field>;

/// Writes one line per event to standard error.
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

private:
    auto write(log_level level, std::string_view event, log_fields fields)
        -> void;

    logger_options options_;
    std::string node_;
    std::shared_ptr<spdlog::logger> sink_;
};

} // namespace basilstream::transport
