#include "basilstream/daemon/relay_program/relay_program.hpp"

#include <atomic>
#include <future>
#include <sstream>

#include <gtest/gtest.h>

#include "basilstream/ctl/commands/commands.hpp"
#include "basilstream/daemon/relay_program/relay_program_test_world.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/transport/http_client/http_client.hpp"
#include "basilstream/transport/http_session/http_session.hpp"

// Runs complete daemons against an in-memory store and a fake runner over
// loopback connections.

namespace basilstream::daemon {
namespace {

// Covers the time in which a new daemon joins, acquires the lease and has a
// model loaded, and the time of a stop.
constexpr auto reply_timeout = seconds{15};

// Loads the model it is ordered to load and answers requests with its id.
class fake_runner {
public:
    explicit fake_runner(std::string id)
        : id_{std::move(id)}, thread_{"runner", 1024} {
        server_ =
            std::move(transport::http_session_server::open(
                          thread_, clock_, {.address_ = "127.0.0.1:0"},
                          [this](const transport::request_message& request,
                                 transport::http_session& session) {
                              answer(request, session);
                          })
                          .value());
        thread_.start();
    }
    ~fake_runner() { thread_.stop(); }
    fake_runner(const fake_runner&) = delete;
    auto operator=(const fake_runner&) -> fake_runner& = delete;

    [[nodiscard]] auto address() const -> std::string {
        return server_->address();
    }
    [[nodiscard]] auto served_count() const -> int { return served_count_; }

private:
    auto answer(const transport::request_message& request,
                transport::http_session& session) -> void {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        if (request.target_ == "/order") {
            model_ = request.body_;
            ++orders_;
            session.respond(202, headers, "");
        } else if (request.target_ == "/report") {
            session.respond(200, headers,
                            std::to_string(orders_) + " " + model_);
        } else if (request.headers_.find("X-Model") != model_) {
            headers.add("X-Not-Run", "1");
            session.respond(421, headers, "");
        } else {
            ++served_count_;
            session.respond(200, headers, id_);
        }
    }

    std::string id_;
    steady_clock clock_;
    transport::reactor_thread thread_;
    std::unique_ptr<transport::http_session_server> server_;
    std::string model_;
    int orders_ = 0;
    std::atomic<int> served_count_{0};
};

class relay_program_test : public testing::Test {
protected:
    relay_program_test() {
        auto engine = std::make_shared<coordination::service_engine>();
        engine->slots_ = 4;
        engine->kv_tokens_ = 10'000;
        engine->weights_mb_ = 100;
        engine->loads_per_second_ = 10;
        auto model = coordination::service_model{};
        model.name_ = "m";
        model.weights_mb_ = 50;
        engine->models_ = {model};
        auto route = coordination::relay_route{};
        route.name_ = "all";
        route.host_ = "x";
        route.path_prefix_ = "/";
        route.kind_ = coordination::request_kind::idempotent;
        route.targets_ = {{"runners", 1}};
        auto config = std::make_shared<coordination::relay_config>();
        config->version_ = 7;
        config->routes_ = {route};
        config->services_ = {
            {.name_ = "runners", .connection_limit_ = 50, .engine_ = engine}};
        deployment_.config_ = config;
        auto server = coordination::backend_server{};
        server.id_ = "r1";
        server.service_ = "runners";
        server.address_ = runner_.address();
        server.zone_ = "a";
        server.slots_ = 4;
        server.started_at_ = 1;
        deployment_.servers_["r1"] = server;
        deployment_.log_.append(shared_topic::configuration, std::nullopt,
                                {"routes", "7"});
        deployment_.log_.append(shared_topic::backends, std::nullopt,
                                {"r1", "r1"});
    }

    auto start(const std::string& name) -> relay_program& {
        auto settings = relay_daemon_settings{};
        settings.name_ = name;
        settings.zone_ = "a";
        settings.caller_address_ = "127.0.0.1:0";
        settings.readiness_address_ = "127.0.0.1:0";
        settings.directory_address_ = "127.0.0.1:0";
        settings.metrics_address_ = "127.0.0.1:0";
        settings.peer_ip_ = "127.0.0.1";
        settings.limits_.lease_ = milliseconds{100};
        settings.stop_.grace_ = seconds{8};
        settings.logging_ = {transport::log_level::off};
        auto started = relay_program::start(settings, deployment_, [this] {
            if (++stopped_count_ == static_cast<int>(daemons_.size())) {
                all_stopped_.set_value();
            }
        });
        EXPECT_TRUE(started);
        daemons_.push_back(std::move(*started));
        return *daemons_.back();
    }

    auto get(const std::string& address, const std::string& path,
             std::vector<std::pair<std::string, std::string>> headers = {})
        -> transport::http_reply {
        auto reply = client_.fetch_wait({.url_ = "http://" + address + path,
                                         .headers_ = std::move(headers),
                                         .total_timeout_ = seconds{5},
                                         .step_ = step::peer});
        return reply ? *reply : transport::http_reply{};
    }

    // Repeats `send` until it returns a 200 that `accept` accepts, or until
    // `reply_timeout` has passed. Returns the last reply.
    template <class Send, class Accept>
    auto retry_until(Send send, Accept accept) -> transport::http_reply {
        const auto until = clock_.now() + reply_timeout;
        auto reply = transport::http_reply{};
        while (clock_.now() < until) {
            reply = send();
            if (reply.status_ == 200 && accept(reply)) {
                break;
            }
        }
        return reply;
    }

    auto request(relay_program& daemon, const std::string& id)
        -> transport::http_reply {
        return get(daemon.caller_address(), "/x",
                   {{"Host", "x"}, {"X-Id", id}, {"X-Model", "m"}});
    }

