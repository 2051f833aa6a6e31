#include <map>
#include <memory>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/membership/membership.hpp"
#include "basilstream/protocol/peer_codec/peer_codec.hpp"
#include "bench/capacity/capacity.hpp"

namespace basilstream::bench {
namespace {

using namespace coordination;

auto address_of(int index) -> std::string {
    return "10.0." + std::to_string(index / 250) + "." +
           std::to_string(index % 250) + ":7100";
}

// Daemons that answer each other at once.
class cluster {
public:
    explicit cluster(int daemons) {
        for (auto index = 0; index < daemons; ++index) {
            auto self = member{};
            self.name_ = "daemon-" + std::to_string(index);
            self.peer_address_ = address_of(index);
            self.caller_address_ = address_of(index);
            self.zone_ = "zone-" + std::to_string(index % 19);
            members_[address_of(index)] = std::make_unique<membership>(
                membership_settings{}, std::move(self), random_);
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
    auto deliver(const std::string& from, membership& sender) -> void {
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
    std::map<std::string, std::unique_ptr<membership>> members_;
    double bytes_ = 0;
};

} // namespace

auto measure_membership() -> cost_curve {
    auto curve =
        cost_curve{"membership", "one second of one daemon", "daemons", {}};
    constexpr auto joining = seconds{180};
    constexpr auto measured = seconds{10};
    for (const auto daemons : {36, 120, 360}) {
        auto all = cluster{daemons};
        all.run(joining);
        (void)all.take_bytes();
        const auto count = static_cast<double>(daemons) * 10;
        const auto spent = seconds_of(1, [&] { all.run(measured); });
        constexpr auto rounds = 3;
        curve.points_.push_back({all.mean_known(), spent / count,
                                 all.take_bytes() / rounds / count});
    }
    return curve;
}

} // namespace basilstream::bench
