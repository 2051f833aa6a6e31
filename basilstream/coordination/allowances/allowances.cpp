#include "basilstream/coordination/allowances/allowances.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace basilstream::coordination {
namespace {

// Part of the room that the bound leaves beyond the limit by which a bucket is
// enlarged. It makes up for shares that daemons do not use, so that a refusal
// means that the limit itself is used up. The rest covers requests admitted on
// stale levels.
constexpr auto enlargement = 0.6;
// Longest time of the rate by which the slack enlarges a bucket, as the slack
// may be many requests of an organisation whose unit is requests.
constexpr auto slack_seconds = 0.8;
// Levels come once in an interval. One that is older than that and this has not
// been followed: the aggregator has failed or is unreachable.
constexpr auto level_margin = milliseconds{500};
// A daemon that has not reported for this many intervals is taken for cut off.
constexpr auto silence_intervals = 3;
// With short intervals, idle daemons report less often: twice in this time.
constexpr auto min_silence = milliseconds{1500};
// Time over which the units left in a bucket are spent, and over which a debt
// is paid, if requested.
constexpr auto horizon_intervals = 0.9;
constexpr auto max_horizon_seconds = 0.9;
constexpr auto debt_horizon_seconds = 0.5;
// Part of the allowance that all daemons share equally, so that a daemon that
// gets its first request of an organisation has a share.
constexpr auto equal_part = 0.15;
// What a daemon spends between two levels is at most this multiple of its
// share: its part of the demand differs between two exchanges.
constexpr auto bound_multiple = 3.0;
// Requests that a daemon may admit between two levels, however small its share.
constexpr auto min_requests = 6.0;
// Part of an interval by which the reports of all daemons are late on average,
// less what early reports make up for.
constexpr auto unreported_part = 0.25;
// Organisations of which a daemon gets fewer requests in a round are reported
// early.
constexpr auto early_requests = 1.0;
// Least time between two reports, and between two broadcasts of levels.
constexpr auto min_spacing = milliseconds{250};
// Change of the admitted fraction upon which levels are sent at once. With
// 0.25, 195 daemons overran the bound by 3% in the simulation.
constexpr auto urgent_change = 0.15;
// Demand of an organisation that is not reported, as a part of its rate.
constexpr auto usual_demand = 0.5;
// Requests that a daemon may get within own_demand_seconds by chance.
constexpr auto usual_requests = 6.0;
// Levels and demands below this part are not sent.
constexpr auto noted_part = 0.75;
constexpr auto cost_smoothing = 0.1;

auto seconds_of(duration value) -> double {
    return std::chrono::duration<double>(value).count();
}

auto silence_of(duration interval) -> duration {
    return std::max<duration>(silence_intervals * interval, min_silence);
}

// Returns what all daemons may admit per second at a level.
auto affordable_rate(double rate, double level, duration interval) -> double {
    const auto horizon =
        level > 0 ? std::min(horizon_intervals * seconds_of(interval),
                             max_horizon_seconds)
                  : debt_horizon_seconds;
    return std::max(rate + level / horizon, 0.0);
}

auto bucket_size(const allowance_limit& limit,
                 const allowance_settings& settings) -> double {
    const auto permitted =
        limit.rate_per_second_ * seconds_of(settings.window_) + limit.burst_;
    const auto room =
        enlargement * (std::max(settings.overrun_ - 1, 0.0) * permitted) +
        std::min(enlargement * std::max(settings.slack_, 0.0),
                 slack_seconds * limit.rate_per_second_);
    // A bucket that holds less than one unit would refuse every request.
    return std::max(limit.burst_ + room, 1.0);
}

} // namespace

auto organisation_key_of(std::string_view name) -> organisation_key {
    constexpr auto offset_basis = organisation_key{0xCBF29CE484222325U};
    constexpr auto prime = organisation_key{0x100000001B3U};
    auto hash = offset_basis;
    for (const auto letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * prime;
    }
    return hash;
}

auto decaying_sum::add(double units, time_point now) -> void {
    value_ = per_second(now) * time_constant_ + units;
    updated_at_ = now;
}

auto decaying_sum::per_second(time_point now) const -> double {
    const auto age = std::max(seconds_of(now - updated_at_), 0.0);
    return value_ * std::exp(-age / time_constant_) / time_constant_;
}

