#include "basilstream/transport/peer_link/peer_link.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <system_error>
#include <thread>

#include <sys/eventfd.h>
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
        zmq::socket_t socket_;
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
                zmq::pollitem_t{admission_.handle(), 0, ZMQ_POLLIN, 0},
                zmq::pollitem_t{nullptr, wake_, ZMQ_POLLIN, 0}};
            wait_for(items);
            clear_wake();
            send_waiting();
            admit();
            receive();
            close_idle();
        }
        connections_.clear();
    }

    // An interrupted or refused wait is only shorter; nothing catches errors of
    // this thread.
    static auto wait_for(std::array<zmq::pollitem_t, 3>& items) -> void {
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
                // Without descriptors for a new peer, for example; the next
                // message to it tries again.
                dropped_.fetch_add(1);
            }
        });
    }

    auto transmit(const outgoing& message) -> void {
        auto& peer = connect(message.address_);
        peer.used_ = clock_.now();
        // The first frame is the sender's address: a connection does not show
        // under which address its other end listens.
        const auto sent = peer.socket_.send(zmq::buffer(address_),
                                            zmq::send_flags::sndmore |
                                                zmq::send_flags::dontwait);
        if (!sent) {
            dropped_.fetch_add(1);
            return;
        }
        static_cast<void>(peer.socket_.send(zmq::buffer(message.bytes_),
                                            zmq::send_flags::dontwait));
        messages_sent_.fetch_add(1);
        bytes_sent_.fetch_add(address_.size() + message.bytes_.size());
    }

    auto connect(const std::string& address) -> connection& {
        const auto found = connections_.find(address);
        if (found != connections_.end()) {
            return found->second;
        }
        auto socket = zmq::socket_t{context_, zmq::socket_type::dealer};
        set_options(socket);
        socket.set(zmq::sockopt::sndhwm, options_.peer_queue_);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
        try {
            socket.connect("tcp://" + address);
        } catch (const zmq::error_t&) {
            // A malformed address: what is sent to it is dropped.
            dropped_.fetch_add(1);
        }
        return connections_
            .emplace(address, connection{std::move(socket), clock_.now()})
            .first->second;
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
        std::erase_if(connections_, [oldest](const auto& entry) {
            return entry.second.used_ < oldest;
        });
    }

    peer_link_options options_;
    peer_handler handler_;
    bounded_ring<outgoing> ring_;
    steady_clock clock_;
    zmq::context_t context_;
    zmq::socket_t admission_;
    zmq::socket_t router_;
    int wake_;
    std::string address_;
    std::map<std::string, connection> connections_;
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
