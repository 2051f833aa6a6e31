#include "basilstream/transport/peer_link/peer_link.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace basilstream::transport {
namespace {

TEST(peer_link, message_arrives_with_the_senders_address) {
    auto arrived = std::promise<std::pair<std::string, std::string>>{};
    const auto receiver =
        peer_link::open({}, [&](std::string from, std::string bytes) {
            arrived.set_value({std::move(from), std::move(bytes)});
        });
    const auto sender = peer_link::open({}, [](auto, auto) {});
    ASSERT_TRUE(receiver && sender);
    EXPECT_TRUE((*sender)->send((*receiver)->address(), "hello"));
    const auto [from, bytes] = arrived.get_future().get();
    EXPECT_EQ(from, (*sender)->address());
    EXPECT_EQ(bytes, "hello");
}

TEST(peer_link, unreachable_and_malformed_peers_disturb_nobody) {
    auto arrived = std::promise<std::string>{};
    auto options = peer_link_options{};
    options.peer_queue_ = 4;
    const auto receiver = peer_link::open({}, [&](auto, std::string bytes) {
        arrived.set_value(std::move(bytes));
    });
    const auto sender = peer_link::open(options, [](auto, auto) {});
    for (auto count = 0; count < 100; ++count) {
        (*sender)->send("127.0.0.1:1", "lost");
        (*sender)->send("not an address", "lost");
    }
    (*sender)->send((*receiver)->address(), "found");
    EXPECT_EQ(arrived.get_future().get(), "found");
    EXPECT_GT((*sender)->statistics().dropped_, 0U);
}

// The process may open no more descriptors while one of these exists.
class no_more_descriptors {
public:
    no_more_descriptors() {
        ::getrlimit(RLIMIT_NOFILE, &former_);
        const auto lowest_free = ::dup(STDOUT_FILENO);
        ::close(lowest_free);
        const auto none =
            rlimit{static_cast<rlim_t>(lowest_free), former_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    no_more_descriptors(const no_more_descriptors&) = delete;
    auto operator=(const no_more_descriptors&) -> no_more_descriptors& = delete;
    ~no_more_descriptors() { ::setrlimit(RLIMIT_NOFILE, &former_); }

private:
    rlimit former_{};
};

// The error of a socket that cannot be made ended the process. What is sent
// arrives once there are descriptors.
TEST(peer_link, new_peer_without_descriptors_ends_the_process) {
    auto arrived = std::promise<std::string>{};
    const auto receiver = peer_link::open({}, [&](auto, std::string bytes) {
        arrived.set_value(std::move(bytes));
    });
    const auto sender = peer_link::open({}, [](auto, auto) {});
    ASSERT_TRUE(receiver && sender);
    {
        const auto limit = no_more_descriptors{};
        (*sender)->send((*receiver)->address(), "waits");
        std::this_thread::sleep_for(milliseconds{300});
    }
    EXPECT_EQ(arrived.get_future().get(), "waits");
}

// A daemon tries a start again after a typed error only.
TEST(peer_link, opening_without_descriptors_ends_the_process) {
    const auto limit = no_more_descriptors{};
    const auto link = peer_link::open({}, [](auto, auto) {});
    ASSERT_FALSE(link);
    EXPECT_EQ(link.error().step_, step::peer);
}

// A socket that listens at a loopback port.
class raw_listener {
public:
    explicit raw_listener(std::uint16_t port)
        : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
        const auto on = 1;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address_.sin_port = htons(port);
        auto size = socklen_t{sizeof address_};
        listens_ = ::bind(descriptor_, generic(), size) == 0 &&
                   ::listen(descriptor_, 1) == 0;
        ::getsockname(descriptor_, generic(), &size);
    }
    raw_listener(const raw_listener&) = delete;
    auto operator=(const raw_listener&) -> raw_listener& = delete;
    ~raw_listener() { ::close(descriptor_); }

    [[nodiscard]] auto listens() const -> bool { return listens_; }
    [[nodiscard]] auto port() const -> std::uint16_t {
        return ntohs(address_.sin_port);
    }
    // Waits for a connection, which ends with the returned descriptor; -1 if
    // none comes.
    auto accept() -> int {
        auto limit = timeval{5, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit,
                     sizeof limit);
        return ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    }

private:
    auto generic() -> sockaddr* {
        return reinterpret_cast<sockaddr*>(&address_);
    }

    int descriptor_;
    sockaddr_in address_{};
    bool listens_ = false;
};

auto remote_port_of(int connection) -> std::uint16_t {
    auto peer = sockaddr_in{};
    auto size = socklen_t{sizeof peer};
    ::getpeername(connection, reinterpret_cast<sockaddr*>(&peer), &size);
    return ntohs(peer.sin_port);
}

// Returns whether the other end closes a connection in time.
auto is_closed_by_peer(int connection) -> bool {
    auto limit = timeval{5, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    auto bytes = std::array<char, 256>{};
    auto count = ssize_t{1};
    while (count > 0) {
        count = ::recv(connection, bytes.data(), bytes.size(), 0);
    }
    return count == 0 || errno == ECONNRESET;
}

// Returns whether a port can be listened at soon.
auto is_free_for_listeners(std::uint16_t port) -> bool {
    for (auto attempt = 0; attempt < 20; ++attempt) {
        if (raw_listener{port}.listens()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    return false;
}

// The local port of a link was closed to listeners for as long as the link
// lasted, also once it had been connected anew.
TEST(peer_link, link_keeps_others_from_listening) {
    auto peer = raw_listener{0};
    const auto link = peer_link::open({}, [](auto, auto) {});
    ASSERT_TRUE(link);
    (*link)->send("127.0.0.1:" + std::to_string(peer.port()), "message");
    // Connections of other processes may have the same local port.
    auto free_ports = 0;
    for (auto connection = 0; connection < 20 && free_ports < 2; ++connection) {
        const auto accepted = peer.accept();
        ASSERT_GE(accepted, 0);
        free_ports += is_free_for_listeners(remote_port_of(accepted)) ? 1 : 0;
        ::close(accepted);
    }
    EXPECT_EQ(free_ports, 2);
}

TEST(peer_link, peer_that_starts_anew_is_not_found_again) {
    auto receiver = peer_link::open({}, [](auto, auto) {});
    const auto sender = peer_link::open({}, [](auto, auto) {});
    ASSERT_TRUE(receiver && sender);
    const auto address = (*receiver)->address();
    (*sender)->send(address, "to the former process");
    receiver->reset();
    auto options = peer_link_options{};
    options.port_ = static_cast<std::uint16_t>(
        std::stoul(address.substr(address.find(':') + 1)));
    auto arrived = std::atomic<bool>{false};
    receiver =
        peer_link::open(options, [&](auto, auto) { arrived.store(true); });
    ASSERT_TRUE(receiver);
    for (auto attempt = 0; attempt < 500 && !arrived.load(); ++attempt) {
        (*sender)->send(address, "hello");
        std::this_thread::sleep_for(milliseconds{10});
    }
    EXPECT_TRUE(arrived.load());
}

// Such a connection is closed, and made anew with the next message.
TEST(peer_link, idle_connection_stays_open) {
    auto options = peer_link_options{};
    options.idle_timeout_ = seconds{1};
    auto peer = raw_listener{0};
    const auto link = peer_link::open(options, [](auto, auto) {});
    ASSERT_TRUE(link);
    for (auto connection = 0; connection < 2; ++connection) {
        (*link)->send("127.0.0.1:" + std::to_string(peer.port()), "message");
        const auto accepted = peer.accept();
        ASSERT_GE(accepted, 0);
        EXPECT_TRUE(is_closed_by_peer(accepted));
        ::close(accepted);
    }
}

// Another program answered at the address of a daemon that was down: the link
// to the daemon was never made again.
TEST(peer_link, answer_of_another_protocol_ends_the_link_for_good) {
    auto other = std::optional<raw_listener>{0};
    const auto port = other->port();
    const auto address = "127.0.0.1:" + std::to_string(port);
    const auto sender = peer_link::open({}, [](auto, auto) {});
    ASSERT_TRUE(sender);
    (*sender)->send(address, "message");
    const auto accepted = other->accept();
    ASSERT_GE(accepted, 0);
    // A greeting of ZMTP 3 with a mechanism that nobody knows.
    auto greeting = std::string(64, '\0');
    greeting.replace(0, 1, 1, '\xFF');
    greeting.replace(9, 2, "\x7F\x03");
    greeting.replace(12, 5, "OTHER");
    ::send(accepted, greeting.data(), greeting.size(), MSG_NOSIGNAL);
    EXPECT_TRUE(is_closed_by_peer(accepted));
    ::close(accepted);
    other.reset();
    auto arrived = std::atomic<bool>{false};
    auto options = peer_link_options{};
    options.port_ = port;
    const auto receiver =
        peer_link::open(options, [&](auto, auto) { arrived.store(true); });
    ASSERT_TRUE(receiver);
    for (auto attempt = 0; attempt < 500 && !arrived.load(); ++attempt) {
        (*sender)->send(address, "hello");
        std::this_thread::sleep_for(milliseconds{10});
    }
    EXPECT_TRUE(arrived.load());
}

TEST(peer_link, taken_port_is_a_typed_error) {
    const auto first = peer_link::open({}, [](auto, auto) {});
    const auto& address = (*first)->address();
    auto options = peer_link_options{};
    options.port_ = static_cast<std::uint16_t>(
        std::stoul(address.substr(address.find(':') + 1)));
    const auto second = peer_link::open(options, [](auto, auto) {});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().step_, step::peer);
}

} // namespace
} // namespace basilstream::transport
