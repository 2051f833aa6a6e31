#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "basilstream/daemon/relay/internal/exchange.hpp"
#include "basilstream/daemon/relay/internal/forwarding_fields.hpp"
#include "basilstream/daemon/relay/internal/parts.hpp"

// Requests that other daemons forward, and whether this daemon reaches the
// backend servers itself. Requests that it forwards are handled in
// exchange_forwarding.cpp.

namespace basilstream::daemon::internal {

connection_probe::connection_probe(transport::reactor_thread& thread,
                                   const std::string& address)
    : stream_{transport::tcp_stream::connect(thread, address, *this)} {}

auto connection_probe::established() const -> bool {
    return stream_ && stream_->established();
}

auto connection_probe::on_closed(transport::close_reason /*reason*/) -> void {
    stream_.reset();
}

auto relay_state::on_forwarded_request(transport::request_message message,
                                       transport::http_session& session)
    -> void {
    const auto order = read_forwarding_fields(message.headers_);
    if (!order || order->key_ != context_.forwarding_.key()) {
        session.respond(403, {}, "");
        return;
    }
    counters_.taken_from_peers_.add();
    erase_forwarding_fields(message.headers_);
    auto request = dialect_.read(std::move(message));
    const auto& config = routes_.config();
    const auto* const route =
        request && config && config->version_ >= order->config_version_
            ? routes_.match(request->host_, request->message_.target_)
            : nullptr;
    if (!accepting_ || route == nullptr || route->targets_.empty()) {
        auto headers = dialect_.local_reply_headers(request ? request->id_ : "",
                                                    settings_.retry_hint_);
        write_forwarding_outcome({forwarding_outcome::unreached}, headers);
        session.respond(503, headers, "");
        return;
    }
    const auto new_exchange = std::make_shared<exchange>(
        *this, session, config, *route, std::move(*request), order);
    exchanges_.insert(new_exchange);
    new_exchange->start();
}

auto relay_state::reachability_of(const std::string& service)
    -> coordination::server_reachability& {
    return links_[service].reachability_;
}

auto relay_state::prefers_forwarding(const std::string& service) -> bool {
    auto& reachability = reachability_of(service);
    (void)reachability.state(context_.clock_.now());
    const auto share = reachability.own_share(context_.clock_.now());
    return share < 1 && context_.random_.fraction() >= share;
}

auto relay_state::check_reachability() -> void {
    auto addresses = std::map<std::string, std::vector<std::string>>{};
    for (const auto& [id, backend] : backends_) {
        addresses[backend.service_].push_back(backend.address_);
    }
    for (auto& [service, links] : links_) {
        links.reachability_.set_servers(addresses[service].size());
        check_links(service, links, addresses[service]);
    }
}

auto relay_state::check_links(const std::string& service, service_links& links,
                              const std::vector<std::string>& addresses)
    -> void {
    const auto now = context_.clock_.now();
    auto& reachability = links.reachability_;
    const auto made = static_cast<std::size_t>(
        std::count_if(links.probes_.begin(), links.probes_.end(),
                      [](const auto& probe) { return probe->established(); }));
    if (made > 0) {
        reachability.on_probes(made, links.probes_.size(), now);
    }
    const auto reached =
        reachability.state(now) == coordination::reachability::reached;
    if (std::exchange(links.reached_, reached) != reached) {
        on_reachability_changed(service, reached, addresses);
    }
    if (reached) {
        links.probes_.clear();
        return;
    }
    context_.forwarding_.seek();
    if (!addresses.empty() && reachability.probe_due(now)) {
        reachability.on_probes(made, links.probes_.size(), now);
        start_probes(links, addresses);
    }
}

auto relay_state::start_probes(service_links& links,
                               std::vector<std::string> addresses) -> void {
    links.probes_.clear();
    const auto count = std::min(links.reachability_.probes(), addresses.size());
    for (auto index = std::size_t{0}; index < count; ++index) {
        std::swap(addresses[index],
                  addresses[index +
                            context_.random_.below(addresses.size() - index)]);
        links.probes_.push_back(std::make_unique<connection_probe>(
            context_.thread_, addresses[index]));
    }
}

auto relay_state::on_reachability_changed(
    const std::string& service, bool reached,
    const std::vector<std::string>& addresses) -> void {
    const auto state = reachability_of(service).state(context_.clock_.now());
    context_.log_.warning(
        reached ? "servers of a service are reached again"
                : "servers of a service cannot be reached",
        {{"service", service},
         {"servers", std::to_string(addresses.size())},
         {"reachability", coordination::reachability_names.name_of(state)}});
    if (state != coordination::reachability::partly_cut) {
        // Kept connections may have ended unnoticed.
        for (const auto& address : addresses) {
            pool_.drop_idle(address);
        }
    }
    if (reached) {
        return;
    }
    const auto snapshot = std::vector<std::shared_ptr<exchange>>{
        exchanges_.begin(), exchanges_.end()};
    for (const auto& open_exchange : snapshot) {
        if (open_exchange->service() == service) {
            open_exchange->on_service_unreached();
        }
    }
}

} // namespace basilstream::daemon::internal
