// Stand-ins for the platform's store, for runners and for clients, and the
// start of daemons as processes, for the scripts of the review. One thread:
// everything runs on one poll loop on the real clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;

// Seconds since the start of the program.
inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// What was sent, answered and run, one line each.
class record {
public:
    static record& get() {
        static record instance;
        return instance;
    }
    void open(const std::string& path) { file_.open(path); }
    void line(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", now());
        file_ << time << text << std::endl;
    }

private:
    std::ofstream file_;
};

inline void note(const std::string& text) {
    record::get().line(text);
}

// Ends the program: 0 if the rule held, 1 if it was broken, 2 if the case could
// not run.
enum verdict { held = 0, broken = 1, could_not_run = 2 };

// ---- poll loop --------------------------------------------------------------

class loop {
public:
    static loop& get() {
        static loop instance;
        return instance;
    }
    void watch(int fd, short events, std::function<void(short)> handler) {
        handlers_[fd] = {events, std::make_shared<std::function<void(short)>>(
                                     std::move(handler))};
    }
    void set_events(int fd, short events) {
        if (auto found = handlers_.find(fd); found != handlers_.end()) {
            found->second.events_ = events;
        }
    }
    void forget(int fd) { handlers_.erase(fd); }
    void at(double time, std::function<void()> task) {
        timers_.emplace(time, std::move(task));
    }
    void after(double delay, std::function<void()> task) {
        at(now() + delay, std::move(task));
    }
    void every(double interval, std::function<bool()> task) {
        after(interval, [this, interval, task] {
            if (task()) {
                every(interval, task);
            }
        });
    }
    void run_until(double end) {
        stopped_ = false;
        while (!stopped_ && now() < end) {
            while (!timers_.empty() && timers_.begin()->first <= now()) {
                auto task = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                task();
            }
            const auto next =
                timers_.empty() ? end : std::min(end, timers_.begin()->first);
            auto polled = std::vector<pollfd>{};
            for (const auto& [fd, entry] : handlers_) {
                polled.push_back({fd, entry.events_, 0});
            }
            const auto wait = std::max(0.0, next - now());
            ::poll(polled.data(), polled.size(),
                   static_cast<int>(wait * 1000) + (wait > 0 ? 1 : 0));
            for (const auto& each : polled) {
                if (each.revents == 0) {
                    continue;
                }
                const auto found = handlers_.find(each.fd);
                if (found != handlers_.end()) {
                    const auto handler = found->second.handler_;
                    (*handler)(each.revents);
                }
            }
        }
    }
    void stop() { stopped_ = true; }

private:
    struct entry {
        short events_;
        std::shared_ptr<std::function<void(short)>> handler_;
    };
    std::map<int, entry> handlers_;
    std::multimap<double, std::function<void()>> timers_;
    bool stopped_ = false;
};

// ---- TCP --------------------------------------------------------------------

