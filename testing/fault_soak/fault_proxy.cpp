#include "testing/fault_soak/fault_proxy.hpp"

#include <deque>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basilstream::testing {

// A pair of connections. Closing one side closes the other after the bytes on
// their way.
class fault_proxy::connection final
    : public std::enable_shared_from_this<connection> {
public:
    explicit connection(fault_proxy& owner)
        : owner_{&owner}, thread_{owner.thread_}, client_side_{*this, false},
          server_side_{*this, true} {}

    auto open(int descriptor) -> void {
        client_side_.stream_ =
            transport::tcp_stream::adopt(thread_, descriptor, client_side_);
        server_side_.stream_ = transport::tcp_stream::connect(
            thread_, owner_->target_, server_side_);
    }
    // `with_reset` keeps bytes from being taken for complete.
    auto close(bool with_reset) -> void {
        const auto self = shared_from_this();
        for (auto* const side : {&client_side_, &server_side_}) {
            if (side->stream_ && with_reset) {
                side->stream_->reset();
            }
            side->stream_.reset();
        }
        if (owner_ != nullptr) {
            std::exchange(owner_, nullptr)->connections_.erase(self);
        }
    }
    auto flush() -> void {
        for (const auto from_server : {false, true}) {
            while (!(from_server ? to_client_ : to_server_).empty() &&
                   (from_server ? client_side_ : server_side_).stream_) {
                deliver(from_server);
            }
        }
    }
    auto abandon() -> void { owner_ = nullptr; }

private:
    struct side final : transport::tcp_observer {
        side(connection& pair, bool from_server)
            : pair_{pair}, from_server_{from_server} {}
        auto on_data(std::string_view bytes) -> void override {
            pair_.forward(std::string{bytes}, from_server_);
        }
        auto on_closed(transport::close_reason reason) -> void override {
            stream_.reset();
            pair_.end(reason);
        }
        connection& pair_;
        bool from_server_;
        std::unique_ptr<transport::tcp_stream> stream_;
    };

    auto forward(std::string bytes, bool from_server) -> void {
        if (owner_ == nullptr) {
            return;
        }
        if (owner_->mode_ == proxy_mode::reset) {
            thread_.after(milliseconds{0},
                          [self = shared_from_this()] { self->close(true); });
            return;
        }
        const auto drops =
            owner_->mode_ == proxy_mode::silent ||
            (owner_->mode_ == proxy_mode::one_way && from_server);
        silent_ = silent_ || drops;
        if (silent_) {
            return;
        }
        // Bytes stay in order when the delay is reduced meanwhile.
        auto& queue = from_server ? to_client_ : to_server_;
        queue.push_back(std::move(bytes));
        thread_.after(owner_->delay_, [self = shared_from_this(), from_server] {
            self->deliver(from_server);
        });
    }
    auto deliver(bool from_server) -> void {
        auto& queue = from_server ? to_client_ : to_server_;
        auto& to = from_server ? client_side_ : server_side_;
        if (!queue.empty() && to.stream_) {
            to.stream_->write(queue.front());
            queue.pop_front();
        }
    }
    auto end(transport::close_reason reason) -> void {
        if (owner_ == nullptr || silent_) {
            return;
        }
        const auto orderly = reason == transport::close_reason::end_of_stream;
        thread_.after(
            owner_->delay_ + milliseconds{1},
            [self = shared_from_this(), orderly] { self->close(!orderly); });
    }

    fault_proxy* owner_;
    transport::reactor_thread& thread_;
    side client_side_;
    side server_side_;
    std::deque<std::string> to_client_;
    std::deque<std::string> to_server_;
    bool silent_ = false;
};

fault_proxy::fault_proxy(transport::reactor_thread& thread, std::string target)
    : thread_{thread}, target_{std::move(target)} {
    listener_ = std::move(
        transport::tcp_listener::open(thread, "127.0.0.1:0",
                                      [this](int socket) { accept(socket); })
            .value());
    address_ = listener_->address();
}

fault_proxy::~fault_proxy() {
    for (const auto descriptor : held_) {
        ::close(descriptor);
    }
    for (const auto& open : connections_) {
        open->abandon();
    }
}

auto fault_proxy::address() const -> std::string {
    return address_;
}

auto fault_proxy::stop_accepting(bool hang) -> void {
    listener_.reset();
    if (!held_.empty()) {
        return;
    }
    constexpr auto queued = 4;
    auto local = sockaddr_in{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    local.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(address_.substr(address_.find(':') + 1))));
    const auto* const generic = reinterpret_cast<const sockaddr*>(&local);
    const auto open_socket = [this] {
        held_.push_back(
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        return held_.back();
    };
    // A bound socket that does not listen refuses connections, and keeps other
    // processes from taking the port.
    const auto listener = open_socket();
    const auto reuse = 1;
    (void)::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse,
                       sizeof reuse);
    (void)::bind(listener, generic, sizeof local);
    if (!hang) {
        return;
    }
    (void)::listen(listener, 0);
    for (auto count = 0; count < queued; ++count) {
        (void)::connect(open_socket(), generic, sizeof local);
    }
}

auto fault_proxy::resume_accepting() -> void {
    for (const auto descriptor : std::exchange(held_, {})) {
        ::close(descriptor);
    }
    if (listener_) {
        return;
    }
    auto opened = transport::tcp_listener::open(
        thread_, address_, [this](int socket) { accept(socket); });
    if (opened) {
        listener_ = std::move(*opened);
    } else {
        thread_.after(milliseconds{50}, [this] { resume_accepting(); });
    }
}

auto fault_proxy::accept(int descriptor) -> void {
    ++accepted_;
    const auto accepted = std::make_shared<connection>(*this);
    connections_.insert(accepted);
    accepted->open(descriptor);
}

auto fault_proxy::reset_all() -> void {
    for (const auto& open :
         std::unordered_set<std::shared_ptr<connection>>{connections_}) {
        open->close(true);
    }
}

} // namespace basilstream::testing
