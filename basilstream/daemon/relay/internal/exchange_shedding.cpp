#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <utility>

// Competition for capacity: which requests wait for room on a server, and which
// are refused because none is expected in time.

namespace basilstream::daemon::internal {
namespace {

// Clients disconnect from a stream when there is no event for about a fifth of
// their deadline.
constexpr auto stream_patience_divisor = 5;
// Bounds of the Retry-After of a refusal for lack of room.
constexpr auto shortest_backlog = milliseconds{100};
constexpr auto longest_backlog = milliseconds{10'000};

} // namespace

auto exchange::find_service_rank() -> void {
    // Plain services answer within less time than the age of load information.
    if (!state_.callers_compete() || request_.model_.empty()) {
        return;
    }
    const auto& organisations = *caller_.organisations_;
    standing_ = organisations.standing(
        route_, organisations.find(caller_.organisation_));
    const auto rank =
        coordination::service_rank(standing_.position_, standing_.count_);
    auto& demand = state_.shedding_.demand_of(service_);
    demand.on_request(rank, arrived_);
    demanded_rank_ = rank;
    service_rank_ = rank > 1 && demand.is_neglected(rank, arrived_) ? 1 : rank;
}

auto exchange::choose_server(const coordination::route_request& request,
                             time_point now) -> result<coordination::route> {
    held_back_ = false;
    held_load_.reset();
    const auto begun =
        possible_runs_ > 0 || stream_started_ || request_.last_event_;
    if (!service_rank_ || begun) {
        return state_.router_.choose(request, now);
    }
    auto narrowed = request;
    auto excluded = state_.shedding_.estimates().backed_off(now);
    excluded.insert(excluded.end(), excluded_.begin(), excluded_.end());
    narrowed.excluded_ = excluded;
    auto chosen = state_.router_.choose(narrowed, now);
    if (!chosen) {
        // All servers of the model have just rejected requests.
        chosen = state_.router_.choose(request, now);
        held_back_ = chosen && (*service_rank_ > 0 || rejection_);
        return chosen;
    }
    const auto bound = coordination::load_bound(
        *service_rank_,
        state_.shedding_.demand_of(service_).share_above(*service_rank_, now));
    const auto load = chosen->mean_load_per_slot_;
    held_load_ = bound ? std::optional{load} : std::nullopt;
    held_bound_ = bound.value_or(0);
    const auto known = !bound || state_.knows_loads(now);
    held_back_ =
        !known || !state_.shedding_.credit_of(std::string{request.model_})
                       .try_send(load, bound);
    return chosen;
}

auto exchange::wait_for_room(time_point now) -> void {
    if (waiting_id_ != 0) {
        return;
    }
    const auto objective = duration{static_cast<duration::rep>(
        state_.settings_.max_wait_objective_multiple_ *
        static_cast<double>(duration{route_.objective_}.count()))};
    // Leaves the time for a first event from a server with free slots.
    const auto first_event =
        state_.shedding_.estimates().expected_first_event({}, service_, 0);
    const auto give_up_at =
        std::min({arrived_ + objective, arrived_ + (deadline_ - arrived_) / 2,
                  client_leaves_at() - first_event.value_or(duration{0})});
    const auto turn =
        state_.shedding_.expected_wait(service_, *service_rank_, now);
    const auto expected =
        std::max(turn.value_or(duration{0}), time_until_room());
    if (now + expected >= give_up_at) {
        refuse_for_lack_of_room(now);
        return;
    }
    wait_until_.reset();
    waiting_id_ = state_.shedding_.next_id();
    state_.shedding_.join(
        service_, shared_from_this(),
        {.id_ = waiting_id_,
         .group_ =
             routing_key(service_, request_.model_) + "\n" + request_.adapter_,
         .rank_ = *service_rank_,
         .objective_at_ = arrived_ + route_.objective_,
         .give_up_at_ = give_up_at,
         .work_ = static_cast<double>(prompt_equivalent_tokens(request_))});
}

auto exchange::time_until_room() const -> duration {
    const auto room = held_load_ ? state_.shedding_.estimates().expected_room(
                                       service_, *held_load_, held_bound_)
                                 : std::nullopt;
    return room.value_or(duration{0});
}

auto exchange::client_leaves_at() const -> time_point {
    if (route_.kind_ != coordination::request_kind::streaming) {
        return deadline_;
    }
    const auto allowed = deadline_ - arrived_;
    return arrived_ + state_.shedding_.patience()
                          .expected(route_.name_, allowed)
                          .value_or(allowed / stream_patience_divisor);
}

auto exchange::begins_too_late(const coordination::route& chosen,
                               time_point now) const -> bool {
    const auto begun =
        possible_runs_ > 0 || stream_started_ || request_.last_event_;
    if (!service_rank_ || *service_rank_ == 0 || begun) {
        return false;
    }
    const auto first_event = state_.shedding_.estimates().expected_first_event(
        chosen.runner_, service_, chosen.load_ / chosen.slots_);
    return first_event && now + *first_event > client_leaves_at();
}

auto exchange::predict_first_event(const coordination::route& chosen) -> void {
    if (service_rank_) {
        chosen_load_per_slot_ = chosen.load_ / chosen.slots_;
        predicted_first_event_ =
            state_.shedding_.estimates().expected_first_event(
                chosen.runner_, service_, chosen_load_per_slot_);
    }
}

auto exchange::check_prediction(time_point now) -> void {
    if (!service_rank_ || !helper_.empty()) {
        return;
    }
    state_.shedding_.patience().on_first_event(route_.name_, now - arrived_,
                                               deadline_ - arrived_);
    const auto waited = now - attempt_started_;
    if (predicted_first_event_) {
        state_.shedding_.record_error(
            std::chrono::abs(waited - *predicted_first_event_));
    }
    state_.shedding_.estimates().on_first_event(service_, chosen_load_per_slot_,
                                                waited);
}

auto exchange::urgency(time_point now) const -> int {
    const auto& organisations = *caller_.organisations_;
    const auto* const organisation = organisations.find(caller_.organisation_);
    auto level = std::optional<int>{};
    if (service_rank_) {
        const auto first_event =
            state_.shedding_.estimates().expected_first_event({}, service_, 0);
        const auto can_meet = now + first_event.value_or(duration{0}) <=
                              arrived_ + route_.objective_;
        const auto used =
            attempts_sent_ > 0 || now - arrived_ > route_.objective_ / 2;
        using coordination::slack_state;
        level =
            coordination::urgency_level(standing_.position_, standing_.count_,
                                        !can_meet ? slack_state::late
                                        : used    ? slack_state::used
                                                  : slack_state::enough);
    }
    return level.value_or(organisations.urgency(route_, organisation));
}

auto exchange::watch_queued_attempt(time_point now) -> void {
    if (!service_rank_ || !may_run_again(possible_runs_ + 1) ||
        route_.kind_ != coordination::request_kind::streaming) {
        return;
    }
    const auto patience = client_leaves_at() - arrived_;
    const auto delay = std::chrono::ceil<milliseconds>(
        std::max(arrived_ + patience / 2 - now, duration{0}));
    state_.context_.thread_.after(
        delay, [waiting = weak_from_this(), number = call_number_] {
            const auto self = waiting.lock();
            if (self && !self->done_ && self->call_ &&
                self->call_number_ == number) {
                self->move_queued_attempt();
            }
        });
}

auto exchange::move_queued_attempt() -> void {
    if (mode_ != answer_mode::none || !helper_.empty() || client_ == nullptr ||
        stream_started_ || !may_run_again(possible_runs_ + 1)) {
        return;
    }
    const auto now = state_.context_.clock_.now();
    const auto key = routing_key(service_, request_.model_);
    auto request = make_route_request(key);
    auto excluded = state_.shedding_.estimates().backed_off(now);
    excluded.insert(excluded.end(), excluded_.begin(), excluded_.end());
    excluded.push_back(backend_);
    request.excluded_ = excluded;
    const auto other = state_.router_.choose(request, now);
    if (!other || other->load_ >= other->slots_) {
        return;
    }
    const auto first_event = state_.shedding_.estimates().expected_first_event(
        other->runner_, service_, other->load_ / other->slots_);
    if (!first_event || now + *first_event >= client_leaves_at()) {
        return;
    }
    const auto decision = decide_retry(error{
        error_code::timeout, step::attempt, backend_,
        "queued at the backend server without an event", run_status::unknown});
    if (!decision.retry_) {
        return;
    }
    cancel_attempt();
    ++possible_runs_;
    state_.counters_.retries_.add();
    state_.shedding_.count_move();
    state_.context_.log_.info("moving request to another server",
                              {{"request_id", request_.id_},
                               {"backend", backend_},
                               {"to", other->runner_}});
    excluded_ = decision.excluded_;
    request_permit(*other, duration{0});
}

auto exchange::on_room_expected() -> bool {
    const auto self = shared_from_this();
    if (done_ || call_) {
        return true;
    }
    dispatch();
    if (!done_ && held_back_) {
        return false;
    }
    waiting_id_ = 0;
    return true;
}

auto exchange::on_wait_expired() -> void {
    const auto self = shared_from_this();
    waiting_id_ = 0;
    if (!done_ && !call_) {
        refuse_for_lack_of_room(state_.context_.clock_.now());
    }
}

auto exchange::refuse_for_lack_of_room(time_point now) -> void {
    const auto backlog = state_.shedding_.backlog(service_, now);
    const auto room = time_until_room();
    if (backlog || room > duration{0}) {
        expected_wait_ = std::clamp(std::chrono::ceil<milliseconds>(std::max(
                                        backlog.value_or(duration{0}), room)),
                                    shortest_backlog, longest_backlog);
    }
    state_.shedding_.count_refusal();
    retry_outcome_ = "no_capacity";
    give_up(error{error_code::overloaded, step::routing, service_,
                  "no backend server is expected to have room in time",
                  run_status::not_run});
}

auto exchange::dispatch_after_rejection(const error& cause) -> bool {
    if (!service_rank_ || possible_runs_ > 0 || stream_started_ ||
        slot_outcome_ != coordination::slot_outcome::rejected) {
        return false;
    }
    rejection_ = cause;
    dispatch();
    return true;
}

auto exchange::charge_retry() -> bool {
    const auto cause = std::exchange(rejection_, std::nullopt);
    const auto decision = decide_retry(*cause);
    if (!decision.retry_) {
        give_up(*decision.error_);
        return false;
    }
    state_.counters_.retries_.add();
    return true;
}

} // namespace basilstream::daemon::internal
