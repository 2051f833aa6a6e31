/// Daemons, as processes of their own, between servers and clients that write
/// their bytes to plain sockets, so that answers can be framed, cut and ended
/// in any way.
///
///     auto world = raw_deployment{{.daemons_ = 7, .routes_ = {...}}};
///     world.add_server([](const auto& request, const auto& connection) {
///         connection->write("HTTP/1.1 200 OK\r\n\r\nid: 1\nda");
///         connection->close();
///     });
///     world.play(seconds{5}, [&] {
///         world.thread().every(milliseconds{20}, [&] {
///             world.send(daemon, bytes, [](const raw_answer& answer) {...});
///         });
///     });
///
/// Servers, clients and the store run on one thread. Only play() and the
/// destructor may be called on another one.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/transport/http_message/http_message.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"
#include "testing/fault_soak/daemon_process.hpp"
#include "testing/fault_soak/fault_proxy.hpp"
#include "testing/fault_soak/stand_in_store.hpp"

namespace basilstream::testing {

/// A connection that a server has accepted. Answers status checks itself.
class raw_connection final
    : public transport::tcp_observer,
      public std::enable_shared_from_this<raw_connection> {
public:
    using handler = std::function<void(const transport::request_message&,
                                       const std::shared_ptr<raw_connection>&)>;

    raw_connection(transport::reactor_thread& thread, int descriptor,
                   handler on_request);
    /// Sends bytes as they are; nothing once the connection has ended.
    auto write(std::string_view bytes) -> void;
    /// Ends the connection in order, or resets it.
    auto close() -> void;
    auto reset() -> void;
    /// Reads nothing for this time.
    auto pause_reading(milliseconds time) -> void;
    [[nodiscard]] auto open() const -> bool { return stream_ != nullptr; }
    /// Bytes that the peer has not taken yet.
    [[nodiscard]] auto buffered() const -> std::size_t;

    auto on_data(std::string_view bytes) -> void override;
    auto on_closed(transport::close_reason reason) -> void override;

private:
    transport::reactor_thread& thread_;
    handler on_request_;
    transport::request_reader reader_;
    std::unique_ptr<transport::tcp_stream> stream_;
};

/// A backend server that the store announces.
class raw_server {
public:
    /// Announces `slots` as the number of requests that it runs at once.
    raw_server(std::string id, transport::reactor_thread& thread,
               stand_in_store& store, bool holds_model, int slots,
               raw_connection::handler on_request);
    raw_server(const raw_server&) = delete;
    auto operator=(const raw_server&) -> raw_server& = delete;
    ~raw_server();

    [[nodiscard]] auto id() const -> const std::string& { return id_; }
    /// Announces a process that started at `started_at`, in Unix milliseconds.
    auto announce(std::int64_t started_at) -> void;
    [[nodiscard]] auto address() const -> std::string {
        return listener_->address();
    }
    /// Connections accepted from now on are not read for this time.
    auto set_read_delay(milliseconds delay) -> void { read_delay_ = delay; }
    /// Removes the announcement.
    auto withdraw() -> void;
    /// Refuses connections from now on and gives up those it has: resets them,
    /// or closes them in order.
    auto crash(bool reset) -> void;
    /// Accepts connections again, at a new address, under this id. Announce the
    /// server afterwards.
    auto reopen(std::string id) -> void;
    [[nodiscard]] auto running() const -> bool { return listener_ != nullptr; }

private:
    auto open() -> void;

    std::string id_;
    transport::reactor_thread& thread_;
    raw_connection::handler on_request_;
    stand_in_store& store_;
    const bool holds_model_;
    const int slots_;
    milliseconds read_delay_{0};
    std::vector<std::shared_ptr<raw_connection>> connections_;
    std::unique_ptr<transport::tcp_listener> listener_;
    // Sockets that keep the ports of ended processes, so that their callers do
    // not reach others.
    std::vector<int> held_ports_;
};

/// What a client has received until its answer or its connection ended.
struct raw_answer {
    int status_ = 0;
    transport::header_list headers_;
    std::string body_;
    /// Whether the framing of the answer says that it is whole.
    bool complete_ = false;
    duration took_{};
};

/// A route for all paths below `prefix_`.
struct raw_route {
    std::string prefix_;
    /// "idempotent", "non_idempotent" or "streaming".
    std::string kind_;
    bool resumable_ = false;
    int attempts_ = 3;
    milliseconds objective_{400};
};

/// How the links between a daemon and all servers fail.
enum class link_fault {
    /// Open connections and those being made hang.
    hang,
    /// Open connections are reset, new ones refused.
    reset,
    /// Open connections go on, new ones are refused.
    refuse_new,
    /// New connections are made, but no connection carries anything.
    carry_nothing,
    /// New connections are made; any connection is reset by the first bytes.
    reset_requests,
};

/// What a deployment consists of.
struct raw_deployment_options {
    int daemons_ = 2;
    std::vector<raw_route> routes_ = {};
    double retry_ratio_ = 1;
    double retry_allowance_ = 1000;
    /// Adapters of the model "m" that each server holds; 0 for servers without
    /// models.
    int adapters_ = 0;
    /// Requests that servers announce to run at once.
    int announced_slots_ = 32;
    /// The first daemons, whose links to servers pass proxies and can fail.
    int daemons_with_faults_ = 0;
    /// Whether daemons reach the store over a proxy, see store_link().
    bool has_store_link_ = false;
    /// Time from a SIGTERM until a daemon has to be gone.
    int grace_seconds_ = 4;
    milliseconds route_timeout_{8000};
    /// Limits of the configuration.
    std::size_t body_bytes_ = std::size_t{1} << 20U;
    milliseconds header_timeout_{3000};
    milliseconds idle_timeout_{15'000};
    /// Memory of the VM of each daemon in MB; 0 for no such setting.
    int memory_mb_ = 0;
    /// Whether the addresses of all listeners are known from the start.
    bool has_known_addresses_ = false;
    /// Loopback address of the daemons' listeners, if their addresses are
    /// known.
    std::string daemon_ip_ = "127.0.0.1";
};

class raw_deployment {
public:
    using answer_handler = std::function<void(const raw_answer&)>;

