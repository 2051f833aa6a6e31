#include "basilstream/transport/log_connection/log_connection.hpp"

#include <cstdlib>

#include "basilstream/protocol/generated/log.pb.h"
#include "basilstream/protocol/json/json.hpp"

namespace basilstream::transport {
namespace {

using protocol::json;

// An answer later than this counts as lost.
constexpr auto append_timeout = milliseconds{4000};
constexpr auto read_margin = milliseconds{3000};
constexpr auto status_ok = 200;
constexpr auto status_range = 416;
constexpr auto status_too_many = 429;

auto status_error(const http_reply& reply, const std::string& url) -> error {
    auto failure =
        error{error_code::unavailable, step::log, url,
              "status " + std::to_string(reply.status_), run_status::unknown};
    if (reply.status_ == status_too_many) {
        failure.code_ = error_code::overloaded;
        failure.run_ = run_status::not_run;
    }
    if (const auto found = reply.headers_.find("retry-after");
        found != reply.headers_.end()) {
        failure.retry_after_ =
            seconds{std::strtol(found->second.c_str(), nullptr, 10)};
    }
    return failure;
}

auto malformed(const std::string& url) -> error {
    return {error_code::backend_error, step::log, url,
            "answer is not of the log service", run_status::unknown};
}

auto read_bounds(const std::string& body, bool truncated,
                 const std::string& url) -> result<log_read> {
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("first_offset") ||
        !document["first_offset"].is_number_unsigned() ||
        !document.contains("next_offset") ||
        !document["next_offset"].is_number_unsigned()) {
        return tl::unexpected(malformed(url));
    }
    return log_read{{},
                    document["first_offset"].get<std::uint64_t>(),
                    document["next_offset"].get<std::uint64_t>(),
                    truncated};
}

auto read_batch(const std::string& body, const std::string& url)
    -> result<log_read> {
    auto batch = wire::log_batch{};
    if (!batch.ParseFromString(body)) {
        return tl::unexpected(malformed(url));
    }
    auto read = log_read{};
    read.first_offset_ = batch.first_offset();
    read.next_offset_ = batch.next_offset();
    read.records_.reserve(static_cast<std::size_t>(batch.records_size()));
    for (auto& record : *batch.mutable_records()) {
        read.records_.push_back(
            {record.offset(), std::move(*record.mutable_payload())});
    }
    return read;
}

} // namespace

log_connection::log_connection(http_client& client, std::string url)
    : client_{client}, url_{std::move(url)} {}

auto log_connection::append(const std::string& stream,
                            const std::vector<std::string>& payloads,
                            std::function<void(result<std::uint64_t>)> done)
    -> void {
    auto batch = wire::log_batch{};
    for (const auto& payload : payloads) {
        batch.add_records()->set_payload(payload);
    }
    auto call =
        http_call{.method_ = "POST",
                  .url_ = url_ + "/v1/streams/" + stream + "/records",
                  .headers_ = {{"Content-Type", "application/x-protobuf"}},
                  .body_ = batch.SerializeAsString(),
                  .total_timeout_ = append_timeout,
                  .step_ = step::log};
    client_.fetch(std::move(call), [url = url_, done = std::move(done)](
                                       result<http_reply> reply) {
        if (!reply) {
            done(tl::unexpected(reply.error()));
            return;
        }
        if (reply->status_ != status_ok) {
            done(tl::unexpected(status_error(*reply, url)));
            return;
        }
        const auto document = json::parse(reply->body_, nullptr, false);
        if (!document.is_object() || !document.contains("first_offset") ||
            !document["first_offset"].is_number_unsigned()) {
            done(tl::unexpected(malformed(url)));
            return;
        }
        done(document["first_offset"].get<std::uint64_t>());
    });
}

auto log_connection::read(const std::string& stream, std::uint64_t from,
                          std::uint32_t max_records, milliseconds wait,
                          std::function<void(result<log_read>)> done) -> void {
    auto call = http_call{.url_ = url_ + "/v1/streams/" + stream +
                                  "/records?from=" + std::to_string(from) +
                                  "&max=" + std::to_string(max_records) +
                                  "&wait_ms=" + std::to_string(wait.count()),
                          .total_timeout_ = wait + read_margin,
                          .step_ = step::log,
                          .max_reply_bytes_ = std::size_t{64} << 20U};
    client_.fetch(std::move(call), [url = url_, done = std::move(done)](
                                       result<http_reply> reply) {
        if (!reply) {
            done(tl::unexpected(reply.error()));
        } else if (reply->status_ == status_range) {
            done(read_bounds(reply->body_, true, url));
        } else if (reply->status_ != status_ok) {
            done(tl::unexpected(status_error(*reply, url)));
        } else {
            done(read_batch(reply->body_, url));
        }
    });
}

auto log_connection::bounds(const std::string& stream,
                            std::function<void(result<log_read>)> done)
    -> void {
    auto call = http_call{.url_ = url_ + "/v1/streams/" + stream,
                          .total_timeout_ = append_timeout,
                          .step_ = step::log};
    client_.fetch(std::move(call), [url = url_, done = std::move(done)](
                                       result<http_reply> reply) {
        if (!reply) {
            done(tl::unexpected(reply.error()));
        } else if (reply->status_ != status_ok) {
            done(tl::unexpected(status_error(*reply, url)));
        } else {
            done(read_bounds(reply->body_, false, url));
        }
    });
}

} // namespace basilstream::transport
