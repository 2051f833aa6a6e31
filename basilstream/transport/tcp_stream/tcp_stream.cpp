#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <optional>
#include <utility>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basilstream::transport {
namespace {

// Bytes read in one turn; a busy connection leaves room for the others.
constexpr auto read_size = std::size_t{16} * 1024;
// Connections that wait to be accepted.
constexpr auto listen_backlog = 1024;
// Pause while no further connection can be accepted. The reactor would report
// those that wait without an end.
constexpr auto accept_pause = milliseconds{50};
constexpr auto keep_alive_probes = 2;
constexpr auto ethernet_segment = 1448;
// Checks of a connection with outstanding output in each silence time-out.
constexpr auto checks_per_timeout = 3;

auto parse_address(const std::string& address, sockaddr_in& parsed) -> bool {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    const auto host = address.substr(0, colon);
    const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    parsed = {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(port));
    return port <= 65535 &&
           ::inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) == 1;
}

auto set_option(int descriptor, int level, int name, int value) -> void {
    // A missing option costs speed or detection time, never correctness.
    (void)::setsockopt(descriptor, level, name, &value, sizeof value);
}

// Bytes of output that the kernel holds.
struct kernel_output {
    int outstanding_bytes_ = 0;
    // Segments that the peer has not acknowledged.
    std::uint32_t unacknowledged_ = 0;
};

auto inspect_output(int descriptor) -> std::optional<kernel_output> {
    auto info = tcp_info{};
    auto size = static_cast<socklen_t>(sizeof info);
    auto output = kernel_output{};
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size <= offsetof(tcp_info, tcpi_unacked) ||
        ::ioctl(descriptor, SIOCOUTQ, &output.outstanding_bytes_) != 0) {
        return std::nullopt;
    }
    output.unacknowledged_ = info.tcpi_unacked;
    return output;
}

auto set_options(int descriptor, const tcp_options& options) -> void {
    const auto silence = static_cast<int>(options.silence_timeout_.count());
    const auto probe_interval = std::max(1, silence / 1000 / keep_alive_probes);
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, silence);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

auto reason_of(int failure) -> close_reason {
    return failure == ETIMEDOUT ? close_reason::timed_out : close_reason::reset;
}

