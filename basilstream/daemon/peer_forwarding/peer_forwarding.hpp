/// Finds other daemons that take requests for which this one reaches no backend
/// server.
///
///     auto helpers = peer_forwarding{{clock, random, log, metrics},
///     "entry-1"}; helpers.connect(send); helpers.set_daemons({"entry-1",
///     "entry-2"}); helpers.set_listener("10.0.0.1:7381", [&] { return
///     unreached; }); helpers.seek();                        // while a service
///     is unreachable if (const auto helper = helpers.choose("chat", {})) {
///         // send the request to helper->address_ with helper->key_
///     }
///
/// A daemon that needs help asks a few others, which answer with the address of
/// their listener for forwarded requests, a key, the services that they do not
/// reach either, and their load. A key is a random number of its daemon's
/// process; daemons learn it over the peer link only, so that clients cannot
/// pass for daemons. Offers are used for some seconds and renewed meanwhile.
/// Not thread-safe: use on the traffic thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/daemon/server_permits/server_permits.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Dependencies of a peer_forwarding; each must outlive it.
struct peer_forwarding_context {
    const clock& clock_;
    random_source& random_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

/// A daemon that takes forwarded requests.
struct forwarding_helper {
    std::string name_;
    /// "IP:PORT" of its listener for forwarded requests.
    std::string address_;
    std::string key_;
};

/// What this daemon tells of itself when it is asked for help.
struct forwarding_state {
    /// Services whose servers it does not reach.
    std::vector<std::string> unreached_;
    std::size_t in_progress_ = 0;
};

class peer_forwarding {
public:
    peer_forwarding(const peer_forwarding_context& context, std::string self);

    auto connect(update_sender send) -> void { send_ = std::move(send); }
    /// Sets the daemons considered alive, this one included.
    auto set_daemons(std::vector<std::string> daemons) -> void;
    /// Sets the address of this daemon's listener, and how its state is read.
    auto set_listener(std::string address,
                      std::function<forwarding_state()> state) -> void;
    /// Returns the key that requests to this daemon's listener must have.
    [[nodiscard]] auto key() const -> const std::string& { return key_; }

    /// Asks other daemons for help, unless that was done lately.
    auto seek() -> void;
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;
    /// Returns a daemon that reaches the service and is not among `excluded`:
    /// the less loaded one of two.
    [[nodiscard]] auto choose(const std::string& service,
                              const std::vector<std::string>& excluded)
        -> std::optional<forwarding_helper>;
    /// Returns whether choose() would return a daemon.
    [[nodiscard]] auto has_offer(const std::string& service) const -> bool;
    /// Returns whether each daemon that was asked has had time to answer.
    [[nodiscard]] auto has_asked() const -> bool;
    /// Records that a helper cannot be reached.
    auto on_failed(const std::string& helper) -> void;
    /// Records that a helper does not reach a service.
    auto on_unreached(const std::string& helper, const std::string& service)
        -> void;

private:
    struct offer {
        forwarding_helper helper_;
        std::set<std::string> unreached_;
        std::size_t in_progress_ = 0;
        time_point valid_until_{};
    };

    // Returns whether the last question is so old that its answers say nothing.
    [[nodiscard]] auto has_paused(time_point now) const -> bool;

    const peer_forwarding_context context_;
    const std::string self_;
    const std::string key_;
    update_sender send_;
    std::vector<std::string> others_;
    std::string listener_;
    std::function<forwarding_state()> state_;
    std::map<std::string, offer> offers_;
    // Since when this daemon has asked without a pause.
    std::optional<time_point> asking_since_;
    time_point next_question_{};
    transport::counter& questions_;
};

} // namespace basilstream::daemon
