/// Selects the daemon addresses that callers should use, and controls the
/// graceful shutdown of a daemon.
///
///     auto directory = endpoint_directory{settings, random};
///     directory.update(endpoints);
///     directory.answer("zone-a");
///
///     auto drain = drain_controller{drain_settings{}};
///     drain.request_stop(now);
///     drain.tick(load, now);
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {

/// A daemon's address for callers.
struct endpoint {
    std::string name_;
    std::string address_;
    std::string zone_;
    /// False for a daemon that is draining, suspected or not ready.
    bool serving_ = true;
    /// Requests in progress as of the last gossip update.
    std::uint32_t load_ = 0;
};

/// Settings of an endpoint_directory.
struct discovery_settings {
    /// How long callers may cache an answer.
    milliseconds time_to_live_ = milliseconds{5000};
    std::size_t max_addresses_ = 4;
    /// The caller's zone counts as overloaded if its mean load per daemon is
    /// above this multiple of the mean load of all daemons and also above
    /// near_load_floor_.
    double near_load_factor_ = 2.0;
    /// Requests in progress per daemon up to which a zone is never overloaded.
    double near_load_floor_ = 8.0;
};

/// The answer to a caller.
struct endpoint_answer {
    std::vector<std::string> addresses_;
    milliseconds time_to_live_{};
};

/// Chooses addresses for callers.
class endpoint_directory {
public:
    endpoint_directory(discovery_settings settings, random_source& random);

    /// Replaces the list of daemons.
    auto update(std::vector<endpoint> endpoints) -> void;
    /// Sets the order of the other zones by round-trip time from the zone
    /// `from`, nearest first. Zones missing from `nearest` rank last.
    auto set_distances(std::string from, std::vector<std::string> nearest)
        -> void;
    /// Returns at most `max_addresses_` addresses in the order in which the
    /// caller should try them: nearest zones first, and within a zone in random
    /// order, weighted towards daemons with fewer requests in progress. Zones
    /// are ignored while the caller's zone is overloaded.
    /// Fails with `not_ready` (`not_run`) if no daemon is serving.
    [[nodiscard]] auto answer(std::string_view caller_zone)
        -> result<endpoint_answer>;

private:
    struct distance_row {
        std::string from_;
        std::vector<std::string> nearest_;
    };
    [[nodiscard]] auto rank(std::string_view from, std::string_view zone) const
        -> std::size_t;
    [[nodiscard]] auto is_zone_overloaded(std::string_view zone) const -> bool;

    discovery_settings settings_;
    random_source& random_;
    std::vector<endpoint> endpoints_;
    std::vector<distance_row> distances_;
};

/// Phases of a graceful shutdown, in order.
enum class drain_phase {
    serving,
    /// Left out of new endpoint answers; still accepting callers with a cached
    /// answer.
    withdrawn,
    /// Owned shards are being handed over; still accepting requests.
    handing_over,
    /// New requests are rejected as not run; requests in progress continue.
    finishing,
    /// The process may exit.
    ended,
};

/// Names of phases, for status and logs.
inline constexpr auto drain_phase_names =
    name_table<drain_phase, 5>{{{{drain_phase::serving, "serving"},
                                 {drain_phase::withdrawn, "withdrawn"},
                                 {drain_phase::handing_over, "handing_over"},
                                 {drain_phase::finishing, "finishing"},
                                 {drain_phase::ended, "ended"}}}};

/// Periods of a graceful shutdown.
struct drain_settings {
    /// Must be at least the time to live of the endpoint answers.
    duration time_to_live_ = seconds{5};
    /// Added to the time to live for answers in transit and for members with
    /// stale gossip.
    duration margin_ = seconds{2};
    /// Time after which a hand-over is abandoned, such as in a log outage. The
    /// shards can then be claimed when their leases expire.
    duration hand_over_timeout_ = seconds{10};
};

/// The work that the daemon still has.
struct drain_load {
    std::size_t requests_in_progress_ = 0;
    bool owns_shards_ = false;
};

/// An action that the daemon has to carry out; each is returned once.
enum class drain_action {
    /// Announce the shutdown to peers, which leave this daemon out of endpoint
    /// answers.
    withdraw,
    /// Release shards and order queues.
    hand_over,
    /// Reject new requests as not run with a retry hint; close idle
    /// connections.
    stop_accepting,
    /// Exit the process.
    end,
};

/// Names of drain actions, for logs.
inline constexpr auto drain_action_names = name_table<drain_action, 4>{
    {{{drain_action::withdraw, "withdraw"},
      {drain_action::hand_over, "hand_over"},
      {drain_action::stop_accepting, "stop_accepting"},
      {drain_action::end, "end"}}}};

/// State machine of a graceful shutdown. It never ends while a request is in
/// progress, however often a stop is requested.
class drain_controller {
public:
    explicit drain_controller(drain_settings settings);

    /// Requests a stop, such as on SIGTERM. Later calls are only counted.
    auto request_stop(time_point now) -> void;
    /// Advances by at most one phase and returns the action that became due.
    /// `load` must have been measured after the last action was carried out.
    [[nodiscard]] auto tick(const drain_load& load, time_point now)
        -> std::vector<drain_action>;
    [[nodiscard]] auto phase() const -> drain_phase { return phase_; }
    /// Returns whether new requests of callers are accepted.
    [[nodiscard]] auto accepting() const -> bool {
        return phase_ < drain_phase::finishing;
    }
    [[nodiscard]] auto stop_requests() const -> std::uint32_t {
        return stop_requests_;
    }

private:
    auto enter(drain_phase phase, time_point now) -> void;
    [[nodiscard]] auto may_advance(const drain_load& load, time_point now) const
        -> bool;

    drain_settings settings_;
    drain_phase phase_ = drain_phase::serving;
    // When the phase began or, before the first one, the stop was requested.
    time_point since_{};
    std::uint32_t stop_requests_ = 0;
};

} // namespace basilstream::coordination
