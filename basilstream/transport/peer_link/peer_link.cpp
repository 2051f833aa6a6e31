#include "basilstream/transport/peer_link/peer_link.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <cstring>
#include <map>
#include <optional>
#include <system_error>
#include <thread>

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.hpp>

#include "basilstream/transport/bounded_ring/bounded_ring.hpp"

namespace basilstream::transport {
namespace {

// Messages received in one turn before the outgoing ring is served again.
constexpr auto receive_batch = 256;
constexpr auto poll_timeout = milliseconds{500};
// Where ZeroMQ asks whether a connection is admitted (ZAP, RFC 27).
constexpr auto admission_endpoint = "inproc://zeromq.zap.01";
constexpr auto admission_domain = "peers";
constexpr auto admission_frames = std::size_t{2};
// Where ZeroMQ reports connections that were made.
constexpr auto connected_endpoint = "inproc://connected";
// After a wait that failed.
constexpr auto retry_pause = milliseconds{10};

struct outgoing {
    std::string address_;
    std::string bytes_;
};

class zeromq_link final : public peer_link {
public:
    zeromq_link(const peer_link_options& options, peer_handler handler)
        : options_{options}, handler_{std::move(handler)},
          ring_{options.ring_capacity_}, context_{1},
          admission_{context_, zmq::socket_type::rep},
          router_{context_, zmq::socket_type::router},
          sender_{context_, zmq::socket_type::router},
          connected_{context_, zmq::socket_type::pair},
          wake_{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)} {}

    ~zeromq_link() override {
        stopping_.store(true);
        wake();
        if (thread_.joinable()) {
            thread_.join();
        }
        ::close(wake_);
    }

    auto bind() -> result<void> {
        set_options(router_);
        // With a ZAP domain, ZeroMQ rejects peers of ZMTP before 3.0, which it
        // takes any other bytes for. Such a peer makes it keep the parts of a
        // message that never ends, without a bound.
        admission_.set(zmq::sockopt::linger, 0);
        admission_.bind(admission_endpoint);
        router_.set(zmq::sockopt::zap_domain, admission_domain);
        router_.set(zmq::sockopt::maxmsgsize,
                    static_cast<std::int64_t>(options_.max_message_bytes_));
        router_.set(zmq::sockopt::rcvhwm, options_.peer_queue_);
        if (auto bound = bind_router(); !bound) {
            return bound;
        }
        set_options(sender_);
        sender_.set(zmq::sockopt::sndhwm, options_.peer_queue_);
        sender_.set(zmq::sockopt::reconnect_ivl_max, 1000);
        // An attempt holds its local port.
        sender_.set(zmq::sockopt::connect_timeout,
                    static_cast<int>(options_.heartbeat_timeout_.count()));
        // Messages to a peer whose queue is full are reported.
        sender_.set(zmq::sockopt::router_mandatory, true);
        connected_.set(zmq::sockopt::linger, 0);
        if (::zmq_socket_monitor(sender_.handle(), connected_endpoint,
                                 ZMQ_EVENT_CONNECTED) != 0) {
            throw zmq::error_t{};
        }
        connected_.connect(connected_endpoint);
        constexpr auto scheme = std::string_view{"tcp://"};
        address_ =
            router_.get(zmq::sockopt::last_endpoint).substr(scheme.size());
        thread_ = std::thread{[this] {
            run();
        }};
        return {};
    }

    [[nodiscard]] auto address() const -> const std::string& override {
        return address_;
    }

    auto send(std::string address, std::string bytes) -> bool override {
        if (!ring_.try_push({std::move(address), std::move(bytes)})) {
            dropped_.fetch_add(1);
            return false;
        }
        wake();
        return true;
    }

    [[nodiscard]] auto statistics() const -> peer_link_statistics override {
        return {messages_sent_.load(), bytes_sent_.load(),
                messages_received_.load(), bytes_received_.load(),
                dropped_.load()};
    }

private:
    struct connection {
        // Differs from those of connections before: ZeroMQ ends the process if
        // one is used again before its former connection is gone.
        std::string routing_id_;
        time_point used_;
    };

    // Binds the router to the first port that is free.
    auto bind_router() -> result<void> {
        const auto last = std::max(options_.port_, options_.last_port_);
        auto refusal = error{};
        for (auto port = int{options_.port_}; port <= last; ++port) {
            const auto wanted = "tcp://" + options_.address_ + ":" +
                                (port == 0 ? "*" : std::to_string(port));
            try {
                router_.bind(wanted);
                return {};
            } catch (const zmq::error_t& failure) {
                refusal = error{error_code::unavailable, step::peer, wanted,
                                std::string{"cannot bind: "} + failure.what()};
            }
        }
        return tl::unexpected(refusal);
    }

