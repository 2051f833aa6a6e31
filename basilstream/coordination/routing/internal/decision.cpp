#include <algorithm>
#include <cmath>

#include <xxhash.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/routing/internal/replica_index.hpp"
#include "basilstream/coordination/routing/routing.hpp"

namespace basilstream::coordination {
namespace {

using internal::candidate;
using internal::replica;
using internal::runner_entry;

// Weight of a runner for a prefix (highest random weight; Thaler and
// Ravishankar, 1998).
auto rendezvous_weight(const runner_entry& runner, std::uint64_t prefix)
    -> std::uint64_t {
    const auto& name = runner.info_.name_;
    return XXH3_64bits_withSeed(name.data(), name.size(), prefix);
}

struct soft_criterion {
    unsigned bit_;
    rejection_reason reason_;
};

// The strongest first.
constexpr soft_criterion soft_criteria[] = {
    {internal::saturated, rejection_reason::saturated},
    {internal::adapter_missing, rejection_reason::adapter_missing},
    {internal::over_load_bound, rejection_reason::over_load_bound},
    {internal::prefix_not_cached, rejection_reason::prefix_not_cached},
    {internal::other_zone, rejection_reason::other_zone},
};

auto soft_rejection(unsigned tier, unsigned chosen_tier, bool affinity)
    -> rejection_reason {
    for (const auto& criterion : soft_criteria) {
        if ((tier & ~chosen_tier & criterion.bit_) != 0) {
            return criterion.reason_;
        }
    }
    return affinity ? rejection_reason::lower_affinity
                    : rejection_reason::more_loaded;
}

auto relative_load(const candidate& each) -> double {
    return each.load_ / each.replica_->runner_->info_.slots_;
}

// A candidate as a column that arrivals fill up: its slots wide, and as high as
// its load for each of them.
struct column {
    std::size_t candidate_ = 0;
    double width_ = 1;
    double height_ = 0;
};

// Sorts the columns by height; returns the level up to which `arrivals` fill
// them.
auto level_of(std::vector<column>& columns, double arrivals) -> double {
    std::sort(columns.begin(), columns.end(),
              [](const column& left, const column& right) {
                  return left.height_ < right.height_;
              });
    auto width = 0.0;
    auto filled = 0.0;
    auto level = 0.0;
    for (const auto& each : columns) {
        if (width > 0 && each.height_ >= level) {
            break;
        }
        width += each.width_;
        filled += each.width_ * each.height_;
        level = (arrivals + filled) / width;
    }
    return level;
}

} // namespace

auto router::hard_rejection(const replica& candidate,
                            const route_request& request) const
    -> std::optional<rejection_reason> {
    const auto& runner = *candidate.runner_;
    if (guards_.leaving_(runner.leaving_)) {
        return rejection_reason::leaving;
    }
    if (!candidate.resident_.ready_) {
        return rejection_reason::not_ready;
    }
    if (!request.version_.empty() &&
        candidate.resident_.version_ != request.version_) {
        return rejection_reason::version_mismatch;
    }
    if (!request.may_load_adapter_ &&
        !candidate.has_adapter(request.adapter_)) {
        return rejection_reason::adapter_missing;
    }
    if (std::find(request.excluded_.begin(), request.excluded_.end(),
                  runner.info_.name_) != request.excluded_.end()) {
        return rejection_reason::excluded;
    }
    if (guards_.at_limit_(runner.in_flight_, runner.limit_)) {
        return rejection_reason::at_limit;
    }
    return std::nullopt;
}

auto router::collect(const replicas& all, const route_request& request,
                     time_point now) -> void {
    candidates_.clear();
    rejected_.clear();
    for (const auto& each : all) {
        if (const auto reason = hard_rejection(each, request)) {
            rejected_.push_back({each.runner_->info_.name_, *reason});
            continue;
        }
        const auto load = each.runner_->load(now, settings_.report_lifetime_);
        candidates_.push_back({&each, load, 0});
    }
}

auto router::drop_ejected(time_point now) -> void {
    const auto ejected = [&](const candidate& each) {
        return now < each.replica_->runner_->ejected_until_;
    };
    const auto all_ejected =
        std::all_of(candidates_.begin(), candidates_.end(), ejected);
    const auto busy = std::any_of(
        rejected_.begin(), rejected_.end(), [](const auto& rejected) {
            return rejected.reason_ == rejection_reason::at_limit;
        });
    // Better a runner that failed than none: the model has to stay reachable.
    if (all_ejected && !busy) {
        return;
    }
    for (const auto& each : candidates_) {
        if (ejected(each)) {
            rejected_.push_back({each.replica_->runner_->info_.name_,
                                 rejection_reason::ejected});
        }
    }
    std::erase_if(candidates_, ejected);
}

auto router::grade(const route_request& request) -> void {
    auto total_load = 1.0;
    auto total_slots = 0.0;
    for (const auto& each : candidates_) {
        total_load += each.load_;
        total_slots += each.replica_->runner_->info_.slots_;
    }
    const auto bound_per_slot =
        settings_.load_factor_ * total_load / total_slots;
    for (auto& each : candidates_) {
        const auto& info = each.replica_->runner_->info_;
        const auto bound = std::max(std::ceil(bound_per_slot * info.slots_),
                                    settings_.relaxed_share_ * info.slots_);
        const auto cold =
            request.prefix_hash_ != 0 &&
            !each.replica_->prefixes_.contains(request.prefix_hash_);
        each.tier_ =
            (each.load_ >= info.slots_ ? internal::saturated : 0U) |
            (each.replica_->has_adapter(request.adapter_)
                 ? 0U
                 : internal::adapter_missing) |
            (each.load_ + 1 > bound ? internal::over_load_bound : 0U) |
            (cold ? internal::prefix_not_cached : 0U) |
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

// The less loaded of two picked at random (Mitzenmacher, 2001): the counts
// lag, and the least loaded of all would draw every daemon at once.
auto router::pick_by_load(unsigned tier) -> std::size_t {
    const auto in_tier = [&](const candidate& each) {
        return each.tier_ == tier;
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
    return relative_load(candidates_[right]) < relative_load(candidates_[left])
               ? right
               : left;
}

// Daemons that all send to the least loaded by the same old counts overfill it.
// What has arrived since is spread so that the counts become level (Dahlin,
// "Interpreting stale load information", 1999): of the old counts the share
// that has not turned over is left, and as much as has ended has come anew.
auto router::pick_by_stale_load(unsigned tier, time_point now) -> std::size_t {
    constexpr auto load_bits = internal::over_load_bound | internal::saturated;
    auto columns = std::vector<column>{};
    auto total = 0.0;
    auto age = report_lag_;
    for (auto index = std::size_t{0}; index < candidates_.size(); ++index) {
        const auto& each = candidates_[index];
        if ((each.tier_ & ~load_bits) != (tier & ~load_bits)) {
            continue;
        }
        const auto& runner = *each.replica_->runner_;
        columns.push_back({index, static_cast<double>(runner.info_.slots_),
                           relative_load(each)});
        total += each.load_;
        if (runner.foreign_) {
            age =
                std::max(age, report_lag_ + (now - runner.foreign_->received_));
        }
    }
    const auto turned_over =
        std::min(1.0, static_cast<double>(age.count()) /
                          static_cast<double>(settings_.turnover_.count()));
    for (auto& each : columns) {
        each.height_ *= 1.0 - turned_over;
    }
    const auto arrivals = 1.0 + total * turned_over;
    const auto level = level_of(columns, arrivals);
    auto point = random_.fraction() * arrivals;
    for (const auto& each : columns) {
        point -= each.width_ * std::max(level - each.height_, 0.0);
        if (point < 0) {
            return each.candidate_;
        }
    }
    return columns.front().candidate_;
}

auto router::make_route(std::size_t chosen, const route_request& request) const
    -> route {
    const auto& taken = candidates_[chosen];
    const auto& info = taken.replica_->runner_->info_;
    const auto affinity = request.prefix_hash_ != 0;
    const auto cached =
        affinity && (taken.tier_ & internal::prefix_not_cached) == 0;
    auto answer = route{.runner_ = info.name_,
                        .address_ = info.address_,
                        .boot_id_ = info.boot_id_,
                        .reason_ = route_reason::least_loaded,
                        .near_zone_ = (taken.tier_ & internal::other_zone) == 0,
                        .adapter_in_place_ =
                            (taken.tier_ & internal::adapter_missing) == 0,
                        .load_ = taken.load_,
                        .rejected_ = {}};
    if (candidates_.size() == 1) {
        answer.reason_ = route_reason::only_candidate;
    } else if (cached) {
        answer.reason_ = route_reason::cached_prefix;
    } else if (affinity) {
        answer.reason_ = route_reason::prefix_affinity;
    }
    if (!request.explain_) {
        return answer;
    }
    answer.rejected_ = rejected_;
    for (const auto& each : candidates_) {
        if (&each != &taken) {
            answer.rejected_.push_back(
                {each.replica_->runner_->info_.name_,
                 soft_rejection(each.tier_, taken.tier_, affinity)});
        }
    }
    return answer;
}

auto router::no_candidate(const route_request& request) const -> error {
    const auto count = [&](rejection_reason reason) {
        return std::count_if(
            rejected_.begin(), rejected_.end(),
            [&](const auto& each) { return each.reason_ == reason; });
    };
    const auto all = static_cast<std::ptrdiff_t>(rejected_.size());
    auto answer = error{error_code::unavailable, step::routing,
                        std::string{request.model_}, "no replica takes work"};
    if (count(rejection_reason::at_limit) > 0) {
        answer.code_ = error_code::overloaded;
        answer.detail_ = "every replica is at its concurrency limit";
    } else if (count(rejection_reason::version_mismatch) == all) {
        answer.code_ = error_code::not_found;
        answer.detail_ = "no runner has the model in this version";
    } else if (count(rejection_reason::adapter_missing) > 0) {
        answer.code_ = error_code::not_ready;
        answer.detail_ = "the adapter is in place on no usable replica";
    }
    return answer;
}

auto router::choose(const route_request& request, time_point now)
    -> result<route> {
    candidates_.clear();
    rejected_.clear();
    const auto found = models_.find(std::string{request.model_});
    if (found == models_.end()) {
        return tl::unexpected(no_candidate(request));
    }
    collect(found->second, request, now);
    drop_ejected(now);
    if (candidates_.empty()) {
        return tl::unexpected(no_candidate(request));
    }
    grade(request);
    const auto tier = best_tier();
    const auto chosen =
        request.prefix_hash_ != 0   ? pick_by_affinity(request, tier)
        : report_lag_ > duration{0} ? pick_by_stale_load(tier, now)
                                    : pick_by_load(tier);
    const auto& runner = *candidates_[chosen].replica_->runner_;
    if (!holds(!runner.leaving_, "leaving_runner_gets_no_work",
               runner.info_.name_)) {
        return tl::unexpected(no_candidate(request));
    }
    return make_route(chosen, request);
}

} // namespace basilstream::coordination
