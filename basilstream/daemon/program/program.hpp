/// Assembles the daemon's threads, clients and components, and controls their
/// startup and shutdown order.
///
///     auto daemon = program::start(settings, [] { /* shutdown complete */ });
///     if (!daemon) { return report(daemon.error()); }
///     (*daemon)->request_stop();
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilstream/base/error/error.hpp"
#include "basilstream/daemon/settings/settings.hpp"

namespace basilstream::daemon {

/// A running daemon.
class program {
public:
    /// Starts a daemon. `on_shutdown_complete` is called once, from another
    /// thread, when a requested shutdown is complete. Fails if an address is in
    /// use.
    [[nodiscard]] static auto start(const daemon_settings& settings,
                                    std::function<void()> on_shutdown_complete)
        -> result<std::unique_ptr<program>>;

    program() = default;
    program(const program&) = delete;
    auto operator=(const program&) -> program& = delete;
    virtual ~program() = default;

    /// Begins a graceful shutdown. Requests in progress are never cut off, even
    /// if this is called repeatedly. Safe to call from any thread.
    virtual auto request_stop() -> void = 0;
    /// Returns the "IP:PORT" for callers.
    [[nodiscard]] virtual auto caller_address() const -> std::string = 0;
    /// Returns the "IP:PORT" for operators.
    [[nodiscard]] virtual auto admin_address() const -> std::string = 0;
    /// Returns the "IP:PORT" for other daemons.
    [[nodiscard]] virtual auto peer_address() const -> std::string = 0;
};

} // namespace basilstream::daemon
