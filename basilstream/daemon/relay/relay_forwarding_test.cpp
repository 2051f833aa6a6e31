#include <string>
#include <utility>
#include <vector>

#include "basilstream/daemon/relay/relay_test_world.hpp"

namespace basilstream::daemon {
namespace {

// Sends requests as another daemon would.
class relay_forwarding : public relay_test {
protected:
    relay_forwarding() {
        a_.default_script_ = answer(200, "ok");
        run_on_thread([&] {
            EXPECT_TRUE(relay_.open_forwarding("127.0.0.1:0"));
            forwarding_.connect(
                [&](const auto& /*daemon*/, const auto& update) {
                    offer_ = *update.forwarding_offer_;
                    return true;
                });
            auto question = protocol::relay_update{};
            question.asks_for_forwarding_ = true;
            forwarding_.on_update("peer", question);
        });
    }

    using fields = std::vector<std::pair<std::string, std::string>>;

    // Starts a request that another daemon forwards.
    auto start_forwarded(test_client& client, const std::string& path,
                         const std::string& key, int runs, int config,
                         const fields& more = {},
                         const std::string& body = "body") -> void {
        run_on_thread([&] {
            auto headers = transport::header_list{};
            headers.add("Host", "x");
            headers.add("X-Id", "id" + std::to_string(++next_id_));
            headers.add("Forwarding-Key", key);
            headers.add("Forwarding-Runs", std::to_string(runs));
            headers.add("Forwarding-Config", std::to_string(config));
            for (const auto& [name, value] : more) {
                headers.add(name, value);
            }
            client.call_ = clients_.send(
                offer_.address_,
                transport::write_request("POST", path, headers, body), false,
                100, client);
        });
    }

    auto forward(const std::string& path, const std::string& key, int runs,
                 int config, const fields& more = {},
                 const std::string& body = "body") -> client_response {
        auto client = test_client{};
        start_forwarded(client, path, key, runs, config, more, body);
        client.done_.get_future().get();
        auto response = client_response{};
        run_on_thread([&] { response = client.response_; });
        return response;
    }

    // Forwards a request that must not reach a server.
    auto expect_refused(const fields& more = {}) -> void {
        const auto before = a_.requests_.size();
        const auto refused = forward("/once/x", offer_.key_, 2, 1, more);
        EXPECT_EQ(refused.status_, 503);
        EXPECT_EQ(refused.headers_.find("Forwarding-Outcome"), "not_run");
        EXPECT_EQ(a_.requests_.size(), before);
    }

    // Returns a script that answers with a further header field.
    static auto answer_with(int status, const std::string& field)
        -> test_backend::script {
        return [=](const transport::request_message& request,
                   test_backend::connection& to) {
            to.write("HTTP/1.1 " + std::to_string(status) + " -\r\nX-Id: " +
                     std::string{request.headers_.find("X-Id")} + "\r\n" +
                     field + "\r\nContent-Length: 0\r\n\r\n");
        };
    }

