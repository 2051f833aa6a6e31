#include "basilstream/coordination/server_slots/server_slots.hpp"

#include <algorithm>
#include <functional>
#include <iostream>
#include <optional>
#include <queue>

#include <gtest/gtest.h>

#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {
namespace {

// Long enough for no more requests to be under way than a server may reject.
constexpr auto interval_of_requests = milliseconds{10};

class server_slots : public ::testing::Test {
protected:
    // Returns the decision about a request that is made now, if it is made.
    auto take(std::uint64_t id, duration max_wait = duration{0},
              double bearable = 5) -> std::optional<slot_decision> {
        ledger_.take({.server_ = "s",
                      .daemon_ = "d",
                      .id_ = id,
                      .bearable_ = bearable,
                      .max_wait_ = max_wait,
                      .lifetime_ = seconds{5}},
                     now_);
        const auto decisions = ledger_.take_decisions();
        for (const auto& decision : decisions) {
            if (decision.holder_ == slot_holder{"d", id}) {
                return decision;
            }
        }
        return std::nullopt;
    }

    auto is_granted(std::uint64_t id) -> bool {
        const auto decision = take(id);
        return decision && decision->granted_;
    }

    auto give_back(std::uint64_t id, slot_outcome outcome) -> void {
        ledger_.give_back("s", {"d", id}, outcome, now_);
    }

    time_point now_ = time_point{} + std::chrono::hours{1};
    slot_ledger ledger_;
};

TEST_F(server_slots, server_gets_no_more_requests_than_it_has_slots) {
    ledger_.set_server("s", 1000, 2, false);
    EXPECT_TRUE(is_granted(1));
    EXPECT_TRUE(is_granted(2));
    EXPECT_FALSE(is_granted(3));
    give_back(1, slot_outcome::answered);
    EXPECT_TRUE(is_granted(4));
    EXPECT_EQ(ledger_.in_use("s"), 2);
}

TEST_F(server_slots, request_waits_for_the_next_slot) {
    ledger_.set_server("s", 1000, 1, false);
    EXPECT_TRUE(is_granted(1));
    EXPECT_FALSE(take(2, milliseconds{400}).has_value());
    EXPECT_FALSE(take(3, milliseconds{400}).has_value());
    // Nobody overtakes those that wait.
    now_ += milliseconds{20};
    give_back(1, slot_outcome::answered);
    const auto decisions = ledger_.take_decisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].holder_.second, 2U);
    EXPECT_TRUE(decisions[0].granted_);
    EXPECT_FALSE(is_granted(4));
    now_ += milliseconds{400};
    ledger_.tick(now_);
    const auto expired = ledger_.take_decisions();
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].holder_.second, 3U);
    EXPECT_FALSE(expired[0].granted_);
    EXPECT_GT(expired[0].wait_, duration{0});
}

TEST_F(server_slots, surplus_is_refused_at_once) {
    ledger_.set_server("s", 1000, 1, false);
    EXPECT_TRUE(is_granted(1));
    now_ += milliseconds{100};
    give_back(1, slot_outcome::answered);
    EXPECT_TRUE(is_granted(2));
    auto queued = 0;
    auto waits = std::vector<duration>{};
    for (auto id = std::uint64_t{3}; id < 20; ++id) {
        const auto decision = take(id, milliseconds{400});
        queued += decision ? 0 : 1;
        if (decision) {
            EXPECT_FALSE(decision->granted_);
            waits.push_back(decision->wait_);
        }
    }
    EXPECT_EQ(queued, 4);
    // Callers return one after the other.
    EXPECT_GE(waits.back() - waits.front(), milliseconds{1000});
}

