#include "basilstream/daemon/server_permits/server_permits.hpp"

#include <deque>
#include <memory>
#include <set>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

using coordination::slot_outcome;
using kind = per_second_notice::kind;

constexpr auto takeover_time = seconds{3};
const auto no_notice = per_second_notice{};

// Daemons that exchange updates over links that can be cut.
class server_permits_cluster : public ::testing::Test {
protected:
    struct answer {
        bool done_ = false;
        coordination::permit permit_;
        server_slot slot_;
    };

    server_permits_cluster() {
        for (const auto& name : names_) {
            auto& member = members_[name];
            member = std::make_unique<server_permits>(
                server_permits_context{clock_, log_, metrics_[name]}, name);
            member->connect(
                [this, name](const std::string& daemon, const auto& update) {
                    if (cut_off_.contains(name) || cut_off_.contains(daemon)) {
                        return true;
                    }
                    const auto bytes = protocol::encode(update);
                    messages_.push_back([this, name, daemon, bytes] {
                        members_[daemon]->on_update(
                            name, *protocol::decode_relay_update(bytes));
                    });
                    return true;
                });
            member->set_server("s", "app", 1000, 2);
            member->set_server("t", "app", 1000, 2);
            member->set_server("u", "other", 1000, 2);
            member->set_daemons(names_);
        }
        clock_.advance(takeover_time);
        owner_ = coordination::select_permit_owner("s", names_);
        asker_ = owner_ == "a" ? "b" : "a";
    }

    auto deliver() -> void {
        while (!messages_.empty()) {
            const auto next = std::move(messages_.front());
            messages_.pop_front();
            next();
        }
    }

    auto state(const std::string& daemon, double bearable) -> void {
        members_[daemon]->on_bearable_stated("s", {kind::valid, bearable},
                                             clock_.now());
    }

    auto acquire(const std::string& daemon, duration max_wait = duration{0})
        -> std::shared_ptr<answer> {
        auto given = std::make_shared<answer>();
        members_[daemon]->acquire("s", {max_wait, seconds{2}},
                                  [given](const auto& permit, auto slot) {
                                      EXPECT_FALSE(given->done_);
                                      given->done_ = true;
                                      given->permit_ = permit;
                                      given->slot_ = std::move(slot);
                                  });
        deliver();
        return given;
    }

    auto tick() -> void {
        for (const auto& [name, member] : members_) {
            member->tick();
        }
        deliver();
    }

    const std::vector<std::string> names_{"a", "b", "c"};
    manual_clock clock_;
    transport::logger log_{{transport::log_level::off}, "test"};
    std::map<std::string, transport::metrics_registry> metrics_;
    std::map<std::string, std::unique_ptr<server_permits>> members_;
    std::set<std::string> cut_off_;
    std::deque<std::function<void()>> messages_;
    std::string owner_;
    std::string asker_;
};

TEST_F(server_permits_cluster, statement_covers_the_service_until_it_ends) {
    auto& permits = *members_[asker_];
    EXPECT_FALSE(permits.needs_permit("s"));
    state(asker_, 5);
    EXPECT_EQ(permits.bearable_of("s"), 5);
    EXPECT_EQ(permits.bearable_of("t"), 5);
    EXPECT_FALSE(permits.needs_permit("u"));
    permits.on_bearable_stated("t", {kind::malformed, 0}, clock_.now());
    permits.on_bearable_stated("t", {kind::valid, 1}, clock_.now());
    EXPECT_EQ(permits.bearable_of("s"), 1);
    // Other daemons hear of it.
    auto update = protocol::relay_update{};
    permits.add_changes(update, seconds{1});
    members_["c"]->on_update(asker_, update);
    EXPECT_EQ(members_["c"]->bearable_of("s"), 1);
    // An answer to an earlier request says nothing.
    const auto earlier = clock_.now();
    clock_.advance(seconds{1});
    permits.on_bearable_stated("t", no_notice, earlier);
    EXPECT_EQ(permits.bearable_of("s"), 1);
    permits.on_bearable_stated("t", no_notice, clock_.now());
    EXPECT_EQ(permits.bearable_of("s"), 5);
    // A new process has stated nothing.
    permits.set_server("s", "app", 2000, 2);
    EXPECT_FALSE(permits.needs_permit("s"));
}

