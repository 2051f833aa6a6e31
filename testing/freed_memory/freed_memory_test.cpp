// Runs a relay on an allocator that finds writes to freed memory.
#include "testing/freed_memory/freed_memory.hpp"

#include <gtest/gtest.h>

#include "basilstream/daemon/relay/relay_test_world.hpp"

namespace basilstream::daemon {
namespace {

// The session of a stream that was aborted was written to after its end.
TEST_F(relay_test, session_is_written_to_after_an_abort) {
    a_.default_script_ = stream("id: 1\n\nid: 2\nda", false);
    EXPECT_FALSE(call("/stream/").complete_);
    EXPECT_EQ(testing::take_written_blocks(), 0);
}

// The other ways in which an exchange ends.
TEST_F(relay_test, memory_is_written_to_after_the_end_of_a_request) {
    a_.scripts_.push_back(stream("id: 1\n\n", true));
    a_.scripts_.push_back(answer(200, "whole"));
    a_.scripts_.push_back(close_without_answer());
    a_.default_script_ = send_stream_head();
    EXPECT_TRUE(call("/stream/").complete_);
    EXPECT_EQ(call("/safe/").status_, 200);
    EXPECT_EQ(call("/once/").status_, 502);
    EXPECT_EQ(call("/nowhere/").status_, 404);
    auto leaving = test_client{};
    start(leaving, "/stream/");
    run_on_thread([&] { leaving.call_->cancel(); });
    EXPECT_EQ(call("/nowhere/").status_, 404);
    EXPECT_EQ(testing::take_written_blocks(), 0);
}

} // namespace
} // namespace basilstream::daemon
