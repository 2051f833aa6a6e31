/// Requests to plain services: an idempotent one may be retried, another is
/// sent to at most one backend server, once, under its claimed key.
///
///     auto plain = services{context, settings, policy, claims, measured};
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

/// A checked and authenticated request to a plain service.
struct service_request {
    std::string request_id_;
    std::string organisation_;
    /// "organisation/name".
    std::string service_;
    std::string method_;
    /// Path and query below the service.
    std::string target_;
    transport::header_list headers_;
    std::string body_;
    bool idempotent_ = false;
    /// Empty without one.
    std::string idempotency_key_;
    int priority_ = 0;
    time_point arrived_;
    milliseconds deadline_{};
    transport::http_exchange_ptr caller_;
    span span_;
};

/// Claims idempotency keys; `claim_log` in the daemon.
class idempotency_claims {
public:
    /// Exactly one of them is called, once.
    struct callbacks {
        /// The request may be sent to one backend server, once.
        std::function<void()> permit_;
        /// The caller's final answer.
        std::function<void(error)> refuse_;
        /// The answer of an earlier run under the same key.
        std::function<void(int status, std::string content_type,
                           std::string body)>
            replay_;
    };

    idempotency_claims() = default;
    idempotency_claims(const idempotency_claims&) = delete;
    auto operator=(const idempotency_claims&) -> idempotency_claims& = delete;
    virtual ~idempotency_claims() = default;

    virtual auto claim(const service_request& request, callbacks then)
        -> void = 0;
    /// The permitted request was answered whole.
    virtual auto finish(const std::string& request_id, int status,
                        std::string content_type, std::string body) -> void = 0;
    /// The permitted request was sent and its outcome is unknown.
    virtual auto lose(const std::string& request_id) -> void = 0;
    /// No byte of the permitted request was sent and none will be.
    virtual auto abandon(const std::string& request_id) -> void = 0;
    /// The caller left before permission; false when permission was given.
    virtual auto cancel(const std::string& request_id) -> bool = 0;
};

/// The proxy to plain services.
class services {
public:
    services(const context& base, const request_settings& settings,
             traffic_policy policy, idempotency_claims& claims,
             telemetry& metrics);
    ~services();

    /// Takes a request over; its caller is answered in any case.
    auto submit(service_request request) -> void;
    /// Takes an admission event of a request of this part.
    auto on_admission_event(const coordination::admission_event& event) -> void;
    /// Whether the request is of this part.
    [[nodiscard]] auto owns_request(const std::string& request_id) const
        -> bool {
        return open_.contains(request_id);
    }
    /// Starts retries that are due.
    auto tick() -> void;
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
    std::multimap<time_point, active_ptr> delayed_;
};

} // namespace basilstream::daemon
