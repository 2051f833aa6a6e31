#include "basilstream/coordination/membership/membership.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/protocol/peer_codec/peer_codec.hpp"

namespace basilstream::coordination {
namespace {

// Size of the IPv4 and UDP headers of a datagram.
constexpr auto header_bytes = std::size_t{28};
constexpr auto tick_interval = milliseconds{100};

/// Simulates daemons on a network with delay and loss, on a virtual clock.
class network {
public:
    network(std::size_t size, std::uint64_t seed,
            membership_settings settings = {})
        : random_{seed}, settings_{settings} {
        for (auto index = std::size_t{0}; index < size; ++index) {
            add();
        }
    }
    auto add() -> void {
        const auto index = nodes_.size();
        auto added = std::make_unique<node>();
        added->random_ = std::make_unique<seeded_random>(random_.next());
        const auto zones = std::vector<std::string>{"zone-a", "zone-b"};
        added->members_ = std::make_unique<membership>(
            settings_,
            member{"daemon-" + std::to_string(index), address_of(index),
                   "10.0.0.1:8080", zones[index % 2], 0, member_state::alive},
            *added->random_);
        for (auto seed = std::size_t{0}; seed < 3; ++seed) {
            added->members_->add_seed(address_of(seed), now_);
        }
        nodes_.push_back(std::move(added));
    }
    /// Makes all daemons known to each other, as in a converged deployment.
    auto introduce_all(duration settle = seconds{60}) -> void {
        auto page = membership_message{};
        page.kind_ = probe_kind::sync_answer;
        for (const auto& row : nodes_) {
            page.members_.push_back(row->members_->members().front());
        }
        for (const auto& row : nodes_) {
            row->members_->on_message("", page, now_);
        }
        run_for(settle);
    }
    /// Lets all daemons read the addresses of all in the shared store.
    auto list_all() -> void {
        for (const auto& row : nodes_) {
            for (auto index = std::size_t{0}; index < nodes_.size(); ++index) {
                row->members_->add_seed(address_of(index), now_);
            }
        }
    }
    auto run_for(duration length) -> void {
        const auto end = now_ + length;
        while (now_ < end) {
            now_ += tick_interval;
            for (auto index = std::size_t{0}; index < nodes_.size(); ++index) {
                tick(index);
            }
        }
    }
    auto kill(std::size_t index) -> void { nodes_[index]->dead_ = true; }
    auto pause(std::size_t index, duration length) -> void {
        nodes_[index]->resume_at_ = now_ + length;
    }
    [[nodiscard]] auto state(std::size_t viewer, std::size_t subject) const
        -> member_state {
        const auto peer = at(viewer).find("daemon-" + std::to_string(subject));
        return peer ? peer->state_ : member_state::dead;
    }
    [[nodiscard]] auto count_viewers(std::size_t subject,
                                     member_state state) const -> std::size_t {
        auto count = std::size_t{0};
        for (auto viewer = std::size_t{0}; viewer < nodes_.size(); ++viewer) {
            count += viewer != subject && !nodes_[viewer]->dead_ &&
                     this->state(viewer, subject) == state;
        }
        return count;
    }
    [[nodiscard]] auto complete() const -> bool {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& row) {
            return row->members_->members().size() == nodes_.size();
        });
    }
    [[nodiscard]] auto suspicions() const -> std::uint64_t {
        auto sum = std::uint64_t{0};
        for (const auto& row : nodes_) {
            sum += row->members_->statistics().suspicions_;
        }
        return sum;
    }
    [[nodiscard]] auto deaths() const -> std::uint64_t {
        auto sum = std::uint64_t{0};
        for (const auto& row : nodes_) {
            sum += row->members_->statistics().deaths_;
        }
        return sum;
    }
    [[nodiscard]] auto at(std::size_t index) const -> membership& {
        return *nodes_[index]->members_;
    }
    /// Largest number of bytes sent by one daemon since reset_byte_counts().
    [[nodiscard]] auto max_bytes() const -> double {
        auto maximum = std::size_t{0};
        for (const auto& row : nodes_) {
            maximum = std::max(maximum, row->bytes_);
        }
        return static_cast<double>(maximum);
    }
    [[nodiscard]] auto mean_bytes() const -> double {
        auto sum = std::size_t{0};
        for (const auto& row : nodes_) {
            sum += row->bytes_;
        }
        return static_cast<double>(sum) / static_cast<double>(nodes_.size());
    }
    auto reset_byte_counts() -> void {
        for (const auto& row : nodes_) {
            row->bytes_ = 0;
        }
    }