allowance_ledger::allowance_ledger(const std::string& self, std::uint32_t run,
                                   allowance_settings settings)
    : self_{organisation_key_of(self)}, run_{run}, settings_{settings} {}

auto allowance_ledger::entry::unreflected() const -> double {
    auto units = unsent_;
    for (const auto& sent : sent_) {
        units += sent.units_;
    }
    return units;
}

auto allowance_ledger::set_limits(const std::vector<allowance_limit>& limits,
                                  time_point now) -> void {
    auto kept = std::unordered_map<organisation_key, entry>{};
    for (const auto& limit : limits) {
        if (!(limit.rate_per_second_ > 0)) {
            continue;
        }
        const auto key = organisation_key_of(limit.organisation_);
        const auto size = bucket_size(limit, settings_);
        const auto found = entries_.find(key);
        auto next = found == entries_.end() ? entry{} : found->second;
        if (found == entries_.end()) {
            next.level_ = size;
            next.share_ = 1 / static_cast<double>(daemons_);
            // Spreads the phases of the daemons evenly.
            next.fraction_carry_ =
                static_cast<double>((key ^ self_) * 0x9E3779B97F4A7C15U >>
                                    11U) /
                static_cast<double>(std::uint64_t{1} << 53U);
        } else {
            next.level_ = next.full_ ? size : std::min(next.level_, size);
        }
        next.rate_ = limit.rate_per_second_;
        next.burst_ = limit.burst_;
        next.size_ = size;
        if (!next.uses_local_) {
            next.local_at_ = now;
        }
        kept.insert_or_assign(key, std::move(next));
    }
    entries_ = std::move(kept);
}

auto allowance_ledger::set_daemons(std::size_t count) -> void {
    daemons_ = std::max<std::size_t>(count, 1);
    if (!levels_at_) {
        for (auto& [key, of] : entries_) {
            of.share_ = 1 / static_cast<double>(daemons_);
        }
    }
}

auto allowance_ledger::is_fresh(time_point now) const -> bool {
    return levels_at_ && now - *levels_at_ <= interval_ + level_margin;
}

auto allowance_ledger::share_of(double demand, double total_demand) const
    -> double {
    const auto own =
        total_demand > 0 ? std::min(demand / total_demand, 1.0) : 0.0;
    const auto count = static_cast<double>(daemons_);
    return daemons_ == 1 ? 1.0 : (1 - equal_part) * own + equal_part / count;
}

auto allowance_ledger::total_demand_of(const entry& of, time_point now) const
    -> double {
    // Own requests show a change before the next levels do. The constant keeps
    // single requests from counting as a change.
    const auto own = of.demand_.per_second(now);
    const auto usual =
        std::max(of.total_demand_ / static_cast<double>(daemons_),
                 usual_requests * of.request_cost_ / own_demand_seconds);
    return of.total_demand_ * (own + usual) / (of.reported_demand_ + usual);
}

auto allowance_ledger::permits(entry& of, double units, time_point now) const
    -> bool {
    const auto unreflected = of.unreflected();
    const auto regained = of.rate_ * seconds_of(now - *levels_at_);
    const auto claim =
        of.share_ * std::min(of.level_ + regained, of.size_ + regained);
    if (claim - unreflected >= std::min(units, of.size_)) {
        return true;
    }
    if (daemons_ == 1) {
        return false;
    }
    // A claim is often less than one request. A fraction of the requests is
    // admitted beyond it; at least one, as the share of a small organisation is
    // less.
    const auto share = std::max(of.share_, 1 / static_cast<double>(daemons_));
    const auto bound = std::max(
        share * bound_multiple *
            (std::max(of.level_, 0.0) + 2 * of.rate_ * seconds_of(interval_)),
        min_requests * of.request_cost_);
    if (unreflected > 0 && unreflected + units > bound) {
        return false;
    }
    const auto demand = total_demand_of(of, now);
    // What the daemons admit together changes the level until the next one.
    const auto admitted = std::min(
        affordable_rate(of.rate_, of.level_, interval_), of.total_demand_);
    const auto level = std::min(of.level_ + (of.rate_ - admitted) *
                                                seconds_of(now - *levels_at_),
                                of.size_);
    const auto affordable = affordable_rate(of.rate_, level, interval_);
    of.fraction_carry_ += demand > affordable ? affordable / demand : 1.0;
    if (of.fraction_carry_ < 1) {
        return false;
    }
    of.fraction_carry_ -= std::floor(of.fraction_carry_);
    return true;
}

