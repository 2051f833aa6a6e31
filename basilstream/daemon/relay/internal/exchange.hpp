/// One request of a client, from its arrival to its final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/daemon/relay/internal/parts.hpp"
#include "basilstream/protocol/event_stream/event_stream.hpp"

namespace basilstream::daemon::internal {

/// Sends the request to backend servers until it has an answer or no further
/// attempt is allowed, and answers the client exactly once.
class exchange final : public transport::answer_observer,
                       public transport::client_observer,
                       public std::enable_shared_from_this<exchange> {
public:
    exchange(relay_state& state, transport::http_session& client,
             std::shared_ptr<const coordination::relay_config> config,
             const coordination::relay_route& route, relayed_request request);

    /// Begins; may end at once.
    auto start() -> void;
    /// Tries again to find a server, if the request waits for one.
    auto on_backends_changed() -> void;
    /// Enforces the deadline.
    auto enforce_deadline(time_point now) -> void;
    /// The server has gone silent, and the request may run again.
    auto on_backend_silent() -> void;
    /// Ends the request because the daemon stops: at once if it is on no
    /// server, else only if `all`.
    auto end_on_shutdown(bool include_running) -> void;
    /// Whether the request waits for a server.
    [[nodiscard]] auto waiting() const -> bool {
        return wait_until_.has_value();
    }

    auto on_answer_head(const transport::answer_head& head) -> bool override;
    auto on_answer_body(std::string_view piece) -> void override;
    auto on_answer_end() -> void override;
    auto on_call_failed(transport::call_failure failure) -> void override;
    auto on_client_left() -> void override;
    auto on_client_drained() -> void override;

private:
    // What the current attempt's answer is taken for.
    enum class answer_mode { none, streamed, collected, not_run };

    auto dispatch() -> void;
    auto send_attempt(const coordination::route& chosen) -> void;
    auto wait_for_server(const error& cause) -> void;
    auto monitor_call() -> void;
    auto end_attempt() -> void;
    // The name of the current sending in the quarantine.
    [[nodiscard]] auto quarantine_run_id() const -> std::string;
    // Tells the quarantine of the sending; fails if it may not run.
    [[nodiscard]] auto register_run(time_point now) -> result<void>;
    auto attempt_failed(error cause) -> void;
    auto retry_or_give_up(error cause) -> void;
    // Asks the deployment's budget for one more sending.
    [[nodiscard]] auto decide_retry(const error& cause)
        -> coordination::retry_decision;
    auto start_retry(const error& cause,
                     const coordination::retry_decision& decision) -> void;
    auto schedule_retry(time_point not_before) -> void;
    auto deliver_collected() -> void;
    auto retry_server_error() -> bool;
    auto give_up(const error& cause) -> void;
    auto finish() -> void;
    // What the journal keeps of the request's end, and when that is.
    [[nodiscard]] auto make_record(request_outcome outcome) const
        -> request_record;
    auto log_answer(int status) -> void;
    auto log_failure(request_outcome outcome, const error& cause) -> void;
    [[nodiscard]] auto time_left(time_point now) const -> milliseconds;
    [[nodiscard]] auto requested_model() const -> model_reference;
    // Whether it may be sent after it may have run on so many servers.
    [[nodiscard]] auto may_run_again(int runs) const -> bool;
    [[nodiscard]] auto retry_hint(const error& cause) -> milliseconds;

    relay_state& state_;
    transport::http_session* client_;
    std::shared_ptr<const coordination::relay_config> config_;
    const coordination::relay_route& route_;
    relayed_request request_;
    std::string service_;
    coordination::fingerprint fingerprint_;
    time_point arrived_;
    time_point deadline_;
    std::optional<time_point> wait_until_;
    std::optional<milliseconds> expected_wait_;

    std::shared_ptr<transport::http_call_connection> call_;
    std::string backend_;
    std::uint64_t call_number_ = 0;
    // What the last choice of a server and the last decision on a retry saw.
    double chosen_backend_load_ = 0;
    std::string_view retry_outcome_ = "not_asked";
    std::vector<std::string> excluded_;
    // Servers on which the request may have run, and all sendings.
    int possible_runs_ = 0;
    int attempts_sent_ = 0;
    std::uint64_t retry_generation_ = 0;

    answer_mode mode_ = answer_mode::none;
    answer_verdict verdict_ = answer_verdict::answer;
    transport::answer_head head_;
    std::string body_;
    // head_ and body_ hold a server's own failure, in case nothing better
    // comes.
    bool has_fallback_ = false;
    protocol::event_splitter events_;
    bool stream_started_ = false;
    bool paused_ = false;
    bool done_ = false;
};

} // namespace basilstream::daemon::internal
