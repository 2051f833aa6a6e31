#include <algorithm>
#include <cmath>

#include "basilstream/coordination/demand_placement/demand_placement.hpp"

namespace basilstream::coordination {
namespace {

auto seconds_of(duration value) -> double {
    return std::chrono::duration<double>(value).count();
}

} // namespace

auto demand_book::decayed(const entry& each, time_point now) const -> double {
    const auto age = std::max(now - each.updated_, duration{0});
    return each.tokens_ *
           std::exp(-seconds_of(age) / seconds_of(settings_.memory_));
}

auto demand_book::add(const demand_key& key, const demand_sample& sample,
                      time_point now) -> void {
    begun_ = begun_.value_or(now);
    auto& known = entries_[key];
    known.tokens_ = decayed(known, now) + sample.tokens_;
    known.updated_ = now;
    known.asked_ = now;
}

auto demand_book::rate(const demand_key& key, time_point now) const -> double {
    const auto found = entries_.find(key);
    return found == entries_.end()
               ? 0
               : decayed(found->second, now) / seconds_of(settings_.memory_);
}

auto demand_book::wanted(const demand_key& key, time_point now) const -> bool {
    const auto found = entries_.find(key);
    return found != entries_.end() &&
           now - found->second.asked_ < settings_.idle_after_;
}

auto demand_book::forgotten(const demand_key& key, time_point now) const
    -> bool {
    const auto found = entries_.find(key);
    const auto since =
        found == entries_.end() ? begun_.value_or(now) : found->second.asked_;
    return now - since > settings_.forgotten_after_;
}

auto demand_book::trim(time_point now) -> void {
    constexpr auto kept = 10;
    std::erase_if(entries_, [&](const auto& each) {
        return now - each.second.asked_ > kept * settings_.idle_after_;
    });
}

auto demand_book::wanted_keys(const std::string& service, time_point now) const
    -> std::vector<demand_key> {
    auto keys = std::vector<demand_key>{};
    for (auto found = entries_.lower_bound({service, {}, {}});
         found != entries_.end() && found->first.service_ == service; ++found) {
        if (now - found->second.asked_ < settings_.idle_after_) {
            keys.push_back(found->first);
        }
    }
    return keys;
}

} // namespace basilstream::coordination
