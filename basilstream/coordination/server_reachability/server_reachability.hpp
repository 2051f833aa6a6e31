/// Tells from the outcomes of a daemon's own attempts whether it still reaches
/// the backend servers of a service.
///
///     auto servers = server_reachability{{}};
///     servers.on_started(call, "s1", now);
///     servers.on_heard(now);                    // any byte from any server
///     servers.on_connect_failed(call, now);     // or on_ended(call)
///     if (servers.state(now) == reachability::cut) {
///         // go through another daemon; try connections now and then:
///         if (servers.probe_due(now)) { ... servers.on_probes(2, 3, now); }
///     }
///
/// A service is cut if nothing has been heard from any of its servers since
/// connections to several of them failed, or since requests to several of them
/// were sent, for longer than a sound server may be silent. It is partly cut if
/// servers answer, but connections to more of them fail than are made: of many
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
    /// Time for which made and failed connections are counted.
    duration connection_window_ = milliseconds{1500};
    duration probe_interval_ = milliseconds{250};
    /// Time over which requests return to the own links.
    duration return_time_ = seconds{1};
};

class server_reachability {
public:
    explicit server_reachability(reachability_settings settings)
        : settings_{settings} {}

    /// Sets the number of servers of the service.
    auto set_servers(std::size_t count) -> void { servers_ = count; }
    /// Records that an attempt was sent, or waits for a connection.
    auto on_started(std::uint64_t call, const std::string& server,
                    time_point now) -> void;
    /// Records the end of an attempt, also of one that was given up.
    auto on_ended(std::uint64_t call, time_point now) -> void;
    /// Records that a new connection for an attempt was made.
    auto on_connected(std::uint64_t call, time_point now) -> void;
    /// Records that no connection for an attempt was made.
    auto on_connect_failed(std::uint64_t call, time_point now) -> void;
    /// Records that bytes have arrived from a server.
    auto on_heard(time_point now) -> void;

    /// Returns the state. `silent` lasts until a server is heard or probes
    /// succeed; `cut` and `partly_cut` last until probes succeed.
    auto state(time_point now) -> reachability;
    /// Returns whether connections should be tried now, and counts them as
    /// tried.
    auto probe_due(time_point now) -> bool;
    /// Returns how many servers should be tried at a time.
    [[nodiscard]] auto probes() const -> std::size_t;
    /// Records to how many of the servers that were tried a connection was
    /// made. Half of them must succeed, as one server says little of many.
    auto on_probes(std::size_t connected, std::size_t tried, time_point now)
        -> void;
    /// Returns the share of the requests that should use the own links; 0 while
    /// they are cut.
    [[nodiscard]] auto own_share(time_point now) const -> double;

private:
    struct attempt {
        std::string server_;
        time_point started_at_;
    };
    // The last connection to a server that was made or failed.
    struct connection_outcome {
        bool made_ = false;
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
    // When the first connection to each server failed since one was heard.
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
