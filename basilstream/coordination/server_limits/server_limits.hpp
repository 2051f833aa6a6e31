/// Keeps the requests of all daemons together within the rates to which backend
/// servers ask to be limited.
///
///     auto limits = named_limits{};
///     limits.on_named("i-7f3a", 1.1, now);      // an answer names a limit
///     auto ownership = permit_ownership{"entry-1", takeover_delay};
///     ownership.set_daemons({"entry-1", "entry-2"}, now);
///     auto ledger = permit_ledger{};
///     if (ownership.owner_of("i-7f3a") == "entry-1") {
///         const auto permit = ledger.reserve("i-7f3a", 1.1, max_wait, now);
///     }
///
/// A server names its limit in its answers for as long as the limit applies.
/// One daemon, its owner, hands out permits to send single requests to it. The
/// owner is chosen by highest random weight hashing, so that all daemons with
/// the same members agree on it without messages.
///
/// Load pattern: limits of about one request per second with 360 daemons. Any
/// fixed share of each daemon would allow bursts of many times the limit, or
/// leave most of it unused.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// The latest statement of a backend server about its limit.
struct named_limit {
    std::string server_;
    /// Start time of the server's process in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_ = 0;
    /// Requests per second of all daemons together. Empty if the server no
    /// longer limits them.
    std::optional<double> per_second_;
    /// When the answer that states it arrived at a daemon.
    time_point stated_at_{};
};

/// Latest limit of each backend server.
class named_limits {
public:
    /// Adds a server or sets the start time of its current process. The limit
    /// of an earlier process is dropped.
    auto set_server(const std::string& server, std::int64_t started_at) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Handles an answer that names a limit, which must be finite and not
    /// negative. Returns whether the limit has changed.
    auto on_named(const std::string& server, double per_second, time_point now)
        -> bool;
    /// Handles an answer that names none, to a request sent at `sent_at`. An
    /// answer to a request sent before the limit was last named is ignored,
    /// because it may be older. Returns whether the limit has changed.
    auto on_not_named(const std::string& server, time_point sent_at,
                      time_point now) -> bool;
    /// Handles another daemon's knowledge, with `stated_at_` converted to the
    /// local clock. The later statement counts. Returns whether the limit has
    /// changed.
    auto merge(const named_limit& limit) -> bool;

    /// Returns the limit of a server, empty if it has none.
    [[nodiscard]] auto limit_of(const std::string& server) const
        -> std::optional<double>;
    /// Returns the latest statement of a server, empty if it made none.
    [[nodiscard]] auto find(const std::string& server) const
        -> std::optional<named_limit>;
    /// Returns the limits that have changed since `since`, for other daemons.
    [[nodiscard]] auto changed_since(time_point since) const
        -> std::vector<named_limit>;
    /// Returns the servers that have a limit.
    [[nodiscard]] auto servers() const -> std::vector<std::string>;
    /// Returns the number of servers that have a limit.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry {
        named_limit limit_;
        time_point changed_at_{};
    };

    auto remove_unknown(time_point now) -> void;

    // Of all known servers.
    std::map<std::string, std::int64_t> start_times_;
    std::map<std::string, entry> entries_;
};

/// A permit to send one request to a backend server, or its refusal.
struct permit {
    bool granted_ = false;
    /// How long to wait before the request is sent; if not granted, before a
    /// permit is asked for again.
    duration wait_{};
};

/// Schedules the permits of the servers that this daemon owns (generic cell
/// rate algorithm, ITU-T I.371).
class permit_ledger {
public:
    /// Reserves the next free time within the rate if that is not later than
    /// `max_wait` from now. The wait of a refusal with a `max_wait` above zero
    /// also spreads the refused callers over the time at which the rate can
    /// serve them. Rates below a minimum count as the minimum, so that the end
    /// of a limit is noticed.
    [[nodiscard]] auto reserve(const std::string& server, double per_second,
                               duration max_wait, time_point now) -> permit;
    auto remove_server(const std::string& server) -> void;

private:
    struct schedule {
        double per_second_ = 0;
        /// When the next request conforms to the rate without a burst.
        time_point next_request_{};
        /// When the next refused caller should return.
        time_point next_return_{};
    };

    std::map<std::string, schedule> schedules_;
};

/// Returns the daemon with the highest random weight for the server; empty if
/// there are no daemons.
[[nodiscard]] auto select_permit_owner(const std::string& server,
                                       const std::vector<std::string>& daemons)
    -> std::string;

/// Determines which daemon owns each server. After a change of members a new
/// owner waits, because daemons that have not noticed the change still use
/// permits of the former owner.
class permit_ownership {
public:
    permit_ownership(std::string self, duration takeover_delay)
        : self_{std::move(self)}, takeover_delay_{takeover_delay} {}

    /// Sets the daemons considered alive.
    auto set_daemons(std::vector<std::string> daemons, time_point now) -> void;
    /// Returns the owner; this daemon if set_daemons() was never called.
    [[nodiscard]] auto owner_of(const std::string& server) const -> std::string;
    /// Returns how long this daemon must wait before it hands out permits, and
    /// nothing if it does not own the server.
    [[nodiscard]] auto takeover_wait(const std::string& server,
                                     time_point now) const
        -> std::optional<duration>;

private:
    struct membership_view {
        std::vector<std::string> daemons_;
        time_point since_{};
    };

    std::string self_;
    duration takeover_delay_;
    // The views in force within the takeover delay, the current one last.
    std::deque<membership_view> views_;
};

} // namespace basilstream::coordination
