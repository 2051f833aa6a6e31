#include <algorithm>
#include <array>
#include <tuple>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/coordination/limits/limits.hpp"

namespace basilstream::coordination {

auto limit_ledger::restore(std::map<std::string, holder, std::less<>> holders,
                           std::uint64_t next_request_order) -> limit_ledger {
    auto ledger = limit_ledger{};
    ledger.holders_ = std::move(holders);
    ledger.next_request_order_ = next_request_order;
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

auto limit_ledger::outstanding(std::string_view name) const -> int {
    auto sum = 0;
    for (const auto& [holder, entry] : holders_) {
        sum += share_of(holder, name).outstanding_;
    }
    return sum;
}

auto limit_ledger::count_holders(std::string_view name) const -> int {
    return static_cast<int>(std::count_if(
        holders_.begin(), holders_.end(), [&](const auto& element) {
            const auto share = share_of(element.first, name);
            return share.units_ + share.outstanding_ > 0;
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

// Advances the writer's sequence number and returns the writer. Returns null
// if the writer is not a holder or the record is not newer than its newest.
auto limit_ledger::accept_sequence(const limit_record& record) -> holder* {
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
    auto* const writer = accept_sequence(record);
    if (writer == nullptr) {
        return false;
    }
    auto& share = writer->shares_[record.limit_];
    const auto requested_units = std::min(record.units_, limit(record.limit_));
    if (share.outstanding_ == 0) {
        share.request_order_ = next_request_order_++;
    }
    share.outstanding_ = std::max(requested_units - share.units_, 0);
    grant_free_units(record.limit_);
    return true;
}

auto limit_ledger::apply_give_back(const limit_record& record) -> bool {
    const auto units = share_of(record.holder_, record.limit_).units_;
    if (record.units_ <= 0 || record.units_ > units) {
        return false;
    }
    auto* const writer = accept_sequence(record);
    if (writer == nullptr) {
        return false;
    }
    // The holder stays in the ledger without units until it is recovered: its
    // sequence number rejects late duplicates of its records.
    writer->shares_[record.limit_].units_ -= record.units_;
    grant_free_units(record.limit_);
    return true;
}

auto limit_ledger::apply_renew(const limit_record& record) -> bool {
    return accept_sequence(record) != nullptr;
}

auto limit_ledger::apply_recover(const limit_record& record) -> bool {
    const auto found = holders_.find(record.subject_);
    if (found == holders_.end() || record.subject_ == record.holder_ ||
        !guards_.lease_unchanged_(record.subject_sequence_,
                                  found->second.newest_sequence_)) {
        return false;
    }
    // Only a holder may recover another one; the record also renews its lease.
    if (accept_sequence(record) == nullptr) {
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
        if (found == entry.shares_.end() || found->second.outstanding_ == 0) {
            continue;
        }
        auto& waiting = found->second;
        if (first == nullptr ||
            std::tie(waiting.units_, waiting.request_order_) <
                std::tie(first->units_, first->request_order_)) {
            first = &waiting;
        }
    }
    return first;
}

auto limit_ledger::grant_free_units(const std::string& name) -> void {
    const auto limit_units = limit(name);
    auto granted_units = granted(name);
    while (guards_.may_grant_(granted_units, limit_units)) {
        auto* const waiting = next_waiting(name);
        // Checks the invariant itself, also when a test disables the guard.
        if (waiting == nullptr ||
            !holds(granted_units < limit_units, "limit_sum", name)) {
            return;
        }
        ++waiting->units_;
        --waiting->outstanding_;
        ++granted_units;
    }
}

} // namespace basilstream::coordination
