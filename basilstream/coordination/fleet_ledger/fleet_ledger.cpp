#include "basilstream/coordination/fleet_ledger/fleet_ledger.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

auto find_model(std::vector<held_model>& models, const std::string& name)
    -> held_model* {
    const auto found =
        std::find_if(models.begin(), models.end(), [&](const auto& candidate) {
            return candidate.name_ == name;
        });
    return found == models.end() ? nullptr : &*found;
}

auto find_adapter(held_model& model, const std::string& name) -> held_adapter* {
    const auto found = std::find_if(
        model.adapters_.begin(), model.adapters_.end(),
        [&](const auto& candidate) { return candidate.name_ == name; });
    return found == model.adapters_.end() ? nullptr : &*found;
}

auto set_model(std::vector<held_model>& models, const std::string& name,
               load_state state) -> void {
    if (auto* const held = find_model(models, name)) {
        held->state_ = state;
    } else {
        models.push_back({name, state, {}});
    }
}

auto set_adapter(std::vector<held_model>& models, const std::string& model,
                 const std::string& adapter, load_state state) -> void {
    auto* const held = find_model(models, model);
    if (held == nullptr) {
        return;
    }
    if (auto* const resident = find_adapter(*held, adapter)) {
        resident->state_ = state;
    } else {
        held->adapters_.push_back({adapter, state});
    }
}

// Applies the effect of an order that has not been answered yet.
auto apply_sent_step(std::vector<held_model>& models, const fleet_step& step)
    -> void {
    const auto state =
        step.is_load_ ? load_state::loading : load_state::unloading;
    if (step.adapter_.empty()) {
        set_model(models, step.model_, state);
    } else {
        set_adapter(models, step.model_, step.adapter_, state);
    }
}

auto erase_holding(std::vector<held_model>& models, const std::string& model,
                   const std::string& adapter) -> void {
    if (adapter.empty()) {
        std::erase_if(models, [&](const auto& candidate) {
            return candidate.name_ == model;
        });
    } else if (auto* const held = find_model(models, model)) {
        std::erase_if(held->adapters_, [&](const auto& candidate) {
            return candidate.name_ == adapter;
        });
    }
}

auto holdings_of(const fleet_report& report) -> std::vector<held_model> {
    auto models = std::vector<held_model>{};
    for (const auto& model : report.models_) {
        auto held = held_model{model.name_, load_state::ready, {}};
        for (const auto& adapter : model.adapters_) {
            held.adapters_.push_back({adapter, load_state::ready});
        }
        models.push_back(std::move(held));
    }
    for (const auto& name : report.adapters_loading_) {
        const auto slash = name.find('/');
        if (slash != std::string::npos) {
            set_adapter(models, name.substr(0, slash), name.substr(slash + 1),
                        load_state::loading);
        }
    }
    return models;
}

} // namespace

auto fleet_ledger::reset() -> void {
    changes_.clear();
    for (auto& [id, runner] : runners_) {
        runner = runner_state{.server_ = runner.server_,
                              .next_report_at_ = time_point::min()};
    }
}

auto fleet_ledger::set_runner(const backend_server& server) -> void {
    auto& runner = runners_[server.id_];
    const auto restarted = runner.server_.started_at_ != server.started_at_ ||
                           runner.server_.address_ != server.address_;
    if (restarted) {
        runner = runner_state{.next_report_at_ = time_point::min()};
    }
    runner.server_ = server;
}

auto fleet_ledger::remove_runner(const std::string& id) -> void {
    runners_.erase(id);
}

auto fleet_ledger::reports_due(time_point now) -> std::vector<std::string> {
    auto due = std::vector<std::string>{};
    for (auto& [id, runner] : runners_) {
        if (!runner.report_pending_ && !runner.sent_step_ &&
            runner.next_report_at_ && now >= *runner.next_report_at_) {
            runner.report_pending_ = true;
            due.push_back(id);
        }
    }
    return due;
}

auto fleet_ledger::on_report_failed(const std::string& id, time_point now)
    -> void {
    const auto found = runners_.find(id);
    if (found != runners_.end()) {
        found->second.report_pending_ = false;
        found->second.next_report_at_ = now + settings_.report_interval_;
    }
}