// All of them may be rejected, if the server now has less room than before.
TEST_F(server_slots, burst_is_larger_than_what_a_server_may_reject) {
    ledger_.set_server("s", 1000, 32, false);
    const auto granted_of = [this](std::uint64_t first) {
        auto granted = 0;
        for (auto id = first; id < first + 10; ++id) {
            granted += is_granted(id) ? 1 : 0;
        }
        return granted;
    };
    EXPECT_EQ(granted_of(1), 5);
    now_ += milliseconds{30};
    EXPECT_EQ(granted_of(11), 5);
    // Up to ten, as many as it has just held, are no risk; five more may be
    // rejected.
    now_ += milliseconds{30};
    give_back(15, slot_outcome::answered);
    for (auto id = std::uint64_t{1}; id <= 5; ++id) {
        give_back(id, slot_outcome::answered);
    }
    EXPECT_EQ(granted_of(21), 10);
    EXPECT_EQ(granted_of(31), 1);
    // It may have less room by now.
    now_ += seconds{1};
    EXPECT_EQ(granted_of(41), 5);
}

TEST_F(server_slots, rejections_reduce_the_slots_which_return) {
    ledger_.set_server("s", 1000, 32, false);
    for (auto id = std::uint64_t{1}; id <= 16; ++id) {
        EXPECT_TRUE(is_granted(id));
        now_ += interval_of_requests;
    }
    now_ += seconds{1};
    give_back(16, slot_outcome::rejected);
    EXPECT_EQ(ledger_.limit("s"), 12);
    EXPECT_FALSE(is_granted(17));
    for (auto id = std::uint64_t{1}; id <= 15; ++id) {
        give_back(id, slot_outcome::answered);
    }
    for (auto second = 0; second < 12; ++second) {
        for (auto id = std::uint64_t{100}; id < 140; ++id) {
            (void)take(id);
            now_ += milliseconds{40};
        }
        for (auto id = std::uint64_t{100}; id < 140; ++id) {
            give_back(id, slot_outcome::answered);
        }
    }
    EXPECT_EQ(ledger_.limit("s"), 32);
}

TEST_F(server_slots, no_slot_is_lost_with_its_holder) {
    ledger_.set_server("s", 1000, 1, false);
    EXPECT_TRUE(is_granted(1));
    ledger_.set_daemons({"other"});
    EXPECT_EQ(ledger_.in_use("s"), 0);
    EXPECT_TRUE(is_granted(2));
    now_ += seconds{6};
    EXPECT_TRUE(is_granted(3));
    give_back(3, slot_outcome::unused);
    EXPECT_TRUE(is_granted(4));
    // A request that was given up while it waited gets no slot.
    EXPECT_FALSE(take(5, milliseconds{400}).has_value());
    give_back(5, slot_outcome::unused);
    give_back(4, slot_outcome::answered);
    EXPECT_EQ(ledger_.in_use("s"), 0);
}

TEST_F(server_slots, new_process_is_filled_slowly) {
    ledger_.set_server("s", 1000, 32, false);
    for (auto id = std::uint64_t{1}; id <= 32; ++id) {
        EXPECT_TRUE(is_granted(id));
        now_ += interval_of_requests;
    }
    ledger_.set_server("s", 2000, 32, true);
    EXPECT_EQ(ledger_.in_use("s"), 0);
    auto granted = 0;
    for (auto id = std::uint64_t{33}; id <= 64; ++id) {
        granted += is_granted(id) ? 1 : 0;
        now_ += interval_of_requests;
    }
    EXPECT_EQ(granted, 8);
    now_ += milliseconds{500};
    EXPECT_TRUE(is_granted(70));
    EXPECT_EQ(ledger_.limit("s"), 16);
}

// Servers whose queues become short at once, and the daemons that send to them.
struct load_case {
    const char* name_ = "";
    // Requests, against what the servers can do.
    double load_ = 0.85;
    double bearable_ = 5;
    int announced_slots_ = 4;
    double min_goodput_ = 0.9;
    milliseconds work_time_{100};
};

