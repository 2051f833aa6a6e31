/// Opens the listeners of a daemon. A listener whose address is not available
/// is tried again until it is: the process before may still hold the address,
/// and so may a connection of another process on the same host, for as long as
/// it is open and the TIME_WAIT after it. Meanwhile the daemon serves at the
/// addresses that it has.
///
///     auto open = listeners{{clock, log, metrics}};
///     if (auto added = open.add(listener_kind::readiness,
///                               [&] { return open_readiness(); }); !added) {
///         return added;   // no address: it will never open
///     }
///     thread.every(milliseconds{50}, [&] { open.tick(); });
///     if (open.is_open(listener_kind::readiness)) { ... }
///
/// Not thread-safe.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Whom a listener is for.
enum class listener_kind {
    callers,
    readiness,
    directory,
    metrics,
    peers,
    /// Requests that other daemons forward.
    forwarding,
};

inline constexpr auto listener_kind_names =
    name_table<listener_kind, 6>{{{{listener_kind::callers, "callers"},
                                   {listener_kind::readiness, "readiness"},
                                   {listener_kind::directory, "directory"},
                                   {listener_kind::metrics, "metrics"},
                                   {listener_kind::peers, "peers"},
                                   {listener_kind::forwarding, "forwarding"}}}};

/// Dependencies of listeners; each must outlive them.
struct listeners_context {
    const clock& clock_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

/// A listener as operators see it.
struct listener_status {
    listener_kind kind_;
    /// "IP:PORT" in use; empty if it is not open.
    std::string address_;
    /// Why the last attempt failed; empty if it is open.
    std::string detail_;
    int attempts_ = 0;
    /// Since the first attempt; up to the one that opened it.
    duration waited_{};
};

class listeners {
public:
    /// Opens a listener and returns its "IP:PORT".
    using opener = std::function<result<std::string>()>;

    explicit listeners(const listeners_context& context);

    /// Opens a listener with `open`, now or at a later tick(). Fails only if it
    /// cannot ever open, which is any other error than `unavailable`.
    [[nodiscard]] auto add(listener_kind kind, opener open) -> result<void>;
    /// Makes the attempts that are due. Call every 100 ms or so.
    auto tick() -> void;

    [[nodiscard]] auto is_open(listener_kind kind) const -> bool;
    [[nodiscard]] auto status() const -> std::vector<listener_status>;

private:
    struct listener {
        listener_kind kind_;
        opener open_;
        time_point first_attempt_at_;
        time_point next_attempt_at_;
        time_point next_line_at_;
        std::string address_ = {};
        std::string detail_ = {};
        int attempts_ = 0;
        duration waited_{};
    };

    auto attempt(listener& target) -> result<void>;
    auto log_failure(listener& target, const error& failure) -> void;

    listeners_context context_;
    std::vector<listener> listeners_;
};

} // namespace basilstream::daemon