inline sockaddr_in parse_address(const std::string& text) {
    auto address = sockaddr_in{};
    const auto colon = text.find(':');
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

// A port on which `ip` was free a moment ago.
inline int free_port(const std::string& ip) {
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = parse_address(ip + ":0");
    auto size = socklen_t{sizeof address};
    ::bind(fd, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

class connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(int fd) : fd_{fd} {}
    ~connection() { drop(); }

    void start(bool connecting) {
        connecting_ = connecting;
        const auto self = weak_from_this();
        loop::get().watch(fd_, connecting ? POLLOUT : POLLIN,
                          [self](short events) {
                              if (const auto alive = self.lock()) {
                                  alive->on_events(events);
                              }
                          });
    }
    void write(const std::string& bytes) {
        if (fd_ < 0) {
            return;
        }
        output_ += bytes;
        if (!connecting_) {
            flush();
        }
    }
    // Closes once everything has been sent.
    void close_when_sent() {
        closing_ = true;
        if (!connecting_) {
            flush();
        }
    }
    void reset() {
        if (fd_ >= 0) {
            const auto hard = linger{1, 0};
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        }
        drop();
    }
    void drop() {
        if (fd_ >= 0) {
            loop::get().forget(fd_);
            ::close(std::exchange(fd_, -1));
        }
    }
    void set_reading(bool wanted) {
        reading_ = wanted;
        update();
    }
    // Reads at most this many bytes at a time.
    void set_read_size(std::size_t size) { read_size_ = size; }
    bool open() const { return fd_ >= 0; }

    std::function<void(const std::string&)> on_data_;
    std::function<void(const std::string&)> on_closed_;

private:
    void update() {
        if (fd_ < 0) {
            return;
        }
        auto events = short{0};
        if (reading_ && !connecting_) {
            events |= POLLIN;
        }
        if (connecting_ || !output_.empty()) {
            events |= POLLOUT;
        }
        loop::get().set_events(fd_, events);
    }
    void flush() {
        while (fd_ >= 0 && !output_.empty()) {
            const auto sent =
                ::send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                if (errno != EAGAIN && errno != EWOULDBLOCK) {
                    end(std::strerror(errno));
                    return;
                }
                break;
            }
            output_.erase(0, static_cast<std::size_t>(sent));
        }
        if (closing_ && output_.empty()) {
            drop();
            return;
        }
        update();
    }
    void end(const std::string& reason) {
        const auto self = shared_from_this();
        drop();
        if (const auto handler = std::exchange(on_closed_, nullptr)) {
            handler(reason);
        }
    }
    void on_events(short events) {
        const auto self = shared_from_this();
        if (connecting_) {
            auto failure = 0;
            auto size = socklen_t{sizeof failure};
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failure, &size);
            if (failure != 0) {
                end(std::string{"not connected: "} + std::strerror(failure));
                return;
            }
            connecting_ = false;
            update();
        }
        if ((events & POLLOUT) != 0) {
            flush();
        }
        if (fd_ < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0 ||
            (!reading_ && (events & POLLIN) != 0)) {
            return;
        }
        auto buffer = std::string(read_size_, '\0');
        const auto count = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            buffer.resize(static_cast<std::size_t>(count));
            if (on_data_) {
                const auto handler = on_data_;
                handler(buffer);
            }
        } else if (count == 0) {
            end("closed");
        } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
            end(errno == ECONNRESET ? "reset" : std::strerror(errno));
        }
    }

    int fd_;
    bool connecting_ = false;
    bool closing_ = false;
    bool reading_ = true;
    std::size_t read_size_ = 65536;
    std::string output_;
};

using connection_pointer = std::shared_ptr<connection>;

inline connection_pointer connect_to(const std::string& target,
                                     int receive_buffer = 0) {
    const auto fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receive_buffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    auto address = parse_address(target);
    ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    auto made = std::make_shared<connection>(fd);
    made->start(true);
    return made;
}

class listener {
public:
    listener(const std::string& ip,
             std::function<void(const connection_pointer&)> accepted,
             int port = 0) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = parse_address(ip + ":" + std::to_string(port));
        auto size = socklen_t{sizeof address};
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(fd_, 1024) != 0) {
            std::cerr << "cannot listen on " << ip << ":" << port << "\n";
            std::_Exit(could_not_run);
        }
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
        loop::get().watch(fd_, POLLIN, [this, accepted](short) {
            while (true) {
                const auto fd = ::accept4(fd_, nullptr, nullptr,
                                          SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const auto on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                auto made = std::make_shared<connection>(fd);
                made->start(false);
                accepted(made);
            }
        });
    }
    ~listener() {
        loop::get().forget(fd_);
        ::close(fd_);
    }
    const std::string& address() const { return address_; }

private:
    int fd_ = -1;
    std::string address_;
};

// ---- HTTP -------------------------------------------------------------------

using header_map = std::map<std::string, std::string>;

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return std::tolower(each); });
    return text;
}

struct message {
    std::string first_line_;
    std::string method_;
    std::string target_;
    header_map headers_;
    std::string body_;

