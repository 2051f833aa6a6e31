/// Traces: a span for each hop of a request, W3C trace context in and out,
/// exported as Zipkin v2 JSON.
///
///     auto traces = tracer{options, client, random};
///     auto root = traces.start("caller", header);
///     auto attempt = root.child("attempt");
///     attempt.tag("runner", name);
///     attempt.finish();
///
/// The source of the header is W3C Trace Context, level 1.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilstream/base/random/random.hpp"
#include "basilstream/transport/http_client/http_client.hpp"

namespace basilstream::transport {

/// Identity of a span within its trace.
struct trace_context {
    /// 32 hexadecimal digits.
    std::string trace_id_;
    /// 16 hexadecimal digits.
    std::string span_id_;
    bool sampled_ = false;
};

/// Parses a `traceparent` header; nothing when it is malformed.
[[nodiscard]] auto parse_traceparent(std::string_view header)
    -> std::optional<trace_context>;

/// Returns the `traceparent` header of a span.
[[nodiscard]] auto to_traceparent(const trace_context& context) -> std::string;

class tracer;

/// One hop. A span that is not sampled holds nothing but its identity, or not
/// even that when tracing is off. Finished at the latest on destruction. Not
/// safe for concurrent use.
class span {
public:
    span();
    span(span&&) noexcept;
    auto operator=(span&& other) noexcept -> span&;
    span(const span&) = delete;
    auto operator=(const span&) -> span& = delete;
    ~span();

    /// Starts a span below this one.
    [[nodiscard]] auto child(std::string_view name) const -> span;
    auto tag(std::string_view name, std::string_view value) -> void;
    auto finish() -> void;
    /// The header for the next hop; empty when there is no trace.
    [[nodiscard]] auto traceparent() const -> std::string;

private:
    friend class tracer;
    struct recording;
    std::unique_ptr<recording> recording_;
};

/// Settings of a tracer.
struct tracer_options {
    /// Zipkin v2 collector; empty switches tracing off.
    std::string zipkin_url_;
    std::string service_ = "basilstream";
    /// Share of traces kept when the caller did not decide.
    double sample_ = 1.0;
    /// Spans that may wait for export; further ones are dropped.
    std::size_t capacity_ = 4096;
};

/// Starts and exports spans. Safe to use from several threads.
class tracer {
public:
    /// `client` must outlive the tracer.
    tracer(tracer_options options, http_client& client, std::uint64_t seed);
    tracer(const tracer&) = delete;
    auto operator=(const tracer&) -> tracer& = delete;
    ~tracer();

    /// Starts the span of a request that came with `traceparent` (may be
    /// empty).
    [[nodiscard]] auto start(std::string_view name,
                             std::string_view traceparent) -> span;
    /// Sends the finished spans to the collector; call about once a second.
    auto flush() -> void;
    /// Spans dropped because the ring was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    friend class span;
    auto make_span(std::string_view name, const trace_context* parent) -> span;
    auto record(std::string json) -> void;
    auto hex(int words) -> std::string;

    tracer_options options_;
    http_client& client_;
    mutable std::mutex mutex_;
    seeded_random random_;
    std::vector<std::string> finished_;
    std::uint64_t dropped_ = 0;
};

} // namespace basilstream::transport
