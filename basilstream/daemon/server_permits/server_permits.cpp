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
          "Permit requests that the owner has not answered in time.")} {
    context_.metrics_.add_gauge(
        "basilstream_rate_limited_servers",
        "Servers that have named a rate limit.",
        [this] { return static_cast<double>(limits_.size()); });
}

auto server_permits::set_server(const std::string& server,
                                std::int64_t started_at) -> void {
    limits_.set_server(server, started_at);
}

auto server_permits::remove_server(const std::string& server) -> void {
    limits_.remove_server(server);
    ledger_.remove_server(server);
}

auto server_permits::set_daemons(const std::vector<std::string>& daemons)
    -> void {
    ownership_.set_daemons(daemons, context_.clock_.now());
}

auto server_permits::on_notice(const std::string& server,
                               const rate_limit_notice& notice,
                               time_point sent_at) -> void {
    using kind = rate_limit_notice::kind;
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

auto server_permits::reserve(const std::string& server, duration max_wait)
    -> coordination::permit {
    const auto now = context_.clock_.now();
    const auto limit = limits_.limit_of(server);
    if (!limit) {
        return {true, duration{0}};
    }
    const auto takeover_wait = ownership_.takeover_wait(server, now);
    if (!takeover_wait) {
        return no_answer;
    }
    if (*takeover_wait > duration{0}) {
        return {false, *takeover_wait};
    }
    return ledger_.reserve(server, *limit, max_wait, now);
}

auto server_permits::acquire(const std::string& server, duration max_wait,
                             permit_handler done) -> void {
    const auto owner = ownership_.owner_of(server);
    if (!send_ || owner.empty() || owner == self_) {
        settle(done, reserve(server, max_wait));
    } else {
        ask_owner(owner, server, max_wait, std::move(done));
    }
}

auto server_permits::ask_owner(const std::string& owner,
                               const std::string& server, duration max_wait,
                               permit_handler done) -> void {
    const auto now = context_.clock_.now();
    auto update = protocol::relay_update{};
    if (const auto limit = limits_.find(server)) {
        // The owner may not have heard of the limit, or has forgotten it.
        update.limits_ = {relayed(*limit, now)};
    }
    const auto id = ++last_request_;
    update.permit_requests_ = {
        {id, server, std::chrono::floor<milliseconds>(max_wait)}};
    if (!send_(owner, update)) {
        unanswered_.add();
        settle(done, no_answer);
        return;
    }
    pending_[id] = {std::move(done), now + answer_timeout};
}

auto server_permits::settle(const permit_handler& done,
                            const coordination::permit& given) -> void {
    (given.granted_ ? granted_ : refused_).add();
    done(given.granted_
             ? given
             : coordination::permit{
                   false, std::max<duration>(given.wait_, min_refusal_wait)});
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
    auto reply = protocol::relay_update{};
    for (const auto& request : update.permit_requests_) {
        const auto given = reserve(request.server_, request.max_wait_);
        reply.permit_answers_.push_back(
            {request.id_, given.granted_,
             std::chrono::ceil<milliseconds>(given.wait_)});
        if (const auto limit = limits_.find(request.server_)) {
            reply.limits_.push_back(relayed(*limit, now));
        }
    }
    if (!reply.permit_answers_.empty() && send_) {
        (void)send_(sender, reply);
    }
    for (const auto& answer : update.permit_answers_) {
        if (const auto asked = pending_.extract(answer.id_); !asked.empty()) {
            settle(asked.mapped().done_, {answer.granted_, answer.wait_});
        }
    }
}

auto server_permits::add_changes(protocol::relay_update& update,
                                 duration age) const -> void {
    const auto now = context_.clock_.now();
    for (const auto& limit : limits_.changed_since(now - age)) {
        update.limits_.push_back(relayed(limit, now));
    }
}

auto server_permits::tick() -> void {
    const auto now = context_.clock_.now();
    auto expired = std::vector<permit_handler>{};
    std::erase_if(pending_, [&](auto& entry) {
        const auto due = now >= entry.second.expires_at_;
        if (due) {
            expired.push_back(std::move(entry.second.done_));
        }
        return due;
    });
    for (const auto& done : expired) {
        unanswered_.add();
        settle(done, no_answer);
    }
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
