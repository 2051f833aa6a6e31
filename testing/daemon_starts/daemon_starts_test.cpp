// Starts daemons as processes in surroundings that a host may have: signals in
// the first moments, files and addresses that others still use, limits.

#include <array>
#include <chrono>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "testing/fault_soak/stand_in_store.hpp"

namespace basilstream::testing {
namespace {

using namespace std::chrono_literals;

// Longer than a daemon takes to start or to stop without requests.
constexpr auto max_wait = 20s;
// From SIGTERM until the process would be killed.
constexpr auto grace_time = 4s;
constexpr auto check_interval = 5ms;

// A socket that is bound to a loopback port of its own.
class bound_socket {
public:
    bound_socket()
        : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
        const auto on = 1;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto size = socklen_t{sizeof address_};
        static_cast<void>(::bind(descriptor_, generic(), size));
        ::getsockname(descriptor_, generic(), &size);
    }
    bound_socket(const bound_socket&) = delete;
    auto operator=(const bound_socket&) -> bound_socket& = delete;
    ~bound_socket() {
        ::close(descriptor_);
        for (const auto connection : accepted_) {
            ::close(connection);
        }
    }

    auto listen() const -> void { ::listen(descriptor_, 1); }
    // Waits for a connection and returns its port at the other end; 0 if none
    // comes. The connection stays open.
    auto accept_from() -> int {
        auto waiting = pollfd{descriptor_, POLLIN, 0};
        if (::poll(&waiting, 1, max_wait / 1ms) <= 0) {
            return 0;
        }
        auto peer = sockaddr_in{};
        auto size = socklen_t{sizeof peer};
        accepted_.push_back(::accept4(descriptor_,
                                      reinterpret_cast<sockaddr*>(&peer), &size,
                                      SOCK_CLOEXEC));
        return ntohs(peer.sin_port);
    }
    [[nodiscard]] auto port() const -> int { return ntohs(address_.sin_port); }
    [[nodiscard]] auto address() const -> std::string {
        return "127.0.0.1:" + std::to_string(port());
    }

private:
    auto generic() -> sockaddr* {
        return reinterpret_cast<sockaddr*>(&address_);
    }

    int descriptor_;
    std::vector<int> accepted_;
    sockaddr_in address_{};
};

struct resource_limit {
    __rlimit_resource_t resource_;
    rlim_t value_;
};

// A pipe that nobody reads and that has no room left.
class full_pipe {
public:
    full_pipe() {
        static_cast<void>(::pipe2(ends_.data(), O_CLOEXEC | O_NONBLOCK));
        const auto bytes = std::array<char, 4096>{};
        while (::write(ends_[1], bytes.data(), bytes.size()) > 0) {
        }
        ::fcntl(ends_[1], F_SETFL, 0);
    }
    full_pipe(const full_pipe&) = delete;
    auto operator=(const full_pipe&) -> full_pipe& = delete;
    ~full_pipe() {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    [[nodiscard]] auto descriptor() const -> int { return ends_[1]; }

private:
    std::array<int, 2> ends_{-1, -1};
};

// A connection to a loopback port.
class caller {
public:
    explicit caller(int port)
        : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        connected_ =
            ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) == 0;
    }
    caller(const caller&) = delete;
    auto operator=(const caller&) -> caller& = delete;
    ~caller() { ::close(descriptor_); }

    [[nodiscard]] auto connected() const -> bool { return connected_; }
    auto send(const std::string& bytes) const -> void {
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    // Returns whether an answer to a GET begins in time.
    [[nodiscard]] auto is_answered(const std::string& path) const -> bool {
        const auto request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        auto limit = timeval{2, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit,
                     sizeof limit);
        send(request);
        auto answer = std::array<char, 9>{};
        const auto count =
            ::recv(descriptor_, answer.data(), answer.size(), MSG_WAITALL);
        return count == answer.size() &&
               std::string{answer.data(), answer.size()} == "HTTP/1.1 ";
    }

private:
    int descriptor_;
    bool connected_ = false;
};

// A daemon with a directory of its own, whose store is not there.
class started_daemon {
public:
    started_daemon() {
        auto pattern =
            (std::filesystem::temp_directory_path() / "daemon_starts_XXXXXX")
                .string();
        directory_ = ::mkdtemp(pattern.data());
    }
    started_daemon(const started_daemon&) = delete;
    auto operator=(const started_daemon&) -> started_daemon& = delete;
    ~started_daemon() {
        if (pid_ > 0 && !status_) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove_all(directory_);
    }

