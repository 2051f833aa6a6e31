#include "bench/relay/relay.hpp"

#include <atomic>

namespace basilstream::bench {
namespace {

constexpr auto status_bad_gateway = 502;

// Writes what arrives to the caller, holding the runner back when the caller
// is slow.
class relay_sink final : public transport::http_sink,
                         public std::enable_shared_from_this<relay_sink> {
public:
    relay_sink(transport::http_client& client,
               transport::http_exchange_ptr caller)
        : client_{client}, caller_{std::move(caller)} {}

    auto on_start(transport::call_id call) -> void override {
        caller_->on_writable(
            [&client = client_, call] { client.resume(call); });
        caller_->on_closed([&client = client_, call] { client.cancel(call); });
    }

    auto on_response(int status,
                     const std::map<std::string, std::string>& headers)
        -> void override {
        const auto type = headers.find("content-type");
        caller_->start(status,
                       {{"Content-Type",
                         type != headers.end() ? type->second : "text/plain"}});
    }

    auto on_data(std::string_view data) -> bool override {
        return caller_->write(data) != transport::write_state::full;
    }

    auto on_end(const transport::call_end& end) -> void override {
        if (!end.error_) {
            caller_->finish();
        } else if (caller_->started()) {
            caller_->abort();
        } else {
            caller_->respond(status_bad_gateway, {}, end.error_->to_string());
        }
    }

private:
    transport::http_client& client_;
    transport::http_exchange_ptr caller_;
};

} // namespace

relay::relay(std::string runner)
    : runner_{std::move(runner)}, client_{"relay"} {
    auto options = transport::http_server_options{};
    options.max_connections_ = 8192;
    server_ = std::move(transport::http_server::open(
                            options,
                            [this](const transport::http_request& request,
                                   transport::http_exchange_ptr caller) {
                                pass_on(request, std::move(caller));
                            })
                            .value());
}

auto relay::address() const -> std::string {
    return "127.0.0.1:" + std::to_string(server_->port());
}

auto relay::pass_on(const transport::http_request& request,
                    transport::http_exchange_ptr caller) -> void {
    auto call =
        transport::http_call{.method_ = request.method_,
                             .url_ = "http://" + runner_ + request.path_,
                             .headers_ = {{"Content-Type", "application/json"}},
                             .body_ = request.body_};
    client_.start(std::move(call),
                  std::make_shared<relay_sink>(client_, std::move(caller)));
}

} // namespace basilstream::bench