    double loss_ = 0;
    seeded_random random_;
    time_point now_{seconds{1000}};

private:
    struct datagram {
        std::string from_;
        membership_message message_;
    };
    struct node {
        std::unique_ptr<seeded_random> random_;
        std::unique_ptr<membership> members_;
        std::vector<datagram> inbox_;
        std::size_t bytes_ = 0;
        time_point resume_at_{};
        bool dead_ = false;
    };
    static auto address_of(std::size_t index) -> std::string {
        return "10.0." + std::to_string(index / 250) + "." +
               std::to_string(index % 250) + ":7100";
    }
    static auto index_of(const std::string& address) -> std::size_t {
        auto high = 0UL;
        auto low = 0UL;
        std::sscanf(address.c_str(), "10.0.%lu.%lu:", &high, &low);
        return high * 250 + low;
    }
    auto tick(std::size_t index) -> void {
        auto& self = *nodes_[index];
        if (self.dead_ || self.resume_at_ > now_) {
            return;
        }
        // A message is delivered by the next tick at the latest; answers are
        // sent in the same tick.
        for (const auto& datagram : std::exchange(self.inbox_, {})) {
            self.members_->on_message(datagram.from_, datagram.message_, now_);
        }
        self.members_->tick(now_);
        for (auto& output : self.members_->poll()) {
            self.bytes_ +=
                header_bytes +
                protocol::encode(protocol::peer_envelope{
                                     protocol::peer_channel::membership, "",
                                     protocol::encode(output.message_)})
                    .size();
            const auto target = index_of(output.address_);
            if (target < nodes_.size() && random_.fraction() >= loss_) {
                nodes_[target]->inbox_.push_back(
                    {address_of(index), std::move(output.message_)});
            }
        }
    }

    membership_settings settings_;
    std::vector<std::unique_ptr<node>> nodes_;
};

TEST(membership, learns_all_members_from_seeds) {
    auto net = network{7, 1};
    net.run_for(seconds{20});
    EXPECT_TRUE(net.complete());
    net.add();
    net.run_for(seconds{20});
    EXPECT_TRUE(net.complete());
}

// Daemons that were started together took ten seconds and more to know each
// other, and disagreed until then about who owns what.
TEST(membership, daemons_started_together_disagree_for_long) {
    for (const auto size : {7U, 80U, 360U}) {
        auto net = network{size, 1};
        net.list_all();
        const auto begin = net.now_;
        while (!net.complete() && net.now_ - begin < seconds{60}) {
            net.run_for(tick_interval);
        }
        const auto took =
            std::chrono::duration<double>(net.now_ - begin).count();
        std::printf("%u daemons started together: known to all after %.1f s, "
                    "%.0f B each\n",
                    size, took, net.mean_bytes());
        EXPECT_LE(took, 12.0) << size;
    }
}

TEST(membership, spreads_payloads_and_leaving_state) {
    auto net = network{7, 2};
    net.run_for(seconds{20});
    EXPECT_TRUE(
        net.at(3).publish(payload_kind::runner_leaving, "r1", "x", net.now_));
    EXPECT_FALSE(net.at(3).publish(payload_kind::other, "k",
                                   std::string(1000, 'x'), net.now_));
    net.at(2).leave(net.now_);
    net.run_for(seconds{5});
    for (const auto index : {0U, 1U, 4U, 5U, 6U}) {
        const auto payloads = net.at(index).take_payloads();
        ASSERT_EQ(payloads.size(), 1U) << index;
        EXPECT_EQ(payloads.front().origin_, "daemon-3");
        EXPECT_EQ(payloads.front().key_, "r1");
        EXPECT_EQ(net.state(index, 2), member_state::leaving);
        EXPECT_EQ(net.at(index).owners().size(), 6U);
    }
}