    auto set_options(zmq::socket_t& socket) const -> void {
        const auto timeout =
            static_cast<int>(options_.heartbeat_timeout_.count());
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::heartbeat_ivl, timeout);
        socket.set(zmq::sockopt::heartbeat_timeout, timeout);
        socket.set(zmq::sockopt::heartbeat_ttl, 2 * timeout);
    }

    auto wake() -> void {
        if (!signalled_.exchange(true)) {
            const auto one = std::uint64_t{1};
            [[maybe_unused]] const auto written =
                ::write(wake_, &one, sizeof one);
        }
    }

    auto run() -> void {
        ::pthread_setname_np(::pthread_self(), "peers");
        while (!stopping_.load()) {
            auto items = std::array{
                zmq::pollitem_t{router_.handle(), 0, ZMQ_POLLIN, 0},
                zmq::pollitem_t{sender_.handle(), 0, ZMQ_POLLIN, 0},
                zmq::pollitem_t{admission_.handle(), 0, ZMQ_POLLIN, 0},
                zmq::pollitem_t{connected_.handle(), 0, ZMQ_POLLIN, 0},
                zmq::pollitem_t{nullptr, wake_, ZMQ_POLLIN, 0}};
            wait_for(items);
            clear_wake();
            release_local_ports();
            drop_received();
            send_waiting();
            admit();
            receive();
            close_idle();
        }
    }

    // An interrupted or refused wait is only shorter; nothing catches errors of
    // this thread.
    static auto wait_for(std::array<zmq::pollitem_t, 5>& items) -> void {
        try {
            zmq::poll(items, poll_timeout);
        } catch (const zmq::error_t&) {
            std::this_thread::sleep_for(retry_pause);
        }
    }

    auto clear_wake() -> void {
        auto count = std::uint64_t{0};
        [[maybe_unused]] const auto bytes = ::read(wake_, &count, sizeof count);
        signalled_.store(false);
    }

    auto send_waiting() -> void {
        ring_.drain([this](outgoing&& message) {
            try {
                transmit(message);
            } catch (const zmq::error_t&) {
                // ZeroMQ does not connect again after an error of the
                // protocol: another program may have listened at the address.
                // The next message does.
                dropped_.fetch_add(1);
                disconnect(message.address_);
                connections_.erase(message.address_);
            }
        });
    }

    auto transmit(const outgoing& message) -> void {
        auto& peer = connect(message.address_);
        peer.used_ = clock_.now();
        if (!sender_.send(zmq::buffer(peer.routing_id_),
                          zmq::send_flags::sndmore |
                              zmq::send_flags::dontwait)) {
            dropped_.fetch_add(1);
            return;
        }
        // The first frame is the sender's address: a connection does not show
        // under which address its other end listens.
        static_cast<void>(
            sender_.send(zmq::buffer(address_),
                         zmq::send_flags::sndmore | zmq::send_flags::dontwait));
        static_cast<void>(sender_.send(zmq::buffer(message.bytes_),
                                       zmq::send_flags::dontwait));
        messages_sent_.fetch_add(1);
        bytes_sent_.fetch_add(address_.size() + message.bytes_.size());
    }

    auto connect(const std::string& address) -> connection& {
        const auto found = connections_.find(address);
        if (found != connections_.end()) {
            return found->second;
        }
        auto routing_id = std::to_string(++last_routing_id_);
        try {
            sender_.set(zmq::sockopt::connect_routing_id, routing_id);
            sender_.connect(endpoint_of(address));
        } catch (const zmq::error_t&) {
            // A malformed address: what is sent to it is dropped.
            dropped_.fetch_add(1);
        }
        return connections_
            .emplace(address, connection{std::move(routing_id), clock_.now()})
            .first->second;
    }

    static auto endpoint_of(const std::string& address) -> std::string {
        return "tcp://" + address;
    }

    // Peers answer over links of their own. ZeroMQ ends connections of a socket
    // only while that is polled or read.
    auto drop_received() -> void {
        try {
            auto frame = zmq::message_t{};
            while (sender_.recv(frame, zmq::recv_flags::dontwait)) {
            }
        } catch (const zmq::error_t&) {
            // What waits is read in the next turn.
        }
    }

    // The local port of a connection is closed to listeners, of this process
    // and of others, unless both say that it may be reused.
    auto release_local_ports() -> void {
        try {
            for (auto received = true; received;) {
                received = release_local_port();
            }
        } catch (const zmq::error_t&) {
            // What waits is read in the next turn.
        }
    }

