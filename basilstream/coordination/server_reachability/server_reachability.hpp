/// Tells from the outcomes of a daemon's own attempts whether it still reaches
/// the backend servers of a service.
///
///     auto servers = server_reachability{{}};
///     servers.on_started(call, "s1", true, now);
///     servers.on_answered(call, now);     // or on_lost(), on_ended()
///     servers.on_heard(now);                    // any byte from any server
///     if (servers.state(now) == reachability::cut) {
///         // go through another daemon; try some servers now and then:
///         if (servers.probe_due(now)) { ... servers.on_probes(results, now); }
///     }
///
/// A service is cut if nothing has been heard from any of its servers since
/// connections to several of them failed or were lost before an answer, or
/// since requests to several of them were sent, for longer than a sound server
/// may be silent. A connection that is made proves nothing: a link may open
/// connections and carry nothing. A service is partly cut if servers answer,
/// but new connections to more of them fail than bring answers: of many
/// servers, a few that still answer on open connections carry few requests.
/// After probes of several servers have succeeded, the share of the requests
/// that use the own links again grows over a second. Not safe for concurrent
/// use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

enum class reachability {
    reached,
    /// No server answers, but connections to too few have failed to exclude
    /// that they are only busy.
    silent,
    /// Some servers answer, but most connections to servers fail.
    partly_cut,
    /// Connections to several servers have failed, and none answers.
    cut,
};

inline constexpr auto reachability_names =
    name_table<reachability, 4>{{{{reachability::reached, "reached"},
                                  {reachability::silent, "silent"},
                                  {reachability::partly_cut, "partly_cut"},
                                  {reachability::cut, "cut"}}}};

struct reachability_settings {
    /// Number of servers that must fail; all of them if there are fewer.
    std::size_t failed_servers_ = 3;
    /// Time without a byte, after failed connections and of unanswered
    /// requests.
    duration silence_after_failures_ = milliseconds{300};
    duration silence_of_requests_ = milliseconds{1500};
    /// An attempt that was given up sooner says nothing about its server.
    duration shortest_attempt_ = milliseconds{400};
    /// Time for which the outcomes of new connections are counted.
    duration connection_window_ = milliseconds{1500};
    /// Also the time within which a probe must be answered.
    duration probe_interval_ = milliseconds{500};
    /// Time over which requests return to the own links.
    duration return_time_ = seconds{1};
};

struct probe_results {
    /// Number of servers that were probed, of those among them to which a
    /// connection was made, and of those that answered.
    std::size_t probed_ = 0;
    std::size_t connected_ = 0;
    std::size_t answered_ = 0;
};

class server_reachability {
public:
    explicit server_reachability(reachability_settings settings)
        : settings_{settings} {}

    /// Sets the number of servers of the service.
    auto set_servers(std::size_t count) -> void { servers_ = count; }
    /// Records that an attempt was sent, or waits for a new connection.
    auto on_started(std::uint64_t call, const std::string& server,
                    bool new_connection, time_point now) -> void;
    /// Records that the answer to an attempt begins.
    auto on_answered(std::uint64_t call, time_point now) -> void;
    /// Records the end of an attempt, also of one that was given up.
    auto on_ended(std::uint64_t call, time_point now) -> void;
    /// Records that no connection for an attempt was made, or that it ended
    /// before an answer began.
    auto on_lost(std::uint64_t call, time_point now) -> void;
    /// Records that bytes have arrived from a server.
    auto on_heard(time_point now) -> void;

    /// Returns the state. `silent` lasts until a server is heard or probes
    /// succeed; `cut` and `partly_cut` last until probes succeed.
    auto state(time_point now) -> reachability;
    /// Returns whether servers should be probed now, and counts them as
    /// probed.
    auto probe_due(time_point now) -> bool;
    /// Returns how many servers should be probed at a time.
    [[nodiscard]] auto probes() const -> std::size_t;
    /// Records what probes came to. Half of the servers must answer, as one
    /// says little of many. If no connection is made, a silent service is cut;
    /// a connection without an answer may also mean that the server is busy.
    auto on_probes(const probe_results& results, time_point now) -> void;
    /// Returns the share of the requests that should use the own links; 0 while
    /// they are cut.
    [[nodiscard]] auto own_share(time_point now) const -> double;

private:
    struct attempt {
        std::string server_;
        bool new_connection_ = false;
        time_point started_at_;
    };
    // What the last new connection to a server came to.
    struct connection_outcome {
        bool answered_ = false;
        time_point at_;
    };

    [[nodiscard]] auto enough(std::size_t servers) const -> bool;
    [[nodiscard]] auto most_connections_fail(time_point now) -> bool;
    [[nodiscard]] auto is_cut(time_point now) const -> bool;
    [[nodiscard]] auto is_hanging(time_point now) const -> bool;
    auto enter(reachability state, time_point now) -> void;

    reachability_settings settings_;
    std::size_t servers_ = 0;
    std::map<std::uint64_t, attempt> attempts_;
    // When the first connection to each server failed or was lost since one was
    // heard.
    std::map<std::string, time_point> failed_;
    // By server, within the connection window.
    std::map<std::string, connection_outcome> connections_;
    // Servers at which attempts were given up without an answer since then.
    std::set<std::string> unanswered_;
    time_point heard_at_{};
    reachability state_ = reachability::reached;
    std::optional<time_point> reached_again_at_;
    time_point next_probe_{};
};

} // namespace basilstream::coordination
