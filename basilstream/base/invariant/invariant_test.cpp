#include "basilstream/base/invariant/invariant.hpp"

#include <string>

#include <gtest/gtest.h>

namespace basilstream {
namespace {

TEST(invariant, violation_is_counted_and_reported_by_name) {
    auto reported = std::string{};
    set_invariant_handler(
        [&](std::string_view name, std::string_view) { reported = name; });
    const auto before = invariant_violations();
    EXPECT_TRUE(holds(true, "fine"));
    EXPECT_EQ(invariant_violations(), before);
    EXPECT_FALSE(holds(false, "broken"));
    EXPECT_EQ(invariant_violations(), before + 1);
    EXPECT_EQ(reported, "broken");
    set_invariant_handler({});
}

} // namespace
} // namespace basilstream