    // Returns whether a connection was reported.
    auto release_local_port() -> bool {
        auto report = zmq::message_t{};
        if (!connected_.recv(report, zmq::recv_flags::dontwait)) {
            return false;
        }
        // Number of the event and descriptor; then the endpoint.
        constexpr auto descriptor_offset = sizeof(std::uint16_t);
        auto descriptor = std::int32_t{-1};
        if (report.size() >= descriptor_offset + sizeof descriptor) {
            std::memcpy(&descriptor,
                        static_cast<const char*>(report.data()) +
                            descriptor_offset,
                        sizeof descriptor);
        }
        auto endpoint = zmq::message_t{};
        static_cast<void>(connected_.recv(endpoint, zmq::recv_flags::dontwait));
        const auto on = 1;
        static_cast<void>(
            ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on));
        return true;
    }

    // Admits every peer that speaks ZMTP 3.
    auto admit() -> void {
        try {
            for (auto asked = true; asked;) {
                asked = admit_one();
            }
        } catch (const zmq::error_t&) {
            // Asked again in the next turn.
        }
    }

    auto admit_one() -> bool {
        auto request = std::array<zmq::message_t, admission_frames>{};
        auto used = std::size_t{0};
        for (auto more = true; more; ++used) {
            auto frame = zmq::message_t{};
            if (!admission_.recv(frame, zmq::recv_flags::dontwait)) {
                return false;
            }
            more = frame.more();
            if (used < request.size()) {
                request.at(used) = std::move(frame);
            }
        }
        // Version and id of the request; status, its text, user and metadata.
        for (auto& part : request) {
            admission_.send(part, zmq::send_flags::sndmore);
        }
        admission_.send(zmq::str_buffer("200"), zmq::send_flags::sndmore);
        admission_.send(zmq::str_buffer("OK"), zmq::send_flags::sndmore);
        admission_.send(zmq::message_t{}, zmq::send_flags::sndmore);
        admission_.send(zmq::message_t{}, zmq::send_flags::none);
        return true;
    }

    auto receive() -> void {
        try {
            receive_waiting();
        } catch (const zmq::error_t&) {
            // What waits is read in the next turn.
        }
    }

    auto receive_waiting() -> void {
        for (auto count = 0; count < receive_batch; ++count) {
            auto frames = std::array<zmq::message_t, 3>{};
            auto used = std::size_t{0};
            auto more = true;
            while (more) {
                auto frame = zmq::message_t{};
                if (!router_.recv(frame, zmq::recv_flags::dontwait)) {
                    return;
                }
                more = frame.more();
                if (used < frames.size()) {
                    frames.at(used) = std::move(frame);
                }
                ++used;
            }
            if (used == frames.size()) {
                deliver(frames.at(1), frames.at(2));
            }
        }
    }

    auto deliver(const zmq::message_t& from, const zmq::message_t& bytes)
        -> void {
        messages_received_.fetch_add(1);
        bytes_received_.fetch_add(from.size() + bytes.size());
        handler_(from.to_string(), bytes.to_string());
    }

    auto close_idle() -> void {
        const auto oldest = clock_.now() - options_.idle_timeout_;
        std::erase_if(connections_, [this, oldest](const auto& entry) {
            const auto idle = entry.second.used_ < oldest;
            if (idle) {
                disconnect(entry.first);
            }
            return idle;
        });
    }

    auto disconnect(const std::string& address) -> void {
        try {
            sender_.disconnect(endpoint_of(address));
        } catch (const zmq::error_t&) {
            // It was never connected: the address is malformed.
        }
    }

    peer_link_options options_;
    peer_handler handler_;
    bounded_ring<outgoing> ring_;
    steady_clock clock_;
    zmq::context_t context_;
    zmq::socket_t admission_;
    zmq::socket_t router_;
    zmq::socket_t sender_;
    zmq::socket_t connected_;
    int wake_;
    std::string address_;
    std::map<std::string, connection> connections_;
    std::uint64_t last_routing_id_ = 0;
    std::atomic<bool> signalled_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> messages_sent_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> messages_received_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> dropped_{0};
    std::thread thread_;
};

auto cannot_open(const peer_link_options& options,
                 const std::exception& failure) -> tl::unexpected<error> {
    return tl::unexpected(error{error_code::unavailable, step::peer,
                                options.address_,
                                std::string{"cannot open: "} + failure.what()});
}

} // namespace

auto peer_link::open(const peer_link_options& options, peer_handler handler)
    -> result<std::unique_ptr<peer_link>> {
    try {
        auto link = std::make_unique<zeromq_link>(options, std::move(handler));
        if (auto bound = link->bind(); !bound) {
            return tl::unexpected(bound.error());
        }
        return link;
    } catch (const std::system_error& failure) {
        return cannot_open(options, failure);
    } catch (const zmq::error_t& failure) {
        return cannot_open(options, failure);
    }
}

} // namespace basilstream::transport