auto allowance_ledger::permits_alone(entry& of, double units,
                                     time_point now) const -> bool {
    const auto share = of.share_;
    const auto room =
        std::max(share * of.size_, std::min(of.request_cost_, of.size_));
    if (!of.uses_local_) {
        // What is left of the last level; less one request, the daemon may
        // have saved its share for since the level arrived.
        of.uses_local_ = true;
        of.local_ = levels_at_ ? share * of.level_ - of.unreflected() : room;
        of.local_at_ = levels_at_ ? *levels_at_ : now;
        if (levels_at_ && of.unreflected() <= 0 && of.level_ >= units) {
            of.local_ = std::max(of.local_, room);
        }
    }
    of.local_ = std::min(
        of.local_ + share * of.rate_ * seconds_of(now - of.local_at_), room);
    of.local_at_ = now;
    if (of.local_ < std::min(units, room)) {
        return false;
    }
    of.local_ -= units;
    return true;
}

auto allowance_ledger::wait_for(const entry& of, double units,
                                time_point now) const -> duration {
    auto missing_seconds = 0.0;
    if (is_fresh(now)) {
        const auto level = of.level_ + of.rate_ * seconds_of(now - *levels_at_);
        missing_seconds = (std::min(units, of.size_) - level) / of.rate_;
    } else {
        missing_seconds =
            (std::min(units, of.size_) - of.local_) / (of.share_ * of.rate_);
    }
    const auto longest = seconds_of(settings_.window_);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        std::clamp(missing_seconds, seconds_of(interval_), longest)));
}

auto allowance_ledger::try_spend(std::string_view organisation, double units,
                                 time_point now)
    -> std::optional<allowance_refusal> {
    const auto found = entries_.find(organisation_key_of(organisation));
    if (found == entries_.end() || !(units > 0)) {
        return std::nullopt;
    }
    auto& of = found->second;
    of.demand_.add(units, now);
    of.changed_ = true;
    of.request_cost_ =
        of.request_cost_ == 0
            ? units
            : of.request_cost_ + cost_smoothing * (units - of.request_cost_);
    const auto fresh = is_fresh(now);
    if (fresh ? permits(of, units, now) : permits_alone(of, units, now)) {
        of.total_ += units;
        of.unsent_ += units;
        return std::nullopt;
    }
    of.refused_ += units;
    return allowance_refusal{wait_for(of, units, now), of.level_,
                             levels_at_ ? std::optional{now - *levels_at_}
                                        : std::nullopt,
                             of.share_};
}

auto allowance_ledger::give_back(std::string_view organisation, double units)
    -> void {
    const auto found = entries_.find(organisation_key_of(organisation));
    if (found == entries_.end() || !(units > 0)) {
        return;
    }
    auto& of = found->second;
    of.total_ -= units;
    of.unsent_ -= units;
    of.changed_ = true;
    if (of.uses_local_) {
        of.local_ += units;
    }
}

auto allowance_ledger::wants_early_report(time_point now) const -> bool {
    if (now - reported_at_ < min_spacing) {
        return false;
    }
    const auto part = seconds_of(interval_) / static_cast<double>(daemons_);
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& row) {
        const auto& of = row.second;
        return of.changed_ &&
               of.rate_ * part < early_requests * of.request_cost_;
    });
}

auto allowance_ledger::take_report(time_point now) -> allowance_report {
    reported_at_ = now;
    auto report = allowance_report{run_, {}};
    for (auto& [key, of] : entries_) {
        // While cut off, a daemon spends its share of the rate, which the
        // bucket has meanwhile regained.
        while (!of.sent_.empty() &&
               now - of.sent_.front().sent_at_ > silence_of(interval_)) {
            of.sent_.pop_front();
        }
        if (!of.changed_) {
            continue;
        }
        report.spending_.push_back(
            {key, of.total_, of.unreflected(), of.refused_});
        if (of.unsent_ != 0) {
            of.sent_.push_back({now, of.unsent_});
        }
        of.unsent_ = 0;
        of.refused_ = 0;
        of.reported_demand_ = of.demand_.per_second(now);
        of.changed_ = false;
    }
    return report;
}

