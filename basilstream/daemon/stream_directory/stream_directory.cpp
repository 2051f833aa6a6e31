#include "basilstream/daemon/stream_directory/stream_directory.hpp"

#include <algorithm>
#include <utility>

#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::daemon {
namespace {

// Two beside the daemon that relays the stream, so that it is known after that
// daemon and one more have failed.
constexpr auto holders_per_stream = std::size_t{2};
// The daemon that relayed the stream and one that has just started may have
// higher weights than the holders.
constexpr auto asked_per_stream = holders_per_stream + 2;
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

auto stream_directory::other_daemons(const std::string& request,
                                     std::size_t count) const
    -> std::vector<std::string> {
    auto others = coordination::select_by_weight(request, daemons_, count + 1);
    std::erase(others, self_);
    others.resize(std::min(others.size(), count));
    return others;
}

auto stream_directory::on_stream_begun(const std::string& request,
                                       const std::string& version) -> void {
    if (request.empty() || version.empty()) {
        return;
    }
    origins_.record(request, version, context_.clock_.now());
    if (!send_) {
        return;
    }
    auto update = protocol::relay_update{};
    update.stream_origins_ = {{request, version}};
    for (const auto& holder : other_daemons(request, holders_per_stream)) {
        (void)send_(holder, update);
    }
    told_.add();
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
    const auto now = context_.clock_.now();
    if (const auto recorded = origins_.find(request, now)) {
        settle(done, recorded);
        return;
    }
    auto query =
        pending_query{.done_ = std::move(done),
                      .expires_at_ = now + answer_timeout,
                      .sole_version_ = versions_.sole_version(service, now),
                      .view_is_current_ = view_is_current_(),
                      .several_seen_ = versions_.has_seen_several(service, now),
                      .inferred_version_ = {}};
    const auto id = ++last_query_;
    auto update = protocol::relay_update{};
    update.origin_queries_ = {{id, request, service}};
    if (send_) {
        for (const auto& other : other_daemons(request, asked_per_stream)) {
            query.missing_answers_ += send_(other, update) ? 1U : 0U;
        }
    }
    if (query.missing_answers_ == 0) {
        query.agreed_ = false;
        settle(query.done_, result_of(query));
        return;
    }
    asked_.add();
    pending_[id] = std::move(query);
}

auto stream_directory::add_answer(pending_query& query,
                                  const protocol::origin_answer& answer)
    -> bool {
    --query.missing_answers_;
    if (answer.version_ && !answer.inferred_) {
        query.recorded_version_ = answer.version_;
        return true;
    }
    query.agreed_ = query.agreed_ && answer.version_ == query.sole_version_;
    query.several_seen_ = query.several_seen_ || answer.several_seen_;
    if (answer.version_ && !answer.outdated_) {
        // Daemons that infer different versions have seen two between them.
        query.several_seen_ =
            query.several_seen_ || query.inferred_version_.value_or(
                                       *answer.version_) != *answer.version_;
        query.inferred_version_ = answer.version_;
    }
    return query.missing_answers_ == 0;
}

auto stream_directory::result_of(const pending_query& query)
    -> std::optional<std::string> {
    if (query.recorded_version_) {
        return query.recorded_version_;
    }
    if (query.several_seen_) {
        return std::nullopt;
    }
    if (!query.sole_version_) {
        return query.inferred_version_;
    }
    // Any other version that a daemon with an old view has missed is known to
    // one of those that were asked.
    return query.view_is_current_ ||
                   (query.agreed_ && query.missing_answers_ == 0)
               ? query.sole_version_
               : std::nullopt;
}

auto stream_directory::on_update(const std::string& sender,
                                 const protocol::relay_update& update) -> void {
    const auto now = context_.clock_.now();
    for (const auto& origin : update.stream_origins_) {
        origins_.record(origin.request_, origin.version_, now);
    }
    auto reply = protocol::relay_update{};
    for (const auto& query : update.origin_queries_) {
        auto answer = protocol::origin_answer{
            query.id_, origins_.find(query.request_, now)};
        if (!answer.version_) {
            answer.version_ = versions_.sole_version(query.service_, now);
            answer.inferred_ = true;
            answer.outdated_ = !view_is_current_();
            answer.several_seen_ =
                versions_.has_seen_several(query.service_, now);
        }
        reply.origin_answers_.push_back(std::move(answer));
    }
    if (!reply.origin_answers_.empty() && send_) {
        (void)send_(sender, reply);
    }
    for (const auto& answer : update.origin_answers_) {
        const auto found = pending_.find(answer.id_);
        if (found == pending_.end()) {
            continue;
        }
        if (add_answer(found->second, answer)) {
            const auto query = std::move(found->second);
            pending_.erase(found);
            settle(query.done_, result_of(query));
        }
    }
}

auto stream_directory::tick() -> void {
    const auto now = context_.clock_.now();
    auto expired = std::vector<pending_query>{};
    std::erase_if(pending_, [&](auto& entry) {
        const auto due = now >= entry.second.expires_at_;
        if (due) {
            expired.push_back(std::move(entry.second));
        }
        return due;
    });
    for (const auto& query : expired) {
        settle(query.done_, result_of(query));
    }
}

} // namespace basilstream::daemon
