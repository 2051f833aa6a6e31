#include "basilstream/transport/http_client/http_client.hpp"

#include <array>
#include <atomic>
#include <future>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "basilstream/transport/head_syntax/head_syntax_samples.hpp"
#include "basilstream/transport/http_server/http_server.hpp"

namespace basilstream::transport {
namespace {

auto url_of(const http_server& server, const std::string& path) -> std::string {
    return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

auto open_server(http_handler handler, http_server_options options = {})
    -> std::unique_ptr<http_server> {
    return std::move(http_server::open(options, std::move(handler)).value());
}

TEST(http_client, echoes_method_query_headers_and_body) {
    const auto server = open_server([](http_request request,
                                       http_exchange_ptr reply) {
        reply->respond(200, {{"X-Seen", std::string{request.query("q")}}},
                       request.method_ + std::string{request.header("x-a")} +
                           request.body_);
    });
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait({.method_ = "POST",
                                          .url_ = url_of(*server, "/e?q=7"),
                                          .headers_ = {{"X-A", "-a-"}},
                                          .body_ = "body"});
    ASSERT_TRUE(reply) << reply.error().to_string();
    EXPECT_EQ(reply->status_, 200);
    EXPECT_EQ(reply->body_, "POST-a-body");
    EXPECT_EQ(reply->headers_.at("x-seen"), "7");
}

TEST(http_client, refused_connection_has_not_run) {
    auto client = http_client{"test"};
    const auto reply =
        client.fetch_wait({.method_ = "POST", .url_ = "http://127.0.0.1:1/"});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().code_, error_code::unavailable);
    EXPECT_EQ(reply.error().run_, run_status::not_run);
    EXPECT_EQ(reply.error().peer_, "127.0.0.1:1");
}

TEST(http_client, reuse_only_call_takes_the_kept_connection_and_no_other) {
    auto peers = std::vector<std::string>{};
    const auto server =
        open_server([&](http_request request, http_exchange_ptr reply) {
            peers.push_back(request.peer_);
            reply->respond(200, {}, "");
        });
    auto client = http_client{"test"};
    auto reuse = http_call{.url_ = url_of(*server, "/"), .reuse_only_ = true};
    const auto unconnected = client.fetch_wait(reuse);
    ASSERT_FALSE(unconnected);
    EXPECT_EQ(unconnected.error().run_, run_status::not_run);
    ASSERT_TRUE(client.fetch_wait({.url_ = url_of(*server, "/"),
                                   .fresh_connection_ = true,
                                   .keep_connection_ = true}));
    ASSERT_TRUE(client.fetch_wait(reuse));
    EXPECT_FALSE(client.fetch_wait(reuse));
    ASSERT_EQ(peers.size(), 2U);
    EXPECT_EQ(peers.front(), peers.back());
}

TEST(http_client, unanswered_request_has_unknown_outcome) {
    auto held = http_exchange_ptr{};
    const auto server = open_server([&](http_request, http_exchange_ptr reply) {
        held = std::move(reply);
    });
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait({.method_ = "POST",
                                          .url_ = url_of(*server, "/"),
                                          .total_timeout_ = milliseconds{50}});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().code_, error_code::timeout);
    EXPECT_EQ(reply.error().run_, run_status::unknown);
}

TEST(http_client, broken_stream_is_an_error_and_not_a_short_answer) {
    const auto server = open_server([](http_request, http_exchange_ptr reply) {
        reply->start(200, {});
        reply->write("half");
        reply->abort();
    });
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait({.url_ = url_of(*server, "/")});
    EXPECT_FALSE(reply);
}

TEST(http_client, answers_from_another_thread_arrive_whole) {
    constexpr auto pieces = 5000;
    auto writers = std::vector<std::thread>{};
    const auto server = open_server([&](http_request, http_exchange_ptr reply) {
        writers.emplace_back([reply] {
            reply->start(200, {});
            for (auto piece = 0; piece < pieces; ++piece) {
                reply->write("0123456789");
            }
            reply->finish();
        });
    });
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait({.url_ = url_of(*server, "/")});
    for (auto& writer : writers) {
        writer.join();
    }
    ASSERT_TRUE(reply) << reply.error().to_string();
    EXPECT_EQ(reply->body_.size(), pieces * 10U);
}

// Answers the request of one connection with bytes as they are.
class raw_server {
public:
    explicit raw_server(std::string answer) : answer_{std::move(answer)} {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto size = socklen_t{sizeof address};
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(bind(listener_, generic, size), 0);
        EXPECT_EQ(listen(listener_, 1), 0);
        EXPECT_EQ(getsockname(listener_, generic, &size), 0);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread{[this] {
            serve();
        }};
    }
    raw_server(const raw_server&) = delete;
    auto operator=(const raw_server&) -> raw_server& = delete;
    ~raw_server() {
        thread_.join();
        close(listener_);
    }

    [[nodiscard]] auto url() const -> std::string {
        return "http://127.0.0.1:" + std::to_string(port_) + "/";
    }

private:
    auto serve() const -> void {
        const auto connection = accept(listener_, nullptr, nullptr);
        auto request = std::string{};
        auto piece = std::array<char, 4096>{};
        while (request.find("\r\n\r\n") == std::string::npos) {
            const auto got = recv(connection, piece.data(), piece.size(), 0);
            if (got <= 0) {
                break;
            }
            request.append(piece.data(), static_cast<std::size_t>(got));
        }
        (void)send(connection, answer_.data(), answer_.size(), MSG_NOSIGNAL);
        close(connection);
    }

