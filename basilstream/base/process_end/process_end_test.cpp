#include "basilstream/base/process_end/process_end.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

namespace basilstream {
namespace {

struct process_result {
    std::string output_;
    // As waitpid() gives it.
    int status_ = 0;
};

// Runs `work` in a process of its own.
auto run(const std::function<void()>& work) -> process_result {
    auto ends = std::array<int, 2>{};
    EXPECT_EQ(::pipe(ends.data()), 0);
    const auto child = ::fork();
    if (child == 0) {
        ::close(ends[0]);
        report_abnormal_end("entry-1", ends[1]);
        work();
        ::_exit(0);
    }
    ::close(ends[1]);
    auto result = process_result{};
    auto buffer = std::array<char, 4096>{};
    for (auto count = ssize_t{1}; count > 0;) {
        count = ::read(ends[0], buffer.data(), buffer.size());
        result.output_.append(buffer.data(), static_cast<std::size_t>(
                                                 std::max(count, ssize_t{0})));
    }
    ::close(ends[0]);
    ::waitpid(child, &result.status_, 0);
    return result;
}

auto contains(const process_result& result, const std::string& text) -> bool {
    return result.output_.find(text) != std::string::npos;
}

TEST(process_end, exception_of_a_thread_leaves_no_line) {
    const auto result = run([] {
        std::thread{[] {
            ::pthread_setname_np(::pthread_self(), "traffic");
            throw std::runtime_error{"a \"bad\" record"};
        }}.join();
    });
    EXPECT_TRUE(WIFSIGNALED(result.status_));
    EXPECT_EQ(WTERMSIG(result.status_), SIGABRT);
    EXPECT_TRUE(contains(result, R"("node":"entry-1","thread":"traffic")"));
    EXPECT_TRUE(contains(result, R"("cause":"uncaught exception")"));
    EXPECT_TRUE(
        contains(result, R"("detail":"std::runtime_error: a ?bad? record"})"));
    EXPECT_EQ(std::count(result.output_.begin(), result.output_.end(), '\n'),
              1);
}

TEST(process_end, fault_leaves_no_line) {
    const auto result = run([] { std::raise(SIGSEGV); });
    EXPECT_TRUE(WIFSIGNALED(result.status_));
    EXPECT_EQ(WTERMSIG(result.status_), SIGSEGV);
    EXPECT_TRUE(contains(result, R"("cause":"signal","detail":"SIGSEGV"})"));
}

TEST(process_end, long_text_breaks_the_line) {
    const auto result = run([] {
        std::thread{[] {
            throw std::runtime_error{std::string(10'000, 'x')};
        }}.join();
    });
    EXPECT_TRUE(result.output_.ends_with("x\"}\n"));
}

// The line waited for room in a pipe that nobody read.
TEST(process_end, full_pipe_keeps_the_process_from_ending) {
    auto ends = std::array<int, 2>{};
    ASSERT_EQ(::pipe2(ends.data(), O_NONBLOCK), 0);
    while (::write(ends[1], "x", 1) == 1) {
    }
    ::fcntl(ends[1], F_SETFL, 0);
    const auto child = ::fork();
    if (child == 0) {
        ::alarm(10);
        report_abnormal_end("entry-1", ends[1]);
        std::raise(SIGSEGV);
        ::_exit(0);
    }
    auto status = 0;
    ::waitpid(child, &status, 0);
    EXPECT_TRUE(WIFSIGNALED(status));
    EXPECT_EQ(WTERMSIG(status), SIGSEGV);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST(process_end, orderly_end_leaves_a_line) {
    EXPECT_EQ(run([] {}).output_, "");
}

} // namespace
} // namespace basilstream
