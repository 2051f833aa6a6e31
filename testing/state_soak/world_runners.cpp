// Runners, operators and the planner of the randomised run.
#include <algorithm>
#include <set>

#include "testing/state_soak/world.hpp"

namespace basilstream::testing {
namespace {

using state::resource_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto model_bytes = std::uint64_t{30};
constexpr auto adapter_bytes = std::uint64_t{4};
// Longest time for which a daemon may act on what it knew before a crash.
constexpr auto knowledge_lag = seconds{90};
constexpr auto model_names = std::array{"m0", "m1", "m2", "m3", "m4", "m5"};

} // namespace

auto plan_placement(const state::machine& state)
    -> coordination::desired_placement {
    auto wanted = coordination::desired_placement{};
    auto left = std::map<std::string, std::uint64_t>{};
    for (const auto* runner : state.runners()) {
        wanted[runner->name_] = {};
        left[runner->name_] = runner->memory_bytes_;
    }
    const auto place = [&](const state::resident_key& key, std::uint64_t bytes,
                           const std::set<std::string>& only) {
        auto best = std::string{};
        auto best_score = std::int64_t{-1};
        for (const auto& [name, free] : left) {
            auto& held = wanted[name].residents_;
            const auto taken =
                std::any_of(held.begin(), held.end(), [&](const auto& other) {
                    return other.key_ == key;
                });
            if (free < bytes || taken ||
                (!only.empty() && !only.contains(name))) {
                continue;
            }
            const auto resident =
                state.find_runner(name)->find(key) != nullptr ? 1000 : 0;
            const auto score = static_cast<std::int64_t>(free) + resident;
            if (score > best_score) {
                best = name;
                best_score = score;
            }
        }
        if (!best.empty()) {
            wanted[best].residents_.push_back({key, bytes});
            left[best] -= bytes;
        }
        return best;
    };
    auto homes = std::map<std::string, std::set<std::string>>{};
    for (const auto* entry : state.resources()) {
        const auto* model =
            std::get_if<state::model_resource>(&entry->resource_);
        if (model == nullptr) {
            continue;
        }
        const auto name = full_name(*model);
        for (const auto& version : model->versions_) {
            for (auto i = 0U; i < model->minimum_replicas_; ++i) {
                const auto key = state::resident_key{name, {}, version};
                const auto runner = place(key, model->memory_bytes_, {});
                if (!runner.empty()) {
                    homes[to_string(key)].insert(runner);
                }
            }
        }
    }
    for (const auto* entry : state.resources()) {
        const auto* adapter =
            std::get_if<state::adapter_resource>(&entry->resource_);
        if (adapter == nullptr) {
            continue;
        }
        const auto model =
            state::qualified_name(adapter->organisation_, adapter->model_);
        const auto version = state.find_model(model)->versions_.front();
        const auto base = state::resident_key{model, {}, version};
        const auto& only = homes[to_string(base)];
        if (!only.empty()) {
            place({model, adapter->name_, version}, adapter->memory_bytes_,
                  only);
        }
    }
    return wanted;
}

auto world::send_order(std::size_t index,
                       const coordination::order_command& order) -> void {
    const auto incarnation = nodes_[index].incarnation_;
    if (chance(0.05)) {
        count("orders_lost");
        return;
    }
    const auto travel =
        chance(0.05) ? between({}, seconds{60}) : between({}, milliseconds{30});
    schedule(travel, [=, this] { arrive(index, incarnation, order); });
    if (chance(0.03)) {
        schedule(between({}, seconds{60}),
                 [=, this] { arrive(index, incarnation, order); });
    }
}

auto world::arrive(std::size_t index, std::uint64_t incarnation,
                   const coordination::order_command& order) -> void {
    for (auto& runner : runners_) {
        // An order is bound to a connection to one boot.
        if (runner->name_ != order.runner_ || !runner->up_ ||
            runner->boot_id_ != order.boot_id_) {
            continue;
        }
        const auto answer = execute(*runner, order);
        if (!chance(0.05)) {
            to_node(index, incarnation, between({}, milliseconds{30}),
                    [=, this](node& sender) {
                        sender.control_->on_order_answer(order.order_, answer,
                                                         clock_.now());
                    });
        }
    }
}

auto world::served_models() const -> std::vector<std::string> {
    auto served = std::vector<std::string>{};
    for (const auto* name : model_names) {
        served.push_back("org/" + std::string{name});
    }
    std::erase_if(served, [&](const auto& model) { return !is_served(model); });
    return served;
}

// Order and load ends are the only events that make a model served.
auto world::note_served() -> void {
    const auto served = served_models();
    std::erase_if(served_since_, [&](const auto& entry) {
        return std::find(served.begin(), served.end(), entry.first) ==
               served.end();
    });
    for (const auto& model : served) {
        served_since_.emplace(model, clock_.now());
    }
}

auto world::is_served(const std::string& model) const -> bool {
    return std::any_of(
        runners_.begin(), runners_.end(),
        [&](const auto& runner) { return runner->serves(model); });
}

auto world::execute(fake_runner& runner,
                    const coordination::order_command& order)
    -> coordination::order_answer {
    count("orders_arrived");
    const auto* intended = valid_ids_.find(order.order_);
    if (intended == nullptr) {
        violate("order_has_valid_intent", to_string(order.order_));
    }
    const auto served = served_models();
    auto began = false;
    const auto answer = runner.on_order(order, began);
    if (runner.ordered_bytes() > runner.memory_) {
        violate("engine_within_memory", runner.name_);
    }
    for (const auto& model : served) {
        const auto excused = intended == nullptr ||
                             oracle_.find_model(model) == nullptr ||
                             declared_since_[model] >= *intended ||
                             served_since_[model] >= *intended ||
                             *intended - last_loss_[model] <= knowledge_lag;
        if (!excused && !is_served(model)) {
            violate("model_stays_served", model);
        }
    }
    note_served();
    if (began) {
        const auto succeeds = !chance(0.05);
        const auto keeps = chance(0.5);
        schedule(between(milliseconds{100}, seconds{4}),
                 [=, this, &runner, boot = runner.boot_id_] {
                     if (runner.up_ && runner.boot_id_ == boot) {
                         runner.finish_load(order.order_, succeeds, keeps);
                         note_served();
                     }
                 });
    }
    return answer;
}

auto world::start_runner(fake_runner& runner) -> void {
    runner.restart(fresh_boot_id());
    refresh(runner, runner.boot_id_);
}

auto world::refresh(fake_runner& runner, const std::string& boot_id) -> void {
    if (runner.boot_id_ != boot_id) {
        return;
    }
    runner.refresh_report();
    schedule(between(milliseconds{100}, milliseconds{1500}),
             [this, &runner, boot_id] { refresh(runner, boot_id); });
}

auto world::note_loss(const fake_runner& runner) -> void {
    for (const auto* name : model_names) {
        const auto model = "org/" + std::string{name};
        if (runner.serves(model)) {
            last_loss_[model] = clock_.now();
        }
    }
}

auto world::fresh_boot_id() -> std::string {
    return "boot-" + std::to_string(next_boot_++);
}

auto world::disturb_runner() -> void {
    auto& runner = *runners_[random_.below(runners_.size())];
    if (!faults_ || !options_.faults_.runner_crashes_ || !runner.up_) {
        return;
    }
    if (random_.below(4) == 0) {
        const auto model =
            "org/" +
            std::string{model_names[random_.below(model_names.size())]};
        if (runner.load_foreign(
                {model, {}, "v" + std::to_string(random_.below(9))},
                random_.below(20) + 1)) {
            count("foreign_loads");
        }
        return;
    }
    count("runner_crashes");
    note_loss(runner);
    const auto vm_gone = random_.below(4) == 0;
    const auto keeps_running = vm_gone && random_.below(2) == 0;
    runner.up_ = keeps_running;
    note_served();
    for (const auto& [model, since] : last_loss_) {
        if (since == clock_.now() && !is_served(model)) {
            unserved_since_.emplace(model, since);
        }
    }
    if (vm_gone) {
        for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
            to_node(i, nodes_[i].incarnation_, between({}, seconds{3}),
                    [name = runner.name_](node& told) {
                        told.control_->on_runner_gone(name);
                    });
        }
    }
    schedule(between(milliseconds{100}, seconds{10}), [this, &runner] {
        note_loss(runner);
        start_runner(runner);
    });
}

