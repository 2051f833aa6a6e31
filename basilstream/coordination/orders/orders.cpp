#include "basilstream/coordination/orders/orders.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

auto is_load(state::order_action action) -> bool {
    return action == state::order_action::load_model ||
           action == state::order_action::load_adapter;
}

auto load_kind_of(state::order_action action) -> load_kind {
    return action == state::order_action::load_model ? load_kind::model
                                                     : load_kind::adapter;
}

auto find_finished(const runner_report& report, const state::record_id& id)
    -> const reported_order* {
    const auto found =
        std::find_if(report.finished_.begin(), report.finished_.end(),
                     [&](const auto& order) { return order.id_ == id; });
    return found == report.finished_.end() ? nullptr : &*found;
}

// Returns the reported resident `key` that the order `loaded_by` loaded, or
// null. A zero `loaded_by`, as for a foreign resident (one that no order
// of this deployment loaded), matches any order.
auto find_resident(const runner_report& report, const state::resident_key& key,
                   const state::record_id& loaded_by)
    -> const reported_resident* {
    const auto matches_any_order = loaded_by == state::record_id{};
    const auto found = std::find_if(
        report.residents_.begin(), report.residents_.end(),
        [&](const auto& entry) {
            return entry.key_ == key &&
                   (matches_any_order || entry.order_ == loaded_by);
        });
    return found == report.residents_.end() ? nullptr : &*found;
}

// Judges loads and unloads by the residents that the engine reports and not by
// the outcome that it states: a load is done when its resident is ready, an
// unload when the resident is gone.
auto determine_result(const state::open_order& order,
                      const reported_order& finished,
                      const state::runner_state& runner,
                      const runner_report& report) -> state::order_result {
    using phase = reported_resident::phase;
    const auto& intent = order.intent_;
    if (intent.action_ == state::order_action::set_role) {
        return finished.outcome_ == reported_order::outcome::done
                   ? state::order_result::done
                   : state::order_result::failed;
    }
    const auto load = is_load(intent.action_);
    const auto* entry = runner.find(intent.resident_);
    const auto loaded_by = load ? order.id_ : entry->load_order_;
    const auto* reported = find_resident(report, intent.resident_, loaded_by);
    if (reported == nullptr) {
        return load ? state::order_result::failed : state::order_result::done;
    }
    if (reported->phase_ == phase::ready) {
        return load ? state::order_result::done : state::order_result::failed;
    }
    return state::order_result::failed_resident;
}

} // namespace

order_executor::order_executor(executor_options options, load_permits& permits,
                               appender& writer)
    : options_{options}, permits_{&permits}, writer_{&writer} {}

auto order_executor::set_desired_placement(desired_placement desired) -> void {
    desired_ = std::move(desired);
}

auto order_executor::on_report(runner_observation observation, time_point now)
    -> void {
    auto& observed = runners_[observation.runner_];
    observed.gone_ = false;
    const auto& latest = observed.observation_.report_;
    if (latest.boot_id_ == observation.report_.boot_id_ &&
        latest.sequence_ > observation.report_.sequence_) {
        return;
    }
    if (observed.observation_.requested_at_ <= observation.requested_at_) {
        observed.observation_ = std::move(observation);
        observed.received_at_ = now;
    }
}

auto order_executor::on_runner_gone(std::string_view runner) -> void {
    const auto found = runners_.find(runner);
    if (found != runners_.end()) {
        found->second.gone_ = true;
    }
}

auto order_executor::on_answer(const state::record_id& order,
                               order_answer answer, time_point now) -> void {
    const auto found = attempts_.find(order);
    if (found != attempts_.end() && answer == order_answer::accepted) {
        // The engine may still lose the order, so it is sent again after the
        // longest interval.
        found->second.backoff_ = options_.max_resend_;
        found->second.next_send_at_ = now + options_.max_resend_;
    }
}

