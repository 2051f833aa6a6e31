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

server_probe::server_probe(transport::reactor_thread& thread,
                           const std::string& address,
                           const std::string& request)
    : waits_for_answer_{!request.empty()}, stream_{
                                               transport::tcp_stream::connect(
                                                   thread, address, *this)} {
    if (stream_) {
        stream_->write(request);
    }
}

auto server_probe::connected() const -> bool {
    return heard_ || (stream_ && stream_->established());
}

auto server_probe::answered() const -> bool {
    return waits_for_answer_ ? heard_ : connected();
}

auto server_probe::on_closed(transport::close_reason /*reason*/) -> void {
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
        *this, session, config, *route, std::move(*request),
        request_caller{organisations_, order->organisation_}, order);
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
    auto servers = std::map<std::string, std::vector<server_address>>{};
    for (const auto& [id, backend] : backends_) {
        servers[backend.service_].push_back({id, backend.address_});
    }
    for (auto& [service, links] : links_) {
        links.reachability_.set_servers(servers[service].size());
        check_links(service, links, servers[service]);
    }
}

auto relay_state::check_links(const std::string& service, service_links& links,
                              const std::vector<server_address>& servers)
    -> void {
    const auto now = context_.clock_.now();
    auto& reachability = links.reachability_;
    auto results = coordination::probe_results{links.probes_.size()};
    for (const auto& probe : links.probes_) {
        results.connected_ += probe->connected() ? 1 : 0;
        results.answered_ += probe->answered() ? 1 : 0;
    }
    if (results.answered_ > 0) {
        reachability.on_probes(results, now);
    }
    const auto state = reachability.state(now);
    const auto reached = state == coordination::reachability::reached;
    if (std::exchange(links.reached_, reached) != reached) {
        on_reachability_changed(service, reached, servers);
    }
    if (reached) {
        links.probes_.clear();
        return;
    }
    context_.forwarding_.seek();
    // How a silent service is probed depends on whether others offer help.
    const auto waits_for_offers = state == coordination::reachability::silent &&
                                  !context_.forwarding_.has_offer(service) &&
                                  !context_.forwarding_.has_asked();
    if (!servers.empty() && !waits_for_offers && reachability.probe_due(now)) {
        reachability.on_probes(results, now);
        start_probes(service, links, servers);
    }
}

auto relay_state::start_probes(const std::string& service, service_links& links,
                               std::vector<server_address> servers) -> void {
    links.probes_.clear();
    // A service that gets requests from here needs no status checks, which take
    // slots of servers that may only be busy.
    const auto gets_requests =
        links.reachability_.state(context_.clock_.now()) ==
            coordination::reachability::silent &&
        !context_.forwarding_.has_offer(service);
    const auto count = std::min(links.reachability_.probes(), servers.size());
    for (auto index = std::size_t{0}; index < count; ++index) {
        const auto left = servers.size() - index;
        std::swap(servers[index],
                  servers[index + context_.random_.below(left)]);
        links.probes_.push_back(std::make_unique<server_probe>(
            context_.thread_, servers[index].address_,
            gets_requests ? std::string{}
                          : make_status_check(service, servers[index])));
    }
}

auto relay_state::make_status_check(const std::string& service,
                                    const server_address& server) const
    -> std::string {
    const auto& config = routes_.config();
    const auto* const found = config ? config->find_service(service) : nullptr;
    if (found == nullptr || found->health_path_.empty() ||
        context_.permits_.needs_permit(server.id_)) {
        return {};
    }
    auto headers = transport::header_list{};
    headers.add("Host", server.address_);
    headers.add("Connection", "close");
    return transport::write_request("GET", found->health_path_, headers, "");
}

auto relay_state::on_reachability_changed(
    const std::string& service, bool reached,
    const std::vector<server_address>& servers) -> void {
    const auto state = reachability_of(service).state(context_.clock_.now());
    context_.log_.warning(
        reached ? "servers of a service are reached again"
                : "servers of a service cannot be reached",
        {{"service", service},
         {"servers", std::to_string(servers.size())},
         {"reachability", coordination::reachability_names.name_of(state)}});
    if (state != coordination::reachability::partly_cut) {
        // Kept connections may have ended unnoticed.
        for (const auto& server : servers) {
            pool_.drop_idle(server.address_);
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
