#include "testing/program/program.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <utility>

#include <getopt.h>
#include <signal.h>

namespace basilstream::testing {
namespace {

constexpr auto ring_capacity = std::size_t{65536};
constexpr auto max_body_bytes = std::size_t{4} << 20U;
constexpr auto usage_status = 2;

auto stop_signals() -> sigset_t {
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

auto print_help(std::string_view program, std::string_view summary,
                const std::vector<option>& options) -> void {
    std::printf("Usage: %.*s [OPTION]...\n%.*s\n\n",
                static_cast<int>(program.size()), program.data(),
                static_cast<int>(summary.size()), summary.data());
    for (const auto& entry : options) {
        const auto left =
            "--" + entry.name_ +
            (entry.value_name_.empty() ? "" : "=" + entry.value_name_);
        std::printf("  %-28s %s\n", left.c_str(), entry.help_.c_str());
    }
    std::printf("  %-28s %s\n", "--help", "print this text");
}

} // namespace

auto parse_options(int argc, char** argv, std::string_view summary,
                   const std::vector<option>& options) -> std::optional<int> {
    constexpr auto first_value = 256;
    auto table = std::vector<::option>{};
    for (const auto& entry : options) {
        table.push_back(
            {entry.name_.c_str(),
             entry.value_name_.empty() ? no_argument : required_argument,
             nullptr, first_value + static_cast<int>(table.size())});
    }
    table.push_back({"help", no_argument, nullptr, 'h'});
    table.push_back({nullptr, 0, nullptr, 0});
    for (;;) {
        const auto value = getopt_long(argc, argv, "h", table.data(), nullptr);
        if (value == -1) {
            break;
        }
        if (value == 'h') {
            print_help(argv[0], summary, options);
            return 0;
        }
        if (value == '?') {
            return usage_status;
        }
        const auto& entry =
            options[static_cast<std::size_t>(value - first_value)];
        const auto text = std::string{optarg != nullptr ? optarg : ""};
        if (!entry.take_(text)) {
            std::fprintf(stderr, "%s: --%s: '%s' is not a valid %s\n", argv[0],
                         entry.name_.c_str(), text.c_str(),
                         entry.value_name_.c_str());
            return usage_status;
        }
    }
    if (optind < argc) {
        std::fprintf(stderr, "%s: unexpected argument '%s'\n", argv[0],
                     argv[optind]);
        return usage_status;
    }
    return std::nullopt;
}

auto duration_option(std::string name, std::string help, duration& target)
    -> option {
    return {std::move(name), "MS", std::move(help),
            [&target](const std::string& text) {
                auto value = 0.0;
                const auto* end = text.data() + text.size();
                const auto parsed = std::from_chars(text.data(), end, value);
                target = std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, std::milli>{value});
                return parsed.ec == std::errc{} && parsed.ptr == end &&
                       value >= 0;
            }};
}

auto text_option(std::string name, std::string value_name, std::string help,
                 std::string& target) -> option {
    return {std::move(name), std::move(value_name), std::move(help),
            [&target](const std::string& text) {
                target = text;
                return true;
            }};
}

auto switch_option(std::string name, std::string help, bool& target) -> option {
    return {std::move(name), "", std::move(help),
            [&target](const std::string&) {
                target = true;
                return true;
            }};
}

auto block_stop_signals() -> void {
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

auto wait_for_stop() -> void {
    const auto signals = stop_signals();
    auto received = 0;
    sigwait(&signals, &received);
}

auto respond_json(transport::http_exchange& reply, int status,
                  const nlohmann::json& body) -> void {
    reply.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

auto respond_error(transport::http_exchange& reply, int status,
                   std::string_view code, std::string_view detail) -> void {
    respond_json(reply, status, {{"error", code}, {"detail", detail}});
}

auto drop_answer(transport::http_exchange& reply) -> void {
    reply.start(200, {});
    reply.abort();
}

stand_in::stand_in(const std::string& name) : thread_{name, ring_capacity} {}

stand_in::~stand_in() {
    server_.reset();
    thread_.stop();
}

auto stand_in::route(std::string method, std::string path,
                     route_handler handler) -> void {
    routes_.push_back({std::move(method), std::move(path), std::move(handler)});
}

auto stand_in::open(const std::string& address, std::uint16_t port) -> bool {
    thread_.start();
    auto options = transport::http_server_options{};
    options.address_ = address;
    options.port_ = port;
    options.max_body_bytes_ = max_body_bytes;
    auto opened = transport::http_server::open(
        options, [this](transport::http_request request,
                        const transport::http_exchange_ptr& reply) {
            const auto posted =
                thread_.post([this, request = std::move(request), reply] {
                    handle(request, reply);
                });
            if (!posted) {
                respond_error(*reply, 503, "busy");
            }
        });
    if (!opened) {
        std::fprintf(stderr, "%s\n", opened.error().to_string().c_str());
        return false;
    }
    server_ = std::move(*opened);
    std::printf("listening %s:%u\n", address.c_str(),
                unsigned{server_->port()});
    std::fflush(stdout);
    return true;
}

auto stand_in::fits(const route_entry& entry,
                    const transport::http_request& request) -> bool {
    if (!entry.method_.empty() && entry.method_ != request.method_) {
        return false;
    }
    if (entry.path_.ends_with('*')) {
        const auto prefix =
            std::string_view{entry.path_}.substr(0, entry.path_.size() - 1);
        return std::string_view{request.path_}.starts_with(prefix);
    }
    return entry.path_ == request.path_;
}

auto stand_in::handle(const transport::http_request& request,
                      const transport::http_exchange_ptr& reply) -> void {
    if (is_silent(request.peer_)) {
        unanswered_.push_back(reply);
        return;
    }
    seen_.insert(request.peer_);
    const auto found =
        std::find_if(routes_.begin(), routes_.end(),
                     [&](const auto& entry) { return fits(entry, request); });
    if (found == routes_.end()) {
        respond_error(*reply, 404, "no_such_path", request.path_);
        return;
    }
    try {
        found->handler_(request, reply);
    } catch (const nlohmann::json::exception& failure) {
        respond_error(*reply, 400, "bad_json", failure.what());
    }
}

} // namespace basilstream::testing
