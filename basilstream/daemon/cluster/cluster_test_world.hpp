// Test fixture: a cluster of daemons on a manual clock and an in-memory
// network.
#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/daemon/cluster/cluster.hpp"

namespace basilstream::daemon {

struct datagram {
    std::string from_;
    std::string to_;
    std::string bytes_;
};

// A peer link that queues messages for the test to deliver.
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

    // Advances the clock by `time` in steps of 100 ms. Every 600 ms, each
    // running daemon sends a heartbeat to all members.
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
                    send_heartbeats(*nodes_[index]);
                }
            }
            deliver();
        }
    }

    auto send_heartbeats(cluster& from) -> void {
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

    [[nodiscard]] auto endpoints_include(std::size_t observer_index,
                                         const std::string& name) -> bool {
        const auto answer = nodes_[observer_index]->endpoints("a");
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

} // namespace basilstream::daemon
