#include "basilstream/base/bounded_write/bounded_write.hpp"

#include <array>
#include <csignal>
#include <string>
#include <thread>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace basilstream {
namespace {

class bounded_write : public ::testing::Test {
protected:
    bounded_write() { static_cast<void>(::pipe(ends_.data())); }
    ~bounded_write() override {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    // Reads a number of bytes, or fewer at the end.
    auto read(std::size_t wanted) -> std::string {
        auto text = std::string(wanted, '\0');
        auto size = std::size_t{0};
        while (size < wanted) {
            const auto count =
                ::read(ends_[0], text.data() + size, wanted - size);
            if (count <= 0) {
                break;
            }
            size += static_cast<std::size_t>(count);
        }
        text.resize(size);
        return text;
    }

    // The reading and the writing end of a pipe.
    std::array<int, 2> ends_{-1, -1};
};

// More than a pipe holds.
const auto long_text = std::string(300'000, 'x') + "end";

TEST_F(bounded_write, text_that_a_reader_takes_late_is_cut) {
    auto waits = 0;
    auto reader = std::thread{[this] {
        EXPECT_EQ(read(long_text.size()), long_text);
    }};
    EXPECT_TRUE(write_while(ends_[1], long_text, [&] {
        ++waits;
        return true;
    }));
    reader.join();
}

TEST_F(bounded_write, output_without_a_reader_blocks_the_writer) {
    auto waits = 0;
    EXPECT_FALSE(write_while(ends_[1], long_text, [&] { return ++waits < 3; }));
    EXPECT_EQ(waits, 3);
    // Nothing fits now.
    EXPECT_FALSE(write_while(ends_[1], "x", [] { return false; }));
}

TEST_F(bounded_write, closed_output_is_waited_for) {
    std::signal(SIGPIPE, SIG_IGN);
    ::close(ends_[0]);
    ends_[0] = ::open("/dev/null", O_RDONLY);
    EXPECT_FALSE(write_while(ends_[1], "x", [] { return true; }));
}

// Such a descriptor, which others may have made so, refuses to wait.
TEST_F(bounded_write, lines_to_a_non_blocking_descriptor_are_lost) {
    ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
    auto reader = std::thread{[this] {
        EXPECT_EQ(read(long_text.size()), long_text);
    }};
    EXPECT_TRUE(write_while(ends_[1], long_text, [] { return true; }));
    reader.join();
}

} // namespace
} // namespace basilstream
