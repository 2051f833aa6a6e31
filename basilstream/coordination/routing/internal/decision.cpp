#include <algorithm>
#include <cmath>

#include <xxhash.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/replica_shares/replica_shares.hpp"
#include "basilstream/coordination/routing/internal/replica_index.hpp"
#include "basilstream/coordination/routing/routing.hpp"

namespace basilstream::coordination {
namespace {

using internal::candidate;
using internal::replica;
using internal::runner_entry;

// Returns the weight of a runner for a prefix (highest random weight hashing;
// Thaler and Ravishankar, 1998).
auto rendezvous_weight(const runner_entry& runner, std::uint64_t prefix)
    -> std::uint64_t {
    const auto& name = runner.info_.name_;
    return XXH3_64bits_withSeed(name.data(), name.size(), prefix);
}

// A tier bit and the reason that it stands for in route::rejected_.
struct soft_criterion {
    unsigned bit_;
    rejection_reason reason_;
};

// In descending order of precedence, as in tier_bit.
constexpr soft_criterion soft_criteria[] = {
    {internal::saturated, rejection_reason::saturated},
    {internal::avoided, rejection_reason::avoided},
    {internal::adapter_missing, rejection_reason::adapter_missing},
    {internal::over_load_bound, rejection_reason::over_load_bound},
    {internal::prefix_not_cached, rejection_reason::prefix_not_cached},
    {internal::other_zone, rejection_reason::other_zone},
};

// Returns the criterion of highest precedence that a candidate of `tier` fails
// and the chosen one meets. If there is none, affinity or load decided.
auto soft_rejection_reason(unsigned tier, unsigned chosen_tier, bool affinity)
    -> rejection_reason {
    for (const auto& criterion : soft_criteria) {
        if ((tier & ~chosen_tier & criterion.bit_) != 0) {
            return criterion.reason_;
        }
    }
    return affinity ? rejection_reason::lower_affinity
                    : rejection_reason::more_loaded;
}

auto contains(std::span<const std::string> names, const std::string& name)
    -> bool {
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto mean_load_per_slot(const std::vector<candidate>& candidates) -> double {
    auto load = 0.0;
    auto slots = 0.0;
    for (const auto& entry : candidates) {
        load += entry.load_;
        slots += entry.replica_->runner_->info_.slots_;
    }
    return load / slots;
}

// Returns the load per slot, weighted by the speed of the runner.
auto height_of_candidate(const candidate& entry) -> double {
    return height_of(entry.replica_->runner_->room(), entry.load_);
}

} // namespace

auto router::hard_rejection_reason(const replica& candidate,
                                   const route_request& request,
                                   time_point now) const
    -> std::optional<rejection_reason> {
    const auto& runner = *candidate.runner_;
    if (guards_.leaving_(runner.leaving_)) {
        return rejection_reason::leaving;
    }
    if (!candidate.resident_.ready_) {
        return rejection_reason::not_ready;
    }
    if (request.software_version_ &&
        (request.software_version_->empty() ||
         runner.info_.software_version_ != *request.software_version_)) {
        return rejection_reason::software_mismatch;
    }
    if (!request.version_.empty() &&
        candidate.resident_.version_ != request.version_) {
        return rejection_reason::version_mismatch;
    }
    if (!request.may_load_adapter_ &&
        !candidate.has_adapter(request.adapter_)) {
        return rejection_reason::adapter_missing;
    }
    if (contains(request.excluded_, runner.info_.name_)) {
        return rejection_reason::excluded;
    }
    if (guards_.at_limit_(runner.in_flight_, runner.limit_)) {
        return rejection_reason::at_limit;
    }
    if (now < runner.paused_until_) {
        return rejection_reason::paused;
    }
    if (now < runner.rate_limited_until_) {
        return rejection_reason::rate_limited;
    }
    return std::nullopt;
}

auto router::collect_candidates(const replicas& model_replicas,
                                const route_request& request, time_point now)
    -> void {
    candidates_.clear();
    rejected_.clear();
    for (const auto& entry : model_replicas) {
        if (const auto reason = hard_rejection_reason(entry, request, now)) {
            rejected_.push_back({entry.runner_->info_.name_, *reason});
            continue;
        }
        const auto load = entry.runner_->load(now, settings_.report_lifetime_);
        candidates_.push_back({&entry, load, 0});
    }
}

auto router::drop_ejected(time_point now) -> void {
    const auto ejected = [&](const candidate& entry) {
        return now < entry.replica_->runner_->ejected_until_;
    };
    const auto all_ejected =
        std::all_of(candidates_.begin(), candidates_.end(), ejected);
    const auto any_at_limit = std::any_of(
        rejected_.begin(), rejected_.end(), [](const auto& rejected) {
            return rejected.reason_ == rejection_reason::at_limit ||
                   rejected.reason_ == rejection_reason::rate_limited;
        });
    // If all candidates are ejected, ignores the ejections so that the model
    // stays reachable. If another replica is merely at its limit, the model is
    // reachable without them; choose() then returns overloaded.
    if (all_ejected && !any_at_limit) {
        return;
    }
    for (const auto& entry : candidates_) {
        if (ejected(entry)) {
            rejected_.push_back({entry.replica_->runner_->info_.name_,
                                 rejection_reason::ejected});
        }
    }
    std::erase_if(candidates_, ejected);
}

auto router::assign_tiers(const route_request& request) -> void {
    auto total_load = 1.0; // the new request
    auto total_slots = 0.0;
    for (const auto& entry : candidates_) {
        total_load += entry.load_;
        total_slots += entry.replica_->runner_->room().slots_;
    }
    const auto bound_per_slot =
        settings_.load_factor_ * total_load / total_slots;
    for (auto& entry : candidates_) {
        const auto& info = entry.replica_->runner_->info_;
        const auto slots = entry.replica_->runner_->room().slots_;
        const auto bound = std::max(std::ceil(bound_per_slot * slots),
                                    settings_.minimum_bound_share_ * slots);
        // The bound limits affinity. By weights, fast runners have more than
        // the average load per slot while slow ones are idle.
        const auto over_bound = entry.load_ + 1 > bound &&
                                (weights_.empty() || request.prefix_hash_ != 0);
        const auto prefix_missing =
            request.prefix_hash_ != 0 &&
            !entry.replica_->prefixes_.contains(request.prefix_hash_);
        entry.tier_ =
            (entry.load_ >= slots ? internal::saturated : 0U) |
            (contains(request.avoided_, info.name_) ? internal::avoided : 0U) |
            (entry.replica_->has_adapter(request.adapter_)
                 ? 0U
                 : internal::adapter_missing) |
            (over_bound ? internal::over_load_bound : 0U) |
            (prefix_missing ? internal::prefix_not_cached : 0U) |
            (info.zone_ == settings_.zone_ ? 0U : internal::other_zone);
    }
}

auto router::best_tier() const -> unsigned {
    return std::min_element(candidates_.begin(), candidates_.end(),
                            [](const auto& left, const auto& right) {
                                return left.tier_ < right.tier_;
                            })
        ->tier_;
}

auto router::pick_by_affinity(const route_request& request, unsigned tier) const
    -> std::size_t {
    auto best = candidates_.size();
    auto best_weight = std::uint64_t{0};
    for (auto index = std::size_t{0}; index < candidates_.size(); ++index) {
        if (candidates_[index].tier_ != tier) {
            continue;
        }
        const auto weight = rendezvous_weight(
            *candidates_[index].replica_->runner_, request.prefix_hash_);
        if (best == candidates_.size() || weight > best_weight) {
            best = index;
            best_weight = weight;
        }
    }
    return best;
}

// Power of two random choices (Mitzenmacher, 2001). Load counts lag, so if
// every daemon chose the least loaded runner, all would choose the same one at
// once.
auto router::pick_by_load(unsigned tier) -> std::size_t {
    const auto in_tier = [&](const candidate& entry) {
        return entry.tier_ == tier;
    };
    const auto count = static_cast<std::uint64_t>(
        std::count_if(candidates_.begin(), candidates_.end(), in_tier));
    const auto nth = [&](std::uint64_t rank) {
        auto index = std::size_t{0};
        for (;; ++index) {
            if (in_tier(candidates_[index]) && rank-- == 0) {
                return index;
            }
        }
    };
    const auto first = random_.below(count);
    if (count == 1) {
        return nth(first);
    }
    const auto second = (first + 1 + random_.below(count - 1)) % count;
    const auto left = nth(first);
    const auto right = nth(second);
    return height_of_candidate(candidates_[right]) <
                   height_of_candidate(candidates_[left])
               ? right
               : left;
}

auto router::pick_by_height(unsigned tier) -> std::size_t {
    const auto draw = [&](std::size_t left_out) {
        const auto width = [&](std::size_t index) {
            const auto& entry = candidates_[index];
            return index == left_out || entry.tier_ != tier
                       ? 0.0
                       : width_of(entry.replica_->runner_->room());
        };
        auto total = 0.0;
        for (auto index = std::size_t{0}; index < candidates_.size(); ++index) {
            total += width(index);
        }
        auto point = random_.fraction() * total;
        auto drawn = candidates_.size();
        for (auto index = std::size_t{0}; index < candidates_.size(); ++index) {
            if (width(index) > 0 && point >= 0) {
                drawn = index;
                point -= width(index);
            }
        }
        return drawn;
    };
    const auto first = draw(candidates_.size());
    const auto second = draw(first);
    if (second == candidates_.size()) {
        return first;
    }
    return height_of_candidate(candidates_[second]) <
                   height_of_candidate(candidates_[first])
               ? second
               : first;
}

// Load balancing on stale reports (Dahlin, "Interpreting stale load
// information", 1999). Daemons that all choose the least loaded runner by the
// same stale counts overload it. Therefore estimates the fraction of the
// reported requests that have ended since, age / typical_duration_, and assumes
// that as many new requests have arrived. Chooses at random so that these
// arrivals are expected to equalise the load per slot. Ignores the tier bits
// that depend on the load. The older the counts, the more of the requests are
// spread by the shares of the replicas instead, if these are known.
auto router::pick_by_stale_load(unsigned tier, time_point now) -> std::size_t {
    constexpr auto load_bits = internal::over_load_bound | internal::saturated;
    auto columns = std::vector<load_column>{};
    auto total = 0.0;
    auto age = report_lag_;
    for (auto index = std::size_t{0}; index < candidates_.size(); ++index) {
        const auto& entry = candidates_[index];
        if ((entry.tier_ & ~load_bits) != (tier & ~load_bits)) {
            continue;
        }
        const auto& runner = *entry.replica_->runner_;
        columns.push_back(
            {index, width_of(runner.room()), height_of_candidate(entry)});
        total += entry.load_;
        if (runner.external_load_) {
            age = std::max(age, report_lag_ +
                                    (now - runner.external_load_->received_));
        }
    }
    const auto ended_fraction = std::min(
        1.0, static_cast<double>(age.count()) /
                 static_cast<double>(settings_.typical_duration_.count()));
    if (random_.fraction() < ended_fraction) {
        if (const auto chosen = pick_by_share(columns)) {
            return *chosen;
        }
    }
    for (auto& entry : columns) {
        const auto base =
            candidates_[entry.candidate_].replica_->runner_->weight_.base_;
        entry.height_ = base + (entry.height_ - base) * (1.0 - ended_fraction);
    }
    const auto arrivals = 1.0 + total * ended_fraction;
    const auto level = water_level(columns, arrivals);
    auto point = random_.fraction() * arrivals;
    for (const auto& entry : columns) {
        point -= entry.width_ * std::max(level - entry.height_, 0.0);
        if (point < 0) {
            return entry.candidate_;
        }
    }
    return columns.front().candidate_;
}

auto router::pick_by_share(const std::vector<load_column>& columns)
    -> std::optional<std::size_t> {
    const auto share_of = [this](const load_column& column) {
        return candidates_[column.candidate_].replica_->share_;
    };
    auto total = 0.0;
    for (const auto& column : columns) {
        total += share_of(column);
    }
    auto point = random_.fraction() * total;
    for (const auto& column : columns) {
        point -= share_of(column);
        if (point < 0) {
            return column.candidate_;
        }
    }
    return std::nullopt;
}

auto router::make_route(std::size_t chosen, const route_request& request) const
    -> route {
    const auto& selected = candidates_[chosen];
    const auto& info = selected.replica_->runner_->info_;
    const auto affinity = request.prefix_hash_ != 0;
    const auto cached =
        affinity && (selected.tier_ & internal::prefix_not_cached) == 0;
    auto decision = route{
        .runner_ = info.name_,
        .address_ = info.address_,
        .boot_id_ = info.boot_id_,
        .reason_ = route_reason::least_loaded,
        .same_zone_ = (selected.tier_ & internal::other_zone) == 0,
        .adapter_loaded_ = (selected.tier_ & internal::adapter_missing) == 0,
        .load_ = selected.load_,
        .slots_ = info.slots_,
        .rejected_ = {}};
    if (candidates_.size() == 1) {
        decision.reason_ = route_reason::only_candidate;
    } else if (cached) {
        decision.reason_ = route_reason::cached_prefix;
    } else if (affinity) {
        decision.reason_ = route_reason::prefix_affinity;
    }
    if (!request.explain_) {
        return decision;
    }
    decision.rejected_ = rejected_;
    for (const auto& entry : candidates_) {
        if (&entry != &selected) {
            decision.rejected_.push_back(
                {entry.replica_->runner_->info_.name_,
                 soft_rejection_reason(entry.tier_, selected.tier_, affinity)});
        }
    }
    return decision;
}

auto router::no_candidate_error(const route_request& request) const -> error {
    const auto count = [&](rejection_reason reason) {
        return std::count_if(
            rejected_.begin(), rejected_.end(),
            [&](const auto& entry) { return entry.reason_ == reason; });
    };
    const auto rejected_count = static_cast<std::ptrdiff_t>(rejected_.size());
    auto failure = error{error_code::unavailable, step::routing,
                         std::string{request.model_},
                         "no replica accepts requests: each is loading, "
                         "leaving, excluded or of another version"};
    if (count(rejection_reason::at_limit) > 0) {
        failure.code_ = error_code::overloaded;
        failure.detail_ = "no usable replica is below its concurrency limit";
    } else if (count(rejection_reason::rate_limited) > 0) {
        failure.code_ = error_code::overloaded;
        failure.detail_ = "no usable replica is below its rate limit";
    } else if (count(rejection_reason::paused) > 0) {
        failure.code_ = error_code::overloaded;
        failure.detail_ = "each usable replica has asked for a pause";
    } else if (count(rejection_reason::version_mismatch) == rejected_count) {
        failure.code_ = error_code::not_found;
        failure.detail_ =
            "no runner has the model, or none has the requested version";
    } else if (count(rejection_reason::adapter_missing) > 0) {
        failure.code_ = error_code::not_ready;
        failure.detail_ = "the adapter is not loaded on any usable replica";
    }
    return failure;
}

auto router::choose(const route_request& request, time_point now)
    -> result<route> {
    candidates_.clear();
    rejected_.clear();
    const auto found = models_.find(std::string{request.model_});
    if (found == models_.end()) {
        return tl::unexpected(no_candidate_error(request));
    }
    if (now >= next_share_refresh_) {
        refresh_shares(now);
    }
    collect_candidates(found->second, request, now);
    drop_ejected(now);
    if (candidates_.empty()) {
        return tl::unexpected(no_candidate_error(request));
    }
    assign_tiers(request);
    const auto tier = best_tier();
    const auto chosen =
        request.prefix_hash_ != 0   ? pick_by_affinity(request, tier)
        : report_lag_ > duration{0} ? pick_by_stale_load(tier, now)
        : weights_.empty()          ? pick_by_load(tier)
                                    : pick_by_height(tier);
    const auto& runner = *candidates_[chosen].replica_->runner_;
    if (!holds(!runner.leaving_, "leaving_runner_gets_no_work",
               runner.info_.name_)) {
        return tl::unexpected(no_candidate_error(request));
    }
    auto decision = make_route(chosen, request);
    decision.mean_load_per_slot_ = mean_load_per_slot(candidates_);
    return decision;
}

auto router::choose_rate_limited(const route_request& request, time_point now)
    -> std::optional<route> {
    candidates_.clear();
    rejected_.clear();
    const auto found = models_.find(std::string{request.model_});
    if (found == models_.end()) {
        return std::nullopt;
    }
    for (const auto& entry : found->second) {
        if (hard_rejection_reason(entry, request, now) ==
            rejection_reason::rate_limited) {
            candidates_.push_back({&entry, 0, 0});
        }
    }
    if (candidates_.empty()) {
        return std::nullopt;
    }
    const auto first = std::min_element(
        candidates_.begin(), candidates_.end(),
        [](const candidate& left, const candidate& right) {
            return left.replica_->runner_->rate_limited_until_ <
                   right.replica_->runner_->rate_limited_until_;
        });
    return make_route(
        static_cast<std::size_t>(std::distance(candidates_.begin(), first)),
        request);
}

auto router::first_pause_end(const route_request& request, time_point now) const
    -> std::optional<time_point> {
    const auto found = models_.find(std::string{request.model_});
    if (found == models_.end()) {
        return std::nullopt;
    }
    auto any_runner = request;
    any_runner.excluded_ = {};
    auto first = std::optional<time_point>{};
    for (const auto& entry : found->second) {
        if (hard_rejection_reason(entry, any_runner, now) ==
            rejection_reason::paused) {
            const auto end = entry.runner_->paused_until_;
            first = std::min(first.value_or(end), end);
        }
    }
    return first;
}

} // namespace basilstream::coordination
