#include "basilstream/coordination/client_patience/client_patience.hpp"

#include <algorithm>

namespace basilstream::coordination {
namespace {

constexpr auto max_samples = std::size_t{32};
// The median of fewer may be that of clients that left for other reasons.
constexpr auto least_samples = std::size_t{8};
// A client that leaves earlier has not left for lack of an event, for example
// because its own caller has gone.
constexpr auto least_share = 0.05;
// Bounds the memory if a configuration often renames its routes.
constexpr auto max_routes = std::size_t{1024};

auto share_of(duration waited, duration allowed) -> double {
    return std::clamp(static_cast<double>(waited.count()) /
                          std::max(1.0, static_cast<double>(allowed.count())),
                      0.0, 1.0);
}

} // namespace

auto client_patience::on_left(const std::string& route, duration waited,
                              duration allowed) -> void {
    const auto share = share_of(waited, allowed);
    if (share >= least_share &&
        (routes_.contains(route) || routes_.size() < max_routes)) {
        add(route, share);
    }
}

auto client_patience::on_first_event(const std::string& route, duration waited,
                                     duration allowed) -> void {
    const auto share = share_of(waited, allowed);
    const auto found = routes_.find(route);
    if (found != routes_.end() && share > found->second.median_) {
        add(route, share);
    }
}

auto client_patience::add(const std::string& route, double share) -> void {
    auto& known = routes_[route];
    if (known.shares_.size() < max_samples) {
        known.shares_.push_back(share);
    } else {
        known.shares_[known.next_] = share;
        known.next_ = (known.next_ + 1) % max_samples;
    }
    auto sorted = known.shares_;
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    known.median_ = *middle;
}

auto client_patience::expected(const std::string& route, duration allowed) const
    -> std::optional<duration> {
    const auto found = routes_.find(route);
    if (found == routes_.end() ||
        found->second.shares_.size() < least_samples) {
        return std::nullopt;
    }
    return duration{static_cast<duration::rep>(
        found->second.median_ * static_cast<double>(allowed.count()))};
}

} // namespace basilstream::coordination
