#include "basilstream/daemon/completions/answer_stream.hpp"

#include <cstdlib>

namespace basilstream::daemon {
namespace {

using coordination::chunk_verdict;

constexpr auto status_ok = 200;
// Upper bound on attempts per answer; the retry policy limits the failed ones.
constexpr auto max_attempts = std::uint32_t{64};
// Size at which a runner's error response is no longer extended for logs; the
// last block is kept whole.
constexpr auto max_error_text_bytes = std::size_t{512};

} // namespace

answer_stream::answer_stream(protocol::answer_identity identity, bool stream,
                             transport::http_exchange_ptr caller)
    : checker_{{.max_attempts_ = max_attempts}, identity.request_id_},
      identity_{std::move(identity)}, caller_{std::move(caller)},
      writer_{identity_}, stream_{stream} {}

auto answer_stream::deliver(std::string_view escaped_text) -> void {
    if (stream_) {
        writer_.append_token(pending_, escaped_text);
    } else {
        full_text_.append(escaped_text);
    }
}

auto answer_stream::flush() -> bool {
    if (pending_.empty()) {
        return true;
    }
    if (!started_) {
        started_ = true;
        caller_->start(status_ok, {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-store"},
                                   {"X-Request-Id", identity_.request_id_}});
    }
    const auto state = caller_->write(pending_);
    checker_.on_bytes_sent(checker_.buffered_bytes());
    pending_.clear();
    return state != transport::write_state::full;
}

auto answer_stream::finish(std::string_view reason) -> void {
    if (stream_) {
        writer_.append_finish(pending_, reason);
        flush();
        caller_->finish();
        return;
    }
    caller_->respond(status_ok,
                     {{"Content-Type", "application/json"},
                      {"X-Request-Id", identity_.request_id_}},
                     protocol::whole_answer(identity_, full_text_, reason,
                                            checker_.next_position()));
}

auto answer_stream::fail(const error& failure) -> void {
    if (started_) {
        caller_->write(protocol::stream_error(failure, identity_.request_id_));
        caller_->abort();
        return;
    }
    auto headers =
        transport::header_list{{"Content-Type", "application/json"},
                               {"X-Request-Id", identity_.request_id_}};
    if (auto wait = protocol::retry_after_header(failure); !wait.empty()) {
        headers.emplace_back("Retry-After", std::move(wait));
    }
    caller_->respond(http_status(failure.code_), std::move(headers),
                     protocol::error_body(failure, identity_.request_id_));
}

attempt_sink::attempt_sink(std::shared_ptr<answer_stream> answer,
                           const clock& time,
                           std::function<void(attempt_end)> done)
    : answer_{std::move(answer)}, clock_{time}, done_{std::move(done)},
      started_at_{time.now()} {}

auto attempt_sink::on_start(transport::call_id call) -> void {
    answer_->call_.store(call);
}

auto attempt_sink::on_response(
    int status, const std::map<std::string, std::string>& headers) -> void {
    end_.status_ = status;
    if (const auto found = headers.find("retry-after");
        found != headers.end()) {
        end_.retry_after_ =
            seconds{std::strtol(found->second.c_str(), nullptr, 10)};
    }
}

auto attempt_sink::on_data(std::string_view data) -> bool {
    answer_->progress_.fetch_add(1, std::memory_order_relaxed);
    if (end_.status_ != status_ok) {
        if (end_.error_text_.size() < max_error_text_bytes) {
            end_.error_text_.append(data);
        }
        return true;
    }
    if (end_.invalid_chunk_) {
        return true;
    }
    const auto valid =
        reader_.feed(data, [this](const protocol::engine_event& event) {
            return on_event(event);
        });
    if (!valid) {
        end_.invalid_chunk_ = !end_.finished_;
    }
    const auto keep_reading = answer_->flush();
    answer_->back_pressured_.store(!keep_reading);
    return keep_reading;
}

auto attempt_sink::on_event(const protocol::engine_event& event) -> bool {
    const auto id = coordination::parse_chunk_id(event.id_);
    if (!id) {
        return false;
    }
    if (event.finish_.empty()) {
        return on_token(*id, event);
    }
    if (event.finish_ == "cancelled") {
        return true;
    }
    if (answer_->checker_.on_finish(*id) == chunk_verdict::finished) {
        end_.finished_ = true;
        finish_reason_ = event.finish_;
    }
    return true;
}

auto attempt_sink::on_token(const coordination::chunk_id& id,
                            const protocol::engine_event& event) -> bool {
    switch (answer_->checker_.on_chunk(id, event.escaped_text_.size())) {
    case chunk_verdict::deliver:
        record_token();
        answer_->deliver(event.escaped_text_);
        return true;
    case chunk_verdict::finished:
    case chunk_verdict::stale:
    case chunk_verdict::duplicate:
        return true;
    case chunk_verdict::wrong_request:
    case chunk_verdict::gap:
    case chunk_verdict::overflow:
        return false;
    }
    return false;
}

auto attempt_sink::record_token() -> void {
    last_token_at_ = clock_.now();
    if (end_.tokens_++ == 0) {
        first_token_at_ = last_token_at_;
        end_.first_token_ = first_token_at_ - started_at_;
    }
}

auto attempt_sink::on_end(const transport::call_end& end) -> void {
    end_.transfer_error_ = end.error_;
    if (end_.tokens_ > 1) {
        end_.token_interval_ =
            (last_token_at_ - first_token_at_) / (end_.tokens_ - 1);
    }
    answer_->checker_.on_attempt_end(answer_->checker_.attempt());
    if (end_.finished_) {
        answer_->finish(finish_reason_);
    }
    done_(std::move(end_));
}

} // namespace basilstream::daemon
