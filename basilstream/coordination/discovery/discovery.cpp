#include "basilstream/coordination/discovery/discovery.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilstream::coordination {

endpoint_directory::endpoint_directory(discovery_settings settings,
                                       random_source& random)
    : settings_{settings}, random_{random} {}

auto endpoint_directory::update(std::vector<endpoint> endpoints) -> void {
    endpoints_ = std::move(endpoints);
}

auto endpoint_directory::set_distances(std::string from,
                                       std::vector<std::string> nearest)
    -> void {
    const auto is_same_zone = [&](const distance_row& row) {
        return row.from_ == from;
    };
    distances_.erase(
        std::remove_if(distances_.begin(), distances_.end(), is_same_zone),
        distances_.end());
    distances_.push_back({std::move(from), std::move(nearest)});
}

auto endpoint_directory::rank(std::string_view from,
                              std::string_view zone) const -> std::size_t {
    if (from == zone) {
        return 0;
    }
    for (const auto& row : distances_) {
        if (row.from_ != from) {
            continue;
        }
        const auto place =
            std::find(row.nearest_.begin(), row.nearest_.end(), zone);
        return 1 + static_cast<std::size_t>(place - row.nearest_.begin());
    }
    return 1;
}

auto endpoint_directory::is_zone_overloaded(std::string_view zone) const
    -> bool {
    auto total_load = 0.0;
    auto zone_load = 0.0;
    auto count = 0.0;
    auto zone_count = 0.0;
    for (const auto& daemon : endpoints_) {
        if (!daemon.serving_) {
            continue;
        }
        const auto in_zone = daemon.zone_ == zone;
        total_load += daemon.load_;
        count += 1;
        zone_load += in_zone ? daemon.load_ : 0;
        zone_count += in_zone ? 1 : 0;
    }
    if (zone_count == 0) {
        return false;
    }
    const auto zone_mean = zone_load / zone_count;
    return zone_mean > settings_.near_load_floor_ &&
           zone_mean > settings_.near_load_factor_ * (total_load / count);
}

auto endpoint_directory::answer(std::string_view caller_zone)
    -> result<endpoint_answer> {
    struct candidate {
        const endpoint* endpoint_;
        std::size_t rank_;
        double order_;
    };
    const auto ignore_zones = is_zone_overloaded(caller_zone);
    auto candidates = std::vector<candidate>{};
    for (const auto& daemon : endpoints_) {
        if (!daemon.serving_) {
            continue;
        }
        // Weighted random order (Efraimidis and Spirakis, 2006): the key is
        // an exponential variate divided by the weight.
        const auto weight = 1.0 / (1.0 + daemon.load_);
        const auto order = -std::log(1.0 - random_.fraction()) / weight;
        const auto zone_rank =
            ignore_zones ? 0 : rank(caller_zone, daemon.zone_);
        candidates.push_back({&daemon, zone_rank, order});
    }
    if (candidates.empty()) {
        return tl::unexpected(error{error_code::not_ready, step::caller, "",
                                    "no daemon is serving", run_status::not_run,
                                    settings_.time_to_live_});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right) {
                  return std::pair{left.rank_, left.order_} <
                         std::pair{right.rank_, right.order_};
              });
    auto answer = endpoint_answer{{}, settings_.time_to_live_};
    for (const auto& chosen : candidates) {
        if (answer.addresses_.size() == settings_.max_addresses_) {
            break;
        }
        answer.addresses_.push_back(chosen.endpoint_->address_);
    }
    return answer;
}

drain_controller::drain_controller(drain_settings settings)
    : settings_{settings} {}

auto drain_controller::enter(drain_phase phase, time_point now) -> void {
    phase_ = phase;
    since_ = now;
}

auto drain_controller::request_stop(time_point now) -> void {
    ++stop_requests_;
    if (stop_requests_ == 1) {
        since_ = now;
    }
}

auto drain_controller::may_advance(const drain_load& load, time_point now) const
    -> bool {
    const auto elapsed = now - since_;
    switch (phase_) {
    case drain_phase::serving:
        return stop_requests_ > 0;
    case drain_phase::withdrawn:
        return elapsed >= settings_.time_to_live_ + settings_.margin_;
    case drain_phase::handing_over:
        return !load.owns_shards_ || elapsed >= settings_.hand_over_timeout_;
    case drain_phase::finishing:
        return load.requests_in_progress_ == 0;
    case drain_phase::ended:
        break;
    }
    return false;
}

auto drain_controller::tick(const drain_load& load, time_point now)
    -> std::vector<drain_action> {
    if (!may_advance(load, now)) {
        return {};
    }
    enter(static_cast<drain_phase>(static_cast<int>(phase_) + 1), now);
    switch (phase_) {
    case drain_phase::serving:
        break;
    case drain_phase::withdrawn:
        return {drain_action::withdraw};
    case drain_phase::handing_over:
        return {drain_action::hand_over};
    case drain_phase::finishing:
        return {drain_action::stop_accepting};
    case drain_phase::ended:
        return {drain_action::end};
    }
    return {};
}

} // namespace basilstream::coordination