auto fleet_ledger::on_report(const std::string& id, const fleet_report& report,
                             time_point now) -> void {
    const auto found = runners_.find(id);
    if (found == runners_.end()) {
        return;
    }
    auto& runner = found->second;
    runner.report_pending_ = false;
    if (runner.sent_step_) {
        // The report may or may not include the order that was sent.
        return;
    }
    const auto stale = report.accepted_orders_ < runner.accepted_orders_;
    if (!stale) {
        runner.stale_since_.reset();
    } else if (!runner.stale_since_) {
        runner.stale_since_ = now;
    }
    if (stale &&
        now - *runner.stale_since_ < settings_.restart_detection_time_) {
        runner.next_report_at_ = now + settings_.report_interval_;
        return;
    }
    if (stale) {
        runner.open_orders_.clear();
    }
    apply_report(runner, report, now);
}

auto fleet_ledger::apply_report(runner_state& runner,
                                const fleet_report& report, time_point now)
    -> void {
    runner.state_known_ = true;
    runner.stale_since_.reset();
    runner.accepted_orders_ = report.accepted_orders_;
    runner.models_ = holdings_of(report);
    carry_over_open_orders(runner, report, now);
    const auto has_own_model_order = std::any_of(
        runner.open_orders_.begin(), runner.open_orders_.end(),
        [](const open_order& order) { return order.adapter_.empty(); });
    runner.previous_owner_order_ =
        report.model_order_open_ && !has_own_model_order;
    const auto order_in_progress =
        runner.previous_owner_order_ || has_own_model_order;
    runner.next_report_at_ =
        order_in_progress ? std::optional{now + settings_.report_interval_}
                          : std::nullopt;
}

// Keeps the open orders that the report does not show as completed, and records
// the changes due to the others.
auto fleet_ledger::carry_over_open_orders(runner_state& runner,
                                          const fleet_report& report,
                                          time_point now) -> void {
    auto remaining_orders = std::vector<open_order>{};
    for (const auto& order : std::exchange(runner.open_orders_, {})) {
        auto* const model = find_model(runner.models_, order.model_);
        const auto present = model != nullptr &&
                             (order.adapter_.empty() ||
                              find_adapter(*model, order.adapter_) != nullptr);
        const auto done = present == order.is_load_;
        const auto recent = now - order.accepted_at_ < settings_.report_lag_;
        const auto running = order.adapter_.empty() && report.model_order_open_;
        if (done) {
            add_change(
                runner, order.model_, order.adapter_,
                order.is_load_ ? load_state::ready : load_state::unloading, {});
        } else if (recent || running) {
            const auto state =
                order.is_load_ ? load_state::loading : load_state::unloading;
            if (order.adapter_.empty()) {
                set_model(runner.models_, order.model_, state);
            } else {
                set_adapter(runner.models_, order.model_, order.adapter_,
                            state);
            }
            remaining_orders.push_back(order);
        } else if (!order.is_load_) {
            // The unload was not executed: the model or adapter still serves.
            add_change(runner, order.model_, order.adapter_, load_state::ready,
                       {});
        }
    }
    runner.open_orders_ = std::move(remaining_orders);
}

auto fleet_ledger::model_order_open(const runner_state& runner) -> bool {
    return runner.previous_owner_order_ ||
           std::any_of(
               runner.open_orders_.begin(), runner.open_orders_.end(),
               [](const open_order& order) { return order.adapter_.empty(); });
}

auto fleet_ledger::runners_of(const std::string& service, time_point now) const
    -> std::vector<fleet_runner> {
    auto runners = std::vector<fleet_runner>{};
    for (const auto& [id, runner] : runners_) {
        if (runner.server_.service_ != service) {
            continue;
        }
        const auto open_adapter_orders = std::count_if(
            runner.open_orders_.begin(), runner.open_orders_.end(),
            [](const open_order& order) { return !order.adapter_.empty(); });
        const auto blocked = !runner.state_known_ ||
                             runner.sent_step_.has_value() ||
                             now < runner.next_order_at_;
        auto models = runner.models_;
        if (runner.sent_step_) {
            apply_sent_step(models, *runner.sent_step_);
        }
        runners.push_back(
            {.id_ = id,
             .draining_ = runner.server_.draining_,
             .models_blocked_ = blocked || model_order_open(runner),
             // A runner refuses orders for adapters while one for a model is in
             // progress.
             .adapters_blocked_ =
                 blocked || model_order_open(runner) ||
                 open_adapter_orders >= settings_.max_open_adapter_orders_,
             .models_ = std::move(models),
             .weights_in_memory_ = runner.server_.weights_in_memory_,
             .weights_on_disk_ = runner.server_.weights_on_disk_});
    }
    return runners;
}

auto fleet_ledger::begin_order(const fleet_step& step, time_point now)
    -> std::optional<std::uint64_t> {
    const auto found = runners_.find(step.runner_);
    if (found == runners_.end() || !found->second.state_known_ ||
        found->second.sent_step_ || now < found->second.next_order_at_) {
        return std::nullopt;
    }
    auto& runner = found->second;
    runner.sent_step_ = step;
    if (!step.is_load_) {
        add_change(runner, step.model_, step.adapter_, load_state::unloading,
                   {});
    }
    return runner.accepted_orders_;
}

