#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <utility>

// Answers of backend servers: what they state, their bodies and their ends.

namespace basilstream::daemon::internal {
namespace {

// High and low watermark of the bytes buffered for the client. Reading from the
// backend server pauses above the first and resumes below the second.
constexpr auto pause_reading_bytes = std::size_t{64} * 1024;
constexpr auto resume_reading_bytes = std::size_t{16} * 1024;
// Maximum size of an answer that is buffered before it is passed on, and of an
// event of a stream.
constexpr auto max_buffered_bytes = std::size_t{4} << 20U;
constexpr auto max_event_bytes = std::size_t{256} << 10U;
// Up to this size answers and events never wait for memory.
constexpr auto small_answer_bytes = std::size_t{16} * 1024;
constexpr auto min_server_error_status = 500;
constexpr auto unavailable_status = 503;

// Returns the media type of an answer without its parameters, in lower case.
auto media_type(const transport::header_list& headers) -> std::string {
    const auto field = headers.find("Content-Type");
    auto type = std::string{field.substr(0, field.find_first_of("; \t"))};
    std::transform(type.begin(), type.end(), type.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z'
                   ? static_cast<char>(letter - 'A' + 'a')
                   : letter;
    });
    return type;
}

} // namespace

auto exchange::on_answer_head(const transport::answer_head& head) -> bool {
    if (!helper_.empty()) {
        return on_forwarded_head(head);
    }
    state_.reachability_of(service_).on_answered(call_number_,
                                                 state_.context_.clock_.now());
    verdict_ = state_.dialect_.classify_answer(head, request_.id_);
    if (verdict_ != answer_verdict::answer && !route_.is_repeatable() &&
        !state_.dialect_.names_request(head, request_.id_)) {
        // Does not show that this request has not run.
        verdict_ = answer_verdict::other_request;
    }
    state_.last_received_at_[backend_] = state_.context_.clock_.now();
    note_server_state(head);
    if (verdict_ == answer_verdict::other_request) {
        state_.context_.log_.warning(
            "answer dropped: request id does not match",
            {{"request_id", request_.id_}, {"backend", backend_}});
        return false;
    }
    if (verdict_ != answer_verdict::misdirected) {
        state_.prompts_.on_alive(quarantine_run_id(),
                                 state_.context_.clock_.now());
    }
    note_rates(head);
    if (head.framing_ == transport::answer_framing::connection) {
        state_.counters_.ended_by_connection_.add();
    }
    auto& estimates = state_.shedding_.estimates();
    if (is_full(head)) {
        slot_outcome_ = coordination::slot_outcome::rejected;
        if (service_rank_) {
            state_.shedding_.count_rejection();
            estimates.on_rejected(backend_, service_, attempt_started_,
                                  state_.context_.random_.fraction(),
                                  state_.context_.clock_.now());
        }
    } else if (verdict_ == answer_verdict::answer) {
        estimates.on_accepted(backend_, attempt_started_);
    }
    if (verdict_ != answer_verdict::answer) {
        mode_ = answer_mode::not_run;
        return true;
    }
    begin_answer(head);
    return true;
}

auto exchange::passed_on_headers() const -> transport::header_list {
    auto headers = state_.dialect_.answer_headers(head_);
    if (forwarded_) {
        write_forwarding_outcome({forwarding_outcome::answered, backend_},
                                 headers);
    }
    return headers;
}

auto exchange::begin_answer(const transport::answer_head& head) -> void {
    head_ = head;
    body_.clear();
    buffered_.hold(events_.partial_bytes());
    received_stream_ = false;
    has_fallback_ = false;
    const auto type = media_type(head.headers_);
    const auto streamed =
        route_.kind_ == coordination::request_kind::streaming &&
        head.status_ / 100 == 2 && (!stream_started_ || type == stream_type_);
    mode_ = streamed ? answer_mode::streamed : answer_mode::buffered;
    if (streamed && route_.resumable_ && helper_.empty()) {
        state_.context_.streams_.on_stream_begun(
            request_.last_event_ ? request_.resumed_request_ : request_.id_,
            attempt_version_);
    }
    if (!streamed || std::exchange(stream_started_, true)) {
        return;
    }
    stream_type_ = type;
    if (client_ != nullptr) {
        client_->begin_stream(head.status_, passed_on_headers());
    }
}

auto exchange::note_server_state(const transport::answer_head& head) -> void {
    auto& notices = state_.context_.notices_;
    notices.on_pause_stated(backend_,
                            state_.dialect_.pause(head.status_, head.headers_));
    if (state_.dialect_.is_leaving(backend_, head.headers_)) {
        notices.on_leaving_stated(backend_);
    }
}

