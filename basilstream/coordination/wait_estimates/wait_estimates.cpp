#include "basilstream/coordination/wait_estimates/wait_estimates.hpp"

#include <algorithm>
#include <cmath>

namespace basilstream::coordination {
namespace {

// Weight of a new value in a running mean of the times for which requests are
// held, which differ by ten times within a service.
constexpr auto mean_weight = 0.1;
// Time over which completions are counted: some tens of them at ten per second.
constexpr auto rate_horizon = seconds{4};
// Completions that make an estimate of a rate.
constexpr auto least_completions = 3.0;
// Part of the running requests that a server completes during the first
// back-off, so that several daemons find room in its queue afterwards.
constexpr auto first_part = 0.25;
// The back-off grows until a server has completed what it ran twice.
constexpr auto longest_part = 2.0;
// Time that a server is assumed to hold a request if none is known. Typical
// streams have 40 events at 20 ms each.
constexpr auto assumed_hold = seconds{1};
// Load per slot below which a request is assumed to begin at once; loads are
// about a second old.
constexpr auto idle_load = 0.75;
// A back-off is spread so that daemons do not return together.
constexpr auto least_spread = 0.75;
constexpr auto spread = 0.5;

auto scaled(duration value, double factor) -> duration {
    return duration{static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor)};
}

auto decay(duration age) -> double {
    return std::exp(-static_cast<double>(std::max(age, duration{0}).count()) /
                    static_cast<double>(duration{rate_horizon}.count()));
}

} // namespace

auto wait_estimates::add(completions& of, duration held, time_point now)
    -> void {
    of.mean_hold_ =
        of.mean_hold_ == duration{0}
            ? held
            : of.mean_hold_ + scaled(held - of.mean_hold_, mean_weight);
    of.since_ = of.count_ == 0 ? now - held : of.since_;
    of.count_ = of.count_ * decay(now - of.counted_at_) + 1;
    of.counted_at_ = now;
}

auto wait_estimates::on_answered(const std::string& server,
                                 const std::string& service, duration held,
                                 time_point now) -> void {
    const auto valid = std::max(held, duration{milliseconds{1}});
    add(servers_[server], valid, now);
    add(services_[service], valid, now);
}

auto wait_estimates::hold_time(const std::string& server,
                               const std::string& service) const
    -> std::optional<duration> {
    if (const auto own = servers_.find(server); own != servers_.end()) {
        return own->second.mean_hold_;
    }
    const auto all = services_.find(service);
    return all == services_.end() ? std::nullopt
                                  : std::optional{all->second.mean_hold_};
}

auto wait_estimates::on_first_event(const std::string& service, double load,
                                    duration waited) -> void {
    if (load >= idle_load) {
        return;
    }
    const auto [mean, added] = idle_first_events_.try_emplace(service, waited);
    if (!added) {
        mean->second += scaled(waited - mean->second, mean_weight);
    }
}

auto wait_estimates::expected_first_event(const std::string& server,
                                          const std::string& service,
                                          double load) const
    -> std::optional<duration> {
    const auto idle = idle_first_events_.find(service);
    if (idle == idle_first_events_.end()) {
        return std::nullopt;
    }
    if (load < 1) {
        return idle->second;
    }
    const auto hold = hold_time(server, service);
    return hold ? std::optional{idle->second + scaled(*hold, (load - 1) / load)}
                : std::nullopt;
}

auto wait_estimates::expected_room(const std::string& service, double load,
                                   double bound) const
    -> std::optional<duration> {
    if (load <= bound) {
        return duration{0};
    }
    // A server completes all its requests in the time for which it holds one
    // (Little, 1961).
    const auto hold = hold_time({}, service);
    return hold ? std::optional{scaled(*hold, (load - bound) / load)}
                : std::nullopt;
}

auto wait_estimates::on_rejected(const std::string& server,
                                 const std::string& service, time_point sent_at,
                                 double draw, time_point now) -> void {
    auto& state = rejections_[server];
    if (state.consecutive_ > 0 && sent_at < state.last_) {
        return;
    }
    ++state.consecutive_;
    state.last_ = now;
    const auto part =
        std::min(longest_part, std::ldexp(first_part, state.consecutive_ - 1));
    const auto hold = hold_time(server, service).value_or(assumed_hold);
    state.until_ = now + scaled(hold, part * (least_spread + spread * draw));
}

auto wait_estimates::on_accepted(const std::string& server, time_point sent_at)
    -> void {
    const auto found = rejections_.find(server);
    if (found != rejections_.end() && sent_at >= found->second.last_) {
        rejections_.erase(found);
    }
}

auto wait_estimates::remove_server(const std::string& server) -> void {
    servers_.erase(server);
    rejections_.erase(server);
}

auto wait_estimates::backed_off(time_point now) const
    -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& [server, state] : rejections_) {
        if (now < state.until_) {
            names.push_back(server);
        }
    }
    return names;
}

auto wait_estimates::expected_wait(const std::string& service,
                                   std::size_t ahead, time_point now) const
    -> std::optional<duration> {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return std::nullopt;
    }
    const auto& done = found->second;
    const auto count = done.count_ * decay(now - done.counted_at_);
    if (count < least_completions) {
        return std::nullopt;
    }
    // The count of a steady stream is its rate times the horizon, less what
    // has not been seen since the begin.
    const auto seen = 1 - decay(now - done.since_);
    return scaled(rate_horizon,
                  static_cast<double>(ahead) * std::max(seen, 0.01) / count);
}

} // namespace basilstream::coordination
