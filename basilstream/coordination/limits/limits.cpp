#include "basilstream/coordination/limits/limits.hpp"

#include <algorithm>
#include <utility>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {

limit_holder::limit_holder(std::string name, limit_settings settings,
                           limit_guards guards)
    : name_{std::move(name)}, settings_{settings}, guards_{guards},
      ledger_{guards} {}

auto limit_holder::define(const std::string& limit, limit_definition definition)
    -> void {
    limits_[limit].definition_ = definition;
    ledger_.set_limit(limit, definition.units_);
}

auto limit_holder::restore(limit_ledger ledger, time_point now) -> void {
    ledger_ = std::move(ledger);
    for (const auto& [holder, entry] : ledger_.holders()) {
        last_read_[holder] = now;
    }
}

auto limit_holder::leased(time_point now) const -> bool {
    return guards_.lease_valid_(now, lease_until_);
}

auto limit_holder::drop_released(time_point now) -> void {
    std::erase_if(permits_, [&](const auto& each) {
        return each.second.released_ && now >= each.second.held_until_;
    });
}

auto limit_holder::in_use(std::string_view limit, time_point now) const -> int {
    return static_cast<int>(
        std::count_if(permits_.begin(), permits_.end(), [&](const auto& each) {
            const auto& permit = each.second;
            const auto over = permit.released_ && now >= permit.held_until_;
            return permit.limit_ == limit && !over;
        }));
}

auto limit_holder::usable(std::string_view limit, time_point now) const -> int {
    if (!leased(now)) {
        return 0;
    }
    auto units = ledger_.share_of(name_, limit).units_;
    if (pending_ && pending_->record_.action_ == limit_action::give_back &&
        pending_->record_.limit_ == limit) {
        units -= pending_->record_.units_;
    }
    return std::max(units - in_use(limit, now), 0);
}

auto limit_holder::try_acquire(const std::string& limit, time_point now)
    -> std::optional<permit_id> {
    drop_released(now);
    auto& local = limits_[limit];
    if (usable(limit, now) == 0) {
        local.unmet_ = std::min(local.unmet_ + 1, local.definition_.units_);
        return std::nullopt;
    }
    if (!holds(in_use(limit, now) < ledger_.share_of(name_, limit).units_,
               "permits_within_share", limit)) {
        return std::nullopt;
    }
    local.last_used_ = now;
    const auto id = next_permit_++;
    permits_[id] = {limit, now + local.definition_.hold_};
    return id;
}

auto limit_holder::release(permit_id permit, time_point now) -> void {
    const auto found = permits_.find(permit);
    if (found == permits_.end()) {
        return;
    }
    limits_[found->second.limit_].last_used_ = now;
    found->second.released_ = true;
    drop_released(now);
}

// Units that just came were not idle before.
auto limit_holder::note_new_units(time_point now) -> void {
    for (auto& [name, local] : limits_) {
        const auto units = ledger_.share_of(name_, name).units_;
        if (units > std::exchange(local.units_, units)) {
            local.last_used_ = now;
        }
    }
}

auto limit_holder::on_record(const limit_record& record, time_point now)
    -> void {
    const auto valid = ledger_.apply(record);
    note_new_units(now);
    if (valid && record.action_ == limit_action::recover) {
        last_read_.erase(record.subject_);
        if (record.subject_ == name_) {
            lease_until_ = {};
        }
    }
    if (record.holder_ != name_) {
        if (valid) {
            last_read_[record.holder_] = now;
        }
        return;
    }
    if (pending_ && pending_->record_.sequence_ == record.sequence_) {
        if (valid) {
            // From the first sending: others count from reading it, later.
            lease_until_ = std::max(lease_until_,
                                    pending_->first_sent_ + settings_.lease_);
        }
        pending_.reset();
    }
}

auto limit_holder::poll(time_point now) -> std::vector<limit_record> {
    drop_released(now);
    if (pending_) {
        if (now < pending_->last_sent_ + settings_.append_timeout_) {
            return {};
        }
        // Unknown is not failed: the same record again, which counts once.
        pending_->last_sent_ = now;
        return {pending_->record_};
    }
    auto record = next_record(now);
    if (!record) {
        return {};
    }
    ++next_sequence_;
    pending_ = {*record, now, now};
    return {std::move(*record)};
}

auto limit_holder::next_record(time_point now) -> std::optional<limit_record> {
    if (auto record = give_back_record(now)) {
        return record;
    }
    if (auto record = acquire_record(now)) {
        return record;
    }
    if (auto record = recover_record(now)) {
        return record;
    }
    return renew_record(now);
}

