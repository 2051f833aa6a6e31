#include "basilstream/coordination/backend_directory/backend_directory.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

auto announcement_of(std::string id, bool draining = false,
                     std::int64_t start = 1) -> backend_record {
    auto server = backend_server{};
    server.id_ = id;
    server.service_ = "chat";
    server.address_ = "10.0.0.1:80";
    server.draining_ = draining;
    server.started_at_ = start;
    return {std::move(id), std::move(server)};
}

const auto start = time_point{seconds{100}};

TEST(backend_directory, applies_records_in_log_order) {
    auto directory = backend_directory{};
    EXPECT_FALSE(directory.has_listing());
    directory.replace_all({announcement_of("a"), announcement_of("b")}, start);
    EXPECT_TRUE(directory.has_listing());
    EXPECT_EQ(directory.take_changes(), (std::vector<std::string>{"a", "b"}));
    directory.apply(announcement_of("a", true), start);
    directory.apply({"b", std::nullopt}, start);
    directory.apply(announcement_of("b"), start);
    directory.apply({"b", std::nullopt}, start);
    EXPECT_EQ(directory.take_changes(), (std::vector<std::string>{"a", "b"}));
    EXPECT_TRUE(directory.find("a")->draining_);
    EXPECT_EQ(directory.find("b"), nullptr);
}

TEST(backend_directory, ignores_an_unchanged_record) {
    auto directory = backend_directory{};
    directory.replace_all({announcement_of("a")}, start);
    (void)directory.take_changes();
    directory.apply(announcement_of("a"), start);
    EXPECT_TRUE(directory.take_changes().empty());
}

TEST(backend_directory, ignores_a_record_of_an_earlier_process) {
    auto directory = backend_directory{};
    directory.replace_all({announcement_of("a", false, 20)}, start);
    directory.apply(announcement_of("a", true, 10), start);
    EXPECT_FALSE(directory.find("a")->draining_);
}

// All announcements expire while the store is down, so the first listing after
// the outage is empty. Servers must not be removed before the grace period
// ends.
TEST(backend_directory, keeps_servers_that_expired_during_an_outage) {
    auto directory = backend_directory{};
    directory.replace_all({announcement_of("a"), announcement_of("gone")},
                          start);
    (void)directory.take_changes();
    directory.set_store_available(false, start);
    directory.set_store_available(true, start + seconds{5});
    directory.replace_all({}, start + seconds{5});
    directory.tick(start + seconds{5});
    EXPECT_EQ(directory.servers().size(), 2U);
    directory.apply(announcement_of("a"), start + seconds{6});
    directory.tick(start + seconds{7});
    EXPECT_EQ(directory.servers().size(), 2U);
    directory.tick(start + seconds{8});
    EXPECT_EQ(directory.servers().size(), 1U);
    EXPECT_NE(directory.find("a"), nullptr);
    EXPECT_EQ(directory.take_changes(), (std::vector<std::string>{"gone"}));
}

TEST(backend_directory,
     removes_a_withdrawn_server_while_the_store_is_available) {
    auto directory = backend_directory{};
    directory.replace_all({announcement_of("a")}, start);
    directory.apply({"a", std::nullopt}, start + seconds{1});
    EXPECT_TRUE(directory.servers().empty());
}

} // namespace
} // namespace basilstream::coordination
