#include "testing/log_service/log_server.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <log.pb.h>

namespace basilstream::testing {
namespace {

using nlohmann::json;
using transport::http_exchange_ptr;
using transport::http_request;

constexpr auto streams_path = std::string_view{"/v1/streams/"};
constexpr auto records_suffix = std::string_view{"/records"};
constexpr auto default_max = std::uint64_t{1000};
constexpr auto poll_period = milliseconds{2};

auto number(std::string_view text, std::uint64_t fallback) -> std::uint64_t {
    auto value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto take(std::uint64_t& count) -> bool {
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

auto bounds_json(const stream_bounds& bounds) -> json {
    return {{"first_offset", bounds.first_offset_},
            {"next_offset", bounds.next_offset_}};
}

auto encode(const read_answer& page) -> std::string {
    auto batch = wire::log_batch{};
    for (const auto& entry : page.entries_) {
        auto& record = *batch.add_records();
        record.set_offset(entry.offset_);
        record.set_payload(entry.payload_);
    }
    const auto next = page.entries_.empty() ? page.bounds_.next_offset_
                                            : page.entries_.back().offset_ + 1;
    batch.set_next_offset(next);
    batch.set_first_offset(page.bounds_.first_offset_);
    return batch.SerializeAsString();
}

} // namespace

log_server::log_server(log_settings settings, const clock& time)
    : clock_{time}, store_{settings, time}, stand_in_{"log"} {}

auto log_server::open(const std::string& address, std::uint16_t port) -> bool {
    add("GET", "/testing/books", &log_server::give_books);
    add("POST", "/testing/faults", &log_server::set_faults);
    add("", std::string{streams_path} + "*", &log_server::serve_stream);
    stand_in_.thread().every(poll_period, [this] { poll_reads(); });
    return stand_in_.open(address, port);
}

auto log_server::add(std::string method, std::string path, handler serve)
    -> void {
    stand_in_.route(std::move(method), std::move(path),
                    [this, serve](const auto& request, const auto& reply) {
                        (this->*serve)(request, reply);
                    });
}

auto log_server::serve_stream(const http_request& request,
                              const http_exchange_ptr& reply) -> void {
    if (faults_.outage_) {
        ++unavailable_answers_;
        send(reply, {503});
        return;
    }
    auto stream = request.path_.substr(streams_path.size());
    if (!stream.ends_with(records_suffix)) {
        send(reply, {200, {}, bounds_json(store_.bounds(stream)).dump()});
        return;
    }
    stream.resize(stream.size() - records_suffix.size());
    if (request.method_ == "POST") {
        append(stream, request.body_, reply);
    } else {
        read(stream, request, reply);
    }
}

auto log_server::append(const std::string& stream, const std::string& body,
                        const http_exchange_ptr& reply) -> void {
    auto batch = wire::log_batch{};
    if (!batch.ParseFromString(body)) {
        respond_error(*reply, 400, "bad_batch");
        return;
    }
    auto records = std::vector<std::string>{};
    for (const auto& record : batch.records()) {
        records.push_back(record.payload());
    }
    if (take(faults_.late_effects_)) {
        stand_in_.thread().after(
            milliseconds{faults_.late_ms_},
            [this, stream, records] { apply(stream, records); });
        send(reply, {503});
        return;
    }
    auto outcome = apply(stream, records);
    if (take(faults_.lost_answers_)) {
        drop_answer(*reply);
    } else if (take(faults_.false_errors_)) {
        send(reply, {503});
    } else {
        send(reply, std::move(outcome));
    }
}

auto log_server::apply(const std::string& stream,
                       const std::vector<std::string>& records) -> answer {
    const auto done = store_.append(stream, records);
    switch (done.status_) {
    case log_status::rate_limited:
        return {429, {{"Retry-After", "1"}}};
    case log_status::too_large:
        return {413};
    default:
        return {
            200,
            {},
            json{{"first_offset", done.first_offset_}, {"count", done.count_}}
                .dump()};
    }
}

auto log_server::read(const std::string& stream, const http_request& request,
                      const http_exchange_ptr& reply) -> void {
    const auto wait = milliseconds{number(request.query("wait_ms"), 0)};
    auto waiting = waiting_read{stream,
                                number(request.query("from"), 0),
                                number(request.query("max"), default_max),
                                clock_.now() + wait,
                                request.peer_,
                                reply};
    if (!try_read(waiting)) {
        reads_.push_back(std::move(waiting));
    }
}

// Answers a read that has records, has waited long enough or must fail.
auto log_server::try_read(const waiting_read& waiting) -> bool {
    if (stand_in_.is_silent(waiting.peer_)) {
        return false;
    }
    if (faults_.outage_) {
        ++unavailable_answers_;
        send(waiting.reply_, {503});
        return true;
    }
    const auto page = store_.read(waiting.stream_, waiting.from_, waiting.max_);
    if (page.status_ == log_status::out_of_range) {
        send(waiting.reply_, {416, {}, bounds_json(page.bounds_).dump()});
        return true;
    }
    if (page.entries_.empty() && clock_.now() < waiting.until_) {
        return false;
    }
    send(waiting.reply_, {200, {}, encode(page)});
    return true;
}

auto log_server::poll_reads() -> void {
    reads_.remove_if(
        [this](const waiting_read& waiting) { return try_read(waiting); });
}

auto log_server::give_books(const http_request& /*request*/,
                            const http_exchange_ptr& reply) -> void {
    respond_json(*reply, 200,
                 {{"appends", store_.appends()},
                  {"rate_refusals", store_.refusals()},
                  {"unavailable_answers", unavailable_answers_}});
}

auto log_server::set_faults(const http_request& request,
                            const http_exchange_ptr& reply) -> void {
    const auto body = json::parse(request.body_);
    const auto count = [&](const char* name, std::uint64_t& target) {
        target = body.value(name, target);
    };
    faults_.outage_ = body.value("outage", faults_.outage_);
    count("lost_answers", faults_.lost_answers_);
    count("false_errors", faults_.false_errors_);
    count("late_effects", faults_.late_effects_);
    count("late_ms", faults_.late_ms_);
    count("delay_ms", faults_.delay_ms_);
    auto settings = store_.settings();
    count("retained_records", settings.retained_records_);
    settings.appends_per_second_ =
        body.value("appends_per_second", settings.appends_per_second_);
    if (body.contains("retained_ms")) {
        settings.retained_time_ =
            milliseconds{body.at("retained_ms").get<std::uint64_t>()};
    }
    store_.set_settings(settings);
    if (body.value("silent", false)) {
        stand_in_.silence_connections();
    }
    respond_json(*reply, 200, json::object());
}

auto log_server::send(const http_exchange_ptr& reply, answer what) -> void {
    const auto give = [reply, what = std::move(what)] {
        reply->respond(what.status_, what.headers_, what.body_);
    };
    if (faults_.delay_ms_ == 0) {
        give();
    } else {
        stand_in_.thread().after(milliseconds{faults_.delay_ms_}, give);
    }
}

} // namespace basilstream::testing