auto limit_holder::make_record(limit_action action) const -> limit_record {
    return {.action_ = action, .holder_ = name_, .sequence_ = next_sequence_};
}

// Units to give back: when others wait or the limit was lowered, unused ones
// beyond the fair share at once and the rest when idle; in the end all.
auto limit_holder::spare_units(const std::string& name,
                               const local_limit& local, time_point now) const
    -> int {
    const auto own = ledger_.share_of(name_, name);
    const auto unused = own.units_ - in_use(name, now);
    const auto idle = now - local.last_used_;
    if (unused <= 0 || idle >= settings_.retire_) {
        return std::max(unused, 0);
    }
    const auto others_wait = ledger_.missing(name) > own.missing_;
    const auto lowered = ledger_.granted(name) > ledger_.limit(name);
    if (!others_wait && !lowered) {
        return 0;
    }
    if (idle >= settings_.idle_) {
        return unused;
    }
    const auto fair =
        ledger_.limit(name) / std::max(ledger_.holders_of(name), 1);
    return std::clamp(own.units_ - fair, 0, unused);
}

auto limit_holder::give_back_record(time_point now) const
    -> std::optional<limit_record> {
    for (const auto& [name, local] : limits_) {
        const auto spare = spare_units(name, local, now);
        if (spare > 0) {
            auto record = make_record(limit_action::give_back);
            record.limit_ = name;
            record.units_ = spare;
            return record;
        }
    }
    return std::nullopt;
}

auto limit_holder::acquire_record(time_point now)
    -> std::optional<limit_record> {
    for (auto& [name, local] : limits_) {
        const auto unmet = std::exchange(local.unmet_, 0);
        const auto own = ledger_.share_of(name_, name);
        const auto wanted =
            std::min(in_use(name, now) + unmet, local.definition_.units_);
        if (unmet > 0 && wanted > own.units_ + own.missing_) {
            local.last_used_ = now;
            auto record = make_record(limit_action::acquire);
            record.limit_ = name;
            record.units_ = wanted;
            return record;
        }
    }
    return std::nullopt;
}

auto limit_holder::recover_record(time_point now) const
    -> std::optional<limit_record> {
    // With no lease of its own it may be cut off from the log: then everybody
    // seems to have lapsed.
    if (!leased(now)) {
        return std::nullopt;
    }
    const auto grace =
        settings_.lease_ + settings_.longest_work_ + settings_.drift_margin_;
    for (const auto& [holder, read] : last_read_) {
        const auto entry = ledger_.holders().find(holder);
        if (entry != ledger_.holders().end() && now >= read + grace) {
            auto record = make_record(limit_action::recover);
            record.subject_ = holder;
            record.subject_sequence_ = entry->second.newest_sequence_;
            return record;
        }
    }
    return std::nullopt;
}

auto limit_holder::has_share() const -> bool {
    const auto own = ledger_.holders().find(name_);
    return own != ledger_.holders().end() &&
           std::any_of(own->second.shares_.begin(), own->second.shares_.end(),
                       [](const auto& each) {
                           return each.second.units_ + each.second.missing_ > 0;
                       });
}

auto limit_holder::renew_record(time_point now) const
    -> std::optional<limit_record> {
    const auto due = now + settings_.lease_ / 2 >= lease_until_;
    if (!due || !has_share()) {
        return std::nullopt;
    }
    return make_record(limit_action::renew);
}

weight_store_permits::weight_store_permits(limit_holder& holder,
                                           weight_store_limits limits)
    : holder_{holder}, limits_{std::move(limits)} {}

auto weight_store_permits::name_of(load_kind kind) const -> const std::string& {
    return kind == load_kind::model ? limits_.models_at_once_
                                    : limits_.adapters_at_once_;
}

auto weight_store_permits::try_acquire(load_kind kind, time_point now) -> bool {
    const auto whole = holder_.try_acquire(name_of(kind), now);
    if (!whole) {
        return false;
    }
    if (kind == load_kind::model) {
        const auto start = holder_.try_acquire(limits_.models_per_second_, now);
        if (!start) {
            holder_.release(*whole, now);
            return false;
        }
        // Held for its period all the same.
        holder_.release(*start, now);
    }
    permits_[kind].push_back(*whole);
    return true;
}

auto weight_store_permits::release(load_kind kind, time_point now) -> void {
    // Units of one limit are alike.
    auto& permits = permits_[kind];
    if (!permits.empty()) {
        holder_.release(permits.back(), now);
        permits.pop_back();
    }
}

} // namespace basilstream::coordination