auto order_executor::on_resolution(const append_resolution& resolution)
    -> void {
    const auto found = subjects_by_record_.find(resolution.id_);
    if (found != subjects_by_record_.end()) {
        pending_by_subject_.erase(found->second);
        subjects_by_record_.erase(found);
    }
}

auto order_executor::poll(
    const state::machine& state,
    const std::map<std::string, state::epoch>& owned_shards, bool current,
    time_point now) -> std::vector<order_command> {
    auto context = poll_context{state, owned_shards, now};
    blocked_.clear();
    discard_settled(context);
    if (current) {
        for (const auto& [name, observed] : runners_) {
            poll_runner(context, observed);
        }
    }
    return std::move(context.commands_);
}

// Drops attempts and permits of orders that are settled or whose shard belongs
// to another daemon.
auto order_executor::discard_settled(const poll_context& context) -> void {
    const auto is_owned = [&](const state::record_id& id) {
        const auto* order = context.state_.find_order(id);
        return writer_->pending(id) ||
               (order != nullptr &&
                context.owned_shards_.contains(order->intent_.shard_));
    };
    std::erase_if(attempts_,
                  [&](const auto& entry) { return !is_owned(entry.first); });
    std::erase_if(permitted_loads_, [&](const auto& entry) {
        if (is_owned(entry.first)) {
            return false;
        }
        permits_->release(entry.second, context.now_);
        return true;
    });
}

auto order_executor::poll_runner(poll_context& context,
                                 const observed_runner& observed) -> void {
    const auto& observation = observed.observation_;
    const auto shard = context.owned_shards_.find(observation.shard_);
    if (shard == context.owned_shards_.end()) {
        return;
    }
    const auto* runner = context.state_.find_runner(observation.runner_);
    if (observed.gone_) {
        if (runner != nullptr && !runner->gone_) {
            submit_once(context, "gone/" + runner->name_,
                        state::runner_gone{observation.shard_, shard->second,
                                           runner->name_, runner->boot_id_});
        }
        return;
    }
    if (runner != nullptr &&
        observation.requested_at_ <= runner->boot_offset_) {
        return;
    }
    if (runner == nullptr || runner->gone_ ||
        runner->boot_id_ != observation.report_.boot_id_) {
        register_boot(context, observation, shard->second);
        return;
    }
    const auto owned =
        owned_runner{*runner, observation.report_, shard->second};
    settle_orders(context, owned);
    record_foreign_residents(context, owned);
    send_orders(context, owned);
    // No new intents for a runner that does not answer: they would only keep
    // its memory reserved.
    if (context.now_ - observed.received_at_ <= options_.fresh_report_age_) {
        submit_next_step(context, owned);
    } else {
        record_blocked_step(observation.runner_, {},
                            "the last report of the runner is too old");
    }
}

auto order_executor::register_boot(const poll_context& context,
                                   const runner_observation& observation,
                                   state::epoch epoch) -> void {
    const auto* recorded = context.state_.find_runner(observation.runner_);
    const auto previous =
        recorded == nullptr ? std::string{} : recorded->boot_id_;
    if (previous == observation.report_.boot_id_) {
        record_blocked_step(observation.runner_, {},
                            "the runner was recorded as gone; restart it");
        return;
    }
    submit_once(context, "boot/" + observation.runner_,
                state::runner_boot{observation.shard_, epoch,
                                   observation.runner_, observation.address_,
                                   observation.zone_,
                                   observation.report_.boot_id_, previous,
                                   observation.report_.memory_bytes_});
}

auto order_executor::settle_orders(const poll_context& context,
                                   const owned_runner& runner) -> void {
    for (const auto& id : runner.state_.open_orders_) {
        const auto* finished = find_finished(runner.report_, id);
        if (finished == nullptr) {
            continue;
        }
        const auto result =
            determine_result(*context.state_.find_order(id), *finished,
                             runner.state_, runner.report_);
        submit_once(context, "outcome/" + to_string(id),
                    state::order_outcome{runner.state_.shard_, runner.epoch_,
                                         id, result, finished->detail_});
    }
}