// Guards against endpoint loads that fill the gossip budget and thereby delay a
// quarantine suspicion.
TEST(membership, sends_quarantine_suspicions_before_loads) {
    auto net = network{7, 2};
    net.run_for(seconds{20});
    for (auto second = 0; second < 30; ++second) {
        for (auto index = 0; index < 40; ++index) {
            static_cast<void>(net.at(second % 7)
                                  .publish(payload_kind::endpoint_load,
                                           std::to_string(index),
                                           std::string(100, 'x'), net.now_));
        }
        if (second == 20) {
            EXPECT_TRUE(net.at(0).publish(payload_kind::quarantine_suspicion,
                                          "s", "x", net.now_));
        }
        net.run_for(seconds{1});
    }
    for (auto index = 1U; index < 7; ++index) {
        const auto payloads = net.at(index).take_payloads();
        EXPECT_TRUE(std::any_of(
            payloads.begin(), payloads.end(), [](const auto& payload) {
                return payload.kind_ == payload_kind::quarantine_suspicion;
            }));
    }
}

TEST(membership, refutes_suspicion_after_a_pause) {
    auto net = network{7, 3};
    net.run_for(seconds{20});
    net.pause(4, seconds{3});
    net.run_for(seconds{20});
    EXPECT_GT(net.suspicions(), 0U);
    EXPECT_EQ(net.count_viewers(4, member_state::alive), 6U);
    EXPECT_EQ(net.deaths(), 0U);
}

TEST(membership, declares_a_paused_daemon_dead_without_suspicion) {
    auto settings = membership_settings{};
    settings.suspicion_factor_ = 0;
    auto net = network{7, 3, settings};
    net.run_for(seconds{20});
    net.pause(4, seconds{3});
    net.run_for(seconds{20});
    EXPECT_GT(net.deaths(), 0U);
}

TEST(membership, readmits_a_daemon_that_was_declared_dead) {
    auto net = network{7, 4};
    net.run_for(seconds{20});
    net.pause(4, seconds{30});
    net.run_for(seconds{29});
    EXPECT_EQ(net.count_viewers(4, member_state::dead), 6U);
    net.run_for(seconds{30});
    EXPECT_EQ(net.count_viewers(4, member_state::alive), 6U);
    EXPECT_TRUE(net.complete());
}

TEST(membership, new_daemon_learns_all_members_of_a_large_deployment) {
    auto net = network{360, 6};
    net.introduce_all(seconds{5});
    ASSERT_TRUE(net.complete());
    net.add();
    const auto begin = net.now_;
    auto list_read_at = begin;
    while (!net.complete() && net.now_ - begin < seconds{120}) {
        net.run_for(tick_interval);
        if (net.at(360).members().size() == 361 && list_read_at == begin) {
            list_read_at = net.now_;
        }
    }
    EXPECT_TRUE(net.complete());
    std::printf("new daemon among 360: knew all after %.1f s, known to all "
                "after %.1f s\n",
                std::chrono::duration<double>(list_read_at - begin).count(),
                std::chrono::duration<double>(net.now_ - begin).count());
}

