/// State of one request within `completions`; for that library only.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/daemon/completions/completions.hpp"

namespace basilstream::daemon {

// One request between submit() and its final answer.
struct completions::active {
    completion_request request_;
    std::shared_ptr<answer_stream> answer_;
    coordination::fingerprint fingerprint_;
    std::string version_;
    time_point deadline_;
    time_point first_token_deadline_;
    std::uint32_t attempts_ = 0;
    // Attempts that failed; one refused for lack of a slot did not.
    int failures_ = 0;
    // Routes taken, whether or not they led to an attempt: names runs.
    std::uint32_t runs_ = 0;
    std::vector<std::string> failed_runners_;
    // The attempt at hand.
    std::optional<coordination::route> route_;
    bool running_ = false;
    std::uint64_t seen_progress_ = 0;
    bool first_token_recorded_ = false;
    // Whether some attempt may have run on a runner.
    bool may_have_run_ = false;
    // The attempt is settled; whether its runner crashed is being found out.
    bool checking_crash_ = false;
    bool ended_ = false;
    // Set when the daemon itself broke the attempt off.
    std::optional<error> abort_error_;
    span admission_span_;
    span attempt_span_;

    [[nodiscard]] auto id() const -> const std::string& {
        return request_.request_id_;
    }
    // Names the attempt's connection in the monitor.
    std::uint64_t connection_ = 0;
};

} // namespace basilstream::daemon
