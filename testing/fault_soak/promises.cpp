#include "testing/fault_soak/promises.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace basilstream::testing {
namespace {

constexpr auto crashes_before_counting = std::size_t{3};
constexpr auto max_late_retries = 3;
// Time for which daemons may still send a request after its third crash.
constexpr auto stable_window = seconds{3};
// Time-out of the routes, and how much later an answer may come.
constexpr auto route_timeout = seconds{3};
constexpr auto answer_slack = milliseconds{500};
constexpr auto recovery_share = 0.9;
// In any such window a server gets at most this multiple of what its limit
// allows and some more, from daemons that have passed the limit on.
constexpr auto limit_window = seconds{4};
constexpr auto limit_factor = 1.5;
constexpr auto limit_allowance = 5.0;
constexpr auto limit_notice_delay = milliseconds{500};
constexpr auto max_mixed_streams = 2;
// From this many resumptions on, their share counts.
constexpr auto min_resumptions = 12;
constexpr auto min_resumed_share = 0.5;
// Statuses that promise that a request has not run and will not.
constexpr auto not_run_statuses = std::array{408, 421, 429, 503};

} // namespace

auto promise_checker::answer_body(const std::string& id,
                                  const server_process& server) -> std::string {
    return id + " " + server.name_ + "/" + std::to_string(server.start_);
}

auto promise_checker::event_text(int number) -> std::string {
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

auto promise_checker::event_text(int number, const std::string& version)
    -> std::string {
    return "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
}

auto promise_checker::report(promise broken, std::string detail) -> void {
    violations_.push_back({broken, std::move(detail)});
}

auto promise_checker::on_sent(sent_request request, time_point now) -> void {
    const auto counts = recovering_ && request.kind_ != repeatability::crashing;
    recovery_sent_ += counts ? 1 : 0;
    auto id = request.id_;
    requests_[id] = {std::move(request), now, {}, false, counts};
}

auto promise_checker::on_run(const std::string& id,
                             const server_process& server,
                             const std::string& path, const std::string& body,
                             bool settled, time_point now) -> void {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        report(promise::unasked, "unknown request " + id);
        return;
    }
    auto& state = found->second;
    if (path != state.request_.path_ || body != state.request_.body_) {
        report(promise::unasked, "altered request " + id);
    }
    if (state.answered_as_not_run_) {
        report(promise::refused_but_run, id + " ran after its refusal");
    }
    const auto once = state.request_.kind_ == repeatability::once ||
                      state.request_.kind_ == repeatability::stream;
    if (once && !state.runs_.empty()) {
        report(promise::twice, id);
    }
    state.runs_.push_back(server);
    if (state.request_.kind_ == repeatability::crashing) {
        check_crashing_run(path, server, settled, now);
    }
}

auto promise_checker::check_crashing_run(const std::string& path,
                                         const server_process& server,
                                         bool settled, time_point now) -> void {
    auto& state = crashing_[path];
    if (state.third_crash_ && settled &&
        now > *state.third_crash_ + stable_window &&
        ++state.late_retries_ > max_late_retries) {
        report(promise::crashing_request,
               path + " sent to " + server.name_ + " after " +
                   std::to_string(state.crashed_.size()) + " crashes");
    }
    crashes_ += state.crashed_.insert(server).second ? 1 : 0;
    if (!state.third_crash_ &&
        state.crashed_.size() >= crashes_before_counting) {
        state.third_crash_ = now;
    }
}

auto promise_checker::on_answer(const std::string& id,
                                const received_answer& answer, time_point now)
    -> void {
    auto& state = requests_.at(id);
    if (!answer.disturbed_ &&
        now > state.sent_at_ + route_timeout + answer_slack) {
        report(promise::late, id);
    }
    for (const auto status : not_run_statuses) {
        if (answer.status_ == status && answer.complete_) {
            state.answered_as_not_run_ = true;
            if (!state.runs_.empty()) {
                report(promise::refused_but_run, id);
            }
        }
    }
    if (answer.status_ / 100 == 2) {
        check_success(state, answer);
    }
}

auto promise_checker::check_success(const request_state& state,
                                    const received_answer& answer) -> void {
    const auto& id = state.request_.id_;
    if (!answer.signed_) {
        report(promise::mixed, id + " has no signature");
    }
    if (state.request_.kind_ == repeatability::resumable) {
        // on_stream_try() checks its events.
    } else if (state.request_.kind_ == repeatability::stream) {
        auto expected = std::string{};
        for (auto number = 1; number <= stream_events_; ++number) {
            expected += event_text(number);
        }
        const auto is_prefix = expected.starts_with(answer.body_);
        if (!is_prefix || (answer.complete_ && answer.body_ != expected)) {
            report(promise::order, id);
        }
    } else if (answer.complete_) {
        auto matches = false;
        for (const auto& server : state.runs_) {
            matches = matches || answer.body_ == answer_body(id, server);
        }
        if (!matches) {
            report(promise::mixed, id + " has the body " + answer.body_);
        }
    }
    if (answer.complete_) {
        ++served_;
        recovery_served_ += state.in_recovery_ ? 1 : 0;
    }
}

