/// Relays clients' requests to the backend servers of the services that
/// operators' routes name. Client side, backend side and all decisions share
/// one thread.
///
///     auto traffic = relay{{clock, random, thread, log, metrics}, settings,
///                          dialect, supply};
///     traffic.open();
///     traffic.set_config(config);
///     traffic.set_backend(server);
///     thread.every(milliseconds{50}, [&] { traffic.sweep(); });
///
/// On the reactor's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/backend_directory/backend_directory.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/coordination/route_table/route_table.hpp"
#include "basilstream/daemon/backend_dialect/backend_dialect.hpp"
#include "basilstream/daemon/request_journal/request_journal.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"
#include "basilstream/transport/reactor/reactor.hpp"

namespace basilstream::daemon {

/// What a relay gets from its process; all outlive it.
struct relay_context {
    const clock& clock_;
    random_source& random_;
    transport::reactor_thread& thread_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

/// A model, or an adapter of it, that a request asks for.
struct model_reference {
    std::string service_;
    std::string model_;
    /// Empty for the model itself.
    std::string adapter_;
};

/// Brings models and adapters to runners.
class model_provisioner {
public:
    model_provisioner() = default;
    model_provisioner(const model_provisioner&) = delete;
    auto operator=(const model_provisioner&) -> model_provisioner& = delete;
    virtual ~model_provisioner() = default;

    /// Counts a request for `want` that takes the work of so many tokens.
    /// `served`: a runner has it.
    virtual auto on_request(const model_reference& model, std::int64_t tokens,
                            bool served) -> void = 0;
    /// Returns how long it takes until a runner has it; nothing when unknown.
    [[nodiscard]] virtual auto expected_wait(const model_reference& model) const
        -> std::optional<milliseconds> = 0;
};

/// Settings of a relay.
struct relay_settings {
    /// This daemon's name among the others.
    std::string name_ = {};
    /// "IP:PORT" for clients.
    std::string address_;
    /// Retries allowed for each request to a service, over all daemons.
    double retry_ratio_ = 0.1;
    /// Retries allowed besides in retry_window_, for all daemons together.
    double retry_allowance_ = 10;
    duration retry_window_ = seconds{10};
    /// A request waits for a model or adapter at most this many times its
    /// route's objective: clients leave streams that begin much later.
    double max_wait_objective_multiple_ = 2;
    /// Hint given with a refusal when nothing better is known.
    milliseconds retry_hint_{1000};
};

namespace internal {
struct relay_state;
} // namespace internal

/// The relay.
class relay {
public:
    relay(const relay_context& context, relay_settings settings,
          const backend_dialect& dialect, model_provisioner& provisioner);
    relay(const relay&) = delete;
    auto operator=(const relay&) -> relay& = delete;
    ~relay();

    /// Starts to listen.
    [[nodiscard]] auto open() -> result<void>;

    /// Puts a configuration in force if it is newer.
    auto set_config(std::shared_ptr<const coordination::relay_config> config)
        -> void;
    /// Learns a backend server that is new or has changed.
    auto set_backend(const coordination::backend_server& server) -> void;
    auto remove_backend(const std::string& id) -> void;
    /// Sets how many daemons share the deployment's limits.
    auto set_daemons(std::size_t count) -> void;
    /// Sets how many requests the other daemons have on a backend server.
    auto set_peer_load(const std::string& backend, int requests) -> void;
    /// Sets how old such numbers are when they are set.
    auto set_peer_load_age(duration lag) -> void;
    /// The connections to backend servers, for other calls to them.
    [[nodiscard]] auto backend_pool() -> transport::http_pool&;
    /// How the last requests ended.
    [[nodiscard]] auto journal() const -> const request_journal&;
    /// Version of the configuration in force; 0 if there is none.
    [[nodiscard]] auto config_version() const -> std::uint64_t;
    /// What is known of requests that crash backend servers, to be shared with
    /// the other daemons.
    [[nodiscard]] auto crash_quarantine() -> coordination::quarantine&;
    /// Returns this daemon's requests on each backend server that has some.
    [[nodiscard]] auto local_loads() const -> std::map<std::string, int>;

    /// Changes the limits on retries.
    auto set_retry_limits(double ratio, double allowance, duration window)
        -> void;

    /// Ends clients' connections with their next answers.
    auto begin_draining() -> void;
    /// Refuses new requests as not run from now on, and those that are on no
    /// backend server.
    auto stop_accepting() -> void;
    /// Gives every request in progress its final answer.
    auto end_all() -> void;
    /// Closes connections that no request uses.
    auto close_idle() -> void;
    /// Requests in progress.
    [[nodiscard]] auto in_progress() const -> std::size_t;
    /// Whether a configuration is in force.
    [[nodiscard]] auto configured() const -> bool;

    /// Enforces deadlines; call every 50 ms or so.
    auto sweep() -> void;
    /// "IP:PORT" with the port in use.
    [[nodiscard]] auto address() const -> std::string;

private:
    std::unique_ptr<internal::relay_state> state_;
};

} // namespace basilstream::daemon
