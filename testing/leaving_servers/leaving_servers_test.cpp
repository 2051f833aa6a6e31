// Runs complete daemons against servers that say in their answers that they are
// leaving while the store still lists them as ready, and checks the promise: a
// request that a client sends later than the drain time after such an answer
// does not reach that server through the daemon that had the answer.

#include <array>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "testing/raw_deployment/raw_deployment.hpp"

namespace basilstream::testing {
namespace {

constexpr auto request_id_field = "Basilstream-Request-Id";
constexpr auto daemon_field = "X-Daemon";
constexpr auto drain_time = seconds{2};
// Requests wait longer than that for what may come in time.
constexpr auto time_to_refuse = milliseconds{500};
constexpr auto time_to_return = milliseconds{1500};
constexpr auto leaving_from = seconds{1};
constexpr auto replaced_at = seconds{4};
constexpr auto sending_time = seconds{7};
constexpr auto time_to_end = seconds{3};
constexpr auto stream_pause = milliseconds{1500};

// What a leaving server answers.
enum class reply { answer, refusal, misdirection, stream };
// What happens to the announcements of the leaving servers.
enum class announcement {
    stays,
    // The store refuses all calls.
    store_away,
    // It lapses and comes back.
    lapses,
    // A new process is announced under the id.
    new_process,
};

struct scenario {
    const char* name_ = "";
    int daemons_ = 2;
    int servers_ = 4;
    int leaving_ = 2;
    reply reply_ = reply::answer;
    announcement announcement_ = announcement::stays;
    // Whether the requests need the model that the servers hold.
    bool with_model_ = false;
    milliseconds request_interval_{8};
    double min_served_ = 0.97;
};

class leaving_servers_world {
public:
    explicit leaving_servers_world(const scenario& options)
        : options_{options}, deployment_{
                                 {.daemons_ = options.daemons_,
                                  .routes_ = {{"/safe/", "idempotent"},
                                              {"/stream/", "streaming", true}},
                                  .adapters_ = options.with_model_ ? 1 : 0}} {
        for (auto number = 0; number < options_.servers_; ++number) {
            servers_.push_back(&deployment_.add_server(
                [this, number](const auto& request, const auto& connection) {
                    answer(number, request, connection);
                }));
        }
    }

    auto run() -> void {
        deployment_.play(sending_time + time_to_end, [this] {
            begun_at_ = deployment_.time().now();
            auto& thread = deployment_.thread();
            thread.every(options_.request_interval_, [this] { send(); });
            if (options_.announcement_ == announcement::store_away) {
                thread.after(milliseconds{500}, [this] {
                    deployment_.store().set_fault(store_fault::refuse);
                });
            } else if (options_.announcement_ == announcement::lapses) {
                thread.after(seconds{3}, [this] {
                    each_leaving([](auto& server) { server.withdraw(); });
                });
                thread.after(seconds{4}, [this] {
                    each_leaving([](auto& server) { server.announce(1000); });
                });
            } else if (options_.announcement_ == announcement::new_process) {
                thread.after(replaced_at, [this] {
                    replaced_ = true;
                    each_leaving([](auto& server) { server.announce(2000); });
                });
            }
        });
    }

    int sent_ = 0;
    int served_ = 0;
    int refused_ = 0;
    int late_refusals_ = 0;
    // Refusals that do not say when to come back.
    int unhinted_ = 0;
    // Requests that reached a leaving server against the promise.
    int late_requests_ = 0;
    // Requests that reached the new processes of leaving servers in time.
    int returned_ = 0;

private:
    template <class Action>
    auto each_leaving(Action action) -> void {
        for (auto number = 0; number < options_.leaving_; ++number) {
            action(*servers_[number]);
        }
    }

    [[nodiscard]] auto is_leaving(int number) const -> bool {
        return number < options_.leaving_ && !replaced_ &&
               begun_at_ != time_point{} &&
               deployment_.time().now() >= begun_at_ + leaving_from;
    }

    auto answer(int number, const transport::request_message& request,
                const std::shared_ptr<raw_connection>& connection) -> void {
        const auto now = deployment_.time().now();
        const auto id = std::string{request.headers_.find(request_id_field)};
        const auto daemon = std::string{request.headers_.find(daemon_field)};
        const auto leaving = is_leaving(number);
        const auto told = told_at_.find({number, daemon});
        if (leaving && told != told_at_.end() &&
            sent_at_[id] > told->second + drain_time) {
            ++late_requests_;
        }
        if (leaving && told == told_at_.end()) {
            told_at_[{number, daemon}] = now;
        }
        if (replaced_ && number < options_.leaving_ &&
            now < begun_at_ + replaced_at + time_to_return) {
            ++returned_;
        }
        const auto kind = leaving ? options_.reply_ : reply::answer;
        const auto is_stream = request.target_.starts_with("/stream/");
        const auto echo = std::string{request_id_field} + ": " + id + "\r\n" +
                          (leaving ? "Server-Leaving: 1\r\n" : "");
        const auto event = std::string{"id: 1\ndata: a\n\n"};
        if (request.target_.starts_with("/basilstream/")) {
            // Orders and reports: another order is being carried out.
            connection->write("HTTP/1.1 409 Conflict\r\n" + echo +
                              "Content-Length: 0\r\n\r\n");
            return;
        }
        if (kind == reply::refusal) {
            connection->write("HTTP/1.1 503 Busy\r\n" + echo +
                              "Basilstream-Not-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n");
        } else if (kind == reply::misdirection) {
            connection->write("HTTP/1.1 421 Misdirected\r\n" + echo +
                              "Content-Length: 0\r\n\r\n");
        } else if (kind == reply::stream && is_stream) {
            connection->write("HTTP/1.1 200 OK\r\n" + echo + "\r\n" + event);
            deployment_.thread().after(stream_pause, [connection, event] {
                connection->write(event);
                connection->close();
            });
        } else {
            connection->write(
                "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: " +
                std::to_string(event.size()) + "\r\n\r\n" + event);
        }
    }

