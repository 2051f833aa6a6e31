/// A whole deployment as child processes on ephemeral loopback ports: the
/// platform's stand-ins, runners, plain services and daemons.
///
///     auto system = cluster{{.daemons_ = 3, .runners_ = 4}};
///     system.apply(resources);
///     system.complete(0, "acme/chat", token, "Dear all", 32);
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "basilstream/transport/http_client/http_client.hpp"

namespace basilstream::testing {

/// A started program. It ends with its owner.
class child_process {
public:
    /// Starts a program and reads the first line that it prints.
    child_process(const std::string& path,
                  const std::vector<std::string>& arguments);
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    ~child_process();

    /// Returns what follows `key` in the first line, up to a space.
    [[nodiscard]] auto announced(const std::string& key) const -> std::string;
    auto signal(int number) -> void;
    /// Returns whether it has ended.
    auto ended() -> bool;
    /// Waits for the end and returns the exit status, or minus the signal.
    auto wait() -> int;

private:
    auto take_status(int status) -> void;

    pid_t pid_ = -1;
    int output_ = -1;
    bool ended_ = false;
    int status_ = 0;
    std::string line_;
};

/// Size of a deployment.
struct cluster_options {
    std::size_t daemons_ = 2;
    std::size_t runners_ = 3;
    std::vector<std::string> runner_arguments_ = {};
    /// Merged into each daemon's settings.
    nlohmann::json settings_ = nlohmann::json::object();
};

/// The deployment. Stand-ins and daemons are named by their index.
class cluster {
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    auto operator=(const cluster&) -> cluster& = delete;

    /// Applies resources by basilctl and returns its exit status.
    auto apply(const nlohmann::json& resources) -> int;

    auto start_daemon() -> std::size_t;
    auto daemon(std::size_t index) -> child_process& {
        return *daemons_.at(index);
    }
    auto runner(std::size_t index) -> child_process& {
        return *runners_.at(index);
    }
    [[nodiscard]] auto caller_address(std::size_t daemon) const -> std::string;
    [[nodiscard]] auto runner_address(std::size_t runner) const -> std::string;
    [[nodiscard]] auto service_address() const -> std::string;
    [[nodiscard]] auto log_address() const -> std::string;

    /// Calls a path of an address and returns the answer. A POST when `body`
    /// is not empty.
    auto call(const std::string& address, const std::string& path,
              const std::string& body = {},
              std::vector<std::pair<std::string, std::string>> headers = {})
        -> result<transport::http_reply>;
    /// As `call`, but returns the answer's JSON; null when there is none.
    auto call_json(const std::string& address, const std::string& path,
                   const std::string& body = {}) -> nlohmann::json;
    auto set_faults(const std::string& address, const nlohmann::json& faults)
        -> void;

    /// Streams a completion through a daemon and returns its verdict as
    /// `answer_check` has it, the error's code, or "broken: REASON" when the
    /// connection broke off.
    auto complete(std::size_t daemon, const std::string& model,
                  const std::string& token, const std::string& prompt,
                  std::uint64_t max_tokens) -> std::string;

    /// Returns the sum of a number in all living runners' books.
    auto sum_of_books(const std::string& key) -> std::uint64_t;

private:
    cluster_options options_;
    std::string directory_;
    std::string peer_seed_;
    transport::http_client client_;
    std::unique_ptr<child_process> log_;
    std::unique_ptr<child_process> vm_list_;
    std::unique_ptr<child_process> service_;
    std::vector<std::unique_ptr<child_process>> runners_;
    std::vector<std::unique_ptr<child_process>> daemons_;
};

/// Polls until `condition` holds; false after a generous deadline.
[[nodiscard]] auto eventually(const std::function<bool()>& condition) -> bool;

} // namespace basilstream::testing
