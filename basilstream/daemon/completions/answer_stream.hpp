/// Carries one answer from its runners to its caller on the engine thread:
/// checks each piece and writes it as a chunk. Part of `completions`.
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

/// The answer's state. Between an attempt's start and its end it belongs to
/// the engine thread, otherwise to the control thread; the rings between them
/// order the accesses. The atomics may be read from anywhere.
class answer_stream {
public:
    answer_stream(protocol::answer_identity identity, bool stream,
                  transport::http_exchange_ptr caller);

    /// Writes what one token adds. Returns false when the caller's buffer is
    /// full.
    auto deliver(std::string_view escaped_text) -> void;
    /// Sends out what `deliver` gathered; false asks for a pause.
    auto flush() -> bool;
    /// Sends the end of a whole answer.
    auto finish(std::string_view reason) -> void;
    /// Ends the answer with an error, as a status or, after the first chunk,
    /// as an event and a broken connection.
    auto fail(const error& failure) -> void;

    coordination::stream_checker checker_;
    protocol::answer_identity identity_;
    transport::http_exchange_ptr caller_;
    /// Pieces so far, for the detection of silence.
    std::atomic<std::uint64_t> progress_{0};
    /// Set while the caller's back-pressure holds reading back.
    std::atomic<bool> back_pressured_{false};
    std::atomic<transport::call_id> call_{0};

private:
    protocol::chunk_writer writer_;
    bool stream_;
    bool started_ = false;
    std::string pending_;
    std::string full_text_;
};

/// How an attempt ended, for the control thread.
struct attempt_end {
    /// The runner's HTTP status; zero without one.
    int status_ = 0;
    /// Set when the transfer broke off.
    std::optional<error> transfer_error_;
    /// The answer is whole.
    bool finished_ = false;
    /// A piece was not the next of this answer.
    bool invalid_chunk_ = false;
    std::optional<duration> first_token_;
    std::optional<duration> token_interval_;
    int tokens_ = 0;
    std::string error_text_;
    std::optional<milliseconds> retry_after_;
};

/// Receives one attempt's stream.
class attempt_sink final : public transport::http_sink {
public:
    /// `done` is called on the engine thread, once.
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