auto would_block() -> bool {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

// Callbacks may destroy the stream, and with it this handler; `alive_` tells
// the code that follows a callback whether it still exists.
class tcp_stream::handler final : public ACE_Event_Handler {
public:
    handler(reactor_thread& thread, int descriptor, tcp_observer& observer,
            const tcp_options& options, bool connecting)
        : thread_{thread}, descriptor_{descriptor}, observer_{observer},
          silence_timeout_{options.silence_timeout_}, connecting_{connecting} {
        const auto mask = connecting_ ? ACE_Event_Handler::CONNECT_MASK
                                      : ACE_Event_Handler::READ_MASK;
        mask_ = mask;
        if (descriptor_ >= 0 &&
            thread_.reactor().register_handler(descriptor_, this, mask_) != 0) {
            // Beyond the reactor's handles: nothing would ever be reported.
            fail_later();
        }
    }

    ~handler() override {
        *alive_ = false;
        end();
    }

    [[nodiscard]] auto get_handle() const -> ACE_HANDLE override {
        return descriptor_;
    }

    auto handle_input(ACE_HANDLE /*handle*/) -> int override {
        if (connecting_) {
            return handle_output(descriptor_);
        }
        static thread_local auto buffer = std::array<char, read_size>{};
        const auto count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            observer_.on_data({buffer.data(), static_cast<std::size_t>(count)});
        } else if (count == 0) {
            fail(close_reason::end_of_stream);
        } else if (!would_block()) {
            fail(reason_of(errno));
        }
        return 0;
    }

    auto handle_output(ACE_HANDLE /*handle*/) -> int override {
        if (connecting_ && !finish_connecting()) {
            return 0;
        }
        const auto had_output = !output_.empty();
        if (flush() && had_output && output_.empty()) {
            observer_.on_drained();
        }
        return 0;
    }

    // The reactor removes a handler by itself when it sees an error or hang-up
    // and neither input nor output, as during the arrival of a reset.
    auto handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/)
        -> int override {
        if (!closed_) {
            failure_ = reason_of(pending_error());
            fail_later();
        }
        return 0;
    }

    auto write(std::string_view bytes) -> void {
        if (closed_) {
            return;
        }
        if (!connecting_ && output_.empty()) {
            const auto sent = send_some(bytes);
            if (sent < 0) {
                failure_ = reason_of(errno);
                fail_later();
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        output_.append(bytes);
        update_mask();
        schedule_check();
    }

    auto set_reading(bool wanted) -> void {
        reading_ = wanted;
        update_mask();
    }

    auto finish_writing() -> void {
        finishing_ = true;
        shut_down_if_drained();
    }

    auto reset() -> void {
        if (descriptor_ >= 0) {
            const auto no_linger = linger{1, 0};
            (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_linger,
                               sizeof no_linger);
            end();
        }
    }

    auto fail_later() -> void {
        // The caller is inside the owner's code: report from the loop.
        auto alive = alive_;
        thread_.after(milliseconds{0}, [this, alive] {
            if (*alive && !closed_) {
                fail(connecting_ ? close_reason::not_connected : failure_);
            }
        });
    }

    [[nodiscard]] auto buffered() const -> std::size_t {
        return output_.size();
    }
    [[nodiscard]] auto sent() const -> std::uint64_t { return sent_; }
    [[nodiscard]] auto established() const -> bool {
        return !connecting_ && !closed_;
    }

private:
    [[nodiscard]] auto pending_error() const -> int {
        auto failure = 0;
        auto size = static_cast<socklen_t>(sizeof failure);
        ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failure, &size);
        return failure;
    }

    auto finish_connecting() -> bool {
        if (pending_error() != 0) {
            fail(close_reason::not_connected);
            return false;
        }
        connecting_ = false;
        update_mask();
        return true;
    }

    // Returns false when the stream has failed and may be gone.
    auto flush() -> bool {
        if (output_.empty()) {
            return true;
        }
        const auto sent = send_some(output_);
        if (sent < 0) {
            fail(reason_of(errno));
            return false;
        }
        output_.erase(0, static_cast<std::size_t>(sent));
        update_mask();
        shut_down_if_drained();
        return true;
    }

    auto schedule_check() -> void {
        if (std::exchange(check_scheduled_, true)) {
            return;
        }
        thread_.after(silence_timeout_ / checks_per_timeout,
                      [this, alive = alive_] {
                          if (*alive && !closed_) {
                              check_scheduled_ = false;
                              check_output();
                          }
                      });
    }

    // The kernel's time-out also counts the time in which the peer's window is
    // closed. A peer that has acknowledged all that was sent is slow, not gone.
    auto check_output() -> void {
        const auto output = inspect_output(descriptor_);
        if (!output) {
            // The kernel's time-out stays in force; not checked again.
            check_scheduled_ = true;
            return;
        }
        const auto window_closed =
            output->outstanding_bytes_ > 0 && output->unacknowledged_ == 0;
        if (window_closed != window_closed_) {
            window_closed_ = window_closed;
            set_option(
                descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
                window_closed ? 0 : static_cast<int>(silence_timeout_.count()));
        }
        if (output->outstanding_bytes_ > 0) {
            schedule_check();
        }
    }

    // Returns the bytes taken by the kernel, or -1 when the connection broke.
    auto send_some(std::string_view bytes) -> ssize_t {
        const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent >= 0) {
            sent_ += static_cast<std::uint64_t>(sent);
            return sent;
        }
        return would_block() ? 0 : -1;
    }

    auto shut_down_if_drained() const -> void {
        if (finishing_ && output_.empty() && descriptor_ >= 0) {
            ::shutdown(descriptor_, SHUT_WR);
        }
    }

    auto update_mask() -> void {
        if (closed_ || connecting_) {
            return;
        }
        auto wanted = static_cast<ACE_Reactor_Mask>(0);
        if (reading_) {
            wanted |= ACE_Event_Handler::READ_MASK;
        }
        if (!output_.empty()) {
            wanted |= ACE_Event_Handler::WRITE_MASK;
        }
        if (wanted == mask_) {
            return;
        }
        auto& reactor = thread_.reactor();
        const auto removed = mask_ & ~wanted;
        const auto added = wanted & ~mask_;
        if (added != 0) {
            reactor.register_handler(descriptor_, this, added);
        }
        if (removed != 0) {
            reactor.remove_handler(descriptor_,
                                   removed | ACE_Event_Handler::DONT_CALL);
        }
        mask_ = wanted;
    }

    auto end() -> void {
        closed_ = true;
        if (descriptor_ < 0) {
            return;
        }
        thread_.reactor().remove_handler(descriptor_,
                                         ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
        ::close(std::exchange(descriptor_, -1));
    }

    auto fail(close_reason reason) -> void {
        end();
        observer_.on_closed(reason);
    }

    reactor_thread& thread_;
    int descriptor_;
    tcp_observer& observer_;
    const milliseconds silence_timeout_;
    bool connecting_;
    bool closed_ = false;
    bool check_scheduled_ = false;
    bool window_closed_ = false;
    bool finishing_ = false;
    bool reading_ = true;
    ACE_Reactor_Mask mask_ = 0;
    // Why the connection ends, if it is reported later.
    close_reason failure_ = close_reason::reset;
    std::string output_;
    std::uint64_t sent_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

tcp_stream::tcp_stream(std::unique_ptr<handler> made)
    : handler_{std::move(made)} {}

tcp_stream::~tcp_stream() = default;

auto tcp_stream::connect(reactor_thread& thread, const std::string& address,
                         tcp_observer& observer, const tcp_options& options)
    -> std::unique_ptr<tcp_stream> {
    const auto descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto target = sockaddr_in{};
    const auto valid = descriptor >= 0 && parse_address(address, target);
    auto refused = !valid;
    if (valid) {
        set_options(descriptor, options);
        share_local_port(descriptor);
        refused = ::connect(descriptor, reinterpret_cast<sockaddr*>(&target),
                            sizeof target) != 0 &&
                  errno != EINPROGRESS;
    }
    auto made =
        std::make_unique<handler>(thread, descriptor, observer, options, true);
    if (refused) {
        made->fail_later();
    }
    return std::unique_ptr<tcp_stream>{new tcp_stream{std::move(made)}};
}

auto tcp_stream::adopt(reactor_thread& thread, int descriptor,
                       tcp_observer& observer, const tcp_options& options)
    -> std::unique_ptr<tcp_stream> {
    set_options(descriptor, options);
    return std::unique_ptr<tcp_stream>{new tcp_stream{std::make_unique<handler>(
        thread, descriptor, observer, options, false)}};
}

auto tcp_stream::write(std::string_view bytes) -> void {
    handler_->write(bytes);
}

auto tcp_stream::set_reading(bool wanted) -> void {
    handler_->set_reading(wanted);
}

auto tcp_stream::finish_writing() -> void {
    handler_->finish_writing();
}

auto tcp_stream::reset() -> void {
    handler_->reset();
}

auto tcp_stream::buffered() const -> std::size_t {
    return handler_->buffered();
}

auto tcp_stream::sent() const -> std::uint64_t {
    return handler_->sent();
}

auto tcp_stream::established() const -> bool {
    return handler_->established();
}

auto share_local_port(int descriptor) -> void {
    // No bind() to a port: such a port is not used again for connections to
    // other peers, so that a host runs out of ports.
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
}

auto bound_buffers(int descriptor, std::size_t receive_bytes,
                   std::size_t send_bytes) -> void {
    if (receive_bytes > 0) {
        set_option(descriptor, SOL_SOCKET, SO_RCVBUF,
                   static_cast<int>(receive_bytes));
    }
    if (send_bytes > 0) {
        set_option(descriptor, SOL_SOCKET, SO_SNDBUF,
                   static_cast<int>(send_bytes));
    }
}

auto peer_address(int descriptor) -> std::uint32_t {
    auto peer = sockaddr_in{};
    auto size = socklen_t{sizeof peer};
    return ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer),
                         &size) == 0
               ? ntohl(peer.sin_addr.s_addr)
               : 0;
}

