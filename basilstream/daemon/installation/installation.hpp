/// Interface between a relaying daemon and the platform that it is deployed on:
/// annotations of requests, the shared record store, the API of the runners,
/// endpoint look-ups of clients and readiness checks. Implementations only
/// translate between the platform's formats and these types.
///
///     auto deployment = make_installation();
///     auto store = deployment->open_store(pool, thread, "10.200.1.7:8142");
///
/// Implementations are stateless except for the stores that they open.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/backend_directory/backend_directory.hpp"
#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/daemon/backend_dialect/backend_dialect.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"

namespace basilstream::daemon {

/// An order to a runner to load or unload a model or an adapter.
struct runner_order {
    std::string runner_;
    std::string address_;
    /// Load if true, unload if false.
    bool load_ = true;
    std::string model_;
    /// Empty if the order is for the model itself.
    std::string adapter_;
    /// Number of orders that the runner is expected to have accepted. The
    /// runner refuses the order if its own count differs, for example because
    /// the order was delayed.
    std::optional<std::uint64_t> expected_orders_;
    /// VM whose daemon holds the placement lease and gives the order.
    std::string holder_;
    /// Fencing number of that lease.
    std::uint64_t fencing_number_ = 0;
};

/// A runner's answer to an order.
enum class order_answer {
    /// The runner executes the order.
    accepted,
    /// The runner is already in the requested state.
    already_satisfied,
    /// Another order is in progress, or the count of accepted orders differs.
    conflict,
    /// The runner has accepted an order with a higher fencing number.
    fenced,
    /// The address belongs to another runner, or the model is missing there.
    misdirected,
    /// The order is not valid for this runner.
    invalid,
};

inline constexpr auto order_answer_names =
    name_table<order_answer, 6>{{{{order_answer::accepted, "accepted"},
                                  {order_answer::already_satisfied, "holds"},
                                  {order_answer::conflict, "conflict"},
                                  {order_answer::fenced, "fenced"},
                                  {order_answer::misdirected, "misdirected"},
                                  {order_answer::invalid, "invalid"}}}};

/// State of a runner as it reports it.
struct runner_report {
    std::vector<coordination::backend_model> models_;
    /// Whether an order for a model is in progress.
    bool order_in_progress_ = false;
    /// Number of orders accepted since the runner started.
    std::uint64_t accepted_orders_ = 0;
    /// Numbers of requests that are waiting and running.
    int waiting_ = 0;
    int running_ = 0;
    /// Used and total capacity of the key-value cache, as the runner reports
    /// them.
    std::int64_t kv_used_ = 0;
    std::int64_t kv_total_ = 0;
    /// Adapters that are being loaded, as MODEL/ADAPTER.
    std::vector<std::string> loading_adapters_;
};

/// Translates between the daemon and the platform it is deployed on.
class installation {
public:
    installation() = default;
    installation(const installation&) = delete;
    auto operator=(const installation&) -> installation& = delete;
    virtual ~installation() = default;

    [[nodiscard]] virtual auto dialect() const -> const backend_dialect& = 0;
    [[nodiscard]] virtual auto decoder() const
        -> const coordination::record_decoder& = 0;
    [[nodiscard]] virtual auto open_store(transport::http_pool& pool,
                                          transport::reactor_thread& thread,
                                          std::string address) const
        -> std::unique_ptr<coordination::record_store> = 0;

    /// Returns the HTTP call that sends an order to its runner.
    [[nodiscard]] virtual auto order_call(const runner_order& order) const
        -> transport::small_call = 0;
    /// Parses a runner's reply to an order. Returns an error if the reply
    /// cannot be parsed; the runner may then have accepted the order or not.
    [[nodiscard]] virtual auto
    read_order_answer(const transport::small_reply& reply) const
        -> result<order_answer> = 0;
    /// Returns the call that requests a runner's report.
    [[nodiscard]] virtual auto report_call(const std::string& runner,
                                           const std::string& address) const
        -> transport::small_call = 0;
    [[nodiscard]] virtual auto
    read_report(const transport::small_reply& reply) const
        -> result<runner_report> = 0;

    /// Returns the availability zone of the client if the request is an
    /// endpoint look-up, and nothing otherwise.
    [[nodiscard]] virtual auto
    read_endpoint_request(const transport::request_message& request) const
        -> std::optional<std::string> = 0;
    [[nodiscard]] virtual auto
    endpoint_body(const coordination::endpoint_answer& answer) const
        -> std::string = 0;
    /// Returns whether the request is a readiness check.
    [[nodiscard]] virtual auto
    is_readiness_request(const transport::request_message& request) const
        -> bool = 0;
};

} // namespace basilstream::daemon
