#include "testing/state_soak/fakes.hpp"

#include <algorithm>

#include "basilstream/protocol/record_codec/record_codec.hpp"

namespace basilstream::testing {
namespace {

using coordination::order_answer;
using coordination::reported_order;
using coordination::reported_resident;
using state::order_action;

constexpr auto kept_orders = std::size_t{256};

} // namespace

auto fake_log::append(std::optional<state::envelope> entry)
    -> state::log_offset {
    if (entry) {
        entry = protocol::decode_record(protocol::encode_record(*entry));
    }
    entries_.push_back(std::move(entry));
    const auto offset = first_ + entries_.size() - 1;
    while (entries_.size() > retention_) {
        entries_.pop_front();
        ++first_;
    }
    return offset;
}

auto fake_log::read(state::log_offset from, std::uint32_t max) const
    -> std::vector<coordination::log_entry> {
    auto batch = std::vector<coordination::log_entry>{};
    const auto end = std::min(bounds().next_, from + max);
    for (auto offset = from; offset < end; ++offset) {
        batch.push_back({offset, entries_[offset - first_]});
    }
    return batch;
}

fake_runner::fake_runner(std::string name, std::string zone, std::string shard,
                         std::uint64_t memory, bool checks_fencing)
    : name_{std::move(name)}, zone_{std::move(zone)}, shard_{std::move(shard)},
      memory_{memory}, checks_fencing_{checks_fencing} {}

auto fake_runner::restart(const std::string& boot_id) -> void {
    boot_id_ = boot_id;
    up_ = true;
    residents_.clear();
    known_.clear();
    finished_.clear();
    role_ = state::runner_role::mixed;
    highest_fencing_ = 0;
    sequence_ = 0;
    refresh_report();
}

auto fake_runner::on_order(const coordination::order_command& order,
                           bool& began) -> order_answer {
    if (checks_fencing_ && order.fencing_ < highest_fencing_) {
        return order_answer::stale_fencing;
    }
    highest_fencing_ = std::max(highest_fencing_, order.fencing_);
    if (!known_.insert(order.order_).second) {
        return order_answer::accepted;
    }
    if (order.action_ == order_action::set_role) {
        role_ = order.role_;
        finish(order.order_, reported_order::outcome::done);
    } else if (order.action_ == order_action::load_model ||
               order.action_ == order_action::load_adapter) {
        began = residents_
                    .emplace(order.resident_,
                             reported_resident{
                                 order.resident_, order.bytes_, order.order_,
                                 reported_resident::phase::loading})
                    .second;
        if (!began) {
            finish(order.order_, reported_order::outcome::refused);
        }
    } else {
        unload(order);
    }
    return order_answer::accepted;
}

auto fake_runner::unload(const coordination::order_command& order) -> void {
    const auto erased = residents_.erase(order.resident_) > 0;
    finish(order.order_, erased ? reported_order::outcome::done
                                : reported_order::outcome::failed);
}

auto fake_runner::finish_load(const state::record_id& order, bool succeeds,
                              bool keeps_memory) -> void {
    for (auto entry = residents_.begin(); entry != residents_.end(); ++entry) {
        if (entry->second.order_ != order ||
            entry->second.phase_ != reported_resident::phase::loading) {
            continue;
        }
        if (succeeds) {
            entry->second.phase_ = reported_resident::phase::ready;
        } else if (keeps_memory) {
            entry->second.phase_ = reported_resident::phase::failed;
        } else {
            residents_.erase(entry);
        }
        finish(order, succeeds ? reported_order::outcome::done
                               : reported_order::outcome::failed);
        return;
    }
}

auto fake_runner::finish(const state::record_id& id,
                         reported_order::outcome outcome) -> void {
    finished_.push_back({id, outcome, {}});
    if (finished_.size() > kept_orders) {
        finished_.erase(finished_.begin());
    }
}

auto fake_runner::load_foreign(const state::resident_key& key,
                               std::uint64_t bytes) -> bool {
    auto used = bytes;
    for (const auto& [held, entry] : residents_) {
        used += entry.bytes_;
    }
    return used <= memory_ &&
           residents_
               .emplace(key, reported_resident{key, bytes, std::nullopt,
                                               reported_resident::phase::ready})
               .second;
}

auto fake_runner::refresh_report() -> void {
    report_ = {boot_id_, ++sequence_, memory_, {}, finished_};
    for (const auto& [key, entry] : residents_) {
        report_.residents_.push_back(entry);
    }
}

auto fake_runner::ordered_bytes() const -> std::uint64_t {
    auto sum = std::uint64_t{0};
    for (const auto& [key, entry] : residents_) {
        sum += entry.order_ ? entry.bytes_ : 0;
    }
    return sum;
}

auto fake_runner::serves(const std::string& model) const -> bool {
    return up_ && role_ != state::runner_role::prefill &&
           std::any_of(residents_.begin(), residents_.end(),
                       [&](const auto& entry) {
                           return entry.first.model_ == model &&
                                  entry.first.adapter_.empty() &&
                                  entry.second.order_.has_value() &&
                                  entry.second.phase_ ==
                                      reported_resident::phase::ready;
                       });
}

} // namespace basilstream::testing
