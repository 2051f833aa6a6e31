/// Estimates from the answers of servers how fast these complete requests, when
/// a server that has rejected a request has room again, and when a request that
/// waits at the daemon can be sent.
///
///     auto estimates = wait_estimates{};
///     estimates.on_answered("i-7f3a", "chat", held, now);
///     estimates.on_rejected("i-7f3a", "chat", random.fraction(), now);
///     estimates.backed_off(now);                  // {"i-7f3a"}
///     estimates.expected_wait("chat", ahead, now);
///
/// Load pattern: tens of daemons send requests to servers whose queues are
/// full, by load information that is about a second old. A third of what
/// arrives at the servers is rejected, and repeats of rejected requests use up
/// the budget for all repeats.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

class wait_estimates {
public:
    /// Handles a complete answer of a server of a service; `held` is the time
    /// since the request was sent.
    auto on_answered(const std::string& server, const std::string& service,
                     duration held, time_point now) -> void;
    /// Handles a rejection for lack of capacity of a request sent at `sent_at`.
    /// Backs off from the server for the time in which it completes a part of
    /// its requests, twice as long with each consecutive rejection. `draw` is
    /// uniformly distributed in [0, 1). Rejections of requests that were sent
    /// before the last one arrived count as one.
    auto on_rejected(const std::string& server, const std::string& service,
                     time_point sent_at, double draw, time_point now) -> void;
    /// Handles that the server has accepted a request sent at `sent_at`.
    auto on_accepted(const std::string& server, time_point sent_at) -> void;
    /// Handles the first event of a stream, `waited` after its request was sent
    /// to a server that then had `load` requests per slot.
    auto on_first_event(const std::string& service, double load,
                        duration waited) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Returns the servers from which to back off.
    [[nodiscard]] auto backed_off(time_point now) const
        -> std::vector<std::string>;
    /// Returns the time in which this daemon's requests to the service end
    /// `ahead` times; nothing if that is not known.
    [[nodiscard]] auto expected_wait(const std::string& service,
                                     std::size_t ahead, time_point now) const
        -> std::optional<duration>;
    /// Returns the expected time from sending a request to a server with `load`
    /// requests per slot to the first event of its answer: that of a server
    /// with free slots, and the time in which the server completes the requests
    /// beyond its slots. Nothing if not known.
    [[nodiscard]] auto expected_first_event(const std::string& server,
                                            const std::string& service,
                                            double load) const
        -> std::optional<duration>;
    /// Returns the least time in which servers of the service complete as many
    /// requests as their `load` per slot exceeds `bound`; nothing if not known.
    [[nodiscard]] auto expected_room(const std::string& service, double load,
                                     double bound) const
        -> std::optional<duration>;
    /// Returns the mean time for which a server holds a request: its own if
    /// known, else that of its service.
    [[nodiscard]] auto hold_time(const std::string& server,
                                 const std::string& service) const
        -> std::optional<duration>;

private:
    struct completions {
        // Running mean; zero if not known.
        duration mean_hold_{};
        // Falls exponentially, as of `counted_at_`.
        double count_ = 0;
        time_point counted_at_{};
        time_point since_{};
    };
    struct rejections {
        int consecutive_ = 0;
        time_point last_{};
        time_point until_{};
    };

    static auto add(completions& of, duration held, time_point now) -> void;

    std::map<std::string, completions> servers_;
    std::map<std::string, completions> services_;
    // Running means of the time to the first event on servers with free slots,
    // by service.
    std::map<std::string, duration> idle_first_events_;
    // Servers whose last request was rejected.
    std::map<std::string, rejections> rejections_;
};

} // namespace basilstream::coordination