auto allowance_ledger::on_levels(const std::vector<allowance_level>& levels,
                                 time_point reflected_until, time_point now)
    -> void {
    levels_at_ = now;
    for (auto& [key, of] : entries_) {
        of.full_ = true;
        of.level_ = of.size_;
        of.total_demand_ = usual_demand * of.rate_;
        of.uses_local_ = false;
        while (!of.sent_.empty() &&
               of.sent_.front().sent_at_ <= reflected_until) {
            of.sent_.pop_front();
        }
        of.reported_demand_ =
            std::min(of.reported_demand_, of.demand_.per_second(now));
    }
    for (const auto& level : levels) {
        const auto found = entries_.find(level.organisation_);
        if (found == entries_.end()) {
            continue;
        }
        auto& of = found->second;
        of.full_ = false;
        of.level_ = std::min(level.units_, of.size_);
        of.total_demand_ = level.demand_;
    }
    for (auto& [key, of] : entries_) {
        of.share_ = share_of(
            of.reported_demand_,
            std::max(of.total_demand_, of.full_ ? noted_part * of.rate_ : 0));
    }
}

auto allowance_ledger::level_of(std::string_view organisation,
                                time_point now) const -> std::optional<double> {
    const auto found = entries_.find(organisation_key_of(organisation));
    if (found == entries_.end() || !levels_at_) {
        return std::nullopt;
    }
    const auto& of = found->second;
    return std::min(of.level_ + of.rate_ * seconds_of(now - *levels_at_),
                    of.size_);
}

auto allowance_aggregator::set_limits(
    const std::vector<allowance_limit>& limits, time_point now) -> void {
    refill(now);
    auto kept = std::unordered_map<organisation_key, bucket>{};
    for (const auto& limit : limits) {
        if (!(limit.rate_per_second_ > 0)) {
            continue;
        }
        const auto key = organisation_key_of(limit.organisation_);
        const auto size = bucket_size(limit, settings_);
        const auto found = buckets_.find(key);
        auto next = found == buckets_.end() ? bucket{} : found->second;
        next.level_ = found == buckets_.end()
                          ? size
                          : std::min(next.level_ + size - next.size_, size);
        next.rate_ = limit.rate_per_second_;
        next.size_ = size;
        kept.insert_or_assign(key, next);
    }
    buckets_ = std::move(kept);
}

auto allowance_aggregator::set_daemons(const std::vector<std::string>& names,
                                       time_point now) -> void {
    refill(now);
    const auto present = std::set<std::string>{names.begin(), names.end()};
    for (auto at = daemons_.begin(); at != daemons_.end();) {
        if (present.contains(at->first)) {
            ++at;
            continue;
        }
        end_reservation(at->second, now);
        at = daemons_.erase(at);
    }
}

auto allowance_aggregator::refill(time_point now) -> void {
    const auto elapsed =
        refilled_at_ ? std::max(seconds_of(now - *refilled_at_), 0.0) : 0.0;
    refilled_at_ = now;
    if (!active_) {
        // Without levels the daemons spend their shares of the rate, which
        // they do not report. A bucket that is refilled meanwhile would let
        // them spend it twice.
        return;
    }
    for (auto& [key, of] : buckets_) {
        of.level_ = std::min(of.level_ + of.rate_ * elapsed *
                                             std::max(1 - of.reserved_, 0.0),
                             of.size_);
    }
}

auto allowance_aggregator::reserve_for(daemon_state& daemon, time_point now)
    -> void {
    daemon.reserved_since_ = now;
    for (auto& [key, of] : daemon.accounts_) {
        const auto found = buckets_.find(key);
        if (found == buckets_.end()) {
            continue;
        }
        // Demands decay at the same pace, so that their ratio is that of the
        // last report.
        const auto total = found->second.demand_.per_second(now);
        of.reserved_share_ =
            total > 0 ? std::min(of.demand_.per_second(now) / total, 1.0) : 0.0;
        found->second.reserved_ += of.reserved_share_;
    }
}

