/// Dispatcher role of the claim protocol: forwards requests to shard owners,
/// permits each dispatch at most once, and answers owners' queries about its
/// requests.
///
///     auto dispatcher = claim_dispatcher{settings, self, guards, ...};
///     dispatcher.submit(submission, now);
///     dispatcher.on_grant(request_id, now);
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilstream/coordination/claims/claims.hpp"

namespace basilstream::coordination::internal {

/// Returns the name of the preferred owner of a key's shard; empty if there
/// is none.
using owner_lookup = std::function<std::string(const claim_key&)>;

/// Tracks the requests that callers sent to this daemon.
class claim_dispatcher {
public:
    /// The references must outlive the dispatcher.
    claim_dispatcher(const claim_settings& settings, daemon_identity self,
                     const claim_guards& guards,
                     owner_lookup preferred_owner_of,
                     std::vector<claim_output>& outputs,
                     claim_statistics& statistics);

    auto submit(claim_submission submission, time_point now) -> void;
    auto finish(const std::string& request_id, stored_answer answer,
                time_point now) -> void;
    auto mark_outcome_unknown(const std::string& request_id, time_point now)
        -> void;
    auto abandon(const std::string& request_id, time_point now) -> void;
    auto cancel(const std::string& request_id, time_point now) -> bool;
    auto on_grant(const std::string& request_id, time_point now) -> void;
    auto on_refusal(claim_refusal_message message, time_point now) -> void;
    auto on_not_owner(const std::string& request_id, time_point now) -> void;
    auto on_stored(const std::string& request_id) -> void;
    auto on_query(const std::string& from, const claim_query_message& message)
        -> void;
    auto tick(time_point now) -> void;
    /// Returns the number of results that no owner has confirmed as stored.
    [[nodiscard]] auto unconfirmed_result_count() const -> std::size_t {
        return unconfirmed_results_.size();
    }
    [[nodiscard]] auto waiting_count() const -> std::size_t {
        return waiting_requests_.size();
    }

private:
    enum class phase { waiting, permitted, ended };
    struct request {
        claim_submission submission_;
        phase phase_ = phase::waiting;
        /// Valid only if `phase_` is `ended`.
        dispatch_state state_ = dispatch_state::unknown;
        std::optional<stored_answer> answer_ = {};
        time_point submitted_at_;
        /// When the request was last forwarded to an owner.
        time_point forwarded_at_;
    };
    struct ended_request {
        std::string request_id_;
        time_point ended_at_;
    };

    auto forward(request& waiting, time_point now) -> void;
    auto end_request(request& ending, dispatch_state state, time_point now)
        -> void;
    /// Sends a result to the owner, repeatedly until it is confirmed as stored.
    auto report_result(const std::string& request_id, time_point now) -> void;
    auto send_result(const request& ended) -> void;
    /// Fences the request and answers the caller with `failure`.
    auto fail_request(request& waiting, error failure, time_point now) -> void;
    /// Fails a request that no owner answered in time.
    auto expire_request(request& waiting, time_point now) -> void;
    auto evict_answers() -> void;
    /// Returns the request if it is in `expected_phase`, else null.
    [[nodiscard]] auto find(const std::string& request_id, phase expected_phase)
        -> request*;

    const claim_settings* settings_;
    daemon_identity self_;
    const claim_guards* guards_;
    owner_lookup preferred_owner_of_;
    std::vector<claim_output>* outputs_;
    claim_statistics* statistics_;
    std::unordered_map<std::string, request> requests_;
    /// Requests in phase `waiting`, with the time of submission.
    std::unordered_map<std::string, time_point> waiting_requests_;
    /// Results that no owner has confirmed as stored, with the time when they
    /// were last sent.
    std::unordered_map<std::string, time_point> unconfirmed_results_;
    /// Ended requests, oldest first, until `dispatcher_retention_` has passed.
    std::deque<ended_request> ended_;
    /// Ids of requests whose answers were stored, oldest first.
    std::deque<std::string> stored_answers_;
    /// Total size of the stored answer bodies.
    std::size_t stored_bytes_ = 0;
};

} // namespace basilstream::coordination::internal