auto promise_checker::position_of(const std::string& stream) const
    -> stream_position {
    const auto found = streams_.find(stream);
    return found == streams_.end() ? stream_position{}
                                   : found->second.position_;
}

auto promise_checker::on_stream_try(const stream_try& ended)
    -> stream_position {
    auto& state = streams_[ended.stream_];
    auto& position = state.position_;
    const auto resumes = position.last_event_ > 0;
    auto received = false;
    auto text = std::string_view{ended.body_};
    for (auto end = text.find("\n\n"); end != std::string_view::npos;
         end = text.find("\n\n")) {
        const auto event = text.substr(0, end);
        text.remove_prefix(end + 2);
        const auto version = std::string{
            event.substr(std::min(event.find("data: ") + 6, event.size()))};
        const auto expected = event_text(position.last_event_ + 1, version);
        if (std::string{event} + "\n\n" != expected) {
            report(promise::order, ended.id_ + " of " + ended.stream_);
            break;
        }
        received = true;
        ++position.last_event_;
        if (position.began_as_.empty()) {
            position.began_as_ = ended.id_;
            position.version_ = version;
        }
        if (version != position.version_ &&
            !std::exchange(state.mixed_, true) &&
            ++mixed_streams_ > max_mixed_streams) {
            report(promise::stream_version, ended.stream_ + " began at " +
                                                position.version_ +
                                                " and went on at " + version);
        }
    }
    if (ended.complete_ && position.last_event_ != stream_events_) {
        report(promise::order, ended.id_ + " ended early");
    }
    if (ended.counts_) {
        auto& counts = resumes ? resumptions_ : new_streams_;
        ++counts.tries_;
        counts.received_events_ += received || ended.complete_ ? 1 : 0;
    }
    return position;
}

auto promise_checker::check_resumptions() -> void {
    if (resumptions_.tries_ < min_resumptions || new_streams_.tries_ == 0) {
        return;
    }
    const auto share = [](const try_counts& counts) {
        return static_cast<double>(counts.received_events_) /
               static_cast<double>(counts.tries_);
    };
    if (share(resumptions_) < min_resumed_share * share(new_streams_)) {
        report(promise::resumption,
               std::to_string(resumptions_.received_events_) + " of " +
                   std::to_string(resumptions_.tries_) + " went on");
    }
}

auto promise_checker::on_limit(const std::string& server,
                               std::optional<double> per_second, time_point now)
    -> void {
    limits_.erase(server);
    if (per_second) {
        limits_[server] = {*per_second, now, {}, {}, false};
    }
}

auto promise_checker::on_limit_passed_on(const std::string& daemon,
                                         const std::string& server,
                                         time_point now) -> void {
    const auto found = limits_.find(server);
    if (found != limits_.end()) {
        found->second.passed_on_.try_emplace(daemon, now);
    }
}

auto promise_checker::on_arrival(const std::string& server,
                                 const std::string& daemon, bool settled,
                                 time_point now) -> void {
    const auto found = limits_.find(server);
    if (found == limits_.end()) {
        return;
    }
    auto& state = found->second;
    const auto passed_on = state.passed_on_.find(daemon);
    if (!settled || passed_on == state.passed_on_.end() ||
        now < passed_on->second + limit_notice_delay) {
        return;
    }
    state.arrivals_.push_back(now);
    while (state.arrivals_.front() <= now - limit_window) {
        state.arrivals_.pop_front();
    }
    const auto allowed =
        limit_factor * state.per_second_ *
            static_cast<double>(seconds{limit_window}.count()) +
        limit_allowance;
    if (now >= state.named_at_ + stable_window &&
        static_cast<double>(state.arrivals_.size()) > allowed &&
        !std::exchange(state.exceeded_, true)) {
        report(promise::server_limit,
               server + " got " + std::to_string(state.arrivals_.size()) +
                   " requests, limit " + std::to_string(state.per_second_));
    }
}

auto promise_checker::check_recovery() -> void {
    if (static_cast<double>(recovery_served_) <
        recovery_share * static_cast<double>(recovery_sent_)) {
        report(promise::recovery, std::to_string(recovery_served_) + " of " +
                                      std::to_string(recovery_sent_) +
                                      " requests served");
    }
}

} // namespace basilstream::testing
