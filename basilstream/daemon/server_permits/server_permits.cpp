#include "basilstream/daemon/server_permits/server_permits.hpp"

#include <algorithm>

namespace basilstream::daemon {
namespace {

// Covers the time in which daemons still use permits of the former owner:
// those that have not noticed that it has gone, and permits for a later time.
constexpr auto takeover_delay = milliseconds{2500};
// A permit request that is not answered within this time is refused, and the
// server is not used for the second time.
constexpr auto answer_timeout = milliseconds{250};
constexpr auto retry_delay = milliseconds{500};
// Shortest wait of a refusal.
constexpr auto min_refusal_wait = milliseconds{1};

constexpr auto no_answer = coordination::permit{false, retry_delay};

auto relayed(const coordination::named_limit& limit, time_point now)
    -> protocol::relayed_limit {
    return {limit.server_, limit.started_at_, limit.per_second_,
            std::chrono::floor<milliseconds>(now - limit.stated_at_)};
}

} // namespace

server_permits::server_permits(const server_permits_context& context,
                               std::string self)
    : context_{context}, self_{std::move(self)}, ownership_{self_,
                                                            takeover_delay},
      named_{context.metrics_.add_counter(
          "basilstream_rate_limit_notices_total",
          "Answers in which a server named a rate limit.")},
      malformed_{context.metrics_.add_counter(
          "basilstream_rate_limit_malformed_total",
          "Answers with a rate limit that cannot be parsed.")},
      limited_requests_{context.metrics_.add_counter(
          "basilstream_rate_limited_requests_total",
          "Requests sent to servers that have named a rate limit.")},
      granted_{context.metrics_.add_counter(
          "basilstream_permits_granted_total",
          "Permits to send a request to a rate limited server.")},
      refused_{context.metrics_.add_counter(
          "basilstream_permits_refused_total",
          "Permits that were refused, as the server is at its limit.")},
      unanswered_{context.metrics_.add_counter(
          "basilstream_permits_unanswered_total",
          "Permit requests that the owner has not answered in time.")},
      rejected_{context.metrics_.add_counter(
          "basilstream_slot_rejections_total",
          "Requests that a server rejected although they held a slot.")} {
    context_.metrics_.add_gauge(
        "basilstream_rate_limited_servers",
        "Servers that have named a rate limit.",
        [this] { return static_cast<double>(limits_.size()); });
    context_.metrics_.add_gauge(
        "basilstream_brittle_servers",
        "Servers that state how many rejections per second they bear.",
        [this] { return static_cast<double>(bearable_.size()); });
}

auto server_permits::set_server(const std::string& server,
                                const std::string& service,
                                std::int64_t started_at, int slots) -> void {
    const auto brittle = brittle_services_.contains(service);
    const auto counted =
        services_.contains(server) && bearable_.limit_of(server);
    limits_.set_server(server, started_at);
    bearable_.set_server(server, started_at);
    slots_.set_server(server, started_at, slots, brittle);
    services_[server] = service;
    if (counted != bearable_.limit_of(server).has_value()) {
        find_brittle_services();
    }
}

auto server_permits::remove_server(const std::string& server) -> void {
    const auto stated = bearable_.limit_of(server).has_value();
    limits_.remove_server(server);
    ledger_.remove_server(server);
    bearable_.remove_server(server);
    slots_.remove_server(server);
    services_.erase(server);
    if (stated) {
        find_brittle_services();
    }
    pass_on_decisions();
}

auto server_permits::set_daemons(const std::vector<std::string>& daemons)
    -> void {
    ownership_.set_daemons(daemons, context_.clock_.now());
    slots_.set_daemons(daemons);
}

auto server_permits::on_notice(const std::string& server,
                               const per_second_notice& notice,
                               time_point sent_at) -> void {
    using kind = per_second_notice::kind;
    const auto now = context_.clock_.now();
    auto changed = false;
    switch (notice.kind_) {
    case kind::valid:
        named_.add();
        changed = limits_.on_named(server, notice.per_second_, now);
        break;
    case kind::absent:
        changed = limits_.on_not_named(server, sent_at, now);
        break;
    case kind::malformed:
        malformed_.add();
        break;
    }
    if (changed) {
        log_change(server, "answer");
    }
}

auto server_permits::reserve(const protocol::permit_request& request)
    -> coordination::permit {
    const auto now = context_.clock_.now();
    const auto& server = request.server_;
    const auto limit = limits_.limit_of(server);
    if (!limit && !request.bearable_) {
        return {true, duration{0}};
    }
    const auto takeover_wait = ownership_.takeover_wait(server, now);
    if (!takeover_wait) {
        return no_answer;
    }
    if (*takeover_wait > duration{0}) {
        return {false, *takeover_wait};
    }
    return limit ? ledger_.reserve(server, *limit, request.max_wait_, now)
                 : coordination::permit{true, duration{0}};
}

auto server_permits::acquire(const std::string& server,
                             const permit_terms& terms, permit_handler done)
    -> void {
    const auto now = context_.clock_.now();
    auto request = protocol::permit_request{
        .id_ = ++last_request_,
        .server_ = server,
        .max_wait_ = std::chrono::floor<milliseconds>(terms.max_wait_),
        .lifetime_ = std::chrono::ceil<milliseconds>(terms.lifetime_)};
    if (terms.lifetime_ > duration{0}) {
        request.bearable_ = bearable_of(server);
    }
    const auto owner = ownership_.owner_of(server);
    const auto expires_at = now + answer_timeout +
                            (request.bearable_ ? terms.max_wait_ : duration{0});
    const auto asks = send_ && !owner.empty() && owner != self_;
    pending_[request.id_] = {std::move(done), expires_at, asks ? owner : self_,
                             server, request.bearable_.has_value()};
    if (!asks) {
        decide(self_, request);
        pass_on_decisions();
        return;
    }
    auto update = protocol::relay_update{};
    // The owner may not have heard of the limit, or has forgotten it.
    if (const auto limit = limits_.find(server)) {
        update.limits_ = {relayed(*limit, now)};
    }
    update.permit_requests_ = {request};
    if (!send_(owner, update)) {
        unanswered_.add();
        const auto asked = pending_.extract(request.id_);
        settle(asked.mapped().done_, no_answer, {});
    }
}

auto server_permits::decide(const std::string& daemon,
                            const protocol::permit_request& request) -> void {
    const auto now = context_.clock_.now();
    const auto given = reserve(request);
    if (!request.bearable_ || !given.granted_) {
        answer(daemon,
               {request.id_, given.granted_,
                std::chrono::ceil<milliseconds>(given.wait_)},
               request.server_);
        return;
    }
    slots_.take({.server_ = request.server_,
                 .daemon_ = daemon,
                 .id_ = request.id_,
                 .bearable_ = *request.bearable_,
                 .max_wait_ = request.max_wait_,
                 .lifetime_ = request.lifetime_,
                 .rate_wait_ = given.wait_},
                now);
}

auto server_permits::answer(const std::string& daemon,
                            const protocol::permit_answer& given,
                            const std::string& server) -> void {
    if (daemon == self_) {
        on_answer(self_, given);
        return;
    }
    auto update = protocol::relay_update{};
    update.permit_answers_ = {given};
    if (const auto limit = limits_.find(server)) {
        update.limits_ = {relayed(*limit, context_.clock_.now())};
    }
    if (send_) {
        (void)send_(daemon, update);
    }
}

auto server_permits::pass_on_decisions() -> void {
    for (const auto& decision : slots_.take_decisions()) {
        answer(decision.holder_.first,
               {decision.holder_.second, decision.granted_,
                std::chrono::ceil<milliseconds>(decision.wait_),
                decision.granted_},
               {});
    }
}

auto server_permits::on_answer(const std::string& sender,
                               const protocol::permit_answer& given) -> void {
    const auto asked = pending_.extract(given.id_);
    if (asked.empty()) {
        return;
    }
    auto& request = asked.mapped();
    auto slot = server_slot{};
    if (given.holds_slot_) {
        held_slots_[given.id_] = {sender, request.server_};
        slot = server_slot{*this, given.id_};
    }
    settle(request.done_, {given.granted_, given.wait_}, std::move(slot));
}

auto server_permits::settle(const permit_handler& done,
                            const coordination::permit& given, server_slot slot)
    -> void {
    (given.granted_ ? granted_ : refused_).add();
    done(given.granted_
             ? given
             : coordination::permit{false, std::max<duration>(
                                               given.wait_, min_refusal_wait)},
         std::move(slot));
}

auto server_permits::on_update(const std::string& sender,
                               const protocol::relay_update& update) -> void {
    const auto now = context_.clock_.now();
    for (const auto& limit : update.limits_) {
        if (limits_.merge({limit.server_, limit.started_at_, limit.per_second_,
                           now - limit.age_})) {
            log_change(limit.server_, "peer");
        }
    }
    for (const auto& stated : update.bearable_rejections_) {
        if (bearable_.merge({stated.server_, stated.started_at_,
                             stated.per_second_, now - stated.age_})) {
            on_bearable_changed(stated.server_, "peer");
        }
    }
    for (const auto& given_back : update.slot_returns_) {
        apply_return(sender, given_back);
    }
    for (const auto& request : update.permit_requests_) {
        decide(sender, request);
    }
    pass_on_decisions();
    for (const auto& given : update.permit_answers_) {
        on_answer(sender, given);
    }
}

auto server_permits::add_changes(protocol::relay_update& update,
                                 duration age) const -> void {
    const auto now = context_.clock_.now();
    for (const auto& limit : limits_.changed_since(now - age)) {
        update.limits_.push_back(relayed(limit, now));
    }
    for (const auto& stated : bearable_.changed_since(now - age)) {
        update.bearable_rejections_.push_back(relayed(stated, now));
    }
}

auto server_permits::tick() -> void {
    const auto now = context_.clock_.now();
    auto expired = std::vector<std::pair<std::uint64_t, pending_request>>{};
    std::erase_if(pending_, [&](auto& entry) {
        const auto due = now >= entry.second.expires_at_;
        if (due) {
            expired.emplace_back(entry.first, std::move(entry.second));
        }
        return due;
    });
    for (const auto& [id, request] : expired) {
        unanswered_.add();
        if (request.needs_slot_) {
            // The owner may have granted it in the meantime.
            return_slot(request.owner_, {id, request.server_,
                                         coordination::slot_outcome::unused});
        }
        settle(request.done_, no_answer, {});
    }
    slots_.tick(now);
    pass_on_decisions();
}

auto server_permits::on_sent(const std::string& server) -> void {
    if (limit_of(server)) {
        limited_requests_.add();
    }
}

auto server_permits::limit_of(const std::string& server) const
    -> std::optional<double> {
    return limits_.limit_of(server);
}

auto server_permits::log_change(const std::string& server, const char* source)
    -> void {
    const auto limit = limits_.limit_of(server);
    context_.log_.info(
        "rate limit of backend server changed",
        {{"backend", server},
         {"per_second", limit ? std::to_string(*limit) : std::string{"none"}},
         {"source", source}});
}

} // namespace basilstream::daemon