    [[nodiscard]] auto settings_path() const -> std::string {
        return directory_ + "/settings.json";
    }
    [[nodiscard]] auto settings(const std::string& readiness,
                                const std::string& metrics = {},
                                int peer_port = 0) const -> std::string {
        return document(readiness, metrics, peer_port).dump();
    }
    [[nodiscard]] auto document(const std::string& readiness,
                                const std::string& metrics = {},
                                int peer_port = 0) const -> protocol::json {
        const auto any = std::string{"127.0.0.1:0"};
        return protocol::json{
            {"name", "d0"},
            {"zone", "a"},
            {"relay",
             {{"callers", any},
              {"readiness", readiness},
              {"directory", any},
              {"metrics", metrics.empty() ? any : metrics}}},
            {"peer", {{"ip", "127.0.0.1"}, {"ports", {peer_port, peer_port}}}},
            {"store", {{"address", "127.0.0.1:1"}}},
            {"stop", {{"grace_s", grace_time / 1s}}},
            {"logging", {{"level", "info"}, {"format", "json"}}}};
    }
    auto write_settings(const std::string& text) const -> void {
        std::ofstream{settings_path()} << text;
    }
    // Starts the daemon; its output goes to `output`, or to the log.
    auto start(std::optional<resource_limit> limit = std::nullopt,
               int output = -1) -> void {
        auto arguments = std::array<std::string, 3>{
            BASILSTREAMD_PATH, "--config", settings_path()};
        auto pointers =
            std::array<char*, 4>{arguments[0].data(), arguments[1].data(),
                                 arguments[2].data(), nullptr};
        const auto log = log_path();
        pid_ = ::fork();
        if (pid_ == 0) {
            if (output < 0) {
                output =
                    ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            }
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            if (limit) {
                const auto both = rlimit{limit->value_, limit->value_};
                ::setrlimit(limit->resource_, &both);
            }
            ::execv(pointers[0], pointers.data());
            ::_exit(127);
        }
    }
    // Returns the port under which it says that it listens.
    [[nodiscard]] auto port_of(const std::string& name) const -> int {
        auto log = std::ifstream{log_path()};
        for (auto line = std::string{}; std::getline(log, line);) {
            const auto event = protocol::json::parse(line, nullptr, false);
            if (event.value("event", "") == "started") {
                const auto address = event.value(name, "");
                return std::stoi(address.substr(address.rfind(':') + 1));
            }
        }
        return 0;
    }
    // Processor time that it has used so far.
    [[nodiscard]] auto processor_time() const -> std::chrono::milliseconds {
        auto clock = clockid_t{};
        auto used = timespec{};
        ::clock_getcpuclockid(pid_, &clock);
        ::clock_gettime(clock, &used);
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::seconds{used.tv_sec} +
            std::chrono::nanoseconds{used.tv_nsec});
    }
    auto signal(int number) const -> void { ::kill(pid_, number); }
    // Opens the settings, a pipe, for writing once the daemon reads them.
    // Returns a descriptor, or -1 if it does not.
    auto open_when_read() -> int {
        auto descriptor = -1;
        wait_until([&] {
            descriptor = ::open(settings_path().c_str(), O_WRONLY | O_NONBLOCK);
            return descriptor >= 0 || ended().has_value();
        });
        return descriptor;
    }
    // Returns the status as waitpid() gives it, or nothing while it runs.
    auto ended() -> std::optional<int> {
        auto status = 0;
        if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = status;
        }
        return status_;
    }
    auto wait_for_end() -> std::optional<int> {
        return wait_until([this] { return ended().has_value(); }), ended();
    }
    // Returns whether the daemon listens, as its log says.
    auto wait_for_start() -> bool { return wait_for_line("started"); }
    // Returns whether the daemon runs and logs an event in time.
    auto wait_for_line(const std::string& event) -> bool {
        return wait_until(
                   [&] { return has_logged(event) || ended().has_value(); }) &&
               !ended();
    }
    // Returns whether the daemon runs and answers a GET in time.
    auto wait_for_answer(int port, const std::string& path) -> bool {
        return wait_until([&] {
                   return caller{port}.is_answered(path) || ended().has_value();
               }) &&
               !ended();
    }
    // Waits until the daemon says that a listener is open, and returns its
    // address; empty if it does not.
    auto wait_for_listener(const std::string& name) -> std::string {
        auto address = std::string{};
        wait_until([&] {
            address = logged("listening", name, "address");
            return !address.empty() || ended().has_value();
        });
        return address;
    }
    // Returns a field of the first line of an event, about a listener unless
    // that is empty.
    [[nodiscard]] auto logged(const std::string& event,
                              const std::string& listener,
                              const std::string& field) const -> std::string {
        auto log = std::ifstream{log_path()};
        for (auto line = std::string{}; std::getline(log, line);) {
            const auto entry = protocol::json::parse(line, nullptr, false);
            if (entry.is_object() && entry.value("event", "") == event &&
                entry.value("listener", "") == listener) {
                return entry.value(field, "");
            }
        }
        return {};
    }

