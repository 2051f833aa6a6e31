/// Checks the pieces of a streamed answer, so that the caller receives the
/// whole answer to its own request exactly once, or one typed error.
///
///     auto checker = stream_checker{settings, request_id};
///     checker.start_attempt(1);
///     if (checker.on_chunk(id, text.size()) == chunk_verdict::deliver) { ... }
///
/// One checker per request; not safe for concurrent use. No allocation per
/// piece.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// Identity of one piece: REQUEST_ID/ATTEMPT/POSITION. Refers to the parsed
/// text.
struct chunk_id {
    std::string_view request_id_;
    std::uint32_t attempt_ = 0;
    std::uint64_t position_ = 0;
};

/// Parses an SSE id; nothing when it is malformed.
[[nodiscard]] auto parse_chunk_id(std::string_view text)
    -> std::optional<chunk_id>;

/// What to do with a piece. Only `deliver` and `finished` reach the caller.
enum class chunk_verdict {
    deliver,
    /// The answer is complete; the piece is the finish event.
    finished,
    /// Of an earlier attempt or after the end: drop it, keep reading.
    stale,
    /// At a position that was already delivered: drop it, keep reading.
    duplicate,
    /// Of another request: the connection cannot be trusted any more.
    wrong_request,
    /// Beyond the next position: the attempt has lost pieces.
    gap,
    /// Beyond the buffer's hard limit: the runner ignored back-pressure.
    overflow,
};

/// Names of verdicts, for logs and metrics.
inline constexpr auto chunk_verdict_names =
    name_table<chunk_verdict, 7>{{{{chunk_verdict::deliver, "deliver"},
                                   {chunk_verdict::finished, "finished"},
                                   {chunk_verdict::stale, "late"},
                                   {chunk_verdict::duplicate, "doubled"},
                                   {chunk_verdict::wrong_request, "crossed"},
                                   {chunk_verdict::gap, "missing"},
                                   {chunk_verdict::overflow, "overflow"}}}};

/// Whether reading from the runner should go on.
enum class read_signal { unchanged, pause, resume };

/// What the owner of the stream has to do next.
enum class stream_action {
    none,
    /// Close the attempt's connection, cancel the attempt at its runner and
    /// start the next attempt at `next_position()`, or `fail`.
    retry_elsewhere,
    /// Cancel the attempt at its runner; the request has its outcome.
    cancel,
};

/// The one terminal outcome of a request.
enum class stream_outcome { complete, failed, caller_left };

/// Names of terminal outcomes, for logs and metrics.
inline constexpr auto stream_outcome_names = name_table<stream_outcome, 3>{
    {{{stream_outcome::complete, "complete"},
      {stream_outcome::failed, "failed"},
      {stream_outcome::caller_left, "caller_left"}}}};

/// Bounds of the buffer between runner and caller, in bytes.
struct stream_settings {
    std::size_t pause_above_ = std::size_t{64} * 1024;
    std::size_t resume_below_ = std::size_t{16} * 1024;
    std::size_t hard_limit_ = std::size_t{256} * 1024;
    std::uint32_t max_attempts_ = 3;
};

/// Protections that tests switch off.
struct stream_guards {
    bool check_request_ = true;
    bool check_attempt_ = true;
    bool check_position_ = true;
    bool check_finish_ = true;
};

/// The state of one answer.
class stream_checker {
public:
    stream_checker(stream_settings settings, std::string request_id,
                   stream_guards guards = {});

    /// Begins attempt `attempt`, greater than every earlier one; its runner
    /// must be told to resume at `next_position()`. Returns false when the
    /// request has ended or the attempts are used up.
    [[nodiscard]] auto start_attempt(std::uint32_t attempt) -> bool;
    /// Judges a piece of `tokens` tokens (one by default) and `bytes` bytes.
    [[nodiscard]] auto on_chunk(const chunk_id& id, std::size_t bytes,
                                std::uint64_t tokens = 1) -> chunk_verdict;
    /// Judges the finish event.
    [[nodiscard]] auto on_finish(const chunk_id& id) -> chunk_verdict;
    /// The attempt's connection ended or went silent. Without a finish event
    /// the answer is truncated. Ends of earlier attempts are ignored.
    auto on_attempt_end(std::uint32_t attempt) -> void;
    /// `bytes` of delivered text have left for the caller.
    auto on_bytes_sent(std::size_t bytes) -> void;
    /// The caller closed its connection.
    auto on_caller_left() -> void;
    /// Ends the request with `failure`; ignored after an end.
    auto fail(error failure) -> void;

    /// Takes the pending action.
    [[nodiscard]] auto take_action() -> stream_action;
    /// Takes a change of the back-pressure signal.
    [[nodiscard]] auto take_signal() -> read_signal;
    /// Takes the terminal outcome: a value exactly once per request.
    [[nodiscard]] auto take_outcome() -> std::optional<stream_outcome>;
    /// The error after a `failed` end; the caller has received
    /// `next_position()` tokens.
    [[nodiscard]] auto failure() const -> const error& { return failure_; }
    /// Position of the first token that the caller has not received.
    [[nodiscard]] auto next_position() const -> std::uint64_t {
        return position_;
    }
    [[nodiscard]] auto attempt() const -> std::uint32_t { return attempt_; }
    [[nodiscard]] auto ended() const -> bool { return outcome_.has_value(); }
    [[nodiscard]] auto buffered_bytes() const -> std::size_t {
        return buffered_bytes_;
    }

private:
    auto set_outcome(stream_outcome outcome) -> void;
    auto abort_attempt(error_code code, const char* detail) -> void;
    auto update_signal() -> void;
    [[nodiscard]] auto reject_unexpected(const chunk_id& id)
        -> std::optional<chunk_verdict>;

    stream_settings settings_;
    std::string request_id_;
    stream_guards guards_;
    std::uint32_t attempt_ = 0;
    std::uint32_t attempt_count_ = 0;
    bool attempt_open_ = false;
    std::uint64_t position_ = 0;
    std::size_t buffered_bytes_ = 0;
    bool paused_ = false;
    read_signal signal_ = read_signal::unchanged;
    stream_action action_ = stream_action::none;
    std::optional<stream_outcome> outcome_;
    bool outcome_taken_ = false;
    error failure_;
};

} // namespace basilstream::coordination