    explicit raw_deployment(raw_deployment_options options);
    raw_deployment(const raw_deployment&) = delete;
    auto operator=(const raw_deployment&) -> raw_deployment& = delete;
    ~raw_deployment();

    /// Adds a server, named "s" and its number from 0.
    auto add_server(raw_connection::handler on_request) -> raw_server&;
    /// Lets the daemons find each other, calls `begin` on the thread of the
    /// world, and stops the thread `length` later.
    auto play(duration length, std::function<void()> begin) -> void;
    /// The same, but calls `script` on the calling thread and stops the
    /// world's thread when it returns.
    auto play(const std::function<void()>& script) -> void;

    /// Sends a request to a daemon on a connection of its own and hands its
    /// answer over. Reads nothing for `pause` once the answer has begun.
    auto send(int daemon, const std::string& bytes, answer_handler done,
              milliseconds pause = milliseconds{0}) -> void;
    /// Sends a request to a daemon on a connection that takes nothing of its
    /// answer, until the world ends. Its segments are as small as those of a
    /// network, so that the kernel of the daemon takes no more than there.
    auto send_and_read_nothing(int daemon, const std::string& bytes) -> void;
    /// Makes the links between a daemon and all servers fail, or work again.
    /// Call for the first `daemons_with_faults_` only.
    auto cut_links(int daemon, link_fault fault) -> void;
    auto heal_links(int daemon) -> void;
    /// Returns how many connections a daemon has made over such links.
    [[nodiscard]] auto connections_made(int daemon) const -> int;
    /// Stores a config in which routes have this time-out.
    auto change_route_timeout(milliseconds timeout) -> void;
    /// Stores a config with one more route.
    auto add_route(raw_route route) -> void;
    [[nodiscard]] auto process(int index) -> daemon_process& {
        return *daemons_[index];
    }
    /// Kills a daemon, if it still runs, and starts it anew.
    auto restart_daemon(int index) -> void;

    /// Returns the largest resident size of any daemon so far, in bytes.
    [[nodiscard]] auto peak_memory() const -> std::size_t;
    [[nodiscard]] auto store() -> stand_in_store& { return store_; }
    /// The proxy between daemons without faults and the store; only with
    /// `has_store_link_`.
    [[nodiscard]] auto store_link() -> fault_proxy& { return *store_link_; }
    [[nodiscard]] auto thread() -> transport::reactor_thread& {
        return thread_;
    }
    [[nodiscard]] auto time() const -> const clock& { return clock_; }
    [[nodiscard]] auto daemons() const -> int { return options_.daemons_; }

private:
    auto start_daemon(int index) -> void;
    // Lets the daemons find each other, and calls `begin` afterwards.
    auto settle(std::function<void()> begin) -> void;
    [[nodiscard]] auto store_address(int index) const -> std::string;
    // Returns an announcement with the address of the daemon's proxy.
    auto view_server(int daemon, std::string value) -> std::string;

    raw_deployment_options options_;
    steady_clock clock_;
    transport::reactor_thread thread_;
    stand_in_store store_;
    std::vector<std::unique_ptr<raw_server>> servers_;
    // For each daemon whose links may fail: proxies by the servers' addresses.
    std::vector<std::map<std::string, std::unique_ptr<fault_proxy>>> links_;
    // Addresses of the store as these daemons see it.
    std::vector<std::string> store_views_;
    std::unique_ptr<fault_proxy> store_link_;
    // Sockets of clients that read nothing.
    std::vector<int> idle_clients_;
    // Settings and logs of the daemons.
    std::string directory_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    int config_version_ = 1;
};

} // namespace basilstream::testing
