#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "basilstream/protocol/json/json.hpp"

// The life of a request: arrival, choice of a server, waiting, final answer.
// What happens on one server is in exchange_attempts.cpp.

namespace basilstream::daemon::internal {
namespace {

// An output token takes about as long as ten prompt tokens, which are read
// in batches.
constexpr auto output_token_weight = 10;

auto work_of(const relayed_request& request) -> std::int64_t {
    return request.prompt_tokens_ +
           output_token_weight * request.output_tokens_;
}

auto error_body(const error& cause) -> std::string {
    return protocol::json{{"error",
                           {{"code", error_code_names.name_of(cause.code_)},
                            {"step", step_names.name_of(cause.step_)},
                            {"run", run_status_names.name_of(cause.run_)}}}}
        .dump();
}

} // namespace

exchange::exchange(relay_parts& parts, transport::http_session& client,
                   std::shared_ptr<const coordination::relay_config> config,
                   const coordination::relay_route& route,
                   relayed_request request)
    : parts_{parts}, client_{&client}, config_{std::move(config)},
      route_{route}, request_{std::move(request)},
      service_{
          coordination::pick_target(route, parts.context_.random_.fraction())},
      fingerprint_{coordination::make_fingerprint(
          request_.host_, request_.message_.target_, request_.message_.body_)},
      arrived_{parts.context_.clock_.now()},
      deadline_{arrived_ + std::min(route.timeout_, request_.client_timeout_.value_or(
                                                        route.timeout_))} {
    if (request_.last_event_) {
        events_.skip_through(*request_.last_event_);
    }
}

auto exchange::want() const -> model_want {
    return {service_, request_.model_, request_.adapter_};
}

auto exchange::time_left(time_point now) const -> milliseconds {
    return std::max(std::chrono::duration_cast<milliseconds>(deadline_ - now),
                    milliseconds{0});
}

auto exchange::start() -> void {
    client_->observe(this);
    parts_.counters_.requests_.add();
    parts_.retries_of(service_).on_request(arrived_);
    dispatch();
}

auto exchange::dispatch() -> void {
    const auto now = parts_.context_.clock_.now();
    auto wanted = coordination::route_request{.adapter_ = request_.adapter_,
                                              .excluded_ = excluded_};
    const auto key = routing_key(service_, request_.model_);
    wanted.model_ = key;
    auto chosen = parts_.router_.choose(wanted, now);
    if (!chosen && runs_ > 0 && mode_ != answer_mode::not_run) {
        // Its answer was lost. Better the same server again than none.
        wanted.excluded_ = {};
        chosen = parts_.router_.choose(wanted, now);
    }
    const auto first = !wait_until_ && sends_ == 0;
    if (first && !request_.model_.empty()) {
        parts_.supply_.on_request(want(), work_of(request_),
                                  chosen.has_value());
    }
    if (chosen) {
        wait_until_.reset();
        send_to(*chosen);
    } else if (!waiting()) {
        wait_for_server(chosen.error());
    }
}

auto exchange::wait_for_server(const error& cause) -> void {
    const auto now = parts_.context_.clock_.now();
    const auto worth_waiting = runs_ == 0 && !request_.model_.empty();
    expected_wait_ = parts_.supply_.expected_wait(want());
    const auto longest = std::min<duration>(
        duration{static_cast<duration::rep>(
            parts_.settings_.longest_wait_objectives_ *
            static_cast<double>(duration{route_.objective_}.count()))},
        time_left(now) / 2);
    if (!worth_waiting || !expected_wait_ || *expected_wait_ > longest) {
        auto failure = cause;
        failure.run_ = runs_ > 0 ? run_status::unknown : run_status::not_run;
        give_up(failure);
        return;
    }
    wait_until_ = now + longest;
}

auto exchange::on_backends_changed() -> void {
    if (waiting() && !done_) {
        dispatch();
    }
}

auto exchange::check(time_point now) -> void {
    if (done_) {
        return;
    }
    if (now >= deadline_) {
        const auto ran = runs_ > 0 || call_;
        if (call_) {
            std::exchange(call_, nullptr)->cancel();
            end_attempt();
        }
        give_up(error{error_code::timeout, step::attempt, service_,
                      "the request's time is over",
                      ran ? run_status::unknown : run_status::not_run});
    } else if (wait_until_ && now >= *wait_until_) {
        wait_until_.reset();
        give_up(error{error_code::not_ready, step::routing, service_,
                      "the model is not in place yet", run_status::not_run});
    }
}

auto exchange::end_for_stop(bool all) -> void {
    const auto self = shared_from_this();
    if (done_ || (call_ && !all)) {
        return;
    }
    const auto ran = runs_ > 0 || call_;
    if (call_) {
        std::exchange(call_, nullptr)->cancel();
        end_attempt();
    }
    give_up(error{error_code::unavailable, step::caller, service_,
                  "the daemon is stopping",
                  ran ? run_status::unknown : run_status::not_run});
}

auto exchange::deliver_collected() -> void {
    if (client_ != nullptr) {
        client_->respond(head_.status_, parts_.dialect_.answer_headers(head_),
                         body_);
    }
    parts_.counters_.answered_.add();
    log_answer(head_.status_);
    parts_.counters_.first_byte_.record(parts_.context_.clock_.now() -
                                        arrived_);
    finish();
}

auto exchange::retry_hint(const error& cause) -> milliseconds {
    if (cause.code_ == error_code::quarantined && cause.retry_after_) {
        return *cause.retry_after_;
    }
    // Spread, so that clients refused together do not return together.
    const auto base =
        expected_wait_.value_or(parts_.settings_.retry_hint_).count();
    const auto spread = 0.75 + 0.5 * parts_.context_.random_.fraction();
    return milliseconds{
        static_cast<milliseconds::rep>(static_cast<double>(base) * spread)};
}

auto exchange::give_up(const error& cause) -> void {
    const auto self = shared_from_this();
    if (has_fallback_) {
        // A server's own failure is a better answer than ours.
        deliver_collected();
        return;
    }
    const auto not_run = runs_ == 0 && cause.run_ == run_status::not_run;
    log_end(not_run ? request_outcome::refused : request_outcome::failed,
            cause);
    (not_run ? parts_.counters_.refused_ : parts_.counters_.failed_).add();
    if (client_ != nullptr && stream_begun_) {
        client_->abort();
    } else if (client_ != nullptr) {
        const auto timed_out = cause.code_ == error_code::timeout;
        const auto status = not_run ? 503 : timed_out ? 504 : 502;
        const auto hint =
            not_run ? std::optional{retry_hint(cause)} : std::nullopt;
        client_->respond(status,
                         parts_.dialect_.local_reply_headers(request_.id_, hint),
                         error_body(cause));
    }
    finish();
}

auto exchange::record_of(request_outcome outcome) const -> request_record {
    const auto now = parts_.context_.clock_.now();
    auto made = request_record{};
    made.request_id_ = request_.id_;
    made.outcome_ = outcome;
    made.ended_at_ = now;
    made.route_ = route_.name_;
    made.service_ = service_;
    made.model_ = request_.model_;
    made.adapter_ = request_.adapter_;
    made.backend_ = backend_;
    made.retry_ = retry_verdict_;
    made.attempts_ = sends_;
    made.events_ = events_.events();
    made.backend_load_ = load_seen_;
    made.duration_ = std::chrono::duration_cast<milliseconds>(now - arrived_);
    made.config_version_ = config_->version_;
    return made;
}

auto exchange::log_end(request_outcome outcome, const error& cause) -> void {
    auto ended = record_of(outcome);
    ended.code_ = cause.code_;
    ended.step_ = cause.step_;
    ended.run_ = cause.run_;
    ended.detail_ = cause.detail_;
    const auto waited = ended.duration_;
    parts_.journal_.add(std::move(ended));
    parts_.context_.log_.info(
        outcome == request_outcome::refused ? "request refused"
                                            : "request failed",
        {{"request_id", request_.id_},
         {"route", route_.name_},
         {"service", service_},
         {"model", request_.model_},
         {"adapter", request_.adapter_},
         {"backend", backend_},
         {"code", error_code_names.name_of(cause.code_)},
         {"step", step_names.name_of(cause.step_)},
         {"run", run_status_names.name_of(cause.run_)},
         {"detail", cause.detail_},
         {"attempts", std::to_string(sends_)},
         {"events", std::to_string(events_.events())},
         {"backend_load", std::to_string(std::lround(load_seen_))},
         {"retry", retry_verdict_},
         {"waited_ms", std::to_string(waited.count())},
         {"config", std::to_string(config_->version_)}});
}

auto exchange::on_client_left() -> void {
    const auto self = shared_from_this();
    client_ = nullptr;
    parts_.counters_.clients_left_.add();
    const auto run_to_end =
        call_ && route_.kind_ == coordination::request_kind::non_idempotent;
    if (run_to_end) {
        return;
    }
    if (call_) {
        std::exchange(call_, nullptr)->cancel();
        end_attempt();
    }
    finish();
}

auto exchange::log_answer(int status) -> void {
    auto ended = record_of(request_outcome::answered);
    ended.status_ = status;
    const auto whole = ended.duration_;
    parts_.journal_.add(std::move(ended));
    parts_.context_.log_.info("request answered",
                              {{"request_id", request_.id_},
                               {"route", route_.name_},
                               {"backend", backend_},
                               {"status", std::to_string(status)},
                               {"attempts", std::to_string(sends_)},
                               {"events", std::to_string(events_.events())},
                               {"whole_ms", std::to_string(whole.count())}});
}

auto exchange::finish() -> void {
    if (std::exchange(done_, true)) {
        return;
    }
    if (client_ != nullptr) {
        client_->observe(nullptr);
        client_ = nullptr;
    }
    parts_.counters_.whole_.record(parts_.context_.clock_.now() - arrived_);
    parts_.exchanges_.erase(shared_from_this());
}

} // namespace basilstream::daemon::internal
