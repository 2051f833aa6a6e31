/// Handles one client request from arrival to final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/coordination/organisations/organisations.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/daemon/relay/internal/forwarding_fields.hpp"
#include "basilstream/daemon/relay/internal/parts.hpp"
#include "basilstream/protocol/event_stream/event_stream.hpp"

namespace basilstream::daemon::internal {

/// Who sends a request.
struct request_caller {
    /// Organisations of the configuration by which the request was routed.
    std::shared_ptr<const coordination::organisation_index> organisations_;
    /// Empty if the caller has not authenticated.
    std::string organisation_ = {};
    /// Units charged to the organisation for this request; 0 if it has been
    /// forwarded, as it is charged at the first daemon.
    double charged_units_ = 0;
};

/// Identifies a request in log lines. The backend server and its load are empty
/// unless an attempt is in flight.
struct exchange_description {
    std::string request_id_ = {};
    std::string route_ = {};
    std::string model_ = {};
    std::string backend_ = {};
    std::string backend_load_ = {};
};

/// Returns the estimated work of a request, in prompt tokens.
[[nodiscard]] auto prompt_equivalent_tokens(const relayed_request& request)
    -> std::int64_t;

/// Makes attempts on backend servers until one returns an answer or no further
/// attempt is allowed, and answers the client exactly once.
class exchange final : public transport::answer_observer,
                       public transport::client_observer,
                       public held_request,
                       public std::enable_shared_from_this<exchange> {
public:
    exchange(relay_state& state, transport::http_session& client,
             std::shared_ptr<const coordination::relay_config> config,
             const coordination::relay_route& route, relayed_request request,
             request_caller caller,
             std::optional<forwarding_order> forwarded = std::nullopt);

    /// Starts the first attempt; may finish the exchange before it returns.
    auto start() -> void;
    /// Retries backend selection if the request is waiting for a model.
    auto on_backends_changed() -> void;
    /// Ends the request if its deadline or its wait for a model has expired.
    auto enforce_deadline(time_point now) -> void;
    /// Sends the request another way if its attempt still waits for a
    /// connection, as no server of the service can be reached.
    auto on_service_unreached() -> void;
    [[nodiscard]] auto service() const -> const std::string& {
        return service_;
    }
    /// Handles a silence time-out of the current attempt: retries on another
    /// backend server if that is allowed, else keeps waiting.
    auto on_backend_silent() -> void;
    /// Ends the request because the daemon stops. A request with an attempt in
    /// flight ends only if `include_running`.
    auto end_on_shutdown(bool include_running) -> void;
    auto on_room_expected() -> bool override;
    auto on_wait_expired() -> void override;
    [[nodiscard]] auto describe() const -> exchange_description;
    /// Returns whether the request is waiting for a model to be loaded.
    [[nodiscard]] auto waiting() const -> bool {
        return wait_until_.has_value();
    }

    /// Whether reading the answer is paused until there is memory for it.
    [[nodiscard]] auto awaits_memory() const -> bool { return awaits_memory_; }
    /// Whether it never waits for that, as it goes first.
    [[nodiscard]] auto preferred() const -> bool { return preferred_; }
    /// What the answer may still take at most.
    [[nodiscard]] auto missing_bytes() const -> std::size_t;
    auto resume_reading(bool preferred) -> void;

    auto on_answer_head(const transport::answer_head& head) -> bool override;
    auto on_answer_body(std::string_view piece) -> void override;
    auto on_answer_end() -> void override;
    auto on_call_failed(transport::call_failure failure) -> void override;
    /// Cancels the attempt and ends the exchange. An attempt of a
    /// non-idempotent request continues until its answer is complete.
    auto on_client_left() -> void override;
    auto on_client_drained() -> void override;

private:
    // Ends the current attempt if what is buffered of its answer exceeds a
    // bound. Returns whether it has ended. Pauses it if all answers together
    // exceed theirs.
    auto end_if_oversized() -> bool;
    auto await_memory() -> void;
    // Reads from the backend server unless that is paused for any reason.
    auto update_reading() -> void;

    // How the answer of the current attempt is handled: passed on as a stream,
    // buffered until complete, or ignored because the backend server did not
    // run the request.
    enum class answer_mode { none, streamed, buffered, not_run };

    // Finds the version at which the stream began that the request resumes,
    // then dispatches; refuses the request if the version is not known.
    auto find_stream_version() -> void;
    // Returns the version that a resumed stream requires.
    [[nodiscard]] auto required_version() const
        -> std::optional<std::string_view>;
    // Leaves the servers at which streams of one version can go on, and which
    // take few requests, to the streams that are bound to that version.
    auto avoid_limited_servers() -> void;
    // Selects a backend server and sends an attempt; waits or gives up if none
    // is available.
    auto dispatch() -> void;
    // Finds the rank by which the request competes for capacity, if it does.
    auto find_service_rank() -> void;
    // Chooses a backend server. Sets `held_back_` if there is one, but the
    // request has to leave it to more urgent ones, or must not be sent again
    // to servers that have just rejected requests.
    auto choose_server(const coordination::route_request& request,
                       time_point now) -> result<coordination::route>;
    // Waits until a server has room, or refuses the request if none is expected
    // in time.
    auto wait_for_room(time_point now) -> void;
    auto refuse_for_lack_of_room(time_point now) -> void;
    // Returns the least time until servers have room; zero if not known.
    [[nodiscard]] auto time_until_room() const -> duration;
    // Returns when the client is expected to leave if there is no event, or to
    // have no use for the answer.
    [[nodiscard]] auto client_leaves_at() const -> time_point;
    // Returns whether `chosen` can't begin the request before that. Only for
    // requests that compete and are not the most urgent: servers begin these
    // ahead of others.
    [[nodiscard]] auto begins_too_late(const coordination::route& chosen,
                                       time_point now) const -> bool;
    // Predicts the time to the first event of the attempt that is sent to
    // `chosen`, and compares the prediction when that event has arrived.
    auto predict_first_event(const coordination::route& chosen) -> void;
    auto check_prediction(time_point now) -> void;
    // Returns the level by which the backend server orders the request.
    [[nodiscard]] auto urgency(time_point now) const -> int;
    // Looks again, after half of the time for which the client is expected to
    // wait, whether the current attempt is still queued at its server.
    auto watch_queued_attempt(time_point now) -> void;
    // Moves the attempt to a server with free slots if it has no answer yet and
    // the request may run again.
    auto move_queued_attempt() -> void;
    // Sends the request to a server that has not just rejected one, or lets it
    // wait for room, after a rejection for lack of capacity. Returns false if
    // the request does not compete.
    auto dispatch_after_rejection(const error& cause) -> bool;
    // Charges the attempt that follows a rejection to the retry budget, or
    // gives up. Returns whether it may be sent.
    auto charge_retry() -> bool;
    // Sends an attempt to `chosen` as soon as the rate limit and the room of
    // the backend server permit, if that is within `max_wait`.
    auto request_permit(const coordination::route& chosen, duration max_wait)
        -> void;
    auto on_permit(const coordination::route& chosen, duration max_wait,
                   const coordination::permit& given, server_slot slot) -> void;
    // Sends an attempt under a permit, unless the backend server accepts no
    // work any more.
    auto send_permitted(const coordination::route& chosen) -> void;
    // Waits for the first of the backend servers that are at their rate limits.
    // Returns false if there is none to wait for.
    auto wait_for_permit(const coordination::route_request& request) -> bool;
    // Waits for the end of the first pause of a backend server, or refuses the
    // request if that is too long. Returns false if there is no pause to wait
    // for.
    auto wait_for_pause_end(const coordination::route_request& request) -> bool;
    // Refuses the request until about the end of a pause.
    auto refuse_until(time_point pause_end) -> void;
    // Returns what the request requires of a backend server. The views are
    // valid while `key` and the members are.
    [[nodiscard]] auto make_route_request(std::string_view key) const
        -> coordination::route_request;
    auto send_attempt(const coordination::route& chosen) -> void;
    // Lets another daemon make the attempt. Returns false if none can, and the
    // own links should be tried.
    auto forward() -> bool;
    auto send_forwarded(const forwarding_helper& helper) -> void;
    auto on_forwarded_head(const transport::answer_head& head) -> bool;
    // Handles a forwarded request that has not run, and one that was lost.
    auto on_forwarding_refused() -> void;
    auto on_forwarding_failed(transport::call_failure failure) -> void;
    // Starts to pass on, or to buffer, an answer.
    auto begin_answer(const transport::answer_head& head) -> void;
    // Returns the header fields of an answer that is passed on.
    [[nodiscard]] auto passed_on_headers() const -> transport::header_list;
    // Returns how long the request may wait for a backend server.
    [[nodiscard]] auto longest_wait(time_point now) const -> duration;
    // Waits for the model to be loaded if that is expected in time, else gives
    // up with `cause`.
    auto wait_for_model(const error& cause) -> void;
    // Starts, or restarts, silence detection for the current attempt.
    auto monitor_call() -> void;
    // Returns whether the current backend server has sent anything lately.
    [[nodiscard]] auto backend_active(time_point now) const -> bool;
    // Handles what the answer states about pauses and the departure of its
    // server, whichever request it belongs to.
    auto note_server_state(const transport::answer_head& head) -> void;
    // Handles what the answer states about the rate limit of its server and
    // the rejections that it bears.
    auto note_rates(const transport::answer_head& head) -> void;
    // Returns whether the server rejects the request for lack of room.
    [[nodiscard]] auto is_full(const transport::answer_head& head) const
        -> bool;
    // Cancels the attempt in flight and ends it.
    auto cancel_attempt() -> void;
    // Releases what the attempt holds in the router, quarantine and call
    // monitor.
    auto end_attempt() -> void;
    // Returns the id of the current attempt in the quarantines.
    [[nodiscard]] auto quarantine_run_id() const -> std::string;
    // Refuses the request if a part of its prompt is held. Returns whether it
    // is.
    auto refuse_held_part() -> bool;
    // Registers the attempt with the quarantines; fails if the request is
    // quarantined.
    [[nodiscard]] auto register_run(time_point now) -> result<void>;
    // Retries or gives up; ends the exchange if the client has disconnected.
    auto on_attempt_failed(error cause) -> void;
    auto retry_or_give_up(error cause) -> void;
    // Decides whether to retry; a retry is charged to the retry budget.
    [[nodiscard]] auto decide_retry(const error& cause)
        -> coordination::retry_decision;
    auto start_retry(const error& cause,
                     const coordination::retry_decision& decision) -> void;
    // Dispatches again at `not_before`. A stream that has started skips the
    // events that the client has already received.
    auto schedule_retry(time_point not_before) -> void;
    // Dispatches after `delay`, unless that is asked for again before.
    auto dispatch_after(milliseconds delay) -> void;
    // Sends the buffered answer to the client and ends the exchange.
    auto deliver_buffered() -> void;
    // Returns whether the answer of the current attempt, whose framing says
    // that it is whole, is a stream that was broken off.
    [[nodiscard]] auto stream_broken_off() const -> bool;
    // Schedules a retry after a 5xx answer; returns false if none is allowed.
    auto retry_server_error() -> bool;
    // Ends the exchange: sends a buffered 5xx answer if there is one, aborts a
    // stream that has started, else answers 502, 503 or 504.
    auto give_up(const error& cause) -> void;
    // Returns what to tell the daemon whose request is refused without having
    // run: whether others may reach the service.
    [[nodiscard]] auto refusal_outcome() const -> forwarding_outcome;
    // Returns the units of a request that has not run, once.
    auto return_units() -> void;
    auto finish() -> void;
    // Returns the journal entry of a request that ends now.
    [[nodiscard]] auto make_record(request_outcome outcome) const
        -> request_record;
    // Logs that no connection for the current attempt could be made.
    auto log_failed_connection() const -> void;
    // Logs that the connection of the current attempt ended before its answer
    // was complete.
    auto log_lost_attempt(transport::call_failure failure) const -> void;
    auto log_answer(int status) -> void;
    auto record_event_times(time_point now) -> void;
    // Takes in the events that have arrived since the last call.
    auto sample_event_times(time_point now) -> void;
    auto pass_on_sample(const std::optional<duration>& gap) -> void;
    auto log_failure(request_outcome outcome, const error& cause) -> void;
    [[nodiscard]] auto time_left(time_point now) const -> milliseconds;
    [[nodiscard]] auto demand_urgency() const -> int;
    [[nodiscard]] auto requested_model() const -> model_reference;
    // Returns whether the request may be sent again after `possible_runs`
    // attempts that may have run.
    [[nodiscard]] auto may_run_again(int possible_runs) const -> bool;
    [[nodiscard]] auto retry_hint(const error& cause) -> milliseconds;

    relay_state& state_;
    // Null after the client has disconnected and after the end of the exchange.
    transport::http_session* client_;
    std::shared_ptr<const coordination::relay_config> config_;
    const coordination::relay_route& route_;
    relayed_request request_;
    request_caller caller_;
    std::string service_;
    coordination::fingerprint fingerprint_;
    // Parts of the prompt that other requests may share.
    std::vector<coordination::prompt_part_id> shared_parts_;
    // Set if another daemon has forwarded the request.
    std::optional<forwarding_order> forwarded_;
    // Number of backend servers on which the request may run.
    int max_runs_ = 1;
    // Daemon that makes the current attempt; empty if this one does.
    std::string helper_;
    int forwarded_runs_ = 0;
    forwarding_outcome forwarding_outcome_ = forwarding_outcome::failed;
    std::vector<std::string> failed_helpers_;
    time_point arrived_;
    time_point deadline_;
    // End of the wait for a model; empty while the request is not waiting.
    std::optional<time_point> wait_until_;
    // Estimated time until a backend server can accept the request; empty if
    // unknown.
    std::optional<milliseconds> expected_wait_;
    // Time until the end of the pause for which the request was refused; empty
    // if there is none.
    std::optional<milliseconds> pause_left_;
    // Whether the request has waited for the end of a pause.
    bool waited_for_pause_ = false;
    // Incremented with each permit request; invalidates earlier ones.
    std::uint64_t permit_requests_ = 0;
    // Backend server of the last permit that was refused after a wait was
    // offered; empty if there is none.
    std::string refused_by_;
    // Number of permits refused at once because a server had no room.
    int servers_without_room_ = 0;
    // What the current attempt holds on its backend server, and how it ended.
    server_slot slot_;
    coordination::slot_outcome slot_outcome_ =
        coordination::slot_outcome::ended;
    bool demand_recorded_ = false;
    // Rank among the requests that compete for capacity; empty if the request
    // does not compete.
    std::optional<int> service_rank_;
    coordination::urgency_standing standing_;
    // The same without regard to whether that rank is neglected.
    int demanded_rank_ = 0;
    // Whether the last dispatch was held back.
    bool held_back_ = false;
    // Identifies the request among those that wait for room; 0 if it does not
    // wait.
    std::uint64_t waiting_id_ = 0;
    // Requests per slot on the servers at the last dispatch, and their bound;
    // empty if either is not known.
    std::optional<double> held_load_;
    double held_bound_ = 0;
    // Of the current attempt: requests per slot on its backend server, and the
    // predicted time to the first event if known.
    double chosen_load_per_slot_ = 0;
    std::optional<duration> predicted_first_event_;
    // Rejection for lack of capacity after which the request waits for room.
    std::optional<error> rejection_;
    // Software version of the backend server of the last attempt.
    std::string attempt_version_;
    // Software version at which the stream began; empty before its first
    // event. Only this version may continue it, none if it is unknown ("").
    std::optional<std::string> stream_version_;

    // The attempt in flight; null if there is none.
    std::shared_ptr<transport::http_call_connection> call_;
    // Backend server of the last attempt; empty if there is none.
    std::string backend_;
    // Number of the current attempt, unique in the relay; 0 before the first
    // one.
    std::uint64_t call_number_ = 0;
    time_point attempt_started_{};
    // For logs and the journal: load of the last selected backend server, and
    // reason of the last retry decision.
    double chosen_backend_load_ = 0;
    std::string_view retry_outcome_ = "not_asked";
    // Backend servers that the next attempt avoids.
    std::vector<std::string> excluded_;
    // Backend servers that it takes only if all others are saturated.
    std::vector<std::string> avoided_;
    // Number of attempts that ran or may have run, and of all attempts sent.
    int possible_runs_ = 0;
    int attempts_sent_ = 0;
    // Whether no connection was made for the last attempt.
    bool nothing_sent_ = false;
    // Incremented with each scheduled dispatch; invalidates earlier timers.
    std::uint64_t dispatch_generation_ = 0;

    answer_mode mode_ = answer_mode::none;
    answer_verdict verdict_ = answer_verdict::answer;
    transport::answer_head head_;
    std::string body_;
    // What body_ and events_ hold of the daemon's budget.
    coordination::byte_lease buffered_;
    // Whether the current attempt has received any byte of a stream.
    bool received_stream_ = false;
    // Whether head_ and body_ hold a 5xx answer of a backend server, which is
    // passed on if no later attempt succeeds.
    bool has_fallback_ = false;
    protocol::event_splitter events_;
    // Whether the head of a stream has been sent to the client.
    bool stream_started_ = false;
    // Media type of that head, which answers that resume the stream share.
    std::string stream_type_;
    // For logs: when the first and the latest bytes of events arrived, and the
    // longest time between two arrivals.
    std::optional<time_point> first_event_at_;
    time_point last_event_at_{};
    duration longest_gap_{0};
    // Of the current attempt, for the speed of its server.
    coordination::gap_sampler gaps_;
    std::uint64_t sampled_events_ = 0;
    // Whether reading from the backend server is paused for flow control.
    bool paused_ = false;
    bool awaits_memory_ = false;
    bool preferred_ = false;
    bool done_ = false;
};

} // namespace basilstream::daemon::internal
