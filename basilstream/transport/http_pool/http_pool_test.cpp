#include "basilstream/transport/http_pool/http_pool.hpp"

#include <algorithm>
#include <future>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/transport/head_syntax/head_syntax_samples.hpp"

namespace basilstream::transport {
namespace {

constexpr auto timeout = milliseconds{4000};
// What is decided at once takes less, on a busy machine too.
constexpr auto at_once = milliseconds{2000};

// Writes bytes on each connection and falls silent.
class stalling_server {
public:
    stalling_server(reactor_thread& thread, std::string answer)
        : thread_{thread}, answer_{std::move(answer)} {
        listener_ = std::move(
            tcp_listener::open(thread, "127.0.0.1:0", [this](int descriptor) {
                accept(descriptor);
            }).value());
    }
    [[nodiscard]] auto address() const -> std::string {
        return listener_->address();
    }

private:
    struct connection final : tcp_observer {
        auto on_data(std::string_view /*bytes*/) -> void override {}
        auto on_closed(close_reason /*reason*/) -> void override {
            stream_.reset();
        }
        std::unique_ptr<tcp_stream> stream_;
    };

    auto accept(int descriptor) -> void {
        connections_.push_back(std::make_unique<connection>());
        auto& made = *connections_.back();
        made.stream_ = tcp_stream::adopt(thread_, descriptor, made);
        made.stream_->write(answer_);
    }

    reactor_thread& thread_;
    const std::string answer_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::unique_ptr<tcp_listener> listener_;
};

struct outcome {
    error_code code_ = error_code::internal;
    duration took_{};
};

class http_pool_test : public testing::Test {
protected:
    // Makes calls at once, each answered with so many bytes of a larger body.
    auto run(int calls, std::size_t bytes) -> std::vector<outcome> {
        return run(calls, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n"
                          "\r\n" +
                              std::string(bytes, 'a'));
    }
    auto run(int calls, const std::string& answer) -> std::vector<outcome> {
        auto server = stalling_server{thread_, answer};
        auto outcomes = std::vector<outcome>{};
        auto all = std::promise<void>{};
        thread_.after(milliseconds{0}, [&] {
            const auto begun_at = clock_.now();
            for (auto number = 0; number < calls; ++number) {
                fetch(pool_, thread_,
                      {.address_ = server.address(), .timeout_ = timeout},
                      [&, begun_at](const result<small_reply>& reply) {
                          outcomes.push_back({reply ? error_code::internal
                                                    : reply.error().code_,
                                              clock_.now() - begun_at});
                          if (static_cast<int>(outcomes.size()) == calls) {
                              all.set_value();
                          }
                      });
            }
        });
        thread_.start();
        all.get_future().wait();
        thread_.stop();
        return outcomes;
    }

    static auto refused(const std::vector<outcome>& outcomes) -> int {
        return static_cast<int>(std::count_if(
            outcomes.begin(), outcomes.end(), [](const outcome& each) {
                return each.code_ == error_code::payload_too_large &&
                       each.took_ < at_once;
            }));
    }

    steady_clock clock_;
    reactor_thread thread_{"test", 1024};
    http_pool pool_{thread_, clock_};
};

class unsound_replies : public http_pool_test,
                        public testing::WithParamInterface<head_sample> {};

// Orders, status checks, reports and calls of the store took such heads for
// replies.
TEST_P(unsound_replies, head_that_is_no_answer_is_taken_for_a_reply) {
    const auto outcomes = run(1, GetParam().bytes_);
    EXPECT_EQ(outcomes.front().code_, error_code::incomplete_answer);
    EXPECT_LT(outcomes.front().took_, at_once);
}

INSTANTIATE_TEST_SUITE_P(http_pool, unsound_replies,
                         testing::ValuesIn(heads_of_no_answer()),
                         [](const auto& info) {
                             return std::string{info.param.name_};
                         });

// A reply of many times the size of any sound one was kept.
TEST_F(http_pool_test, reply_beyond_its_bound_is_kept) {
    EXPECT_EQ(refused(run(1, std::size_t{3} << 20U)), 1);
}

// Replies that were each within their bound exceeded the memory together.
TEST_F(http_pool_test, replies_exceed_the_memory_together) {
    constexpr auto calls = 40;
    const auto outcomes = run(calls, std::size_t{900} << 10U);
    const auto over = refused(outcomes);
    EXPECT_GE(over, calls - 18);
    EXPECT_LT(over, calls);
    EXPECT_EQ(over + std::count_if(outcomes.begin(), outcomes.end(),
                                   [](const outcome& each) {
                                       return each.code_ == error_code::timeout;
                                   }),
              calls);
}

} // namespace
} // namespace basilstream::transport
