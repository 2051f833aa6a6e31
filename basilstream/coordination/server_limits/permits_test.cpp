// Replays the load of permits on virtual time: many daemons, few requests per
// second, owners that leave and members that are known late.

#include <algorithm>
#include <optional>

#include <gtest/gtest.h>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/server_limits/server_limits.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto start = time_point{seconds{100}};
constexpr auto step = milliseconds{5};
constexpr auto takeover_delay = milliseconds{2500};
constexpr auto server = "s";

struct replay {
    int daemons_ = 7;
    double limit_ = 1.1;
    // Requests of all daemons together that want the server.
    double requests_per_second_ = 20;
    duration max_wait_{0};
    // When the owner leaves, never if zero, and the longest time until a daemon
    // knows it.
    seconds owner_leaves_at_{0};
    milliseconds longest_notice_{0};
    // Interval at which a new daemon joins, none if zero.
    seconds join_interval_{0};
    seconds length_{60};
};

struct outcome {
    std::size_t most_in_window_ = 0;
    double use_ = 0;
};

class replay_run {
public:
    replay_run(const replay& options, std::uint64_t seed)
        : options_{options}, random_{seed} {
        for (auto number = 0; number < options_.daemons_; ++number) {
            add_daemon();
        }
        for (auto& each : daemons_) {
            each.ownership_.set_daemons(names_, now_ - seconds{10});
        }
    }

    auto run() -> outcome {
        const auto end = start + options_.length_;
        for (; now_ < end; now_ += step) {
            change_members();
            const auto chance = options_.requests_per_second_ *
                                std::chrono::duration<double>(step).count();
            if (random_.fraction() < chance) {
                request(daemons_[random_.below(daemons_.size())]);
            }
        }
        return measure();
    }

private:
    struct daemon {
        std::string name_;
        permit_ownership ownership_;
        permit_ledger ledger_;
        bool alive_ = true;
        // When it learns of the latest change of members.
        std::optional<time_point> notice_at_;
    };

    auto add_daemon() -> void {
        const auto name = "d" + std::to_string(daemons_.size());
        names_.push_back(name);
        daemons_.push_back(
            {name, permit_ownership{name, takeover_delay}, {}, true, {}});
    }

    auto change_members() -> void {
        const auto since_start = now_ - start;
        const auto leaves = options_.owner_leaves_at_ > seconds{0} &&
                            since_start == options_.owner_leaves_at_;
        const auto joins =
            options_.join_interval_ > seconds{0} &&
            since_start % duration{options_.join_interval_} == duration{0};
        if (leaves) {
            const auto owner = select_permit_owner(server, names_);
            std::erase(names_, owner);
            std::find_if(daemons_.begin(), daemons_.end(), [&](const auto& it) {
                return it.name_ == owner;
            })->alive_ = false;
        }
        if (joins) {
            add_daemon();
            daemons_.back().ownership_.set_daemons({names_.back()}, now_);
        }
        for (auto& each : daemons_) {
            if (leaves || joins) {
                each.notice_at_ =
                    now_ +
                    duration{static_cast<duration::rep>(
                        random_.fraction() *
                        static_cast<double>(
                            duration{options_.longest_notice_}.count()))};
            }
            if (each.notice_at_ && now_ >= *each.notice_at_) {
                each.notice_at_.reset();
                each.ownership_.set_daemons(names_, now_);
            }
        }
    }

    auto request(daemon& sender) -> void {
        if (!sender.alive_) {
            return;
        }
        const auto owner_name = sender.ownership_.owner_of(server);
        const auto owner = std::find_if(
            daemons_.begin(), daemons_.end(),
            [&](const auto& each) { return each.name_ == owner_name; });
        const auto reachable = owner != daemons_.end() && owner->alive_;
        const auto wait = reachable
                              ? owner->ownership_.takeover_wait(server, now_)
                              : std::nullopt;
        if (!wait || *wait > duration{0}) {
            return;
        }
        const auto given = owner->ledger_.reserve(server, options_.limit_,
                                                  options_.max_wait_, now_);
        if (given.granted_) {
            arrivals_.push_back(now_ + given.wait_);
        }
    }

