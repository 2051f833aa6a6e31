#include "basilstream/daemon/cluster/cluster.hpp"

#include <algorithm>
#include <cstdlib>

namespace basilstream::daemon {
namespace {

// Minimum interval between a daemon's load announcements. The interval grows
// with the number of members, so that the cluster as a whole announces about
// one load per second.
constexpr auto min_load_interval = seconds{5};
constexpr auto endpoint_update_interval = milliseconds{200};
constexpr auto load_interval_per_member = seconds{1};

auto make_self_member(const cluster_settings& settings,
                      std::string caller_address,
                      const transport::peer_link& link)
    -> coordination::member {
    auto self = coordination::member{};
    self.name_ = settings.name_;
    self.peer_address_ = link.address();
    self.caller_address_ = std::move(caller_address);
    self.zone_ = settings.zone_;
    return self;
}

auto directory_settings(const cluster_settings& settings)
    -> coordination::discovery_settings {
    auto options = coordination::discovery_settings{};
    options.time_to_live_ = settings.endpoint_time_to_live_;
    options.max_addresses_ = settings.max_endpoints_;
    return options;
}

} // namespace

cluster::cluster(const cluster_context& base, cluster_settings settings,
                 std::string caller_address,
                 std::unique_ptr<transport::peer_link> link)
    : base_{base}, settings_{std::move(settings)}, link_{std::move(link)},
      membership_{
          {},
          make_self_member(settings_, std::move(caller_address), *link_),
          base.random_},
      directory_{directory_settings(settings_), base.random_} {
    for (const auto& seed : settings_.seeds_) {
        add_seed(seed);
    }
    payloads_[coordination::payload_kind::endpoint_load] =
        [this](const coordination::gossip_payload& payload) {
            loads_[payload.origin_] = static_cast<std::uint32_t>(
                std::strtoul(payload.bytes_.c_str(), nullptr, 10));
            update_endpoints();
        };
    update_endpoints();
}

auto cluster::on_channel(protocol::peer_channel channel,
                         channel_handler handler) -> void {
    channels_[channel] = std::move(handler);
}

auto cluster::on_payload(coordination::payload_kind kind,
                         payload_handler handler) -> void {
    payloads_[kind] = std::move(handler);
}

auto cluster::on_members(
    std::function<void(const std::vector<std::string>&)> observer) -> void {
    member_observers_.push_back(std::move(observer));
}

auto cluster::on_message(const std::string& from_address,
                         const std::string& bytes) -> void {
    const auto envelope = protocol::decode_envelope(bytes);
    if (!envelope) {
        base_.log_.failure(transport::log_level::debug, "peer message dropped",
                           envelope.error());
        return;
    }
    if (envelope->channel_ == protocol::peer_channel::membership) {
        if (const auto message =
                protocol::decode_membership(envelope->payload_)) {
            membership_.on_message(from_address, *message, base_.clock_.now());
        }
        return;
    }
    last_heard_[envelope->sender_] = base_.clock_.now();
    const auto found = channels_.find(envelope->channel_);
    if (found != channels_.end()) {
        found->second(envelope->sender_, envelope->payload_);
    }
}

auto cluster::tick() -> void {
    const auto now = base_.clock_.now();
    if (now >= next_load_announcement_) {
        next_load_announcement_ =
            now + std::max<duration>(
                      min_load_interval,
                      load_interval_per_member *
                          static_cast<int>(membership_.members().size()));
        gossip(coordination::payload_kind::endpoint_load, "load",
               std::to_string(own_load_));
    }
    if (settings_.longest_silence_ > milliseconds{0} &&
        now >= next_endpoint_update_) {
        next_endpoint_update_ = now + endpoint_update_interval;
        update_endpoints();
    }
    membership_.tick(now);
    for (auto& output : membership_.poll()) {
        transmit(output.address_, protocol::peer_channel::membership,
                 protocol::encode(output.message_));
    }
    for (const auto& payload : membership_.take_payloads()) {
        const auto found = payloads_.find(payload.kind_);
        if (found != payloads_.end()) {
            found->second(payload);
        }
    }
    if (membership_.take_changed()) {
        update_endpoints();
        const auto owners = membership_.owners();
        log_members(owners);
        for (const auto& observer : member_observers_) {
            observer(owners);
        }
    }
}

auto cluster::log_members(const std::vector<std::string>& members) -> void {
    const auto is_missing_in = [](const std::vector<std::string>& names) {
        return [&names](const std::string& name) {
            return std::find(names.begin(), names.end(), name) == names.end();
        };
    };
    auto gone = std::string{};
    for (const auto& name : last_members_) {
        gone += is_missing_in(members)(name) ? " " + name : "";
    }
    const auto added = std::count_if(members.begin(), members.end(),
                                     is_missing_in(last_members_));
    last_members_ = members;
    base_.log_.info("members changed",
                    {{"members", std::to_string(members.size())},
                     {"added", std::to_string(added)},
                     {"gone", gone}});
}

auto cluster::transmit(const std::string& address,
                       protocol::peer_channel channel, std::string bytes)
    -> void {
    link_->send(address, protocol::encode(protocol::peer_envelope{
                             channel, settings_.name_, std::move(bytes)}));
}

auto cluster::send(const std::string& daemon, protocol::peer_channel channel,
                   std::string bytes) -> bool {
    const auto member = membership_.find(daemon);
    if (!member) {
        return false;
    }
    transmit(member->peer_address_, channel, std::move(bytes));
    return true;
}

auto cluster::gossip(coordination::payload_kind kind, std::string key,
                     std::string bytes) -> void {
    if (!membership_.publish(kind, std::move(key), std::move(bytes),
                             base_.clock_.now())) {
        base_.log_.warning("gossip payload is too large");
    }
}

auto cluster::on_heard(const std::string& daemon) -> void {
    last_heard_[daemon] = base_.clock_.now();
}

auto cluster::add_seed(const std::string& peer_address) -> void {
    if (peer_address != link_->address()) {
        membership_.add_seed(peer_address, base_.clock_.now());
    }
}

auto cluster::update_listed_peers(
    const std::vector<protocol::listed_vm>& entries) -> void {
    const auto now = base_.clock_.now();
    for (const auto& entry : entries) {
        if (entry.peer_address_.empty() ||
            entry.peer_address_ == link_->address()) {
            continue;
        }
        if (entry.leaving_) {
            membership_.on_listed_leaving(entry.peer_address_, now);
        } else {
            membership_.add_seed(entry.peer_address_, now);
        }
    }
}

auto cluster::leave() -> void {
    membership_.leave(base_.clock_.now());
    update_endpoints();
    tick();
}

auto cluster::set_load(std::size_t open_requests) -> void {
    own_load_ = open_requests;
}

auto cluster::endpoints(const std::string& zone)
    -> result<coordination::endpoint_answer> {
    return directory_.answer(zone);
}

auto cluster::is_silent(const std::string& name) const -> bool {
    if (settings_.longest_silence_ == milliseconds{0} || !heartbeats_trusted_ ||
        name == settings_.name_) {
        return false;
    }
    const auto found = last_heard_.find(name);
    return found == last_heard_.end() ||
           base_.clock_.now() - found->second > settings_.longest_silence_;
}

auto cluster::update_endpoints() -> void {
    auto endpoint_list = std::vector<coordination::endpoint>{};
    for (const auto& member : membership_.members()) {
        const auto load = loads_.find(member.name_);
        endpoint_list.push_back(
            {member.name_, member.caller_address_, member.zone_,
             member.state_ == coordination::member_state::alive &&
                 !is_silent(member.name_),
             load == loads_.end() ? 0U : load->second});
    }
    directory_.update(std::move(endpoint_list));
}

} // namespace basilstream::daemon
