#include "basilstream/coordination/load_totals/load_totals.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

const auto start = time_point{seconds{100}};

TEST(load_totals, sums_the_newest_word_of_each_daemon) {
    auto totals = load_totals{};
    totals.on_loads("d1", {{"a", 3}, {"b", 1}}, start);
    totals.on_loads("d2", {{"a", 2}}, start);
    totals.on_loads("d1", {{"a", 4}}, start);
    EXPECT_EQ(totals.sums(start), (backend_loads{{"a", 6}}));
    EXPECT_EQ(totals.heard(start), (std::vector<std::string>{"d1", "d2"}));
}

TEST(load_totals, forgets_a_daemon_that_is_silent) {
    auto totals = load_totals{};
    totals.on_loads("dead", {{"a", 30}}, start);
    totals.on_loads("alive", {{"a", 2}}, start + seconds{1});
    EXPECT_EQ(totals.sums(start + seconds{2}), (backend_loads{{"a", 2}}));
    EXPECT_EQ(totals.heard(start + seconds{2}).size(), 1U);
}

} // namespace
} // namespace basilstream::coordination
