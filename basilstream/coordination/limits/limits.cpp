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

auto limit_holder::has_valid_lease(time_point now) const -> bool {
    return guards_.lease_valid_(now, lease_until_);
}

auto limit_holder::erase_expired_permits(time_point now) -> void {
    std::erase_if(permits_, [&](const auto& element) {
        return element.second.released_ && now >= element.second.held_until_;
    });
}

auto limit_holder::in_use(std::string_view limit, time_point now) const -> int {
    return static_cast<int>(std::count_if(
        permits_.begin(), permits_.end(), [&](const auto& element) {
            const auto& permit = element.second;
            const auto expired = permit.released_ && now >= permit.held_until_;
            return permit.limit_ == limit && !expired;
        }));
}

auto limit_holder::usable(std::string_view limit, time_point now) const -> int {
    if (!has_valid_lease(now)) {
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
    erase_expired_permits(now);
    auto& local = limits_[limit];
    if (usable(limit, now) == 0) {
        local.failed_acquisitions_ =
            std::min(local.failed_acquisitions_ + 1, local.definition_.units_);
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
    erase_expired_permits(now);
}

// Restarts the idle time of a limit when this daemon was granted more units of
// it, since new units have not been idle.
auto limit_holder::refresh_last_used(time_point now) -> void {
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
    refresh_last_used(now);
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
            // The lease starts when the record was first sent. Other daemons
            // count from when they read it, which is later.
            lease_until_ = std::max(lease_until_,
                                    pending_->first_sent_ + settings_.lease_);
        }
        pending_.reset();
    }
}

auto limit_holder::poll(time_point now) -> std::vector<limit_record> {
    erase_expired_permits(now);
    if (pending_) {
        if (now < pending_->last_sent_ + settings_.append_timeout_) {
            return {};
        }
        // The append may have succeeded. Repeating the same record is safe
        // because its sequence number is applied once.
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

// Returns the number of unused units to give back. After idle_timeout_ these
// are all unused units. If other holders wait or the limit was lowered, unused
// units above the fair share are given back at once, and the rest after
// contended_idle_timeout_.
auto limit_holder::units_to_give_back(const std::string& name,
                                      const local_limit& local,
                                      time_point now) const -> int {
    const auto own = ledger_.share_of(name_, name);
    const auto unused = own.units_ - in_use(name, now);
    const auto idle = now - local.last_used_;
    if (unused <= 0 || idle >= settings_.idle_timeout_) {
        return std::max(unused, 0);
    }
    const auto others_wait = ledger_.outstanding(name) > own.outstanding_;
    const auto lowered = ledger_.granted(name) > ledger_.limit(name);
    if (!others_wait && !lowered) {
        return 0;
    }
    if (idle >= settings_.contended_idle_timeout_) {
        return unused;
    }
    const auto fair_share =
        ledger_.limit(name) / std::max(ledger_.count_holders(name), 1);
    return std::clamp(own.units_ - fair_share, 0, unused);
}

auto limit_holder::give_back_record(time_point now) const
    -> std::optional<limit_record> {
    for (const auto& [name, local] : limits_) {
        const auto spare = units_to_give_back(name, local, now);
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
        const auto failed = std::exchange(local.failed_acquisitions_, 0);
        const auto own = ledger_.share_of(name_, name);
        const auto requested_units =
            std::min(in_use(name, now) + failed, local.definition_.units_);
        if (failed > 0 && requested_units > own.units_ + own.outstanding_) {
            local.last_used_ = now;
            auto record = make_record(limit_action::acquire);
            record.limit_ = name;
            record.units_ = requested_units;
            return record;
        }
    }
    return std::nullopt;
}

auto limit_holder::recover_record(time_point now) const
    -> std::optional<limit_record> {
    // Without a valid lease this daemon may be cut off from the log, and then
    // all other holders would seem to have expired.
    if (!has_valid_lease(now)) {
        return std::nullopt;
    }
    const auto recovery_timeout = settings_.lease_ +
                                  settings_.max_work_duration_ +
                                  settings_.drift_margin_;
    for (const auto& [holder, last_read] : last_read_) {
        const auto entry = ledger_.holders().find(holder);
        if (entry != ledger_.holders().end() &&
            now >= last_read + recovery_timeout) {
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
                       [](const auto& element) {
                           return element.second.units_ +
                                      element.second.outstanding_ >
                                  0;
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

auto weight_store_permits::concurrency_limit_name(load_kind kind) const
    -> const std::string& {
    return kind == load_kind::model ? limits_.models_at_once_
                                    : limits_.adapters_at_once_;
}

auto weight_store_permits::try_acquire(load_kind kind, time_point now) -> bool {
    const auto load_permit =
        holder_.try_acquire(concurrency_limit_name(kind), now);
    if (!load_permit) {
        return false;
    }
    if (kind == load_kind::model) {
        const auto start_permit =
            holder_.try_acquire(limits_.models_per_second_, now);
        if (!start_permit) {
            holder_.release(*load_permit, now);
            return false;
        }
        // The unit stays in use until its minimum hold time is over.
        holder_.release(*start_permit, now);
    }
    permits_[kind].push_back(*load_permit);
    return true;
}

auto weight_store_permits::release(load_kind kind, time_point now) -> void {
    // Permits of one limit are interchangeable.
    auto& permits = permits_[kind];
    if (!permits.empty()) {
        holder_.release(permits.back(), now);
        permits.pop_back();
    }
}

} // namespace basilstream::coordination
