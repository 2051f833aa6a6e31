#include "basilstream/daemon/peer_forwarding/peer_forwarding.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

class peer_forwarding_test : public ::testing::Test {
protected:
    peer_forwarding_test() {
        for (const auto* const name : {"d1", "d2", "d3"}) {
            auto& metrics = metrics_[name];
            auto& node = nodes_[name];
            node = std::make_unique<peer_forwarding>(
                peer_forwarding_context{clock_, random_, logger_, metrics},
                name);
            node->connect([this, name](const std::string& to,
                                       const protocol::relay_update& update) {
                nodes_[to]->on_update(name, update);
                return true;
            });
            node->set_daemons({"d1", "d2", "d3"});
            node->set_listener("10.0.0.1:" + std::string{name + 1},
                               [this, name] { return states_[name]; });
        }
    }

    auto choose(std::vector<std::string> excluded = {}) -> std::string {
        const auto helper = nodes_["d1"]->choose("app", excluded);
        return helper ? helper->name_ : "";
    }

    manual_clock clock_;
    seeded_random random_{1};
    transport::logger logger_{{transport::log_level::off}, "test"};
    std::map<std::string, transport::metrics_registry> metrics_;
    std::map<std::string, forwarding_state> states_;
    std::map<std::string, std::unique_ptr<peer_forwarding>> nodes_;
};

TEST_F(peer_forwarding_test, finds_daemons_that_reach_the_service) {
    EXPECT_EQ(choose(), "");
    EXPECT_FALSE(nodes_["d1"]->has_asked());
    states_["d2"].unreached_ = {"app"};
    nodes_["d1"]->seek();
    clock_.advance(milliseconds{200});
    EXPECT_TRUE(nodes_["d1"]->has_asked());
    const auto helper = nodes_["d1"]->choose("app", {});
    ASSERT_TRUE(helper);
    EXPECT_EQ(helper->name_, "d3");
    EXPECT_EQ(helper->address_, "10.0.0.1:3");
    EXPECT_EQ(helper->key_, nodes_["d3"]->key());
    EXPECT_NE(helper->key_, nodes_["d2"]->key());
    EXPECT_EQ(choose({"d3"}), "");
}

// All requests of a daemon went to one helper.
TEST_F(peer_forwarding_test, one_helper_gets_everything) {
    nodes_["d1"]->seek();
    auto counts = std::map<std::string, int>{};
    for (auto request = 0; request < 100; ++request) {
        ++counts[choose()];
    }
    EXPECT_GT(counts["d2"], 30);
    EXPECT_GT(counts["d3"], 30);
}

TEST_F(peer_forwarding_test, offers_end) {
    nodes_["d1"]->seek();
    EXPECT_NE(choose(), "");
    clock_.advance(seconds{3});
    EXPECT_EQ(choose(), "");
    nodes_["d1"]->seek();
    nodes_["d1"]->on_failed("d2");
    nodes_["d1"]->on_unreached("d3", "app");
    EXPECT_EQ(choose(), "");
}

// A daemon that was cut once more refused requests before it had asked again.
TEST_F(peer_forwarding_test, former_questions_count_as_asked) {
    nodes_["d1"]->seek();
    clock_.advance(milliseconds{200});
    EXPECT_TRUE(nodes_["d1"]->has_asked());
    clock_.advance(seconds{5});
    EXPECT_FALSE(nodes_["d1"]->has_asked());
    nodes_["d1"]->seek();
    EXPECT_FALSE(nodes_["d1"]->has_asked());
    clock_.advance(milliseconds{200});
    EXPECT_TRUE(nodes_["d1"]->has_asked());
}

// All daemons that were asked were of one availability zone, which was cut.
TEST_F(peer_forwarding_test, only_neighbours_are_asked) {
    auto names = std::vector<std::string>{"d1"};
    for (const auto* const zone : {"a", "b", "c", "d"}) {
        for (auto number = 10; number < 30; ++number) {
            names.push_back(zone + std::to_string(number));
        }
    }
    auto& node = *nodes_["d1"];
    auto zones = std::set<char>{};
    auto asked = std::set<std::string>{};
    node.connect([&](const std::string& to, const auto& /*question*/) {
        zones.insert(to[0]);
        asked.insert(to);
        return true;
    });
    node.set_daemons(names);
    constexpr auto questions = 100;
    auto of_one_zone = 0;
    for (auto question = 0; question < questions; ++question) {
        zones.clear();
        node.seek();
        of_one_zone += zones.size() == 1 ? 1 : 0;
        clock_.advance(milliseconds{500});
    }
    EXPECT_LE(of_one_zone, 2);
    EXPECT_EQ(asked.size(), names.size() - 1);
}

} // namespace
} // namespace basilstream::daemon
