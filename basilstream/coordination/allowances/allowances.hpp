/// Limits what each organisation spends over all daemons, without a round trip
/// for each request.
///
///     auto ledger = allowance_ledger{"entry-1", settings};
///     ledger.set_limits({{"acme", 2700, 2700}}, now);
///     if (const auto refusal = ledger.try_spend("acme", 1600, now)) { /* 429
///     */ } aggregator.on_report("entry-1", ledger.take_report(now), now); if
///     (const auto levels = aggregator.levels(now)) {
///         ledger.on_levels(*levels, now, now);
///     }
///
/// Load pattern: 16 organisations whose limits differ by 170 times send 800
/// requests per second to 69 to 195 daemons that exchange what they have spent
/// every 0.7 to 2 s. The largest organisation could overrun its limit by
/// several seconds of its rate between two exchanges; the smallest has less
/// than one request per daemon in its bucket.
///
/// Pure; time is passed in. Use a clock that counts suspension.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// The bound on what runs in any `window_`: (rate x window + burst) x overrun
/// + slack. The defaults leave no room beyond the bucket itself.
struct allowance_settings {
    duration window_ = seconds{8};
    double overrun_ = 1;
    double slack_ = 0;
};

struct allowance_limit {
    std::string organisation_;
    double rate_per_second_ = 0;
    double burst_ = 0;
};

/// Identifies an organisation in messages, in less space than its name.
using organisation_key = std::uint64_t;

[[nodiscard]] auto organisation_key_of(std::string_view name)
    -> organisation_key;

/// What a daemon has spent of one organisation's allowance.
struct allowance_spending {
    organisation_key organisation_ = 0;
    /// Units since the start of the process.
    double total_ = 0;
    /// Units that the last known level does not include: what an aggregator
    /// charges that does not know an earlier total.
    double unreflected_ = 0;
    /// Units refused since the last report.
    double refused_ = 0;
};

struct allowance_report {
    /// Differs between runs of a daemon, whose totals begin at 0.
    std::uint32_t run_ = 0;
    std::vector<allowance_spending> spending_;
};

/// State of one organisation's bucket, over all daemons.
struct allowance_level {
    organisation_key organisation_ = 0;
    /// Units left; negative after an overrun.
    double units_ = 0;
    /// Units requested per second.
    double demand_ = 0;
};

/// Why a request was refused, for its log line.
struct allowance_refusal {
    /// When the limit is expected to permit the request.
    duration wait_{0};
    /// Last known level and its age; no age if there never was one.
    double level_ = 0;
    std::optional<duration> age_;
    /// Part of the allowance that this daemon may spend.
    double share_ = 0;
};

/// Sum of units that decays with a fixed time constant.
class decaying_sum {
public:
    /// `time_constant` is in seconds.
    explicit decaying_sum(double time_constant)
        : time_constant_{time_constant} {}

    auto add(double units, time_point now) -> void;
    [[nodiscard]] auto per_second(time_point now) const -> double;

private:
    double time_constant_;
    double value_ = 0;
    time_point updated_at_{};
};

/// Time constants of the demand that a daemon sees, whose requests are few, and
/// of that of all daemons, whose end must be noticed soon.
inline constexpr auto own_demand_seconds = 1.0;
inline constexpr auto total_demand_seconds = 0.45;

/// Decides on the requests of one daemon.
class allowance_ledger {
public:
    /// `run` identifies this run of the daemon.
    allowance_ledger(const std::string& self, std::uint32_t run,
                     allowance_settings settings);

    /// Organisations that are left out, and those with a rate of 0, have no
    /// limit.
    auto set_limits(const std::vector<allowance_limit>& limits, time_point now)
        -> void;
    auto set_daemons(std::size_t count) -> void;
    /// Sets the time between two reports.
    auto set_interval(duration interval) -> void { interval_ = interval; }
    [[nodiscard]] auto has_limits() const -> bool { return !entries_.empty(); }

    /// Charges a request, or returns why it is refused.
    [[nodiscard]] auto try_spend(std::string_view organisation, double units,
                                 time_point now)
        -> std::optional<allowance_refusal>;
    /// Returns the units of a request that has not run.
    auto give_back(std::string_view organisation, double units) -> void;

    /// Returns whether a report should be sent before the next round: a small
    /// organisation, of which a daemon gets less than one request in a round,
    /// would overrun its limit by many requests until then.
    [[nodiscard]] auto wants_early_report(time_point now) const -> bool;
    /// Returns what has changed since the last report.
    [[nodiscard]] auto take_report(time_point now) -> allowance_report;
    /// Takes the levels of an aggregator, which include the reports taken up to
    /// `reflected_until`. Organisations that are left out have a full bucket.
    auto on_levels(const std::vector<allowance_level>& levels,
                   time_point reflected_until, time_point now) -> void;

