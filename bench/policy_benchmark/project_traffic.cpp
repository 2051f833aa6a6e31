#include "bench/policy_benchmark/project_traffic.hpp"

#include <algorithm>
#include <cstdlib>

namespace basilstream::bench {
namespace {

using coordination::admission_event;
using coordination::admission_guards;
using coordination::admission_outcome;
using coordination::admission_settings;
using coordination::attempt_outcome;

auto to_time(double at) -> time_point {
    return time_point{duration{static_cast<std::int64_t>(at * 1e9)}};
}

auto to_duration(double length) -> duration {
    return duration{static_cast<std::int64_t>(length * 1e9)};
}

auto guards_of(traffic_kind kind) -> admission_guards {
    auto guards = admission_guards{};
    if (kind == traffic_kind::ours_without_deadline) {
        guards.is_too_late_ = [](time_point, time_point) {
            return false;
        };
    }
    return guards;
}

auto settings_of(traffic_kind kind) -> admission_settings {
    auto settings = admission_settings{};
    if (kind == traffic_kind::ours_without_concurrency_limit) {
        settings.decrease_factor_ = 1;
        settings.initial_share_ = 1;
    }
    return settings;
}

} // namespace

project_traffic::project_traffic(traffic_kind kind, const deployment& made,
                                 int entry_vm, std::uint64_t seed)
    : made_{made}, affinity_{kind != traffic_kind::ours_without_affinity},
      random_{seed},
      router_{{.zone_ =
                   made.runners_[static_cast<std::size_t>(entry_vm) %
                                 std::min<std::size_t>(3, made.runners_.size())]
                       .availability_zone_},
              random_},
      admission_{settings_of(kind), router_, random_, guards_of(kind)},
      known_(made.runners_.size()), report_sequences_(made.runners_.size()),
      cache_sequences_(made.runners_.size()) {
    for (auto index = std::size_t{0}; index < made.runners_.size(); ++index) {
        runner_index_[made.runners_[index].name_] = index;
    }
}

auto project_traffic::on_runner(const runner_state& state, double) -> void {
    const auto& declared = made_.runners_[state.runner_];
    if (state.gone_) {
        const auto models = router_.models_on(declared.name_);
        router_.remove_runner(declared.name_);
        admission_.remove_runner(declared.name_);
        known_[state.runner_] = false;
        for (const auto& model : models) {
            admission_.on_replicas_changed(model);
        }
        return;
    }
    auto info = coordination::runner_info{};
    info.name_ = declared.name_;
    info.address_ = declared.name_;
    info.zone_ = declared.availability_zone_;
    info.slots_ = made_.speed_.slots_;
    for (const auto& [model, version] : state.models_) {
        info.residents_.push_back(
            {made_.models_[model].name_, version, {}, true});
    }
    router_.update_runner(info);
    if (!known_[state.runner_]) {
        known_[state.runner_] = true;
        admission_.set_runner(declared.name_, made_.speed_.slots_);
    }
    for (const auto& resident : info.residents_) {
        admission_.on_replicas_changed(resident.model_);
    }
}

auto project_traffic::on_report(std::size_t runner, int running, int waiting,
                                double now) -> void {
    auto report = coordination::load_report{};
    report.runner_ = made_.runners_[runner].name_;
    report.sequence_ = ++report_sequences_[runner];
    report.running_ = running;
    report.waiting_ = waiting;
    router_.on_load_report(report, to_time(now));
    if (waiting > 0) {
        admission_.on_runner_waiting(report.runner_, waiting, to_time(now));
    }
}

auto project_traffic::on_cache(std::size_t runner, std::uint64_t prefix,
                               bool stored) -> void {
    auto event = coordination::cache_event{};
    event.runner_ = made_.runners_[runner].name_;
    event.sequence_ = ++cache_sequences_[runner];
    event.stored_ = stored;
    event.model_ = made_.models_[prefix >> 32U].name_;
    event.prefix_hash_ = prefix;
    router_.on_cache_event(event);
}

auto project_traffic::submit(request_index index, const trace_request& request,
                             double first_token_deadline, double now)
    -> traffic_answer {
    const auto& model = made_.models_[request.model_];
    auto wanted = coordination::admission_request{};
    wanted.request_id_ = std::to_string(index);
    wanted.organisation_ = model.organisation_;
    wanted.model_ = model.name_;
    wanted.prefix_hash_ = affinity_ ? request.prefix_ : 0;
    wanted.first_token_deadline_ = to_time(first_token_deadline);
    return to_answer(admission_.submit(std::move(wanted), to_time(now)));
}

auto project_traffic::on_release(const traffic_release& release, double now)
    -> void {
    auto ended = coordination::attempt_release{};
    ended.request_id_ = std::to_string(release.index_);
    ended.outcome_ = release.completed_ ? attempt_outcome::completed
                                        : attempt_outcome::failed;
    if (release.completed_) {
        ended.first_token_ = to_duration(release.first_token_);
        ended.token_interval_ = to_duration(release.token_interval_);
        ended.tokens_ = release.tokens_;
    }
    admission_.on_release(ended, to_time(now));
}

auto project_traffic::poll(double now) -> std::vector<traffic_answer> {
    auto answers = std::vector<traffic_answer>{};
    for (const auto& event : admission_.poll(to_time(now))) {
        answers.push_back(to_answer(event));
    }
    return answers;
}

auto project_traffic::to_answer(const admission_event& event) const
    -> traffic_answer {
    auto answer = traffic_answer{};
    answer.index_ = static_cast<request_index>(
        std::strtoul(event.request_id_.c_str(), nullptr, 10));
    switch (event.outcome_) {
    case admission_outcome::admitted:
        answer.outcome_ = traffic_outcome::admitted;
        answer.runner_ = runner_index_.at(event.route_->runner_);
        break;
    case admission_outcome::queued:
        answer.outcome_ = traffic_outcome::queued;
        break;
    case admission_outcome::refused:
        answer.outcome_ = traffic_outcome::refused;
        break;
    }
    return answer;
}

} // namespace basilstream::bench
