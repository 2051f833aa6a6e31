/// State of one request; internal to `completions`.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/daemon/completions/completions.hpp"

namespace basilstream::daemon {

// A request between `submit` and its final answer.
struct completions::active {
    completion_request request_;
    std::shared_ptr<answer_stream> answer_;
    coordination::fingerprint fingerprint_;
    std::string version_;
    time_point deadline_;
    time_point first_token_deadline_;
    // Number of the current attempt; 0 before the first.
    std::uint32_t attempts_ = 0;
    // Number of failed attempts. One that was refused for lack of a slot does
    // not count.
    int failures_ = 0;
    // Number of routes assigned, whether or not an attempt followed. Part of
    // the run's identity in the quarantine.
    std::uint32_t runs_ = 0;
    std::vector<std::string> failed_runners_;
    // Route of the current attempt; empty if there is none.
    std::optional<coordination::route> route_;
    // True while an attempt is in flight.
    bool running_ = false;
    // Value of `answer_stream::progress_` at the last check.
    std::uint64_t seen_progress_ = 0;
    bool first_token_recorded_ = false;
    // True if any attempt may have run on a runner.
    bool may_have_run_ = false;
    // True while a crash check of the runner is pending after the attempt's
    // slot was released. Not set anywhere yet, so it is always false.
    bool checking_crash_ = false;
    // True once the final answer or error was sent, or the caller disconnected.
    bool ended_ = false;
    // Reason for which the daemon aborted the attempt; empty if it did not.
    std::optional<error> abort_error_;
    span admission_span_;
    span attempt_span_;

    [[nodiscard]] auto id() const -> const std::string& {
        return request_.request_id_;
    }
    // Identifier of the attempt's connection in the liveness monitor.
    std::uint64_t connection_ = 0;
};

} // namespace basilstream::daemon
