#include "basilstream/coordination/leaving_servers/leaving_servers.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

constexpr auto start = time_point{seconds{1000}};

TEST(leaving_servers, a_statement_holds_until_the_process_ends) {
    auto leaving = leaving_servers{};
    leaving.set_server("a", 1);
    EXPECT_FALSE(leaving.contains("a"));
    EXPECT_TRUE(leaving.on_stated("a", start));
    EXPECT_FALSE(leaving.on_stated("a", start));
    leaving.set_server("a", 1);
    leaving.set_server("a", 0);
    EXPECT_TRUE(leaving.contains("a"));
    EXPECT_FALSE(leaving.contains("b"));
    leaving.set_server("a", 2);
    EXPECT_FALSE(leaving.contains("a"));
}

// The announcement of a leaving server lapsed and came back, and the server got
// new requests.
TEST(leaving_servers, statement_ends_when_the_announcement_lapses) {
    auto leaving = leaving_servers{};
    leaving.set_server("a", 1);
    (void)leaving.on_stated("a", start);
    leaving.remove_server("a", start);
    leaving.set_server("a", 1);
    EXPECT_TRUE(leaving.contains("a"));
}

TEST(leaving_servers, forgets_servers_that_are_gone) {
    auto leaving = leaving_servers{};
    leaving.set_server("a", 1);
    (void)leaving.on_stated("a", start);
    leaving.remove_server("a", start);
    leaving.remove_server("b", start + std::chrono::minutes{11});
    EXPECT_FALSE(leaving.contains("a"));
}

} // namespace
} // namespace basilstream::coordination
