#include "basilstream/daemon/program/demand.hpp"

#include "basilstream/protocol/generated/demand.pb.h"

namespace basilstream::daemon {
namespace {

constexpr auto report_interval = seconds{5};
// Reports older than this are ignored, so that a daemon that has stopped
// reporting no longer contributes to the demand.
constexpr auto report_lifetime = seconds{20};

auto add_to(std::map<std::string, measured_demand>& sums,
            const std::map<std::string, measured_demand>& addends) -> void {
    for (const auto& [model, demand] : addends) {
        sums[model].tokens_per_second_ += demand.tokens_per_second_;
        sums[model].requests_per_second_ += demand.requests_per_second_;
    }
}

} // namespace

demand_monitor::demand_monitor(const context& base,
                               const daemon_settings& settings, cluster& peers,
                               owner_reader owners)
    : base_{base}, name_{settings.name_}, peers_{peers},
      owners_{std::move(owners)}, interval_start_{base.clock_.now()} {
    peers_.on_channel(
        protocol::peer_channel::opaque,
        [this](const std::string& sender, const std::string& bytes) {
            on_report(sender, bytes);
        });
}

auto demand_monitor::add(const std::string& model, std::uint64_t tokens)
    -> void {
    auto& model_counts = counts_[model];
    model_counts.tokens_ += tokens;
    ++model_counts.requests_;
}

auto demand_monitor::tick() -> void {
    const auto now = base_.clock_.now();
    if (now - interval_start_ < report_interval) {
        return;
    }
    const auto interval_seconds =
        std::chrono::duration<double>(now - interval_start_).count();
    own_demand_.clear();
    for (const auto& [model, model_counts] : counts_) {
        own_demand_[model] = {
            static_cast<double>(model_counts.tokens_) / interval_seconds,
            static_cast<double>(model_counts.requests_) / interval_seconds};
    }
    counts_.clear();
    interval_start_ = now;
    send();
}

auto demand_monitor::send() -> void {
    auto report = wire::demand_report{};
    for (const auto& [model, demand] : own_demand_) {
        auto& row = *report.add_models();
        row.set_model(model);
        row.set_tokens_per_second(
            static_cast<float>(demand.tokens_per_second_));
        row.set_requests_per_second(
            static_cast<float>(demand.requests_per_second_));
    }
    const auto bytes = report.SerializeAsString();
    for (const auto& owner : owners_()) {
        if (owner != name_) {
            peers_.send(owner, protocol::peer_channel::opaque, bytes);
        }
    }
}

auto demand_monitor::on_report(const std::string& sender,
                               const std::string& bytes) -> void {
    auto report = wire::demand_report{};
    if (!report.ParseFromString(bytes)) {
        return;
    }
    auto received = received_demand{{}, base_.clock_.now()};
    for (const auto& row : report.models()) {
        received.models_[row.model()] = {row.tokens_per_second(),
                                         row.requests_per_second()};
    }
    received_[sender] = std::move(received);
}

auto demand_monitor::by_model() const -> demand_by_model {
    auto sums = own_demand_;
    const auto oldest = base_.clock_.now() - report_lifetime;
    for (const auto& [daemon, received] : received_) {
        if (received.received_at_ >= oldest) {
            add_to(sums, received.models_);
        }
    }
    return sums;
}

} // namespace basilstream::daemon