    auto send() -> void {
        const auto now = deployment_.time().now();
        if (now > begun_at_ + sending_time) {
            return;
        }
        const auto number = sent_++;
        const auto daemon = number % options_.daemons_;
        const auto id = "q" + std::to_string(number);
        sent_at_[id] = now;
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add(request_id_field, id);
        headers.add("Basilstream-Deadline-Milliseconds", "4000");
        headers.add(daemon_field, "d" + std::to_string(daemon));
        if (options_.with_model_) {
            headers.add("Basilstream-Model", "m");
        }
        const auto* const prefix = options_.reply_ == reply::stream ||
                                           number / options_.daemons_ % 2 == 0
                                       ? "/stream/"
                                       : "/safe/";
        deployment_.send(
            daemon,
            transport::write_request("POST", prefix + std::to_string(number),
                                     headers, "body"),
            [this](const raw_answer& answer) { check(answer); });
    }

    auto check(const raw_answer& answer) -> void {
        served_ += answer.status_ == 200 && answer.complete_ ? 1 : 0;
        if (answer.status_ == 503) {
            ++refused_;
            late_refusals_ += answer.took_ > time_to_refuse ? 1 : 0;
            unhinted_ += answer.headers_.contains("Retry-After") ? 0 : 1;
        }
    }

    const scenario options_;
    raw_deployment deployment_;
    std::vector<raw_server*> servers_;
    std::map<std::string, time_point> sent_at_;
    // When a leaving server first answered a daemon.
    std::map<std::pair<int, std::string>, time_point> told_at_;
    time_point begun_at_{};
    bool replaced_ = false;
};

class leaving_servers : public ::testing::TestWithParam<scenario> {};

// A server that said in its answers that it leaves got new requests for as long
// as the store listed it.
TEST_P(leaving_servers, leaving_server_gets_new_requests) {
    const auto& options = GetParam();
    auto world = leaving_servers_world{options};
    world.run();
    const auto served = static_cast<double>(world.served_) / world.sent_;
    std::cout << options.name_ << ": " << world.late_requests_
              << " late requests, " << served << " served, " << world.refused_
              << " refused (" << world.unhinted_ << " without a time, "
              << world.late_refusals_ << " late), " << world.returned_
              << " sent to new processes\n";
    EXPECT_EQ(world.late_requests_, 0);
    EXPECT_GE(served, options.min_served_);
    EXPECT_EQ(world.unhinted_, 0);
    EXPECT_EQ(world.late_refusals_, 0);
    if (options.announcement_ == announcement::new_process) {
        EXPECT_GT(world.returned_, 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, leaving_servers,
    ::testing::Values(scenario{.name_ = "two_of_four_servers_2_daemons"},
                      scenario{.name_ = "two_of_four_servers_80_daemons",
                               .daemons_ = 80,
                               .request_interval_ = milliseconds{3}},
                      scenario{.name_ = "refusals_7_daemons",
                               .daemons_ = 7,
                               .reply_ = reply::refusal},
                      scenario{.name_ = "misdirections_7_daemons",
                               .daemons_ = 7,
                               .reply_ = reply::misdirection},
                      scenario{.name_ = "long_streams_7_daemons",
                               .daemons_ = 7,
                               .reply_ = reply::stream},
                      scenario{.name_ = "only_server_7_daemons",
                               .daemons_ = 7,
                               .servers_ = 1,
                               .leaving_ = 1,
                               .min_served_ = 0.1},
                      scenario{.name_ = "only_server_with_the_model_7_daemons",
                               .daemons_ = 7,
                               .servers_ = 1,
                               .leaving_ = 1,
                               .with_model_ = true,
                               .min_served_ = 0.1},
                      scenario{.name_ = "store_away_7_daemons",
                               .daemons_ = 7,
                               .announcement_ = announcement::store_away},
                      scenario{.name_ = "announcements_lapse_7_daemons",
                               .daemons_ = 7,
                               .announcement_ = announcement::lapses},
                      scenario{.name_ = "new_processes_7_daemons",
                               .daemons_ = 7,
                               .announcement_ = announcement::new_process}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
