#include "basilstream/daemon/load_sharing/load_sharing.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "basilstream/coordination/reader_groups/reader_groups.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto share_interval = milliseconds{200};
// Interval at which a daemon without requests sends an empty update as a
// heartbeat.
constexpr auto heartbeat_interval = milliseconds{600};
// Up to this number of daemons, each sends its loads to all others: some
// 800 messages per second over all daemons.
constexpr auto max_direct_daemons = std::size_t{12};
// With more daemons the interval grows with their number, so that the owner of
// the placement lease receives and sends about a hundred messages per second
// each, regardless of their number.
constexpr auto interval_per_daemon = milliseconds{10};
// Totals older than this many intervals are discarded: the owner that sent them
// has failed or is unreachable.
constexpr auto totals_lifetime_intervals = 3;
// A changed rate limit is sent in this many updates, as messages may be lost.
constexpr auto limit_rounds = 5;
// Interval between estimates of the speeds of servers, which take some
// milliseconds with a thousand servers.
constexpr auto fit_interval = milliseconds{800};
// How long the loads reported by a daemon stay valid: a few intervals of a
// large deployment.
constexpr auto loads_lifetime = milliseconds{2500};

} // namespace

load_sharing::load_sharing(const clock& time, std::string self,
                           relay& local_relay, const model_control& models,
                           const server_permits& permits,
                           allowance_sharing& allowances)
    : clock_{time}, self_{std::move(self)}, relay_{local_relay},
      models_{models}, permits_{permits}, allowances_{allowances},
      reported_loads_{loads_lifetime} {}

auto load_sharing::interval() const -> duration {
    const auto daemons = static_cast<int>(peers_->members().size());
    return shares_directly()
               ? duration{share_interval}
               : std::max<duration>(share_interval,
                                    interval_per_daemon * daemons);
}

auto load_sharing::shares_directly() const -> bool {
    return peers_ != nullptr && peers_->members().size() <= max_direct_daemons;
}

auto load_sharing::followers() const -> std::vector<std::string> {
    if (peers_ == nullptr) {
        return {};
    }
    auto members = std::vector<coordination::group_member>{};
    auto self = coordination::group_member{self_, {}};
    for (const auto& member : peers_->members()) {
        members.push_back({member.name_, member.zone_});
        self.zone_ = member.name_ == self_ ? member.zone_ : self.zone_;
    }
    return coordination::followers_of(self, members);
}

auto load_sharing::send_to(const std::vector<std::string>& daemons,
                           const protocol::relay_update& update) -> void {
    const auto bytes = protocol::encode(update);
    for (const auto& name : daemons) {
        peers_->send(name, protocol::peer_channel::relay, bytes);
    }
}

auto load_sharing::send_to_all(const protocol::relay_update& update) -> void {
    if (peers_ == nullptr) {
        return;
    }
    auto others = std::vector<std::string>{};
    for (const auto& member : peers_->members()) {
        if (member.name_ != self_) {
            others.push_back(member.name_);
        }
    }
    send_to(others, update);
}

auto load_sharing::send_to_owner(const protocol::relay_update& update) -> void {
    if (peers_ == nullptr) {
        return;
    }
    if (shares_directly()) {
        send_to_all(update);
    } else if (const auto owner = models_.owner();
               !owner.empty() && owner != self_) {
        peers_->send(owner, protocol::peer_channel::relay,
                     protocol::encode(update));
    }
}

auto load_sharing::own_loads() const -> protocol::relay_update {
    auto update = protocol::relay_update{};
    update.has_loads_ = true;
    auto samples = relay_.speeds().take_reports();
    for (const auto& [backend, requests] : relay_.local_loads()) {
        auto load = protocol::backend_load{
            backend, static_cast<std::uint32_t>(requests)};
        if (const auto sample = samples.extract(backend)) {
            load.speed_ = sample.mapped();
        }
        update.loads_.push_back(std::move(load));
    }
    for (const auto& [backend, sample] : samples) {
        update.loads_.push_back({backend, 0, sample});
    }
    permits_.add_changes(update, limit_rounds * interval());
    allowances_.add_report(update, interval());
    return update;
}

auto load_sharing::totals(const coordination::backend_loads& sums,
                          time_point now) const -> protocol::relay_update {
    auto update = protocol::relay_update{};
    update.has_totals_ = true;
    auto& speeds = relay_.speeds();
    auto estimates = speeds.estimates(now);
    update.load_effect_ = speeds.load_effect_percent();
    for (const auto& [backend, requests] : sums) {
        auto total = protocol::backend_load{
            backend, static_cast<std::uint32_t>(requests)};
        if (const auto estimate = estimates.extract(backend)) {
            total.speed_ = estimate.mapped();
        }
        update.totals_.push_back(std::move(total));
    }
    for (const auto& [backend, estimate] : estimates) {
        update.totals_.push_back({backend, 0, estimate});
    }
    return update;
}

