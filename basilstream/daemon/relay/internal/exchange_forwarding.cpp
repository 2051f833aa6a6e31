#include "basilstream/daemon/relay/internal/exchange.hpp"

#include <algorithm>
#include <utility>

// Attempts that another daemon makes, because this one reaches no backend
// server of the service.

namespace basilstream::daemon::internal {
namespace {

// Number of daemons to which a request may be sent that none of them runs.
constexpr auto max_helpers = std::size_t{3};
// Interval at which a request looks for offers of help.
constexpr auto offer_wait = milliseconds{30};
// Connections to the listener of another daemon.
constexpr auto max_helper_connections = 256;

} // namespace

auto exchange::forward() -> bool {
    const auto now = state_.context_.clock_.now();
    auto& forwarding = state_.context_.forwarding_;
    const auto helper = forwarding.choose(service_, failed_helpers_);
    if (helper && failed_helpers_.size() < max_helpers) {
        send_forwarded(*helper);
        return true;
    }
    const auto state = state_.reachability_of(service_).state(now);
    if (state == coordination::reachability::reached) {
        return false;
    }
    if (!forwarding.has_asked()) {
        dispatch_after(offer_wait);
        return true;
    }
    if (state != coordination::reachability::cut) {
        return false;
    }
    retry_outcome_ = "servers_unreachable";
    give_up(
        error{error_code::unavailable, step::routing, service_,
              "no backend server of the service can be reached",
              possible_runs_ > 0 ? run_status::unknown : run_status::not_run});
    return true;
}

auto exchange::send_forwarded(const forwarding_helper& helper) -> void {
    const auto now = state_.context_.clock_.now();
    wait_until_.reset();
    backend_.clear();
    attempt_version_.clear();
    helper_ = helper.name_;
    call_number_ = ++state_.last_call_number_;
    attempt_started_ = now;
    mode_ = answer_mode::none;
    forwarded_runs_ = std::max(max_runs_ - possible_runs_, 1);
    auto attempt =
        relay_attempt{.backend_id_ = {},
                      .remaining_time_ = time_left(now),
                      .urgency_ = 0,
                      .resume_after_ = request_.last_event_,
                      .authenticates_callers_ = config_->requires_keys_};
    if (events_.last_id()) {
        attempt.resume_after_ = events_.last_id();
    }
    const auto& message = request_.message_;
    auto headers = state_.dialect_.request_headers(request_, attempt);
    write_forwarding_fields({.key_ = helper.key_,
                             .runs_ = forwarded_runs_,
                             .config_version_ = config_->version_,
                             .stream_version_ = stream_version_,
                             .organisation_ = caller_.organisation_},
                            headers);
    call_ = state_.pool_.send(
        helper.address_,
        transport::write_request(message.method_, message.target_, headers,
                                 message.body_),
        message.method_ == "HEAD", max_helper_connections, *this, request_.id_);
    if (!call_) {
        failed_helpers_.push_back(std::exchange(helper_, {}));
        dispatch_after(milliseconds{0});
        return;
    }
    ++attempts_sent_;
    state_.counters_.forwarded_.add();
    state_.context_.log_.info("request forwarded to another daemon",
                              {{"request_id", request_.id_},
                               {"service", service_},
                               {"peer", helper.name_},
                               {"runs", std::to_string(forwarded_runs_)},
                               {"events", std::to_string(events_.events())}});
}

auto exchange::on_forwarded_head(const transport::answer_head& head) -> bool {
    const auto outcome = read_forwarding_outcome(head.headers_);
    auto answer = head;
    erase_forwarding_fields(answer.headers_);
    forwarding_outcome_ = outcome.kind_;
    if (outcome.kind_ == forwarding_outcome::answered) {
        verdict_ = state_.dialect_.classify_answer(answer, request_.id_);
        if (verdict_ == answer_verdict::other_request) {
            return false;
        }
        attempt_version_ = state_.software_version(outcome.server_);
        if (state_.dialect_.is_leaving(outcome.server_, answer.headers_)) {
            state_.context_.notices_.on_leaving_stated(outcome.server_);
        }
    } else {
        verdict_ = answer_verdict::answer;
    }
    if (outcome.kind_ == forwarding_outcome::not_run ||
        outcome.kind_ == forwarding_outcome::unreached) {
        verdict_ = answer_verdict::refused;
        mode_ = answer_mode::not_run;
        const auto wait = state_.dialect_.pause(head.status_, head.headers_);
        if (wait.kind_ == pause_notice::kind::valid) {
            expected_wait_ = wait.length_;
        }
        return true;
    }
    begin_answer(answer);
    return true;
}

auto exchange::on_forwarding_refused() -> void {
    auto& forwarding = state_.context_.forwarding_;
    const auto unreached = forwarding_outcome_ == forwarding_outcome::unreached;
    failed_helpers_.push_back(std::exchange(helper_, {}));
    if (client_ == nullptr) {
        finish();
        return;
    }
    if (unreached) {
        forwarding.on_unreached(failed_helpers_.back(), service_);
        dispatch();
        return;
    }
    retry_outcome_ = "refused_by_peer";
    give_up(
        error{error_code::overloaded, step::peer, failed_helpers_.back(),
              "refused by the daemon that the request was forwarded to",
              possible_runs_ > 0 ? run_status::unknown : run_status::not_run});
}

auto exchange::on_forwarding_failed(transport::call_failure failure) -> void {
    const auto sent = failure != transport::call_failure::not_sent;
    const auto helper = std::exchange(helper_, {});
    failed_helpers_.push_back(helper);
    state_.context_.forwarding_.on_failed(helper);
    end_attempt();
    if (!sent && client_ != nullptr) {
        dispatch();
        return;
    }
    // The other daemon may have made as many attempts as it was allowed.
    possible_runs_ += sent ? forwarded_runs_ : 0;
    on_attempt_failed(
        error{error_code::outcome_unknown, step::peer, helper,
              std::string{transport::call_failure_names.name_of(failure)},
              sent ? run_status::unknown : run_status::not_run});
}

auto exchange::on_service_unreached() -> void {
    const auto self = shared_from_this();
    if (done_ || !call_ || !helper_.empty() || call_->established()) {
        return;
    }
    // Nothing has left yet.
    std::exchange(call_, nullptr)->cancel();
    end_attempt();
    dispatch();
}

} // namespace basilstream::daemon::internal
