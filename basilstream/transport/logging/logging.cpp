#include "basilstream/transport/logging/logging.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "basilstream/base/bounded_write/bounded_write.hpp"
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

auto descriptor_of(log_target target) -> int {
    return target == log_target::standard_output ? STDOUT_FILENO
                                                 : STDERR_FILENO;
}

// Time for the lines that are left when a logger ends.
constexpr auto max_wait_at_end = std::chrono::milliseconds{100};

} // namespace

// Writes lines to a descriptor. The sinks of spdlog block while the other end
// of a pipe takes nothing, and with them the end of the process.
class log_output final : public spdlog::sinks::base_sink<std::mutex> {
public:
    using clock = std::chrono::steady_clock;

    log_output(int descriptor,
               std::optional<std::chrono::milliseconds> max_wait)
        : descriptor_{descriptor}, max_wait_{max_wait} {}

    // Drops what could not be written by `limit`. Thread-safe.
    auto end_by(clock::time_point limit) -> void { end_.store(limit); }

protected:
    auto sink_it_(const spdlog::details::log_msg& message) -> void override {
        auto line = spdlog::memory_buf_t{};
        formatter_->format(message, line);
        const auto limit =
            max_wait_ ? clock::now() + *max_wait_ : clock::time_point::max();
        write_while(descriptor_, {line.data(), line.size()}, [this, limit] {
            return clock::now() < std::min(limit, end_.load());
        });
    }
    auto flush_() -> void override {}

private:
    int descriptor_;
    std::optional<std::chrono::milliseconds> max_wait_;
    std::atomic<clock::time_point> end_{clock::time_point::max()};
};

auto line_budget::allow(std::string_view event, std::int64_t second,
                        std::uint64_t& left_out) -> bool {
    left_out = 0;
    if (lines_per_second_ == 0) {
        return true;
    }
    auto found = events_.find(event);
    if (found == events_.end()) {
        found = events_.emplace(std::string{event}, count{}).first;
    }
    auto& known = found->second;
    if (known.second_ != second) {
        known.second_ = second;
        known.lines_ = 0;
    }
    if (known.lines_ == lines_per_second_) {
        ++known.left_out_;
        return false;
    }
    ++known.lines_;
    left_out = std::exchange(known.left_out_, 0);
    return true;
}

logger::logger(const logger_options& options, std::string node)
    : options_{options}, node_{std::move(node)},
      budget_{options.lines_per_second_}, output_{std::make_shared<log_output>(
                                              descriptor_of(options.target_),
                                              options.max_wait_)} {
    if (options_.queued_lines_ > 0) {
        writer_ = std::make_shared<spdlog::details::thread_pool>(
            options_.queued_lines_, 1);
        sink_ = std::make_shared<spdlog::async_logger>(
            "basilstream", output_, writer_,
            spdlog::async_overflow_policy::overrun_oldest);
    } else {
        sink_ = std::make_shared<spdlog::logger>("basilstream", output_);
    }
    sink_->set_level(spdlog_level(options_.level_));
    sink_->set_pattern(
        options_.format_ == log_format::json
            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
            : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
        spdlog::pattern_time_type::utc);
    sink_->flush_on(spdlog::level::info);
}

logger::~logger() {
    if (writer_) {
        output_->end_by(log_output::clock::now() + max_wait_at_end);
    }
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

auto logger::dropped() const -> std::uint64_t {
    return writer_ ? writer_->overrun_counter() : 0;
}

auto logger::write(log_level level, std::string_view event, log_fields fields)
    -> void {
    if (!enabled(level)) {
        return;
    }
    auto left_out = std::uint64_t{0};
    if (options_.lines_per_second_ > 0) {
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count();
        const auto lock = std::scoped_lock{budget_mutex_};
        if (!budget_.allow(event, second, left_out)) {
            return;
        }
    }
    auto line = std::string{};
    if (options_.format_ == log_format::json) {
        auto document = json{{"node", node_}, {"event", event}};
        for (const auto& [name, value] : fields) {
            document[std::string{name}] = value;
        }
        if (left_out > 0) {
            document["lines_left_out"] = left_out;
        }
        const auto text =
            document.dump(-1, ' ', false, json::error_handler_t::replace);
        line = text.substr(1, text.size() - 2);
    } else {
        line = node_ + " " + text_value(event);
        for (const auto& [name, value] : fields) {
            line.append(" ").append(name).append("=").append(text_value(value));
        }
        if (left_out > 0) {
            line.append(" lines_left_out=").append(std::to_string(left_out));
        }
    }
    sink_->log(spdlog_level(level), "{}", line);
}

} // namespace basilstream::transport
