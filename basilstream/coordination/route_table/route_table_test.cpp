#include "basilstream/coordination/route_table/route_table.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

auto make_route(std::string name, std::string prefix, std::string service,
                int priority = 0, milliseconds objective = seconds{1})
    -> relay_route {
    auto route = relay_route{};
    route.name_ = std::move(name);
    route.host_ = "Api.Example";
    route.path_prefix_ = std::move(prefix);
    route.priority_ = priority;
    route.objective_ = objective;
    route.targets_ = {{std::move(service), 1}};
    return route;
}

auto make_config(std::uint64_t version, std::vector<relay_route> routes)
    -> std::shared_ptr<const relay_config> {
    auto config = std::make_shared<relay_config>();
    config->version_ = version;
    config->routes_ = std::move(routes);
    return config;
}

TEST(route_table, matches_the_longest_path_prefix) {
    auto table = route_table{};
    ASSERT_TRUE(table.replace(make_config(
        1, {make_route("all", "/", "s"), make_route("a", "/a/", "s"),
            make_route("ab", "/a/b/", "s")})));
    EXPECT_EQ(table.match("api.example", "/a/b/c")->name_, "ab");
    EXPECT_EQ(table.match("api.example", "/a/b")->name_, "a");
    EXPECT_EQ(table.match("API.example:80", "/a/x?y=/a/b/")->name_, "a");
    EXPECT_EQ(table.match("api.example", "/")->name_, "all");
    EXPECT_EQ(table.match("other.example", "/a/"), nullptr);
    EXPECT_EQ(table.match("api.example", ""), nullptr);
}

TEST(route_table, accepts_only_a_higher_version) {
    auto table = route_table{};
    ASSERT_TRUE(table.replace(make_config(5, {make_route("new", "/", "s")})));
    EXPECT_FALSE(table.replace(make_config(5, {make_route("same", "/", "s")})));
    EXPECT_FALSE(table.replace(make_config(4, {make_route("old", "/", "s")})));
    EXPECT_EQ(table.match("api.example", "/")->name_, "new");
}

TEST(route_table, picks_targets_by_weight) {
    auto route = make_route("split", "/", "a");
    route.targets_ = {{"a", 90}, {"b", 10}};
    EXPECT_EQ(pick_target(route, 0.0), "a");
    EXPECT_EQ(pick_target(route, 0.899), "a");
    EXPECT_EQ(pick_target(route, 0.901), "b");
    EXPECT_EQ(pick_target(route, 0.999999), "b");
}

TEST(route_table, urgency_rank_counts_more_urgent_levels) {
    const auto config = make_config(
        1, {make_route("short", "/s/", "llm", 0, milliseconds{400}),
            make_route("draft", "/d/", "llm", 1, milliseconds{500}),
            make_route("batch", "/b/", "llm", 1, seconds{10}),
            make_route("other", "/o/", "app", 0, milliseconds{100})});
    EXPECT_EQ(urgency_rank(*config, config->routes_[0]), 0);
    EXPECT_EQ(urgency_rank(*config, config->routes_[1]), 1);
    EXPECT_EQ(urgency_rank(*config, config->routes_[2]), 2);
    EXPECT_EQ(urgency_rank(*config, config->routes_[3]), 0);
}

} // namespace
} // namespace basilstream::coordination
