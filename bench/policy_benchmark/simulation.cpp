#include "bench/policy_benchmark/simulation.hpp"

#include <algorithm>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::bench {
namespace {

using coordination::resident_state;

constexpr auto plan_interval = 5.0;
constexpr auto tick_interval = 0.1;
constexpr auto demand_window = 30.0;
constexpr auto mean_output_tokens = 228.0;

auto to_time(double seconds_since_start) -> time_point {
    return time_point{
        duration{static_cast<std::int64_t>((seconds_since_start + 1) * 1e9)}};
}

} // namespace

simulation::simulation(deployment made, const trace& events,
                       run_options options)
    : made_{std::move(made)}, trace_{events}, options_{std::move(options)},
      placement_{make_placement(options_.placement_)},
      flights_(events.requests_.size()), arrivals_(made_.models_.size()) {
    if (options_.relaxed_) {
        made_.entry_vms_ = 1;
    }
    for (auto index = std::size_t{0}; index < made_.runners_.size(); ++index) {
        runners_.push_back({engine{made_.speed_}});
        runner_index_[made_.runners_[index].name_] = index;
    }
    for (auto index = std::size_t{0}; index < made_.models_.size(); ++index) {
        model_index_[made_.models_[index].name_] =
            static_cast<std::uint32_t>(index);
    }
    for (auto index = 0; index < made_.entry_vms_; ++index) {
        entry_vms_.push_back(
            make_traffic(options_.traffic_, made_, index,
                         static_cast<std::uint64_t>(index) + 100));
    }
}

auto simulation::run() -> run_figures {
    fill();
    for (auto index = std::size_t{0}; index < trace_.faults_.size(); ++index) {
        schedule(trace_.faults_[index].at_, event_kind::fault, index);
    }
    schedule(tick_interval, event_kind::second_tick, 0);
    schedule(plan_interval, event_kind::plan, 0);
    auto next = request_index{0};
    while (!events_.empty()) {
        const auto more = next < trace_.requests_.size();
        if (more && trace_.requests_[next].arrival_ <= events_.top().at_) {
            now_ = trace_.requests_[next].arrival_;
            arrive(next);
            ++next;
            continue;
        }
        const auto due = events_.top();
        events_.pop();
        now_ = due.at_;
        handle(due);
    }
    return summarise();
}

auto simulation::schedule(double at, event_kind kind, std::size_t subject,
                          std::uint64_t generation) -> void {
    events_.push({at, next_order_++, kind, subject, generation});
}

auto simulation::handle(const event& due) -> void {
    // A minute after the last arrival everything has ended.
    const auto over = now_ > trace_.seconds_ + 90;
    switch (due.kind_) {
    case event_kind::engine:
        if (due.generation_ == runners_[due.subject_].generation_) {
            on_engine(due.subject_);
        }
        return;
    case event_kind::load_done:
        load_done(due.subject_);
        return;
    case event_kind::fault:
        on_fault(trace_.faults_[due.subject_]);
        return;
    case event_kind::plan:
        if (now_ <= trace_.seconds_) {
            plan();
            schedule(now_ + plan_interval, event_kind::plan, 0);
        }
        return;
    case event_kind::second_tick:
        deliver_reports();
        take_snapshot();
        for (auto index = std::size_t{0}; index < entry_vms_.size(); ++index) {
            poll(index);
        }
        if (!over) {
            schedule(now_ + tick_interval, event_kind::second_tick, 0);
        }
        return;
    }
}

// Brings the fleet to what the policy wants for the first minute's demand
// before the trace begins; these loads are no moves.
auto simulation::fill() -> void {
    if (options_.relaxed_) {
        for (const auto& one : made_.runners_) {
            for (const auto& model : made_.models_) {
                residents_[next_resident_++] = {
                    one.name_,      model.name_, "",
                    model.version_, 0,           resident_state::ready};
            }
        }
    } else {
        for (const auto& request : trace_.requests_) {
            if (request.arrival_ < demand_window) {
                ++arrivals_[request.model_];
            }
        }
        const auto first = arrivals_;
        constexpr auto most_rounds = 400;
        for (auto round = 0; round < most_rounds; ++round) {
            arrivals_ = first;
            now_ = -plan_interval * (most_rounds - round);
            carry_out(placement_->plan(make_input(demand_window)), true);
        }
        now_ = 0;
        std::fill(arrivals_.begin(), arrivals_.end(), 0);
        figures_.moves_ = 0;
        figures_.adapter_loads_ = 0;
    }
    for (auto index = std::size_t{0}; index < runners_.size(); ++index) {
        announce(index);
    }
    check_reachable();
}

