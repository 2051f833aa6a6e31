#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

#include <chrono>
#include <ctime>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace basilstream::transport {
namespace {

constexpr auto connections_at_a_time = 64;
constexpr auto connections_in_all = 20'000;

// A server that answers each connection with some bytes and resets it.
class resetting_server {
public:
    explicit resetting_server(reactor_thread& thread) : thread_{thread} {
        listener_ = std::move(
            *tcp_listener::open(thread, "127.0.0.1:0", [this](int descriptor) {
                auto accepted = std::make_shared<peer>(*this);
                accepted->stream_ =
                    tcp_stream::adopt(thread_, descriptor, *accepted);
                peers_.insert(std::move(accepted));
            }));
    }
    [[nodiscard]] auto address() const -> std::string {
        return listener_->address();
    }

private:
    struct peer final : tcp_observer, std::enable_shared_from_this<peer> {
        explicit peer(resetting_server& owner) : owner_{owner} {}
        auto on_data(std::string_view /*bytes*/) -> void override {
            const auto self = shared_from_this();
            stream_->write("HTTP/1.");
            end(true);
        }
        auto on_closed(close_reason /*reason*/) -> void override { end(false); }
        auto end(bool reset) -> void {
            const auto self = shared_from_this();
            if (stream_ && reset) {
                stream_->reset();
            }
            stream_.reset();
            owner_.peers_.erase(self);
        }
        resetting_server& owner_;
        std::unique_ptr<tcp_stream> stream_;
    };