auto load_sharing::tick() -> void {
    const auto now = clock_.now();
    if (peers_ == nullptr) {
        return;
    }
    if (now < next_share_) {
        share_allowances_early();
        return;
    }
    next_share_ = now + interval();
    // Loads forwarded by the owner are one interval old when it sends them.
    relay_.set_peer_load_age(shares_directly() ? duration{0} : interval());
    if (shares_directly()) {
        share_directly(now);
    } else {
        share_through_owner(now);
    }
    if (now >= next_fit_) {
        next_fit_ = now + fit_interval;
        relay_.update_speeds(shares_directly() || models_.epoch().has_value());
    }
}

auto load_sharing::share_allowances_early() -> void {
    if (shares_directly()) {
        return;
    }
    auto update = protocol::relay_update{};
    if (models_.epoch()) {
        if (allowances_.add_early_levels(update)) {
            send_to_all(update);
        }
    } else if (!models_.owner().empty() &&
               allowances_.add_early_report(update)) {
        send_to_owner(update);
    }
}

auto load_sharing::share_directly(time_point now) -> void {
    const auto update = own_loads();
    // Each daemon keeps the levels itself.
    allowances_.apply_own_levels(update);
    if (!update.loads_.empty() || !update.limits_.empty() ||
        !update.bearable_rejections_.empty() ||
        (update.allowance_report_ &&
         !update.allowance_report_->spending_.empty()) ||
        now >= next_heartbeat_) {
        next_heartbeat_ = now + heartbeat_interval;
        send_to_all(update);
    }
    peers_->set_heartbeats_trusted(true);
    apply(reported_loads_.sum_by_backend(now));
}

auto load_sharing::share_through_owner(time_point now) -> void {
    if (!models_.epoch()) {
        send_to_owner(own_loads());
        const auto totals_fresh =
            totals_received_at_ &&
            now - *totals_received_at_ < totals_lifetime_intervals * interval();
        // Without fresh totals from the owner, a missing heartbeat does not
        // indicate a failed daemon.
        peers_->set_heartbeats_trusted(totals_fresh);
        auto peer_loads =
            totals_fresh ? totals_ : coordination::backend_loads{};
        // The totals include this daemon's own requests.
        for (const auto& [backend, requests] : relay_.local_loads()) {
            auto& remaining = peer_loads[backend];
            remaining = std::max(remaining - requests, 0);
        }
        apply(peer_loads);
        return;
    }
    auto sums = reported_loads_.sum_by_backend(now);
    peers_->set_heartbeats_trusted(true);
    apply(sums);
    for (const auto& [backend, requests] : relay_.local_loads()) {
        sums[backend] += requests;
    }
    // Its samples are in its own estimates already.
    (void)relay_.speeds().take_reports();
    auto update = totals(sums, now);
    permits_.add_changes(update, limit_rounds * interval());
    allowances_.add_levels(update, interval());
    update.heard_ = reported_loads_.active_daemons(now);
    update.model_demands_ = models_.model_demands();
    relay_.set_model_demands(update.model_demands_);
    send_to_all(update);
}

auto load_sharing::apply(const coordination::backend_loads& peer_loads)
    -> void {
    for (const auto& [backend, requests] : applied_loads_) {
        if (!peer_loads.contains(backend)) {
            relay_.set_peer_load(backend, 0);
        }
    }
    for (const auto& [backend, requests] : peer_loads) {
        relay_.set_peer_load(backend, requests);
    }
    applied_loads_ = peer_loads;
}

auto load_sharing::on_update(const std::string& sender,
                             const protocol::relay_update& update) -> void {
    const auto now = clock_.now();
    allowances_.on_update(sender, update);
    if (update.has_loads_) {
        auto loads = coordination::backend_loads{};
        for (const auto& load : update.loads_) {
            // An entry without requests carries a sample only.
            if (load.requests_ > 0) {
                loads[load.backend_] = static_cast<int>(load.requests_);
            }
            relay_.speeds().on_report(load.backend_, load.speed_, now);
        }
        reported_loads_.set_loads(sender, std::move(loads), now);
    }
    if (update.has_totals_) {
        totals_.clear();
        auto estimates = std::map<std::string, std::uint32_t>{};
        for (const auto& total : update.totals_) {
            if (total.requests_ > 0) {
                totals_[total.backend_] = static_cast<int>(total.requests_);
            }
            if (total.speed_ != 0) {
                estimates[total.backend_] = total.speed_;
            }
        }
        relay_.speeds().on_estimates(estimates, update.load_effect_, now);
        totals_received_at_ = now;
        relay_.set_model_demands(update.model_demands_);
        for (const auto& name : update.heard_) {
            peers_->on_heard(name);
        }
    }
}

} // namespace basilstream::daemon
