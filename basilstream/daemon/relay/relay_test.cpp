#include "basilstream/daemon/relay/relay.hpp"

#include "basilstream/daemon/relay/relay_test_world.hpp"

namespace basilstream::daemon {
namespace {

TEST_F(relay_world, passes_a_request_and_its_answer_on) {
    a_.scripts_ = {answer(201, "made")};
    const auto seen = call("/safe/x?y=1", "X-More", "z");
    EXPECT_EQ(seen.status_, 201);
    EXPECT_EQ(seen.body_, "made");
    EXPECT_EQ(seen.headers_.find("X-Server"), "a");
    ASSERT_EQ(a_.requests_.size(), 1U);
    EXPECT_EQ(a_.requests_[0].target_, "/safe/x?y=1");
    EXPECT_EQ(a_.requests_[0].body_, "body");
    EXPECT_EQ(a_.requests_[0].headers_.find("X-More"), "z");
    EXPECT_EQ(a_.requests_[0].headers_.find("X-Expect"), "a");
}

TEST_F(relay_world, keeps_connections_to_backend_servers) {
    a_.otherwise_ = answer(200, "ok");
    for (auto turn = 0; turn < 5; ++turn) {
        EXPECT_EQ(call("/safe/").status_, 200);
    }
    EXPECT_EQ(a_.connections_.size(), 1U);
}

TEST_F(relay_world, a_path_without_a_route_is_not_found) {
    EXPECT_EQ(call("/other/").status_, 404);
    EXPECT_TRUE(a_.requests_.empty());
}

TEST_F(relay_world, a_refusal_is_no_run_and_goes_elsewhere) {
    add_b();
    a_.otherwise_ = refuse();
    b_.otherwise_ = answer(200, "ok");
    for (auto turn = 0; turn < 8; ++turn) {
        const auto seen = call("/once/");
        EXPECT_EQ(seen.status_, 200);
        EXPECT_EQ(seen.headers_.find("X-Server"), "b");
    }
}

TEST_F(relay_world, refused_by_all_is_refused_with_a_hint) {
    a_.otherwise_ = refuse();
    const auto seen = call("/once/");
    EXPECT_EQ(seen.status_, 503);
    EXPECT_TRUE(seen.headers_.contains("Retry-After"));
}

// Sent and not answered: it may have run.
TEST_F(relay_world, what_may_run_once_is_not_sent_again) {
    add_b();
    a_.otherwise_ = close_unanswered();
    b_.otherwise_ = close_unanswered();
    const auto seen = call("/once/");
    EXPECT_EQ(seen.status_, 502);
    EXPECT_FALSE(seen.headers_.contains("Retry-After"));
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 1U);
}

TEST_F(relay_world, a_repeatable_request_runs_on_as_many_as_its_route_says) {
    add_b();
    a_.otherwise_ = close_unanswered();
    b_.otherwise_ = close_unanswered();
    EXPECT_EQ(call("/safe/").status_, 502);
    EXPECT_EQ(a_.requests_.size(), 1U);
    EXPECT_EQ(b_.requests_.size(), 1U);
}

TEST_F(relay_world, a_server_s_failure_is_repeated_and_passed_on_at_last) {
    add_b();
    a_.otherwise_ = answer(500, "sorry");
    b_.otherwise_ = answer(500, "sorry");
    const auto seen = call("/safe/");
    EXPECT_EQ(seen.status_, 500);
    EXPECT_EQ(seen.body_, "sorry");
    EXPECT_FALSE(seen.headers_.find("X-Server").empty());
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 2U);
}

TEST_F(relay_world, an_answer_to_another_request_is_dropped) {
    a_.scripts_ = {[](const transport::request_message& request,
                      test_backend::connection& to) {
        to.write("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\n"
                 "wrong");
        answer(200, "right")(request, to);
    }};
    const auto seen = call("/once/");
    EXPECT_EQ(seen.status_, 200);
    EXPECT_EQ(seen.body_, "right");
}

// A second answer after the first: it must meet no other request.
TEST_F(relay_world, a_connection_with_stray_bytes_is_not_used_again) {
    a_.scripts_ = {[](const transport::request_message& request,
                      test_backend::connection& to) {
        answer(200, "first")(request, to);
        answer(200, "stray")(request, to);
    }};
    a_.otherwise_ = answer(200, "second");
    EXPECT_EQ(call("/safe/").body_, "first");
    EXPECT_EQ(call("/safe/").body_, "second");
}

