#include <algorithm>
#include <utility>

#include "testing/engine/engine.hpp"

namespace basilstream::testing {
namespace {

constexpr auto finished_orders_kept = std::size_t{256};

auto is_load(order_action action) -> bool {
    return action == order_action::load_model ||
           action == order_action::load_adapter;
}

} // namespace

auto engine::order(const engine_order& wanted) -> order_answer {
    if (known_orders_.contains(wanted.order_id_)) {
        return order_answer::accepted;
    }
    if (settings_.checks_fencing_ && wanted.fencing_ < highest_fencing_) {
        ++books_.fencing_refusals_;
        return order_answer::stale_fencing;
    }
    highest_fencing_ = std::max(highest_fencing_, wanted.fencing_);
    if (is_load(wanted.action_)) {
        return load(wanted);
    }
    known_orders_.insert(wanted.order_id_);
    books_.orders_.push_back(wanted);
    if (wanted.action_ == order_action::set_role) {
        role_ = wanted.role_;
        finish_order(wanted.order_id_, "done", "");
    } else {
        unload(wanted);
    }
    return order_answer::accepted;
}

auto engine::load(const engine_order& wanted) -> order_answer {
    auto* held = find_resident(wanted.model_, wanted.adapter_, wanted.version_);
    if (held == nullptr &&
        used_bytes() + wanted.bytes_ > settings_.memory_bytes_) {
        ++books_.memory_refusals_;
        return order_answer::insufficient_memory;
    }
    known_orders_.insert(wanted.order_id_);
    books_.orders_.push_back(wanted);
    if (held != nullptr) {
        if (held->state_ == resident_state::loading) {
            held->joined_orders_.push_back(wanted.order_id_);
        } else if (!held->unload_orders_.empty()) {
            finish_order(wanted.order_id_, "failed", "unloading");
        } else {
            finish_order(wanted.order_id_, "done", "already resident");
        }
        return order_answer::accepted;
    }
    if (wanted.action_ == order_action::load_adapter &&
        find_ready(wanted.model_, "", wanted.version_) == nullptr) {
        finish_order(wanted.order_id_, "failed", "model not resident");
        return order_answer::accepted;
    }
    residents_.push_back({.model_ = wanted.model_,
                          .adapter_ = wanted.adapter_,
                          .version_ = wanted.version_,
                          .bytes_ = wanted.bytes_,
                          .order_id_ = wanted.order_id_});
    books_.peak_used_bytes_ = std::max(books_.peak_used_bytes_, used_bytes());
    new_loads_.push_back(wanted);
    return order_answer::accepted;
}

auto engine::take_loads() -> std::vector<engine_order> {
    return std::exchange(new_loads_, {});
}

auto engine::load_ended(const std::string& order_id, bool loaded) -> void {
    const auto held = std::find_if(
        residents_.begin(), residents_.end(),
        [&](const resident& other) { return other.order_id_ == order_id; });
    if (held == residents_.end()) {
        return;
    }
    const auto outcome = loaded ? "done" : "failed";
    finish_order(order_id, outcome, "");
    for (const auto& joined : held->joined_orders_) {
        finish_order(joined, outcome, "");
    }
    held->joined_orders_.clear();
    if (loaded) {
        ++books_.loads_;
        held->state_ = resident_state::ready;
    } else {
        for (const auto& unloading : held->unload_orders_) {
            finish_order(unloading, "done", "load failed");
        }
        residents_.erase(held);
    }
    sweep_unloads();
}

auto engine::unload(const engine_order& wanted) -> void {
    auto* held = find_resident(wanted.model_, wanted.adapter_, wanted.version_);
    if (held == nullptr) {
        finish_order(wanted.order_id_, "done", "not resident");
        return;
    }
    held->unload_orders_.push_back(wanted.order_id_);
    sweep_unloads();
}

auto engine::sweep_unloads() -> void {
    for (auto held = residents_.begin(); held != residents_.end();) {
        const auto goes = !held->unload_orders_.empty() &&
                          held->state_ == resident_state::ready &&
                          !in_use(*held);
        if (!goes) {
            ++held;
            continue;
        }
        ++books_.unloads_;
        for (const auto& id : held->unload_orders_) {
            finish_order(id, "done", "");
        }
        held = residents_.erase(held);
    }
}

auto engine::in_use(const resident& held) const -> bool {
    const auto uses = [&](const sequence& member) {
        return member.request_.model_ == held.model_ &&
               member.version_ == held.version_ &&
               (held.adapter_.empty() ||
                member.request_.adapter_ == held.adapter_);
    };
    return std::any_of(running_.begin(), running_.end(), uses) ||
           std::any_of(waiting_.begin(), waiting_.end(), uses);
}

auto engine::find_resident(const std::string& model, const std::string& adapter,
                           const std::string& version) -> resident* {
    for (auto& held : residents_) {
        if (held.model_ == model && held.adapter_ == adapter &&
            held.version_ == version) {
            return &held;
        }
    }
    return nullptr;
}

auto engine::find_ready(const std::string& model, const std::string& adapter,
                        const std::string& version) -> resident* {
    if (!adapter.empty() && find_ready(model, "", version) == nullptr) {
        return nullptr;
    }
    for (auto& held : residents_) {
        if (held.model_ == model && held.adapter_ == adapter &&
            (version.empty() || held.version_ == version) &&
            held.state_ == resident_state::ready &&
            held.unload_orders_.empty()) {
            return &held;
        }
    }
    return nullptr;
}

auto engine::finish_order(const std::string& id, std::string_view outcome,
                          std::string_view detail) -> void {
    finished_orders_.push_back({id, std::string{outcome}, std::string{detail}});
    if (finished_orders_.size() > finished_orders_kept) {
        finished_orders_.pop_front();
    }
}

auto engine::used_bytes() const -> std::uint64_t {
    auto used = std::uint64_t{0};
    for (const auto& held : residents_) {
        used += held.bytes_;
    }
    return used;
}

} // namespace basilstream::testing
