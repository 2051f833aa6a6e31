/// Checks the pieces of a streamed answer, so that the caller receives the
/// whole answer to its own request exactly once, or one typed error.
///
///     auto checker = stream_checker{settings, request_id};
///     checker.start_attempt(1);
///     if (checker.on_piece(id, text.size()) == piece_verdict::deliver) { ... }
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
struct piece_id {
    std::string_view request_id_;
    std::uint32_t attempt_ = 0;
    std::uint64_t position_ = 0;
};

/// Parses an SSE id; nothing when it is malformed.
[[nodiscard]] auto parse_piece_id(std::string_view text)
    -> std::optional<piece_id>;

/// What to do with a piece. Only `deliver` and `finished` reach the caller.
enum class piece_verdict {
    deliver,
    /// The answer is complete; the piece is the finish event.
    finished,
    /// Of an earlier attempt or after the end: drop it, keep reading.
    late,
    /// At a position that was already delivered: drop it, keep reading.
    doubled,
    /// Of another request: the connection cannot be trusted any more.
    crossed,
    /// Beyond the next position: the attempt has lost pieces.
    missing,
    /// Beyond the buffer's hard limit: the runner ignored back-pressure.
    overflow,
};

/// Names of verdicts, for logs and metrics.
inline constexpr auto piece_verdict_names =
    name_table<piece_verdict, 7>{{{{piece_verdict::deliver, "deliver"},
                                   {piece_verdict::finished, "finished"},
                                   {piece_verdict::late, "late"},
                                   {piece_verdict::doubled, "doubled"},
                                   {piece_verdict::crossed, "crossed"},
                                   {piece_verdict::missing, "missing"},
                                   {piece_verdict::overflow, "overflow"}}}};

/// Whether reading from the runner should go on.
enum class read_signal { keep, pause, resume };

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
enum class stream_end { complete, failed, caller_left };

/// Names of terminal outcomes, for logs and metrics.
inline constexpr auto stream_end_names =
    name_table<stream_end, 3>{{{{stream_end::complete, "complete"},
                                {stream_end::failed, "failed"},
                                {stream_end::caller_left, "caller_left"}}}};

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
    [[nodiscard]] auto on_piece(const piece_id& id, std::size_t bytes,
                                std::uint64_t tokens = 1) -> piece_verdict;
    /// Judges the finish event.
    [[nodiscard]] auto on_finish(const piece_id& id) -> piece_verdict;
    /// The attempt's connection ended or went silent. Without a finish event
    /// the answer is truncated. Ends of earlier attempts are ignored.
    auto on_attempt_end(std::uint32_t attempt) -> void;
    /// `bytes` of delivered text have left for the caller.
    auto on_drained(std::size_t bytes) -> void;
    /// The caller closed its connection.
    auto on_caller_left() -> void;
    /// Ends the request with `failure`; ignored after an end.
    auto fail(error failure) -> void;

    /// Takes the pending action.
    [[nodiscard]] auto take_action() -> stream_action;
    /// Takes a change of the back-pressure signal.
    [[nodiscard]] auto take_signal() -> read_signal;
    /// Takes the terminal outcome: a value exactly once per request.
    [[nodiscard]] auto take_end() -> std::optional<stream_end>;
    /// The error after a `failed` end; the caller has received
    /// `next_position()` tokens.
    [[nodiscard]] auto failure() const -> const error& { return failure_; }
    /// Position of the first token that the caller has not received.
    [[nodiscard]] auto next_position() const -> std::uint64_t {
        return position_;
    }
    [[nodiscard]] auto attempt() const -> std::uint32_t { return attempt_; }
    [[nodiscard]] auto ended() const -> bool { return end_.has_value(); }
    [[nodiscard]] auto buffered_bytes() const -> std::size_t {
        return buffered_;
    }

private:
    auto finish_with(stream_end end) -> void;
    auto abort_attempt(error_code code, const char* detail) -> void;
    auto update_signal() -> void;
    [[nodiscard]] auto reject_foreign(const piece_id& id)
        -> std::optional<piece_verdict>;

    stream_settings settings_;
    std::string request_id_;
    stream_guards guards_;
    std::uint32_t attempt_ = 0;
    std::uint32_t attempts_ = 0;
    bool attempt_open_ = false;
    std::uint64_t position_ = 0;
    std::size_t buffered_ = 0;
    bool paused_ = false;
    read_signal signal_ = read_signal::keep;
    stream_action action_ = stream_action::none;
    std::optional<stream_end> end_;
    bool end_taken_ = false;
    error failure_;
};

} // namespace basilstream::coordination