TEST_F(relay_world, a_truncated_answer_is_no_answer) {
    a_.scripts_ = {[](const transport::request_message& request,
                      test_backend::connection& to) {
        to.write("HTTP/1.1 200 OK\r\nX-Id: " +
                 std::string{request.headers_.find("X-Id")} +
                 "\r\nContent-Length: 50\r\n\r\nshort");
        to.close();
    }};
    const auto seen = call("/once/");
    EXPECT_EQ(seen.status_, 502);
    EXPECT_EQ(seen.body_.find("short"), std::string::npos);
}

TEST_F(relay_world, bytes_that_are_no_answer_are_not_passed_on) {
    a_.scripts_ = {
        [](const transport::request_message&, test_backend::connection& to) {
            to.write("\x16\x03\x01 not an answer\r\n\r\n");
        }};
    EXPECT_EQ(call("/once/").status_, 502);
}

TEST_F(relay_world, streams_pass_as_they_come) {
    a_.scripts_ = {stream("id: 1\n\nid: 2\n\n", true)};
    const auto seen = call("/stream/");
    EXPECT_TRUE(seen.whole_);
    EXPECT_EQ(seen.body_, "id: 1\n\nid: 2\n\n");
}

TEST_F(relay_world, a_broken_stream_never_looks_whole) {
    add_b();
    a_.otherwise_ = stream("id: 1\n\nid: 2\nda", false);
    b_.otherwise_ = a_.otherwise_;
    const auto seen = call("/stream/");
    EXPECT_FALSE(seen.whole_);
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 1U);
}

TEST_F(relay_world, a_resumable_stream_goes_on_at_another_server) {
    add_b();
    const auto script = [](const transport::request_message& request,
                           test_backend::connection& to) {
        const auto resumed = request.headers_.find("X-Resume");
        const auto text = resumed.empty() ? "id: 1\na\n\nid: 2\nb\n\nid: 3\nc"
                                          : "id: 3\nc\n\nid: 4\nd\n\n";
        EXPECT_TRUE(resumed.empty() || resumed == "2");
        stream(text, !resumed.empty())(request, to);
    };
    a_.otherwise_ = script;
    b_.otherwise_ = script;
    const auto seen = call("/resume/");
    EXPECT_TRUE(seen.whole_);
    EXPECT_EQ(seen.body_, "id: 1\na\n\nid: 2\nb\n\nid: 3\nc\n\nid: 4\nd\n\n");
    EXPECT_EQ(a_.requests_.size(), 1U);
    EXPECT_EQ(b_.requests_.size(), 1U);
}

// A model with one copy, whose runner lost an answer.
TEST_F(relay_world, what_may_run_again_does_so_on_the_only_server) {
    a_.scripts_ = {close_unanswered()};
    a_.otherwise_ = answer(200, "ok");
    EXPECT_EQ(call("/safe/").status_, 200);
    EXPECT_EQ(a_.requests_.size(), 2U);
}

// The connection stays open and nothing comes.
TEST_F(relay_world, a_silent_server_is_left_for_another) {
    add_b();
    a_.otherwise_ = [](const auto&, auto&) {
    };
    b_.otherwise_ = answer(200, "ok");
    for (auto turn = 0; turn < 4; ++turn) {
        EXPECT_EQ(call("/safe/", "X-Patience", "5000").status_, 200);
    }
    EXPECT_GE(a_.requests_.size(), 1U);
}

TEST_F(relay_world, a_silent_server_is_no_reason_to_run_a_request_twice) {
    add_b();
    a_.otherwise_ = [](const auto&, auto&) {
    };
    b_.otherwise_ = a_.otherwise_;
    EXPECT_EQ(call("/once/", "X-Patience", "900").status_, 504);
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 1U);
}

// Servers that lose every answer: retries stay within the deployment's share.
TEST_F(relay_world, retries_stay_below_their_limit) {
    constexpr auto requests = 60;
    constexpr auto allowance = 20.0;
    constexpr auto ratio = 0.5;
    add_b();
    a_.otherwise_ = close_unanswered();
    b_.otherwise_ = close_unanswered();
    relay_.set_retry_limits(ratio, allowance, seconds{10});
    relay_.set_daemons(2);
    for (auto turn = 0; turn < requests; ++turn) {
        EXPECT_EQ(call("/safe/").status_, 502);
    }
    const auto arrived = a_.requests_.size() + b_.requests_.size();
    EXPECT_GT(arrived, static_cast<std::size_t>(requests));
    EXPECT_LE(arrived, static_cast<std::size_t>(requests + requests * ratio +
                                                allowance / 2));
}

