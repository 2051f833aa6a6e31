/// Loopback TCP proxy with faults.
///
///     auto proxy = fault_proxy{thread, "127.0.0.1:9000"};
///     proxy.set_delay(milliseconds{100});
///     proxy.reset_all();
///
/// Use on the reactor's thread only.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

namespace basilstream::testing {

/// What the proxy does with bytes that arrive.
enum class proxy_mode {
    forward,
    /// Drops the bytes of both directions; connections stay open.
    silent,
    /// Drops the bytes towards the client only.
    one_way,
    /// Resets the connection on which bytes arrive.
    reset,
};

class fault_proxy {
public:
    /// Forwards to `target` ("IP:PORT"), which need not listen yet.
    fault_proxy(transport::reactor_thread& thread, std::string target);
    fault_proxy(const fault_proxy&) = delete;
    auto operator=(const fault_proxy&) -> fault_proxy& = delete;
    ~fault_proxy();

    [[nodiscard]] auto address() const -> std::string;
    auto set_target(std::string target) -> void { target_ = std::move(target); }
    /// Applies to bytes that arrive from now on. A connection that has lost
    /// bytes stays silent for good.
    auto set_mode(proxy_mode mode) -> void { mode_ = mode; }
    auto set_delay(milliseconds delay) -> void { delay_ = delay; }
    /// Resets all connections.
    auto reset_all() -> void;
    /// Refuses new connections, or lets them hang while they are made.
    auto stop_accepting(bool hang) -> void;
    /// Accepts connections at the same address again.
    auto resume_accepting() -> void;
    /// Number of connections accepted so far.
    [[nodiscard]] auto accepted() const -> int { return accepted_; }

private:
    class connection;
    auto accept(int descriptor) -> void;

    transport::reactor_thread& thread_;
    std::string target_;
    proxy_mode mode_ = proxy_mode::forward;
    milliseconds delay_{0};
    std::string address_;
    std::unique_ptr<transport::tcp_listener> listener_;
    // Sockets that keep the port while no connections are accepted: one that is
    // bound, and those that fill its queue so that others hang.
    std::vector<int> held_;
    int accepted_ = 0;
    std::unordered_set<std::shared_ptr<connection>> connections_;
};

} // namespace basilstream::testing
