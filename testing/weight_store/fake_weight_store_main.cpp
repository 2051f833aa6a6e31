#include <map>

#include "testing/program/program.hpp"
#include "testing/weight_store/weight_store.hpp"

namespace {

using namespace basilstream;
using namespace basilstream::testing;
using transport::http_exchange_ptr;
using transport::http_request;

constexpr auto poll_period = milliseconds{1};

// `GET /v1/weights?kind=model|adapter` answers when the transfer has ended.
class weight_server {
public:
    weight_server(weight_store_settings settings,
                  const basilstream::clock& time, random_source& random)
        : store_{settings, time, random}, stand_in_{"weights"} {}

    auto open(const std::string& address, std::uint16_t port) -> bool {
        stand_in_.route("GET", "/v1/weights",
                        [this](const auto& request, const auto& reply) {
                            begin(request, reply);
                        });
        stand_in_.route(
            "GET", "/testing/books",
            [this](const auto&, const auto& reply) { give_books(*reply); });
        stand_in_.route("POST", "/testing/faults",
                        [this](const auto& request, const auto& reply) {
                            const auto body =
                                nlohmann::json::parse(request.body_);
                            outage_ = body.value("outage", outage_);
                            respond_json(*reply, 200, nlohmann::json::object());
                        });
        stand_in_.thread().every(poll_period, [this] { poll(); });
        return stand_in_.open(address, port);
    }

private:
    auto begin(const http_request& request, const http_exchange_ptr& reply)
        -> void {
        if (outage_) {
            respond_error(*reply, 503, "outage");
            return;
        }
        const auto adapter = request.query("kind") == "adapter";
        open_.emplace(store_.begin(adapter), reply);
    }

    auto poll() -> void {
        for (const auto id : store_.advance()) {
            respond_json(*open_.at(id), 200, nlohmann::json::object());
            open_.erase(id);
        }
    }

    auto give_books(transport::http_exchange& reply) -> void {
        const auto& books = store_.books();
        respond_json(reply, 200,
                     {{"model_loads", books.model_loads_},
                      {"adapter_loads", books.adapter_loads_},
                      {"peak_model_loads", books.peak_model_loads_},
                      {"peak_adapter_loads", books.peak_adapter_loads_},
                      {"paced", books.paced_}});
    }

    weight_store store_;
    bool outage_ = false;
    std::map<std::uint64_t, http_exchange_ptr> open_;
    stand_in stand_in_;
};

} // namespace

auto main(int argc, char** argv) -> int {
    auto address = std::string{"127.0.0.1"};
    auto port = std::uint16_t{0};
    auto seed = std::uint64_t{1};
    auto settings = weight_store_settings{};
    const auto status = parse_options(
        argc, argv, "A stand-in weight store.",
        {text_option("address", "IP", "address to listen on", address),
         number_option("port", "N", "port; 0 picks one", port),
         number_option("seed", "N", "seed of adapter times", seed),
         number_option("loads-per-second", "N", "models that may start",
                       settings.loads_per_second_),
         number_option("loads-at-once", "N", "models at full speed",
                       settings.loads_at_once_),
         number_option("adapters-at-once", "N", "adapters at full speed",
                       settings.adapters_at_once_),
         duration_option("load-ms", "a model's time at full speed",
                         settings.load_time_)});
    if (status) {
        return *status;
    }
    block_stop_signals();
    const auto time = steady_clock{};
    auto random = seeded_random{seed};
    auto server = weight_server{settings, time, random};
    if (!server.open(address, port)) {
        return 1;
    }
    wait_for_stop();
    return 0;
}
