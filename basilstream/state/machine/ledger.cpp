// The part of the state that counts the memory of runners.
#include <algorithm>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/state/machine/machine.hpp"

namespace basilstream::state {
namespace {

auto is_foreign(const resident& entry) -> bool {
    return entry.load_order_ == record_id{};
}

auto is_unsettled(const resident& entry) -> bool {
    return entry.state_ == resident_state::loading ||
           entry.state_ == resident_state::unloading;
}

auto is_load(order_action action) -> bool {
    return action == order_action::load_model ||
           action == order_action::load_adapter;
}

auto concerns_adapter(order_action action) -> bool {
    return action == order_action::load_adapter ||
           action == order_action::unload_adapter;
}

} // namespace

template <class Body>
auto machine::check_runner(const Body& body) const -> rejection {
    const auto reason = check_owner(body.shard_, body.epoch_);
    if (reason != rejection::none) {
        return reason;
    }
    const auto* runner = find_runner(body.runner_);
    if (runner == nullptr || runner->gone_) {
        return rejection::unknown_runner;
    }
    if (runner->shard_ != body.shard_) {
        return rejection::wrong_shard;
    }
    return runner->boot_id_ == body.boot_id_ ? rejection::none
                                             : rejection::stale_boot;
}

auto machine::accept(log_offset offset, const record_id& /*id*/,
                     const runner_boot& body) -> rejection {
    if (body.runner_.empty() || body.boot_id_.empty()) {
        return rejection::malformed;
    }
    const auto owner = check_owner(body.shard_, body.epoch_);
    if (owner != rejection::none) {
        return owner;
    }
    const auto* known = find_runner(body.runner_);
    const auto held = known == nullptr ? std::string{} : known->boot_id_;
    if (held == body.boot_id_) {
        return known->gone_ ? rejection::retired_boot : rejection::stale_boot;
    }
    if (held != body.previous_boot_id_) {
        return rejection::stale_boot;
    }
    if (known != nullptr && !known->gone_ && known->shard_ != body.shard_) {
        return rejection::wrong_shard;
    }
    auto& runner = runners_[body.runner_];
    clear_runner(runner);
    std::erase(gone_, body.runner_);
    runner.name_ = body.runner_;
    runner.shard_ = body.shard_;
    runner.address_ = body.address_;
    runner.zone_ = body.zone_;
    runner.boot_id_ = body.boot_id_;
    runner.memory_bytes_ = body.memory_bytes_;
    runner.role_ = runner_role::mixed;
    runner.gone_ = false;
    runner.boot_offset_ = offset;
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const runner_gone& body) -> rejection {
    const auto reason = check_runner(body);
    if (reason == rejection::none) {
        auto& runner = runners_.find(body.runner_)->second;
        clear_runner(runner);
        retire(runner);
        runner.gone_ = true;
    }
    return reason;
}

auto machine::retire(const runner_state& runner) -> void {
    gone_.push_back(runner.name_);
    if (gone_.size() > max_gone_runners) {
        runners_.erase(gone_.front());
        gone_.pop_front();
    }
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const resident_seen& body) -> rejection {
    const auto reason = check_runner(body);
    if (reason != rejection::none) {
        return reason;
    }
    auto& runner = runners_.find(body.runner_)->second;
    if (runner.find(body.resident_) != nullptr) {
        return rejection::already_resident;
    }
    add_resident(runner, {body.resident_, body.bytes_, resident_state::foreign,
                          record_id{}});
    return rejection::none;
}

auto machine::accept(log_offset /*offset*/, const record_id& id,
                     const order_intent& body) -> rejection {
    const auto reason = check_intent(body);
    if (reason != rejection::none) {
        return reason;
    }
    auto& runner = runners_.find(body.runner_)->second;
    if (is_load(body.action_)) {
        add_resident(
            runner, {body.resident_, body.bytes_, resident_state::loading, id});
    } else if (body.action_ != order_action::set_role) {
        std::ignore = holds(!is_last_replica(runner, body.resident_),
                            "model_stays_reachable", body.resident_.model_);
        auto* entry = runner.find(body.resident_);
        entry->state_ = resident_state::unloading;
    }
    orders_.insert_or_assign(id, open_order{id, body});
    runner.open_orders_.push_back(id);
    check_ledger(runner);
    return rejection::none;
}

auto machine::check_intent(const order_intent& body) const -> rejection {
    const auto reason = check_runner(body);
    if (reason != rejection::none) {
        return reason;
    }
    const auto& runner = *find_runner(body.runner_);
    if (runner.open_orders_.size() >= max_open_orders) {
        return rejection::too_many_orders;
    }
    if (body.action_ == order_action::set_role) {
        return check_role(runner, body);
    }
    if (body.resident_.model_.empty() ||
        concerns_adapter(body.action_) == body.resident_.adapter_.empty()) {
        return rejection::malformed;
    }
    return is_load(body.action_) ? check_load(runner, body)
                                 : check_unload(runner, body);
}

auto machine::check_load(const runner_state& runner,
                         const order_intent& body) const -> rejection {
    if (body.bytes_ == 0) {
        return rejection::malformed;
    }
    if (runner.find(body.resident_) != nullptr) {
        return rejection::already_resident;
    }
    const auto used = counted_bytes(runner);
    const auto fits = used <= runner.memory_bytes_ &&
                      body.bytes_ <= runner.memory_bytes_ - used;
    if (guards_.capacity_check_ && !fits) {
        return rejection::capacity;
    }
    if (body.action_ == order_action::load_adapter) {
        const auto* base =
            runner.find({body.resident_.model_, {}, body.resident_.version_});
        if (base == nullptr || base->state_ != resident_state::ready) {
            return rejection::model_missing;
        }
    }
    return rejection::none;
}

auto machine::check_unload(const runner_state& runner,
                           const order_intent& body) const -> rejection {
    const auto* entry = runner.find(body.resident_);
    if (entry == nullptr || is_unsettled(*entry)) {
        return rejection::not_resident;
    }
    const auto depends = [&](const auto& other) {
        return other.key_.model_ == body.resident_.model_ &&
               other.key_.version_ == body.resident_.version_ &&
               !other.key_.adapter_.empty();
    };
    if (body.action_ == order_action::unload_model &&
        std::any_of(runner.residents_.begin(), runner.residents_.end(),
                    depends)) {
        return rejection::referenced;
    }
    if (guards_.last_replica_check_ &&
        is_last_replica(runner, body.resident_)) {
        return rejection::last_replica;
    }
    return rejection::none;
}

auto machine::check_role(const runner_state& runner,
                         const order_intent& body) const -> rejection {
    const auto changes_role = [&](const auto& id) {
        return orders_.at(id).intent_.action_ == order_action::set_role;
    };
    if (std::any_of(runner.open_orders_.begin(), runner.open_orders_.end(),
                    changes_role)) {
        return rejection::too_many_orders;
    }
    const auto last = [&](const auto& entry) {
        return is_last_replica(runner, entry.key_, true);
    };
    if (body.role_ == runner_role::prefill && guards_.last_replica_check_ &&
        std::any_of(runner.residents_.begin(), runner.residents_.end(), last)) {
        return rejection::last_replica;
    }
    return rejection::none;
}

auto machine::counted_bytes(const runner_state& runner) const -> std::uint64_t {
    if (guards_.count_unresolved_) {
        return runner.committed_bytes_ + runner.foreign_bytes_;
    }
    auto sum = std::uint64_t{0};
    for (const auto& entry : runner.residents_) {
        sum += is_unsettled(entry) ? 0 : entry.bytes_;
    }
    return sum;
}

auto machine::accept(log_offset /*offset*/, const record_id& /*id*/,
                     const order_outcome& body) -> rejection {
    const auto reason = check_owner(body.shard_, body.epoch_);
    if (reason != rejection::none) {
        return reason;
    }
    const auto found = orders_.find(body.order_);
    if (found == orders_.end()) {
        return rejection::unknown_order;
    }
    if (found->second.intent_.shard_ != body.shard_) {
        return rejection::wrong_shard;
    }
    const auto order = found->second;
    settle(order, body.result_);
    return rejection::none;
}

auto machine::settle(const open_order& order, order_result outcome) -> void {
    const auto& intent = order.intent_;
    auto& runner = runners_.find(intent.runner_)->second;
    close_order(runner, order.id_);
    if (intent.action_ == order_action::set_role) {
        runner.role_ =
            outcome == order_result::done ? intent.role_ : runner.role_;
        return;
    }
    const auto gone =
        is_load(intent.action_) ? order_result::failed : order_result::done;
    if (outcome == gone) {
        remove_resident(runner, intent.resident_);
        return;
    }
    auto* entry = runner.find(intent.resident_);
    if (outcome == order_result::failed_resident) {
        entry->state_ = resident_state::failed;
    } else {
        entry->state_ = is_foreign(*entry) ? resident_state::foreign
                                           : resident_state::ready;
    }
}

auto machine::close_order(runner_state& runner, const record_id& id) -> void {
    std::erase(runner.open_orders_, id);
    orders_.erase(id);
}

auto machine::add_resident(runner_state& runner, resident entry) -> void {
    auto& sum =
        is_foreign(entry) ? runner.foreign_bytes_ : runner.committed_bytes_;
    sum += entry.bytes_;
    index_resident(runner.name_, entry.key_);
    runner.residents_.push_back(std::move(entry));
}

auto machine::remove_resident(runner_state& runner, const resident_key& key)
    -> void {
    const auto* entry = runner.find(key);
    auto& sum =
        is_foreign(*entry) ? runner.foreign_bytes_ : runner.committed_bytes_;
    sum -= entry->bytes_;
    forget_resident(runner.name_, key);
    runner.residents_.erase(runner.residents_.begin() +
                            (entry - runner.residents_.data()));
}

auto machine::clear_runner(runner_state& runner) -> void {
    for (const auto& entry : runner.residents_) {
        forget_resident(runner.name_, entry.key_);
    }
    for (const auto& id : runner.open_orders_) {
        orders_.erase(id);
    }
    runner.residents_.clear();
    runner.open_orders_.clear();
    runner.committed_bytes_ = 0;
    runner.foreign_bytes_ = 0;
}

auto machine::index_resident(const std::string& runner, const resident_key& key)
    -> void {
    residents_[key.model_].emplace_back(runner, key);
}

auto machine::forget_resident(const std::string& runner,
                              const resident_key& key) -> void {
    const auto found = residents_.find(key.model_);
    std::erase(found->second, std::pair{runner, key});
    if (found->second.empty()) {
        residents_.erase(found);
    }
}

// Counts anew, so that a fault of the running sums shows as well.
auto machine::check_ledger(const runner_state& runner) const -> void {
    auto sum = std::uint64_t{0};
    for (const auto& entry : runner.residents_) {
        sum += is_foreign(entry) ? 0 : entry.bytes_;
    }
    std::ignore = holds(sum == runner.committed_bytes_, "ledger_sum_agrees",
                        runner.name_);
    std::ignore = holds(sum <= runner.memory_bytes_, "ledger_within_capacity",
                        runner.name_);
}

} // namespace basilstream::state
