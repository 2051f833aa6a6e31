#include "basilstream/coordination/load_totals/load_totals.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

const auto start = time_point{seconds{100}};

TEST(load_totals, sums_latest_loads_of_each_daemon) {
    auto totals = load_totals{};
    totals.set_loads("d1", {{"a", 3}, {"b", 1}}, start);
    totals.set_loads("d2", {{"a", 2}}, start);
    totals.set_loads("d1", {{"a", 4}}, start);
    EXPECT_EQ(totals.sum_by_backend(start), (backend_loads{{"a", 6}}));
    EXPECT_EQ(totals.active_daemons(start),
              (std::vector<std::string>{"d1", "d2"}));
}

TEST(load_totals, expires_loads_of_silent_daemon) {
    auto totals = load_totals{};
    totals.set_loads("dead", {{"a", 30}}, start);
    totals.set_loads("alive", {{"a", 2}}, start + seconds{1});
    EXPECT_EQ(totals.sum_by_backend(start + seconds{2}),
              (backend_loads{{"a", 2}}));
    EXPECT_EQ(totals.active_daemons(start + seconds{2}).size(), 1U);
}

} // namespace
} // namespace basilstream::coordination