    auto measure() -> outcome {
        std::sort(arrivals_.begin(), arrivals_.end());
        auto most = std::size_t{0};
        auto first = std::size_t{0};
        for (auto last = std::size_t{0}; last < arrivals_.size(); ++last) {
            while (arrivals_[first] <= arrivals_[last] - seconds{4}) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return {most, static_cast<double>(arrivals_.size()) /
                          (options_.limit_ *
                           static_cast<double>(options_.length_.count()))};
    }

    const replay options_;
    seeded_random random_;
    time_point now_ = start;
    std::vector<std::string> names_;
    std::vector<daemon> daemons_;
    std::vector<time_point> arrivals_;
};

auto allowed_in_window(double limit) -> double {
    return 1.5 * limit * 4 + 5;
}

auto check(replay options, double least_use) -> void {
    for (const auto daemons : {2, 7, 80, 360}) {
        for (const auto limit : {0.2, 1.1, 6.0, 50.0}) {
            for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
                options.daemons_ = daemons;
                options.limit_ = limit;
                options.requests_per_second_ = std::max(4 * limit, 4.0);
                const auto result = replay_run{options, seed}.run();
                EXPECT_LE(static_cast<double>(result.most_in_window_),
                          allowed_in_window(limit))
                    << daemons << " daemons, limit " << limit << ", seed "
                    << seed;
                EXPECT_GE(result.use_, least_use)
                    << daemons << " daemons, limit " << limit << ", seed "
                    << seed;
            }
        }
    }
}

TEST(permit_replay, daemons_together_keep_a_limit_and_use_it) {
    check({}, 0.7);
}

TEST(permit_replay, waiting_requests_use_the_whole_limit) {
    check({.max_wait_ = seconds{1}}, 0.85);
}

// Daemons took the former and the new owner for the owner at the same time.
TEST(permit_replay, limit_is_exceeded_after_its_owner_leaves) {
    check({.max_wait_ = milliseconds{800},
           .owner_leaves_at_ = seconds{20},
           .longest_notice_ = milliseconds{3500}},
          0.6);
}

TEST(permit_replay, limit_is_exceeded_while_daemons_join) {
    check({.max_wait_ = milliseconds{800},
           .longest_notice_ = milliseconds{1500},
           .join_interval_ = seconds{3}},
          0.3);
}

TEST(permit_ledger, refused_callers_return_one_after_another) {
    auto ledger = permit_ledger{};
    ASSERT_TRUE(ledger.reserve(server, 1, milliseconds{100}, start).granted_);
    ASSERT_FALSE(ledger.reserve(server, 1, duration{0}, start).granted_);
    const auto first = ledger.reserve(server, 1, milliseconds{100}, start);
    const auto second = ledger.reserve(server, 1, milliseconds{100}, start);
    EXPECT_FALSE(first.granted_);
    EXPECT_EQ(first.wait_, milliseconds{1000});
    EXPECT_EQ(second.wait_, milliseconds{2000});
}

// Reservations at a low rate blocked the server after its limit had risen.
TEST(permit_ledger, higher_rate_applies_at_once) {
    auto ledger = permit_ledger{};
    (void)ledger.reserve(server, 0.2, seconds{30}, start);
    (void)ledger.reserve(server, 0.2, seconds{30}, start);
    EXPECT_TRUE(ledger.reserve(server, 100, duration{0}, start).granted_);
    EXPECT_TRUE(ledger.reserve(server, 1e300, duration{0}, start).granted_);
}

// A server that names zero gets a request now and then, to notice its end.
TEST(permit_ledger, zero_limit_is_probed) {
    auto ledger = permit_ledger{};
    ASSERT_TRUE(ledger.reserve(server, 0, duration{0}, start).granted_);
    EXPECT_FALSE(
        ledger.reserve(server, 0, duration{0}, start + seconds{4}).granted_);
    EXPECT_TRUE(
        ledger.reserve(server, 0, duration{0}, start + seconds{5}).granted_);
}

TEST(permit_ownership, new_owner_waits) {
    auto ownership = permit_ownership{"a", takeover_delay};
    EXPECT_EQ(ownership.takeover_wait(server, start), duration{0});
    ownership.set_daemons({"a"}, start);
    EXPECT_EQ(ownership.takeover_wait(server, start), takeover_delay);
    // Changes that do not concern the server do not extend the wait.
    ownership.set_daemons({"a", "a"}, start + seconds{1});
    EXPECT_EQ(ownership.takeover_wait(server, start + takeover_delay),
              duration{0});
    ownership.set_daemons({"b"}, start + seconds{9});
    EXPECT_EQ(ownership.takeover_wait(server, start + seconds{9}),
              std::nullopt);
    ownership.set_daemons({"a"}, start + seconds{10});
    EXPECT_EQ(ownership.takeover_wait(server, start + seconds{10}),
              takeover_delay);
}

} // namespace
} // namespace basilstream::coordination
