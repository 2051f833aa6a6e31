// Stand-ins for the second review: the platform's store, runners and clients,
// on plain sockets with a thread for each connection, and daemons as processes
// of their own with the settings of deploy/settings.json.template.
//
// Every address is on a loopback network of the run's own (127.A.B.x), so that
// runs side by side share no port.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline steady::time_point began = steady::now();

inline double now_s() {
    return std::chrono::duration<double>(steady::now() - began).count();
}

inline void sleep_s(double seconds) {
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleep_until_s(double at) {
    sleep_s(at - now_s());
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// The record of what was sent, answered and run.
class record_file {
public:
    explicit record_file(const std::string& path)
        : file_{std::fopen(path.c_str(), "w")} {}
    ~record_file() {
        if (file_ != nullptr) {
            std::fclose(file_);
        }
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        auto lock = std::scoped_lock{mutex_};
        if (file_ == nullptr) {
            return;
        }
        std::fprintf(file_, "%8.3f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

inline std::unique_ptr<record_file> record;

// --- sockets ---------------------------------------------------------------

inline sockaddr_in address_of(const std::string& text) {
    auto address = sockaddr_in{};
    const auto colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int open_listener(const std::string& ip, int port, int backlog = 512) {
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(ip + ":" + std::to_string(port));
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline int port_of(int descriptor) {
    auto address = sockaddr_in{};
    auto size = socklen_t{sizeof address};
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline int free_port(const std::string& ip) {
    const auto descriptor = open_listener(ip, 0);
    const auto port = port_of(descriptor);
    ::close(descriptor);
    return port;
}

inline void reset_on_close(int descriptor) {
    const auto off = linger{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &off, sizeof off);
}

inline int connect_to(const std::string& target, double timeout) {
    const auto descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = address_of(target);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0 &&
        errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    auto waits = pollfd{descriptor, POLLOUT, 0};
    auto failure = 0;
    auto size = socklen_t{sizeof failure};
    if (::poll(&waits, 1, static_cast<int>(timeout * 1000)) <= 0 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
        failure != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const auto on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

// --- HTTP/1.1 --------------------------------------------------------------

struct message {
    std::string first_;
    std::map<std::string, std::string> headers_; // names in lower case
    std::string body_;
    bool complete_ = false;

    std::string header(const std::string& name) const {
        const auto found = headers_.find(name);
        return found == headers_.end() ? std::string{} : found->second;
    }
    std::string method() const { return first_.substr(0, first_.find(' ')); }
    std::string target() const {
        const auto from = first_.find(' ') + 1;
        return first_.substr(from, first_.find(' ', from) - from);
    }
    int status() const {
        return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0;
    }
};

class connection {
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close() {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }
    void reset() {
        if (descriptor_ >= 0) {
            reset_on_close(descriptor_);
            close();
        }
    }
    // From another thread: resets the connection, which ends reads and writes.
    void abort_from_outside() const {
        auto none = sockaddr{};
        none.sa_family = AF_UNSPEC;
        (void)::connect(descriptor_, &none, sizeof none);
    }
    int descriptor() const { return descriptor_; }

    bool write(const std::string& bytes) {
        auto sent = std::size_t{0};
        while (sent < bytes.size()) {
            const auto count = ::send(descriptor_, bytes.data() + sent,
                                      bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads more bytes until `deadline` (seconds of this run).
    bool fill(double deadline) {
        const auto left = deadline - now_s();
        auto waits = pollfd{descriptor_, POLLIN, 0};
        if (left <= 0 ||
            ::poll(&waits, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            timed_out_ = true;
            return false;
        }
        char buffer[16384];
        const auto count = ::recv(descriptor_, buffer, sizeof buffer, 0);
        if (count <= 0) {
            ended_ = true;
            reset_ = count < 0;
            return false;
        }
        buffer_.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    bool read_head(message& into, double deadline) {
        auto end = buffer_.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
            end = buffer_.find("\r\n\r\n");
        }
        auto head = buffer_.substr(0, end);
        buffer_.erase(0, end + 4);
        auto line_end = head.find("\r\n");
        into.first_ = head.substr(0, line_end);
        while (line_end != std::string::npos) {
            const auto from = line_end + 2;
            line_end = head.find("\r\n", from);
            const auto line = head.substr(from, line_end == std::string::npos
                                                    ? line_end
                                                    : line_end - from);
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            for (auto& letter : name) {
                letter = static_cast<char>(std::tolower(letter));
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            into.headers_[name] = value;
        }
        return true;
    }

    // Reads a body; `piece` gets what arrives. True if it is whole.
    bool read_body(const message& head, bool is_answer, double deadline,
                   const std::function<void(const std::string&)>& piece) {
        if (head.header("transfer-encoding") == "chunked") {
            while (true) {
                auto end = buffer_.find("\r\n");
                while (end == std::string::npos) {
                    if (!fill(deadline)) {
                        return false;
                    }
                    end = buffer_.find("\r\n");
                }
                const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < end + 2 + size + 2) {
                    if (!fill(deadline)) {
                        return false;
                    }
                }
                if (size > 0) {
                    piece(buffer_.substr(end + 2, size));
                }
                buffer_.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        const auto length = head.header("content-length");
        if (length.empty()) {
            if (!is_answer) {
                return true;
            }
            // Ends with the connection.
            while (true) {
                if (!buffer_.empty()) {
                    piece(std::exchange(buffer_, {}));
                }
                if (!fill(deadline)) {
                    return ended_ && !reset_;
                }
            }
        }
        auto left = std::stoul(length);
        while (left > 0) {
            if (buffer_.empty() && !fill(deadline)) {
                return false;
            }
            const auto part = std::min(left, buffer_.size());
            piece(buffer_.substr(0, part));
            buffer_.erase(0, part);
            left -= part;
        }
        return true;
    }

    bool read(message& into, bool is_answer, double deadline) {
        if (!read_head(into, deadline)) {
            return false;
        }
        into.complete_ =
            read_body(into, is_answer, deadline,
                      [&](const std::string& part) { into.body_ += part; });
        return into.complete_;
    }

    bool ended() const { return ended_; }
    bool was_reset() const { return reset_; }

private:
    int descriptor_;
    std::string buffer_;
    bool ended_ = false;
    bool reset_ = false;
    bool timed_out_ = false;
};

inline std::string write_answer(int status, const std::string& headers,
                                const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each on a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;

    server(std::string ip, handler serve)
        : ip_{std::move(ip)}, serve_{std::move(serve)} {
        listen(0);
    }
    ~server() { stop(); }

    const std::string& address() const { return address_; }

    // Refuses connections, resets those that are open.
    void stop() {
        stopping_ = true;
        if (descriptor_ >= 0) {
            ::shutdown(descriptor_, SHUT_RDWR);
            ::close(std::exchange(descriptor_, -1));
        }
        if (accepting_.joinable()) {
            accepting_.join();
        }
        reset_all();
        auto threads = std::vector<std::thread>{};
        {
            auto lock = std::scoped_lock{mutex_};
            threads.swap(threads_);
        }
        for (auto& each : threads) {
            each.join();
        }
    }
    // Listens again, at the same port.
    void start_again() {
        stopping_ = false;
        listen(port_);
    }
    void reset_all() {
        auto lock = std::scoped_lock{mutex_};
        for (const auto* const each : open_) {
            each->abort_from_outside();
        }
    }

private:
    void listen(int port) {
        descriptor_ = open_listener(ip_, port);
        if (descriptor_ < 0) {
            std::perror("listen");
            std::exit(2);
        }
        port_ = port_of(descriptor_);
        address_ = ip_ + ":" + std::to_string(port_);
        accepting_ = std::thread{[this, descriptor = descriptor_] {
            while (!stopping_) {
                const auto peer =
                    ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (peer < 0) {
                    return;
                }
                const auto on = 1;
                ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                auto lock = std::scoped_lock{mutex_};
                threads_.emplace_back([this, peer] { run(peer); });
            }
        }};
    }
    void run(int peer) {
        auto link = connection{peer};
        {
            auto lock = std::scoped_lock{mutex_};
            open_.insert(&link);
        }
        if (!stopping_) {
            serve_(link);
        }
        auto lock = std::scoped_lock{mutex_};
        open_.erase(&link);
    }

    const std::string ip_;
    const handler serve_;
    std::string address_;
    int port_ = 0;
    int descriptor_ = -1;
    std::atomic<bool> stopping_{false};
    std::thread accepting_;
    std::mutex mutex_;
    std::set<connection*> open_;
    std::vector<std::thread> threads_;
};

// --- the platform's store ----------------------------------------------------

inline std::string big_endian(std::uint64_t value, int bytes) {
    auto text = std::string{};
    for (auto index = bytes; index-- > 0;) {
        text.push_back(static_cast<char>((value >> (8 * index)) & 0xFF));
    }
    return text;
}

inline std::uint64_t read_big_endian(const std::string& bytes) {
    auto value = std::uint64_t{0};
    for (const auto byte : bytes) {
        value = value << 8 | static_cast<unsigned char>(byte);
    }
    return value;
}

inline std::string base64(const std::string& bytes) {
    static const char alphabet[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto text = std::string{};
    auto group = 0U;
    auto bits = 0U;
    for (const auto byte : bytes) {
        group = group << 8 | static_cast<unsigned char>(byte);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text.push_back(alphabet[group >> bits & 0x3F]);
        }
    }
    if (bits > 0) {
        text.push_back(alphabet[group << (6 - bits) & 0x3F]);
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

inline std::string query(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto field = target.substr(
            at + 1, next == std::string::npos ? next : next - at - 1);
        if (field.compare(0, name.size() + 1, name + "=") == 0) {
            return field.substr(name.size() + 1);
        }
        at = next;
    }
    return {};
}

// Partition 0 of the log's topics, as PROTOCOL.md tells it.
class store {
public:
    explicit store(const std::string& ip)
        : server_{ip, [this](connection& link) {
                      serve(link);
                  }} {}
    ~store() {
        {
            auto lock = std::scoped_lock{mutex_};
            ending_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }

    const std::string& address() const { return server_.address(); }

    // Writes as the operator and the runners do. Returns the offset.
    std::uint64_t put(const std::string& topic, const std::string& key,
                      const std::string& value) {
        auto lock = std::scoped_lock{mutex_};
        return add(topic, static_cast<char>(key.size()) + key + value);
    }

    // Answers 503 to all calls while it is away, and ends those that wait.
    void set_away(bool away) {
        {
            auto lock = std::scoped_lock{mutex_};
            away_ = away;
        }
        changed_.notify_all();
    }
    // Comes back from a copy of `age` seconds before; a new era begins.
    void return_from_copy(double copied_at) {
        auto lock = std::scoped_lock{mutex_};
        for (auto& [name, topic] : topics_) {
            while (!topic.empty() && topic.back().at_ > copied_at) {
                topic.pop_back();
            }
        }
        ++era_;
    }
    std::uint64_t end_of(const std::string& topic) {
        auto lock = std::scoped_lock{mutex_};
        return topics_[topic].size();
    }

private:
    struct entry {
        std::string content_;
        double at_ = 0;
    };

    std::uint64_t add(const std::string& topic, std::string content) {
        auto& records = topics_[topic];
        records.push_back({std::move(content), now_s()});
        changed_.notify_all();
        return records.size() - 1;
    }

    void serve(connection& link) {
        while (true) {
            auto call = message{};
            if (!link.read(call, false, 1e9)) {
                return;
            }
            const auto answer = handle(call);
            sleep_s(0.004);
            if (!link.write(answer)) {
                return;
            }
        }
    }

    std::string respond(int status, const std::string& body) {
        return write_answer(
            status, "Store-Era: " + std::to_string(era_) + "\r\n", body);
    }

    std::string handle(const message& call) {
        const auto target = call.target();
        const auto path = target.substr(0, target.find('?'));
        const auto topic = query(target, "topic");
        auto lock = std::unique_lock{mutex_};
        if (away_) {
            return respond(503, "");
        }
        if (path == "/basilstream/log-append") {
            return append(topic, target, call.body_);
        }
        if (path == "/basilstream/log-read") {
            return read(topic, target, lock);
        }
        if (path == "/basilstream/log-newest") {
            return newest(topic);
        }
        return respond(404, "");
    }

    std::string append(const std::string& topic, const std::string& target,
                       std::string body) {
        if (topic == "keyed.op" || topic == "keyed.servers") {
            return respond(403, "");
        }
        const auto end = topics_[topic].size();
        const auto at = query(target, "at");
        if (!at.empty() && std::stoull(at) != end) {
            return respond(412, json{{"end", end}}.dump());
        }
        while (body.size() >= 4) {
            const auto length = read_big_endian(body.substr(0, 4));
            add(topic, body.substr(4, length));
            body.erase(0, 4 + length);
        }
        return respond(
            200, json{{"offset", end}, {"end", topics_[topic].size()}}.dump());
    }

    std::string read(const std::string& topic, const std::string& target,
                     std::unique_lock<std::mutex>& lock) {
        const auto from = std::stoull(query(target, "from"));
        const auto wait = query(target, "waitMs");
        const auto era = era_;
        if (from > topics_[topic].size()) {
            return respond(410, json{{"first", 0}}.dump());
        }
        if (!wait.empty() && from == topics_[topic].size()) {
            changed_.wait_for(lock, std::chrono::milliseconds(std::stoi(wait)),
                              [&] {
                                  return away_ || ending_ || era != era_ ||
                                         from < topics_[topic].size();
                              });
        }
        if (away_ || ending_) {
            return respond(503, "");
        }
        if (from > topics_[topic].size()) {
            return respond(410, json{{"first", 0}}.dump());
        }
        const auto& records = topics_[topic];
        auto body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (auto offset = from; offset < records.size(); ++offset) {
            const auto& content = records[offset].content_;
            body += big_endian(content.size(), 4) + content;
        }
        return respond(200, body);
    }

    std::string newest(const std::string& topic) {
        const auto& records = topics_[topic];
        auto offsets = std::map<std::string, std::size_t>{};
        const auto key_of = [](const std::string& content) {
            return content.substr(1,
                                  static_cast<unsigned char>(content.front()));
        };
        for (auto offset = std::size_t{0}; offset < records.size(); ++offset) {
            offsets[key_of(records[offset].content_)] = offset;
        }
        auto items = json::array();
        for (const auto& [key, offset] : offsets) {
            const auto value = records[offset].content_.substr(1 + key.size());
            if (!value.empty()) {
                items.push_back({{"key", key},
                                 {"value", base64(value)},
                                 {"offset", offset}});
            }
        }
        return respond(
            200,
            json{{"items", items}, {"more", false}, {"end", records.size()}}
                .dump());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
    bool away_ = false;
    bool ending_ = false;
    int era_ = 1;
    server server_;
};

// --- runners -----------------------------------------------------------------

// What a runner says of itself in the store.
struct runner_description {
    std::string id_;
    std::string service_;
    std::string version_ = "1.0";
    std::string zone_ = "a";
    int slots_ = 32;
};

// A runner of a service without models. `run` answers requests; it gets those
// that are meant for this runner only.
class runner {
public:
    using handler = std::function<void(const message&, connection&)>;

    runner(store& place, const std::string& ip, runner_description description,
           handler run)
        : store_{place}, description_{std::move(description)}, run_{std::move(
                                                                   run)},
          born_{unix_ms()}, server_{ip,
                                    [this](connection& link) {
                                        serve(link);
                                    }},
          beat_{[this] {
              announce_regularly();
          }} {}
    ~runner() {
        leaving_ = true;
        beat_.join();
        if (restarting_.joinable()) {
            restarting_.join();
        }
        server_.stop();
    }

    // Ends as a process that crashes, and is back after `seconds` under the
    // same id. Returns whether it was running. May be called by a handler.
    bool crash(double seconds) {
        auto lock = std::scoped_lock{mutex_};
        if (down_ || leaving_) {
            return false;
        }
        down_ = true;
        if (restarting_.joinable()) {
            restarting_.join();
        }
        restarting_ = std::thread{[this, seconds] {
            server_.stop();
            sleep_s(seconds);
            server_.start_again();
            {
                auto lock = std::scoped_lock{mutex_};
                born_ = unix_ms();
                sequence_ = 0;
                down_ = false;
            }
            announce();
        }};
        return true;
    }

    const runner_description& description() const { return description_; }
    const std::string& address() const { return server_.address(); }
    void set_state(const std::string& state) {
        {
            auto lock = std::scoped_lock{mutex_};
            state_ = state;
        }
        announce();
    }
    void announce() {
        auto lock = std::scoped_lock{mutex_};
        if (down_) {
            return;
        }
        store_.put("keyed.servers", description_.id_,
                   json{{"service", description_.service_},
                        {"address", server_.address()},
                        {"zone", description_.zone_},
                        {"version", description_.version_},
                        {"slots", description_.slots_},
                        {"state", state_},
                        {"coldLeftMs", 0},
                        {"sequence", ++sequence_},
                        {"born", born_}}
                       .dump());
    }

private:
    void announce_regularly() {
        while (!leaving_) {
            announce();
            for (auto part = 0; part < 12 && !leaving_; ++part) {
                sleep_s(0.1);
            }
        }
    }

    void serve(connection& link) {
        while (true) {
            auto request = message{};
            if (!link.read(request, false, 1e9)) {
                return;
            }
            const auto wanted = request.header("basilstream-expect-instance");
            if (!wanted.empty() && wanted != description_.id_) {
                if (!link.write(write_answer(
                        421,
                        "Basilstream-Instance-Id: " + description_.id_ + "\r\n",
                        ""))) {
                    return;
                }
                continue;
            }
            if (request.target() == "/health") {
                if (!link.write(write_answer(
                        200,
                        "Basilstream-Instance-Id: " + description_.id_ + "\r\n",
                        ""))) {
                    return;
                }
                continue;
            }
            run_(request, link);
            if (link.descriptor() < 0) {
                return;
            }
        }
    }

    store& store_;
    const runner_description description_;
    const handler run_;
    std::int64_t born_;
    std::mutex mutex_;
    bool down_ = false;
    std::thread restarting_;
    std::string state_ = "ready";
    int sequence_ = 0;
    std::atomic<bool> leaving_{false};
    server server_;
    std::thread beat_;
};

// --- daemons -----------------------------------------------------------------

struct daemon_addresses {
    std::string callers_;
    std::string readiness_;
    std::string directory_;
    std::string metrics_;
};

// A daemon, started by the command of deploy/system.toml with settings made
// like those of its template.
class daemon_process {
public:
    daemon_process(std::string name, std::string ip, std::string store_address,
                   std::string directory, json changes = json::object())
        : name_{std::move(name)}, ip_{std::move(ip)},
          settings_path_{directory + "/" + name_ + ".json"},
          log_path_{directory + "/" + name_ + ".log"} {
        const auto at = [this] {
            return ip_ + ":" + std::to_string(free_port(ip_));
        };
        addresses_ = {at(), at(), at(), at()};
        const auto first_port = 20000 + static_cast<int>(::getpid()) % 20000;
        auto settings = json{
            {"name", name_},
            {"zone", "a"},
            {"relay",
             {{"callers", addresses_.callers_},
              {"readiness", addresses_.readiness_},
              {"directory", addresses_.directory_},
              {"metrics", addresses_.metrics_}}},
            {"peer", {{"ip", ip_}, {"ports", {first_port, first_port + 15}}}},
            {"store", {{"address", std::move(store_address)}}},
            {"limits",
             {{"retry_ratio", 0.2},
              {"retry_allowance", 54},
              {"retry_window_s", 10},
              {"lease_ms", 3000},
              {"load_window_s", 5},
              {"announcement_delay_ms", 2000},
              {"config_delay_ms", 2000},
              {"allowance_window_s", nullptr},
              {"allowance_overrun", nullptr},
              {"allowance_slack", nullptr},
              {"memory_mb", 260}}},
            {"scheduling", {{"least_cost", true}}},
            {"stop", {{"grace_s", 8}}},
            {"logging", {{"level", "info"}, {"format", "json"}}}};
        settings.merge_patch(changes);
        std::ofstream{settings_path_} << settings.dump(2);
        start();
    }
    ~daemon_process() { kill(); }

    const std::string& name() const { return name_; }
    const daemon_addresses& addresses() const { return addresses_; }
    pid_t process() const { return process_; }

    void start() {
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto log =
                ::open(log_path_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const auto files = rlimit{4100, 4100};
            ::setrlimit(RLIMIT_NOFILE, &files);
            ::execl("target/bin/basilstreamd", "target/bin/basilstreamd",
                    "--config", settings_path_.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void signal(int number) { ::kill(process_, number); }
    void kill() {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }
    // Whether the process has ended by itself; gives its status once.
    std::optional<int> ended() {
        auto status = 0;
        if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) > 0) {
            process_ = -1;
            return status;
        }
        return std::nullopt;
    }
    bool ready() {
        return get_status(addresses_.readiness_, "/basilstream/readiness") ==
               200;
    }
    bool wait_ready(double timeout) {
        const auto deadline = now_s() + timeout;
        while (now_s() < deadline) {
            if (ready()) {
                return true;
            }
            sleep_s(0.1);
        }
        return false;
    }
    static int get_status(const std::string& address,
                          const std::string& target) {
        const auto descriptor = connect_to(address, 1);
        if (descriptor < 0) {
            return 0;
        }
        auto link = connection{descriptor};
        link.write("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        auto answer = message{};
        return link.read(answer, true, now_s() + 1) ? answer.status() : 0;
    }

private:
    const std::string name_;
    const std::string ip_;
    const std::string settings_path_;
    const std::string log_path_;
    daemon_addresses addresses_;
    pid_t process_ = -1;
};

// The addresses that a client is told to use, as it asks for them.
inline std::vector<std::string>
resolve(const std::vector<std::string>& directories, const std::string& zone) {
    for (const auto& directory : directories) {
        const auto descriptor = connect_to(directory, 1);
        if (descriptor < 0) {
            continue;
        }
        auto link = connection{descriptor};
        link.write("GET /basilstream/resolve?name=app.example&region=r&zone=" +
                   zone + " HTTP/1.1\r\nHost: x\r\n\r\n");
        auto answer = message{};
        if (link.read(answer, true, now_s() + 1) && answer.status() == 200) {
            const auto body = json::parse(answer.body_, nullptr, false);
            if (body.is_object() && body.contains("addresses")) {
                return body["addresses"].get<std::vector<std::string>>();
            }
        }
    }
    return {};
}

// --- a run -------------------------------------------------------------------

struct run_options {
    bool trouble_ = true;
    std::string directory_;
    std::string network_; // "127.A.B."
};

inline run_options begin_run(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    auto options = run_options{};
    if (argc < 3) {
        std::fprintf(stderr, "usage: case RECORD DIRECTORY\n");
        std::exit(2);
    }
    record = std::make_unique<record_file>(argv[1]);
    options.directory_ = argv[2];
    const auto* const trouble = std::getenv("TROUBLE");
    options.trouble_ = trouble == nullptr || std::string{trouble} != "0";
    const auto id = static_cast<unsigned>(::getpid());
    options.network_ = "127." + std::to_string(64 + id / 250 % 128) + "." +
                       std::to_string(1 + id % 250) + ".";
    began = steady::now();
    return options;
}

} // namespace review
