#include "basilstream/coordination/body_admission/body_admission.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace basilstream::coordination {
namespace {

// A waiting body ranks as if it were half as large for each such time, at most
// so often that a body of 30 kB still precedes the largest one.
constexpr auto halving_time = milliseconds{500};
constexpr auto max_halvings = 4;
// Bodies that need more than those that got nothing get nothing either; this
// bounds the time of a decision with many that wait.
constexpr auto max_failures = 4;

auto duration_of(std::size_t bytes, double bytes_per_second) -> duration {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        static_cast<double>(bytes) / bytes_per_second));
}

} // namespace

auto body_admission::join(body_holder& holder,
                          const body_description& description, time_point now)
    -> body_id {
    if (bodies_.empty()) {
        decided_at_ = now;
    }
    const auto id = ++last_id_;
    auto& made = bodies_[id];
    made.holder_ = &holder;
    made.description_ = description;
    // A body beyond the budget is read alone.
    made.description_.need_ = std::min(description.need_, budget_.limit());
    made.lease_ = std::make_shared<byte_lease>(budget_);
    return id;
}

auto body_admission::on_arrival(body_id id, std::size_t bytes, time_point now)
    -> bool {
    auto& one = bodies_.at(id);
    const auto added = bytes - std::min(bytes, one.arrived_);
    one.arrived_ = std::max(bytes, one.arrived_);
    one.late_bytes_ += now > one.description_.deadline_ ? added : 0;
    const auto progress = duration_of(added, settings_.bytes_per_second_);
    one.behind_ -= std::min(one.behind_, progress);
    if (one.begun_ && bytes > one.granted_) {
        one.granted_ = bytes;
        one.lease_->hold(bytes);
    }
    const auto enough =
        one.begun_ && std::min(one.description_.need_,
                               bytes + settings_.step_ / 2) <= one.granted_;
    // A new body does not pass one that waits and is not larger.
    const auto preceded = [&] {
        const auto order = waiting_in_order(now);
        return !order.empty() && order.front() != id &&
               bodies_.at(order.front()).description_.need_ <=
                   one.description_.need_;
    };
    if (enough || ((one.begun_ || !preceded()) && try_grant(id, one))) {
        one.waits_ = false;
        return true;
    }
    if (!std::exchange(one.waits_, true)) {
        one.waits_since_ = now;
    }
    return false;
}

auto body_admission::leave(body_id id) -> std::shared_ptr<byte_lease> {
    const auto found = bodies_.extract(id);
    return found.empty() ? nullptr : std::move(found.mapped().lease_);
}

auto body_admission::waiting() const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(bodies_.begin(), bodies_.end(),
                      [](const auto& entry) { return entry.second.waits_; }));
}

auto body_admission::available() const -> std::size_t {
    return budget_.limit() - std::min(budget_.limit(), budget_.used());
}

auto body_admission::next_grant(const body& one) const -> std::size_t {
    return std::max(one.granted_, std::min(one.description_.need_,
                                           one.arrived_ + settings_.step_));
}

auto body_admission::is_safe(body_id id, std::size_t grant) const -> bool {
    auto free = available();
    const auto more = grant - bodies_.at(id).granted_;
    if (more > free) {
        return false;
    }
    free -= more;
    // What each body still needs, and what it holds.
    auto bodies = std::vector<std::pair<std::size_t, std::size_t>>{};
    auto all_needs = std::size_t{0};
    for (const auto& [other, one] : bodies_) {
        const auto holds = other == id ? grant : one.granted_;
        // A body that has got nothing yet blocks no other.
        if (other != id && !one.begun_) {
            continue;
        }
        const auto needs = std::max(one.description_.need_, holds) - holds;
        bodies.emplace_back(needs, holds);
        all_needs += needs;
    }
    if (all_needs <= free) {
        return true;
    }
    std::sort(bodies.begin(), bodies.end());
    return std::all_of(bodies.begin(), bodies.end(), [&](const auto& one) {
        const auto fits = one.first <= free;
        free += one.second;
        return fits;
    });
}

auto body_admission::try_grant(body_id id, body& one) -> bool {
    const auto grant = next_grant(one);
    if (!is_safe(id, grant)) {
        return false;
    }
    one.begun_ = true;
    one.granted_ = grant;
    one.lease_->hold(grant);
    return true;
}