class tcp_listener::handler final : public ACE_Event_Handler {
public:
    handler(reactor_thread& thread, int descriptor, accept_handler accepted,
            room_check has_room)
        : thread_{thread}, descriptor_{descriptor},
          accepted_{std::move(accepted)}, has_room_{std::move(has_room)} {
        accept_from_now_on();
    }

    ~handler() override {
        *alive_ = false;
        stop_watching();
        ::close(descriptor_);
    }

    auto handle_input(ACE_HANDLE /*handle*/) -> int override {
        if (has_room_ && !has_room_()) {
            pause();
            return 0;
        }
        const auto descriptor = ::accept4(descriptor_, nullptr, nullptr,
                                          SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            accepted_(descriptor);
        } else if (lacks_resources()) {
            pause();
        }
        return 0;
    }

    auto bound_segments() const -> void {
        set_option(descriptor_, IPPROTO_TCP, TCP_MAXSEG, ethernet_segment);
    }

    [[nodiscard]] auto address() const -> std::string {
        auto bound = sockaddr_in{};
        auto size = static_cast<socklen_t>(sizeof bound);
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size);
        auto text = std::array<char, INET_ADDRSTRLEN>{};
        ::inet_ntop(AF_INET, &bound.sin_addr, text.data(), text.size());
        return std::string{text.data()} + ":" +
               std::to_string(ntohs(bound.sin_port));
    }

    auto set_accepting(bool wanted) -> void {
        if (std::exchange(accepting_, wanted) == wanted) {
            return;
        }
        if (wanted) {
            accept_from_now_on();
        } else {
            stop_watching();
        }
    }

