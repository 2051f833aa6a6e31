#include <deque>
#include <fstream>
#include <iostream>

#include "testing/program/program.hpp"

namespace {

using namespace basilstream;
using namespace basilstream::testing;
using nlohmann::json;
using transport::http_exchange_ptr;
using transport::http_request;

// The list of VMs. `POST /testing/vms` replaces it by a JSON array,
// `POST /testing/vm` adds or changes one entry by name; both show after the
// lag.
class vm_list {
public:
    vm_list(json vms, duration lag)
        : lag_{lag}, vms_(vms), visible_(std::move(vms)), stand_in_{"vm_list"} {
    }

    auto open(const std::string& address, std::uint16_t port) -> bool {
        add("GET", "/v1/vms", &vm_list::give);
        add("POST", "/testing/vms", &vm_list::replace);
        add("POST", "/testing/vm", &vm_list::change);
        add("POST", "/testing/faults", &vm_list::set_faults);
        return stand_in_.open(address, port);
    }

private:
    using handler = void (vm_list::*)(const http_request&,
                                      const http_exchange_ptr&);

    auto add(std::string method, std::string path, handler serve) -> void {
        stand_in_.route(std::move(method), std::move(path),
                        [this, serve](const auto& request, const auto& reply) {
                            (this->*serve)(request, reply);
                        });
    }

    auto give(const http_request& /*request*/, const http_exchange_ptr& reply)
        -> void {
        if (outage_) {
            respond_error(*reply, 503, "outage");
            return;
        }
        respond_json(*reply, 200, {{"sequence", sequence_}, {"vms", visible_}});
    }

    auto replace(const http_request& request, const http_exchange_ptr& reply)
        -> void {
        vms_ = json::parse(request.body_);
        publish(reply);
    }

    auto change(const http_request& request, const http_exchange_ptr& reply)
        -> void {
        const auto entry = json::parse(request.body_);
        const auto& name = entry.at("name");
        for (auto& known : vms_) {
            if (known.at("name") == name) {
                known.update(entry);
                publish(reply);
                return;
            }
        }
        vms_.push_back(entry);
        publish(reply);
    }

    auto publish(const http_exchange_ptr& reply) -> void {
        const auto lag = std::chrono::ceil<milliseconds>(lag_);
        stand_in_.thread().after(lag, [this, vms = vms_] {
            visible_ = vms;
            ++sequence_;
        });
        respond_json(*reply, 200, json::object());
    }

    auto set_faults(const http_request& request, const http_exchange_ptr& reply)
        -> void {
        const auto body = json::parse(request.body_);
        outage_ = body.value("outage", outage_);
        if (body.contains("lag_ms")) {
            lag_ = milliseconds{body.at("lag_ms").get<std::uint64_t>()};
        }
        respond_json(*reply, 200, json::object());
    }

    duration lag_;
    bool outage_ = false;
    std::uint64_t sequence_ = 1;
    json vms_;
    json visible_;
    stand_in stand_in_;
};

auto read_file(const std::string& path) -> json {
    if (path.empty()) {
        return json::array();
    }
    auto file = std::ifstream{path};
    return json::parse(file, nullptr, false);
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto address = std::string{"127.0.0.1"};
    auto port = std::uint16_t{0};
    auto path = std::string{};
    auto lag = duration{0};
    const auto status = parse_options(
        argc, argv, "A stand-in for the platform's list of VMs.",
        {text_option("address", "IP", "address to listen on", address),
         number_option("port", "N", "port; 0 picks one", port),
         text_option("file", "FILE", "JSON array of VMs to begin with", path),
         duration_option("lag-ms", "age at which changes show", lag)});
    if (status) {
        return *status;
    }
    const auto vms = read_file(path);
    if (!vms.is_array()) {
        std::cerr << path << ": not a JSON array\n";
        return 2;
    }
    block_stop_signals();
    auto server = vm_list{vms, lag};
    if (!server.open(address, port)) {
        return 1;
    }
    wait_for_stop();
    return 0;
}