auto allowance_aggregator::end_reservation(daemon_state& daemon, time_point now)
    -> std::unordered_map<organisation_key, double> {
    auto reserved = std::unordered_map<organisation_key, double>{};
    if (!daemon.reserved_since_) {
        return reserved;
    }
    const auto elapsed = seconds_of(now - *daemon.reserved_since_);
    daemon.reserved_since_.reset();
    for (auto& [key, of] : daemon.accounts_) {
        const auto found = buckets_.find(key);
        if (found != buckets_.end()) {
            found->second.reserved_ =
                std::max(found->second.reserved_ - of.reserved_share_, 0.0);
            reserved[key] = of.reserved_share_ * found->second.rate_ * elapsed;
        }
        of.reserved_share_ = 0;
    }
    return reserved;
}

auto allowance_aggregator::on_report(const std::string& daemon,
                                     const allowance_report& report,
                                     time_point now) -> void {
    refill(now);
    auto& from = daemons_[daemon];
    auto reserved = end_reservation(from, now);
    from.heard_at_ = now;
    if (from.run_ != report.run_) {
        from.accounts_.clear();
        from.run_ = report.run_;
    }
    for (const auto& spending : report.spending_) {
        const auto found = buckets_.find(spending.organisation_);
        if (found == buckets_.end()) {
            continue;
        }
        auto& of = from.accounts_[spending.organisation_];
        const auto units =
            of.total_ ? spending.total_ - *of.total_ : spending.unreflected_;
        of.total_ = spending.total_;
        const auto requested = std::max(units, 0.0) + spending.refused_;
        of.demand_.add(requested, now);
        found->second.demand_.add(requested, now);
        found->second.spent_.add(std::max(units, 0.0), now);
        const auto already = std::clamp(reserved[spending.organisation_], 0.0,
                                        std::max(units, 0.0));
        found->second.level_ = std::min(found->second.level_ - units + already,
                                        found->second.size_);
    }
}

auto allowance_aggregator::on_levels(const std::vector<allowance_level>& levels,
                                     time_point now) -> void {
    refill(now);
    active_ = false;
    sent_at_.reset();
    daemons_.clear();
    for (auto& [key, of] : buckets_) {
        of.level_ = of.size_;
        of.reserved_ = 0;
        of.demand_ = decaying_sum{total_demand_seconds};
    }
    for (const auto& level : levels) {
        const auto found = buckets_.find(level.organisation_);
        if (found != buckets_.end()) {
            found->second.level_ = std::min(level.units_, found->second.size_);
            found->second.demand_.add(level.demand_ * total_demand_seconds,
                                      now);
        }
    }
}

auto allowance_aggregator::admitted_fraction(const bucket& of,
                                             time_point now) const -> double {
    const auto demand = of.demand_.per_second(now);
    const auto affordable = affordable_rate(of.rate_, of.level_, interval_);
    return demand > affordable ? affordable / demand : 1.0;
}

auto allowance_aggregator::wants_early_levels(time_point now) -> bool {
    if (!active_ || !sent_at_ || now - *sent_at_ < min_spacing) {
        return false;
    }
    refill(now);
    return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& row) {
        return std::abs(admitted_fraction(row.second, now) -
                        row.second.sent_fraction_) > urgent_change;
    });
}

auto allowance_aggregator::levels(time_point now)
    -> std::optional<std::vector<allowance_level>> {
    refill(now);
    if (!active_) {
        active_ = true;
        takes_over_at_ = now + interval_;
    }
    if (now < *takes_over_at_) {
        return std::nullopt;
    }
    for (auto& [name, daemon] : daemons_) {
        if (!daemon.reserved_since_ && daemon.heard_at_ &&
            now - *daemon.heard_at_ > silence_of(interval_)) {
            reserve_for(daemon, now);
        }
    }
    sent_at_ = now;
    auto levels = std::vector<allowance_level>{};
    for (auto& [key, of] : buckets_) {
        of.sent_fraction_ = admitted_fraction(of, now);
        const auto demand = of.demand_.per_second(now);
        // Daemons have spent for half an interval since their last reports.
        const auto units =
            of.level_ - (daemons_.size() > 1
                             ? of.spent_.per_second(now) *
                                   seconds_of(interval_) * unreported_part
                             : 0);
        if (units < noted_part * of.size_ || demand > noted_part * of.rate_) {
            levels.push_back({key, units, demand});
        }
    }
    return levels;
}

} // namespace basilstream::coordination
