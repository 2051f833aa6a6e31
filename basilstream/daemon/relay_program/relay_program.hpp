/// The relaying daemon put together: one thread for traffic and decisions, one
/// for messages between daemons; listeners, store, peers, start and stop.
///
///     auto daemon = relay_program::start(settings, *place, [] { ... });
///     if (!daemon) { return report(daemon.error()); }
///     (*daemon)->request_stop();
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilstream/base/error/error.hpp"
#include "basilstream/daemon/installation/installation.hpp"
#include "basilstream/daemon/relay_settings/relay_settings.hpp"

namespace basilstream::daemon {

/// A running daemon.
class relay_program {
public:
    /// Starts a daemon. `ended` is called once, from another thread, when a
    /// requested stop is complete. Fails when an address is taken. `place`
    /// must outlive the daemon.
    [[nodiscard]] static auto start(const relay_daemon_settings& settings,
                                    const installation& place,
                                    std::function<void()> ended)
        -> result<std::unique_ptr<relay_program>>;

    relay_program() = default;
    relay_program(const relay_program&) = delete;
    auto operator=(const relay_program&) -> relay_program& = delete;
    virtual ~relay_program() = default;

    /// Begins a graceful shutdown. Any thread; repeats change nothing.
    virtual auto request_stop() -> void = 0;
    /// Puts changed settings in force, as far as a running daemon can. Any
    /// thread.
    virtual auto reload(const relay_daemon_settings& settings) -> void = 0;
    /// "IP:PORT" for callers.
    [[nodiscard]] virtual auto caller_address() const -> std::string = 0;
    /// "IP:PORT" for metrics and basilctl; empty if the settings name none.
    [[nodiscard]] virtual auto operator_address() const -> std::string = 0;
    /// "IP:PORT" for clients that ask where to connect.
    [[nodiscard]] virtual auto directory_address() const -> std::string = 0;
};

} // namespace basilstream::daemon