constexpr auto server_count = 8;
constexpr auto daemon_count = 40;
constexpr auto slots = 4;
constexpr auto usual_queue = 12;
constexpr auto short_queue = 1;
constexpr auto message_time = milliseconds{2};
constexpr auto time_down = seconds{2};
constexpr auto brittle_from = seconds{3};
constexpr auto length = seconds{12};
constexpr auto max_wait = milliseconds{400};

constexpr auto first_seed = std::uint64_t{5};
constexpr auto last_seed = std::uint64_t{24};

class simulation {
public:
    simulation(const load_case& options, std::uint64_t seed)
        : options_{options}, random_{seed}, servers_(server_count) {
        for (auto number = 0; number < server_count; ++number) {
            ledger_.set_server(name_of(number), 1000, options_.announced_slots_,
                               false);
        }
    }

    auto run() -> void {
        const auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{options_.work_time_} /
            (options_.load_ * slots * server_count));
        for (auto at = duration{0}; at < length; at += interval) {
            schedule(at, [this] { send(); });
        }
        for (auto at = duration{0}; at < length; at += milliseconds{50}) {
            schedule(at, [this] {
                ledger_.tick(now_);
                pass_on();
            });
        }
        while (!events_.empty()) {
            auto next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.run_();
        }
    }

    // Requests served, against what could be served.
    [[nodiscard]] auto goodput() const -> double {
        return served_ / (sent_ * std::min(1.0, 1 / options_.load_));
    }

    int falls_ = 0;

private:
    struct event {
        time_point at_;
        std::uint64_t number_;
        std::function<void()> run_;
        auto operator<(const event& other) const -> bool {
            return std::pair{at_, number_} >
                   std::pair{other.at_, other.number_};
        }
    };
    struct server_state {
        int process_ = 1;
        bool down_ = false;
        int running_ = 0;
        std::deque<std::function<void()>> waiting_;
        std::deque<time_point> rejections_;
    };
    struct request {
        int server_ = 0;
        int asked_ = 0;
        slot_holder holder_;
    };

    static auto name_of(int number) -> std::string {
        return "s" + std::to_string(number);
    }
    auto schedule(duration delay, std::function<void()> run) -> void {
        events_.push({now_ + delay, ++last_event_, std::move(run)});
    }

    auto send() -> void {
        ++sent_;
        ask({.holder_ = {"d" + std::to_string(random_.below(daemon_count)),
                         ++last_request_}});
    }

    auto ask(request made) -> void {
        made.server_ = static_cast<int>(random_.below(server_count));
        made.holder_.second = ++last_request_;
        const auto waits = ++made.asked_ > 3;
        schedule(message_time, [this, made, waits] {
            requests_[made.holder_] = made;
            ledger_.take({.server_ = name_of(made.server_),
                          .daemon_ = made.holder_.first,
                          .id_ = made.holder_.second,
                          .bearable_ = options_.bearable_,
                          .max_wait_ = waits ? duration{max_wait} : duration{0},
                          .lifetime_ = seconds{5}},
                         now_);
            pass_on();
        });
    }

    auto pass_on() -> void {
        for (const auto& decision : ledger_.take_decisions()) {
            const auto made = requests_.extract(decision.holder_).mapped();
            schedule(message_time, [this, made, decision] {
                if (decision.granted_) {
                    receive(made);
                } else if (made.asked_ <= 3) {
                    ask(made);
                }
            });
        }
    }

    auto give_back(const request& made, slot_outcome outcome) -> void {
        schedule(message_time, [this, made, outcome] {
            ledger_.give_back(name_of(made.server_), made.holder_, outcome,
                              now_);
            pass_on();
        });
    }

    auto receive(const request& made) -> void {
        auto& server = servers_[made.server_];
        const auto queue =
            now_ - time_point{} < brittle_from ? usual_queue : short_queue;
        auto work = [this, made, process = server.process_] {
            schedule(options_.work_time_,
                     [this, made, process] { finish(made, process); });
        };
        if (server.down_) {
            give_back(made, slot_outcome::ended);
        } else if (server.running_ < slots) {
            ++server.running_;
            work();
        } else if (static_cast<int>(server.waiting_.size()) < queue) {
            server.waiting_.push_back(std::move(work));
        } else {
            reject(made);
        }
    }

    auto finish(const request& made, int process) -> void {
        auto& server = servers_[made.server_];
        if (server.process_ != process) {
            give_back(made, slot_outcome::ended);
            return;
        }
        ++served_;
        give_back(made, slot_outcome::answered);
        --server.running_;
        if (!server.waiting_.empty()) {
            ++server.running_;
            const auto next = std::move(server.waiting_.front());
            server.waiting_.pop_front();
            next();
        }
    }

    auto reject(const request& made) -> void {
        auto& server = servers_[made.server_];
        give_back(made, slot_outcome::rejected);
        server.rejections_.push_back(now_);
        std::erase_if(server.rejections_, [this](time_point at) {
            return now_ - at >= seconds{1};
        });
        if (now_ - time_point{} >= brittle_from &&
            static_cast<double>(server.rejections_.size()) >
                options_.bearable_) {
            fall(made.server_);
        }
    }

    auto fall(int number) -> void {
        auto& server = servers_[number];
        ++falls_;
        server = {.process_ = server.process_ + 1, .down_ = true};
        schedule(time_down, [this, number] {
            servers_[number].down_ = false;
            ledger_.set_server(name_of(number),
                               1000 + servers_[number].process_,
                               options_.announced_slots_, true);
        });
    }

    const load_case options_;
    seeded_random random_;
    slot_ledger ledger_;
    std::vector<server_state> servers_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_request_ = 0;
    std::map<slot_holder, request> requests_;
    time_point now_{};
    double sent_ = 0;
    double served_ = 0;
};

