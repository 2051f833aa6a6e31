/// Detects connections whose peer has stopped answering: by progress deadlines
/// while requests are in flight, by heartbeats while the connection is idle.
///
///     auto monitor = connection_monitor{settings};
///     monitor.open(7, connection_kind::runner, "10.0.0.4:80", now);
///     monitor.begin_request(7, request_id, repeatability::repeatable, now);
///     for (auto& action : monitor.tick(now)) { ... }
///
/// Does no I/O of its own. Not safe for concurrent use.
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

/// What is at the other end of a connection; `peer` is another daemon.
enum class connection_kind { runner, service, peer, log, caller };

/// Names of connection kinds, for logs and metrics.
inline constexpr auto connection_kind_names =
    name_table<connection_kind, 5>{{{{connection_kind::runner, "runner"},
                                     {connection_kind::service, "service"},
                                     {connection_kind::peer, "peer"},
                                     {connection_kind::log, "log"},
                                     {connection_kind::caller, "caller"}}}};

/// Time limits for one kind of connection; zero disables a check.
struct liveness_limits {
    /// Time from sending a request (or assigning it, while it is not sent) to
    /// the first byte of its answer.
    duration first_byte_ = seconds{10};
    /// Time between two bytes of an answer.
    duration progress_ = seconds{2};
    /// Idle time after which a heartbeat is sent.
    duration heartbeat_interval_ = seconds{5};
    /// Time to wait for the answer to a heartbeat.
    duration heartbeat_timeout_ = seconds{1};
};

/// Limits for each kind of connection.
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

/// Whether a request may be sent again after it was sent once: from the start
/// (`repeatable`), from the position reached (`resumable`), or not at all.
enum class repeatability { repeatable, resumable, not_repeatable };

/// Asks the caller to send a heartbeat on this connection and to call
/// on_byte() when the answer arrives.
struct heartbeat_action {
    std::uint64_t connection_ = 0;
};

/// Asks the caller to close the connection, never to reuse it, and to open a
/// new one to `peer_`.
struct replace_action {
    std::uint64_t connection_ = 0;
    connection_kind kind_ = connection_kind::runner;
    std::string peer_;
};

/// What to do with a request that was on a replaced connection.
enum class request_fate {
    /// No byte was sent: send it on another connection.
    send_elsewhere,
    /// Retry it on another connection, within the retry budget.
    repeat,
    /// Resume it on another connection at the next position.
    resume,
    /// Fail it with `error_code::outcome_unknown`; never retry it.
    outcome_unknown,
};

/// Names of fates, for logs and metrics.
inline constexpr auto request_fate_names = name_table<request_fate, 4>{
    {{{request_fate::send_elsewhere, "send_elsewhere"},
      {request_fate::repeat, "repeat"},
      {request_fate::resume, "resume"},
      {request_fate::outcome_unknown, "outcome_unknown"}}}};

/// Asks the caller to apply `fate_` to a request of a replaced connection.
struct request_action {
    std::uint64_t connection_ = 0;
    std::string request_id_;
    request_fate fate_ = request_fate::outcome_unknown;
};

using liveness_action =
    std::variant<heartbeat_action, replace_action, request_action>;

/// Monitors the connections of one daemon.
class connection_monitor {
public:
    explicit connection_monitor(liveness_settings settings);

    /// Starts to monitor connection `id`, which is unique in the process.
    auto open(std::uint64_t id, connection_kind kind, std::string peer,
              time_point now) -> void;
    /// Stops monitoring a connection; unknown ids are ignored.
    auto close(std::uint64_t id) -> void;
    /// Records that a request was assigned to the connection but not sent yet.
    auto begin_request(std::uint64_t id, std::string request_id,
                       repeatability repeatable, time_point now) -> void;
    /// Records that the first byte of the request was written to the
    /// connection.
    auto on_sent(std::uint64_t id, const std::string& request_id,
                 time_point now) -> void;
    /// Records that bytes of the request's answer, or heartbeat comments in it,
    /// have arrived.
    auto on_progress(std::uint64_t id, const std::string& request_id,
                     time_point now) -> void;
    /// Records that bytes outside any request, such as a heartbeat answer, have
    /// arrived.
    auto on_byte(std::uint64_t id, time_point now) -> void;
    /// Records whether back-pressure currently stops this daemon from reading
    /// the answer. Until reading resumes, the request is not considered
    /// stalled, because the pause is the daemon's own. Reporting the current
    /// state again has no effect.
    auto on_back_pressure(std::uint64_t id, const std::string& request_id,
                          bool back_pressure_active, time_point now) -> void;
    /// Stops monitoring a request; unknown ids are ignored.
    auto end_request(std::uint64_t id, const std::string& request_id) -> void;
    /// Returns the actions that are due; call it at least every 100 ms. If this
    /// process was paused since the last call, all deadlines are extended by
    /// the pause, because received bytes may still wait in the sockets. A
    /// replaced connection is no longer monitored.
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
        /// When the request was last assigned, sent, answered in part, or
        /// affected by a change of back-pressure.
        time_point last_activity_;
    };
    struct connection {
        connection_kind kind_ = connection_kind::runner;
        std::string peer_;
        time_point last_byte_;
        /// Only valid while `heartbeat_pending_`.
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
    auto add_replacement_actions(std::uint64_t id, const connection& watched,
                                 std::vector<liveness_action>& actions) const
        -> void;
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