auto body_admission::clients_above_share() const -> std::set<std::uint64_t> {
    auto held = std::map<std::uint64_t, std::size_t>{};
    for (const auto& [id, one] : bodies_) {
        held[one.description_.client_] += one.granted_;
    }
    auto above = std::set<std::uint64_t>{};
    for (const auto& [client, bytes] : held) {
        if (bytes > budget_.limit() / held.size()) {
            above.insert(client);
        }
    }
    return above;
}

auto body_admission::waiting_in_order(time_point now) const
    -> std::vector<body_id> {
    using rank = std::tuple<bool, std::size_t, body_id>;
    const auto above_share = clients_above_share();
    auto ranks = std::vector<rank>{};
    for (const auto& [id, one] : bodies_) {
        if (one.waits_) {
            const auto halvings = std::clamp<std::int64_t>(
                (now - one.waits_since_) / halving_time, 0, max_halvings);
            const auto needs = one.description_.need_ -
                               std::min(one.description_.need_, one.granted_);
            ranks.emplace_back(above_share.contains(one.description_.client_),
                               needs >> halvings, id);
        }
    }
    std::sort(ranks.begin(), ranks.end());
    auto order = std::vector<body_id>{};
    for (const auto& each : ranks) {
        order.push_back(std::get<2>(each));
    }
    return order;
}

auto body_admission::slow_in_order() const -> std::vector<body_id> {
    using rank = std::tuple<bool, double, body_id>;
    const auto above_share = clients_above_share();
    auto ranks = std::vector<rank>{};
    for (const auto& [id, one] : bodies_) {
        if (one.begun_ && !one.waits_ && one.behind_ >= settings_.grace_) {
            const auto seconds_behind =
                std::chrono::duration<double>(one.behind_).count();
            ranks.emplace_back(
                above_share.contains(one.description_.client_),
                static_cast<double>(one.granted_) * seconds_behind, id);
        }
    }
    std::sort(ranks.rbegin(), ranks.rend());
    auto order = std::vector<body_id>{};
    for (const auto& each : ranks) {
        order.push_back(std::get<2>(each));
    }
    return order;
}

auto body_admission::measure_progress(time_point now) -> void {
    const auto passed = std::clamp(now - std::exchange(decided_at_, now),
                                   duration{0}, settings_.longest_step_);
    for (auto& [id, one] : bodies_) {
        if (one.waits_) {
            continue;
        }
        one.behind_ += passed;
        one.late_ += now > one.description_.deadline_ ? passed : duration{0};
    }
}

auto body_admission::refuse(body_id id, body_refusal reason) -> void {
    if (const auto found = bodies_.find(id); found != bodies_.end()) {
        found->second.holder_->on_body_refused(reason);
    }
}

auto body_admission::refuse_late(time_point now) -> void {
    auto refused = std::vector<std::pair<body_id, body_refusal>>{};
    for (const auto& [id, one] : bodies_) {
        if (one.waits_ && now - one.waits_since_ > one.description_.max_wait_) {
            refused.emplace_back(id, body_refusal::no_memory);
        } else if (one.late_ >
                   settings_.grace_ +
                       duration_of(one.late_bytes_,
                                   settings_.late_bytes_per_second_)) {
            refused.emplace_back(id, body_refusal::too_slow);
        }
    }
    for (const auto& [id, reason] : refused) {
        refuse(id, reason);
    }
}

auto body_admission::make_room(body_id id) -> bool {
    for (const auto slow : slow_in_order()) {
        refuse(slow, body_refusal::too_slow);
        const auto waiting = bodies_.find(id);
        if (waiting == bodies_.end() || try_grant(id, waiting->second)) {
            return waiting != bodies_.end();
        }
    }
    return false;
}

auto body_admission::decide(time_point now) -> void {
    measure_progress(now);
    refuse_late(now);
    auto failures = 0;
    for (const auto id : waiting_in_order(now)) {
        const auto found = bodies_.find(id);
        if (found == bodies_.end()) {
            continue;
        }
        if (try_grant(id, found->second) || make_room(id)) {
            found->second.waits_ = false;
            found->second.holder_->on_body_memory();
        } else if (++failures == max_failures) {
            break;
        }
    }
}

} // namespace basilstream::coordination