auto world::random_node() -> node* {
    auto& chosen = nodes_[random_.below(nodes_.size())];
    const auto usable = chosen.control_ && chosen.control_->ready() &&
                        clock_.now() >= chosen.paused_until_;
    return usable ? &chosen : nullptr;
}

auto world::operate() -> void {
    auto* through = random_node();
    if (!faults_ || through == nullptr) {
        return;
    }
    const auto* organisation = through->control_->state().find_resource(
        {resource_kind::organisation, "org"});
    if (organisation == nullptr) {
        std::ignore = through->control_->submit(
            coordination::append_purpose::configuration,
            state::resource_put{
                state::organisation_resource{"org", {}, 1, 0, {}}, 0});
        return;
    }
    const auto name =
        std::string{model_names[random_.below(model_names.size())]};
    switch (random_.below(8)) {
    case 0:
        remove(*through, {resource_kind::model, "org/" + name});
        break;
    case 1:
        remove(*through, {resource_kind::adapter, "org/" + name + "/a"});
        break;
    case 2:
        put_adapter(*through, name);
        break;
    case 3:
        put_model(*through, "huge");
        break;
    default:
        put_model(*through, name);
    }
}

auto world::put_model(node& through, const std::string& name) -> void {
    auto model = state::model_resource{};
    model.organisation_ = "org";
    model.name_ = name;
    model.versions_ = {"v" + std::to_string(random_.below(5))};
    model.minimum_replicas_ = 1 + static_cast<std::uint32_t>(random_.below(2));
    model.memory_bytes_ = name == "huge" ? 1000 : model_bytes;
    if (random_.below(20) == 0) {
        model.memory_bytes_ = 0;
    }
    const auto* known = through.control_->state().find_resource(
        {resource_kind::model, "org/" + name});
    std::ignore = through.control_->submit(
        coordination::append_purpose::configuration,
        state::resource_put{model, known == nullptr ? 0 : known->generation_});
}

