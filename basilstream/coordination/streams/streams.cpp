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

auto parse_piece_id(std::string_view text) -> std::optional<piece_id> {
    const auto second = text.rfind('/');
    if (second == std::string_view::npos || second == 0) {
        return std::nullopt;
    }
    const auto first = text.rfind('/', second - 1);
    if (first == std::string_view::npos || first == 0) {
        return std::nullopt;
    }
    const auto attempt =
        parse_number<std::uint32_t>(text.substr(first + 1, second - first - 1));
    const auto position = parse_number<std::uint64_t>(text.substr(second + 1));
    if (!attempt || !position) {
        return std::nullopt;
    }
    return piece_id{text.substr(0, first), *attempt, *position};
}

stream_checker::stream_checker(stream_settings settings, std::string request_id,
                               stream_guards guards)
    : settings_{settings}, request_id_{std::move(request_id)}, guards_{guards} {
}

auto stream_checker::start_attempt(std::uint32_t attempt) -> bool {
    if (end_ || attempts_ >= settings_.max_attempts_ || attempt <= attempt_) {
        return false;
    }
    attempt_ = attempt;
    ++attempts_;
    attempt_open_ = true;
    action_ = stream_action::none;
    // The new connection starts unpaused, whatever the last one was told.
    signal_ = paused_ ? read_signal::pause : read_signal::keep;
    return true;
}

auto stream_checker::reject_foreign(const piece_id& id)
    -> std::optional<piece_verdict> {
    if (guards_.check_request_ && id.request_id_ != request_id_) {
        if (!end_ && attempt_open_) {
            abort_attempt(error_code::crossed_answer,
                          "a piece of another request arrived");
        }
        return piece_verdict::crossed;
    }
    const auto of_old_attempt =
        guards_.check_attempt_ && id.attempt_ != attempt_;
    if (end_ || !attempt_open_ || of_old_attempt) {
        return piece_verdict::late;
    }
    return std::nullopt;
}

auto stream_checker::on_piece(const piece_id& id, std::size_t bytes,
                              std::uint64_t tokens) -> piece_verdict {
    if (const auto verdict = reject_foreign(id)) {
        return *verdict;
    }
    if (guards_.check_position_ && id.position_ < position_) {
        return piece_verdict::doubled;
    }
    if (guards_.check_position_ && id.position_ > position_) {
        abort_attempt(error_code::incomplete_answer,
                      "a piece of the answer is missing");
        return piece_verdict::missing;
    }
    if (buffered_ + bytes > settings_.hard_limit_) {
        abort_attempt(error_code::overloaded,
                      "the runner went on despite back-pressure");
        return piece_verdict::overflow;
    }
    position_ += tokens;
    buffered_ += bytes;
    update_signal();
    return piece_verdict::deliver;
}

auto stream_checker::on_finish(const piece_id& id) -> piece_verdict {
    if (const auto verdict = reject_foreign(id)) {
        return *verdict;
    }
    if (guards_.check_finish_ && id.position_ != position_) {
        abort_attempt(error_code::incomplete_answer,
                      "the finish event is at another position");
        return id.position_ < position_ ? piece_verdict::doubled
                                        : piece_verdict::missing;
    }
    finish_with(stream_end::complete);
    return piece_verdict::finished;
}

auto stream_checker::on_attempt_end(std::uint32_t attempt) -> void {
    if (end_ || !attempt_open_ || attempt != attempt_) {
        return;
    }
    if (!guards_.check_finish_) {
        finish_with(stream_end::complete);
        return;
    }
    abort_attempt(error_code::incomplete_answer,
                  "the answer ended without a finish event");
}

auto stream_checker::abort_attempt(error_code code, const char* detail)
    -> void {
    attempt_open_ = false;
    failure_ = error{code, step::attempt, {}, detail, run_status::ran, {}};
    if (attempts_ < settings_.max_attempts_) {
        action_ = stream_action::retry_elsewhere;
        return;
    }
    finish_with(stream_end::failed);
    action_ = stream_action::cancel;
}

auto stream_checker::fail(error failure) -> void {
    if (end_) {
        return;
    }
    failure_ = std::move(failure);
    const auto running = attempt_open_;
    finish_with(stream_end::failed);
    action_ = running ? stream_action::cancel : stream_action::none;
}

auto stream_checker::on_caller_left() -> void {
    if (end_) {
        return;
    }
    const auto running = attempt_open_;
    finish_with(stream_end::caller_left);
    buffered_ = 0;
    action_ = running ? stream_action::cancel : stream_action::none;
}

auto stream_checker::finish_with(stream_end end) -> void {
    if (!holds(!end_.has_value(), "one_terminal_outcome", request_id_)) {
        return;
    }
    end_ = end;
    attempt_open_ = false;
    action_ = stream_action::none;
}

auto stream_checker::on_drained(std::size_t bytes) -> void {
    buffered_ -= bytes < buffered_ ? bytes : buffered_;
    update_signal();
}

auto stream_checker::update_signal() -> void {
    if (!paused_ && buffered_ > settings_.pause_above_) {
        paused_ = true;
        signal_ = read_signal::pause;
    } else if (paused_ && buffered_ < settings_.resume_below_) {
        paused_ = false;
        signal_ = read_signal::resume;
    }
}

auto stream_checker::take_action() -> stream_action {
    return std::exchange(action_, stream_action::none);
}

auto stream_checker::take_signal() -> read_signal {
    return std::exchange(signal_, read_signal::keep);
}

auto stream_checker::take_end() -> std::optional<stream_end> {
    if (!end_ || end_taken_) {
        return std::nullopt;
    }
    end_taken_ = true;
    return end_;
}

} // namespace basilstream::coordination