    const std::string answer_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

class answer_heads : public ::testing::TestWithParam<head_sample> {};
class sound_answer_heads : public ::testing::TestWithParam<head_sample> {};

constexpr auto name_of_sample = [](const auto& info) {
    return std::string{info.param.name_};
};

// libcurl accepts names with blanks and control bytes, statuses from 600 on and
// two lengths, for example.
TEST_P(answer_heads, head_that_is_no_answer_is_taken_for_one) {
    const auto server = raw_server{GetParam().bytes_};
    auto client = http_client{"test"};
    const auto reply =
        client.fetch_wait({.method_ = "POST", .url_ = server.url()});
    ASSERT_FALSE(reply) << reply->status_ << " " << reply->body_;
    EXPECT_EQ(reply.error().run_, run_status::unknown);
}

INSTANTIATE_TEST_SUITE_P(http_client, answer_heads,
                         ::testing::ValuesIn(heads_of_no_answer()),
                         name_of_sample);

TEST_P(sound_answer_heads, unusual_head_is_rejected) {
    const auto server = raw_server{GetParam().bytes_};
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait({.url_ = server.url()});
    ASSERT_TRUE(reply) << reply.error().to_string();
    EXPECT_EQ(reply->body_, "whole");
}

INSTANTIATE_TEST_SUITE_P(http_client, sound_answer_heads,
                         ::testing::ValuesIn(sound_heads()), name_of_sample);

// Fields of an interim head or of a trailer could stand in for one of the head.
TEST(http_client, field_from_elsewhere_counts_as_one_of_the_head) {
    const auto server = raw_server{"HTTP/1.1 103 Early: Hints\r\n"
                                   "Retry-After: 500\r\n\r\n"
                                   "HTTP/1.1 503 Service: Unavailable\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "0\r\nRetry-After: 600\r\n\r\n"};
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait({.url_ = server.url()});
    ASSERT_TRUE(reply) << reply.error().to_string();
    EXPECT_EQ(reply->headers_.size(), 1U);
    EXPECT_EQ(reply->headers_.count("transfer-encoding"), 1U);
}

// Pauses after the first piece and counts what arrives.
class pausing_sink final : public http_sink {
public:
    auto on_response(int, const std::map<std::string, std::string>&)
        -> void override {}
    auto on_data(std::string_view data) -> bool override {
        bytes_ += data.size();
        if (!paused_.exchange(true)) {
            first_.set_value();
            return false;
        }
        return true;
    }
    auto on_end(const call_end& end) -> void override {
        ended_.set_value(!end.error_);
    }
    std::atomic<std::size_t> bytes_{0};
    std::atomic<bool> paused_{false};
    std::promise<void> first_;
    std::promise<bool> ended_;
};

TEST(http_client, paused_call_bounds_the_servers_buffer_and_resumes) {
    auto full = std::promise<void>{};
    auto writable = std::promise<void>{};
    auto written = std::atomic<std::size_t>{0};
    const auto server = open_server([&](http_request, http_exchange_ptr reply) {
        reply->on_writable([&] { writable.set_value(); });
        reply->start(200, {});
        const auto piece = std::string(4096, 'x');
        auto state = write_state::accepted;
        while (state == write_state::accepted) {
            state = reply->write(piece);
            written += piece.size();
        }
        reply->finish();
        full.set_value();
    });
    auto client = http_client{"test"};
    const auto sink = std::make_shared<pausing_sink>();
    const auto call = client.start({.url_ = url_of(*server, "/")}, sink);
    sink->first_.get_future().wait();
    full.get_future().wait();
    client.resume(call);
    EXPECT_TRUE(sink->ended_.get_future().get());
    writable.get_future().wait();
    EXPECT_EQ(sink->bytes_, written);
}

TEST(http_server, waiting_client_that_leaves_is_noticed) {
    auto closed = std::promise<void>{};
    const auto server = open_server([&](http_request, http_exchange_ptr reply) {
        reply->on_closed([&] { closed.set_value(); });
    });
    auto client = http_client{"test"};
    const auto reply = client.fetch_wait(
        {.url_ = url_of(*server, "/"), .total_timeout_ = milliseconds{30}});
    EXPECT_FALSE(reply);
    closed.get_future().wait();
}

TEST(http_server, oversized_body_gets_413_and_never_reaches_the_handler) {
    auto calls = std::atomic<int>{0};
    auto options = http_server_options{};
    options.max_body_bytes_ = 1000;
    const auto server = open_server(
        [&](http_request, http_exchange_ptr reply) {
            ++calls;
            reply->respond(200, {}, "");
        },
        options);
    auto client = http_client{"test"};
    for (const auto size : {1001U, 3000U, 100'000U}) {
        const auto reply = client.fetch_wait({.method_ = "POST",
                                              .url_ = url_of(*server, "/"),
                                              .body_ = std::string(size, 'x')});
        if (reply) {
            EXPECT_EQ(reply->status_, 413);
        } else {
            EXPECT_EQ(size, 100'000U) << reply.error().to_string();
        }
    }
    EXPECT_EQ(calls, 0);
}

TEST(http_server, taken_port_is_a_typed_error) {
    const auto first = open_server([](http_request, http_exchange_ptr) {});
    auto options = http_server_options{};
    options.port_ = first->port();
    const auto second =
        http_server::open(options, [](http_request, http_exchange_ptr) {});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code_, error_code::unavailable);
}

} // namespace
} // namespace basilstream::transport