auto exchange::note_rates(const transport::answer_head& head) -> void {
    const auto limit = state_.dialect_.rate_limit(head.headers_);
    const auto bearable = state_.dialect_.bearable_rejections(head.headers_);
    // A refusal need not repeat what the server states, and a misdirected
    // request was answered by another process.
    const auto says_something = [this](const per_second_notice& notice) {
        return verdict_ == answer_verdict::answer ||
               (verdict_ == answer_verdict::refused &&
                notice.kind_ != per_second_notice::kind::absent);
    };
    auto& permits = state_.context_.permits_;
    if (says_something(limit)) {
        permits.on_notice(backend_, limit, attempt_started_);
    }
    if (says_something(bearable)) {
        permits.on_bearable_stated(backend_, bearable, attempt_started_);
    }
}

auto exchange::is_full(const transport::answer_head& head) const -> bool {
    return verdict_ == answer_verdict::refused &&
           head.status_ == unavailable_status &&
           state_.dialect_.pause(head.status_, head.headers_).kind_ ==
               pause_notice::kind::absent &&
           !state_.dialect_.is_leaving(backend_, head.headers_);
}

auto exchange::on_answer_body(std::string_view piece) -> void {
    const auto self = shared_from_this();
    if (mode_ == answer_mode::buffered) {
        body_.append(piece);
        (void)end_if_oversized();
        return;
    }
    const auto now = state_.context_.clock_.now();
    if (helper_.empty()) {
        state_.last_received_at_[backend_] = now;
        state_.reachability_of(service_).on_heard(now);
    }
    state_.call_monitor_.on_progress(call_number_, request_.id_, now);
    received_stream_ = true;
    if (mode_ != answer_mode::streamed || client_ == nullptr) {
        return;
    }
    const auto no_events_yet = events_.events() == 0;
    client_->write_piece(events_.feed(piece));
    if (end_if_oversized()) {
        return;
    }
    if (events_.events() > 0) {
        record_event_times(now);
        sample_event_times(now);
    }
    if (events_.events() > 0 &&
        (no_events_yet || state_.prompts_.has_uncertain_ends())) {
        state_.prompts_.on_output(quarantine_run_id(), now);
    }
    if (no_events_yet && events_.events() > 0) {
        check_prediction(now);
        if (!stream_version_) {
            stream_version_ = attempt_version_;
        }
        state_.counters_.first_byte_.record(state_.context_.clock_.now() -
                                            arrived_);
    }
    if (!paused_ && client_->buffered() > pause_reading_bytes) {
        paused_ = true;
        update_reading();
    }
}

auto exchange::update_reading() -> void {
    const auto wanted = !paused_ && !awaits_memory_;
    call_->set_reading(wanted);
    gaps_.skip_gap();
    state_.call_monitor_.on_back_pressure(call_number_, request_.id_, !wanted,
                                          state_.context_.clock_.now());
}

auto exchange::await_memory() -> void {
    if (awaits_memory_ || preferred_) {
        return;
    }
    awaits_memory_ = true;
    update_reading();
    state_.awaiting_memory_.push_back(weak_from_this());
    state_.context_.log_.info(
        "answer waits for memory",
        {{"request_id", request_.id_},
         {"backend", backend_},
         {"bytes", std::to_string(body_.size() + events_.partial_bytes())},
         {"all_bytes", std::to_string(state_.buffered_answers_.used())},
         {"undelivered_bytes",
          std::to_string(state_.undelivered_answers_.used())}});
}

auto exchange::missing_bytes() const -> std::size_t {
    const auto size = body_.size() + events_.partial_bytes();
    const auto bound =
        mode_ == answer_mode::buffered ? max_buffered_bytes : max_event_bytes;
    return bound - std::min(bound, size);
}

auto exchange::resume_reading(bool preferred) -> void {
    awaits_memory_ = false;
    preferred_ = preferred;
    update_reading();
}

auto exchange::record_event_times(time_point now) -> void {
    if (first_event_at_) {
        longest_gap_ = std::max(longest_gap_, now - last_event_at_);
    } else {
        first_event_at_ = now;
    }
    last_event_at_ = now;
}

auto exchange::sample_event_times(time_point now) -> void {
    const auto arrived =
        events_.events() - std::exchange(sampled_events_, events_.events());
    // A forwarded request is sampled by the daemon that makes the attempt.
    if (arrived > 0 && helper_.empty()) {
        pass_on_sample(gaps_.on_events(arrived, now));
    }
}

auto exchange::pass_on_sample(const std::optional<duration>& gap) -> void {
    if (gap && helper_.empty()) {
        state_.speeds_.on_sample(backend_,
                                 routing_key(service_, request_.model_), *gap);
    }
}