    /// Returns the known level of an organisation; empty if there is none.
    [[nodiscard]] auto level_of(std::string_view organisation,
                                time_point now) const -> std::optional<double>;

private:
    struct sent_spending {
        time_point sent_at_{};
        double units_ = 0;
    };
    struct entry {
        double rate_ = 0;
        double burst_ = 0;
        // Units that a full bucket holds.
        double size_ = 0;
        // Since the start of the process, and of it since the last report.
        double total_ = 0;
        double unsent_ = 0;
        double refused_ = 0;
        // Reported, but not included in the level.
        std::deque<sent_spending> sent_;
        decaying_sum demand_{own_demand_seconds};
        double reported_demand_ = 0;
        bool changed_ = false;
        // Level and demand of all daemons when the last levels arrived.
        double level_ = 0;
        double total_demand_ = 0;
        bool full_ = true;
        double share_ = 0;
        // Admits a fraction of the requests by error diffusion.
        double fraction_carry_ = 0;
        // Bucket of this daemon alone, while there is no fresh level.
        double local_ = 0;
        bool uses_local_ = false;
        time_point local_at_{};
        double request_cost_ = 0;

        [[nodiscard]] auto unreflected() const -> double;
    };

    [[nodiscard]] auto is_fresh(time_point now) const -> bool;
    [[nodiscard]] auto permits(entry& of, double units, time_point now) const
        -> bool;
    [[nodiscard]] auto permits_alone(entry& of, double units,
                                     time_point now) const -> bool;
    [[nodiscard]] auto wait_for(const entry& of, double units,
                                time_point now) const -> duration;
    // Returns the part of the bucket that this daemon may spend if it had
    // `demand` of `total_demand`.
    [[nodiscard]] auto share_of(double demand, double total_demand) const
        -> double;
    // Estimates the demand of all daemons now.
    [[nodiscard]] auto total_demand_of(const entry& of, time_point now) const
        -> double;

    const organisation_key self_;
    const std::uint32_t run_;
    allowance_settings settings_;
    std::size_t daemons_ = 1;
    duration interval_ = milliseconds{200};
    std::unordered_map<organisation_key, entry> entries_;
    std::optional<time_point> levels_at_;
    time_point reported_at_{};
};

/// Keeps the buckets of all daemons.
class allowance_aggregator {
public:
    explicit allowance_aggregator(allowance_settings settings)
        : settings_{settings} {}

    auto set_limits(const std::vector<allowance_limit>& limits, time_point now)
        -> void;
    /// Sets the daemons whose share is reserved while they are silent.
    auto set_daemons(const std::vector<std::string>& names, time_point now)
        -> void;
    auto set_interval(duration interval) -> void { interval_ = interval; }

    auto on_report(const std::string& daemon, const allowance_report& report,
                   time_point now) -> void;
    /// Takes the levels of another aggregator, from which this one goes on if
    /// it takes over.
    auto on_levels(const std::vector<allowance_level>& levels, time_point now)
        -> void;
    /// Returns whether levels should be sent before the next round, as the
    /// fraction of requests that can be admitted has changed much.
    [[nodiscard]] auto wants_early_levels(time_point now) -> bool;
    /// Returns the levels to send: those that are below three quarters of the
    /// bucket, or whose demand is above three quarters of the rate. Empty for
    /// one interval after the last levels of another aggregator were taken, as
    /// the daemons have not yet reported to this one.
    [[nodiscard]] auto levels(time_point now)
        -> std::optional<std::vector<allowance_level>>;

private:
    struct bucket {
        double rate_ = 0;
        double size_ = 0;
        double level_ = 0;
        // Part of the rate that silent daemons may spend.
        double reserved_ = 0;
        decaying_sum demand_{total_demand_seconds};
        decaying_sum spent_{total_demand_seconds};
        double sent_fraction_ = 1;
    };
    struct account {
        std::optional<double> total_;
        decaying_sum demand_{total_demand_seconds};
        double reserved_share_ = 0;
    };
    struct daemon_state {
        std::uint32_t run_ = 0;
        std::optional<time_point> heard_at_;
        std::optional<time_point> reserved_since_;
        std::unordered_map<organisation_key, account> accounts_;
    };

    [[nodiscard]] auto admitted_fraction(const bucket& of, time_point now) const
        -> double;
    auto refill(time_point now) -> void;
    auto reserve_for(daemon_state& daemon, time_point now) -> void;
    // Returns what was reserved for the daemon, by organisation.
    auto end_reservation(daemon_state& daemon, time_point now)
        -> std::unordered_map<organisation_key, double>;

    allowance_settings settings_;
    duration interval_ = milliseconds{200};
    std::unordered_map<organisation_key, bucket> buckets_;
    std::map<std::string, daemon_state> daemons_;
    std::optional<time_point> refilled_at_;
    // No levels are sent before.
    std::optional<time_point> takes_over_at_;
    std::optional<time_point> sent_at_;
    bool active_ = false;
};

} // namespace basilstream::coordination