TEST_F(relay_world, a_request_ends_with_its_time) {
    // The server holds it for ever.
    const auto seen = call("/once/", "X-Patience", "60");
    EXPECT_EQ(seen.status_, 504);
    EXPECT_EQ(a_.requests_.size(), 1U);
}

TEST_F(relay_world, what_waits_for_a_model_is_refused_in_time) {
    supply_.wait_ = milliseconds{10};
    const auto seen = call("/safe/", "X-Model", "m");
    EXPECT_EQ(seen.status_, 503);
    EXPECT_EQ(supply_.unserved_, 1);
}

TEST_F(relay_world, what_waits_for_a_model_goes_on_when_it_comes) {
    supply_.wait_ = milliseconds{10};
    a_.otherwise_ = answer(200, "ok");
    auto client = test_client{};
    start(client, "/safe/", "X-Model", "m");
    on_thread([&] {
        auto server = a_.server("app");
        server.models_ = {{"m", 1, {}}};
        relay_.set_backend(server);
    });
    client.done_.get_future().get();
    EXPECT_EQ(client.seen_.status_, 200);
}

TEST_F(relay_world, a_model_that_is_far_off_is_refused_with_the_time) {
    supply_.wait_ = seconds{9};
    const auto seen = call("/safe/", "X-Model", "m");
    EXPECT_EQ(seen.status_, 503);
    EXPECT_GE(std::stol(std::string{seen.headers_.find("Retry-After")}), 6000);
}

