#include <memory>

#include "basilstream/daemon/relay/relay_test_world.hpp"

namespace basilstream::daemon {
namespace {

// A backend server with four slots that states how many rejections it bears.
class relay_slots : public relay_test {
protected:
    struct held_request {
        std::string id_;
        test_backend::connection* from_ = nullptr;
    };

    relay_slots() {
        hold_ = [this](const transport::request_message& request,
                       test_backend::connection& from) {
            held_.push_back(
                {std::string{request.headers_.find("X-Id")}, &from});
        };
        a_.scripts_ = {answer(200, "ok", "X-Bearable")};
        a_.default_script_ = hold_;
        thread_.every(milliseconds{20}, [this] { permits_.tick(); });
    }

    auto start_requests(int count) -> void {
        for (auto number = 0; number < count; ++number) {
            callers_.push_back(std::make_unique<test_client>());
            start(*callers_.back(), "/once/" + std::to_string(number));
        }
    }

    auto answer_first() -> void {
        run_on_thread([this] {
            const auto request = held_.front();
            held_.erase(held_.begin());
            request.from_->write("HTTP/1.1 200 OK\r\nX-Id: " + request.id_ +
                                 "\r\nX-Bearable: 1\r\n"
                                 "Content-Length: 2\r\n\r\nok");
        });
    }

    auto wait_for_held(std::size_t count) -> bool {
        const auto until = clock_.now() + seconds{5};
        auto held = std::size_t{0};
        while (held != count && clock_.now() < until) {
            run_on_thread([&] { held = held_.size(); });
        }
        return held == count;
    }

    test_backend::script hold_;
    std::vector<held_request> held_;
    std::vector<std::unique_ptr<test_client>> callers_;
};

// Requests were sent to a server beyond what it runs at once, which it rejected
// until it fell over.
TEST_F(relay_slots, full_server_gets_further_requests) {
    EXPECT_EQ(call("/safe/").status_, 200);
    start_requests(6);
    ASSERT_TRUE(wait_for_held(4));
    for (auto answered = 1; answered <= 2; ++answered) {
        answer_first();
        ASSERT_TRUE(wait_for_held(4));
        EXPECT_EQ(a_.requests_.size(), 5U + answered);
    }
    for (auto answered = 0; answered < 4; ++answered) {
        answer_first();
    }
    for (const auto& caller : callers_) {
        caller->done_.get_future().get();
        EXPECT_EQ(caller->response_.status_, 200);
    }
}

TEST_F(relay_slots, surplus_gets_a_time_to_come_back) {
    EXPECT_EQ(call("/safe/").status_, 200);
    start_requests(4);
    ASSERT_TRUE(wait_for_held(4));
    const auto response = call("/once/surplus");
    EXPECT_EQ(response.status_, 503);
    EXPECT_GT(std::stol(std::string{response.headers_.find("Retry-After")}), 0);
    EXPECT_EQ(a_.requests_.size(), 5U);
}

TEST_F(relay_slots, slot_of_a_request_whose_client_has_left_is_free) {
    EXPECT_EQ(call("/safe/").status_, 200);
    start_requests(4);
    ASSERT_TRUE(wait_for_held(4));
    callers_.push_back(std::make_unique<test_client>());
    start(*callers_.back(), "/once/waits");
    run_on_thread([&] { callers_.back()->call_->cancel(); });
    start_requests(1);
    answer_first();
    ASSERT_TRUE(wait_for_held(4));
    run_on_thread([&] { EXPECT_EQ(a_.requests_.back().target_, "/once/0"); });
}

TEST_F(relay_slots, other_server_takes_what_one_has_no_room_for) {
    EXPECT_EQ(call("/safe/").status_, 200);
    start_requests(4);
    ASSERT_TRUE(wait_for_held(4));
    run_on_thread([&] { add_backend_b(); });
    b_.default_script_ = answer(200, "b");
    EXPECT_EQ(call("/once/other").body_, "b");
    EXPECT_EQ(a_.requests_.size(), 5U);
}

// A server that rejects a request of its own accord still gets others.
TEST_F(relay_slots, rejections_leave_the_server_in_use) {
    EXPECT_EQ(call("/safe/").status_, 200);
    a_.default_script_ = answer(503, "", "X-Not-Run");
    EXPECT_EQ(call("/once/rejected").status_, 503);
    a_.default_script_ = answer(200, "ok");
    const auto until = clock_.now() + seconds{5};
    while (call("/once/later").status_ != 200 && clock_.now() < until) {
    }
    EXPECT_LT(clock_.now(), until);
}

} // namespace
} // namespace basilstream::daemon
