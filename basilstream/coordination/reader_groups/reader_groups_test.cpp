#include "basilstream/coordination/reader_groups/reader_groups.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

auto make_daemons(std::size_t count, std::size_t zones = 1)
    -> std::vector<group_member> {
    auto daemons = std::vector<group_member>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        daemons.push_back({"entry-" + std::to_string(index),
                           "zone-" + std::to_string(index % zones)});
    }
    return daemons;
}

TEST(reader_groups, one_group_has_one_reader) {
    const auto members = make_daemons(7);
    auto readers = 0;
    for (const auto& daemon : members) {
        const auto followers = followers_of(daemon, members);
        readers += followers.empty() ? 0 : 1;
        EXPECT_TRUE(followers.empty() || followers.size() == 6);
    }
    EXPECT_EQ(readers, 1);
}

// Guards against load on the store that grows with the square of the number of
// daemons, and against readers whose number of followers grows with it.
TEST(reader_groups, each_follower_has_exactly_one_reader) {
    for (const auto count : {80U, 360U}) {
        const auto members = make_daemons(count);
        auto readers_of = std::map<std::string, int>{};
        auto readers = std::size_t{0};
        for (const auto& daemon : members) {
            const auto followers = followers_of(daemon, members);
            readers += followers.empty() ? 0U : 1U;
            EXPECT_LE(followers.size(), 2 * max_group_size);
            for (const auto& follower : followers) {
                ++readers_of[follower];
            }
        }
        EXPECT_LE(readers, count / max_group_size);
        EXPECT_EQ(readers_of.size() + readers, count);
        for (const auto& [name, reader_count] : readers_of) {
            EXPECT_EQ(reader_count, 1) << name;
            EXPECT_TRUE(followers_of({name, "zone-0"}, members).empty())
                << name;
        }
    }
}

TEST(reader_groups, another_member_becomes_reader_after_loss) {
    auto members = make_daemons(7);
    const auto reader =
        *std::find_if(members.begin(), members.end(), [&](const auto& daemon) {
            return !followers_of(daemon, members).empty();
        });
    std::erase_if(members, [&](const auto& daemon) {
        return daemon.name_ == reader.name_;
    });
    const auto new_readers =
        std::count_if(members.begin(), members.end(), [&](const auto& daemon) {
            return followers_of(daemon, members).size() == members.size() - 1;
        });
    EXPECT_EQ(new_readers, 1);
}

TEST(reader_groups, result_does_not_depend_on_member_order) {
    auto members = make_daemons(30);
    const auto before = followers_of(members[3], members);
    std::reverse(members.begin(), members.end());
    const auto after = followers_of({"entry-3", "zone-0"}, members);
    EXPECT_EQ(std::set<std::string>(before.begin(), before.end()),
              std::set<std::string>(after.begin(), after.end()));
}

TEST(reader_groups, single_daemon_has_no_followers) {
    EXPECT_TRUE(
        followers_of({"entry-0", "zone-0"}, {{"entry-0", "zone-0"}}).empty());
    EXPECT_TRUE(followers_of({"entry-0", "zone-0"}, {}).empty());
}

// Pages crossed zones on their way to four of five followers.
TEST(reader_groups, pages_cross_zones) {
    const auto members = make_daemons(195, 5);
    const auto zone_of = [&](const std::string& name) {
        return std::find_if(
                   members.begin(), members.end(),
                   [&](const auto& daemon) { return daemon.name_ == name; })
            ->zone_;
    };
    auto readers_of = std::map<std::string, int>{};
    auto readers = std::size_t{0};
    for (const auto& daemon : members) {
        const auto followers = followers_of(daemon, members);
        readers += followers.empty() ? 0U : 1U;
        for (const auto& name : followers) {
            EXPECT_EQ(zone_of(name), daemon.zone_);
            ++readers_of[name];
        }
    }
    EXPECT_LE(readers, 10U);
    EXPECT_EQ(readers_of.size() + readers, members.size());
}

TEST(reader_groups, few_daemons_have_one_reader_over_all_zones) {
    const auto members = make_daemons(7, 4);
    const auto readers =
        std::count_if(members.begin(), members.end(), [&](const auto& daemon) {
            return followers_of(daemon, members).size() == 6;
        });
    EXPECT_EQ(readers, 1);
}

} // namespace
} // namespace basilstream::coordination
