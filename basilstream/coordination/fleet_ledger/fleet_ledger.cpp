#include "basilstream/coordination/fleet_ledger/fleet_ledger.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

auto find_model(std::vector<held_model>& models, const std::string& name)
    -> held_model* {
    const auto found =
        std::find_if(models.begin(), models.end(),
                     [&](const auto& each) { return each.name_ == name; });
    return found == models.end() ? nullptr : &*found;
}

auto find_adapter(held_model& model, const std::string& name) -> held_adapter* {
    const auto found =
        std::find_if(model.adapters_.begin(), model.adapters_.end(),
                     [&](const auto& each) { return each.name_ == name; });
    return found == model.adapters_.end() ? nullptr : &*found;
}

auto set_model(std::vector<held_model>& models, const std::string& name,
               holding_state state) -> void {
    if (auto* const held = find_model(models, name)) {
        held->state_ = state;
    } else {
        models.push_back({name, state, {}});
    }
}

auto set_adapter(std::vector<held_model>& models, const std::string& model,
                 const std::string& adapter, holding_state state) -> void {
    auto* const held = find_model(models, model);
    if (held == nullptr) {
        return;
    }
    if (auto* const known = find_adapter(*held, adapter)) {
        known->state_ = state;
    } else {
        held->adapters_.push_back({adapter, state});
    }
}

// Shows what an order that is not answered yet would do.
auto apply_sent(std::vector<held_model>& models, const fleet_step& step)
    -> void {
    const auto state =
        step.load_ ? holding_state::coming : holding_state::going;
    if (step.adapter_.empty()) {
        set_model(models, step.model_, state);
    } else {
        set_adapter(models, step.model_, step.adapter_, state);
    }
}

auto drop(std::vector<held_model>& models, const std::string& model,
          const std::string& adapter) -> void {
    if (adapter.empty()) {
        std::erase_if(models,
                      [&](const auto& each) { return each.name_ == model; });
    } else if (auto* const held = find_model(models, model)) {
        std::erase_if(held->adapters_,
                      [&](const auto& each) { return each.name_ == adapter; });
    }
}

auto holdings_of(const fleet_report& report) -> std::vector<held_model> {
    auto models = std::vector<held_model>{};
    for (const auto& model : report.models_) {
        auto held = held_model{model.name_, holding_state::ready, {}};
        for (const auto& adapter : model.adapters_) {
            held.adapters_.push_back({adapter, holding_state::ready});
        }
        models.push_back(std::move(held));
    }
    for (const auto& name : report.coming_) {
        const auto slash = name.find('/');
        if (slash != std::string::npos) {
            set_adapter(models, name.substr(0, slash), name.substr(slash + 1),
                        holding_state::coming);
        }
    }
    return models;
}

} // namespace

auto fleet_ledger::reset() -> void {
    changes_.clear();
    for (auto& [id, runner] : runners_) {
        runner = runner_state{.server_ = runner.server_,
                              .report_due_ = time_point::min()};
    }
}

auto fleet_ledger::set_runner(const backend_server& server) -> void {
    auto& runner = runners_[server.id_];
    const auto restarted = runner.server_.started_at_ != server.started_at_ ||
                           runner.server_.address_ != server.address_;
    if (restarted) {
        runner = runner_state{.report_due_ = time_point::min()};
    }
    runner.server_ = server;
}

auto fleet_ledger::remove_runner(const std::string& id) -> void {
    runners_.erase(id);
}

auto fleet_ledger::reports_due(time_point now) -> std::vector<std::string> {
    auto due = std::vector<std::string>{};
    for (auto& [id, runner] : runners_) {
        if (!runner.asked_ && !runner.sent_ && runner.report_due_ &&
            now >= *runner.report_due_) {
            runner.asked_ = true;
            due.push_back(id);
        }
    }
    return due;
}

