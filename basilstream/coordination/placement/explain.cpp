#include <array>
#include <cstdio>

#include "basilstream/coordination/placement/placement.hpp"

namespace basilstream::coordination {
namespace {

auto format_gain_and_price(double gain, double price) -> std::string {
    auto text = std::array<char, 96>{};
    std::snprintf(text.data(), text.size(),
                  "expected gain %.1f requests, price %.1f", gain, price);
    return text.data();
}

} // namespace

auto explain(const placement_step& step) -> std::string {
    const auto& resident = step.resident_;
    auto line = std::string{placement_action_names.name_of(step.action_)};
    line += " " + resident.model_;
    if (!resident.adapter_.empty()) {
        line += " adapter " + resident.adapter_;
    }
    line +=
        " version " + resident.version_ + " on " + resident.runner_ + " for ";
    line += placement_reason_names.name_of(step.reason_);
    return line + ": " + format_gain_and_price(step.gain_, step.price_);
}

auto explain(const placement_rejection& rejection) -> std::string {
    auto line = "not loaded: " + rejection.model_;
    if (!rejection.runner_.empty()) {
        line += " on " + rejection.runner_;
    }
    line += " for ";
    line += placement_rejection_reason_names.name_of(rejection.reason_);
    return line + ": " +
           format_gain_and_price(rejection.gain_, rejection.price_);
}

} // namespace basilstream::coordination
