#include "basilstream/transport/logging/logging.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::transport {
namespace {

using protocol::json;

auto spdlog_level(log_level level) -> spdlog::level::level_enum {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    case log_level::off:
        return spdlog::level::off;
    }
    return spdlog::level::info;
}

// Quotes a value that would not read as one word.
auto text_value(std::string_view value) -> std::string {
    if (!value.empty() &&
        value.find_first_of(" \"=\n\t\r\\") == std::string_view::npos) {
        return std::string{value};
    }
    return json(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

logger::logger(const logger_options& options, std::string node)
    : options_{options}, node_{std::move(node)},
      sink_{std::make_shared<spdlog::logger>(
          "basilstream", std::make_shared<spdlog::sinks::stderr_sink_mt>())} {
    sink_->set_level(spdlog_level(options_.level_));
    sink_->set_pattern(
        options_.format_ == log_format::json
            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
            : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
        spdlog::pattern_time_type::utc);
    sink_->flush_on(spdlog::level::info);
}

logger::~logger() {
    flush();
}

auto logger::debug(std::string_view event, log_fields fields) -> void {
    write(log_level::debug, event, fields);
}

auto logger::info(std::string_view event, log_fields fields) -> void {
    write(log_level::info, event, fields);
}

auto logger::warning(std::string_view event, log_fields fields) -> void {
    write(log_level::warning, event, fields);
}

auto logger::failure(log_level level, std::string_view event,
                     const error& cause, std::string_view request_id) -> void {
    write(level, event,
          {{"request_id", request_id},
           {"code", error_code_names.name_of(cause.code_)},
           {"step", step_names.name_of(cause.step_)},
           {"peer", cause.peer_},
           {"run", run_status_names.name_of(cause.run_)},
           {"detail", cause.detail_}});
}

auto logger::enabled(log_level level) const -> bool {
    return level >= options_.level_ && options_.level_ != log_level::off;
}

auto logger::flush() -> void {
    sink_->flush();
}

auto logger::write(log_level level, std::string_view event, log_fields fields)
    -> void {
    if (!enabled(level)) {
        return;
    }
    auto line = std::string{};
    if (options_.format_ == log_format::json) {
        auto document = json{{"node", node_}, {"event", event}};
        for (const auto& [name, value] : fields) {
            document[std::string{name}] = value;
        }
        const auto text =
            document.dump(-1, ' ', false, json::error_handler_t::replace);
        line = text.substr(1, text.size() - 2);
    } else {
        line = node_ + " " + text_value(event);
        for (const auto& [name, value] : fields) {
            line.append(" ").append(name).append("=").append(text_value(value));
        }
    }
    sink_->log(spdlog_level(level), "{}", line);
}

} // namespace basilstream::transport