    std::string header(const std::string& name) const {
        const auto found = headers_.find(lower(name));
        return found == headers_.end() ? std::string{} : found->second;
    }
    std::string path() const { return target_.substr(0, target_.find('?')); }
    std::string query(const std::string& name) const {
        const auto begin = target_.find('?');
        auto rest = begin == std::string::npos ? "" : target_.substr(begin + 1);
        auto stream = std::istringstream{rest};
        for (auto part = std::string{}; std::getline(stream, part, '&');) {
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
};

// Takes the head of a message from the front of `buffer` if it is complete.
inline std::optional<message> take_head(std::string& buffer) {
    const auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto stream = std::istringstream{buffer.substr(0, end)};
    auto taken = message{};
    std::getline(stream, taken.first_line_);
    auto words = std::istringstream{taken.first_line_};
    words >> taken.method_ >> taken.target_;
    for (auto line = std::string{}; std::getline(stream, line);) {
        while (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            taken.headers_[lower(line.substr(0, colon))] = value;
        }
    }
    buffer.erase(0, end + 4);
    return taken;
}

// Calls `handler` for each request of a connection. The handler answers with
// answer() or with bytes of its own; the next request is read when it comes.
inline void
serve(const connection_pointer& peer,
      std::function<void(const message&, const connection_pointer&)> handler) {
    struct state {
        std::string buffer_;
        std::optional<message> head_;
    };
    const auto held = std::make_shared<state>();
    const auto weak = std::weak_ptr<connection>{peer};
    // The loop's handler holds the connection only weakly.
    static auto open = std::set<connection_pointer>{};
    open.insert(peer);
    peer->on_closed_ = [weak](const std::string&) {
        if (const auto alive = weak.lock()) {
            open.erase(alive);
        }
    };
    peer->on_data_ = [held, weak, handler](const std::string& bytes) {
        held->buffer_ += bytes;
        while (const auto alive = weak.lock()) {
            if (!alive->open()) {
                open.erase(alive);
                return;
            }
            if (!held->head_) {
                held->head_ = take_head(held->buffer_);
            }
            if (!held->head_) {
                return;
            }
            const auto text = held->head_->header("Content-Length");
            const auto length = text.empty() ? 0UL : std::stoul(text);
            if (held->buffer_.size() < length) {
                return;
            }
            auto request = *std::exchange(held->head_, std::nullopt);
            request.body_ = held->buffer_.substr(0, length);
            held->buffer_.erase(0, length);
            handler(request, alive);
        }
    };
}

inline std::string answer_text(int status, const std::string& body,
                               const std::string& headers = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What a client has got of an answer.
struct client_answer {
    int status_ = 0;
    header_map headers_;
    std::string body_;
    // Whether the framing says that the answer is whole.
    bool complete_ = false;
    // How the connection ended if it is not.
    std::string end_;
    double sent_at_ = 0;
    double ended_at_ = 0;
};

struct client_options {
    // Bytes a second that the client reads; 0 for no bound.
    double read_rate_ = 0;
    // Bytes a second that the client sends; 0 for no bound.
    double write_rate_ = 0;
    // Called with each piece of the body.
    std::function<void(const std::string&)> on_piece_ = nullptr;
};

// Sends one request on a connection of its own.
class client_call : public std::enable_shared_from_this<client_call> {
public:
    using handler = std::function<void(const client_answer&)>;

    static std::shared_ptr<client_call> send(const std::string& target,
                                             const std::string& bytes,
                                             handler done,
                                             client_options options = {}) {
        auto made = std::make_shared<client_call>();
        made->done_ = std::move(done);
        made->options_ = std::move(options);
        made->answer_.sent_at_ = now();
        made->peer_ =
            connect_to(target, made->options_.read_rate_ > 0 ? 16384 : 0);
        made->self_ = made;
        auto* const raw = made.get();
        made->peer_->on_data_ = [raw](const std::string& piece) {
            raw->on_data(piece);
        };
        made->peer_->on_closed_ = [raw](const std::string& reason) {
            raw->on_closed(reason);
        };
        if (made->options_.write_rate_ > 0) {
            made->send_paced(bytes);
        } else {
            made->peer_->write(bytes);
        }
        if (made->options_.read_rate_ > 0) {
            made->peer_->set_read_size(
                static_cast<std::size_t>(made->options_.read_rate_ / 100));
        }
        return made;
    }
    void leave() {
        peer_->drop();
        finish("left");
    }

private:
    void send_paced(const std::string& bytes) {
        const auto left = std::make_shared<std::string>(bytes);
        const auto weak = weak_from_this();
        constexpr auto step_s = 0.02;
        loop::get().every(step_s, [left, weak] {
            const auto alive = weak.lock();
            if (!alive || !alive->peer_->open()) {
                return false;
            }
            const auto size = std::min(
                left->size(),
                static_cast<std::size_t>(alive->options_.write_rate_ * step_s));
            alive->peer_->write(left->substr(0, size));
            left->erase(0, size);
            return !left->empty();
        });
    }
    void on_data(const std::string& piece) {
        const auto alive = self_;
        buffer_ += piece;
        if (options_.read_rate_ > 0) {
            peer_->set_reading(false);
            loop::get().after(0.01,
                              [alive] { alive->peer_->set_reading(true); });
        }
        if (answer_.status_ == 0) {
            auto head = take_head(buffer_);
            if (!head) {
                return;
            }
            answer_.status_ = std::atoi(head->target_.c_str());
            answer_.headers_ = head->headers_;
            chunked_ = head->header("Transfer-Encoding") == "chunked";
            const auto length = head->header("Content-Length");
            left_ = length.empty() ? std::nullopt
                                   : std::optional{std::stoul(length)};
        }
        read_body();
    }
    void take_body(const std::string& piece) {
        answer_.body_ += piece;
        if (options_.on_piece_ && !piece.empty()) {
            options_.on_piece_(piece);
        }
    }
    void read_body() {
        if (!chunked_ && left_) {
            const auto taken = std::min(*left_, buffer_.size());
            take_body(buffer_.substr(0, taken));
            buffer_.erase(0, taken);
            *left_ -= taken;
            if (*left_ == 0) {
                answer_.complete_ = true;
                peer_->drop();
                finish("whole");
            }
            return;
        }
        while (chunked_) {
            const auto line = buffer_.find("\r\n");
            if (line == std::string::npos) {
                return;
            }
            const auto size = std::stoul(buffer_.substr(0, line), nullptr, 16);
            if (buffer_.size() < line + 2 + size + 2) {
                return;
            }
            if (size == 0) {
                answer_.complete_ = true;
                peer_->drop();
                finish("whole");
                return;
            }
            take_body(buffer_.substr(line + 2, size));
            buffer_.erase(0, line + 2 + size + 2);
        }
    }
    void on_closed(const std::string& reason) { finish(reason); }
    void finish(const std::string& end) {
        const auto alive = std::exchange(self_, nullptr);
        if (!alive) {
            return;
        }
        answer_.end_ = end;
        answer_.ended_at_ = now();
        if (const auto done = std::exchange(done_, nullptr)) {
            done(answer_);
        }
    }

    connection_pointer peer_;
    std::shared_ptr<client_call> self_;
    handler done_;
    client_options options_;
    client_answer answer_;
    std::string buffer_;
    bool chunked_ = false;
    std::optional<std::size_t> left_;
};

// Passes bytes between clients and a daemon, and resets connections.
class proxy {
public:
    explicit proxy(std::string target) : target_{std::move(target)} {
        listener_ = std::make_unique<listener>(
            "127.0.0.1", [this](const connection_pointer& client) {
                const auto server = connect_to(target_);
                pairs_.emplace_back(client, server);
                pass(client, server);
                pass(server, client);
            });
    }
    const std::string& address() const { return listener_->address(); }
    // Resets this share of the connections that are open.
    int reset(double share) {
        auto count = 0;
        for (const auto& [client, server] : pairs_) {
            if (client->open() && std::rand() < share * RAND_MAX) {
                client->reset();
                server->reset();
                ++count;
            }
        }
        return count;
    }

private:
    static void pass(const connection_pointer& from,
                     const connection_pointer& to) {
        const auto other = std::weak_ptr<connection>{to};
        from->on_data_ = [other](const std::string& bytes) {
            if (const auto alive = other.lock()) {
                alive->write(bytes);
            }
        };
        from->on_closed_ = [other](const std::string& reason) {
            if (const auto alive = other.lock()) {
                if (reason == "closed") {
                    alive->close_when_sent();
                } else {
                    alive->reset();
                }
            }
        };
    }

    const std::string target_;
    std::unique_ptr<listener> listener_;
    std::vector<std::pair<connection_pointer, connection_pointer>> pairs_;
};

// ---- the platform's store ---------------------------------------------------

inline std::string big_endian(std::uint64_t value, int bytes) {
    auto text = std::string{};
    for (auto index = bytes; index-- > 0;) {
        text.push_back(static_cast<char>((value >> (8 * index)) & 0xFF));
    }
    return text;
}

inline std::string base64(const std::string& bytes) {
    static const auto alphabet = std::string{
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    auto text = std::string{};
    auto group = 0U;
    auto bits = 0;
    for (const auto byte : bytes) {
        group = (group << 8) | static_cast<unsigned char>(byte);
        for (bits += 8; bits >= 6;) {
            bits -= 6;
            text += alphabet[(group >> bits) & 0x3F];
        }
    }
    if (bits > 0) {
        text += alphabet[(group << (6 - bits)) & 0x3F];
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

class store {
public:
    using topics = std::map<std::string, std::vector<std::string>>;

    // An address at which one machine reaches the store.
    std::string add_view(const std::string& machine) {
        auto& made = views_[machine];
        made.listener_ = std::make_unique<listener>(
            "127.0.0.1", [this, machine](const connection_pointer& peer) {
                serve(peer, [this, machine](const message& request,
                                            const connection_pointer& caller) {
                    answer(machine, request, caller);
                });
            });
        return made.listener_->address();
    }
    // The store turns this machine away (503) and serves the others.
    void turn_away(const std::string& machine, bool wanted) {
        views_[machine].turned_away_ = wanted;
    }
    // All machines are turned away.
    void set_away(bool wanted) { away_ = wanted; }
    // When a machine last read or listed a topic with an answer.
    double last_read(const std::string& machine, const std::string& topic) {
        return views_[machine].last_read_[topic];
    }
    int reads(const std::string& machine, const std::string& topic) {
        return views_[machine].reads_[topic];
    }

    void put(const std::string& topic, const std::string& key,
             const std::string& value) {
        add(topic, static_cast<char>(key.size()) + key + value);
    }
    std::size_t end(const std::string& topic) { return topics_[topic].size(); }
    const topics& copy() const { return topics_; }
    // The store comes back from an older copy: its era rises, and what was
    // written since is gone.
    void restore(const topics& copy) {
        topics_ = copy;
        ++era_;
        for (auto& waiting : std::exchange(waiting_, {})) {
            waiting.peer_->reset();
        }
    }

    std::function<void(const std::string& machine, const std::string& topic,
                       std::size_t offset, const std::string& content)>
        on_append_;

private:
    struct view {
        std::unique_ptr<listener> listener_;
        bool turned_away_ = false;
        std::map<std::string, double> last_read_;
        std::map<std::string, int> reads_;
    };
    struct waiting_read {
        std::string topic_;
        std::size_t from_;
        connection_pointer peer_;
        int number_;
    };

    void respond(const connection_pointer& peer, int status,
                 const std::string& body) {
        peer->write(
            answer_text(status, body,
                        "Content-Type: application/json\r\nStore-Era: " +
                            std::to_string(era_) + "\r\n"));
    }
    static std::string key_of(const std::string& content) {
        return content.substr(1, static_cast<unsigned char>(content[0]));
    }
    static std::string value_of(const std::string& content) {
        return content.substr(1 + static_cast<unsigned char>(content[0]));
    }
    std::string page(const std::string& topic, std::size_t from) {
        const auto& records = topics_[topic];
        auto body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (auto offset = from; offset < records.size(); ++offset) {
            body += big_endian(records[offset].size(), 4) + records[offset];
        }
        return body;
    }
    void add(const std::string& topic, const std::string& content) {
        topics_[topic].push_back(content);
        auto due = std::vector<waiting_read>{};
        for (auto each = waiting_.begin(); each != waiting_.end();) {
            if (each->topic_ == topic) {
                due.push_back(*each);
                each = waiting_.erase(each);
            } else {
                ++each;
            }
        }
        for (const auto& read : due) {
            respond(read.peer_, 200, page(topic, read.from_));
        }
    }
    void answer(const std::string& machine, const message& request,
                const connection_pointer& peer) {
        auto& seen = views_[machine];
        if (away_ || seen.turned_away_) {
            respond(peer, 503, "{}");
            return;
        }
        const auto topic = request.query("topic");
        auto& records = topics_[topic];
        if (request.path() == "/basilstream/log-append") {
            const auto at = request.query("at");
            const auto end = records.size();
            if (!at.empty() && std::stoul(at) != end) {
                respond(peer, 412, json{{"end", end}}.dump());
                return;
            }
            auto body = request.body_;
            while (body.size() >= 4) {
                auto length = std::size_t{0};
                for (auto index = 0; index < 4; ++index) {
                    length =
                        (length << 8) | static_cast<unsigned char>(body[index]);
                }
                const auto content = body.substr(4, length);
                body.erase(0, 4 + length);
                if (on_append_) {
                    on_append_(machine, topic, topics_[topic].size(), content);
                }
                add(topic, content);
            }
            respond(
                peer, 200,
                json{{"offset", end}, {"end", topics_[topic].size()}}.dump());
        } else if (request.path() == "/basilstream/log-read") {
            const auto from = std::stoul(request.query("from"));
            const auto wait = request.query("waitMs");
            if (from > records.size()) {
                respond(peer, 410, json{{"first", 0}}.dump());
                return;
            }
            seen.last_read_[topic] = now();
            ++seen.reads_[topic];
            if (from < records.size() || wait.empty() || wait == "0") {
                respond(peer, 200, page(topic, from));
                return;
            }
            const auto number = ++last_wait_;
            waiting_.push_back({topic, from, peer, number});
            loop::get().after(std::stod(wait) / 1000, [this, number] {
                for (auto each = waiting_.begin(); each != waiting_.end();
                     ++each) {
                    if (each->number_ == number) {
                        const auto read = *each;
                        waiting_.erase(each);
                        respond(read.peer_, 200, page(read.topic_, read.from_));
                        return;
                    }
                }
            });
        } else if (request.path() == "/basilstream/log-newest") {
            seen.last_read_[topic] = now();
            ++seen.reads_[topic];
            auto newest = std::map<std::string, std::size_t>{};
            for (auto offset = std::size_t{0}; offset < records.size();
                 ++offset) {
                newest[key_of(records[offset])] = offset;
            }
            auto items = json::array();
            for (const auto& [key, offset] : newest) {
                const auto value = value_of(records[offset]);
                if (!value.empty()) {
                    items.push_back({{"key", key},
                                     {"value", base64(value)},
                                     {"offset", offset}});
                }
            }
            respond(
                peer, 200,
                json{{"items", items}, {"more", false}, {"end", records.size()}}
                    .dump());
        } else {
            respond(peer, 404, "{}");
        }
    }

    topics topics_;
    int era_ = 1;
    bool away_ = false;
    std::map<std::string, view> views_;
    std::vector<waiting_read> waiting_;
    int last_wait_ = 0;
};

// ---- runners ----------------------------------------------------------------

// A runner that announces itself in the store and answers status checks,
// reports and orders. Requests go to `on_request_`.
class runner {
public:
    using handler =
        std::function<void(const message&, const connection_pointer&)>;

    runner(store& platform, std::string id, std::string service,
           std::string version, handler on_request)
        : store_{platform}, id_{std::move(id)}, service_{std::move(service)},
          version_{std::move(version)}, on_request_{std::move(on_request)} {}

    // Starts a process of this runner and announces it.
    void start(std::string version = {}) {
        if (!version.empty()) {
            version_ = std::move(version);
        }
        born_ = unix_ms();
        ++process_;
        orders_ = 0;
        busy_ = false;
        models_ = held_at_start_;
        const auto port =
            address_.empty()
                ? 0
                : std::stoi(address_.substr(address_.find(':') + 1));
        listener_ = std::make_unique<listener>(
            "127.0.0.1",
            [this](const connection_pointer& peer) {
                peers_.push_back(peer);
                serve(peer, [this](const message& request,
                                   const connection_pointer& caller) {
                    answer(request, caller);
                });
            },
            port);
        address_ = listener_->address();
        announce();
        loop::get().every(heartbeat_, [this, process = process_] {
            if (process != process_ || !listener_) {
                return false;
            }
            announce();
            return true;
        });
    }
    // The process ends: its connections are reset and its port refuses.
    void crash() {
        listener_.reset();
        for (const auto& each : std::exchange(peers_, {})) {
            if (const auto peer = each.lock()) {
                peer->reset();
            }
        }
    }
    void announce() {
        auto models = json::array();
        for (const auto& name : models_) {
            models.push_back(
                {{"name", name}, {"version", 1}, {"adapters", json::array()}});
        }
        store_.put("keyed.servers", id_,
                   json{{"service", service_},
                        {"address", address_},
                        {"zone", "muc-a"},
                        {"version", version_},
                        {"slots", slots_},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"models", models},
                        {"sequence", ++beats_},
                        {"born", born_}}
                       .dump());
    }
    const std::string& id() const { return id_; }
    const std::string& version() const { return version_; }
    bool running() const { return listener_ != nullptr; }

    std::vector<std::string> held_at_start_;
    int slots_ = 32;
    double heartbeat_ = 1.2;
    // Time that a load takes.
    double load_s_ = 2;
    // Called with each order that arrives; returns the status to answer.
    std::function<int(const json&)> on_order_;

private:
    void answer(const message& request, const connection_pointer& peer) {
        const auto expected = request.header("Basilstream-Expect-Instance");
        const auto id = request.header("Basilstream-Request-Id");
        const auto echo =
            id.empty() ? "" : "Basilstream-Request-Id: " + id + "\r\n";
        if (!expected.empty() && expected != id_) {
            peer->write(answer_text(421, "", echo));
        } else if (request.path() == "/health") {
            peer->write(answer_text(
                200, "", "Basilstream-Instance-Id: " + id_ + "\r\n"));
        } else if (request.path() == "/basilstream/report") {
            auto models = json::array();
            for (const auto& name : models_) {
                models.push_back({{"name", name},
                                  {"version", 1},
                                  {"adapters", json::array()}});
            }
            peer->write(answer_text(200, json{{"stage", "both"},
                                              {"models", models},
                                              {"busy", busy_},
                                              {"sequence", orders_},
                                              {"waiting", 0},
                                              {"running", 0},
                                              {"kvUsed", 0},
                                              {"kvTotal", 90000},
                                              {"handles", 0}}
                                             .dump()));
        } else if (request.path() == "/basilstream/order") {
            const auto order = json::parse(request.body_);
            auto status = on_order_ ? on_order_(order) : 202;
            if (busy_ || (order.contains("expect") &&
                          order["expect"].get<int>() != orders_)) {
                status = 409;
            }
            if (status == 202) {
                ++orders_;
                begin(order);
            }
            peer->write(answer_text(status, ""));
        } else if (const auto model = request.header("Basilstream-Model");
                   !model.empty() && std::find(models_.begin(), models_.end(),
                                               model) == models_.end()) {
            peer->write(answer_text(
                421, "",
                echo + std::string{"Basilstream-Not-Executed: 1\r\n"}));
        } else {
            on_request_(request, peer);
        }
    }
    // An order for a model is under way for the time that a load takes.
    void begin(const json& order) {
        if (order.contains("adapter")) {
            return;
        }
        busy_ = true;
        loop::get().after(load_s_, [this, order, process = process_] {
            if (process != process_) {
                return;
            }
            busy_ = false;
            const auto name = order["model"].get<std::string>();
            std::erase(models_, name);
            if (order["operation"] == "loading") {
                models_.push_back(name);
            }
            announce();
        });
    }

    store& store_;
    const std::string id_;
    const std::string service_;
    std::string version_;
    handler on_request_;
    std::unique_ptr<listener> listener_;
    std::vector<std::weak_ptr<connection>> peers_;
    std::string address_;
    std::int64_t born_ = 0;
    int process_ = 0;
    int beats_ = 0;
    int orders_ = 0;
    bool busy_ = false;
    std::vector<std::string> models_;
};

// ---- daemons ----------------------------------------------------------------

// The fields that the platform fills into the template of the deploy file, with
// the figures of angebotswerk-muc.
inline json platform_fields(const std::string& name, const std::string& ip,
                            const std::string& store_address,
                            const std::vector<int>& ports) {
    const auto at = [&](int index) {
        return ip + ":" + std::to_string(ports[index]);
    };
    return {
        {"node", name},
        {"zone", "muc-a"},
        {"ipAddress", ip},
        {"listen", {{"front", at(0)}, {"ready", at(1)}, {"directory", at(2)}}},
        {"internalPorts", {ports[3], ports[3] + 15}},
        {"platform", {{"address", store_address}}},
        {"bounds",
         {{"budgetRatio", 0.2},
          {"retryAllowance", 54},
          {"budgetWindowS", 10},
          {"leaseMs", 3000},
          {"ceilingWindowS", 5},
          {"drainMs", 2000},
          {"configPropagationMs", 2000},
          {"graceS", 8}}}};
}

// Fills {{name}} and {{name|json}} of a template; the project's template has no
// sections.
inline std::string fill_template(std::string text, const json& fields) {
    for (auto begin = text.find("{{"); begin != std::string::npos;
         begin = text.find("{{", begin)) {
        const auto end = text.find("}}", begin);
        auto name = text.substr(begin + 2, end - begin - 2);
        const auto bar = name.find('|');
        const auto as_json = bar != std::string::npos;
        name = name.substr(0, bar);
        auto path = std::istringstream{name};
        const auto* value = &fields;
        for (auto part = std::string{}; std::getline(path, part, '.');) {
            value = &value->at(part);
        }
        const auto filled = as_json || !value->is_string()
                                ? value->dump()
                                : value->get<std::string>();
        text.replace(begin, end + 2 - begin, filled);
        begin += filled.size();
    }
    return text;
}

inline std::string read_file(const std::string& path) {
    auto file = std::ifstream{path};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

// The address of a machine; each run of a script has machines of its own.
inline std::string machine_ip(int index) {
    const auto pid = ::getpid();
    return "127." + std::to_string(10 + pid % 200) + "." +
           std::to_string(pid / 200 % 250) + "." + std::to_string(index + 1);
}

// A daemon as a process of its own, started with the command of the deploy
// file. The working directory is the root of the repository.
class daemon_process {
public:
    daemon_process(std::string name, const std::string& ip, store& platform,
                   const std::string& directory)
        : name_{std::move(name)}, ip_{ip}, directory_{directory} {
        ports_ = {free_port(ip), free_port(ip), free_port(ip), 0};
        // Sixteen ports in a row for traffic between daemons.
        ports_[3] = 20000 + (::getpid() * 37 + std::rand()) % 8000;
        auto settings = fill_template(
            read_file("deploy/settings.json.template"),
            platform_fields(name_, ip, platform.add_view(name_), ports_));
        auto document = json::parse(settings);
        document["relay"]["metrics"] = ip + ":" + std::to_string(free_port(ip));
        std::ofstream{directory_ + "/" + name_ + ".json"} << document.dump(2);
    }
    ~daemon_process() { kill_now(); }

    void start() {
        // run = "target/bin/basilstreamd --config FILE" of deploy/system.toml.
        const auto program = std::string{"target/bin/basilstreamd"};
        const auto settings = directory_ + "/" + name_ + ".json";
        const auto log = directory_ + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto output =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl(program.c_str(), program.c_str(), "--config",
                    settings.c_str(), nullptr);
            ::_exit(127);
        }
        note("daemon " + name_ + " starts, process " + std::to_string(pid_));
    }
    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    // Whether the process has ended by now.
    bool ended() {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ < 0;
    }
    void kill_now() {
        if (!ended()) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    // Resident memory in MB, now; 0 until the program itself runs.
    double memory_mb() const {
        auto name = read_file("/proc/" + std::to_string(pid_) + "/comm");
        if (name.rfind("basilstreamd", 0) != 0) {
            return 0;
        }
        auto file = std::ifstream{"/proc/" + std::to_string(pid_) + "/status"};
        for (auto line = std::string{}; std::getline(file, line);) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::stod(line.substr(6)) / 1024;
            }
        }
        return 0;
    }
    std::string address(int which) const {
        return ip_ + ":" + std::to_string(ports_[which]);
    }
    std::string front() const { return address(0); }
    std::string ready() const { return address(1); }
    std::string log_path() const { return directory_ + "/" + name_ + ".log"; }
    const std::string& name() const { return name_; }
    int pid() const { return pid_; }

private:
    const std::string name_;
    const std::string ip_;
    const std::string directory_;
    std::vector<int> ports_;
    int pid_ = -1;
};

// Runs the loop until all daemons are ready, or for `longest` seconds.
inline bool
wait_until_ready(const std::vector<std::unique_ptr<daemon_process>>& daemons,
                 double longest) {
    const auto end = now() + longest;
    auto ready = std::make_shared<std::set<std::string>>();
    while (now() < end && ready->size() < daemons.size()) {
        for (const auto& each : daemons) {
            client_call::send(
                each->ready(),
                "GET /basilstream/readiness HTTP/1.1\r\nHost: " +
                    each->ready() + "\r\n\r\n",
                [ready, name = each->name()](const client_answer& answer) {
                    if (answer.status_ == 200) {
                        ready->insert(name);
                    }
                });
        }
        loop::get().run_until(now() + 0.2);
    }
    return ready->size() == daemons.size();
}

// A config with one service and one route for each entry of `routes`.
inline std::string config_text(int version, const json& routes,
                               const json& services) {
    return json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"headerBytes", 16384},
                  {"bodyBytes", 4194304},
                  {"headerTimeoutMs", 5000},
                  {"idleTimeoutMs", 30000}}}}
        .dump();
}

inline bool with_trouble() {
    const auto* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

// Sets the time limit of the whole program and ignores broken pipes.
inline void begin_case(const std::string& folder) {
    now();
    std::signal(SIGPIPE, SIG_IGN);
    ::alarm(115);
    std::srand(static_cast<unsigned>(::getpid()));
    record::get().open(folder + "/record.txt");
    auto limit = rlimit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace review
