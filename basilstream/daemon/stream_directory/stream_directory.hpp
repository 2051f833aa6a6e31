/// Finds the software version at which a stream began, also if another daemon
/// or a former process relayed it.
///
///     auto streams = stream_directory{{clock, metrics}, "entry-1"};
///     streams.connect(send);
///     streams.set_daemons({"entry-1", "entry-2"});
///     streams.on_stream_begun("9c41d07b", "v1.2");
///     streams.find_version("9c41d07b", "chat", [](auto version) {...});
///
/// The daemon that relays a stream tells two others, which the id selects, and
/// they are asked when the stream is resumed. That costs two small messages a
/// stream, also while the service has one version: a second one may appear, and
/// the daemon that relays the stream may end, at any moment after its
/// beginning.
///
/// A stream without a record goes on only at the version that the service has
/// had for a minute, if neither this daemon nor one of those that it asks has
/// seen another one: announcements of servers reach some daemons later than
/// others. A daemon that may have missed servers for longer resumes such a
/// stream only if all that it asks have seen the same version.
///
/// Not thread-safe: use on the traffic thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/stream_origins/stream_origins.hpp"
#include "basilstream/daemon/server_permits/server_permits.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Dependencies of a stream_directory; each must outlive it.
struct stream_directory_context {
    const clock& clock_;
    transport::metrics_registry& metrics_;
};

/// Receives the version, or nothing if it is not known.
using version_handler =
    std::function<void(const std::optional<std::string>& version)>;

class stream_directory {
public:
    stream_directory(const stream_directory_context& context, std::string self);

    /// Sets how updates are sent; until then, only this daemon is asked.
    auto connect(update_sender send) -> void { send_ = std::move(send); }
    /// Forgets all pending queries without a call, before their owners end.
    auto drop_pending() -> void { pending_.clear(); }
    /// Sets the daemons considered alive, this one included.
    auto set_daemons(std::vector<std::string> daemons) -> void {
        daemons_ = std::move(daemons);
    }
    /// Sets the check whether this daemon knows the newest servers. Without
    /// one it always does.
    auto set_view_check(std::function<bool()> is_current) -> void {
        view_is_current_ = std::move(is_current);
    }
    auto set_server(const std::string& server, const std::string& service,
                    const std::string& version) -> void;
    auto remove_server(const std::string& server) -> void;
    /// Returns the versions that this daemon has seen.
    [[nodiscard]] auto versions() -> coordination::version_history& {
        return versions_;
    }

    /// Records that the stream of a request has begun, or goes on, at a
    /// version, and tells other daemons. Call again if it begins anew at
    /// another version.
    auto on_stream_begun(const std::string& request, const std::string& version)
        -> void;
    /// Finds the version at which the stream of `request` began. If `request`
    /// is empty, that is the only version that this daemon has seen, if it has
    /// seen one only. Calls `done` exactly once, possibly before it returns.
    auto find_version(const std::string& request, const std::string& service,
                      version_handler done) -> void;

    /// Returns whether the service has had one version for so long that all of
    /// its streams can go on at any server.
    [[nodiscard]] auto has_sole_version(const std::string& service) const
        -> bool {
        return view_is_current_() &&
               versions_.sole_version(service, context_.clock_.now())
                   .has_value();
    }

    /// Handles what another daemon tells or asks.
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;
    /// Ends queries that the daemons have not answered. Call about every 50 ms.
    auto tick() -> void;

private:
    struct pending_query {
        version_handler done_;
        std::size_t missing_answers_ = 0;
        time_point expires_at_{};
        // The version that a daemon was told.
        std::optional<std::string> recorded_version_;
        // The version that all servers have as far as this daemon knows, and
        // whether it knows the newest servers.
        std::optional<std::string> sole_version_;
        bool view_is_current_ = true;
        // Whether this daemon or one that answered knows a reason against any
        // inference.
        bool several_seen_ = false;
        // The version that the answers infer, and whether each answer infers
        // sole_version_.
        std::optional<std::string> inferred_version_;
        bool agreed_ = true;
    };

    // Adds an answer; returns whether the query has its result.
    static auto add_answer(pending_query& query,
                           const protocol::origin_answer& answer) -> bool;
    // Returns the version that the answers allow to resume at.
    [[nodiscard]] static auto result_of(const pending_query& query)
        -> std::optional<std::string>;
    // Returns up to `count` daemons with the highest weights for the stream,
    // without this one.
    [[nodiscard]] auto other_daemons(const std::string& request,
                                     std::size_t count) const
        -> std::vector<std::string>;
    auto settle(const version_handler& done,
                const std::optional<std::string>& version) -> void;

    const stream_directory_context context_;
    const std::string self_;
    update_sender send_;
    std::function<bool()> view_is_current_ = [] {
        return true;
    };
    std::vector<std::string> daemons_;
    coordination::stream_origins origins_;
    coordination::version_history versions_;
    std::map<std::uint64_t, pending_query> pending_;
    std::uint64_t last_query_ = 0;
    transport::counter& told_;
    transport::counter& asked_;
    transport::counter& unknown_;
};

} // namespace basilstream::daemon
