#include "basilstream/transport/tracing/tracing.hpp"

#include <algorithm>
#include <chrono>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::transport {
namespace {

using protocol::json;

constexpr auto trace_id_digits = std::size_t{32};
constexpr auto span_id_digits = std::size_t{16};
constexpr auto traceparent_size = std::size_t{55};
constexpr auto export_timeout = milliseconds{2000};

auto unix_microseconds() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto is_hex_id(std::string_view text) -> bool {
    return text.find_first_not_of("0123456789abcdef") ==
               std::string_view::npos &&
           text.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

auto parse_traceparent(std::string_view header)
    -> std::optional<trace_context> {
    if (header.size() < traceparent_size || header.substr(0, 3) != "00-" ||
        header[35] != '-' || header[52] != '-') {
        return std::nullopt;
    }
    const auto trace_id = header.substr(3, trace_id_digits);
    const auto span_id = header.substr(36, span_id_digits);
    if (!is_hex_id(trace_id) || !is_hex_id(span_id)) {
        return std::nullopt;
    }
    const auto flag = header[54];
    const auto sampled = flag >= '0' && flag <= '9'
                             ? ((flag - '0') & 1) != 0
                             : ((flag - 'a' + 10) & 1) != 0;
    return trace_context{std::string{trace_id}, std::string{span_id}, sampled};
}

auto to_traceparent(const trace_context& context) -> std::string {
    return "00-" + context.trace_id_ + "-" + context.span_id_ +
           (context.sampled_ ? "-01" : "-00");
}

struct span::recording {
    tracer* tracer_ = nullptr;
    trace_context context_;
    std::string parent_;
    std::string name_;
    std::int64_t began_ = 0;
    std::vector<std::pair<std::string, std::string>> tags_;
};

span::span() = default;
span::span(span&&) noexcept = default;

span::~span() {
    finish();
}

auto span::operator=(span&& other) noexcept -> span& {
    if (this != &other) {
        finish();
        recording_ = std::move(other.recording_);
    }
    return *this;
}

auto span::child(std::string_view name) const -> span {
    if (!recording_) {
        return {};
    }
    return recording_->tracer_->make_span(name, &recording_->context_);
}

auto span::tag(std::string_view name, std::string_view value) -> void {
    if (recording_ && recording_->context_.sampled_) {
        recording_->tags_.emplace_back(name, value);
    }
}

auto span::finish() -> void {
    const auto done = std::move(recording_);
    if (!done || !done->context_.sampled_) {
        return;
    }
    auto document = json{
        {"traceId", done->context_.trace_id_},
        {"id", done->context_.span_id_},
        {"name", done->name_},
        {"timestamp", done->began_},
        {"duration",
         std::max<std::int64_t>(unix_microseconds() - done->began_, 1)},
        {"localEndpoint", {{"serviceName", done->tracer_->options_.service_}}},
        {"tags", json::object()}};
    if (!done->parent_.empty()) {
        document["parentId"] = done->parent_;
    }
    for (const auto& [name, value] : done->tags_) {
        document["tags"][name] = value;
    }
    done->tracer_->record(
        document.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto span::traceparent() const -> std::string {
    return recording_ ? to_traceparent(recording_->context_) : std::string{};
}

tracer::tracer(tracer_options options, http_client& client, std::uint64_t seed)
    : options_{std::move(options)}, client_{client}, random_{seed} {}

tracer::~tracer() {
    flush();
}

auto tracer::start(std::string_view name, std::string_view traceparent)
    -> span {
    if (options_.zipkin_url_.empty()) {
        return {};
    }
    const auto parent = parse_traceparent(traceparent);
    return make_span(name, parent ? &*parent : nullptr);
}

auto tracer::make_span(std::string_view name, const trace_context* parent)
    -> span {
    auto made = std::make_unique<span::recording>();
    made->tracer_ = this;
    made->name_ = name;
    made->began_ = unix_microseconds();
    const auto lock = std::lock_guard{mutex_};
    made->context_.span_id_ = hex(1);
    if (parent != nullptr) {
        made->context_.trace_id_ = parent->trace_id_;
        made->context_.sampled_ = parent->sampled_;
        made->parent_ = parent->span_id_;
    } else {
        made->context_.trace_id_ = hex(2);
        made->context_.sampled_ = random_.fraction() < options_.sample_;
    }
    auto started = span{};
    started.recording_ = std::move(made);
    return started;
}

auto tracer::hex(int words) -> std::string {
    auto digits = make_id(random_);
    digits.resize(span_id_digits * static_cast<std::size_t>(words));
    return digits;
}

auto tracer::record(std::string json_text) -> void {
    const auto lock = std::lock_guard{mutex_};
    if (finished_.size() >= options_.capacity_) {
        ++dropped_;
        return;
    }
    finished_.push_back(std::move(json_text));
}

auto tracer::flush() -> void {
    auto batch = std::vector<std::string>{};
    {
        const auto lock = std::lock_guard{mutex_};
        batch.swap(finished_);
    }
    if (batch.empty()) {
        return;
    }
    auto body = std::string{"["};
    for (const auto& entry : batch) {
        body.append(body.size() > 1 ? "," : "").append(entry);
    }
    body += "]";
    // A collector that is down costs its spans and nothing else.
    client_.fetch({.method_ = "POST",
                   .url_ = options_.zipkin_url_,
                   .headers_ = {{"Content-Type", "application/json"}},
                   .body_ = std::move(body),
                   .total_timeout_ = export_timeout},
                  [](const result<http_reply>&) {});
}

auto tracer::dropped() const -> std::uint64_t {
    const auto lock = std::lock_guard{mutex_};
    return dropped_;
}

} // namespace basilstream::transport
