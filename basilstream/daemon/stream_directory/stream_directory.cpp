#include "basilstream/daemon/stream_directory/stream_directory.hpp"

#include <utility>

#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::daemon {
namespace {

// Two, so that a stream is known after the daemon that relayed it and one more
// have failed.
constexpr auto holders_per_stream = std::size_t{2};
// Answers that are missing after this time count as "not known".
constexpr auto answer_timeout = milliseconds{250};

} // namespace

stream_directory::stream_directory(const stream_directory_context& context,
                                   std::string self)
    : context_{context}, self_{std::move(self)},
      told_{context.metrics_.add_counter(
          "basilstream_stream_origins_told_total",
          "Streams of whose version other daemons were told.")},
      asked_{context.metrics_.add_counter(
          "basilstream_stream_origins_asked_total",
          "Streams of whose version other daemons were asked.")},
      unknown_{context.metrics_.add_counter(
          "basilstream_stream_origins_unknown_total",
          "Streams that could not be resumed, as their version is not "
          "known.")} {}

auto stream_directory::set_server(const std::string& server,
                                  const std::string& service,
                                  const std::string& version) -> void {
    versions_.set_server(server, service, version, context_.clock_.now());
}

auto stream_directory::remove_server(const std::string& server) -> void {
    versions_.remove_server(server, context_.clock_.now());
}

auto stream_directory::holders_of(const std::string& request) const
    -> std::vector<std::string> {
    auto holders =
        coordination::select_by_weight(request, daemons_, holders_per_stream);
    std::erase(holders, self_);
    return holders;
}

auto stream_directory::on_stream_begun(const std::string& request,
                                       const std::string& service,
                                       const std::string& version) -> void {
    const auto now = context_.clock_.now();
    if (request.empty() || version.empty() ||
        versions_.sole_version(service, now) == version) {
        return;
    }
    origins_.record(request, version, now);
    if (!send_) {
        return;
    }
    auto update = protocol::relay_update{};
    update.stream_origins_ = {{request, version}};
    for (const auto& holder : holders_of(request)) {
        (void)send_(holder, update);
    }
    told_.add();
}

auto stream_directory::known_version(const std::string& request,
                                     const std::string& service)
    -> std::optional<std::string> {
    const auto now = context_.clock_.now();
    if (auto recorded = origins_.find(request, now)) {
        return recorded;
    }
    return versions_.sole_version(service, now);
}

auto stream_directory::settle(const version_handler& done,
                              const std::optional<std::string>& version)
    -> void {
    if (!version) {
        unknown_.add();
    }
    done(version);
}

auto stream_directory::find_version(const std::string& request,
                                    const std::string& service,
                                    version_handler done) -> void {
    if (request.empty()) {
        // Clients that do not name the request come from installations whose
        // servers have one version.
        settle(done,
               versions_.sole_version_seen(service, context_.clock_.now()));
        return;
    }
    if (const auto version = known_version(request, service)) {
        settle(done, version);
        return;
    }
    const auto id = ++last_query_;
    auto update = protocol::relay_update{};
    update.origin_queries_ = {{id, request, service}};
    auto asked = std::size_t{0};
    if (send_) {
        for (const auto& holder : holders_of(request)) {
            asked += send_(holder, update) ? 1U : 0U;
        }
    }
    if (asked == 0) {
        settle(done, std::nullopt);
        return;
    }
    asked_.add();
    pending_[id] = {std::move(done), asked,
                    context_.clock_.now() + answer_timeout};
}

auto stream_directory::on_update(const std::string& sender,
                                 const protocol::relay_update& update) -> void {
    const auto now = context_.clock_.now();
    for (const auto& origin : update.stream_origins_) {
        origins_.record(origin.request_, origin.version_, now);
    }
    auto reply = protocol::relay_update{};
    for (const auto& query : update.origin_queries_) {
        reply.origin_answers_.push_back(
            {query.id_, known_version(query.request_, query.service_)});
    }
    if (!reply.origin_answers_.empty() && send_) {
        (void)send_(sender, reply);
    }
    for (const auto& answer : update.origin_answers_) {
        const auto found = pending_.find(answer.id_);
        if (found == pending_.end()) {
            continue;
        }
        --found->second.missing_answers_;
        if (answer.version_ || found->second.missing_answers_ == 0) {
            const auto done = std::move(found->second.done_);
            pending_.erase(found);
            settle(done, answer.version_);
        }
    }
}

auto stream_directory::tick() -> void {
    const auto now = context_.clock_.now();
    auto expired = std::vector<version_handler>{};
    std::erase_if(pending_, [&](auto& entry) {
        const auto due = now >= entry.second.expires_at_;
        if (due) {
            expired.push_back(std::move(entry.second.done_));
        }
        return due;
    });
    for (const auto& done : expired) {
        settle(done, std::nullopt);
    }
}

} // namespace basilstream::daemon
