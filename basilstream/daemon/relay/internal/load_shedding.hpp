/// Requests that wait at the daemon for room on servers, by service, and what
/// is known of demand and completions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "basilstream/coordination/client_patience/client_patience.hpp"
#include "basilstream/coordination/service_order/service_order.hpp"
#include "basilstream/coordination/wait_estimates/wait_estimates.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon::internal {

/// A request that waits for room.
class held_request {
public:
    held_request() = default;
    held_request(const held_request&) = delete;
    auto operator=(const held_request&) -> held_request& = delete;
    virtual ~held_request() = default;

    /// Tries to send the request. Returns false if it has to wait on.
    virtual auto on_room_expected() -> bool = 0;
    /// Refuses the request, which has waited too long or has made way for
    /// others.
    virtual auto on_wait_expired() -> void = 0;
};

class load_shedding {
public:
    explicit load_shedding(transport::metrics_registry& metrics);

    [[nodiscard]] auto demand_of(const std::string& service)
        -> coordination::rank_demand& {
        return services_[service].demand_;
    }
    /// Returns the credit for requests to a model that servers hold.
    [[nodiscard]] auto credit_of(const std::string& routing_key)
        -> coordination::send_credit& {
        return credits_[routing_key];
    }
    [[nodiscard]] auto estimates() -> coordination::wait_estimates& {
        return estimates_;
    }
    [[nodiscard]] auto patience() -> coordination::client_patience& {
        return patience_;
    }
    /// Returns the expected time until a request of `rank` is sent, nothing if
    /// not known, and until all that wait are.
    [[nodiscard]] auto expected_wait(const std::string& service, int rank,
                                     time_point now) -> std::optional<duration>;
    [[nodiscard]] auto backlog(const std::string& service, time_point now)
        -> std::optional<duration>;

    /// Lets a request wait. Returns its id. Calls on_wait_expired() of requests
    /// that make way for it, possibly its own, before it returns.
    auto join(const std::string& service,
              const std::shared_ptr<held_request>& waiting,
              coordination::waiting_request request) -> void;
    /// Returns an id for a request that joins.
    [[nodiscard]] auto next_id() -> std::uint64_t { return ++last_id_; }
    /// Ends the wait of a request; has no effect if it does not wait.
    auto leave(const std::string& service, std::uint64_t id) -> void;
    /// Sends requests to servers that have room, and refuses those that have
    /// waited too long. Call about every 50 ms.
    auto serve_waiting(time_point now) -> void;

    auto count_rejection() -> void { rejected_.add(); }
    /// Records how far the predicted time to a first event was off.
    auto record_error(duration error) -> void { errors_.record(error); }
    auto count_move() -> void { moved_.add(); }
    auto count_refusal() -> void { refused_.add(); }

private:
    // Each holds a request with its body; more than this many can't be sent
    // within the slack of most routes by a daemon with some ten requests per
    // second.
    static constexpr auto max_waiting_ = std::size_t{256};

    struct service_state {
        coordination::rank_demand demand_;
        coordination::waiting_requests waiting_{max_waiting_};
    };

    [[nodiscard]] auto find(std::uint64_t id) const
        -> std::shared_ptr<held_request>;
    auto serve_group(service_state& state, const std::string& group,
                     time_point now) -> void;
    auto expire(std::uint64_t id) -> void;

    std::map<std::string, service_state> services_;
    // By the routing key of the model: the credit of one with much room must
    // not be used up by requests to another one.
    std::unordered_map<std::string, coordination::send_credit> credits_;
    coordination::wait_estimates estimates_;
    coordination::client_patience patience_;
    std::unordered_map<std::uint64_t, std::weak_ptr<held_request>> requests_;
    std::uint64_t last_id_ = 0;
    transport::counter& held_back_;
    transport::counter& refused_;
    transport::counter& rejected_;
    transport::counter& moved_;
    transport::duration_histogram& errors_;
};

} // namespace basilstream::daemon::internal
