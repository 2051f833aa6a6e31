#include "basilstream/daemon/placement_control/placement_control.hpp"

#include <algorithm>

namespace basilstream::daemon {
namespace {

using coordination::order_answer;

constexpr auto order_timeout = milliseconds{1500};
constexpr auto status_ok = 200;
constexpr auto status_accepted = 202;
constexpr auto status_conflict = 409;
constexpr auto status_insufficient_storage = 507;
// Token rate of one slot at the inter-token latency target of 78 ms.
constexpr auto tokens_per_second_per_slot = 1000.0 / 78.0;

auto to_runner_report(const protocol::engine_report& report)
    -> coordination::runner_report {
    using phase = coordination::reported_resident::phase;
    using outcome = coordination::reported_order::outcome;
    auto converted = coordination::runner_report{};
    converted.boot_id_ = report.boot_id_;
    converted.sequence_ = report.sequence_;
    converted.memory_bytes_ = report.memory_bytes_;
    for (const auto& entry : report.residents_) {
        converted.residents_.push_back(
            {{entry.model_, entry.adapter_, entry.version_},
             entry.bytes_,
             state::parse_record_id(entry.order_id_),
             entry.state_ == "ready"     ? phase::ready
             : entry.state_ == "loading" ? phase::loading
                                         : phase::failed});
    }
    for (const auto& entry : report.finished_) {
        const auto id = state::parse_record_id(entry.order_id_);
        if (!id) {
            continue;
        }
        converted.finished_.push_back({*id,
                                       entry.outcome_ == "done" ? outcome::done
                                       : entry.outcome_ == "failed"
                                           ? outcome::failed
                                           : outcome::refused,
                                       entry.detail_});
    }
    return converted;
}

auto to_placement_resident(const state::runner_state& runner,
                           const state::resident& entry)
    -> coordination::placement_resident {
    using coordination::resident_state;
    auto phase = resident_state::ready;
    if (entry.state_ == state::resident_state::loading) {
        phase = resident_state::loading;
    } else if (entry.state_ == state::resident_state::unloading) {
        phase = resident_state::unloading;
    }
    return {runner.name_,        entry.key_.model_, entry.key_.adapter_,
            entry.key_.version_, entry.bytes_,      phase};
}

} // namespace

placement_control::placement_control(const context& base,
                                     const daemon_settings& settings,
                                     control_log& log, fleet& servers,
                                     demand_reader demand)
    : base_{base}, settings_{settings}, control_log_{log}, fleet_{servers},
      demand_{std::move(demand)}, planner_{[&settings] {
          auto options = coordination::planner_settings{};
          options.replicas_ = settings.deployment_.replicas_;
          return options;
      }()} {
    fleet_.on_report(
        [this](const runner_view& runner) { handle_report(runner); });
    fleet_.on_removed([this](const std::string& runner) {
        control_log_.controller().on_runner_gone(runner);
    });
    control_log_.set_order_sender(
        [this](const coordination::order_command& order) {
            send_order(order);
        });
}

auto placement_control::shard_of(const std::string& zone) const -> std::string {
    const auto& shards = settings_.deployment_.shards_;
    return shards.size() == 1 ? shards.front() : zone;
}

auto placement_control::handle_report(const runner_view& runner) -> void {
    if (!control_log_.ready()) {
        return;
    }
    control_log_.controller().on_report(
        {.runner_ = runner.vm_.name_,
         .address_ = runner.vm_.address_,
         .zone_ = runner.vm_.zone_,
         .shard_ = shard_of(runner.vm_.zone_),
         .requested_at_ = runner.requested_at_offset_,
         .report_ = to_runner_report(*runner.report_)},
        base_.clock_.now());
}

auto placement_control::tick() -> void {
    const auto now = base_.clock_.now();
    if (now < next_plan_ || !control_log_.current() ||
        control_log_.held().empty()) {
        return;
    }
    next_plan_ = now + settings_.deployment_.plan_interval_;
    make_plan();
}

auto placement_control::make_plan() -> void {
    const auto input = make_plan_input();
    plan_ = planner_.plan(input);
    auto desired = coordination::desired_placement{};
    // An entry without residents unloads every removable resident of the
    // runner, so only runners in the input of the plan get an entry.
    for (const auto& runner : input.runners_) {
        desired[runner.name_];
    }
    for (const auto& resident : plan_.target_residents_) {
        desired[resident.runner_].residents_.push_back(
            {{resident.model_, resident.adapter_, resident.version_},
             resident.memory_bytes_});
    }
    control_log_.controller().set_desired_placement(std::move(desired));
}

auto placement_control::make_plan_input() const
    -> coordination::placement_input {
    auto input = coordination::placement_input{};
    input.now_ = base_.clock_.now();
    input.history_ = plan_.history_;
    add_runners(input);
    add_resources(input);
    for (const auto& [model, demand] : demand_()) {
        input.demands_.push_back(
            {model, demand.tokens_per_second_, demand.requests_per_second_});
    }
    return input;
}

auto placement_control::add_runners(coordination::placement_input& input) const
    -> void {
    const auto held = control_log_.held();
    for (const auto* runner : control_log_.state().runners()) {
        const auto view = fleet_.runners().find(runner->name_);
        if (!held.contains(runner->shard_) || view == fleet_.runners().end() ||
            !view->second.reachable_) {
            continue;
        }
        const auto slots =
            view->second.report_ ? view->second.report_->slots_ : 1;
        input.runners_.push_back(
            {.name_ = runner->name_,
             .availability_zone_ = runner->zone_,
             .memory_bytes_ = runner->memory_bytes_,
             .tokens_per_second_ = slots * tokens_per_second_per_slot,
             .leaving_ = view->second.leaving_});
        for (const auto& entry : runner->residents_) {
            input.residents_.push_back(to_placement_resident(*runner, entry));
        }
    }
}

auto placement_control::add_resources(
    coordination::placement_input& input) const -> void {
    auto models = std::map<std::string, std::size_t>{};
    auto adapters = std::vector<const state::adapter_resource*>{};
    for (const auto* entry : control_log_.state().resources()) {
        const auto& value = entry->resource_;
        if (const auto* model = std::get_if<state::model_resource>(&value)) {
            models[state::full_name(value)] = input.models_.size();
            input.models_.push_back(
                {.name_ = state::full_name(value),
                 .organisation_ = model->organisation_,
                 .version_ = model->versions_.front(),
                 .memory_bytes_ = model->memory_bytes_,
                 .availability_zones_ = model->zones_,
                 .priority_ = model->priority_,
                 .minimum_replicas_ = model->minimum_replicas_});
        } else if (const auto* adapter =
                       std::get_if<state::adapter_resource>(&value)) {
            adapters.push_back(adapter);
        } else if (const auto* organisation =
                       std::get_if<state::organisation_resource>(&value)) {
            input.organisations_.push_back(
                {.name_ = organisation->name_,
                 .weight_ = static_cast<double>(organisation->weight_),
                 .move_price_ = organisation->move_price_});
        }
    }
    for (const auto* adapter : adapters) {
        const auto found = models.find(
            state::qualified_name(adapter->organisation_, adapter->model_));
        if (found != models.end()) {
            auto& model = input.models_[found->second];
            model.adapters_.push_back(
                {.name_ = adapter->name_,
                 .version_ = model.version_,
                 .memory_bytes_ = adapter->memory_bytes_});
        }
    }
}

// An order must reach only the boot that its intent names. The boot id is read
// over a fresh connection, and the order is sent on the same connection or not
// at all, so that it cannot reach a process started later at the same address.
auto placement_control::send_order(const coordination::order_command& order)
    -> void {
    ++orders_sent_;
    base_.orders_.fetch(
        {.url_ = "http://" + order.address_ + "/v1/report",
         .connect_timeout_ = order_timeout,
         .total_timeout_ = order_timeout,
         .fresh_connection_ = true,
         .keep_connection_ = true,
         .step_ = step::order},
        [this, order](const result<transport::http_reply>& reply) {
            const auto report =
                reply && reply->status_ == status_ok
                    ? protocol::parse_report(reply->body_, order.address_)
                    : result<protocol::engine_report>{tl::unexpected(error{})};
            if (report && report->boot_id_ == order.boot_id_) {
                send_on_checked_connection(order);
            } else {
                deliver_answer(order, order_answer::unknown);
            }
        });
}

auto placement_control::send_on_checked_connection(
    const coordination::order_command& order) -> void {
    auto body = protocol::order_body(
        {.order_id_ = state::to_string(order.order_),
         .fencing_ = order.fencing_,
         .shard_ = order.shard_,
         .action_ = state::order_action_names.name_of(order.action_),
         .model_ = order.resident_.model_,
         .adapter_ = order.resident_.adapter_,
         .version_ = order.resident_.version_,
         .bytes_ = order.bytes_,
         .role_ = state::runner_role_names.name_of(order.role_)});
    base_.orders_.fetch(
        {.method_ = "POST",
         .url_ = "http://" + order.address_ + "/v1/orders",
         .headers_ = {{"Content-Type", "application/json"}},
         .body_ = std::move(body),
         .total_timeout_ = order_timeout,
         .reuse_only_ = true,
         .step_ = step::order},
        [this, order](const result<transport::http_reply>& reply) {
            auto answer = order_answer::unknown;
            if (reply && reply->status_ == status_accepted) {
                answer = order_answer::accepted;
            } else if (reply && reply->status_ == status_conflict) {
                answer = order_answer::stale_fencing;
            } else if (reply && reply->status_ == status_insufficient_storage) {
                answer = order_answer::no_memory;
            }
            deliver_answer(order, answer);
        });
}

auto placement_control::deliver_answer(const coordination::order_command& order,
                                       order_answer answer) -> void {
    base_.on_control([this, id = order.order_, answer] {
        control_log_.controller().on_order_answer(id, answer,
                                                  base_.clock_.now());
    });
}

auto placement_control::explain(const std::string& name) const
    -> std::vector<std::string> {
    auto lines = std::vector<std::string>{};
    for (const auto& status : plan_.statuses_) {
        if (status.model_ == name) {
            lines.push_back(
                status.model_ + ": " + std::to_string(status.ready_replicas_) +
                " of " + std::to_string(status.desired_replicas_) +
                " replicas ready in " +
                std::to_string(status.availability_zones_) + " zones" +
                (status.detail_.empty() ? "" : "; " + status.detail_));
        }
    }
    for (const auto& step : plan_.steps_) {
        if (step.resident_.model_ == name || step.resident_.runner_ == name) {
            lines.push_back("step: " + coordination::explain(step));
        }
    }
    for (const auto& rejection : plan_.rejections_) {
        if (rejection.model_ == name || rejection.runner_ == name) {
            lines.push_back("rejected: " + coordination::explain(rejection));
        }
    }
    for (const auto& blocked : control_log_.controller().executor().blocked()) {
        if (blocked.key_.model_ == name || blocked.runner_ == name) {
            lines.push_back("waiting: " + blocked.runner_ + " " +
                            state::to_string(blocked.key_) + ": " +
                            blocked.reason_);
        }
    }
    return lines;
}

} // namespace basilstream::daemon
