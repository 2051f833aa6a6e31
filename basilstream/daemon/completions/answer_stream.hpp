/// Streams one answer from its runners to its caller on the engine thread:
/// verifies the order of the engine events and writes each as a chunk. Part of
/// `completions`.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "basilstream/coordination/streams/streams.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/protocol/caller_api/caller_api.hpp"
#include "basilstream/protocol/engine_api/engine_api.hpp"
#include "basilstream/transport/http_server/http_server.hpp"

namespace basilstream::daemon {

/// Holds the state of one answer across attempts. The engine thread owns it
/// between the start and the end of an attempt, the control thread at all other
/// times; the queues between the two threads order the accesses. The atomics
/// may be accessed from any thread.
class answer_stream {
public:
    answer_stream(protocol::answer_identity identity, bool stream,
                  transport::http_exchange_ptr caller);

    /// Appends the text of one token, already escaped for JSON. Sends nothing
    /// before `flush` or `finish`.
    auto deliver(std::string_view escaped_text) -> void;
    /// Sends the text appended by `deliver` to a streaming caller. Returns
    /// false if the caller's write buffer is full and reading has to pause.
    auto flush() -> bool;
    /// Completes the answer: sends the final event to a streaming caller, or
    /// the full response. `reason` is the runner's finish reason.
    auto finish(std::string_view reason) -> void;
    /// Ends the answer with an error: as an HTTP error response or, once
    /// streaming has started, as an error event after which the connection is
    /// aborted.
    auto fail(const error& failure) -> void;

    coordination::stream_checker checker_;
    protocol::answer_identity identity_;
    transport::http_exchange_ptr caller_;
    /// Number of data blocks received over all attempts; progress indicator for
    /// the detection of silent connections.
    std::atomic<std::uint64_t> progress_{0};
    /// True while reading from the runner is paused by the caller's
    /// back-pressure.
    std::atomic<bool> back_pressured_{false};
    /// Engine call of the current attempt; 0 before the call has started.
    std::atomic<transport::call_id> call_{0};

private:
    protocol::chunk_writer writer_;
    bool stream_;
    bool started_ = false;
    std::string pending_;
    std::string full_text_;
};

/// Result of one attempt, passed to the control thread.
struct attempt_end {
    /// HTTP status of the runner; 0 if it sent no response.
    int status_ = 0;
    /// Error of the transfer; empty if the transfer completed.
    std::optional<error> transfer_error_;
    /// True if the answer is complete.
    bool finished_ = false;
    /// True if the runner sent malformed data or a chunk that does not
    /// continue this answer.
    bool invalid_chunk_ = false;
    /// Time from the start of the attempt to its first token; empty if there
    /// was no token.
    std::optional<duration> first_token_;
    /// Mean time between tokens; empty with fewer than two tokens.
    std::optional<duration> token_interval_;
    /// Number of tokens delivered by this attempt.
    int tokens_ = 0;
    /// Start of the body of an error response.
    std::string error_text_;
    /// Value of the runner's Retry-After header, if it sent one.
    std::optional<milliseconds> retry_after_;
};

/// Receives the event stream of one attempt and forwards its tokens to the
/// `answer_stream`. Called on the engine thread.
class attempt_sink final : public transport::http_sink {
public:
    /// Calls `done` exactly once, on the engine thread, at the end of the
    /// attempt.
    attempt_sink(std::shared_ptr<answer_stream> answer, const clock& time,
                 std::function<void(attempt_end)> done);

    auto on_start(transport::call_id call) -> void override;
    auto on_response(int status,
                     const std::map<std::string, std::string>& headers)
        -> void override;
    auto on_data(std::string_view data) -> bool override;
    auto on_end(const transport::call_end& end) -> void override;

private:
    auto on_event(const protocol::engine_event& event) -> bool;
    auto on_token(const coordination::chunk_id& id,
                  const protocol::engine_event& event) -> bool;
    auto record_token() -> void;

    std::shared_ptr<answer_stream> answer_;
    const clock& clock_;
    std::function<void(attempt_end)> done_;
    protocol::event_reader reader_;
    time_point started_at_;
    time_point first_token_at_;
    time_point last_token_at_;
    attempt_end end_;
    std::string finish_reason_;
};

} // namespace basilstream::daemon
