/// Tells from the outcomes of a daemon's own attempts whether it still reaches
/// the backend servers of a service.
///
///     auto servers = server_reachability{{}};
///     servers.on_started(call, "s1", now);
///     servers.on_heard(now);                    // any byte from any server
///     servers.on_connect_failed(call, now);     // or on_ended(call)
///     if (servers.state(now) == reachability::cut) {
///         // go through another daemon; try a connection now and then:
///         if (servers.probe_due(now)) { ... servers.on_probe(true, now); }
///     }
///
/// A service is cut if nothing has been heard from any of its servers since
/// connections to several of them failed, or since requests to several of them
/// were sent, for longer than a sound server may be silent. After a successful
/// probe, the share of the requests that use the own links again grows over a
/// second. Not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

enum class reachability {
    reached,
    /// No server answers, but connections to too few have failed to exclude
    /// that they are only busy.
    silent,
    /// Connections to several servers have failed.
    cut,
};

struct reachability_settings {
    /// Number of servers that must fail; all of them if there are fewer.
    std::size_t failed_servers_ = 3;
    /// Time without a byte, after failed connections and of unanswered
    /// requests.
    duration silence_after_failures_ = milliseconds{300};
    duration silence_of_requests_ = milliseconds{1500};
    /// An attempt that was given up sooner says nothing about its server.
    duration shortest_attempt_ = milliseconds{400};
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
    /// Records that no connection for an attempt was made.
    auto on_connect_failed(std::uint64_t call, time_point now) -> void;
    /// Records that bytes have arrived from a server.
    auto on_heard(time_point now) -> void;

    /// Returns the state; `cut` and `silent` last until a probe succeeds or a
    /// server is heard.
    auto state(time_point now) -> reachability;
    /// Returns whether a connection should be tried now, and counts it as
    /// tried.
    auto probe_due(time_point now) -> bool;
    auto on_probe(bool connected, time_point now) -> void;
    /// Returns the share of the requests that should use the own links; 0 while
    /// they are cut.
    [[nodiscard]] auto own_share(time_point now) const -> double;

private:
    struct attempt {
        std::string server_;
        time_point started_at_;
    };

    [[nodiscard]] auto enough(std::size_t servers) const -> bool;

    reachability_settings settings_;
    std::size_t servers_ = 0;
    std::map<std::uint64_t, attempt> attempts_;
    // When the first connection to each server failed since one was heard.
    std::map<std::string, time_point> failed_;
    // Servers at which attempts were given up without an answer since then.
    std::set<std::string> unanswered_;
    time_point heard_at_{};
    reachability state_ = reachability::reached;
    std::optional<time_point> reached_again_at_;
    time_point next_probe_{};
};

} // namespace basilstream::coordination