class server_slots_load : public ::testing::TestWithParam<load_case> {};

TEST_P(server_slots_load, servers_bear_the_rejections) {
    const auto& options = GetParam();
    for (auto seed = first_seed; seed <= last_seed; ++seed) {
        auto world = simulation{options, seed};
        world.run();
        std::cout << options.name_ << " seed " << seed << " falls "
                  << world.falls_ << " goodput " << world.goodput() << "\n";
        EXPECT_LE(world.falls_, 2) << seed;
        EXPECT_GE(world.goodput(), options.min_goodput_) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    loads, server_slots_load,
    ::testing::Values(
        load_case{.name_ = "load_060", .load_ = 0.6},
        load_case{.name_ = "load_085"},
        load_case{.name_ = "load_120", .load_ = 1.2},
        load_case{.name_ = "load_200", .load_ = 2},
        load_case{.name_ = "load_1000", .load_ = 10},
        load_case{.name_ = "one_bearable", .load_ = 2, .bearable_ = 1},
        load_case{.name_ = "none_bearable", .load_ = 2, .bearable_ = 0},
        load_case{.name_ = "one_bearable_20_ms",
                  .bearable_ = 1,
                  .work_time_ = milliseconds{20}},
        // Each slot is held for 9 ms, as messages take 2 ms.
        load_case{.name_ = "one_bearable_5_ms",
                  .bearable_ = 1,
                  .min_goodput_ = 0.65,
                  .work_time_ = milliseconds{5}},
        load_case{.name_ = "any_bearable", .load_ = 2, .bearable_ = 1e9},
        load_case{.name_ = "too_many_slots_announced_load_060",
                  .load_ = 0.6,
                  .announced_slots_ = 32,
                  .min_goodput_ = 0.8},
        load_case{.name_ = "too_many_slots_announced_one_bearable_load_060",
                  .load_ = 0.6,
                  .bearable_ = 1,
                  .announced_slots_ = 32,
                  .min_goodput_ = 0.8},
        load_case{.name_ = "too_many_slots_announced_load_200",
                  .load_ = 2,
                  .announced_slots_ = 32,
                  .min_goodput_ = 0.8}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::coordination
