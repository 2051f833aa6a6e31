/// Finds connections that went silent while new ones work: progress deadlines
/// for connections with requests, heartbeats for idle ones.
///
///     auto monitor = connection_monitor{settings};
///     monitor.open(7, connection_kind::runner, "10.0.0.4:80", now);
///     monitor.begin(7, request, now);
///     for (auto& action : monitor.tick(now)) { ... }
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// What stands at the other end of a connection.
enum class connection_kind { runner, service, peer, log, caller };

/// Names of connection kinds, for logs and metrics.
inline constexpr auto connection_kind_names =
    name_table<connection_kind, 5>{{{{connection_kind::runner, "runner"},
                                     {connection_kind::service, "service"},
                                     {connection_kind::peer, "peer"},
                                     {connection_kind::log, "log"},
                                     {connection_kind::caller, "caller"}}}};

/// Time limits of one kind of connection; zero switches a check off.
struct liveness_limits {
    /// A request must show its first byte within this time.
    duration first_byte_ = seconds{10};
    /// A request in progress must show a byte within this time.
    duration progress_ = seconds{2};
    /// An idle connection is asked for a sign of life this often.
    duration heartbeat_interval_ = seconds{5};
    /// And must answer within this time.
    duration heartbeat_timeout_ = seconds{1};
};

/// Limits per kind.
struct liveness_settings {
    liveness_limits runner_ = {};
    liveness_limits service_ = {seconds{30}, seconds{10}, seconds{5},
                                seconds{1}};
    liveness_limits peer_ = {milliseconds{500}, milliseconds{500}, seconds{2},
                             milliseconds{500}};
    liveness_limits log_ = {seconds{5}, seconds{5}, seconds{5}, seconds{1}};
    liveness_limits caller_ = {duration{0}, seconds{30}, duration{0},
                               duration{0}};
};

/// Whether a request on a connection may be sent again.
enum class repeatability { repeatable, resumable, not_repeatable };

/// Send a heartbeat on this connection and report `on_byte` for its answer.
struct heartbeat_action {
    std::uint64_t connection_ = 0;
};

/// Close the connection (never reuse it) and open another to `peer_`.
struct replace_action {
    std::uint64_t connection_ = 0;
    connection_kind kind_ = connection_kind::runner;
    std::string peer_;
};

/// What becomes of a request that was on a replaced connection.
enum class request_fate {
    /// No byte was sent: send it on another connection.
    send_elsewhere,
    /// Repeat it elsewhere, within the retry budget.
    repeat,
    /// Resume elsewhere at the next position.
    resume,
    /// End it with `outcome_unknown`; never repeat it.
    outcome_unknown,
};

/// Names of fates, for logs and metrics.
inline constexpr auto request_fate_names = name_table<request_fate, 4>{
    {{{request_fate::send_elsewhere, "send_elsewhere"},
      {request_fate::repeat, "repeat"},
      {request_fate::resume, "resume"},
      {request_fate::outcome_unknown, "outcome_unknown"}}}};

/// A request leaves its silent connection.
struct request_action {
    std::uint64_t connection_ = 0;
    std::string request_id_;
    request_fate fate_ = request_fate::outcome_unknown;
};

using liveness_action =
    std::variant<heartbeat_action, replace_action, request_action>;

/// Watches the connections of one daemon.
class connection_monitor {
public:
    explicit connection_monitor(liveness_settings settings);

    /// Starts to watch connection `id`, unique in the process.
    auto open(std::uint64_t id, connection_kind kind, std::string peer,
              time_point now) -> void;
    /// Stops watching; unknown ids are ignored.
    auto close(std::uint64_t id) -> void;
    /// A request was assigned to the connection; nothing is sent yet.
    auto begin_request(std::uint64_t id, std::string request_id,
                       repeatability repeatable, time_point now) -> void;
    /// The first byte of the request was handed to the connection.
    auto on_sent(std::uint64_t id, const std::string& request_id,
                 time_point now) -> void;
    /// A byte of the request's answer (or of its heartbeat comments) arrived.
    auto on_progress(std::uint64_t id, const std::string& request_id,
                     time_point now) -> void;
    /// A byte that belongs to no request (heartbeat answer) arrived.
    auto on_byte(std::uint64_t id, time_point now) -> void;
    /// Reading is held back by back-pressure (true) or runs again (false): the
    /// daemon's own pause is not silence of the peer. Telling the same again
    /// changes nothing.
    auto on_back_pressure(std::uint64_t id, const std::string& request_id,
                          bool back_pressure_active, time_point now) -> void;
    auto end_request(std::uint64_t id, const std::string& request_id) -> void;
    /// Returns what has become due; call at least every 100 ms. A tick that
    /// comes late after a pause of this process moves all time limits on by
    /// the pause: the peers' bytes still wait in the sockets. A replaced
    /// connection is no longer watched.
    [[nodiscard]] auto tick(time_point now) -> std::vector<liveness_action>;
    [[nodiscard]] auto size() const -> std::size_t {
        return connections_.size();
    }

private:
    struct watched_request {
        repeatability repeatable_ = repeatability::not_repeatable;
        bool sent_ = false;
        bool progressed_ = false;
        bool back_pressure_active_ = false;
        time_point last_activity_;
    };
    struct connection {
        connection_kind kind_ = connection_kind::runner;
        std::string peer_;
        time_point last_byte_;
        time_point heartbeat_sent_;
        bool heartbeat_pending_ = false;
        std::unordered_map<std::string, watched_request> requests_;
    };

    [[nodiscard]] auto find_request(std::uint64_t id,
                                    const std::string& request_id)
        -> watched_request*;
    [[nodiscard]] auto limits_of(connection_kind kind) const
        -> const liveness_limits&;
    [[nodiscard]] auto is_silent(const connection& watched,
                                 time_point now) const -> bool;
    auto replace(std::uint64_t id, const connection& watched,
                 std::vector<liveness_action>& actions) const -> void;
    auto add_heartbeat_if_due(std::uint64_t id, connection& watched,
                              time_point now,
                              std::vector<liveness_action>& actions) const
        -> void;
    auto extend_deadlines_after_pause(time_point now) -> void;

    liveness_settings settings_;
    std::unordered_map<std::uint64_t, connection> connections_;
    time_point last_tick_{};
    bool has_ticked_ = false;
};

} // namespace basilstream::coordination
