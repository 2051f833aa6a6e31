#include "basilstream/daemon/allowance_sharing/allowance_sharing.hpp"

#include <utility>

namespace basilstream::daemon {
namespace {

// Time that a report may take to the daemon that sums reports: levels include
// reports sent earlier than that. Covers a tick of 50 ms and a busy daemon.
constexpr auto report_delay = milliseconds{150};

} // namespace

allowance_sharing::allowance_sharing(const clock& time, std::string self,
                                     std::uint32_t run,
                                     coordination::allowance_settings settings)
    : clock_{time}, self_{std::move(self)}, ledger_{self_, run, settings},
      aggregator_{settings} {}

auto allowance_sharing::set_organisations(
    const std::vector<coordination::organisation>& listed) -> void {
    auto limits = std::vector<coordination::allowance_limit>{};
    for (const auto& entry : listed) {
        if (entry.rate_per_second_ > 0) {
            limits.push_back(
                {entry.name_, entry.rate_per_second_, entry.burst_});
        }
    }
    const auto now = clock_.now();
    ledger_.set_limits(limits, now);
    aggregator_.set_limits(limits, now);
}

auto allowance_sharing::set_daemons(const std::vector<std::string>& names)
    -> void {
    ledger_.set_daemons(names.size());
    aggregator_.set_daemons(names, clock_.now());
}

auto allowance_sharing::try_spend(const std::string& organisation, double units)
    -> std::optional<coordination::allowance_refusal> {
    return ledger_.try_spend(organisation, units, clock_.now());
}

auto allowance_sharing::give_back(const std::string& organisation, double units)
    -> void {
    ledger_.give_back(organisation, units);
}

auto allowance_sharing::take_report(duration interval)
    -> coordination::allowance_report {
    const auto now = clock_.now();
    interval_ = interval;
    ledger_.set_interval(interval);
    aggregator_.set_interval(interval);
    return ledger_.take_report(now);
}

auto allowance_sharing::add_report(protocol::relay_update& update,
                                   duration interval) -> void {
    if (!ledger_.has_limits()) {
        return;
    }
    update.allowance_report_ = take_report(interval);
}

auto allowance_sharing::add_levels(protocol::relay_update& update,
                                   duration interval) -> void {
    if (!ledger_.has_limits()) {
        return;
    }
    const auto now = clock_.now();
    aggregator_.on_report(self_, take_report(interval), now);
    update.allowance_levels_ = aggregator_.levels(now);
    if (update.allowance_levels_) {
        ledger_.on_levels(*update.allowance_levels_, now, now);
    }
}

auto allowance_sharing::add_early_report(protocol::relay_update& update)
    -> bool {
    if (!ledger_.wants_early_report(clock_.now())) {
        return false;
    }
    add_report(update, interval_);
    return true;
}

auto allowance_sharing::add_early_levels(protocol::relay_update& update)
    -> bool {
    if (!aggregator_.wants_early_levels(clock_.now())) {
        return false;
    }
    add_levels(update, interval_);
    return update.allowance_levels_.has_value();
}

auto allowance_sharing::apply_own_levels(const protocol::relay_update& update)
    -> void {
    if (!update.allowance_report_) {
        return;
    }
    const auto now = clock_.now();
    aggregator_.on_report(self_, *update.allowance_report_, now);
    if (const auto levels = aggregator_.levels(now)) {
        ledger_.on_levels(*levels, now, now);
    }
}

auto allowance_sharing::on_update(const std::string& sender,
                                  const protocol::relay_update& update)
    -> void {
    const auto now = clock_.now();
    if (update.allowance_report_) {
        aggregator_.on_report(sender, *update.allowance_report_, now);
    }
    if (update.allowance_levels_) {
        aggregator_.on_levels(*update.allowance_levels_, now);
        ledger_.on_levels(*update.allowance_levels_, now - report_delay, now);
    }
}

auto allowance_sharing::level_of(const std::string& organisation) const
    -> std::optional<double> {
    return ledger_.level_of(organisation, clock_.now());
}

} // namespace basilstream::daemon
