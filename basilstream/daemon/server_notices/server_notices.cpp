#include "basilstream/daemon/server_notices/server_notices.hpp"

#include <chrono>

namespace basilstream::daemon {
namespace {

auto in_milliseconds(duration time) -> std::string {
    return std::to_string(std::chrono::ceil<milliseconds>(time).count());
}

} // namespace

server_notices::server_notices(const server_notices_context& context)
    : context_{context},
      left_{context.metrics_.add_counter(
          "basilstream_server_departures_stated_total",
          "Servers that said in an answer that they are leaving.")},
      requested_{context.metrics_.add_counter(
          "basilstream_server_pauses_requested_total",
          "Answers in which a server asked for a pause.")},
      malformed_{context.metrics_.add_counter(
          "basilstream_server_pauses_malformed_total",
          "Refusals with a time to wait that cannot be parsed.")} {
    for (auto index = std::size_t{0}; index < unwanted_.size(); ++index) {
        const auto name =
            server_call_names.name_of(static_cast<server_call>(index));
        unwanted_.at(index) = &context_.metrics_.add_counter(
            "basilstream_paused_server_" + std::string{name} + "s_total",
            "Calls to servers that had asked for a pause.");
    }
    context_.metrics_.add_gauge("basilstream_paused_servers",
                                "Servers that want no calls now.", [this] {
                                    return static_cast<double>(
                                        pauses_.count(context_.clock_.now()));
                                });
}

auto server_notices::set_server(const std::string& server,
                                std::int64_t started_at) -> void {
    pauses_.set_server(server, started_at);
    leaving_.set_server(server, started_at);
}

auto server_notices::remove_server(const std::string& server) -> void {
    pauses_.remove_server(server, context_.clock_.now());
    leaving_.remove_server(server, context_.clock_.now());
}

auto server_notices::on_leaving_stated(const std::string& server) -> void {
    if (!leaving_.on_stated(server, context_.clock_.now())) {
        return;
    }
    left_.add();
    context_.log_.info("backend server says that it is leaving",
                       {{"backend", server}});
    for (const auto& handler : leaving_handlers_) {
        handler(server);
    }
}

auto server_notices::on_pause_stated(const std::string& server,
                                     const pause_notice& notice) -> void {
    using kind = pause_notice::kind;
    if (notice.kind_ == kind::malformed) {
        malformed_.add();
    }
    if (notice.kind_ != kind::valid) {
        return;
    }
    requested_.add();
    if (pauses_.on_requested(server, notice.length_, context_.clock_.now())) {
        context_.log_.info("backend server asked for a pause",
                           {{"backend", server},
                            {"pause_ms", in_milliseconds(notice.length_)}});
        if (pause_handler_) {
            pause_handler_(server, pauses_.end_of_pause(server));
        }
    }
}

auto server_notices::on_sent(const std::string& server, server_call call,
                             const std::string& request) -> void {
    const auto left = pause_left(server);
    if (left == duration{0}) {
        return;
    }
    unwanted_.at(static_cast<std::size_t>(call))->add();
    context_.log_.info("call to a backend server that asked for a pause",
                       {{"backend", server},
                        {"call", server_call_names.name_of(call)},
                        {"request_id", request},
                        {"pause_left_ms", in_milliseconds(left)}});
}

auto server_notices::pause_left(const std::string& server) const -> duration {
    return pauses_.remaining(server, context_.clock_.now());
}

} // namespace basilstream::daemon