auto simulation::arrive(request_index index) -> void {
    const auto& request = trace_.requests_[index];
    ++arrivals_[request.model_];
    ++figures_.requests_;
    flights_[index].tokens_left_ = request.output_tokens_;
    submit(index);
}

auto simulation::submit(request_index index) -> void {
    const auto& request = trace_.requests_[index];
    auto& vm = *entry_vms_[request.entry_vm_ % entry_vms_.size()];
    // A resumed answer has its first token already.
    const auto resumed = flights_[index].first_token_ >= 0;
    const auto from = resumed ? now_ : request.arrival_;
    take(vm.submit(index, request,
                   from + first_token_goal - made_.network_delay_, now_));
}

auto simulation::take(const traffic_answer& answer) -> void {
    if (answer.outcome_ == traffic_outcome::admitted) {
        dispatch(answer.index_, answer.runner_);
    } else if (answer.outcome_ == traffic_outcome::refused) {
        flights_[answer.index_].done_ = true;
        ++figures_.refused_;
    }
}

auto simulation::dispatch(request_index index, std::size_t where) -> void {
    const auto& request = trace_.requests_[index];
    auto& flight = flights_[index];
    auto& target = runners_[where];
    flight.runner_ = where;
    flight.dispatched_ = now_;
    flight.running_ = true;
    const auto prompt = options_.relaxed_ ? 0 : request.prompt_tokens_;
    const auto stored = target.engine_.start(
        {index, request.prefix_, prompt, flight.tokens_left_}, now_);
    if (stored) {
        const auto due = now_ + trace_.report_lag_;
        cache_changes_.push_back({due, where, request.prefix_, true});
        if (target.engine_.evicted() != 0) {
            cache_changes_.push_back(
                {due, where, target.engine_.evicted(), false});
        }
    }
    reschedule(where);
}

auto simulation::reschedule(std::size_t index) -> void {
    auto& one = runners_[index];
    ++one.generation_;
    if (const auto next = one.engine_.next_event()) {
        schedule(std::max(now_, *next), event_kind::engine, index,
                 one.generation_);
    }
}

auto simulation::on_engine(std::size_t index) -> void {
    auto& one = runners_[index];
    const auto events = one.engine_.advance(now_);
    reschedule(index);
    for (const auto& due : events) {
        auto& flight = flights_[due.index_];
        if (due.kind_ == engine_event_kind::finished) {
            finish(due.index_, now_);
        } else if (flight.first_token_ < 0) {
            flight.first_token_ = now_;
            flight.position_ = one.engine_.position();
        } else {
            flight.position_ = one.engine_.position();
        }
    }
}

auto simulation::finish(request_index index, double now) -> void {
    const auto& request = trace_.requests_[index];
    auto& flight = flights_[index];
    flight.done_ = true;
    flight.running_ = false;
    const auto first =
        flight.first_token_ - request.arrival_ + made_.network_delay_;
    const auto tokens = std::max(1, request.output_tokens_ - 1);
    const auto interval = (now - flight.first_token_) / tokens;
    first_tokens_.push_back(static_cast<float>(first));
    intervals_.push_back(static_cast<float>(interval));
    const auto attained =
        first <= first_token_goal && interval <= token_interval_goal;
    figures_.attained_ += attained ? 1 : 0;
    figures_.attainment_by_organisation_[made_.models_[request.model_]
                                             .organisation_] +=
        attained ? 1 : 0;
    const auto vm = request.entry_vm_ % entry_vms_.size();
    auto release = traffic_release{};
    release.index_ = index;
    release.model_ = request.model_;
    release.runner_ = flight.runner_;
    release.first_token_ =
        std::max(0.0, flight.first_token_ - flight.dispatched_);
    release.token_interval_ = interval;
    release.tokens_ = request.output_tokens_;
    entry_vms_[vm]->on_release(release, now);
    poll(vm);
}

auto simulation::poll(std::size_t entry_vm) -> void {
    for (const auto& answer : entry_vms_[entry_vm]->poll(now_)) {
        take(answer);
    }
}

