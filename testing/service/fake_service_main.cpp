#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>

#include "testing/program/program.hpp"

namespace {

using namespace basilstream;
using namespace basilstream::testing;
using nlohmann::json;
using transport::http_exchange_ptr;
using transport::http_request;

constexpr auto crash_status = 70;

// Counts how often each request ran. What has run is in the journal before
// any answer leaves, so that it survives a crash.
class counting_service {
public:
    explicit counting_service(const std::string& journal)
        : stand_in_{"service"} {
        if (!journal.empty()) {
            journal_.open(journal, std::ios::app);
        }
    }

    auto open(const std::string& address, std::uint16_t port) -> bool {
        add("GET", "/testing/books", &counting_service::give_books);
        add("POST", "/testing/faults", &counting_service::set_faults);
        add("", "*", &counting_service::run);
        return stand_in_.open(address, port);
    }

private:
    using handler = void (counting_service::*)(const http_request&,
                                               const http_exchange_ptr&);

    auto add(std::string method, std::string path, handler serve) -> void {
        stand_in_.route(std::move(method), std::move(path),
                        [this, serve](const auto& request, const auto& reply) {
                            (this->*serve)(request, reply);
                        });
    }

    auto run(const http_request& request, const http_exchange_ptr& reply)
        -> void {
        if (refuse_) {
            respond_error(*reply, 503, "refused");
            return;
        }
        const auto key = std::string{request.header("idempotency-key")};
        const auto id = std::string{request.header("x-request-id")};
        ++runs_;
        const auto times = key.empty() ? 1 : ++by_key_[key];
        if (!id.empty()) {
            ++by_request_id_[id];
        }
        if (journal_.is_open()) {
            journal_ << key << ' ' << id << ' ' << request.method_ << ' '
                     << request.path_ << '\n'
                     << std::flush;
        }
        if (crash_ > 0 && --crash_ == 0) {
            std::_Exit(crash_status);
        }
        if (drop_answers_ > 0) {
            --drop_answers_;
            drop_answer(*reply);
            return;
        }
        // The run's number tells a stored answer from a second run.
        const auto body = json{{"method", request.method_},
                               {"path", request.path_},
                               {"body", request.body_},
                               {"key", key},
                               {"times", times},
                               {"run", runs_}};
        const auto give = [reply, body] {
            respond_json(*reply, 200, body);
        };
        if (slow_ms_ == 0) {
            give();
        } else {
            stand_in_.thread().after(milliseconds{slow_ms_}, give);
        }
    }

    auto give_books(const http_request& /*request*/,
                    const http_exchange_ptr& reply) -> void {
        respond_json(*reply, 200,
                     {{"runs", runs_},
                      {"by_key", by_key_},
                      {"by_request_id", by_request_id_}});
    }

    auto set_faults(const http_request& request, const http_exchange_ptr& reply)
        -> void {
        const auto body = json::parse(request.body_);
        slow_ms_ = body.value("slow_ms", slow_ms_);
        drop_answers_ = body.value("drop_answers", drop_answers_);
        crash_ = body.value("crash_on_run", crash_);
        refuse_ = body.value("refuse", refuse_);
        if (body.value("silent", false)) {
            stand_in_.silence_connections();
        }
        respond_json(*reply, 200, json::object());
    }

    std::ofstream journal_;
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> by_key_;
    std::map<std::string, std::uint64_t> by_request_id_;
    std::uint64_t slow_ms_ = 0;
    std::uint64_t drop_answers_ = 0;
    std::uint64_t crash_ = 0;
    bool refuse_ = false;
    stand_in stand_in_;
};

} // namespace

auto main(int argc, char** argv) -> int {
    auto address = std::string{"127.0.0.1"};
    auto port = std::uint16_t{0};
    auto journal = std::string{};
    const auto status = parse_options(
        argc, argv, "A stand-in plain service that counts its runs.",
        {text_option("address", "IP", "address to listen on", address),
         number_option("port", "N", "port; 0 picks one", port),
         text_option("journal", "FILE", "append a line for each run",
                     journal)});
    if (status) {
        return *status;
    }
    block_stop_signals();
    auto server = counting_service{journal};
    if (!server.open(address, port)) {
        return 1;
    }
    wait_for_stop();
    return 0;
}
