#include "basilstream/ctl/session/session.hpp"

#include <chrono>
#include <future>
#include <thread>

#include "basilstream/protocol/record_codec/record_codec.hpp"

namespace basilstream::ctl {
namespace {

constexpr auto control_stream = "control";
// Pause between two looks at decisions that wait for time to pass.
constexpr auto idle_pause = milliseconds{5};
constexpr auto short_poll = milliseconds{50};
constexpr auto status_ok = 200;

// Calls `start` with a callback and waits for what it is given.
template <class Value, class Start>
auto wait_for(Start start) -> result<Value> {
    auto promise = std::promise<result<Value>>{};
    auto answer = promise.get_future();
    start([&promise](result<Value> value) {
        promise.set_value(std::move(value));
    });
    return answer.get();
}

auto out_of_time(const std::string& url, run_status run) {
    return tl::unexpected(
        error{error_code::timeout, step::log, url, "no answer in time", run});
}

} // namespace

session::session(session_options options)
    : options_{std::move(options)}, random_{entropy_seed()},
      client_{"basilctl"}, connection_{client_, options_.log_url_},
      replica_{{.long_poll_ = short_poll}, random_}, appender_{{}, random_} {}

auto session::refresh() -> result<void> {
    const auto until = clock_.now() + options_.timeout_;
    const auto began = clock_.now();
    while (!replica_.ready() || replica_.last_contact() < began ||
           !replica_.current()) {
        if (replica_.phase() == coordination::replica_phase::unsupported) {
            return tl::unexpected(
                error{error_code::internal, step::log, options_.log_url_,
                      "the control stream demands a newer basilctl"});
        }
        if (clock_.now() > until) {
            return out_of_time(options_.log_url_, run_status::not_run);
        }
        read_once();
    }
    return {};
}

auto session::read_once() -> void {
    const auto request = replica_.poll(clock_.now());
    if (!request) {
        std::this_thread::sleep_for(idle_pause);
        return;
    }
    const auto read = wait_for<transport::log_read>([&](auto done) {
        if (request->kind_ == coordination::read_request::kind::bounds) {
            connection_.bounds(control_stream, std::move(done));
        } else {
            connection_.read(control_stream, request->from_,
                             request->max_records_, request->wait_,
                             std::move(done));
        }
    });
    const auto now = clock_.now();
    if (!read) {
        replica_.on_failed(request->ticket_, now);
        return;
    }
    const auto bounds =
        coordination::log_bounds{read->first_offset_, read->next_offset_};
    if (read->truncated_) {
        replica_.on_truncated(request->ticket_, bounds, now);
        return;
    }
    if (request->kind_ == coordination::read_request::kind::bounds) {
        replica_.on_bounds(request->ticket_, bounds, now);
        return;
    }
    auto entries = std::vector<coordination::log_entry>{};
    for (const auto& record : read->records_) {
        entries.push_back(
            {record.offset_, protocol::decode_record(record.bytes_)});
    }
    for (const auto& applied : replica_.on_records(
             request->ticket_, std::move(entries), bounds, now)) {
        appender_.on_record(applied.envelope_.id_, applied.offset_,
                            applied.outcome_);
    }
    appender_.on_position(replica_.state().next_offset());
}

auto session::append_once() -> void {
    const auto batch = appender_.poll(clock_.now());
    if (!batch) {
        return;
    }
    auto payloads = std::vector<std::string>{};
    for (const auto& record : batch->records_) {
        payloads.push_back(protocol::encode_record(record));
    }
    const auto offset = wait_for<std::uint64_t>([&](auto done) {
        connection_.append(control_stream, payloads, std::move(done));
    });
    if (offset) {
        appender_.on_accepted(batch->ticket_, *offset);
    } else {
        appender_.on_failed(batch->ticket_, offset.error().retry_after_,
                            clock_.now());
    }
}

auto session::append(state::record body) -> result<append_answer> {
    const auto submitted =
        appender_.submit(coordination::append_purpose::configuration,
                         std::move(body), replica_.state().next_offset());
    if (!submitted) {
        return tl::unexpected(submitted.error());
    }
    const auto until = clock_.now() + options_.timeout_;
    while (clock_.now() <= until) {
        append_once();
        read_once();
        for (const auto& fate : appender_.take_resolutions()) {
            if (fate.id_ != *submitted) {
                continue;
            }
            if (fate.offset_) {
                return append_answer{*fate.offset_, fate.outcome_};
            }
            return tl::unexpected(error{error_code::unavailable, step::log,
                                        options_.log_url_,
                                        "the record never reached the log"});
        }
    }
    return out_of_time(options_.log_url_, run_status::unknown);
}

auto session::ask_daemons_for_text(const std::string& path)
    -> std::vector<daemon_text> {
    auto answers = std::vector<daemon_text>{};
    for (const auto& address : options_.admins_) {
        auto url = std::string{"http://"};
        url.append(address).append(path);
        auto reply = client_.fetch_wait({.url_ = std::move(url),
                                         .total_timeout_ = milliseconds{2000},
                                         .step_ = step::peer});
        if (!reply) {
            answers.push_back({address, tl::unexpected(reply.error())});
        } else if (reply->status_ != status_ok) {
            answers.push_back(
                {address, tl::unexpected(error{
                              error_code::backend_error, step::peer, address,
                              "status " + std::to_string(reply->status_)})});
        } else {
            answers.push_back({address, std::move(reply->body_)});
        }
    }
    return answers;
}

auto session::ask_daemons(const std::string& path)
    -> std::vector<daemon_status> {
    auto answers = std::vector<daemon_status>{};
    for (const auto& [address, text] : ask_daemons_for_text(path)) {
        answers.push_back(
            {address, text ? protocol::parse_json(*text, address, step::peer)
                           : tl::unexpected(text.error())});
    }
    return answers;
}

} // namespace basilstream::ctl