// Bytes sent per daemon and second, headers included. The budget is the target
// for all control traffic, of which membership may use half.
TEST(membership_figures, control_bytes_by_number_of_members) {
    constexpr auto budget = 3000.0;
    constexpr auto span = 60.0;
    for (const auto size : {3U, 7U, 30U, 100U, 360U}) {
        auto net = network{size, 5};
        net.introduce_all(seconds{30});
        EXPECT_TRUE(net.complete()) << size;
        net.reset_byte_counts();
        net.run_for(seconds{60});
        const auto idle_rate = net.mean_bytes() / span;
        net.reset_byte_counts();
        for (auto second = 0; second < 60; ++second) {
            const auto origin = net.random_.below(size);
            EXPECT_TRUE(net.at(origin).publish(payload_kind::endpoint_load,
                                               "load", "12345678", net.now_));
            if (second == 20) {
                net.kill(size - 1);
            }
            net.run_for(seconds{1});
        }
        std::printf("members %u: quiet %.0f B/s, busy mean %.0f B/s, busy "
                    "most %.0f B/s\n",
                    size, idle_rate, net.mean_bytes() / span,
                    net.max_bytes() / span);
        EXPECT_LT(net.max_bytes() / span, budget / 2);
    }
}

struct detection {
    std::vector<double> suspected_;
    std::vector<double> dead_;
    std::vector<double> known_to_all_;
};

auto percentile(std::vector<double> values, double share) -> double {
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

auto detect(std::uint32_t size, int runs) -> detection {
    auto times = detection{};
    for (auto run = 0; run < runs; ++run) {
        auto net = network{size, static_cast<std::uint64_t>(100 + run)};
        net.introduce_all(seconds{10});
        net.run_for(milliseconds{
            static_cast<std::int64_t>(100 * net.random_.below(20))});
        const auto victim = net.random_.below(size);
        net.kill(victim);
        const auto begin = net.now_;
        const auto elapsed_seconds = [&] {
            return std::chrono::duration<double>(net.now_ - begin).count();
        };
        while (net.count_viewers(victim, member_state::alive) == size - 1) {
            net.run_for(tick_interval);
        }
        times.suspected_.push_back(elapsed_seconds());
        while (net.count_viewers(victim, member_state::dead) == 0) {
            net.run_for(tick_interval);
        }
        times.dead_.push_back(elapsed_seconds());
        while (net.count_viewers(victim, member_state::dead) < size - 1) {
            net.run_for(tick_interval);
        }
        times.known_to_all_.push_back(elapsed_seconds());
    }
    return times;
}

TEST(membership_figures, detection_times) {
    for (const auto& [size, runs] :
         {std::pair{7U, 200}, {30U, 30}, {100U, 8}, {360U, 2}}) {
        const auto times = detect(size, runs);
        std::printf("members %u, %d runs: suspected %.1f s (99: %.1f), dead "
                    "%.1f s (99: %.1f), known to all %.1f s (99: %.1f)\n",
                    size, runs, percentile(times.suspected_, 0.5),
                    percentile(times.suspected_, 0.99),
                    percentile(times.dead_, 0.5), percentile(times.dead_, 0.99),
                    percentile(times.known_to_all_, 0.5),
                    percentile(times.known_to_all_, 0.99));
        EXPECT_LT(percentile(times.known_to_all_, 0.99), 30.0);
    }
}

TEST(membership_figures, false_suspicions_under_loss_and_pauses) {
    constexpr auto size = std::size_t{30};
    constexpr auto minutes = 10;
    for (const auto loss : {0.0, 0.02, 0.1, 0.2}) {
        for (const auto pause : {0, 1, 2, 5}) {
            auto net = network{size, 9};
            net.introduce_all();
            const auto suspicions = net.suspicions();
            const auto deaths = net.deaths();
            net.loss_ = loss;
            for (auto step = 0; step < minutes * 6; ++step) {
                if (pause > 0) {
                    net.pause(net.random_.below(size), seconds{pause});
                }
                net.run_for(seconds{10});
            }
            std::printf("loss %.2f, pause %d s every 10 s: suspicions %lu, "
                        "declared dead %lu in %d min\n",
                        loss, pause, net.suspicions() - suspicions,
                        net.deaths() - deaths, minutes);
            if (loss <= 0.1 && pause <= 2) {
                EXPECT_EQ(net.deaths(), deaths);
            }
        }
    }
}

} // namespace
} // namespace basilstream::coordination