    reactor_thread& thread_;
    std::set<std::shared_ptr<peer>> peers_;
    std::unique_ptr<tcp_listener> listener_;
};

// Clients of which each connects anew from the callback of its end.
class client final : public tcp_observer {
public:
    client(reactor_thread& thread, std::string address,
           std::function<bool()> next, std::function<void()> done)
        : thread_{thread}, address_{std::move(address)}, next_{std::move(next)},
          done_{std::move(done)} {}
    auto connect() -> void {
        if (!next_()) {
            done_();
            return;
        }
        stream_ = tcp_stream::connect(thread_, address_, *this);
        stream_->write("request");
    }
    auto on_data(std::string_view /*bytes*/) -> void override {}
    auto on_closed(close_reason /*reason*/) -> void override {
        stream_.reset();
        connect();
    }

private:
    reactor_thread& thread_;
    std::string address_;
    std::function<bool()> next_;
    std::function<void()> done_;
    std::unique_ptr<tcp_stream> stream_;
};

// The end of a connection was never told, so that its request waited for its
// deadline.
TEST(tcp_stream, reset_is_not_noticed) {
    auto server_thread = reactor_thread{"server", 1024};
    auto client_thread = reactor_thread{"client", 1024};
    auto server = resetting_server{server_thread};
    auto begun = 0;
    auto ended = 0;
    auto all_ended = std::promise<void>{};
    auto clients = std::vector<std::unique_ptr<client>>{};
    for (auto index = 0; index < connections_at_a_time; ++index) {
        clients.push_back(std::make_unique<client>(
            client_thread, server.address(),
            [&] { return begun++ < connections_in_all; },
            [&] {
                if (++ended == connections_at_a_time) {
                    all_ended.set_value();
                }
            }));
    }
    client_thread.after(milliseconds{0}, [&] {
        for (const auto& each : clients) {
            each->connect();
        }
    });
    server_thread.start();
    client_thread.start();
    const auto outcome = all_ended.get_future().wait_for(seconds{60});
    client_thread.stop();
    server_thread.stop();
    EXPECT_EQ(outcome, std::future_status::ready)
        << ended << " of " << connections_at_a_time << " clients, after "
        << begun << " connections";
}

struct ignoring_observer final : tcp_observer {
    auto on_data(std::string_view /*bytes*/) -> void override {}
    auto on_closed(close_reason /*reason*/) -> void override {}
};

// Descriptors that are closed by the end of a test.
class spare_descriptors {
public:
    // Takes all that the process may open, up to `limit`.
    explicit spare_descriptors(rlim_t limit) {
        ::getrlimit(RLIMIT_NOFILE, &former_);
        const auto lowered = rlimit{limit, former_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
        for (auto made = ::dup(STDOUT_FILENO); made >= 0;
             made = ::dup(STDOUT_FILENO)) {
            taken_.push_back(made);
        }
    }
    spare_descriptors(const spare_descriptors&) = delete;
    auto operator=(const spare_descriptors&) -> spare_descriptors& = delete;
    ~spare_descriptors() {
        release();
        ::setrlimit(RLIMIT_NOFILE, &former_);
    }
    auto release() -> void {
        for (const auto descriptor : std::exchange(taken_, {})) {
            ::close(descriptor);
        }
    }

private:
    rlimit former_{};
    std::vector<int> taken_;
};

auto processor_time() -> milliseconds {
    auto used = timespec{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::duration_cast<milliseconds>(
        seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec});
}

// Without descriptors the listener was told again and again of a connection
// that it could not accept.
TEST(tcp_stream, listener_without_descriptors_takes_a_core) {
    constexpr auto watched = milliseconds{500};
    auto thread = reactor_thread{"server", 64};
    auto accepted = std::promise<void>{};
    const auto listener =
        tcp_listener::open(thread, "127.0.0.1:0", [&](int descriptor) {
            ::close(descriptor);
            accepted.set_value();
        });
    ASSERT_TRUE(listener);
    auto client_thread = reactor_thread{"client", 64};
    auto observer = ignoring_observer{};
    const auto caller =
        tcp_stream::connect(client_thread, (*listener)->address(), observer);
    auto taken = spare_descriptors{128};
    thread.start();
    const auto before = processor_time();
    std::this_thread::sleep_for(watched);
    EXPECT_LT(processor_time() - before, watched / 4);
    taken.release();
    accepted.get_future().get();
    thread.stop();
}

// A peer that accepts a connection, reads nothing for a while, then all.
class pausing_peer {
public:
    explicit pausing_peer(reactor_thread& thread, milliseconds pause)
        : thread_{thread}, listener_{std::move(*tcp_listener::open(
                               thread, "127.0.0.1:0", [this](int descriptor) {
                                   accepted_.stream_ = tcp_stream::adopt(
                                       thread_, descriptor, accepted_);
                                   accepted_.stream_->set_reading(false);
                               }))} {
        thread_.after(pause, [this] { accepted_.stream_->set_reading(true); });
    }
    [[nodiscard]] auto address() const -> std::string {
        return listener_->address();
    }
    [[nodiscard]] auto received() const -> std::size_t {
        return accepted_.received_;
    }

private:
    struct reader final : tcp_observer {
        auto on_data(std::string_view bytes) -> void override {
            received_ += bytes.size();
        }
        auto on_closed(close_reason /*reason*/) -> void override {}
        std::unique_ptr<tcp_stream> stream_;
        std::size_t received_ = 0;
    };
    reactor_thread& thread_;
    reader accepted_;
    std::unique_ptr<tcp_listener> listener_;
};

// The kernel's time-out counts the time in which the peer's window is closed,
// although the peer acknowledges each probe.
TEST(tcp_stream, peer_that_reads_nothing_for_a_while_is_reset) {
    struct observer final : tcp_observer {
        auto on_data(std::string_view /*bytes*/) -> void override {}
        auto on_closed(close_reason reason) -> void override {
            ended_ = reason;
        }
        std::optional<close_reason> ended_;
    };
    constexpr auto silence_timeout = milliseconds{600};
    constexpr auto pause = 5 * silence_timeout;
    constexpr auto longest_wait = seconds{30};
    for (const auto size : {std::size_t{1} << 20U, std::size_t{8} << 20U}) {
        auto thread = reactor_thread{"sender", 1024};
        auto watching = observer{};
        auto peer = pausing_peer{thread, pause};
        auto stream =
            tcp_stream::connect(thread, peer.address(), watching,
                                {.silence_timeout_ = silence_timeout});
        stream->write(std::string(size, 'a'));
        auto over = std::promise<void>{};
        auto told = false;
        thread.every(milliseconds{10}, [&] {
            if (!told && (watching.ended_ || peer.received() == size)) {
                told = true;
                over.set_value();
            }
        });
        thread.start();
        over.get_future().wait_for(longest_wait);
        thread.stop();
        EXPECT_FALSE(watching.ended_) << size;
        EXPECT_EQ(peer.received(), size);
    }
}

// The reactor was closed before the timers whose work owns a stream.
TEST(tcp_stream, timer_that_owns_a_stream_outlives_its_reactor) {
    struct owner final : tcp_observer {
        auto on_data(std::string_view /*bytes*/) -> void override {}
        auto on_closed(close_reason /*reason*/) -> void override {}
        std::unique_ptr<tcp_stream> stream_;
    };
    for (const auto started : {true, false}) {
        auto thread = reactor_thread{"ended", 16};
        auto listener =
            tcp_listener::open(thread, "127.0.0.1:0", [](int /*socket*/) {});
        auto owning = std::make_shared<owner>();
        owning->stream_ =
            tcp_stream::connect(thread, (*listener)->address(), *owning);
        const auto destroyed = std::weak_ptr<owner>{owning};
        thread.after(seconds{60}, [owning = std::move(owning)] {});
        if (started) {
            thread.start();
        }
        thread.stop();
        EXPECT_TRUE(destroyed.expired()) << started;
    }
}

// A stream that was still registered when its thread ended used the thread.
TEST(tcp_stream, stream_uses_its_thread_after_its_end) {
    struct observer final : tcp_observer {
        auto on_data(std::string_view /*bytes*/) -> void override {}
        auto on_closed(close_reason /*reason*/) -> void override { ++closed_; }
        int closed_ = 0;
    };
    auto watching = observer{};
    {
        auto thread = reactor_thread{"ended", 16};
        auto listener =
            tcp_listener::open(thread, "127.0.0.1:0", [](int /*socket*/) {});
        thread.after(seconds{60}, [] {});
        // Nobody destroys it, as with an object that keeps itself; static, so
        // that a leak check does not report it.
        static auto* const kept =
            tcp_stream::connect(thread, (*listener)->address(), watching)
                .release();
        EXPECT_FALSE(kept->established());
    }
    EXPECT_EQ(watching.closed_, 0);
}

} // namespace
} // namespace basilstream::transport
