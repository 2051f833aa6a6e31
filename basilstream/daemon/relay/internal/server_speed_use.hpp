/// Applies the learnt speeds of backend servers to the choice of servers, and
/// reports them to operators.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "basilstream/coordination/server_speeds/server_speeds.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon::internal {

inline constexpr auto speed_third_names =
    name_table<coordination::speed_third, 3>{
        {{{coordination::speed_third::slowest, "slowest"},
          {coordination::speed_third::middle, "middle"},
          {coordination::speed_third::fastest, "fastest"}}}};

/// Not thread-safe: use on the thread that writes out the metrics.
class server_speed_use {
public:
    server_speed_use(const clock& time, transport::logger& log,
                     transport::metrics_registry& metrics,
                     coordination::router& routes, double spread);

    [[nodiscard]] auto speeds() -> coordination::server_speeds& {
        return speeds_;
    }
    [[nodiscard]] auto speeds() const -> const coordination::server_speeds& {
        return speeds_;
    }
    /// Updates the weights; estimates speeds first if `fits`.
    auto update(bool fits) -> void;
    /// Counts an attempt on a server.
    auto on_attempt(const std::string& server) -> void;
    /// Takes in a sample of a stream.
    auto on_sample(const std::string& server, const std::string& model,
                   duration gap) -> void;

private:
    auto report_changes() -> void;

    const clock& clock_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
    coordination::router& router_;
    coordination::server_speeds speeds_;
    // By service: whether it was weighted when that was last logged.
    std::map<std::string, bool> reported_;
    // By speed_third.
    std::array<transport::counter*, speed_third_names.rows_.size()> attempts_;
};

} // namespace basilstream::daemon::internal