TEST_F(server_permits_cluster, statement_comes_before_the_announcement) {
    auto& permits = *members_[asker_];
    permits.on_bearable_stated("v", {kind::valid, 5}, clock_.now());
    EXPECT_FALSE(permits.needs_permit("v"));
    permits.set_server("v", "late", 0, 2);
    EXPECT_EQ(permits.bearable_of("v"), 5);
    permits.remove_server("v");
    permits.set_server("v", "late", 0, 2);
    EXPECT_FALSE(permits.needs_permit("v"));
}

TEST_F(server_permits_cluster, daemons_share_the_slots_of_a_server) {
    for (const auto& name : names_) {
        state(name, 5);
    }
    const auto first = acquire("a");
    const auto second = acquire("b");
    EXPECT_TRUE(first->permit_.granted_);
    EXPECT_TRUE(second->permit_.granted_);
    EXPECT_FALSE(acquire("c")->permit_.granted_);
    const auto waiting = acquire("c", milliseconds{400});
    EXPECT_FALSE(waiting->done_);
    first->slot_.give_back(slot_outcome::answered);
    deliver();
    EXPECT_TRUE(waiting->permit_.granted_);
    // A slot that is dropped becomes free as well.
    second->slot_ = {};
    deliver();
    EXPECT_TRUE(acquire("a")->permit_.granted_);
}

// The owner granted a slot that nobody took, and counted it for good.
TEST_F(server_permits_cluster, late_grant_is_given_back) {
    state(asker_, 5);
    const auto first = acquire(asker_);
    const auto second = acquire(asker_);
    const auto waiting = acquire(asker_, milliseconds{400});
    EXPECT_FALSE(waiting->done_);
    clock_.advance(milliseconds{700});
    members_[asker_]->tick();
    EXPECT_TRUE(waiting->done_);
    EXPECT_FALSE(waiting->permit_.granted_);
    first->slot_.give_back(slot_outcome::answered);
    deliver();
    EXPECT_TRUE(acquire(asker_)->permit_.granted_);
}

TEST_F(server_permits_cluster, slot_of_a_lost_daemon_becomes_free) {
    const auto other = asker_ == "a" ? (owner_ == "b" ? "c" : "b") : "a";
    state(asker_, 5);
    state(other, 5);
    const auto first = acquire(other);
    const auto second = acquire(other);
    EXPECT_FALSE(acquire(asker_)->permit_.granted_);
    cut_off_.insert(other);
    for (const auto& name : names_) {
        if (name != other) {
            members_[name]->set_daemons({owner_, asker_});
        }
    }
    EXPECT_TRUE(acquire(asker_)->permit_.granted_);
}

// A daemon that knew fewer members asked another one than the owner, which
// handed out all slots of the server a second time.
TEST_F(server_permits_cluster, daemon_that_is_no_owner_hands_out_slots) {
    state(asker_, 5);
    auto others = names_;
    std::erase(others, owner_);
    members_[asker_]->set_daemons(others);
    const auto wrong_owner = coordination::select_permit_owner("s", others);
    if (wrong_owner != asker_) {
        EXPECT_FALSE(acquire(asker_)->permit_.granted_);
    }
    // Nor does one that takes itself for the owner since a moment ago.
    members_[wrong_owner]->set_daemons(others);
    EXPECT_FALSE(acquire(asker_)->permit_.granted_);
    clock_.advance(takeover_time);
    EXPECT_TRUE(acquire(asker_)->permit_.granted_);
}

TEST_F(server_permits_cluster, silent_owner_does_not_hold_the_request) {
    state(asker_, 5);
    cut_off_.insert(owner_);
    const auto asked = acquire(asker_);
    clock_.advance(milliseconds{300});
    tick();
    EXPECT_TRUE(asked->done_);
    EXPECT_FALSE(asked->permit_.granted_);
}

TEST_F(server_permits_cluster, slot_needs_the_rate_limit_too) {
    state(asker_, 5);
    members_[asker_]->on_notice("s", {kind::valid, 1}, clock_.now());
    // A new schedule begins without a burst.
    const auto first = acquire(asker_, milliseconds{900});
    EXPECT_TRUE(first->permit_.granted_);
    EXPECT_FALSE(acquire(asker_)->permit_.granted_);
    first->slot_.give_back(slot_outcome::answered);
    // Calls that take no slot need the rate limit only.
    auto refused = false;
    members_[asker_]->acquire("s", {},
                              [&](const auto& permit, const auto& /*slot*/) {
                                  refused = !permit.granted_;
                              });
    deliver();
    EXPECT_TRUE(refused);
}

} // namespace
} // namespace basilstream::daemon