auto fleet_ledger::on_report_failed(const std::string& id, time_point now)
    -> void {
    const auto found = runners_.find(id);
    if (found != runners_.end()) {
        found->second.asked_ = false;
        found->second.report_due_ = now + settings_.report_interval_;
    }
}

auto fleet_ledger::on_report(const std::string& id, const fleet_report& report,
                             time_point now) -> void {
    const auto found = runners_.find(id);
    if (found == runners_.end()) {
        return;
    }
    auto& runner = found->second;
    runner.asked_ = false;
    if (runner.sent_) {
        // It may or may not show the order that is under way.
        return;
    }
    const auto older = report.orders_ < runner.orders_;
    if (!older) {
        runner.older_since_.reset();
    } else if (!runner.older_since_) {
        runner.older_since_ = now;
    }
    if (older && now - *runner.older_since_ < settings_.restart_after_) {
        runner.report_due_ = now + settings_.report_interval_;
        return;
    }
    if (older) {
        runner.open_.clear();
    }
    take_report(runner, report, now);
}

auto fleet_ledger::take_report(runner_state& runner, const fleet_report& report,
                               time_point now) -> void {
    runner.known_ = true;
    runner.older_since_.reset();
    runner.orders_ = report.orders_;
    runner.models_ = holdings_of(report);
    keep_open(runner, report, now);
    const auto own = std::any_of(
        runner.open_.begin(), runner.open_.end(),
        [](const open_item& item) { return item.adapter_.empty(); });
    runner.foreign_order_ = report.model_order_open_ && !own;
    const auto waiting = runner.foreign_order_ || own;
    runner.report_due_ = waiting
                             ? std::optional{now + settings_.report_interval_}
                             : std::nullopt;
}

// Carries orders over that the report does not show as done yet.
auto fleet_ledger::keep_open(runner_state& runner, const fleet_report& report,
                             time_point now) -> void {
    auto still_open = std::vector<open_item>{};
    for (const auto& item : std::exchange(runner.open_, {})) {
        auto* const model = find_model(runner.models_, item.model_);
        const auto present = model != nullptr &&
                             (item.adapter_.empty() ||
                              find_adapter(*model, item.adapter_) != nullptr);
        const auto done = present == item.load_;
        const auto recent = now - item.accepted_ < settings_.report_lag_;
        const auto running = item.adapter_.empty() && report.model_order_open_;
        if (done) {
            note(runner, item.model_, item.adapter_,
                 item.load_ ? holding_state::ready : holding_state::going, {});
        } else if (recent || running) {
            const auto state =
                item.load_ ? holding_state::coming : holding_state::going;
            if (item.adapter_.empty()) {
                set_model(runner.models_, item.model_, state);
            } else {
                set_adapter(runner.models_, item.model_, item.adapter_, state);
            }
            still_open.push_back(item);
        } else if (!item.load_) {
            // It was not carried out: the model still serves.
            note(runner, item.model_, item.adapter_, holding_state::ready, {});
        }
    }
    runner.open_ = std::move(still_open);
}

auto fleet_ledger::model_order_open(const runner_state& runner) -> bool {
    return runner.foreign_order_ ||
           std::any_of(
               runner.open_.begin(), runner.open_.end(),
               [](const open_item& item) { return item.adapter_.empty(); });
}

auto fleet_ledger::runners_of(const std::string& service) const
    -> std::vector<fleet_runner> {
    auto all = std::vector<fleet_runner>{};
    for (const auto& [id, runner] : runners_) {
        if (runner.server_.service_ != service) {
            continue;
        }
        const auto coming = std::count_if(
            runner.open_.begin(), runner.open_.end(),
            [](const open_item& item) { return !item.adapter_.empty(); });
        const auto blocked = !runner.known_ || runner.sent_.has_value();
        auto models = runner.models_;
        if (runner.sent_) {
            apply_sent(models, *runner.sent_);
        }
        all.push_back({.id_ = id,
                       .leaving_ = runner.server_.draining_,
                       .models_blocked_ = blocked || model_order_open(runner),
                       .adapters_blocked_ =
                           blocked || coming >= settings_.adapters_coming_,
                       .models_ = std::move(models),
                       .weights_in_memory_ = runner.server_.weights_in_memory_,
                       .weights_on_disk_ = runner.server_.weights_on_disk_});
    }
    return all;
}