auto simulation::take_snapshot() -> void {
    auto snapshot = load_snapshot{now_ + trace_.report_lag_, {}};
    for (const auto& one : runners_) {
        snapshot.loads_.emplace_back(one.engine_.running(),
                                     one.engine_.waiting());
    }
    snapshots_.push_back(std::move(snapshot));
}

auto simulation::deliver_reports() -> void {
    // With one omniscient entry VM, what it counts itself is the truth.
    while (!options_.relaxed_ && !snapshots_.empty() &&
           snapshots_.front().due_ <= now_) {
        const auto& loads = snapshots_.front().loads_;
        for (auto index = std::size_t{0}; index < loads.size(); ++index) {
            if (runners_[index].gone_) {
                continue;
            }
            for (auto& vm : entry_vms_) {
                vm->on_report(index, loads[index].first, loads[index].second,
                              now_);
            }
        }
        snapshots_.pop_front();
    }
    while (!cache_changes_.empty() && cache_changes_.front().due_ <= now_) {
        const auto change = cache_changes_.front();
        cache_changes_.pop_front();
        for (auto& vm : entry_vms_) {
            vm->on_cache(change.runner_, change.prefix_, change.stored_);
        }
    }
}

auto simulation::make_input(double interval) -> coordination::placement_input {
    auto input = coordination::placement_input{};
    // Warm-up runs before zero; the planner's time starts well before.
    input.now_ = to_time(now_ + 4000);
    for (auto index = std::size_t{0}; index < runners_.size(); ++index) {
        if (!runners_[index].gone_) {
            input.runners_.push_back(made_.runners_[index]);
        }
    }
    input.models_ = made_.models_;
    input.organisations_ = made_.organisations_;
    for (const auto& [id, resident] : residents_) {
        input.residents_.push_back(resident);
    }
    for (auto index = std::size_t{0}; index < arrivals_.size(); ++index) {
        const auto requests = arrivals_[index] / interval;
        input.demands_.push_back({made_.models_[index].name_,
                                  requests * mean_output_tokens, requests});
    }
    return input;
}

auto simulation::plan() -> void {
    if (options_.relaxed_) {
        return;
    }
    const auto input = make_input(plan_interval);
    std::fill(arrivals_.begin(), arrivals_.end(), 0);
    check_reachable();
    if (!log_down_) {
        carry_out(placement_->plan(input), false);
    }
}

auto simulation::lose_runner(std::size_t index) -> void {
    auto& lost = runners_[index];
    if (lost.gone_) {
        return;
    }
    lost.gone_ = true;
    ++lost.generation_;
    const auto& name = made_.runners_[index].name_;
    std::erase_if(residents_, [&](const auto& entry) {
        const auto& one = entry.second;
        const auto here = one.runner_ == name;
        const auto in_flight =
            one.state_ == resident_state::loading && one.adapter_.empty();
        loads_in_flight_ -= here && in_flight ? 1 : 0;
        return here;
    });
    announce(index);
    const auto position = lost.engine_.position_at(now_);
    for (const auto request : lost.engine_.drain()) {
        auto& flight = flights_[request];
        if (flight.first_token_ >= 0 && flight.position_ > 0) {
            const auto done = static_cast<int>(position - flight.position_);
            flight.tokens_left_ =
                std::max(1, flight.tokens_left_ - std::max(0, done));
        }
        const auto& origin = trace_.requests_[request];
        auto release = traffic_release{};
        release.index_ = request;
        release.model_ = origin.model_;
        release.runner_ = index;
        release.completed_ = false;
        entry_vms_[origin.entry_vm_ % entry_vms_.size()]->on_release(release,
                                                                     now_);
        flight.position_ = 0;
        submit(request);
    }
}

auto simulation::on_fault(const fault& what) -> void {
    switch (what.kind_) {
    case fault_kind::runner_lost:
        lose_runner(what.subject_ % runners_.size());
        break;
    case fault_kind::zone_lost: {
        const auto zone = made_.runners_[what.subject_].availability_zone_;
        for (auto index = std::size_t{0}; index < runners_.size(); ++index) {
            if (made_.runners_[index].availability_zone_ == zone) {
                lose_runner(index);
            }
        }
        break;
    }
    case fault_kind::log_down:
        log_down_ = true;
        break;
    case fault_kind::log_up:
        log_down_ = false;
        break;
    case fault_kind::new_versions:
        for (auto& model : made_.models_) {
            model.version_ = "v2";
        }
        break;
    }
    check_reachable();
}

} // namespace basilstream::bench
