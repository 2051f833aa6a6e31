/// Assembles and runs the relaying daemon: its listeners, record store client,
/// links to other daemons, start-up and shutdown. One thread handles traffic
/// and makes all decisions; a second one exchanges messages with other
/// daemons.
///
///     auto daemon = relay_program::start(settings, *deployment, [] { ... });
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
    /// Starts a daemon. `on_stopped` is called once, from another thread, when
    /// a requested stop is complete. A listener whose address is not available
    /// opens as soon as it is; returns an error if the settings hold a text
    /// that is no address. `deployment` must outlive the daemon.
    [[nodiscard]] static auto start(const relay_daemon_settings& settings,
                                    const installation& deployment,
                                    std::function<void()> on_stopped)
        -> result<std::unique_ptr<relay_program>>;

    relay_program() = default;
    relay_program(const relay_program&) = delete;
    auto operator=(const relay_program&) -> relay_program& = delete;
    virtual ~relay_program() = default;

    /// Begins a graceful shutdown. Thread-safe. The grace period starts at the
    /// first call.
    virtual auto request_stop() -> void = 0;
    /// Applies the settings that can change at run time, which are the retry
    /// limits, and ignores the others. Thread-safe.
    virtual auto reload(const relay_daemon_settings& settings) -> void = 0;
    /// Returns the "IP:PORT" that accepts requests of callers; that of the
    /// settings if it was not available at the start, as below.
    [[nodiscard]] virtual auto caller_address() const -> std::string = 0;
    /// Returns the "IP:PORT" for metrics and basilctl.
    [[nodiscard]] virtual auto operator_address() const -> std::string = 0;
    /// Returns the "IP:PORT" at which clients look up daemon endpoints.
    [[nodiscard]] virtual auto directory_address() const -> std::string = 0;
};

} // namespace basilstream::daemon