private:
    template <class Condition>
    static auto wait_until(Condition condition) -> bool {
        const auto limit = std::chrono::steady_clock::now() + max_wait;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                return false;
            }
            std::this_thread::sleep_for(check_interval);
        }
        return true;
    }
    [[nodiscard]] auto log_path() const -> std::string {
        return directory_ + "/log";
    }
    [[nodiscard]] auto has_logged(const std::string& event) const -> bool {
        auto log = std::ifstream{log_path()};
        for (auto line = std::string{}; std::getline(log, line);) {
            if (line.find("\"event\":\"" + event + "\"") != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    std::string directory_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

// Returns the number of sockets of this host with a local port, also of those
// that have ended less than a minute ago.
auto sockets_at(int port) -> int {
    auto count = 0;
    auto table = std::ifstream{"/proc/net/tcp"};
    for (auto line = std::string{}; std::getline(table, line);) {
        // "  0: 0100007F:A0C4 ...", numbers in hexadecimal.
        const auto colon = line.find(':', line.find(':') + 1);
        if (colon != std::string::npos && line.find("local") == line.npos) {
            constexpr auto hexadecimal = 16;
            count += std::stoi(line.substr(colon + 1, 4), nullptr,
                               hexadecimal) == port
                         ? 1
                         : 0;
        }
    }
    return count;
}

auto free_port() -> int {
    return bound_socket{}.port();
}

auto stops_in_order(started_daemon& daemon) -> bool {
    daemon.signal(SIGTERM);
    const auto status = daemon.wait_for_end();
    return status && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
}

// The daemon waits for a writer of its settings when the signal comes.
TEST(daemon_starts, reload_signal_during_the_start_ends_the_daemon) {
    auto daemon = started_daemon{};
    const auto text = daemon.settings("127.0.0.1:0");
    const auto path = daemon.settings_path();
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    daemon.start();
    const auto writer = daemon.open_when_read();
    ASSERT_GE(writer, 0);
    daemon.signal(SIGHUP);
    std::filesystem::remove(path);
    daemon.write_settings(text);
    ::close(writer);
    EXPECT_TRUE(daemon.wait_for_start());
    EXPECT_TRUE(stops_in_order(daemon));
}

TEST(daemon_starts, signals_without_a_meaning_end_the_daemon) {
    for (const auto number : {SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM}) {
        auto daemon = started_daemon{};
        daemon.write_settings(daemon.settings("127.0.0.1:0"));
        daemon.start();
        ASSERT_TRUE(daemon.wait_for_start());
        daemon.signal(number);
        std::this_thread::sleep_for(200ms);
        EXPECT_FALSE(daemon.ended()) << number;
        EXPECT_TRUE(stops_in_order(daemon)) << number;
    }
}

TEST(daemon_starts, settings_that_are_being_written_end_the_start) {
    auto daemon = started_daemon{};
    const auto text = daemon.settings("127.0.0.1:0");
    daemon.start();
    std::this_thread::sleep_for(300ms);
    daemon.write_settings(text.substr(0, text.size() / 2));
    std::this_thread::sleep_for(300ms);
    EXPECT_FALSE(daemon.ended());
    daemon.write_settings(text);
    EXPECT_TRUE(daemon.wait_for_start());
    EXPECT_TRUE(stops_in_order(daemon));
}

TEST(daemon_starts, address_that_is_still_taken_ends_the_start) {
    auto daemon = started_daemon{};
    auto former = std::optional<bound_socket>{std::in_place};
    former->listen();
    daemon.write_settings(daemon.settings(former->address()));
    daemon.start();
    std::this_thread::sleep_for(1s);
    EXPECT_FALSE(daemon.ended());
    former.reset();
    EXPECT_TRUE(daemon.wait_for_start());
    EXPECT_TRUE(stops_in_order(daemon));
}

// Daemons that share an address, and a port for metrics, did not start.
TEST(daemon_starts, taken_port_of_metrics_or_peers_ends_the_start) {
    auto daemon = started_daemon{};
    const auto other = bound_socket{};
    other.listen();
    const auto other_peer = bound_socket{};
    other_peer.listen();
    daemon.write_settings(
        daemon.settings("127.0.0.1:0", other.address(), other_peer.port()));
    daemon.start();
    EXPECT_TRUE(daemon.wait_for_start());
    EXPECT_TRUE(stops_in_order(daemon));
}

// Each of the addresses ended the process after ten seconds, also under callers
// that it was serving.
TEST(daemon_starts, address_taken_for_eleven_seconds_ends_the_daemon) {
    constexpr auto taken_time = 11s;
    const auto names =
        std::array<std::string, 3>{"callers", "readiness", "directory"};
    auto daemons = std::list<started_daemon>{};
    auto holders = std::list<bound_socket>{};
    for (const auto& name : names) {
        auto& daemon = daemons.emplace_back();
        holders.emplace_back().listen();
        auto settings = daemon.document("127.0.0.1:0");
        settings["relay"][name] = holders.back().address();
        daemon.write_settings(settings.dump());
        daemon.start();
    }
    std::this_thread::sleep_for(taken_time);
    for (auto index = std::size_t{0}; auto& daemon : daemons) {
        const auto& name = names.at(index++);
        EXPECT_FALSE(daemon.ended()) << name;
        EXPECT_NE(daemon.logged("address is not available", name, "detail"), "")
            << name;
        // The other listeners are open.
        for (const auto& other : names) {
            EXPECT_EQ(daemon.logged("listening", other, "address").empty(),
                      other == name)
                << name << " " << other;
        }
    }
    auto wanted = std::list<std::string>{};
    for (const auto& holder : holders) {
        wanted.push_back(holder.address());
    }
    holders.clear();
    for (auto index = std::size_t{0}; auto& daemon : daemons) {
        EXPECT_EQ(daemon.wait_for_listener(names.at(index++)), wanted.front());
        wanted.pop_front();
        EXPECT_TRUE(stops_in_order(daemon));
    }
}

// Another port is one that firewalls do not know: the daemon had no neighbours.
TEST(daemon_starts, taken_peer_port_is_silently_replaced_by_any) {
    auto daemon = started_daemon{};
    auto holder = std::optional<bound_socket>{std::in_place};
    holder->listen();
    const auto wanted = holder->address();
    daemon.write_settings(daemon.settings("127.0.0.1:0", {}, holder->port()));
    daemon.start();
    EXPECT_TRUE(daemon.wait_for_start());
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(daemon.logged("listening", "peers", "address"), "");
    EXPECT_NE(daemon.logged("address is not available", "peers", "detail"), "");
    holder.reset();
    EXPECT_EQ(daemon.wait_for_listener("peers"), wanted);
    EXPECT_TRUE(stops_in_order(daemon));
}

// Any free port may be one that another daemon is about to listen at.
TEST(daemon_starts, forwarded_requests_come_to_a_port_that_nobody_named) {
    auto daemon = started_daemon{};
    const auto port = free_port();
    daemon.write_settings(daemon.settings("127.0.0.1:0", {}, port));
    daemon.start();
    EXPECT_EQ(daemon.wait_for_listener("peers"),
              "127.0.0.1:" + std::to_string(port));
    EXPECT_TRUE(daemon.wait_for_start());
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(daemon.logged("listening", "forwarding", "address"), "");
    EXPECT_TRUE(stops_in_order(daemon));
}

// The local port of a connection was closed to listeners while the connection
// was open, and for a minute after its end.
TEST(daemon_starts, connection_of_a_daemon_keeps_another_from_listening) {
    auto store = bound_socket{};
    store.listen();
    auto connected = started_daemon{};
    auto settings = connected.document("127.0.0.1:0");
    settings["store"]["address"] = store.address();
    connected.write_settings(settings.dump());
    connected.start();
    // Connections of other processes may share the port.
    auto port = store.accept_from();
    while (port > 0 && sockets_at(port) > 1) {
        port = store.accept_from();
    }
    ASSERT_GT(port, 0);
    const auto address = "127.0.0.1:" + std::to_string(port);
    auto daemon = started_daemon{};
    daemon.write_settings(daemon.settings(address));
    daemon.start();
    EXPECT_EQ(daemon.wait_for_listener("readiness"), address);
    EXPECT_TRUE(stops_in_order(daemon));
    EXPECT_TRUE(stops_in_order(connected));
}

// How a process ended, and why it did not start, could not be told from its
// log.
TEST(daemon_starts, end_of_a_process_leaves_no_line) {
    auto stopped = started_daemon{};
    stopped.write_settings(stopped.settings("127.0.0.1:0"));
    stopped.start();
    ASSERT_TRUE(stopped.wait_for_start());
    EXPECT_TRUE(stops_in_order(stopped));
    EXPECT_EQ(stopped.logged("process ends", "", "status"), "0");

    auto faulty = started_daemon{};
    faulty.write_settings(faulty.settings("127.0.0.1:0"));
    faulty.start();
    ASSERT_TRUE(faulty.wait_for_start());
    faulty.signal(SIGSEGV);
    EXPECT_TRUE(faulty.wait_for_end());
    EXPECT_EQ(faulty.logged("process ends", "", "detail"), "SIGSEGV");
    EXPECT_EQ(faulty.logged("process ends", "", "node"), "d0");

    auto rejected = started_daemon{};
    rejected.write_settings("{\"relay\": {}}");
    rejected.start();
    EXPECT_TRUE(rejected.wait_for_end());
    EXPECT_EQ(rejected.logged("start failed", "", "final"), "yes");
    EXPECT_EQ(rejected.logged("process ends", "", "status"), "2");
}

// The end waited for room in the output, until the process was killed.
TEST(daemon_starts, output_that_takes_nothing_keeps_a_daemon_from_its_end) {
    const auto output = full_pipe{};
    const auto readiness = free_port();
    auto daemon = started_daemon{};
    daemon.write_settings(
        daemon.settings("127.0.0.1:" + std::to_string(readiness)));
    daemon.start(std::nullopt, output.descriptor());
    ASSERT_TRUE(daemon.wait_for_answer(readiness, "/readyz"));
    // Settings that cannot be read are reported as well.
    daemon.write_settings("{");
    daemon.signal(SIGHUP);
    std::this_thread::sleep_for(200ms);
    EXPECT_TRUE(stops_in_order(daemon));
}

TEST(daemon_starts,
     output_that_takes_nothing_keeps_a_failed_start_from_its_end) {
    const auto output = full_pipe{};
    auto daemon = started_daemon{};
    daemon.write_settings("{\"relay\": {}}");
    daemon.start(std::nullopt, output.descriptor());
    const auto status = daemon.wait_for_end();
    ASSERT_TRUE(status && WIFEXITED(*status));
    EXPECT_EQ(WEXITSTATUS(*status), 2);
}

// The listing went round in circles at such a key: no configuration, ever.
TEST(daemon_starts, configuration_behind_other_keys_is_not_found) {
    auto world = transport::reactor_thread{"world", 1024};
    const auto time = steady_clock{};
    auto store = stand_in_store{world, time};
    store.set_page_size(1);
    store.put("keyed.op", "a02%17", "{}");
    store.put("keyed.op", "a05+", "{}");
    store.put("keyed.op", "config",
              R"({"version": 7, "routes": [], "services": []})");
    world.start();
    auto daemon = started_daemon{};
    auto settings = daemon.document("127.0.0.1:0");
    settings["store"]["address"] = store.address();
    daemon.write_settings(settings.dump());
    daemon.start();
    EXPECT_TRUE(daemon.wait_for_line("ready"));
    EXPECT_EQ(daemon.logged("ready", "", "config"), "7");
    EXPECT_TRUE(stops_in_order(daemon));
    world.stop();
}

TEST(daemon_starts, stop_is_not_heeded_while_an_address_is_taken) {
    auto daemon = started_daemon{};
    const auto former = bound_socket{};
    former.listen();
    daemon.write_settings(daemon.settings(former.address()));
    daemon.start();
    std::this_thread::sleep_for(300ms);
    EXPECT_TRUE(stops_in_order(daemon));
}

TEST(daemon_starts, log_at_its_size_limit_ends_the_daemon) {
    auto daemon = started_daemon{};
    constexpr auto max_log_bytes = rlim_t{100};
    daemon.write_settings(daemon.settings("127.0.0.1:0"));
    daemon.start(resource_limit{RLIMIT_FSIZE, max_log_bytes});
    std::this_thread::sleep_for(1s);
    EXPECT_FALSE(daemon.ended());
    EXPECT_TRUE(stops_in_order(daemon));
}

// Callers that said nothing took all descriptors, and the daemon a whole core.
TEST(daemon_starts, silent_callers_take_the_place_of_others) {
    constexpr auto silent_callers = 500;
    constexpr auto max_processor_time = 500ms;
    auto daemon = started_daemon{};
    const auto readiness = free_port();
    daemon.write_settings(
        daemon.settings("127.0.0.1:" + std::to_string(readiness)));
    daemon.start(resource_limit{RLIMIT_NOFILE, 256});
    ASSERT_TRUE(daemon.wait_for_start());
    const auto callers = daemon.port_of("callers");
    auto silent = std::list<caller>{};
    for (auto count = 0; count < silent_callers; ++count) {
        ASSERT_TRUE(silent.emplace_back(callers).connected());
    }
    const auto before = daemon.processor_time();
    std::this_thread::sleep_for(2s);
    EXPECT_LT(daemon.processor_time() - before, max_processor_time);
    EXPECT_TRUE(caller{readiness}.is_answered("/readyz"));
    EXPECT_TRUE(caller{callers}.is_answered("/"));
    EXPECT_TRUE(stops_in_order(daemon));
}

// Bodies took address space before there was memory for them.
TEST(daemon_starts, heads_of_large_requests_take_all_address_space) {
    constexpr auto callers_count = 60;
    constexpr auto address_space = rlim_t{260} << 20U;
    auto daemon = started_daemon{};
    daemon.write_settings(daemon.settings("127.0.0.1:0"));
    daemon.start(resource_limit{RLIMIT_AS, address_space});
    ASSERT_TRUE(daemon.wait_for_start());
    const auto port = daemon.port_of("callers");
    auto callers = std::list<caller>{};
    for (auto count = 0; count < callers_count; ++count) {
        callers.emplace_back(port).send(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            "Content-Length: 4000000\r\n\r\nbegin");
    }
    std::this_thread::sleep_for(1s);
    EXPECT_FALSE(daemon.ended());
    callers.clear();
    EXPECT_TRUE(stops_in_order(daemon));
}

} // namespace
} // namespace basilstream::testing
