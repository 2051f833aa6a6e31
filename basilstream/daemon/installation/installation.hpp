/// What a relay daemon needs from the installation that it runs in: the
/// annotations of requests, the shared store, the runners' own interface and
/// the questions that clients and supervisors ask. An adapter implements it by
/// translation alone.
///
///     auto place = make_installation();
///     auto store = place->open_store(pool, thread, "10.200.1.7:8142");
///
/// Implementations are stateless but for the stores that they open.
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

/// An order to a runner.
struct runner_order {
    std::string runner_;
    std::string address_;
    bool load_ = true;
    std::string model_;
    /// Empty for the model itself.
    std::string adapter_;
    /// Orders that the runner has accepted so far; it refuses when it has
    /// accepted others, also if this order reaches it late.
    std::optional<std::uint64_t> expected_orders_;
    /// The VM that gives the order, and its fencing number.
    std::string holder_;
    std::uint64_t fence_ = 0;
};

/// How a runner answered an order.
enum class order_answer {
    /// It is being carried out.
    accepted,
    /// What it asks for holds already.
    holds,
    /// Another order is in progress, or others were accepted meanwhile.
    conflict,
    /// A later owner has given orders.
    fenced,
    /// Another runner has the address, or the model is missing.
    misdirected,
    /// The order makes no sense there.
    invalid,
};

inline constexpr auto order_answer_names =
    name_table<order_answer, 6>{{{{order_answer::accepted, "accepted"},
                                  {order_answer::holds, "holds"},
                                  {order_answer::conflict, "conflict"},
                                  {order_answer::fenced, "fenced"},
                                  {order_answer::misdirected, "misdirected"},
                                  {order_answer::invalid, "invalid"}}}};

/// What a runner says of itself when asked.
struct runner_report {
    std::vector<coordination::backend_model> models_;
    /// An order for a model is in progress.
    bool ordered_ = false;
    /// Orders accepted since it started.
    std::uint64_t orders_ = 0;
    int waiting_ = 0;
    int running_ = 0;
    std::int64_t kv_used_ = 0;
    std::int64_t kv_total_ = 0;
    /// Adapters on their way, as MODEL/ADAPTER.
    std::vector<std::string> coming_;
};

/// The installation.
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

    /// The call that carries an order, and what its answer means. An answer
    /// that cannot be read is an error with an unknown outcome.
    [[nodiscard]] virtual auto order_call(const runner_order& order) const
        -> transport::small_call = 0;
    [[nodiscard]] virtual auto
    read_order_answer(const transport::small_reply& reply) const
        -> result<order_answer> = 0;
    /// The call that asks a runner for its report, and the answer.
    [[nodiscard]] virtual auto report_call(const std::string& runner,
                                           const std::string& address) const
        -> transport::small_call = 0;
    [[nodiscard]] virtual auto
    read_report(const transport::small_reply& reply) const
        -> result<runner_report> = 0;

    /// Returns the zone of a client that asks where to connect; nothing if
    /// the request asks something else.
    [[nodiscard]] virtual auto
    read_endpoint_request(const transport::request_message& request) const
        -> std::optional<std::string> = 0;
    [[nodiscard]] virtual auto
    endpoint_body(const coordination::endpoint_answer& answer) const
        -> std::string = 0;
    /// Whether a request asks if the daemon is ready.
    [[nodiscard]] virtual auto
    is_readiness_request(const transport::request_message& request) const
        -> bool = 0;
};

} // namespace basilstream::daemon