    auto fetch_explanation(relay_program& daemon, const std::string& name)
        -> std::string {
        return get(daemon.operator_address(), "/explain?name=" + name).body_;
    }

    steady_clock clock_;
    fake_runner runner_{"r1"};
    fake_installation deployment_;
    transport::http_client client_{"test"};
    std::atomic<int> stopped_count_{0};
    std::promise<void> all_stopped_;
    std::vector<std::unique_ptr<relay_program>> daemons_;
};

// With an empty runner and two new daemons, one daemon orders the model to be
// loaded, and requests through both daemons are served.
TEST_F(relay_program_test, loads_requested_model_and_serves_requests) {
    auto& first = start("d1");
    auto& second = start("d2");
    const auto accept_any = [](const auto&) {
        return true;
    };
    auto request_count = 0;
    for (auto* const daemon : {&first, &second}) {
        const auto reply = retry_until(
            [&] {
                return request(*daemon, "q" + std::to_string(++request_count));
            },
            accept_any);
        EXPECT_EQ(reply.status_, 200);
        EXPECT_EQ(reply.body_, "r1");
    }
    // Each client attempt reached the runner exactly once.
    EXPECT_EQ(runner_.served_count(), 2);

    const auto directory_reply =
        retry_until([&] { return get(first.directory_address(), "/where"); },
                    [&](const auto& reply) {
                        return reply.body_.find(first.caller_address()) !=
                                   std::string::npos &&
                               reply.body_.find(second.caller_address()) !=
                                   std::string::npos;
                    });
    EXPECT_EQ(directory_reply.status_, 200);

    const auto last_request = "q" + std::to_string(request_count);
    EXPECT_NE(fetch_explanation(second, last_request).find("answered"),
              std::string::npos);
    EXPECT_EQ(fetch_explanation(first, last_request).find("answered"),
              std::string::npos);
    EXPECT_NE(fetch_explanation(first, "r1").find("holds m"),
              std::string::npos);
    EXPECT_NE(fetch_explanation(first, "m").find("on r1"), std::string::npos);

    auto owners = 0;
    for (const auto& daemon : daemons_) {
        const auto status = protocol::parse_json(
            get(daemon->operator_address(), "/status").body_, "status",
            step::peer);
        ASSERT_TRUE(status);
        EXPECT_EQ((*status)["ready"], true);
        EXPECT_EQ((*status)["log"]["offset"], 7);
        EXPECT_EQ((*status)["members"].size(), 2U);
        owners += (*status)["shards"].empty() ? 0 : 1;
    }
    EXPECT_EQ(owners, 1);
    EXPECT_NE(get(first.operator_address(), "/metrics")
                  .body_.find("basilstream_relay_requests_total"),
              std::string::npos);
}

// Every basilctl command that needs no log works on relaying daemons.
TEST_F(relay_program_test, answers_basilctl_commands) {
    auto& daemon = start("d1");
    const auto accept_any = [](const auto&) {
        return true;
    };
    EXPECT_EQ(
        retry_until([&] { return request(daemon, "q"); }, accept_any).status_,
        200);
    const auto run = [&](const std::string& command,
                         std::vector<std::string> arguments = {}) {
        auto link = ctl::session{{.admins_ = {daemon.operator_address()}}};
        auto out = std::ostringstream{};
        EXPECT_EQ(ctl::run_command(
                      {.command_ = command, .arguments_ = std::move(arguments)},
                      link, out, out),
                  ctl::exit_status::ok)
            << command << ": " << out.str();
        return out.str();
    };
    EXPECT_NE(run("status").find("serving"), std::string::npos);
    EXPECT_NE(run("endpoints").find(daemon.caller_address()),
              std::string::npos);
    EXPECT_NE(run("explain", {"q"}).find("answered"), std::string::npos);
    EXPECT_NE(run("explain", {"r1"}).find("holds m"), std::string::npos);
    EXPECT_NE(run("metrics").find("basilstream_relay_answered_total"),
              std::string::npos);
}

TEST_F(relay_program_test, refuses_model_that_the_service_does_not_offer) {
    auto& daemon = start("d1");
    const auto reply = retry_until(
        [&] {
            auto answer =
                get(daemon.caller_address(), "/x",
                    {{"Host", "x"}, {"X-Id", "z"}, {"X-Model", "no"}});
            // A daemon records a refusal only once it is ready.
            return fetch_explanation(daemon, "z").find("refused") !=
                           std::string::npos
                       ? get(daemon.operator_address(), "/status")
                       : answer;
        },
        [](const auto&) { return true; });
    EXPECT_EQ(reply.status_, 200);
    EXPECT_EQ(runner_.served_count(), 0);
}

// A caller of a daemon that had just started lost a try: 503, while the
// configuration was a store's answer away. Here it knows that there is no
// route.
TEST_F(relay_program_test, request_before_the_first_configuration_is_refused) {
    deployment_.log_.set_listing_time(milliseconds{20});
    auto& daemon = start("d1");
    EXPECT_EQ(get(daemon.caller_address(), "/x", {{"Host", "other"}}).status_,
              404);
}

TEST_F(relay_program_test, request_waits_for_a_store_that_is_away) {
    deployment_.log_.set_available(false);
    auto& daemon = start("d1");
    EXPECT_EQ(get(daemon.caller_address(), "/x", {{"Host", "x"}}).status_, 503);
}

TEST_F(relay_program_test, stops_on_request) {
    start("d1");
    start("d2");
    for (const auto& daemon : daemons_) {
        daemon->request_stop();
    }
    EXPECT_EQ(all_stopped_.get_future().wait_for(reply_timeout),
              std::future_status::ready);
}

} // namespace
} // namespace basilstream::daemon
