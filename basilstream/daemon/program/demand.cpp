#include "basilstream/daemon/program/demand.hpp"

#include <cstdio>

namespace basilstream::daemon {
namespace {

constexpr auto interval = seconds{5};
// Figures of a daemon that fell silent count for nothing after this time.
constexpr auto lifetime = seconds{20};

} // namespace

demand_monitor::demand_monitor(const context& base, cluster& peers)
    : base_{base}, peers_{peers}, interval_began_{base.clock_.now()} {
    peers_.on_payload(
        coordination::payload_kind::other,
        [this](const coordination::gossip_payload& payload) { take(payload); });
}

auto demand_monitor::add(const std::string& model, std::uint64_t tokens)
    -> void {
    auto& counted = counts_[model];
    counted.tokens_ += tokens;
    ++counted.requests_;
}

auto demand_monitor::tick() -> void {
    const auto now = base_.clock_.now();
    if (now - interval_began_ < interval) {
        return;
    }
    const auto length =
        std::chrono::duration<double>(now - interval_began_).count();
    auto measured = std::map<std::string, measured_demand>{};
    for (const auto& [model, counted] : counts_) {
        measured[model] = {static_cast<double>(counted.tokens_) / length,
                           static_cast<double>(counted.requests_) / length};
    }
    counts_.clear();
    interval_began_ = now;
    // A model that has just fallen silent is told once more, as zero.
    for (const auto& [model, demand] : own_) {
        measured.try_emplace(model);
    }
    for (const auto& [model, demand] : measured) {
        peers_.gossip(coordination::payload_kind::other, model,
                      std::to_string(demand.tokens_per_second_) + " " +
                          std::to_string(demand.requests_per_second_));
    }
    std::erase_if(measured, [](const auto& entry) {
        return entry.second.requests_per_second_ <= 0;
    });
    own_ = std::move(measured);
}

auto demand_monitor::take(const coordination::gossip_payload& payload) -> void {
    auto demand = measured_demand{};
    if (std::sscanf(payload.bytes_.c_str(), "%lf %lf",
                    &demand.tokens_per_second_,
                    &demand.requests_per_second_) == 2) {
        heard_[payload.key_][payload.origin_] = {demand, base_.clock_.now()};
    }
}

auto demand_monitor::by_model() const
    -> std::map<std::string, measured_demand> {
    auto sums = own_;
    const auto oldest = base_.clock_.now() - lifetime;
    for (const auto& [model, daemons] : heard_) {
        for (const auto& [daemon, heard] : daemons) {
            if (heard.heard_ >= oldest) {
                sums[model].tokens_per_second_ +=
                    heard.demand_.tokens_per_second_;
                sums[model].requests_per_second_ +=
                    heard.demand_.requests_per_second_;
            }
        }
    }
    return sums;
}

} // namespace basilstream::daemon
