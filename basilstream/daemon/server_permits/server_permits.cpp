#include "basilstream/daemon/server_permits/server_permits.hpp"

namespace basilstream::daemon {

server_permits::server_permits(const server_permits_context& context)
    : context_{context}, named_{context.metrics_.add_counter(
                             "basilstream_rate_limit_notices_total",
                             "Answers in which a server named a rate limit.")},
      malformed_{context.metrics_.add_counter(
          "basilstream_rate_limit_malformed_total",
          "Answers with a rate limit that cannot be parsed.")},
      limited_requests_{context.metrics_.add_counter(
          "basilstream_rate_limited_requests_total",
          "Requests sent to servers that have named a rate limit.")} {
    context_.metrics_.add_gauge(
        "basilstream_rate_limited_servers",
        "Servers that have named a rate limit.",
        [this] { return static_cast<double>(limits_.size()); });
}

auto server_permits::set_server(const std::string& server,
                                std::int64_t started_at) -> void {
    limits_.set_server(server, started_at);
}

auto server_permits::remove_server(const std::string& server) -> void {
    limits_.remove_server(server);
}

auto server_permits::on_notice(const std::string& server,
                               const rate_limit_notice& notice,
                               time_point sent_at) -> void {
    using kind = rate_limit_notice::kind;
    const auto now = context_.clock_.now();
    auto changed = false;
    switch (notice.kind_) {
    case kind::valid:
        named_.add();
        changed = limits_.on_named(server, notice.per_second_, now);
        break;
    case kind::absent:
        changed = limits_.on_not_named(server, sent_at, now);
        break;
    case kind::malformed:
        malformed_.add();
        break;
    }
    if (changed) {
        log_change(server, "answer");
    }
}

auto server_permits::on_sent(const std::string& server) -> void {
    if (limit_of(server)) {
        limited_requests_.add();
    }
}

auto server_permits::limit_of(const std::string& server) const
    -> std::optional<double> {
    return limits_.limit_of(server);
}

auto server_permits::log_change(const std::string& server, const char* source)
    -> void {
    const auto limit = limits_.limit_of(server);
    context_.log_.info(
        "rate limit of backend server changed",
        {{"backend", server},
         {"per_second", limit ? std::to_string(*limit) : std::string{"none"}},
         {"source", source}});
}

} // namespace basilstream::daemon
