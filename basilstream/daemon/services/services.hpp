/// Proxies requests to plain services. An idempotent request may be retried;
/// any other is sent at most once, to one backend server, and if it has an
/// idempotency key, only after the key has been claimed.
///
///     auto plain = services{context, settings, policy, claims, metrics};
///     plain.submit(std::move(request));
///
/// Control thread only.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilstream/daemon/completions/completions.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/daemon/telemetry/telemetry.hpp"

namespace basilstream::daemon {

/// A validated and authenticated request to a plain service.
struct service_request {
    std::string request_id_;
    std::string organisation_;
    /// Name of the service, as "organisation/name".
    std::string service_;
    std::string method_;
    /// Path and query, relative to the service.
    std::string target_;
    transport::header_list headers_;
    std::string body_;
    bool idempotent_ = false;
    /// Idempotency key; empty if the caller sent none.
    std::string idempotency_key_;
    int priority_ = 0;
    time_point arrived_;
    /// Time allowed for the answer, from arrival.
    milliseconds deadline_{};
    transport::http_exchange_ptr caller_;
    span span_;
};

/// Claims idempotency keys, so that a request runs at most once per key.
/// Implemented by `claim_log`.
class idempotency_claims {
public:
    /// Exactly one of the callbacks is called, exactly once.
    struct callbacks {
        /// The request may be sent to one backend server, once.
        std::function<void()> permit_;
        /// The claim was refused; the error is the caller's final answer.
        std::function<void(error)> refuse_;
        /// An earlier request with the same key has completed; its stored
        /// answer is to be returned.
        std::function<void(int status, std::string content_type,
                           std::string body)>
            replay_;
    };

    idempotency_claims() = default;
    idempotency_claims(const idempotency_claims&) = delete;
    auto operator=(const idempotency_claims&) -> idempotency_claims& = delete;
    virtual ~idempotency_claims() = default;

    /// Claims the request's idempotency key.
    virtual auto claim(const service_request& request, callbacks then)
        -> void = 0;
    /// Records the complete answer of a permitted request.
    virtual auto finish(const std::string& request_id, int status,
                        std::string content_type, std::string body) -> void = 0;
    /// Records that a permitted request was sent and its outcome is unknown.
    virtual auto mark_outcome_unknown(const std::string& request_id)
        -> void = 0;
    /// Records that no byte of a permitted request was sent, and none will be.
    virtual auto abandon(const std::string& request_id) -> void = 0;
    /// Cancels a claim whose caller has disconnected. Returns false if the
    /// request was already permitted.
    virtual auto cancel(const std::string& request_id) -> bool = 0;
};

/// Forwards requests to the backend servers of plain services.
class services {
public:
    services(const context& base, const request_settings& settings,
             traffic_policy policy, idempotency_claims& claims,
             telemetry& metrics);
    ~services();

    /// Takes ownership of a request. Its caller always receives an answer or an
    /// error.
    auto submit(service_request request) -> void;
    /// Handles an admission event. Ignores events of requests that are not open
    /// here.
    auto on_admission_event(const coordination::admission_event& event) -> void;
    /// Returns whether the request is open here.
    [[nodiscard]] auto owns_request(const std::string& request_id) const
        -> bool {
        return open_.contains(request_id);
    }
    /// Starts retries that are due.
    auto tick() -> void;
    /// Returns the number of open requests.
    [[nodiscard]] auto open() const -> std::size_t { return open_.size(); }

private:
    struct active;
    using active_ptr = std::shared_ptr<active>;

    auto claim(const active_ptr& request) -> void;
    auto enqueue(const active_ptr& request) -> void;
    auto dispatch(const active_ptr& request) -> void;
    auto on_reply(const active_ptr& request,
                  result<transport::http_reply> reply) -> void;
    auto on_failed_attempt(const active_ptr& request, error failure) -> void;
    auto answer(const active_ptr& request, int status,
                const std::string& content_type, std::string body) -> void;
    auto fail(const active_ptr& request, error failure) -> void;
    auto on_caller_disconnected(const active_ptr& request) -> void;
    auto finish(const active_ptr& request) -> void;

    context base_;
    request_settings settings_;
    traffic_policy policy_;
    idempotency_claims& claims_;
    telemetry& metrics_;
    std::unordered_map<std::string, active_ptr> open_;
    // Requests waiting to be retried, keyed by the earliest time to do so.
    std::multimap<time_point, active_ptr> delayed_;
};

} // namespace basilstream::daemon