private:
    static auto lacks_resources() -> bool {
        return errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
               errno == ENOMEM;
    }

    auto accept_from_now_on() -> void {
        if (!accepting_) {
            return;
        }
        const auto refused =
            thread_.reactor().register_handler(
                descriptor_, this, ACE_Event_Handler::ACCEPT_MASK) != 0;
        if (refused) {
            accept_later();
        }
    }

    auto stop_watching() -> void {
        thread_.reactor().remove_handler(descriptor_,
                                         ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    }

    auto pause() -> void {
        stop_watching();
        accept_later();
    }

    auto accept_later() -> void {
        thread_.after(accept_pause, [this, alive = alive_] {
            if (*alive) {
                accept_from_now_on();
            }
        });
    }

    reactor_thread& thread_;
    int descriptor_;
    accept_handler accepted_;
    room_check has_room_;
    bool accepting_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

tcp_listener::tcp_listener(std::unique_ptr<handler> made)
    : handler_{std::move(made)} {}

tcp_listener::~tcp_listener() = default;

auto tcp_listener::open(reactor_thread& thread, const std::string& address,
                        accept_handler accepted, room_check has_room)
    -> result<std::unique_ptr<tcp_listener>> {
    const auto failed = [&](const char* what) {
        return tl::unexpected(
            error{error_code::unavailable, step::settings, address,
                  std::string{what} + ": " + std::strerror(errno)});
    };
    auto local = sockaddr_in{};
    if (!parse_address(address, local)) {
        return tl::unexpected(error{error_code::invalid_argument,
                                    step::settings, address, "not an address"});
    }
    const auto descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return failed("cannot open a socket");
    }
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&local), sizeof local) !=
            0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        auto refusal = failed("cannot listen");
        ::close(descriptor);
        return refusal;
    }
    return std::unique_ptr<tcp_listener>{
        new tcp_listener{std::make_unique<handler>(
            thread, descriptor, std::move(accepted), std::move(has_room))}};
}

auto tcp_listener::set_accepting(bool wanted) -> void {
    handler_->set_accepting(wanted);
}

auto tcp_listener::bound_segments() -> void {
    handler_->bound_segments();
}

auto tcp_listener::address() const -> std::string {
    return handler_->address();
}

} // namespace basilstream::transport
