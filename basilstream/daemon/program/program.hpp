/// The daemon put together: threads, clients, parts and their order of start
/// and stop.
///
///     auto daemon = program::start(settings, [] { /* all is done */ });
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
    /// Starts a daemon. `ended` is called once, from another thread, when a
    /// requested stop is complete. Fails when an address is taken.
    [[nodiscard]] static auto start(const daemon_settings& settings,
                                    std::function<void()> ended)
        -> result<std::unique_ptr<program>>;

    program() = default;
    program(const program&) = delete;
    auto operator=(const program&) -> program& = delete;
    virtual ~program() = default;

    /// Begins a graceful shutdown; no request in progress is cut off, however
    /// often it is called. Any thread.
    virtual auto request_stop() -> void = 0;
    /// "IP:PORT" for callers.
    [[nodiscard]] virtual auto caller_address() const -> std::string = 0;
    /// "IP:PORT" for operators.
    [[nodiscard]] virtual auto admin_address() const -> std::string = 0;
    /// "IP:PORT" for other daemons.
    [[nodiscard]] virtual auto peer_address() const -> std::string = 0;
};

} // namespace basilstream::daemon
