/// Limits what organisations spend over all daemons: charges the requests of
/// this daemon, and carries spending and levels in the rounds of load_sharing.
///
///     auto allowances = allowance_sharing{boot_clock, "entry-1", run,
///     settings}; allowances.set_organisations(config.organisations_); if
///     (const auto refusal = allowances.try_spend("acme", 1600)) { /* 429 */ }
///     allowances.add_report(update, interval);     // each round
///
/// Adds nothing to updates unless an organisation has a limit. Use on one
/// thread only, with a clock that counts suspension.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/allowances/allowances.hpp"
#include "basilstream/coordination/route_table/route_table.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"

namespace basilstream::daemon {

class allowance_sharing {
public:
    /// `run` is a number that differs between runs of the daemon `self`.
    allowance_sharing(const clock& time, std::string self, std::uint32_t run,
                      coordination::allowance_settings settings);

    auto
    set_organisations(const std::vector<coordination::organisation>& listed)
        -> void;
    auto set_daemons(const std::vector<std::string>& names) -> void;

    /// Charges a request, or returns why it is refused.
    [[nodiscard]] auto try_spend(const std::string& organisation, double units)
        -> std::optional<coordination::allowance_refusal>;
    /// Returns the units of a request that has not run.
    auto give_back(const std::string& organisation, double units) -> void;

    /// Adds what this daemon has spent. `interval` is the time between rounds.
    auto add_report(protocol::relay_update& update, duration interval) -> void;
    /// Adds the levels, after taking this daemon's own report. For the daemon
    /// that sums the reports of all others.
    auto add_levels(protocol::relay_update& update, duration interval) -> void;
    /// Between two rounds: the same, if that cannot wait. Returns whether
    /// something was added.
    [[nodiscard]] auto add_early_report(protocol::relay_update& update) -> bool;
    [[nodiscard]] auto add_early_levels(protocol::relay_update& update) -> bool;
    /// Applies the levels that this daemon keeps itself. For each daemon where
    /// all send their reports to all, after add_report().
    auto apply_own_levels(const protocol::relay_update& update) -> void;
    /// Applies what another daemon has sent.
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;

    /// Returns the known level of an organisation with a limit.
    [[nodiscard]] auto level_of(const std::string& organisation) const
        -> std::optional<double>;

private:
    // Takes this daemon's own report into its own levels.
    auto take_report(duration interval) -> coordination::allowance_report;

    const clock& clock_;
    const std::string self_;
    duration interval_{0};
    coordination::allowance_ledger ledger_;
    coordination::allowance_aggregator aggregator_;
};

} // namespace basilstream::daemon
