#include <algorithm>
#include <array>
#include <tuple>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/limits/limits.hpp"

namespace basilstream::coordination {

auto limit_ledger::restore(std::map<std::string, holder, std::less<>> holders,
                           std::uint64_t next_wish) -> limit_ledger {
    auto ledger = limit_ledger{};
    ledger.holders_ = std::move(holders);
    ledger.next_wish_ = next_wish;
    return ledger;
}

auto limit_ledger::set_limit(const std::string& name, int units) -> void {
    limits_[name] = units;
    grant_free_units(name);
}

auto limit_ledger::limit(std::string_view name) const -> int {
    const auto found = limits_.find(name);
    return found == limits_.end() ? 0 : found->second;
}

auto limit_ledger::share_of(std::string_view holder,
                            std::string_view name) const -> share {
    const auto owner = holders_.find(holder);
    if (owner == holders_.end()) {
        return {};
    }
    const auto found = owner->second.shares_.find(name);
    return found == owner->second.shares_.end() ? share{} : found->second;
}

auto limit_ledger::granted(std::string_view name) const -> int {
    auto sum = 0;
    for (const auto& [holder, entry] : holders_) {
        sum += share_of(holder, name).units_;
    }
    return sum;
}

auto limit_ledger::missing(std::string_view name) const -> int {
    auto sum = 0;
    for (const auto& [holder, entry] : holders_) {
        sum += share_of(holder, name).missing_;
    }
    return sum;
}

auto limit_ledger::holders_of(std::string_view name) const -> int {
    return static_cast<int>(
        std::count_if(holders_.begin(), holders_.end(), [&](const auto& each) {
            const auto share = share_of(each.first, name);
            return share.units_ + share.missing_ > 0;
        }));
}

auto limit_ledger::apply(const limit_record& record) -> bool {
    using handler = bool (limit_ledger::*)(const limit_record&);
    static constexpr auto handlers =
        std::array<std::pair<limit_action, handler>, 4>{{
            {limit_action::acquire, &limit_ledger::apply_acquire},
            {limit_action::give_back, &limit_ledger::apply_give_back},
            {limit_action::renew, &limit_ledger::apply_renew},
            {limit_action::recover, &limit_ledger::apply_recover},
        }};
    for (const auto& [action, apply_action] : handlers) {
        if (action == record.action_) {
            return (this->*apply_action)(record);
        }
    }
    return false;
}

// Returns the writer if it holds anything and the record is new.
auto limit_ledger::known(const limit_record& record) -> holder* {
    const auto found = holders_.find(record.holder_);
    if (found == holders_.end() ||
        !guards_.is_new_(record.sequence_, found->second.newest_sequence_)) {
        return nullptr;
    }
    found->second.newest_sequence_ = record.sequence_;
    return &found->second;
}

auto limit_ledger::apply_acquire(const limit_record& record) -> bool {
    if (record.units_ < 0 || !limits_.contains(record.limit_)) {
        return false;
    }
    holders_.try_emplace(record.holder_);
    auto* const writer = known(record);
    if (writer == nullptr) {
        return false;
    }
    auto& share = writer->shares_[record.limit_];
    const auto wanted = std::min(record.units_, limit(record.limit_));
    if (share.missing_ == 0) {
        share.wished_at_ = next_wish_++;
    }
    share.missing_ = std::max(wanted - share.units_, 0);
    grant_free_units(record.limit_);
    return true;
}

auto limit_ledger::apply_give_back(const limit_record& record) -> bool {
    const auto units = share_of(record.holder_, record.limit_).units_;
    if (record.units_ <= 0 || record.units_ > units) {
        return false;
    }
    auto* const writer = known(record);
    if (writer == nullptr) {
        return false;
    }
    // The holder stays, also without units, until it is recovered: its newest
    // sequence keeps late repeats of its records out while its lease lasts.
    writer->shares_[record.limit_].units_ -= record.units_;
    grant_free_units(record.limit_);
    return true;
}

auto limit_ledger::apply_renew(const limit_record& record) -> bool {
    return known(record) != nullptr;
}

auto limit_ledger::apply_recover(const limit_record& record) -> bool {
    const auto found = holders_.find(record.subject_);
    if (found == holders_.end() || record.subject_ == record.holder_ ||
        !guards_.same_lease_(record.subject_sequence_,
                             found->second.newest_sequence_)) {
        return false;
    }
    // The writer holds units or waits for some; its lease is renewed, too.
    if (known(record) == nullptr) {
        return false;
    }
    holders_.erase(found);
    for (const auto& [name, units] : limits_) {
        grant_free_units(name);
    }
    return true;
}

auto limit_ledger::next_waiting(const std::string& name) -> share* {
    share* first = nullptr;
    for (auto& [holder, entry] : holders_) {
        const auto found = entry.shares_.find(name);
        if (found == entry.shares_.end() || found->second.missing_ == 0) {
            continue;
        }
        auto& waiting = found->second;
        if (first == nullptr ||
            std::tie(waiting.units_, waiting.wished_at_) <
                std::tie(first->units_, first->wished_at_)) {
            first = &waiting;
        }
    }
    return first;
}

auto limit_ledger::grant_free_units(const std::string& name) -> void {
    const auto limit_units = limit(name);
    auto granted_units = granted(name);
    while (guards_.grantable_(granted_units, limit_units)) {
        auto* const waiting = next_waiting(name);
        // Asserted apart from the guard: the sum is what has to hold.
        if (waiting == nullptr ||
            !holds(granted_units < limit_units, "limit_sum", name)) {
            return;
        }
        ++waiting->units_;
        --waiting->missing_;
        ++granted_units;
    }
}

} // namespace basilstream::coordination
