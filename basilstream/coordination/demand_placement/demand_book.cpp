#include <algorithm>
#include <cmath>

#include "basilstream/coordination/demand_placement/demand_placement.hpp"

namespace basilstream::coordination {
namespace {

auto seconds_of(duration value) -> double {
    return std::chrono::duration<double>(value).count();
}

} // namespace

auto urgency_weight(int urgency) -> double {
    constexpr auto last_level = 9.0;
    const auto level =
        std::clamp(static_cast<double>(urgency), 0.0, last_level);
    return std::exp2(1 - 2 * level / last_level);
}

auto demand_tracker::decay_of(const entry& record, duration time_constant,
                              time_point now) -> double {
    const auto age = std::max(now - record.updated_, duration{0});
    return std::exp(-seconds_of(age) / seconds_of(time_constant));
}

auto demand_tracker::add(const demand_key& key, const demand_sample& sample,
                         time_point now) -> void {
    first_sample_at_ = first_sample_at_.value_or(now);
    auto& record = entries_[key];
    const auto decay = decay_of(record, settings_.time_constant_, now);
    record.recent_tokens_ =
        record.recent_tokens_ *
            decay_of(record, settings_.recent_time_constant_, now) +
        sample.tokens_;
    record.tokens_ = record.tokens_ * decay + sample.tokens_;
    record.weighted_tokens_ =
        record.weighted_tokens_ * decay + (sample.weighted_tokens_ > 0
                                               ? sample.weighted_tokens_
                                               : sample.tokens_);
    record.updated_ = now;
    record.last_request_ = now;
    if (sample.unserved_ <= 0) {
        record.unserved_since_.reset();
    } else if (!record.unserved_since_) {
        record.unserved_since_ = now;
    }
}

auto demand_tracker::set_rate(const demand_key& key, double tokens_per_second,
                              time_point now) -> void {
    first_sample_at_ = first_sample_at_.value_or(now);
    auto& record = entries_[key];
    const auto known_weight = weight_of(record);
    record.tokens_ = tokens_per_second * seconds_of(settings_.time_constant_);
    record.weighted_tokens_ = record.tokens_ * known_weight;
    record.recent_tokens_ =
        tokens_per_second * seconds_of(settings_.recent_time_constant_);
    record.updated_ = now;
    record.last_request_ = now;
}

auto demand_tracker::weight_of(const entry& record) -> double {
    return record.tokens_ > 0 ? record.weighted_tokens_ / record.tokens_ : 1;
}

auto demand_tracker::summary(const demand_key& key, time_point now) const
    -> demand_summary {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return {.retention_expired_ = now - first_sample_at_.value_or(now) >
                                      settings_.last_copy_retention_};
    }
    const auto& record = found->second;
    const auto idle = now - record.last_request_;
    return {
        .recent_rate_ = record.recent_tokens_ *
                        decay_of(record, settings_.recent_time_constant_, now) /
                        seconds_of(settings_.recent_time_constant_),
        .weight_ = weight_of(record),
        .in_demand_ = idle < settings_.idle_after_,
        .unserved_for_ = record.unserved_since_ ? now - *record.unserved_since_
                                                : duration{0},
        .retention_expired_ = idle > settings_.last_copy_retention_};
}

auto demand_tracker::unserved_for(const demand_key& key, time_point now) const
    -> duration {
    const auto found = entries_.find(key);
    return found == entries_.end() || !found->second.unserved_since_
               ? duration{0}
               : now - *found->second.unserved_since_;
}

auto demand_tracker::rate(const demand_key& key, time_point now) const
    -> double {
    const auto found = entries_.find(key);
    return found == entries_.end()
               ? 0
               : found->second.tokens_ *
                     decay_of(found->second, settings_.time_constant_, now) /
                     seconds_of(settings_.time_constant_);
}

auto demand_tracker::in_demand(const demand_key& key, time_point now) const
    -> bool {
    const auto found = entries_.find(key);
    return found != entries_.end() &&
           now - found->second.last_request_ < settings_.idle_after_;
}

auto demand_tracker::retention_expired(const demand_key& key,
                                       time_point now) const -> bool {
    const auto found = entries_.find(key);
    const auto since = found == entries_.end() ? first_sample_at_.value_or(now)
                                               : found->second.last_request_;
    return now - since > settings_.last_copy_retention_;
}

auto demand_tracker::trim(time_point now) -> void {
    constexpr auto idle_periods_kept = 10;
    std::erase_if(entries_, [&](const auto& record) {
        return now - record.second.last_request_ >
               idle_periods_kept * settings_.idle_after_;
    });
}

auto demand_tracker::keys_in_demand(const std::string& service,
                                    time_point now) const
    -> std::vector<demand_key> {
    auto keys = std::vector<demand_key>{};
    for (auto found = entries_.lower_bound({service, {}, {}});
         found != entries_.end() && found->first.service_ == service; ++found) {
        if (now - found->second.last_request_ < settings_.idle_after_) {
            keys.push_back(found->first);
        }
    }
    return keys;
}

} // namespace basilstream::coordination
