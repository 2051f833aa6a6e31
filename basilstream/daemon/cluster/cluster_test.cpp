#include "basilstream/daemon/cluster/cluster.hpp"

#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

struct datagram {
    std::string from_;
    std::string to_;
    std::string bytes_;
};

// A link whose messages the test delivers.
class queued_link final : public transport::peer_link {
public:
    queued_link(std::string address, std::deque<datagram>& network)
        : address_{std::move(address)}, network_{network} {}
    [[nodiscard]] auto address() const -> const std::string& override {
        return address_;
    }
    auto send(std::string to, std::string bytes) -> bool override {
        network_.push_back({address_, std::move(to), std::move(bytes)});
        return true;
    }
    [[nodiscard]] auto statistics() const
        -> transport::peer_link_statistics override {
        return {};
    }

private:
    std::string address_;
    std::deque<datagram>& network_;
};

class cluster_world : public testing::Test {
protected:
    explicit cluster_world(std::size_t daemons = 5) {
        for (auto index = std::size_t{0}; index < daemons; ++index) {
            const auto name = "d" + std::to_string(index);
            auto settings =
                cluster_settings{.name_ = name,
                                 .zone_ = "a",
                                 .max_endpoints_ = 64,
                                 .longest_silence_ = milliseconds{2000}};
            settings.seeds_ = {"peer:d0"};
            nodes_.push_back(std::make_unique<cluster>(
                cluster_context{clock_, random_, log_}, settings,
                "callers:" + name,
                std::make_unique<queued_link>("peer:" + name, network_)));
        }
    }

    // Runs for a while; each daemon that is on tells the others every 600 ms
    // that it lives.
    auto run(duration time) -> void {
        for (const auto end = clock_.now() + time; clock_.now() < end;) {
            clock_.advance(milliseconds{100});
            ++turn_;
            for (auto index = std::size_t{0}; index < nodes_.size(); ++index) {
                if (off_ == index) {
                    continue;
                }
                nodes_[index]->tick();
                if (turn_ % 6 == 0) {
                    greet(*nodes_[index]);
                }
            }
            deliver();
        }
    }

    auto greet(cluster& from) -> void {
        for (const auto& member : from.members()) {
            from.send(member.name_, protocol::peer_channel::relay, "");
        }
    }

    auto deliver() -> void {
        while (!network_.empty()) {
            const auto message = std::move(network_.front());
            network_.pop_front();
            for (auto index = std::size_t{0}; index < nodes_.size(); ++index) {
                const auto name = "d" + std::to_string(index);
                if (message.to_ == "peer:" + name && off_ != index) {
                    nodes_[index]->on_message(message.from_, message.bytes_);
                }
            }
        }
    }

    [[nodiscard]] auto names(std::size_t asked, const std::string& name)
        -> bool {
        const auto answer = nodes_[asked]->endpoints("a");
        return answer &&
               std::find(answer->addresses_.begin(), answer->addresses_.end(),
                         "callers:" + name) != answer->addresses_.end();
    }

    manual_clock clock_;
    seeded_random random_{3};
    transport::logger log_{{transport::log_level::off}, "test"};
    std::deque<datagram> network_;
    std::vector<std::unique_ptr<cluster>> nodes_;
    std::optional<std::size_t> off_;
    int turn_ = 0;
};

TEST_F(cluster_world, names_all_daemons_that_live) {
    run(seconds{8});
    for (auto asked = std::size_t{0}; asked < nodes_.size(); ++asked) {
        for (auto named = std::size_t{0}; named < nodes_.size(); ++named) {
            EXPECT_TRUE(names(asked, "d" + std::to_string(named)))
                << asked << " " << named;
        }
    }
}

// A machine loses power: no directory may go on naming it, whichever member
// the probes happen to pick.
TEST_F(cluster_world, names_no_daemon_that_was_silent_for_two_seconds) {
    run(seconds{8});
    for (auto lost = std::size_t{1}; lost < nodes_.size(); ++lost) {
        off_ = lost;
        run(milliseconds{2900});
        for (auto asked = std::size_t{0}; asked < nodes_.size(); ++asked) {
            if (asked != lost) {
                EXPECT_FALSE(names(asked, "d" + std::to_string(lost)));
            }
        }
        off_.reset();
        run(seconds{10});
    }
}

TEST_F(cluster_world, a_daemon_that_leaves_is_named_no_more) {
    run(seconds{8});
    nodes_[2]->leave();
    deliver();
    run(seconds{2});
    EXPECT_FALSE(names(0, "d2"));
    EXPECT_FALSE(names(2, "d2"));
}

} // namespace
} // namespace basilstream::daemon