auto fleet_ledger::begin_order(const fleet_step& step, time_point /*now*/)
    -> std::optional<std::uint64_t> {
    const auto found = runners_.find(step.runner_);
    if (found == runners_.end() || !found->second.known_ ||
        found->second.sent_) {
        return std::nullopt;
    }
    auto& runner = found->second;
    runner.sent_ = step;
    if (!step.load_) {
        note(runner, step.model_, step.adapter_, holding_state::going, {});
    }
    return runner.orders_;
}

auto fleet_ledger::accept(runner_state& runner, const fleet_step& step,
                          time_point now) -> void {
    ++runner.orders_;
    const auto state =
        step.load_ ? holding_state::coming : holding_state::going;
    if (step.adapter_.empty()) {
        set_model(runner.models_, step.model_, state);
        const auto due = now + step.expected_;
        runner.report_due_ = std::max(due, now + settings_.report_interval_);
    } else {
        set_adapter(runner.models_, step.model_, step.adapter_, state);
    }
    runner.open_.push_back(
        {step.model_, step.adapter_, step.load_, now, now + step.expected_});
    if (step.load_) {
        note(runner, step.model_, step.adapter_, holding_state::coming,
             step.expected_);
    }
}

auto fleet_ledger::on_answer(const std::string& id, order_result result,
                             time_point now) -> void {
    const auto found = runners_.find(id);
    if (found == runners_.end() || !found->second.sent_) {
        return;
    }
    auto& runner = found->second;
    const auto step = *std::exchange(runner.sent_, std::nullopt);
    const auto adapter_dropped = !step.load_ && !step.adapter_.empty();
    switch (result) {
    case order_result::accepted:
        accept(runner, step, now);
        break;
    case order_result::holds:
        // An adapter that nothing uses is dropped at once, and that counts.
        runner.orders_ += adapter_dropped ? 1 : 0;
        finish(runner, {step.model_, step.adapter_, step.load_, now, now});
        break;
    case order_result::rejected:
    case order_result::unknown:
        runner.known_ = false;
        runner.report_due_ = now + settings_.report_lag_;
        if (!step.load_) {
            note(runner, step.model_, step.adapter_, holding_state::ready, {});
        }
        break;
    }
}

auto fleet_ledger::finish(runner_state& runner, const open_item& item) -> void {
    if (!item.load_) {
        drop(runner.models_, item.model_, item.adapter_);
        return;
    }
    if (item.adapter_.empty()) {
        set_model(runner.models_, item.model_, holding_state::ready);
    } else {
        set_adapter(runner.models_, item.model_, item.adapter_,
                    holding_state::ready);
    }
    note(runner, item.model_, item.adapter_, holding_state::ready, {});
}

auto fleet_ledger::note(const runner_state& runner, const std::string& model,
                        const std::string& adapter, holding_state state,
                        duration ready_in) -> void {
    changes_.push_back({runner.server_.id_, model, adapter, state, ready_in});
}

auto fleet_ledger::take_changes(time_point now) -> std::vector<holding_change> {
    for (auto& [id, runner] : runners_) {
        auto open = std::exchange(runner.open_, {});
        for (auto& item : open) {
            const auto adapter_due =
                !item.adapter_.empty() && item.load_ && now >= item.due_;
            const auto drop_due = !item.adapter_.empty() && !item.load_ &&
                                  now - item.accepted_ > settings_.report_lag_;
            if (adapter_due) {
                finish(runner, item);
            } else {
                if (drop_due && !runner.report_due_) {
                    // Dropped once its last request has ended.
                    runner.report_due_ = now;
                }
                runner.open_.push_back(std::move(item));
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
