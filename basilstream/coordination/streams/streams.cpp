#include "basilstream/coordination/streams/streams.hpp"

#include <charconv>
#include <system_error>
#include <utility>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {
namespace {

template <class Number>
auto parse_number(std::string_view text) -> std::optional<Number> {
    auto value = Number{};
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (text.empty() || failure != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto parse_chunk_id(std::string_view text) -> std::optional<chunk_id> {
    const auto position_slash = text.rfind('/');
    if (position_slash == std::string_view::npos || position_slash == 0) {
        return std::nullopt;
    }
    const auto attempt_slash = text.rfind('/', position_slash - 1);
    if (attempt_slash == std::string_view::npos || attempt_slash == 0) {
        return std::nullopt;
    }
    const auto attempt = parse_number<std::uint32_t>(
        text.substr(attempt_slash + 1, position_slash - attempt_slash - 1));
    const auto position =
        parse_number<std::uint64_t>(text.substr(position_slash + 1));
    if (!attempt || !position) {
        return std::nullopt;
    }
    return chunk_id{text.substr(0, attempt_slash), *attempt, *position};
}

stream_checker::stream_checker(stream_settings settings, std::string request_id,
                               stream_guards guards)
    : settings_{settings}, request_id_{std::move(request_id)}, guards_{guards} {
}

auto stream_checker::start_attempt(std::uint32_t attempt) -> bool {
    if (outcome_ || attempt_count_ >= settings_.max_attempts_ ||
        attempt <= attempt_) {
        return false;
    }
    attempt_ = attempt;
    ++attempt_count_;
    attempt_open_ = true;
    action_ = stream_action::none;
    // A new connection starts unpaused, so a pause must be signalled again.
    signal_ = paused_ ? read_signal::pause : read_signal::unchanged;
    return true;
}

auto stream_checker::reject_unexpected(const chunk_id& id)
    -> std::optional<chunk_verdict> {
    if (guards_.check_request_ && id.request_id_ != request_id_) {
        if (!outcome_ && attempt_open_) {
            abort_attempt(error_code::crossed_answer,
                          "received a chunk of another request");
        }
        return chunk_verdict::wrong_request;
    }
    const auto is_other_attempt =
        guards_.check_attempt_ && id.attempt_ != attempt_;
    if (outcome_ || !attempt_open_ || is_other_attempt) {
        return chunk_verdict::stale;
    }
    return std::nullopt;
}

auto stream_checker::on_chunk(const chunk_id& id, std::size_t bytes,
                              std::uint64_t tokens) -> chunk_verdict {
    if (const auto verdict = reject_unexpected(id)) {
        return *verdict;
    }
    if (guards_.check_position_ && id.position_ < position_) {
        return chunk_verdict::duplicate;
    }
    if (guards_.check_position_ && id.position_ > position_) {
        abort_attempt(error_code::incomplete_answer,
                      "a chunk of the answer is missing");
        return chunk_verdict::gap;
    }
    if (buffered_bytes_ + bytes > settings_.hard_limit_) {
        abort_attempt(
            error_code::overloaded,
            "the runner exceeded the buffer limit despite back-pressure");
        return chunk_verdict::overflow;
    }
    position_ += tokens;
    buffered_bytes_ += bytes;
    update_signal();
    return chunk_verdict::deliver;
}

auto stream_checker::on_finish(const chunk_id& id) -> chunk_verdict {
    if (const auto verdict = reject_unexpected(id)) {
        return *verdict;
    }
    if (guards_.check_finish_ && id.position_ != position_) {
        abort_attempt(error_code::incomplete_answer,
                      "the finish event is not at the next position");
        return id.position_ < position_ ? chunk_verdict::duplicate
                                        : chunk_verdict::gap;
    }
    set_outcome(stream_outcome::complete);
    return chunk_verdict::finished;
}

auto stream_checker::on_attempt_end(std::uint32_t attempt) -> void {
    if (outcome_ || !attempt_open_ || attempt != attempt_) {
        return;
    }
    if (!guards_.check_finish_) {
        set_outcome(stream_outcome::complete);
        return;
    }
    abort_attempt(error_code::incomplete_answer,
                  "the answer ended without a finish event");
}

auto stream_checker::abort_attempt(error_code code, const char* detail)
    -> void {
    attempt_open_ = false;
    failure_ = error{code, step::attempt, {}, detail, run_status::ran, {}};
    if (attempt_count_ < settings_.max_attempts_) {
        action_ = stream_action::retry_elsewhere;
        return;
    }
    set_outcome(stream_outcome::failed);
    action_ = stream_action::cancel;
}

auto stream_checker::fail(error failure) -> void {
    if (outcome_) {
        return;
    }
    failure_ = std::move(failure);
    const auto was_open = attempt_open_;
    set_outcome(stream_outcome::failed);
    action_ = was_open ? stream_action::cancel : stream_action::none;
}

auto stream_checker::on_caller_left() -> void {
    if (outcome_) {
        return;
    }
    const auto was_open = attempt_open_;
    set_outcome(stream_outcome::caller_left);
    buffered_bytes_ = 0;
    action_ = was_open ? stream_action::cancel : stream_action::none;
}

auto stream_checker::set_outcome(stream_outcome outcome) -> void {
    if (!holds(!outcome_.has_value(), "one_terminal_outcome", request_id_)) {
        return;
    }
    outcome_ = outcome;
    attempt_open_ = false;
    action_ = stream_action::none;
}

auto stream_checker::on_bytes_sent(std::size_t bytes) -> void {
    buffered_bytes_ -= bytes < buffered_bytes_ ? bytes : buffered_bytes_;
    update_signal();
}

auto stream_checker::update_signal() -> void {
    if (!paused_ && buffered_bytes_ > settings_.pause_above_) {
        paused_ = true;
        signal_ = read_signal::pause;
    } else if (paused_ && buffered_bytes_ < settings_.resume_below_) {
        paused_ = false;
        signal_ = read_signal::resume;
    }
}

auto stream_checker::take_action() -> stream_action {
    return std::exchange(action_, stream_action::none);
}

auto stream_checker::take_signal() -> read_signal {
    return std::exchange(signal_, read_signal::unchanged);
}

auto stream_checker::take_outcome() -> std::optional<stream_outcome> {
    if (!outcome_ || outcome_taken_) {
        return std::nullopt;
    }
    outcome_taken_ = true;
    return outcome_;
}

} // namespace basilstream::coordination
