// Runs complete daemons between clients and servers of which some take nothing
// for a while, although their kernels acknowledge all that arrives, and checks
// that each request still ends with its whole answer.

#include <iostream>
#include <string>

#include <gtest/gtest.h>

#include "testing/raw_deployment/raw_deployment.hpp"

namespace basilstream::testing {
namespace {

constexpr auto request_id_field = "Basilstream-Request-Id";
constexpr auto requests = 6;
// More than the kernels of both ends keep.
constexpr auto answer_bytes = std::size_t{4'000'000};
constexpr auto body_bytes = std::size_t{1'000'000};
// Routes time out after 8 s.
constexpr auto playing_time = milliseconds{9500};

struct scenario {
    const char* name_ = "";
    const char* prefix_ = "";
    milliseconds client_pause_{0};
    milliseconds server_pause_{0};
};

class slow_peers_world {
public:
    explicit slow_peers_world(const scenario& options)
        : options_{options}, deployment_{
                                 {.daemons_ = 2,
                                  .routes_ = {{"/safe/", "idempotent"},
                                              {"/once/", "non_idempotent"},
                                              {"/stream/", "streaming"}}}} {
        for (auto number = 0; number < 2; ++number) {
            deployment_
                .add_server([this](const auto& request, const auto& peer) {
                    answer(request, peer);
                })
                .set_read_delay(options_.server_pause_);
        }
    }

    auto run() -> void {
        deployment_.play(playing_time, [this] {
            for (auto number = 0; number < requests; ++number) {
                send(number);
            }
        });
    }

    int whole_ = 0;
    int cut_ = 0;
    int refused_ = 0;
    int runs_ = 0;

private:
    // An event of a stream has some hundred bytes.
    [[nodiscard]] auto answer_body() const -> std::string {
        if (options_.client_pause_ == milliseconds{0}) {
            return "done";
        }
        auto body = std::string{};
        for (auto number = 1; body.size() < answer_bytes; ++number) {
            body += "id: " + std::to_string(number) +
                    "\ndata: " + std::string(500, 'a') + "\n\n";
        }
        return body;
    }

    auto answer(const transport::request_message& request,
                const std::shared_ptr<raw_connection>& connection) -> void {
        ++runs_;
        const auto body = answer_body();
        connection->write("HTTP/1.1 200 OK\r\n" +
                          std::string{request_id_field} + ": " +
                          std::string{request.headers_.find(request_id_field)} +
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    auto send(int number) -> void {
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add(request_id_field, "q" + std::to_string(number));
        headers.add("Basilstream-Deadline-Milliseconds", "8000");
        const auto body = std::string(
            options_.server_pause_ > milliseconds{0} ? body_bytes : 4, 'b');
        deployment_.send(
            number % deployment_.daemons(),
            transport::write_request("POST",
                                     options_.prefix_ + std::to_string(number),
                                     headers, body),
            [this](const raw_answer& answer) {
                const auto whole = answer.status_ == 200 && answer.complete_ &&
                                   answer.body_ == answer_body();
                whole_ += whole ? 1 : 0;
                cut_ += answer.status_ == 200 && !whole ? 1 : 0;
                refused_ += answer.status_ != 200 ? 1 : 0;
            },
            options_.client_pause_);
    }

    const scenario options_;
    raw_deployment deployment_;
};

class slow_peers : public ::testing::TestWithParam<scenario> {};

// A peer that took nothing for 3 s was taken for gone.
TEST_P(slow_peers, pause_of_a_peer_ends_its_connection) {
    auto world = slow_peers_world{GetParam()};
    world.run();
    std::cout << GetParam().name_ << ": " << world.whole_ << " whole, "
              << world.cut_ << " cut, " << world.refused_
              << " with another status, " << world.runs_ << " runs\n";
    EXPECT_EQ(world.whole_, requests);
    EXPECT_EQ(world.runs_, requests);
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, slow_peers,
    ::testing::Values(scenario{.name_ = "client_of_an_answer",
                               .prefix_ = "/safe/",
                               .client_pause_ = milliseconds{5000}},
                      scenario{.name_ = "client_of_a_stream",
                               .prefix_ = "/stream/",
                               .client_pause_ = milliseconds{5000}},
                      scenario{.name_ = "server_of_a_submission",
                               .prefix_ = "/once/",
                               .server_pause_ = milliseconds{5000}}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
