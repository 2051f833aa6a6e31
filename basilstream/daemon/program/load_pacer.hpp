/// The weight store's limits for the loads that this daemon orders.
///
///     auto pacer = load_pacer{settings.deployment_};
///     if (pacer.try_acquire(coordination::load_kind::model, now)) { ... }
#pragma once

#include <array>
#include <cstddef>
#include <deque>

#include "basilstream/coordination/orders/orders.hpp"
#include "basilstream/daemon/settings/settings.hpp"

namespace basilstream::daemon {

/// Admits loads at the deployment's limits divided by its shards. Only the
/// owner of a shard loads, so the owners together stay within the limits.
/// Control thread only.
class load_pacer final : public coordination::load_permits {
public:
    explicit load_pacer(const deployment_settings& settings)
        : per_second_{share(settings.loads_per_second_, settings)},
          at_once_{{share(settings.loads_at_once_, settings),
                    share(settings.adapters_in_flight_, settings)}} {}

    auto try_acquire(coordination::load_kind kind, time_point now)
        -> bool override {
        auto& running = running_.at(index(kind));
        if (running >= at_once_.at(index(kind))) {
            return false;
        }
        if (kind == coordination::load_kind::model && !start_allowed(now)) {
            return false;
        }
        ++running;
        return true;
    }

    auto release(coordination::load_kind kind, time_point /*now*/)
        -> void override {
        --running_.at(index(kind));
    }

private:
    static auto index(coordination::load_kind kind) -> std::size_t {
        return kind == coordination::load_kind::model ? 0 : 1;
    }

    static auto share(unsigned limit, const deployment_settings& settings)
        -> unsigned {
        const auto shards = static_cast<unsigned>(settings.shards_.size());
        return limit / shards > 0 ? limit / shards : 1;
    }

    auto start_allowed(time_point now) -> bool {
        while (!starts_.empty() && now - starts_.front() >= seconds{1}) {
            starts_.pop_front();
        }
        if (starts_.size() >= per_second_) {
            return false;
        }
        starts_.push_back(now);
        return true;
    }

    unsigned per_second_;
    // Models, then adapters.
    std::array<unsigned, 2> at_once_;
    std::array<unsigned, 2> running_{};
    std::deque<time_point> starts_;
};

} // namespace basilstream::daemon
