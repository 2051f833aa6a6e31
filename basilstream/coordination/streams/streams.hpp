/// Validates the chunks of a streamed answer, so that the caller receives the
/// complete answer to its own request exactly once, or one typed error.
///
///     auto checker = stream_checker{settings, request_id};
///     checker.start_attempt(1);
///     if (checker.on_chunk(id, text.size()) == chunk_verdict::deliver) { ... }
///
/// One checker per request; not safe for concurrent use. Allocates no memory
/// per chunk.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// Identifies a chunk: REQUEST_ID/ATTEMPT/POSITION, where the position is the
/// index of its first token in the answer. `request_id_` points into the parsed
/// text, which must outlive it.
struct chunk_id {
    std::string_view request_id_;
    std::uint32_t attempt_ = 0;
    std::uint64_t position_ = 0;
};

/// Parses the id of a server-sent event; returns nothing if it is malformed.
[[nodiscard]] auto parse_chunk_id(std::string_view text)
    -> std::optional<chunk_id>;

/// The result of validating a chunk. Only `deliver` and `finished` are
/// forwarded to the caller.
enum class chunk_verdict {
    deliver,
    /// The chunk is the finish event, and the answer is complete.
    finished,
    /// From another attempt, or received after the attempt or the request
    /// ended: drop it and keep reading.
    stale,
    /// At a position that was already delivered: drop it and keep reading.
    duplicate,
    /// From another request: the connection must not be used any further.
    wrong_request,
    /// Beyond the next position: the attempt has lost chunks.
    gap,
    /// Exceeds the buffer's hard limit: the runner ignored back-pressure.
    overflow,
};

/// Verdict names in logs and metrics.
inline constexpr auto chunk_verdict_names =
    name_table<chunk_verdict, 7>{{{{chunk_verdict::deliver, "deliver"},
                                   {chunk_verdict::finished, "finished"},
                                   {chunk_verdict::stale, "late"},
                                   {chunk_verdict::duplicate, "doubled"},
                                   {chunk_verdict::wrong_request, "crossed"},
                                   {chunk_verdict::gap, "missing"},
                                   {chunk_verdict::overflow, "overflow"}}}};

/// Whether to pause or resume reading from the runner (back-pressure).
enum class read_signal { unchanged, pause, resume };

/// The next action that the owner of the stream has to take.
enum class stream_action {
    none,
    /// Close the attempt's connection, cancel the attempt on its runner, then
    /// start the next attempt at `next_position()` or call `fail()`.
    retry_elsewhere,
    /// Cancel the attempt on its runner; the request has ended.
    cancel,
};

/// The terminal outcome of a request.
enum class stream_outcome { complete, failed, caller_left };

/// Outcome names in logs and metrics.
inline constexpr auto stream_outcome_names = name_table<stream_outcome, 3>{
    {{{stream_outcome::complete, "complete"},
      {stream_outcome::failed, "failed"},
      {stream_outcome::caller_left, "caller_left"}}}};

struct stream_settings {
    /// Thresholds of the buffer between runner and caller, in bytes.
    std::size_t pause_above_ = std::size_t{64} * 1024;
    std::size_t resume_below_ = std::size_t{16} * 1024;
    std::size_t hard_limit_ = std::size_t{256} * 1024;
    std::uint32_t max_attempts_ = 3;
};

/// Checks that tests can disable.
struct stream_guards {
    bool check_request_ = true;
    bool check_attempt_ = true;
    bool check_position_ = true;
    bool check_finish_ = true;
};

/// Tracks the state of one streamed answer over its attempts.
class stream_checker {
public:
    stream_checker(stream_settings settings, std::string request_id,
                   stream_guards guards = {});

    /// Starts attempt `attempt`, whose runner must resume at
    /// `next_position()`. Returns false if the request has ended, if the
    /// maximum number of attempts is reached, or if `attempt` is not greater
    /// than every earlier one.
    [[nodiscard]] auto start_attempt(std::uint32_t attempt) -> bool;
    /// Validates a chunk of `tokens` tokens and `bytes` bytes.
    [[nodiscard]] auto on_chunk(const chunk_id& id, std::size_t bytes,
                                std::uint64_t tokens = 1) -> chunk_verdict;
    /// Validates the finish event.
    [[nodiscard]] auto on_finish(const chunk_id& id) -> chunk_verdict;
    /// Handles the end or idle time-out of the attempt's connection. Without a
    /// finish event the answer is truncated and the attempt fails. Ignores
    /// earlier attempts.
    auto on_attempt_end(std::uint32_t attempt) -> void;
    /// Releases `bytes` of buffer space after sending them to the caller.
    auto on_bytes_sent(std::size_t bytes) -> void;
    /// Ends the request because the caller closed its connection.
    auto on_caller_left() -> void;
    /// Ends the request with `failure`; no effect if it has already ended.
    auto fail(error failure) -> void;

    /// Returns the pending action and clears it.
    [[nodiscard]] auto take_action() -> stream_action;
    /// Returns the pending pause or resume signal and clears it.
    [[nodiscard]] auto take_signal() -> read_signal;
    /// Returns the terminal outcome on the first call after the request ended,
    /// nothing otherwise.
    [[nodiscard]] auto take_outcome() -> std::optional<stream_outcome>;
    /// Returns the error of a request whose outcome is `failed`. Its caller has
    /// received the tokens before `next_position()`.
    [[nodiscard]] auto failure() const -> const error& { return failure_; }
    /// Returns the position of the first token that the caller has not
    /// received.
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
