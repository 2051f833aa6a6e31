/// What the stand-in programs share: command line, signals, and a server whose
/// routes run on one thread and whose connections can go silent.
///
///     auto port = std::uint16_t{0};
///     const auto options = std::vector{
///         number_option("port", "N", "port; 0 picks one", port)};
///     if (const auto status = parse_options(argc, argv, "A thing.", options))
///     {
///         return *status;
///     }
#pragma once

#include <charconv>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "basilstream/transport/http_server/http_server.hpp"
#include "basilstream/transport/reactor/reactor.hpp"

namespace basilstream::testing {

/// One long option of a program.
struct option {
    std::string name_;
    /// Name of the value in the help text; empty for a switch.
    std::string value_name_;
    std::string help_;
    /// Takes the value; returns false when it is not valid.
    std::function<bool(const std::string&)> take_;
};

/// Parses the command line. Returns the status with which the program must
/// end: 0 after `--help`, 2 after a message about a bad option.
[[nodiscard]] auto parse_options(int argc, char** argv,
                                 std::string_view summary,
                                 const std::vector<option>& options)
    -> std::optional<int>;

/// Makes an option that fills `target`, which must outlive the parsing.
template <class Number>
auto number_option(std::string name, std::string value_name, std::string help,
                   Number& target) -> option {
    return {std::move(name), std::move(value_name), std::move(help),
            [&target](const std::string& text) {
                const auto* end = text.data() + text.size();
                const auto parsed = std::from_chars(text.data(), end, target);
                return parsed.ec == std::errc{} && parsed.ptr == end;
            }};
}
auto duration_option(std::string name, std::string help, duration& target)
    -> option;
auto text_option(std::string name, std::string value_name, std::string help,
                 std::string& target) -> option;
auto switch_option(std::string name, std::string help, bool& target) -> option;

/// Blocks SIGTERM and SIGINT; call before any thread starts.
auto block_stop_signals() -> void;
/// Waits for SIGTERM or SIGINT.
auto wait_for_stop() -> void;

/// Answers with a JSON document.
auto respond_json(transport::http_exchange& reply, int status,
                  const nlohmann::json& body) -> void;
/// Answers with `{"error":CODE,"detail":DETAIL}`.
auto respond_error(transport::http_exchange& reply, int status,
                   std::string_view code, std::string_view detail = {}) -> void;

/// Loses the answer: breaks the connection with no whole answer on it.
auto drop_answer(transport::http_exchange& reply) -> void;

/// Handles a request on the stand-in's thread. It may throw
/// `nlohmann::json::exception`, which answers 400.
using route_handler = std::function<void(const transport::http_request&,
                                         const transport::http_exchange_ptr&)>;

/// The server of one stand-in. Add routes, then `open`.
class stand_in {
public:
    explicit stand_in(const std::string& name);
    stand_in(const stand_in&) = delete;
    auto operator=(const stand_in&) -> stand_in& = delete;
    ~stand_in();

    /// Routes `method` (empty: any) and `path` (a trailing `*`: any path that
    /// begins with the rest); the first route that fits takes the request.
    auto route(std::string method, std::string path, route_handler handler)
        -> void;

    /// Listens and prints `listening ADDRESS:PORT`. Returns false, with a
    /// message on the standard error, when the address is taken.
    [[nodiscard]] auto open(const std::string& address, std::uint16_t port)
        -> bool;

    /// The thread on which routes run.
    auto thread() -> transport::reactor_thread& { return thread_; }

    /// Makes every connection that has been seen go silent: its requests are
    /// not delivered and get no answer. New connections work. On the thread.
    auto silence_connections() -> void { silent_ = seen_; }

    /// Whether a connection has gone silent. On the thread.
    [[nodiscard]] auto is_silent(const std::string& peer) const -> bool {
        return silent_.contains(peer);
    }

private:
    struct route_entry {
        std::string method_;
        std::string path_;
        route_handler handler_;
    };
    static auto fits(const route_entry& entry,
                     const transport::http_request& request) -> bool;
    auto handle(const transport::http_request& request,
                const transport::http_exchange_ptr& reply) -> void;

    transport::reactor_thread thread_;
    std::vector<route_entry> routes_;
    std::set<std::string> seen_;
    std::set<std::string> silent_;
    std::vector<transport::http_exchange_ptr> unanswered_;
    std::unique_ptr<transport::http_server> server_;
};

} // namespace basilstream::testing
