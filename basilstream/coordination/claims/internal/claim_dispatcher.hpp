/// The dispatcher's side of claims: forwards requests to shard owners, gives
/// each permission once, and answers for its requests afterwards.
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

/// Returns the name of the daemon that should own a key's shard; empty when
/// there is none.
using owner_lookup = std::function<std::string(const claim_key&)>;

/// The requests of one daemon's callers.
class claim_dispatcher {
public:
    /// The references must outlive the dispatcher.
    claim_dispatcher(const claim_settings& settings, daemon_identity self,
                     const claim_guards& guards, owner_lookup owner_of,
                     std::vector<claim_output>& outputs,
                     claim_statistics& statistics);

    auto submit(claim_submission submission, time_point now) -> void;
    auto finish(const std::string& request_id, stored_answer answer,
                time_point now) -> void;
    auto lose(const std::string& request_id, time_point now) -> void;
    auto abandon(const std::string& request_id, time_point now) -> void;
    auto cancel(const std::string& request_id, time_point now) -> bool;
    auto on_grant(const std::string& request_id, time_point now) -> void;
    auto on_refusal(claim_refusal_message message, time_point now) -> void;
    auto on_not_owner(const std::string& request_id, time_point now) -> void;
    auto on_stored(const std::string& request_id) -> void;
    auto on_query(const std::string& from, const claim_query_message& message)
        -> void;
    auto tick(time_point now) -> void;
    /// Requests whose result is not stored yet.
    [[nodiscard]] auto unstored() const -> std::size_t {
        return results_.size();
    }
    [[nodiscard]] auto active() const -> std::size_t { return active_.size(); }

private:
    enum class phase { waiting, permitted, ended };
    struct request {
        claim_submission submission_;
        phase phase_ = phase::waiting;
        /// Meaningful once `phase_` is `ended`.
        dispatch_state state_ = dispatch_state::unknown;
        std::optional<stored_answer> answer_ = {};
        time_point since_;
        time_point forwarded_;
    };
    struct ended_request {
        std::string request_id_;
        time_point at_;
    };

    auto forward(request& waiting, time_point now) -> void;
    auto end(request& ending, dispatch_state state, time_point now) -> void;
    auto report(const std::string& request_id, time_point now) -> void;
    auto send_result(const request& ended) -> void;
    auto give_up(request& waiting, error failure, time_point now) -> void;
    auto expire(request& waiting, time_point now) -> void;
    auto drop_answers() -> void;
    [[nodiscard]] auto find(const std::string& request_id, phase wanted)
        -> request*;

    const claim_settings* settings_;
    daemon_identity self_;
    const claim_guards* guards_;
    owner_lookup owner_of_;
    std::vector<claim_output>* outputs_;
    claim_statistics* statistics_;
    std::unordered_map<std::string, request> requests_;
    /// Requests in phase `waiting`.
    std::unordered_map<std::string, time_point> active_;
    /// Results that no owner has confirmed, with the time of the last report.
    std::unordered_map<std::string, time_point> results_;
    std::deque<ended_request> ended_;
    std::deque<std::string> kept_answers_;
    std::size_t kept_bytes_ = 0;
};

} // namespace basilstream::coordination::internal
