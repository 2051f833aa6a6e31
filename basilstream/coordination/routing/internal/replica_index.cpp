#include "basilstream/coordination/routing/internal/replica_index.hpp"

#include <algorithm>

namespace basilstream::coordination::internal {

auto runner_entry::load(time_point now, duration report_lifetime) const
    -> double {
    if (!external_load_) {
        return in_flight_;
    }
    const auto age = std::max(now - external_load_->received_, duration{0});
    if (age >= report_lifetime) {
        return in_flight_;
    }
    const auto weight = 1.0 - static_cast<double>(age.count()) /
                                  static_cast<double>(report_lifetime.count());
    return in_flight_ + weight * external_load_->requests_;
}

auto prefix_set::insert(std::uint64_t hash, std::size_t capacity) -> void {
    if (!hashes_.insert(hash).second) {
        return;
    }
    order_.push_back(hash);
    // erase() leaves the hash in order_, which saves a linear search. Capacity
    // therefore bounds order_, including erased hashes.
    while (order_.size() > capacity) {
        hashes_.erase(order_.front());
        order_.pop_front();
    }
}

auto prefix_set::clear() -> void {
    hashes_.clear();
    order_.clear();
}

auto replica::has_adapter(std::string_view adapter) const -> bool {
    return adapter.empty() ||
           std::find(resident_.adapters_.begin(), resident_.adapters_.end(),
                     adapter) != resident_.adapters_.end();
}

} // namespace basilstream::coordination::internal
