#include "basilstream/coordination/service_order/service_order.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilstream::coordination {
namespace {

// Demand is remembered for a few lulls between the bursts of a class: a daemon
// with ten requests per second sees a class with a share of 2% in that time.
constexpr auto demand_half_life = seconds{10};
// Load per slot up to which a server gets requests without more urgent demand,
// and the least one: the rest of the queue, and of the slots, stays free for a
// burst of more urgent requests.
constexpr auto largest_bound = 1.4;
constexpr auto least_bound = 0.8;
// Decrease of the bound by the share of more urgent demand.
constexpr auto bound_slope = 1.2;
// Load per slot around the bound within which requests are paced.
constexpr auto pacing_band = 0.3;
// Bounds of the credit: few, as a daemon has about one request in flight for
// most models.
constexpr auto largest_credit = 1.5;
constexpr auto least_credit = -3.0;
// A rank is neglected if it is sent less than this often in comparison with all
// requests. Less than the half that each rank gets, as a refused request comes
// again and counts twice; the simulation then shows more than half.
constexpr auto least_service = 0.45;
// Requests of a rank from which on that can be told.
constexpr auto least_demand = 4.0;

auto index_of(int rank) -> std::size_t {
    return static_cast<std::size_t>(std::clamp(rank, 0, service_ranks - 1));
}

} // namespace

auto rank_demand::decay(time_point now) const -> double {
    const auto age = std::max(now - updated_at_, duration{0});
    return std::exp2(-static_cast<double>(age.count()) /
                     static_cast<double>(duration{demand_half_life}.count()));
}

auto rank_demand::on_request(int rank, time_point now) -> void {
    refresh(now);
    arrived_.at(index_of(rank)) += 1;
}

auto rank_demand::refresh(time_point now) -> void {
    const auto factor = decay(now);
    for (auto* const counts : {&arrived_, &sent_}) {
        for (auto& count : *counts) {
            count *= factor;
        }
    }
    updated_at_ = std::max(updated_at_, now);
}

auto rank_demand::share_above(int rank, time_point now) const -> double {
    const auto last = arrived_.begin() + std::clamp(rank, 0, service_ranks);
    const auto factor = decay(now);
    const auto above = factor * std::accumulate(arrived_.begin(), last, 0.0);
    const auto others = factor * std::accumulate(last, arrived_.end(), 0.0);
    // A demand of less than one request says nothing about what comes.
    return above / std::max(above + others, 1.0);
}

auto rank_demand::on_sent(int rank, time_point now) -> void {
    refresh(now);
    sent_.at(index_of(rank)) += 1;
}

auto rank_demand::is_neglected(int rank, time_point now) const -> bool {
    const auto arrived = arrived_.at(index_of(rank));
    const auto all_arrived =
        std::accumulate(arrived_.begin(), arrived_.end(), 0.0);
    const auto all_sent = std::accumulate(sent_.begin(), sent_.end(), 0.0);
    return arrived * decay(now) >= least_demand &&
           sent_.at(index_of(rank)) * all_arrived <
               least_service * all_sent * arrived;
}

auto load_bound(int rank, double share_above) -> std::optional<double> {
    if (rank <= 0) {
        return std::nullopt;
    }
    return std::max(least_bound, largest_bound - bound_slope * share_above);
}

auto send_credit::on_ended() -> void {
    credit_ = std::min(credit_ + 1, largest_credit);
}

auto send_credit::try_send(double load, std::optional<double> bound) -> bool {
    if (!bound) {
        credit_ = std::max(credit_ - 1, least_credit);
        return true;
    }
    const auto excess = (load - *bound) / pacing_band;
    if (excess >= 1) {
        return false;
    }
    if (excess < -1) {
        return true;
    }
    // One end permits one request at the bound, two below and none above.
    const auto cost = 1 / (1 - excess);
    if (credit_ < cost) {
        return false;
    }
    credit_ -= cost;
    return true;
}

auto waiting_requests::position_of(const entry& waiting) -> position {
    return {waiting.request_.rank_, waiting.late_, waiting.request_.work_,
            waiting.request_.id_};
}

auto waiting_requests::add(const waiting_request& request)
    -> std::vector<std::uint64_t> {
    auto added = entry{request};
    added.request_.rank_ = std::clamp(request.rank_, 0, service_ranks - 1);
    const auto place = position_of(added);
    by_group_[request.group_].insert(place);
    by_order_.insert(place);
    by_give_up_.emplace(request.give_up_at_, request.id_);
    ++by_rank_.at(static_cast<std::size_t>(added.request_.rank_));
    requests_.emplace(request.id_, std::move(added));
    auto evicted = std::vector<std::uint64_t>{};
    while (requests_.size() > capacity_) {
        evicted.push_back(std::get<std::uint64_t>(*by_order_.rbegin()));
        remove(evicted.back());
    }
    return evicted;
}

auto waiting_requests::remove(std::uint64_t id) -> void {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const auto& request = found->second.request_;
    const auto place = position_of(found->second);
    by_order_.erase(place);
    by_give_up_.erase({request.give_up_at_, id});
    --by_rank_.at(static_cast<std::size_t>(request.rank_));
    const auto group = by_group_.find(request.group_);
    group->second.erase(place);
    if (group->second.empty()) {
        by_group_.erase(group);
    }
    requests_.erase(found);
}

auto waiting_requests::take_expired(time_point now)
    -> std::vector<std::uint64_t> {
    auto expired = std::vector<std::uint64_t>{};
    while (!by_give_up_.empty() && by_give_up_.begin()->first <= now) {
        expired.push_back(by_give_up_.begin()->second);
        remove(expired.back());
    }
    return expired;
}

auto waiting_requests::groups() const -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    names.reserve(by_group_.size());
    for (const auto& [name, places] : by_group_) {
        names.push_back(name);
    }
    return names;
}

auto waiting_requests::first(const std::string& group, time_point now)
    -> std::optional<std::uint64_t> {
    const auto found = by_group_.find(group);
    if (found == by_group_.end()) {
        return std::nullopt;
    }
    auto& places = found->second;
    for (;;) {
        const auto id = std::get<std::uint64_t>(*places.begin());
        auto& waiting = requests_.at(id);
        if (waiting.late_ || now <= waiting.request_.objective_at_) {
            return id;
        }
        // Moves each request once.
        const auto place = position_of(waiting);
        places.erase(place);
        by_order_.erase(place);
        waiting.late_ = true;
        places.insert(position_of(waiting));
        by_order_.insert(position_of(waiting));
    }
}

auto waiting_requests::count_ahead(int rank) const -> std::size_t {
    return std::accumulate(by_rank_.begin(),
                           by_rank_.begin() +
                               std::clamp(rank + 1, 0, service_ranks),
                           std::size_t{0});
}

auto urgency_level(int position, int count, slack_state slack)
    -> std::optional<int> {
    const auto levels = service_ranks / std::max(count, 1);
    if (levels >= 3) {
        return 3 * position + static_cast<int>(slack);
    }
    if (levels == 2) {
        return 2 * position + (slack == slack_state::late ? 1 : 0);
    }
    return std::nullopt;
}

auto service_rank(int position, int count) -> int {
    if (position <= 0 || count <= 1) {
        return 0;
    }
    const auto last = service_ranks - 1;
    return count == 2 ? last
                      : 1 + (std::min(position, count - 1) - 1) * (last - 1) /
                                (count - 2);
}

} // namespace basilstream::coordination