auto order_executor::record_foreign_residents(const poll_context& context,
                                              const owned_runner& runner)
    -> void {
    for (const auto& entry : runner.report_.residents_) {
        if (runner.state_.find(entry.key_) == nullptr) {
            submit_once(
                context,
                "seen/" + runner.state_.name_ + '/' + to_string(entry.key_),
                state::resident_seen{
                    runner.state_.shard_, runner.epoch_, runner.state_.name_,
                    runner.state_.boot_id_, entry.key_, entry.bytes_});
        }
    }
}

auto order_executor::send_orders(poll_context& context,
                                 const owned_runner& runner) -> void {
    for (const auto& id : runner.state_.open_orders_) {
        const auto& intent = context.state_.find_order(id)->intent_;
        if (find_finished(runner.report_, id) == nullptr &&
            acquire_permit(id, intent, context.now_)) {
            send(context, id, intent, runner.epoch_);
        }
    }
}

auto order_executor::acquire_permit(const state::record_id& id,
                                    const state::order_intent& intent,
                                    time_point now) -> bool {
    if (!is_load(intent.action_) || permitted_loads_.contains(id)) {
        return true;
    }
    const auto kind = load_kind_of(intent.action_);
    if (!permits_->try_acquire(kind, now)) {
        return false;
    }
    permitted_loads_.emplace(id, kind);
    return true;
}

auto order_executor::send(poll_context& context, const state::record_id& id,
                          const state::order_intent& intent, state::epoch epoch)
    -> void {
    auto& attempt = attempts_[id];
    if (attempt.epoch_ != epoch) {
        attempt = {context.now_, options_.resend_after_, epoch};
    }
    if (context.now_ < attempt.next_send_at_) {
        return;
    }
    attempt.next_send_at_ = context.now_ + attempt.backoff_;
    attempt.backoff_ = std::min(attempt.backoff_ * 2, options_.max_resend_);
    const auto* runner = context.state_.find_runner(intent.runner_);
    context.commands_.push_back({id, epoch, intent.shard_, intent.runner_,
                                 runner->address_, intent.boot_id_,
                                 intent.action_, intent.resident_,
                                 intent.bytes_, intent.role_});
}

auto order_executor::submit_once(const poll_context& context,
                                 std::string subject, state::record body)
    -> std::optional<state::record_id> {
    if (pending_by_subject_.contains(subject)) {
        return std::nullopt;
    }
    const auto id = writer_->submit(append_purpose::orders, std::move(body),
                                    context.state_.next_offset());
    if (!id) {
        return std::nullopt;
    }
    pending_by_subject_.emplace(subject, *id);
    subjects_by_record_.emplace(*id, std::move(subject));
    return *id;
}

auto order_executor::submit_intent(poll_context& context,
                                   const state::order_intent& intent) -> bool {
    const auto kind = load_kind_of(intent.action_);
    const auto load = is_load(intent.action_);
    const auto subject = "intent/" + intent.runner_;
    if (pending_by_subject_.contains(subject) ||
        (load && !permits_->try_acquire(kind, context.now_))) {
        return false;
    }
    const auto id = submit_once(context, subject, intent);
    if (!id) {
        if (load) {
            permits_->release(kind, context.now_);
        }
        return false;
    }
    if (load) {
        permitted_loads_.emplace(*id, kind);
    }
    if (!options_.gate_.after_read_back_) {
        send(context, *id, intent, intent.epoch_);
    }
    return true;
}

auto order_executor::record_blocked_step(std::string_view runner,
                                         const state::resident_key& key,
                                         std::string reason) -> void {
    blocked_.push_back({std::string{runner}, key, std::move(reason)});
}

} // namespace basilstream::coordination
