#include "testing/fault_soak/daemon_process.hpp"

#include <array>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::testing {
namespace {

constexpr auto any_address = "127.0.0.1:0";

// Returns whether a port of a loopback address is free.
auto is_free(const std::string& ip, int port) -> bool {
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const auto bound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
    ::close(descriptor);
    return bound;
}

// Returns the first of `count` ports in a row of a loopback address that were
// free a moment ago and that no call has returned before. They are below those
// that the kernel gives to connections and to listeners without a port.
auto free_ports(const std::string& ip, int count) -> int {
    constexpr auto first = 12'000;
    constexpr auto last = 32'000;
    static auto next = first + ::getpid() % (last - first);
    for (auto attempt = 0; attempt < last - first; ++attempt) {
        if (next + count > last) {
            next = first;
        }
        const auto candidate = next++;
        auto free = 0;
        while (free < count && is_free(ip, candidate + free)) {
            ++free;
        }
        if (free == count) {
            next = candidate + count;
            return candidate;
        }
    }
    return 0;
}

auto free_address(const std::string& ip) -> std::string {
    return ip + ":" + std::to_string(free_ports(ip, 1));
}

} // namespace

daemon_process::daemon_process(daemon_options options)
    : options_{std::move(options)}, log_path_{options_.directory_ + "/" +
                                              options_.name_ + ".log"} {
    const auto pick = [this] {
        return options_.picks_ports_ ? std::string{any_address}
                                     : free_address(options_.ip_);
    };
    caller_address_ = pick();
    readiness_address_ = pick();
    directory_address_ = pick();
    metrics_address_ = pick();
    peer_port_ = options_.picks_ports_ ? 0 : free_ports(options_.ip_, 2);
    start();
}

auto daemon_process::start() -> void {
    auto ignored = std::error_code{};
    const auto size = std::filesystem::file_size(log_path_, ignored);
    log_begin_ = ignored ? 0 : static_cast<std::streamoff>(size);
    const auto settings = options_.directory_ + "/" + options_.name_ + ".json";
    write_settings(settings);
    auto arguments =
        std::array<std::string, 3>{options_.program_, "--config", settings};
    auto pointers = std::array<char*, 4>{
        arguments[0].data(), arguments[1].data(), arguments[2].data(), nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {
        const auto output =
            ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(pointers[0], pointers.data());
        ::_exit(127);
    }
}

daemon_process::~daemon_process() {
    kill();
}

auto daemon_process::kill() -> void {
    if (!ended()) {
        signal(SIGKILL);
        ::waitpid(pid_, &status_, 0);
        ended_ = true;
    }
}

auto daemon_process::start_anew() -> void {
    kill();
    ended_ = false;
    killed_ = false;
    stop_requested_ = false;
    start();
}

auto daemon_process::write_settings(const std::string& path) const -> void {
    // The second one is for forwarded requests.
    const auto last_peer_port = peer_port_ == 0 ? 0 : peer_port_ + 1;
    auto settings = protocol::json{
        {"name", options_.name_},
        {"zone", "a"},
        {"relay",
         {{"callers", caller_address_},
          {"readiness", readiness_address_},
          {"directory", directory_address_},
          {"metrics", metrics_address_}}},
        {"peer",
         {{"ip", options_.ip_}, {"ports", {peer_port_, last_peer_port}}}},
        {"store", {{"address", options_.store_address_}}},
        {"limits",
         {{"retry_ratio", options_.retry_ratio_},
          {"retry_allowance", options_.retry_allowance_},
          {"retry_window_s", 10},
          {"lease_ms", 3000},
          {"load_window_s", 5}}},
        {"stop", {{"grace_s", options_.grace_seconds_}}},
        {"logging", {{"level", "info"}, {"format", "json"}}}};
    if (options_.memory_mb_ > 0) {
        settings["limits"]["memory_mb"] = options_.memory_mb_;
    }
    std::ofstream{path} << settings;
}

auto daemon_process::change_retry_limits(double ratio, double allowance)
    -> void {
    options_.retry_ratio_ = ratio;
    options_.retry_allowance_ = allowance;
    write_settings(options_.directory_ + "/" + options_.name_ + ".json");
}

auto daemon_process::caller_address() -> const std::string& {
    if (caller_address_ == any_address) {
        read_caller_address();
    }
    static const auto refusing_address = std::string{"127.0.0.1:1"};
    return caller_address_ == any_address ? refusing_address : caller_address_;
}

auto daemon_process::read_caller_address() -> void {
    auto log = std::ifstream{log_path_};
    log.seekg(log_begin_);
    for (auto line = std::string{}; std::getline(log, line);) {
        const auto entry = protocol::json::parse(line, nullptr, false);
        if (entry.is_object() && entry.value("event", "") == "started") {
            caller_address_ = entry.value("callers", std::string{any_address});
        }
    }
}

auto daemon_process::signal(int number) -> void {
    if (!ended_ && pid_ > 0) {
        killed_ = killed_ || number == SIGKILL;
        stop_requested_ = stop_requested_ || number == SIGTERM;
        ::kill(pid_, number);
    }
}

auto daemon_process::ended() -> bool {
    if (!ended_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
        ended_ = true;
    }
    return ended_;
}

auto daemon_process::unexpected_end() -> std::string {
    if (!ended() ||
        (killed_ && WIFSIGNALED(status_) && WTERMSIG(status_) == SIGKILL)) {
        return {};
    }
    if (WIFSIGNALED(status_)) {
        return "signal " + std::to_string(WTERMSIG(status_));
    }
    const auto status = WEXITSTATUS(status_);
    return stop_requested_ && status == 0 ? std::string{}
                                          : "status " + std::to_string(status);
}

auto daemon_process::peak_memory() const -> std::size_t {
    constexpr auto field = std::string_view{"VmHWM:"};
    auto status = std::ifstream{"/proc/" + std::to_string(pid_) + "/status"};
    for (auto line = std::string{}; std::getline(status, line);) {
        if (line.starts_with(field)) {
            constexpr auto kibibyte = std::size_t{1024};
            return std::stoul(line.substr(field.size())) * kibibyte;
        }
    }
    return 0;
}

auto daemon_process::log_lines(const std::string& text) const -> std::string {
    auto found = std::string{};
    auto log = std::ifstream{log_path_};
    for (auto line = std::string{}; std::getline(log, line);) {
        if (line.find(text) != std::string::npos) {
            found += line + "\n";
        }
    }
    return found;
}

auto daemon_process::open_descriptors() const -> std::size_t {
    const auto path = "/proc/" + std::to_string(pid_) + "/fd";
    auto ignored = std::error_code{};
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator{path, ignored}, {}));
}

} // namespace basilstream::testing