auto exchange::end_if_oversized() -> bool {
    const auto size = body_.size() + events_.partial_bytes();
    const auto bound =
        mode_ == answer_mode::buffered ? max_buffered_bytes : max_event_bytes;
    buffered_.hold(size);
    if (size <= bound) {
        if (size > small_answer_bytes && !state_.has_answer_memory()) {
            await_memory();
        }
        return false;
    }
    state_.counters_.oversized_answers_.add();
    state_.context_.log_.warning(
        "answer exceeds a bound",
        {{"request_id", request_.id_},
         {"backend", backend_},
         {"bytes", std::to_string(size)},
         {"bound", std::to_string(bound)},
         {"all_bytes", std::to_string(state_.buffered_answers_.used())}});
    std::exchange(call_, nullptr)->cancel();
    end_attempt();
    body_ = {};
    (void)events_.take_partial();
    buffered_.hold(0);
    possible_runs_ += helper_.empty() ? 1 : forwarded_runs_;
    state_.router_.on_failure(backend_, state_.context_.clock_.now());
    on_attempt_failed(error{error_code::backend_error, step::attempt, backend_,
                            "the answer exceeds a bound", run_status::unknown});
    return true;
}

auto exchange::on_client_drained() -> void {
    if (paused_ && call_ && client_->buffered() < resume_reading_bytes) {
        paused_ = false;
        update_reading();
    }
}

auto exchange::stream_broken_off() const -> bool {
    if (mode_ != answer_mode::streamed || request_.message_.method_ == "HEAD") {
        return false;
    }
    const auto ended_by_connection =
        head_.framing_ == transport::answer_framing::connection;
    return events_.is_inside_event() ||
           (ended_by_connection && !received_stream_);
}

auto exchange::on_answer_end() -> void {
    const auto self = shared_from_this();
    if (stream_broken_off()) {
        on_call_failed(transport::call_failure::incomplete);
        return;
    }
    // A server error does not show that the request is harmless, nor does the
    // end of a connection, as a crash ends it too.
    const auto executed =
        mode_ != answer_mode::not_run &&
        head_.status_ < min_server_error_status &&
        head_.framing_ != transport::answer_framing::connection;
    const auto now = state_.context_.clock_.now();
    state_.quarantine_.on_finish(quarantine_run_id(), executed, now);
    if (head_.framing_ == transport::answer_framing::connection &&
        mode_ != answer_mode::not_run) {
        state_.prompts_.on_uncertain_end(quarantine_run_id(),
                                         head_.status_ / 100 == 2, now);
    }
    state_.prompts_.on_finish(quarantine_run_id(),
                              executed && head_.status_ / 100 == 2, now);
    if (mode_ != answer_mode::not_run) {
        slot_outcome_ = coordination::slot_outcome::answered;
    }
    if (service_rank_ && executed && helper_.empty()) {
        state_.shedding_.estimates().on_answered(backend_, service_,
                                                 now - attempt_started_, now);
    }
    end_attempt();
    if (mode_ == answer_mode::not_run && !helper_.empty()) {
        on_forwarding_refused();
        return;
    }
    if (mode_ == answer_mode::not_run) {
        const auto refused_by_server = verdict_ == answer_verdict::refused;
        on_attempt_failed(error{
            refused_by_server ? error_code::overloaded
                              : error_code::unavailable,
            step::attempt, backend_,
            refused_by_server
                ? "refused by backend server: full, draining or too little time"
                : "wrong backend server at this address, or model not loaded",
            run_status::not_run});
        return;
    }
    possible_runs_ += helper_.empty() ? 1 : forwarded_runs_;
    state_.router_.on_success(backend_);
    if (mode_ == answer_mode::buffered && stream_started_) {
        // This answer cannot continue the stream that the client has received
        // in part.
        on_attempt_failed(error{
            error_code::backend_error, step::attempt, backend_,
            "the backend server did not resume the stream", run_status::ran});
        return;
    }
    if (mode_ == answer_mode::buffered) {
        if (!retry_server_error()) {
            deliver_buffered();
        }
        return;
    }
    log_answer(head_.status_);
    if (client_ != nullptr) {
        client_->write_piece(events_.take_partial());
        client_->end_stream();
    }
    state_.counters_.answered_.add();
    finish();
}

auto exchange::retry_server_error() -> bool {
    const auto repeatable =
        head_.status_ >= min_server_error_status &&
        route_.kind_ == coordination::request_kind::idempotent &&
        possible_runs_ < max_runs_ && client_ != nullptr;
    if (!repeatable) {
        return false;
    }
    const auto now = state_.context_.clock_.now();
    const auto decision = state_.retry_policy_of(service_).decide(
        {.error_ = error{error_code::backend_error, step::attempt, backend_,
                         "the backend server answered with a 5xx status",
                         run_status::ran},
         .runner_ = backend_,
         .attempts_ = attempts_sent_,
         .idempotent_ = true,
         .deadline_ = deadline_,
         .failed_runners_ = excluded_},
        now);
    if (!decision.retry_) {
        return false;
    }
    has_fallback_ = true;
    excluded_ = decision.excluded_;
    schedule_retry(decision.not_before_);
    return true;
}

} // namespace basilstream::daemon::internal
