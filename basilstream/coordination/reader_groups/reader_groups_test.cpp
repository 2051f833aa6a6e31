#include "basilstream/coordination/reader_groups/reader_groups.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

auto daemons(std::size_t count) -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (auto each = std::size_t{0}; each < count; ++each) {
        names.push_back("entry-" + std::to_string(each));
    }
    return names;
}

TEST(reader_groups, few_daemons_have_one_reader) {
    const auto members = daemons(7);
    auto readers = 0;
    for (const auto& name : members) {
        const auto followers = followers_of(name, members);
        readers += followers.empty() ? 0 : 1;
        EXPECT_TRUE(followers.empty() || followers.size() == 6);
    }
    EXPECT_EQ(readers, 1);
}

// What the store is asked must not grow with the square, nor a reader's duty
// with the number of daemons.
TEST(reader_groups, every_daemon_reads_or_has_one_reader) {
    for (const auto count : {80U, 360U}) {
        const auto members = daemons(count);
        auto readers_of = std::map<std::string, int>{};
        auto readers = std::size_t{0};
        for (const auto& name : members) {
            const auto followers = followers_of(name, members);
            readers += followers.empty() ? 0U : 1U;
            EXPECT_LE(followers.size(), 2 * most_in_group);
            for (const auto& follower : followers) {
                ++readers_of[follower];
            }
        }
        EXPECT_LE(readers, count / most_in_group);
        EXPECT_EQ(readers_of.size() + readers, count);
        for (const auto& [name, number] : readers_of) {
            EXPECT_EQ(number, 1) << name;
            EXPECT_TRUE(followers_of(name, members).empty()) << name;
        }
    }
}

TEST(reader_groups, the_loss_of_a_reader_makes_another_one) {
    auto members = daemons(7);
    const auto reader =
        *std::find_if(members.begin(), members.end(), [&](const auto& name) {
            return !followers_of(name, members).empty();
        });
    std::erase(members, reader);
    const auto next =
        std::count_if(members.begin(), members.end(), [&](const auto& name) {
            return followers_of(name, members).size() == members.size() - 1;
        });
    EXPECT_EQ(next, 1);
}

TEST(reader_groups, the_order_of_members_does_not_matter) {
    auto members = daemons(30);
    const auto before = followers_of(members[3], members);
    std::reverse(members.begin(), members.end());
    const auto after = followers_of("entry-3", members);
    EXPECT_EQ(std::set<std::string>(before.begin(), before.end()),
              std::set<std::string>(after.begin(), after.end()));
}

TEST(reader_groups, a_daemon_alone_reads_for_nobody) {
    EXPECT_TRUE(followers_of("entry-0", {"entry-0"}).empty());
    EXPECT_TRUE(followers_of("entry-0", {}).empty());
}

} // namespace
} // namespace basilstream::coordination