    protocol::forwarding_offer offer_;
};

TEST_F(relay_forwarding, answers_requests_of_other_daemons) {
    const auto served = forward("/safe/1", offer_.key_, 2, 1);
    EXPECT_EQ(served.status_, 200);
    EXPECT_EQ(served.headers_.find("Forwarding-Outcome"), "answered");
    EXPECT_EQ(served.headers_.find("Forwarding-Server"), "a");
}

// A client passed for another daemon.
TEST_F(relay_forwarding, request_with_a_wrong_key_is_served) {
    EXPECT_EQ(forward("/safe/1", "1", 2, 1).status_, 403);
    EXPECT_TRUE(a_.requests_.empty());
}

TEST_F(relay_forwarding, older_configuration_is_used) {
    const auto refused = forward("/safe/1", offer_.key_, 2, 99);
    EXPECT_EQ(refused.status_, 503);
    EXPECT_EQ(refused.headers_.find("Forwarding-Outcome"), "unreached");
    EXPECT_TRUE(a_.requests_.empty());
}

// Two daemons that reached no server sent a request to and fro.
TEST_F(relay_forwarding, forwarded_request_is_forwarded_again) {
    run_on_thread([&] {
        auto unreachable = a_.server("app");
        unreachable.address_ = "127.0.0.1:1";
        relay_.set_backend(unreachable);
        auto update = protocol::relay_update{};
        update.forwarding_offer_ = {b_.server("app").address_, "key", {}, 0};
        forwarding_.on_update("peer", update);
    });
    b_.default_script_ = answer(200, "ok");
    // Until the daemon notices that it reaches no server.
    constexpr auto most_tries = 500;
    for (auto tries = 0; tries < most_tries && b_.requests_.empty(); ++tries) {
        (void)call("/safe/" + std::to_string(tries));
    }
    ASSERT_EQ(b_.requests_.size(), 1U);
    EXPECT_EQ(b_.requests_[0].headers_.find("Forwarding-Key"), "key");
    // The daemon that forwarded it learns that others may reach the service.
    const auto refused = forward("/safe/x", offer_.key_, 2, 1);
    EXPECT_EQ(refused.status_, 503);
    EXPECT_EQ(refused.headers_.find("Forwarding-Outcome"), "unreached");
    EXPECT_EQ(b_.requests_.size(), 1U);
}

// Both daemons sent a request as often as its route allows.
TEST_F(relay_forwarding, request_runs_more_often_than_its_route_allows) {
    add_backend_b();
    a_.default_script_ = close_without_answer();
    b_.default_script_ = close_without_answer();
    const auto failed = forward("/safe/1", offer_.key_, 1, 1);
    EXPECT_EQ(failed.status_, 502);
    EXPECT_EQ(failed.headers_.find("Forwarding-Outcome"), "failed");
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 1U);
}

// The client of a forwarded request left, and its server worked on.
TEST_F(relay_forwarding, forwarded_request_outlives_its_client) {
    a_.default_script_ = [](const auto&, auto&) {
    };
    auto client = test_client{};
    start_forwarded(client, "/safe/1", offer_.key_, 2, 1);
    const auto wait_for = [this](const auto& condition) {
        auto holds = false;
        const auto until = clock_.now() + seconds{5};
        while (!holds && clock_.now() < until) {
            run_on_thread([&] { holds = condition(); });
        }
        return holds;
    };
    ASSERT_TRUE(wait_for([this] { return a_.requests_.size() == 1; }));
    run_on_thread([&] { client.call_->cancel(); });
    EXPECT_TRUE(wait_for([this] { return a_.closed_ == 1; }));
}

TEST_F(relay_forwarding, large_body_is_cut) {
    const auto body = std::string(500'000, 'x');
    EXPECT_EQ(forward("/safe/1", offer_.key_, 2, 1, {}, body).status_, 200);
    EXPECT_EQ(a_.requests_.at(0).body_, body);
}

TEST_F(relay_forwarding, forwarded_request_with_a_held_part_is_sent) {
    run_on_thread([&] {
        relay_.prompt_quarantine().merge(
            coordination::prompt_part_mark{.part_ = 7}, clock_.now());
    });
    expect_refused({{"X-Parts", "8179"}});
}

TEST_F(relay_forwarding, forwarded_request_reaches_a_paused_server) {
    a_.default_script_ = answer_with(503, "X-Not-Run: 1\r\nX-Pause: 5000");
    EXPECT_EQ(call("/once/x").status_, 503);
    expect_refused();
}

TEST_F(relay_forwarding, forwarded_request_reaches_a_leaving_server) {
    a_.default_script_ = answer_with(200, "X-Leaving: 1");
    EXPECT_EQ(call("/once/x").status_, 200);
    expect_refused();
}

TEST_F(relay_forwarding, forwarded_requests_exceed_a_rate_limit) {
    a_.default_script_ = answer_with(200, "X-Rate-Limit: 0.1");
    EXPECT_EQ(call("/once/x").status_, 200);
    EXPECT_EQ(forward("/once/1", offer_.key_, 2, 1).status_, 200);
    expect_refused();
}

} // namespace
} // namespace basilstream::daemon
