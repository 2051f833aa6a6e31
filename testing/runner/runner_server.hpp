/// The stand-in model runner: the engine behind the runner's HTTP API of
/// docs/protocols.md, with `GET /testing/books` for what really ran and
/// `POST /testing/faults` for faults.
///
///     auto server = runner_server{options, time, random};
///     server.open("127.0.0.1", 0);
#pragma once

#include <map>
#include <memory>
#include <string>

#include "testing/engine/engine.hpp"
#include "testing/program/program.hpp"

namespace basilstream::transport {
class http_client;
}

namespace basilstream::testing {

namespace internal {
struct runner_faults;
}

/// Options of a runner.
struct runner_options {
    engine_settings engine_ = {};
    /// `IP:PORT` of the weight store; empty: loads take `load_time_`.
    std::string weight_store_ = {};
    duration load_time_ = milliseconds{200};
    duration adapter_time_ = milliseconds{20};
};

/// One runner. Its state lives on the stand-in's thread.
class runner_server {
public:
    runner_server(runner_options options, const clock& time,
                  random_source& random);
    runner_server(const runner_server&) = delete;
    auto operator=(const runner_server&) -> runner_server& = delete;
    ~runner_server();

    /// Listens; see `stand_in::open`.
    [[nodiscard]] auto open(const std::string& address, std::uint16_t port)
        -> bool;

private:
    struct stream;

    auto add_routes() -> void;
    auto complete(const transport::http_request& request,
                  const transport::http_exchange_ptr& reply) -> void;
    auto add_stream(std::uint64_t sequence, const completion_request& wanted,
                    const std::string& peer,
                    const transport::http_exchange_ptr& reply) -> void;
    auto cross(std::uint64_t sequence) -> void;
    auto order(const transport::http_request& request,
               const transport::http_exchange_ptr& reply) -> void;
    auto set_faults(const nlohmann::json& body) -> void;
    auto give_order(const engine_order& wanted) -> order_answer;
    auto fetch_weights(const engine_order& wanted) -> void;
    auto load_ended(const std::string& order_id, bool loaded) -> void;
    auto tick() -> void;
    auto deliver(const generation_event& event) -> void;
    auto send(const std::shared_ptr<stream>& to, const generation_event& event)
        -> void;
    auto cut_off(const std::shared_ptr<stream>& ended) -> void;

    runner_options options_;
    const clock& clock_;
    engine engine_;
    std::unique_ptr<internal::runner_faults> faults_;
    std::map<std::uint64_t, std::shared_ptr<stream>> streams_;
    time_point wake_{};
    std::unique_ptr<transport::http_client> client_;
    stand_in stand_in_;
};

} // namespace basilstream::testing
