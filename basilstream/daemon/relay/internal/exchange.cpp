#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "basilstream/protocol/json/json.hpp"

// Request lifecycle: arrival, backend selection, wait for a model, final
// answer. Single attempts are handled in exchange_attempts.cpp, answers of
// backend servers in exchange_answers.cpp.

namespace basilstream::daemon::internal {
namespace {

// Decoding one output token takes about as long as prefilling ten prompt
// tokens, as prompt tokens are processed in batches.
constexpr auto output_token_weight = 10;
// A model whose servers all pause for less than this is not loaded elsewhere;
// loading takes about as long.
constexpr auto short_pause = seconds{5};
// Servers without room that a request asks for a slot before it waits for one.
constexpr auto max_servers_without_room = 3;
// How long after its deadline a request may still be on a server.
constexpr auto slot_margin = seconds{1};
// Time that the last bytes of an answer may take beyond the deadline.
constexpr auto delivery_margin = seconds{1};
// Time over which requests return to a server after its pause.
constexpr auto pause_end_spread = milliseconds{200};

// Returns the parts that other requests may share: all but the last one, which
// belongs to the request or its session.
auto find_shared_parts(const relayed_request& request)
    -> std::vector<coordination::prompt_part_id> {
    auto shared = std::vector<coordination::prompt_part_id>{};
    for (const auto& part : request.prompt_parts_) {
        shared.push_back(part.id_);
    }
    if (!shared.empty()) {
        shared.pop_back();
    }
    std::sort(shared.begin(), shared.end());
    shared.erase(std::unique(shared.begin(), shared.end()), shared.end());
    return shared;
}

auto error_body(const error& cause) -> std::string {
    return protocol::json{{"error",
                           {{"code", error_code_names.name_of(cause.code_)},
                            {"step", step_names.name_of(cause.step_)},
                            {"run", run_status_names.name_of(cause.run_)}}}}
        .dump();
}

} // namespace

auto prompt_equivalent_tokens(const relayed_request& request) -> std::int64_t {
    return request.prompt_tokens_ +
           output_token_weight * request.output_tokens_;
}

exchange::exchange(relay_state& state, transport::http_session& client,
                   std::shared_ptr<const coordination::relay_config> config,
                   const coordination::relay_route& route,
                   relayed_request request, request_caller caller,
                   std::optional<forwarding_order> forwarded)
    : state_{state}, client_{&client}, config_{std::move(config)},
      route_{route}, request_{std::move(request)}, caller_{std::move(caller)},
      service_{
          coordination::pick_target(route, state.context_.random_.fraction())},
      fingerprint_{coordination::make_fingerprint(
          coordination::canonical_host(request_.host_),
          request_.message_.target_, request_.message_.body_)},
      shared_parts_{find_shared_parts(request_)}, forwarded_{std::move(
                                                      forwarded)},
      max_runs_{forwarded_ ? std::min(forwarded_->runs_, route.attempts_)
                           : route.attempts_},
      arrived_{state.context_.clock_.now()},
      deadline_{arrived_ +
                std::min(route.timeout_,
                         request_.client_timeout_.value_or(route.timeout_)) -
                request_.message_.waited_},
      buffered_{state.buffered_answers_} {
    if (request_.last_event_) {
        events_.skip_through(*request_.last_event_);
    }
}

auto exchange::requested_model() const -> model_reference {
    return {service_, request_.model_, request_.adapter_};
}

auto exchange::demand_urgency() const -> int {
    const auto& organisations = *caller_.organisations_;
    return organisations.urgency(route_,
                                 organisations.find(caller_.organisation_));
}

auto exchange::time_left(time_point now) const -> milliseconds {
    return std::max(std::chrono::duration_cast<milliseconds>(deadline_ - now),
                    milliseconds{0});
}

auto exchange::start() -> void {
    client_->observe(this);
    client_->set_delivery_deadline(arrived_ + route_.timeout_ +
                                   delivery_margin);
    state_.counters_.requests_.add();
    find_service_rank();
    if (!forwarded_) {
        state_.retry_policy_of(service_).on_request(arrived_);
    } else if (forwarded_->stream_version_) {
        stream_version_ = forwarded_->stream_version_;
        dispatch();
        return;
    }
    if (request_.last_event_ && route_.resumable_) {
        state_.counters_.resume_requests_.add();
        state_.context_.log_.info(
            "request resumes a stream",
            {{"request_id", request_.id_},
             {"resumes", request_.resumed_request_},
             {"after", std::to_string(*request_.last_event_)}});
        find_stream_version();
        return;
    }
    dispatch();
}

auto exchange::find_stream_version() -> void {
    state_.context_.streams_.find_version(
        request_.resumed_request_, service_,
        [self = shared_from_this()](const auto& version) {
            if (self->done_) {
                return;
            }
            if (version) {
                self->stream_version_ = version;
                self->dispatch();
                return;
            }
            // The client can begin anew at once.
            self->expected_wait_ = milliseconds{0};
            self->retry_outcome_ = "version_unknown";
            self->give_up(
                error{error_code::not_found, step::routing, self->service_,
                      "the version that began the stream is not known",
                      run_status::not_run});
        });
}

auto exchange::required_version() const -> std::optional<std::string_view> {
    return stream_version_ ? std::optional<std::string_view>{*stream_version_}
                           : std::nullopt;
}

auto exchange::make_route_request(std::string_view key) const
    -> coordination::route_request {
    return {.model_ = key,
            .software_version_ = required_version(),
            .adapter_ = request_.adapter_,
            .excluded_ = excluded_,
            .avoided_ = avoided_};
}

auto exchange::avoid_limited_servers() -> void {
    const auto may_begin_anywhere = route_.resumable_ && !required_version();
    avoided_ = may_begin_anywhere &&
                       !state_.context_.streams_.has_sole_version(service_)
                   ? state_.context_.permits_.limited_servers()
                   : std::vector<std::string>{};
}

auto exchange::dispatch() -> void {
    const auto now = state_.context_.clock_.now();
    slot_.give_back(coordination::slot_outcome::unused);
    if (refuse_held_part()) {
        return;
    }
    if (!forwarded_ && state_.prefers_forwarding(service_) && forward()) {
        return;
    }
    if (forwarded_ && possible_runs_ == 0 &&
        refusal_outcome() == forwarding_outcome::unreached) {
        retry_outcome_ = "servers_unreachable";
        give_up(error{error_code::unavailable, step::routing, service_,
                      "this daemon does not reach the service either",
                      run_status::not_run});
        return;
    }
    avoid_limited_servers();
    const auto key = routing_key(service_, request_.model_);
    auto routing_request = make_route_request(key);
    auto chosen = choose_server(routing_request, now);
    if (!chosen && possible_runs_ > 0 && mode_ != answer_mode::not_run) {
        // The answer of the last attempt was lost. If no other backend server
        // is available, retry on one that was excluded.
        routing_request.excluded_ = {};
        chosen = state_.router_.choose(routing_request, now);
    }
    if (!request_.model_.empty() && !std::exchange(demand_recorded_, true)) {
        // Loading the model elsewhere takes longer than a short pause.
        const auto pause_end =
            state_.router_.first_pause_end(routing_request, now);
        const auto soon_served = pause_end && *pause_end - now < short_pause;
        state_.provisioner_.on_request(
            requested_model(), prompt_equivalent_tokens(request_),
            chosen.has_value() || soon_served, demand_urgency());
    }
    if (held_back_) {
        wait_for_room(now);
        return;
    }
    if (chosen && begins_too_late(*chosen, now)) {
        refuse_for_lack_of_room(now);
        return;
    }
    if (chosen && rejection_ && !charge_retry()) {
        return;
    }
    // Asking one full server after the other would delay the request.
    const auto enough_asked = servers_without_room_ >= max_servers_without_room;
    if ((!chosen || enough_asked) && wait_for_permit(routing_request)) {
        return;
    }
    if (chosen) {
        wait_until_.reset();
        request_permit(*chosen, duration{0});
    } else if (!wait_for_pause_end(routing_request) && !waiting()) {
        wait_for_model(chosen.error());
    }
}

auto exchange::longest_wait(time_point now) const -> duration {
    return std::min<duration>(
        duration{static_cast<duration::rep>(
            state_.settings_.max_wait_objective_multiple_ *
            static_cast<double>(duration{route_.objective_}.count()))},
        time_left(now) / 2);
}

auto exchange::wait_for_permit(const coordination::route_request& request)
    -> bool {
    const auto now = state_.context_.clock_.now();
    const auto first = state_.router_.choose_rate_limited(request, now);
    if (!first) {
        return false;
    }
    wait_until_.reset();
    request_permit(*first, longest_wait(now));
    return true;
}

auto exchange::wait_for_pause_end(const coordination::route_request& request)
    -> bool {
    const auto now = state_.context_.clock_.now();
    const auto end = state_.router_.first_pause_end(request, now);
    if (!end) {
        return false;
    }
    if (waited_for_pause_ || *end - now > longest_wait(now)) {
        refuse_until(*end);
        return true;
    }
    waited_for_pause_ = true;
    wait_until_.reset();
    excluded_.clear();
    // Requests that wait for the same server return one after the other.
    const auto spread = std::chrono::duration_cast<duration>(
        state_.context_.random_.fraction() * pause_end_spread);
    dispatch_after(std::chrono::ceil<milliseconds>(*end - now + spread));
    return true;
}

auto exchange::refuse_until(time_point pause_end) -> void {
    pause_left_ = std::chrono::ceil<milliseconds>(pause_end -
                                                  state_.context_.clock_.now());
    retry_outcome_ = "servers_paused";
    give_up(
        error{error_code::overloaded, step::routing, service_,
              "each usable backend server has asked for a pause",
              possible_runs_ > 0 ? run_status::unknown : run_status::not_run});
}

auto exchange::request_permit(const coordination::route& chosen,
                              duration max_wait) -> void {
    auto& permits = state_.context_.permits_;
    if (!permits.needs_permit(chosen.runner_)) {
        send_attempt(chosen);
        return;
    }
    permits.acquire(
        chosen.runner_,
        {max_wait, time_left(state_.context_.clock_.now()) + slot_margin},
        [self = shared_from_this(), chosen, max_wait,
         number = ++permit_requests_](const auto& given, server_slot slot) {
            if (!self->done_ && self->permit_requests_ == number) {
                self->on_permit(chosen, max_wait, given, std::move(slot));
            }
        });
}

auto exchange::on_permit(const coordination::route& chosen, duration max_wait,
                         const coordination::permit& given, server_slot slot)
    -> void {
    slot_ = std::move(slot);
    if (given.granted_) {
        state_.context_.thread_.after(
            std::chrono::ceil<milliseconds>(given.wait_),
            [self = shared_from_this(), chosen, number = permit_requests_] {
                if (!self->done_ && self->permit_requests_ == number) {
                    self->send_permitted(chosen);
                }
            });
        return;
    }
    state_.router_.set_rate_limited_until(
        chosen.runner_, state_.context_.clock_.now() + given.wait_);
    const auto no_room =
        state_.context_.permits_.bearable_of(chosen.runner_).has_value();
    servers_without_room_ += no_room ? 1 : 0;
    const auto may_try_another = max_wait == duration{0} || refused_by_.empty();
    if (max_wait > duration{0}) {
        refused_by_ = chosen.runner_;
        expected_wait_ = std::chrono::ceil<milliseconds>(given.wait_);
    }
    if (may_try_another) {
        dispatch();
        return;
    }
    retry_outcome_ = no_room ? "no_room" : "rate_limited";
    give_up(error{
        error_code::overloaded, step::routing, chosen.runner_,
        no_room ? "the backend servers have no room and bear few rejections"
                : "the backend servers are at their rate limits",
        possible_runs_ > 0 ? run_status::unknown : run_status::not_run});
}

auto exchange::send_permitted(const coordination::route& chosen) -> void {
    // The backend server may have begun to drain in the meantime, or have asked
    // for a pause.
    if (state_.router_.accepts_work(chosen.runner_,
                                    state_.context_.clock_.now())) {
        send_attempt(chosen);
    } else {
        dispatch();
    }
}

auto exchange::wait_for_model(const error& cause) -> void {
    const auto now = state_.context_.clock_.now();
    const auto worth_waiting = possible_runs_ == 0 && !request_.model_.empty();
    if (stream_version_ &&
        !state_.router_.has_replica(routing_key(service_, request_.model_),
                                    *stream_version_)) {
        // Loading the model would not help, but the client can begin anew.
        expected_wait_ = milliseconds{0};
        give_up(error{error_code::not_found, step::routing, service_,
                      "no backend server of the version that began the stream",
                      possible_runs_ > 0 ? run_status::unknown
                                         : run_status::not_run});
        return;
    }
    expected_wait_ = state_.provisioner_.expected_wait(requested_model());
    const auto max_wait = longest_wait(now);
    if (!worth_waiting || !expected_wait_ || *expected_wait_ > max_wait) {
        auto failure = cause;
        failure.run_ =
            possible_runs_ > 0 ? run_status::unknown : run_status::not_run;
        give_up(failure);
        return;
    }
    wait_until_ = now + max_wait;
}

auto exchange::on_backends_changed() -> void {
    if (waiting() && !done_) {
        dispatch();
    }
}

auto exchange::enforce_deadline(time_point now) -> void {
    if (done_) {
        return;
    }
    if (now >= deadline_) {
        const auto may_have_run = possible_runs_ > 0 || call_;
        if (call_) {
            cancel_attempt();
        }
        give_up(
            error{error_code::timeout, step::attempt, service_,
                  "the deadline of the request has passed",
                  may_have_run ? run_status::unknown : run_status::not_run});
    } else if (wait_until_ && now >= *wait_until_) {
        wait_until_.reset();
        give_up(error{error_code::not_ready, step::routing, service_,
                      "the model was not loaded in time", run_status::not_run});
    }
}

auto exchange::end_on_shutdown(bool include_running) -> void {
    const auto self = shared_from_this();
    if (done_ || (call_ && !include_running)) {
        return;
    }
    const auto may_have_run = possible_runs_ > 0 || call_;
    if (call_) {
        cancel_attempt();
    }
    give_up(error{error_code::unavailable, step::caller, service_,
                  "the daemon is stopping",
                  may_have_run ? run_status::unknown : run_status::not_run});
}

auto exchange::deliver_buffered() -> void {
    if (client_ != nullptr) {
        client_->respond(head_.status_, passed_on_headers(), body_);
    }
    state_.counters_.answered_.add();
    log_answer(head_.status_);
    state_.counters_.first_byte_.record(state_.context_.clock_.now() -
                                        arrived_);
    finish();
}

auto exchange::retry_hint(const error& cause) -> milliseconds {
    if (cause.code_ == error_code::quarantined && cause.retry_after_) {
        return *cause.retry_after_;
    }
    // Jitter keeps clients that were refused at the same time from retrying at
    // the same time.
    if (pause_left_) {
        const auto spread = std::max<milliseconds>(
            *pause_left_ / 4,
            std::chrono::duration_cast<milliseconds>(pause_end_spread));
        return *pause_left_ + std::chrono::duration_cast<milliseconds>(
                                  state_.context_.random_.fraction() * spread);
    }
    const auto base =
        expected_wait_.value_or(state_.settings_.retry_hint_).count();
    const auto spread = 0.75 + 0.5 * state_.context_.random_.fraction();
    return milliseconds{
        static_cast<milliseconds::rep>(static_cast<double>(base) * spread)};
}

auto exchange::give_up(const error& cause) -> void {
    const auto self = shared_from_this();
    if (has_fallback_) {
        // The 5xx answer of a backend server tells the client more than an
        // error of the relay.
        deliver_buffered();
        return;
    }
    const auto not_run =
        possible_runs_ == 0 && cause.run_ == run_status::not_run;
    log_failure(not_run ? request_outcome::refused : request_outcome::failed,
                cause);
    (not_run ? state_.counters_.refused_ : state_.counters_.failed_).add();
    if (not_run && !caller_.organisation_.empty()) {
        state_.usage_.on_refused(caller_.organisation_, refusal_kind::capacity);
        return_units();
    }
    if (client_ != nullptr && stream_started_) {
        // The session ends with the call.
        std::exchange(client_, nullptr)->abort();
    } else if (client_ != nullptr) {
        const auto timed_out = cause.code_ == error_code::timeout;
        const auto status = not_run ? 503 : timed_out ? 504 : 502;
        const auto hint =
            not_run ? std::optional{retry_hint(cause)} : std::nullopt;
        auto headers = state_.dialect_.local_reply_headers(request_.id_, hint);
        if (forwarded_) {
            write_forwarding_outcome(
                {not_run ? refusal_outcome() : forwarding_outcome::failed},
                headers);
        }
        client_->respond(status, headers, error_body(cause));
    }
    finish();
}

auto exchange::refusal_outcome() const -> forwarding_outcome {
    const auto reached =
        state_.reachability_of(service_).state(state_.context_.clock_.now()) ==
        coordination::reachability::reached;
    return reached ? forwarding_outcome::not_run
                   : forwarding_outcome::unreached;
}

auto exchange::make_record(request_outcome outcome) const -> request_record {
    const auto now = state_.context_.clock_.now();
    auto entry = request_record{};
    entry.request_id_ = request_.id_;
    entry.outcome_ = outcome;
    entry.ended_at_ = now;
    entry.route_ = route_.name_;
    entry.service_ = service_;
    entry.model_ = request_.model_;
    entry.adapter_ = request_.adapter_;
    entry.backend_ = helper_.empty() ? backend_ : helper_;
    entry.retry_ = retry_outcome_;
    entry.attempts_ = attempts_sent_;
    entry.events_ = events_.events();
    entry.backend_load_ = chosen_backend_load_;
    entry.duration_ = std::chrono::duration_cast<milliseconds>(now - arrived_);
    entry.config_version_ = config_->version_;
    return entry;
}

auto exchange::log_failure(request_outcome outcome, const error& cause)
    -> void {
    auto journal_entry = make_record(outcome);
    journal_entry.code_ = cause.code_;
    journal_entry.step_ = cause.step_;
    journal_entry.run_ = cause.run_;
    journal_entry.detail_ = cause.detail_;
    const auto waited = journal_entry.duration_;
    state_.journal_.add(std::move(journal_entry));
    state_.context_.log_.info(
        outcome == request_outcome::refused ? "request refused"
                                            : "request failed",
        {{"request_id", request_.id_},
         {"route", route_.name_},
         {"organisation", caller_.organisation_},
         {"service", service_},
         {"model", request_.model_},
         {"adapter", request_.adapter_},
         {"backend", backend_},
         {"peer", helper_},
         {"fingerprint", fingerprint_.to_string()},
         {"code", error_code_names.name_of(cause.code_)},
         {"step", step_names.name_of(cause.step_)},
         {"run", run_status_names.name_of(cause.run_)},
         {"detail", cause.detail_},
         {"attempts", std::to_string(attempts_sent_)},
         {"events", std::to_string(events_.events())},
         {"backend_load", std::to_string(std::lround(chosen_backend_load_))},
         {"retry", retry_outcome_},
         {"waited_ms", std::to_string(waited.count())},
         {"config", std::to_string(config_->version_)}});
}

auto exchange::describe() const -> exchange_description {
    auto description =
        exchange_description{request_.id_, route_.name_, request_.model_};
    if (call_ && helper_.empty()) {
        description.backend_ = backend_;
        description.backend_load_ =
            std::to_string(std::lround(chosen_backend_load_));
    }
    return description;
}

auto exchange::on_client_left() -> void {
    const auto self = shared_from_this();
    client_ = nullptr;
    state_.counters_.client_disconnects_.add();
    if (service_rank_ && !first_event_at_ &&
        route_.kind_ == coordination::request_kind::streaming) {
        state_.shedding_.patience().on_left(
            route_.name_, state_.context_.clock_.now() - arrived_,
            deadline_ - arrived_);
    }
    const auto run_to_end =
        call_ && route_.kind_ == coordination::request_kind::non_idempotent;
    if (run_to_end) {
        return;
    }
    if (call_) {
        cancel_attempt();
    } else if (possible_runs_ == 0) {
        return_units();
    }
    finish();
}

auto exchange::return_units() -> void {
    const auto units = std::exchange(caller_.charged_units_, 0);
    if (units > 0) {
        state_.context_.allowances_.give_back(caller_.organisation_, units);
    }
}

auto exchange::log_answer(int status) -> void {
    auto journal_entry = make_record(request_outcome::answered);
    journal_entry.status_ = status;
    const auto total_time = journal_entry.duration_;
    state_.journal_.add(std::move(journal_entry));
    const auto milliseconds_text = [](duration value) {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(value).count());
    };
    state_.context_.log_.info(
        "request answered",
        {{"request_id", request_.id_},
         {"route", route_.name_},
         {"model", request_.model_},
         {"adapter", request_.adapter_},
         {"backend", backend_},
         {"backend_load", std::to_string(std::lround(chosen_backend_load_))},
         {"peer", helper_},
         {"version", attempt_version_},
         {"status", std::to_string(status)},
         {"attempts", std::to_string(attempts_sent_)},
         {"events", std::to_string(events_.events())},
         {"framing", transport::answer_framing_names.name_of(head_.framing_)},
         {"partial_bytes", std::to_string(events_.partial_bytes())},
         {"first_event_ms",
          milliseconds_text(first_event_at_.value_or(arrived_) - arrived_)},
         {"longest_gap_ms", milliseconds_text(longest_gap_)},
         {"whole_ms", std::to_string(total_time.count())}});
}

auto exchange::finish() -> void {
    if (std::exchange(done_, true)) {
        return;
    }
    if (client_ != nullptr) {
        client_->observe(nullptr);
        client_ = nullptr;
    }
    state_.shedding_.leave(service_, waiting_id_);
    slot_.give_back(coordination::slot_outcome::unused);
    state_.counters_.total_time_.record(state_.context_.clock_.now() -
                                        arrived_);
    state_.exchanges_.erase(shared_from_this());
}

} // namespace basilstream::daemon::internal