auto fleet_ledger::on_order_postponed(const std::string& id,
                                      time_point next_order_at) -> void {
    const auto found = runners_.find(id);
    if (found == runners_.end() || !found->second.sent_step_) {
        return;
    }
    auto& runner = found->second;
    const auto step = *std::exchange(runner.sent_step_, std::nullopt);
    runner.next_order_at_ = next_order_at;
    if (!step.is_load_) {
        add_change(runner, step.model_, step.adapter_, load_state::ready, {});
    }
}

auto fleet_ledger::apply_accepted_order(runner_state& runner,
                                        const fleet_step& step, time_point now)
    -> void {
    ++runner.accepted_orders_;
    const auto state =
        step.is_load_ ? load_state::loading : load_state::unloading;
    if (step.adapter_.empty()) {
        set_model(runner.models_, step.model_, state);
        const auto due = now + step.expected_load_time_;
        runner.next_report_at_ =
            std::max(due, now + settings_.report_interval_);
    } else {
        set_adapter(runner.models_, step.model_, step.adapter_, state);
    }
    runner.open_orders_.push_back({step.model_, step.adapter_, step.is_load_,
                                   now, now + step.expected_load_time_});
    if (step.is_load_) {
        add_change(runner, step.model_, step.adapter_, load_state::loading,
                   step.expected_load_time_);
    }
}

auto fleet_ledger::on_answer(const std::string& id, order_result result,
                             time_point now) -> void {
    const auto found = runners_.find(id);
    if (found == runners_.end() || !found->second.sent_step_) {
        return;
    }
    auto& runner = found->second;
    const auto step = *std::exchange(runner.sent_step_, std::nullopt);
    const auto is_adapter_unload = !step.is_load_ && !step.adapter_.empty();
    switch (result) {
    case order_result::accepted:
        apply_accepted_order(runner, step, now);
        break;
    case order_result::already_done:
        // A runner unloads an unused adapter at once and counts the order as
        // accepted.
        runner.accepted_orders_ += is_adapter_unload ? 1 : 0;
        complete_order(runner,
                       {step.model_, step.adapter_, step.is_load_, now, now});
        break;
    case order_result::rejected:
    case order_result::unknown:
        runner.state_known_ = false;
        runner.next_report_at_ = now + settings_.report_lag_;
        if (!step.is_load_) {
            add_change(runner, step.model_, step.adapter_, load_state::ready,
                       {});
        }
        break;
    }
}

auto fleet_ledger::complete_order(runner_state& runner, const open_order& order)
    -> void {
    if (!order.is_load_) {
        erase_holding(runner.models_, order.model_, order.adapter_);
        return;
    }
    if (order.adapter_.empty()) {
        set_model(runner.models_, order.model_, load_state::ready);
    } else {
        set_adapter(runner.models_, order.model_, order.adapter_,
                    load_state::ready);
    }
    add_change(runner, order.model_, order.adapter_, load_state::ready, {});
}

auto fleet_ledger::add_change(const runner_state& runner,
                              const std::string& model,
                              const std::string& adapter, load_state state,
                              duration ready_in) -> void {
    changes_.push_back({runner.server_.id_, model, adapter, state, ready_in});
}

auto fleet_ledger::take_changes(time_point now) -> std::vector<holding_change> {
    for (auto& [id, runner] : runners_) {
        auto open = std::exchange(runner.open_orders_, {});
        for (auto& order : open) {
            const auto adapter_load_due = !order.adapter_.empty() &&
                                          order.is_load_ &&
                                          now >= order.completion_due_at_;
            const auto adapter_unload_due =
                !order.adapter_.empty() && !order.is_load_ &&
                now - order.accepted_at_ > settings_.report_lag_;
            if (adapter_load_due) {
                complete_order(runner, order);
            } else {
                if (adapter_unload_due && !runner.next_report_at_) {
                    // A runner unloads an adapter in use after its last request
                    // has ended; only a report shows when.
                    runner.next_report_at_ = now;
                }
                runner.open_orders_.push_back(std::move(order));
            }
        }
    }
    return std::exchange(changes_, {});
}

auto fleet_ledger::address_of(const std::string& id) const -> std::string {
    const auto found = runners_.find(id);
    return found == runners_.end() ? std::string{}
                                   : found->second.server_.address_;
}

} // namespace basilstream::coordination
