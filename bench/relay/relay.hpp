/// A bare relay: passes each request to one runner and its answer back, with
/// no decision in between. The baseline of the daemon's own cost.
///
///     auto baseline = relay{"127.0.0.1:9000"};
///     baseline.address();   // "127.0.0.1:PORT"
#pragma once

#include <memory>
#include <string>

#include "basilstream/transport/http_client/http_client.hpp"
#include "basilstream/transport/http_server/http_server.hpp"

namespace basilstream::bench {

/// The relay. Serves until it is destroyed.
class relay {
public:
    /// `runner`: "IP:PORT". Ends the process when no port can be opened.
    explicit relay(std::string runner);

    /// "IP:PORT" on which it serves.
    [[nodiscard]] auto address() const -> std::string;

private:
    auto pass_on(const transport::http_request& request,
                 transport::http_exchange_ptr caller) -> void;

    std::string runner_;
    transport::http_client client_;
    std::unique_ptr<transport::http_server> server_;
};

} // namespace basilstream::bench
