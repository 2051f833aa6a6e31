/// Daemons in one process whose membership messages reach each other at once.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/membership/membership.hpp"
#include "basilstream/protocol/peer_codec/peer_codec.hpp"

namespace basilstream::bench {

inline auto address_of(int index) -> std::string {
    return "10.0." + std::to_string(index / 250) + "." +
           std::to_string(index % 250) + ":7100";
}

// Daemons that answer each other at once.
class membership_cluster {
public:
    explicit membership_cluster(int daemons) {
        for (auto index = 0; index < daemons; ++index) {
            auto self = coordination::member{};
            self.name_ = "daemon-" + std::to_string(index);
            self.peer_address_ = address_of(index);
            self.caller_address_ = address_of(index);
            self.zone_ = "zone-" + std::to_string(index % 19);
            members_[address_of(index)] =
                std::make_unique<coordination::membership>(
                    coordination::membership_settings{}, std::move(self),
                    random_);
        }
        for (auto& [address, one] : members_) {
            one->add_seed(address_of(0), now_);
            one->add_seed(address_of(1), now_);
        }
    }

    auto run(duration length) -> void {
        const auto end = now_ + length;
        while (now_ < end) {
            now_ += milliseconds{100};
            for (auto& [address, one] : members_) {
                one->tick(now_);
                deliver(address, *one);
            }
        }
    }

    // Publishes `payloads` figures from each daemon.
    auto publish(int payloads) -> void {
        for (auto& [address, one] : members_) {
            for (auto index = 0; index < payloads; ++index) {
                (void)one->publish(coordination::payload_kind::other,
                                   "organisation/model-" +
                                       std::to_string(index),
                                   "1234.567890 12.345678", now_);
            }
        }
    }

    // Returns how many payloads of others arrived since the last call.
    auto take_arrived() -> std::size_t {
        auto arrived = std::size_t{0};
        for (auto& [address, one] : members_) {
            arrived += one->take_payloads().size();
        }
        return arrived;
    }

    // Returns the bytes sent since the last call, by all.
    auto take_bytes() -> double {
        const auto taken = bytes_;
        bytes_ = 0;
        return taken;
    }

    // Returns how many members a daemon knows on average.
    [[nodiscard]] auto mean_known() const -> double {
        auto known = 0.0;
        for (const auto& [address, one] : members_) {
            known += static_cast<double>(one->members().size());
        }
        return known / static_cast<double>(members_.size());
    }

private:
    auto deliver(const std::string& from, coordination::membership& sender)
        -> void {
        for (auto& output : sender.poll()) {
            bytes_ +=
                static_cast<double>(protocol::encode(output.message_).size());
            const auto target = members_.find(output.address_);
            if (target == members_.end()) {
                continue;
            }
            target->second->on_message(from, output.message_, now_);
            deliver(output.address_, *target->second);
        }
    }

    seeded_random random_{1};
    time_point now_{seconds{1}};
    std::map<std::string, std::unique_ptr<coordination::membership>> members_;
    double bytes_ = 0;
};

} // namespace basilstream::bench