auto world::put_adapter(node& through, const std::string& name) -> void {
    auto adapter = state::adapter_resource{};
    adapter.organisation_ = "org";
    adapter.model_ = name;
    adapter.name_ = "a";
    adapter.memory_bytes_ = adapter_bytes;
    const auto* known = through.control_->state().find_resource(
        {resource_kind::adapter, "org/" + name + "/a"});
    std::ignore = through.control_->submit(
        coordination::append_purpose::configuration,
        state::resource_put{adapter,
                            known == nullptr ? 0 : known->generation_});
}

auto world::remove(node& through, const state::resource_key& key) -> void {
    const auto* known = through.control_->state().find_resource(key);
    if (known != nullptr) {
        std::ignore = through.control_->submit(
            coordination::append_purpose::configuration,
            state::resource_delete{key, known->generation_});
    }
}

// An owner of a faulty version appends intents that its executor would not.
auto world::misbehave() -> void {
    auto* faulty = random_node();
    if (!faults_ || !options_.faults_.misbehaviour_ || faulty == nullptr ||
        faulty->control_->held().empty()) {
        return;
    }
    const auto& state = faulty->control_->state();
    const auto held = faulty->control_->held();
    const auto known = state.runners();
    if (known.empty()) {
        return;
    }
    const auto& runner = *known[random_.below(known.size())];
    if (!held.contains(runner.shard_)) {
        return;
    }
    auto intent = state::order_intent{};
    intent.shard_ = runner.shard_;
    intent.epoch_ = held.at(runner.shard_);
    intent.runner_ = runner.name_;
    intent.boot_id_ = runner.boot_id_;
    if (random_.below(2) == 0 && !runner.residents_.empty()) {
        intent.resident_ =
            runner.residents_[random_.below(runner.residents_.size())].key_;
        intent.action_ = intent.resident_.adapter_.empty()
                             ? state::order_action::unload_model
                             : state::order_action::unload_adapter;
    } else {
        intent.resident_ = {
            "org/m0", {}, "x" + std::to_string(random_.below(9))};
        intent.bytes_ = 10 + random_.below(60);
    }
    std::ignore =
        faulty->control_->submit(coordination::append_purpose::orders, intent);
}

} // namespace basilstream::testing
