#include "basilstream/coordination/rendezvous/rendezvous.hpp"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

auto daemons(int count) -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (auto number = 0; number < count; ++number) {
        names.push_back("d" + std::to_string(number));
    }
    return names;
}

TEST(rendezvous, order_of_candidates_does_not_matter) {
    auto names = daemons(7);
    const auto selected = select_by_weight("k", names, 2);
    std::reverse(names.begin(), names.end());
    EXPECT_EQ(select_by_weight("k", names, 2), selected);
    EXPECT_EQ(select_by_weight("k", names, 9).size(), 7U);
    EXPECT_TRUE(select_by_weight("k", {}, 2).empty());
}

TEST(rendezvous, keys_are_spread_and_few_move) {
    const auto all = daemons(80);
    const auto fewer = daemons(79);
    auto counts = std::map<std::string, int>{};
    auto moved = 0;
    constexpr auto keys = 8'000;
    for (auto number = 0; number < keys; ++number) {
        const auto key = "q" + std::to_string(number);
        const auto owner = select_by_weight(key, all, 1).front();
        ++counts[owner];
        moved += select_by_weight(key, fewer, 1).front() == owner ? 0 : 1;
    }
    for (const auto& [name, count] : counts) {
        EXPECT_LT(count, 3 * keys / 80) << name;
    }
    EXPECT_EQ(moved, counts["d79"]);
}

} // namespace
} // namespace basilstream::coordination