// The server must hear of it, so that it can stop.
TEST_F(relay_world, a_client_that_leaves_ends_its_stream_at_the_server) {
    auto left = std::promise<void>{};
    auto client = test_client{};
    a_.scripts_ = {[&](const transport::request_message& request,
                       test_backend::connection& to) {
        to.write("HTTP/1.1 200 OK\r\nX-Id: " +
                 std::string{request.headers_.find("X-Id")} +
                 "\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
    }};
    client.on_body_ = [&] {
        left.set_value();
    };
    start(client, "/stream/");
    left.get_future().get();
    on_thread([&] { client.call_->cancel(); });
    while (true) {
        auto closed = 0;
        on_thread([&] { closed = a_.closed_; });
        if (closed == 1) {
            break;
        }
    }
    EXPECT_EQ(relay_.in_progress(), 0U);
}

// What a stopping daemon holds gets an answer: refused if it is on no server.
TEST_F(relay_world, a_stop_refuses_what_waits_and_answers_the_rest) {
    supply_.wait_ = milliseconds{10};
    auto waiting = test_client{};
    auto running = test_client{};
    auto reached = std::promise<void>{};
    a_.scripts_ = {
        [&](const transport::request_message&, test_backend::connection&) {
            reached.set_value();
        }};
    start(running, "/once/");
    reached.get_future().get();
    start(waiting, "/resume/", "X-Model", "m");
    on_thread([&] { relay_.stop_accepting(); });
    waiting.done_.get_future().get();
    EXPECT_EQ(waiting.seen_.status_, 503);
    on_thread([&] { relay_.end_all(); });
    running.done_.get_future().get();
    EXPECT_EQ(running.seen_.status_, 502);
    EXPECT_EQ(call("/safe/").status_, 503);
}

TEST_F(relay_world, a_stopping_daemon_closes_connections_after_answers) {
    a_.otherwise_ = answer(200, "ok");
    on_thread([&] { relay_.begin_draining(); });
    const auto seen = call("/safe/");
    EXPECT_EQ(seen.status_, 200);
    EXPECT_EQ(seen.headers_.find("Connection"), "close");
}

TEST_F(relay_world, a_leaving_server_gets_nothing_new) {
    auto server = a_.server("app");
    server.draining_ = true;
    relay_.set_backend(server);
    EXPECT_EQ(call("/safe/").status_, 503);
    EXPECT_TRUE(a_.requests_.empty());
}

// Crashes each server that runs it; comes again with the same path and body.
TEST_F(relay_world, a_request_that_crashed_two_servers_is_held_back) {
    a_.scripts_ = {close_unanswered()};
    b_.scripts_ = {close_unanswered()};
    EXPECT_EQ(call("/once/bad").status_, 502);
    on_thread([&] { relay_.remove_backend("a"); });
    add_b();
    EXPECT_EQ(call("/once/bad").status_, 502);
    on_thread([&] {
        auto restarted = b_.server("app");
        restarted.started_at_ = 2;
        relay_.set_backend(restarted);
    });
    b_.otherwise_ = answer(200, "ok");
    const auto seen = call("/once/bad");
    EXPECT_EQ(seen.status_, 503);
    EXPECT_TRUE(seen.headers_.contains("Retry-After"));
    EXPECT_EQ(call("/once/good").status_, 200);
    EXPECT_EQ(b_.requests_.size(), 2U);
}

// Lost connections alone are no crashes.
TEST_F(relay_world, a_request_that_lost_its_connections_is_not_held_back) {
    a_.scripts_ = {close_unanswered(), close_unanswered(), close_unanswered()};
    a_.otherwise_ = answer(200, "ok");
    for (auto turn = 0; turn < 3; ++turn) {
        EXPECT_EQ(call("/once/x").status_, 502);
    }
    EXPECT_EQ(call("/once/x").status_, 200);
}

// A server that has begun an answer and reads a long prompt: nothing of the
// stream has reached the client, so that it may begin anew elsewhere.
TEST_F(relay_world, a_stream_without_events_begins_anew_on_another_server) {
    add_b();
    b_.scripts_ = {[](const auto& request, auto& to) {
        begin_stream_only()(request, to);
        to.close();
    }};
    b_.otherwise_ = stream("id: 1\ndata: x\n\n", true);
    relay_.remove_backend("a");
    const auto seen = call("/resume/");
    EXPECT_EQ(seen.status_, 200);
    EXPECT_TRUE(seen.whole_);
    EXPECT_EQ(seen.body_, "id: 1\ndata: x\n\n");
    EXPECT_EQ(b_.requests_.size(), 2U);
}

// Silence alone ends no answer that cannot be had elsewhere.
TEST_F(relay_world, a_silent_stream_that_cannot_be_repeated_is_waited_for) {
    a_.otherwise_ = begin_and_end_late();
    for (const auto* const path : {"/stream/", "/single/"}) {
        const auto seen = call(path, "X-Patience", "5000");
        EXPECT_EQ(seen.status_, 200);
        EXPECT_TRUE(seen.whole_) << path;
        EXPECT_EQ(seen.body_, "data: x\n\n");
    }
    EXPECT_EQ(a_.requests_.size(), 2U);
}

// A busy server that reads a long prompt, while all others are full.
TEST_F(relay_world, a_stream_that_has_begun_is_waited_for) {
    add_b();
    a_.otherwise_ = begin_and_end_late();
    b_.otherwise_ = begin_and_end_late();
    const auto seen = call("/resume/", "X-Patience", "5000");
    EXPECT_TRUE(seen.whole_);
    EXPECT_EQ(seen.body_, "data: x\n\n");
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 1U);
}

// The retry budget is used up: the server is waited for, and its late answer
// passed on.
TEST_F(relay_world, a_silent_server_is_waited_for_without_budget) {
    relay_.set_retry_limits(0, 0, seconds{10});
    add_b();
    const auto answer_late = [this](const transport::request_message& request,
                                    test_backend::connection& to) {
        thread_.after(milliseconds{900},
                      [request, &to] { answer(200, "late")(request, to); });
    };
    a_.otherwise_ = answer_late;
    b_.otherwise_ = answer_late;
    const auto seen = call("/safe/", "X-Patience", "5000");
    EXPECT_EQ(seen.body_, "late");
    EXPECT_EQ(a_.requests_.size() + b_.requests_.size(), 1U);
}

// The client has a part of the stream: another answer cannot follow it.
TEST_F(relay_world, a_failure_after_a_stream_has_begun_is_not_mixed_into_it) {
    a_.scripts_ = {stream("id: 1\ndata: x\n\n", false), answer(500, "sorry")};
    const auto seen = call("/resume/");
    EXPECT_EQ(seen.status_, 200);
    EXPECT_FALSE(seen.whole_);
    EXPECT_EQ(seen.body_, "id: 1\ndata: x\n\n");
}

} // namespace
} // namespace basilstream::daemon
