/// Serves completions from admission to the last token: routes, dispatches,
/// retries and resumes each request, and ends it with the complete answer or
/// exactly one typed error.
///
///     auto service = completions{context, settings, policy, fleet,
///                                request_isolation, metrics};
///     service.submit(std::move(request));      // control thread
///     service.tick();
///
/// Control thread only, unless stated otherwise.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilstream/coordination/admission/admission.hpp"
#include "basilstream/coordination/liveness/liveness.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/coordination/retries/retries.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "basilstream/daemon/completions/answer_stream.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/daemon/telemetry/telemetry.hpp"

namespace basilstream::daemon {

/// References to the policy modules that `completions` and `services` share.
struct traffic_policy {
    coordination::router& router_;
    coordination::admission& admission_;
    coordination::retry_policy& retries_;
    coordination::quarantine& quarantine_;
    /// Schedules a poll of the admission queue and the handling of its events;
    /// must be called after each release.
    std::function<void()> schedule_poll_;
};

/// Provides `completions` with the state of runners; implemented by `fleet`.
class runner_directory {
public:
    runner_directory() = default;
    runner_directory(const runner_directory&) = delete;
    auto operator=(const runner_directory&) -> runner_directory& = delete;
    virtual ~runner_directory() = default;

    /// Returns the first of `versions` that is ready on some runner, or the
    /// first of `versions` if none is ready.
    [[nodiscard]] virtual auto
    serving_version(const std::string& model,
                    const std::vector<std::string>& versions) const
        -> std::string = 0;
    /// Determines whether a runner has crashed: it refuses connections or
    /// reports a boot other than `boot_id`, and is not leaving the fleet. Calls
    /// `done` on the control thread, after the quarantine has been notified.
    virtual auto check_crash(const std::string& runner,
                             const std::string& boot_id,
                             std::function<void(bool crashed)> done)
        -> void = 0;
};

/// Requests permission from another daemon's quarantine to run a suspected
/// request in isolation. Calls `answer` with the error if it was refused.
using isolation_requester = std::function<void(
    const coordination::fingerprint_run& run,
    std::function<void(std::optional<error> refused)> answer)>;

/// A validated and authenticated completion request.
struct completion_request {
    std::string request_id_;
    std::string organisation_;
    protocol::completion_call call_;
    /// Acceptable versions of the model, in order of preference.
    std::vector<std::string> versions_;
    int priority_ = 0;
    time_point arrived_;
    /// Time allowed for the complete answer, from arrival.
    milliseconds deadline_{};
    transport::http_exchange_ptr caller_;
    /// Creation time reported in the answer, in seconds.
    std::int64_t unix_time_ = 0;
    span span_;
};

/// Runs completion requests on runners.
class completions {
public:
    completions(const context& base, const request_settings& settings,
                traffic_policy policy, runner_directory& runners,
                isolation_requester request_isolation, telemetry& metrics);
    ~completions();

    /// Takes ownership of a request. Its caller always receives an answer or an
    /// error.
    auto submit(completion_request request) -> void;
    /// Handles an admission event. Ignores events of requests that are not open
    /// here.
    auto on_admission_event(coordination::admission_event event) -> void;
    /// Starts due retries, and checks deadlines and silent connections. Must be
    /// called every few milliseconds.
    auto tick() -> void;
    /// Returns the number of requests without a final answer.
    [[nodiscard]] auto open() const -> std::size_t { return open_.size(); }

private:
    struct active;
    using active_ptr = std::shared_ptr<active>;

    auto enqueue(const active_ptr& request) -> void;
    auto prepare_dispatch(const active_ptr& request, coordination::route chosen)
        -> void;
    auto dispatch(const active_ptr& request) -> void;
    static auto make_engine_call(const active_ptr& request)
        -> transport::http_call;
    auto watch_attempt(const active_ptr& request) -> void;
    // Releases the slot of an admitted attempt of which nothing was sent, and
    // fails the request with `refusal`.
    auto release_and_fail(const active_ptr& request, error refusal) -> void;
    auto wait_for_isolation(const active_ptr& request, const error& refusal)
        -> void;
    // Returns the identity of the current run for the quarantine.
    static auto make_fingerprint_run(const active_ptr& request)
        -> coordination::fingerprint_run;
    auto on_attempt_end(const active_ptr& request, attempt_end end) -> void;
    // Ends the attempt's span and reports its outcome to admission, which
    // releases its slot.
    auto release_slot(const active_ptr& request, const attempt_end& end,
                      coordination::attempt_outcome outcome) -> void;
    auto on_failed_attempt(const active_ptr& request, const attempt_end& end)
        -> void;
    auto retry_or_fail(const active_ptr& request, error failure) -> void;
    auto fail(const active_ptr& request, error failure) -> void;
    auto finish(const active_ptr& request) -> void;
    auto on_caller_disconnected(const active_ptr& request) -> void;
    auto cancel_at_runner(const active_ptr& request) -> void;
    auto abort_silent_attempts() -> void;
    auto check_deadlines() -> void;
    auto start_due_retries() -> void;
    static auto make_attempt_error(const active_ptr& request,
                                   const attempt_end& end) -> error;

    context base_;
    request_settings settings_;
    traffic_policy policy_;
    runner_directory& runners_;
    isolation_requester request_isolation_;
    telemetry& metrics_;
    coordination::connection_monitor monitor_;
    std::unordered_map<std::string, active_ptr> open_;
    // Requests waiting to be queued again, keyed by the earliest time to do so.
    std::multimap<time_point, active_ptr> delayed_;
    time_point next_check_;
    // Identifier of the next attempt's connection in `monitor_`.
    std::uint64_t next_connection_ = 1;
};

} // namespace basilstream::daemon
