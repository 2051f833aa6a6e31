#include "basilstream/daemon/model_control/model_control.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilstream::daemon {
namespace {

using coordination::load_state;
using protocol::residency_state;

// How often the lease owner plans, and the shortest interval at which daemons
// send their demand.
constexpr auto plan_interval = milliseconds{250};
constexpr auto demand_interval = milliseconds{250};
// The demand interval grows with the number of daemons, so that the owner
// receives about a hundred messages per second regardless of their number.
constexpr auto demand_interval_per_daemon = milliseconds{10};
// The shortest time between plans, as a multiple of the time the last plan
// took: bounds planning to about 1/20 of the traffic thread's time. With some
// hundred runners a plan takes milliseconds, and every request without a runner
// triggers one.
constexpr auto plan_pause_factor = 20;
// Delay before unserved demand is sent to other daemons. Requests that arrive
// within it share one message.
constexpr auto urgent_flush_delay = milliseconds{10};
// Expected wait for an adapter whose model is resident: one demand message, one
// order and the load of the adapter.
constexpr auto adapter_wait = milliseconds{200};
// Shortest time between log lines on the same model that gets no copy.
constexpr auto unplaced_log_interval = seconds{2};
// Shortest time for which an owner collects demand before it compares models.
constexpr auto min_settling_time = seconds{1};
// Longest wait for a permit to fetch a report from a rate limited runner.
constexpr auto max_report_wait = seconds{1};
// Added to the expected load time from the weight store to cover the plan, the
// order and the runner's report.
constexpr auto load_overhead = milliseconds{700};

auto names_of(const std::vector<coordination::backend_model>& models)
    -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& model : models) {
        names.push_back(model.name_);
    }
    return names;
}

auto state_of(load_state state) -> residency_state {
    switch (state) {
    case load_state::ready:
        return residency_state::placed;
    case load_state::unloading:
        return residency_state::withdrawn;
    case load_state::loading:
        break;
    }
    return residency_state::coming;
}

auto state_of(residency_state state) -> load_state {
    switch (state) {
    case residency_state::placed:
        return load_state::ready;
    case residency_state::withdrawn:
        return load_state::unloading;
    case residency_state::coming:
        break;
    }
    return load_state::loading;
}

auto result_of(const result<order_answer>& answer)
    -> coordination::order_result {
    if (!answer) {
        return coordination::order_result::unknown;
    }
    switch (*answer) {
    case order_answer::accepted:
        return coordination::order_result::accepted;
    case order_answer::already_satisfied:
        return coordination::order_result::already_done;
    default:
        return coordination::order_result::rejected;
    }
}

} // namespace

model_control::model_control(const model_control_context& context,
                             model_control_settings settings,
                             const installation& place,
                             coordination::record_store& store,
                             transport::http_pool& calls,
                             model_observer& observer)
    : context_{context}, settings_{std::move(settings)}, place_{place},
      store_{store}, calls_{calls}, observer_{observer},
      lease_{settings_.lease_, settings_.holder_, context.random_},
      store_loads_{settings_.load_window_} {
    context_.notices_.on_leaving([this](const std::string& runner) {
        // Not within the answer: other requests may be dispatched.
        context_.thread_.after(milliseconds{0},
                               [this, runner] { set_leaving(runner); });
    });
}

auto model_control::set_leaving(const std::string& id) -> void {
    const auto found = servers_.find(id);
    if (found == servers_.end() || !context_.notices_.is_leaving(id)) {
        return;
    }
    auto& server = found->second.server_;
    server.draining_ = true;
    update_ledger(server);
    publish_server(id);
}

auto model_control::on_request(const model_reference& want, std::int64_t tokens,
                               bool served, int urgency) -> void {
    const auto work = static_cast<double>(tokens);
    const auto sample = coordination::demand_sample{
        1, served ? 0.0 : 1.0, work,
        evens_work() ? work * coordination::urgency_weight(urgency) : 0.0};
    const auto now = context_.clock_.now();
    demand_known_since_ = demand_known_since_.value_or(now);
    const auto count = [&](const std::string& adapter) {
        const auto key =
            coordination::demand_key{want.service_, want.model_, adapter};
        demand_.add(key, sample, now);
        auto& unsent = unsent_demand_[key];
        unsent.requests_ += sample.requests_;
        unsent.unserved_ += sample.unserved_;
        unsent.tokens_ += sample.tokens_;
        unsent.weighted_tokens_ += sample.weighted_tokens_;
    };
    count({});
    if (!want.adapter_.empty()) {
        count(want.adapter_);
    }
    if (!served && !std::exchange(flush_scheduled_, true)) {
        context_.thread_.after(urgent_flush_delay, [this] {
            flush_demand();
            request_plan();
        });
    }
}

auto model_control::servers() -> std::vector<coordination::backend_server> {
    auto list = std::vector<coordination::backend_server>{};
    for (const auto& [id, entry] : servers_) {
        list.push_back(overlay_.apply(entry.server_, entry.announced_at_,
                                      context_.clock_.now()));
    }
    return list;
}

auto model_control::describe_demand(const std::string& model) const
    -> std::vector<std::string> {
    const auto now = context_.clock_.now();
    auto lines = std::vector<std::string>{};
    if (!config_) {
        return lines;
    }
    for (const auto& service : config_->services_) {
        for (const auto& key : demand_.keys_in_demand(service.name_, now)) {
            if (key.model_ != model) {
                continue;
            }
            lines.push_back(
                (key.adapter_.empty() ? "model" : "adapter " + key.adapter_) +
                " of service " + service.name_ + ": " +
                std::to_string(std::lround(demand_.rate(key, now))) +
                " tokens per second requested, as known to this daemon");
        }
    }
    if (const auto time_to_ready = overlay_.ready_in(model, {}, now)) {
        lines.push_back(
            "a replica will be ready in " +
            std::to_string(
                std::chrono::ceil<milliseconds>(*time_to_ready).count()) +
            " ms");
    }
    if (!lines.empty()) {
        lines.push_back("placement lease owner: " +
                        (owner().empty() ? "none" : owner()));
    }
    return lines;
}

auto model_control::model_demands() const
    -> std::vector<protocol::model_demand> {
    auto demands = std::vector<protocol::model_demand>{};
    if (!config_) {
        return demands;
    }
    const auto now = context_.clock_.now();
    for (const auto& service : config_->services_) {
        for (const auto& key : demand_.keys_in_demand(service.name_, now)) {
            if (key.adapter_.empty()) {
                demands.push_back({key.service_, key.model_,
                                   static_cast<std::uint32_t>(
                                       std::lround(demand_.rate(key, now)))});
            }
        }
    }
    return demands;
}

auto model_control::expected_wait(const model_reference& want) const
    -> std::optional<milliseconds> {
    const auto now = context_.clock_.now();
    if (!lease_.has_owner(context_.boot_clock_.now())) {
        // No daemon sends orders until the next owner has claimed the lease.
        return std::chrono::ceil<milliseconds>(
            settings_.lease_.pause_between_owners_);
    }
    if (const auto time_to_ready =
            overlay_.ready_in(want.model_, want.adapter_, now)) {
        return std::chrono::ceil<milliseconds>(*time_to_ready);
    }
    const auto* const service =
        config_ ? config_->find_service(want.service_) : nullptr;
    if (service == nullptr || !service->engine_) {
        return std::nullopt;
    }
    if (const auto busy_for = shortest_model_load(want)) {
        return std::chrono::ceil<milliseconds>(*busy_for) + adapter_wait;
    }
    if (const auto time_to_ready = overlay_.ready_in(want.model_, {}, now)) {
        return std::chrono::ceil<milliseconds>(*time_to_ready) + adapter_wait;
    }
    const auto* const model = service->engine_->find_model(want.model_);
    if (model == nullptr) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(model->store_load_time_) +
           load_overhead;
}

auto model_control::shortest_model_load(const model_reference& want) const
    -> std::optional<duration> {
    auto shortest = std::optional<duration>{};
    for (const auto& [id, entry] : servers_) {
        const auto& server = entry.server_;
        const auto holds_model =
            !server.draining_ && server.service_ == want.service_ &&
            std::any_of(
                server.models_.begin(), server.models_.end(),
                [&](const auto& model) { return model.name_ == want.model_; });
        if (holds_model) {
            const auto busy_for =
                overlay_.loading_for(id, context_.clock_.now());
            shortest = std::min(shortest.value_or(busy_for), busy_for);
        }
    }
    return shortest;
}

auto model_control::set_config(
    std::shared_ptr<const coordination::relay_config> config) -> void {
    config_ = std::move(config);
}

auto model_control::set_backend(const coordination::backend_server& announced)
    -> void {
    auto server = announced;
    context_.notices_.set_server(server.id_, server.started_at_);
    server.draining_ =
        server.draining_ || context_.notices_.is_leaving(server.id_);
    auto& entry = servers_[server.id_];
    if (entry.server_.started_at_ != server.started_at_) {
        overlay_.remove_runner(server.id_);
    }
    entry = {server, context_.clock_.now()};
    store_loads_.on_models_announced(server.id_, names_of(server.models_),
                                     entry.announced_at_);
    update_ledger(server);
    publish_server(server.id_);
}

auto model_control::update_ledger(const coordination::backend_server& server)
    -> void {
    if (!server.models_.empty() || !service_of(server.id_).empty()) {
        ledger_.set_runner(server);
    }
}

auto model_control::remove_backend(const std::string& id) -> void {
    servers_.erase(id);
    store_loads_.remove_runner(id);
    overlay_.remove_runner(id);
    ledger_.remove_runner(id);
}

auto model_control::evens_work() const -> bool {
    const auto speeds_differ =
        speeds_ != nullptr &&
        std::any_of(speeds_->services().begin(), speeds_->services().end(),
                    [](const auto& entry) { return entry.second.weighted_; });
    return speeds_differ ||
           (settings_.even_work_ && config_ && config_->requires_keys_);
}

auto model_control::work_unevenness() const -> double {
    return epoch() ? work_unevenness_ : 0;
}

auto model_control::runners_of(const std::string& service) const
    -> std::vector<coordination::fleet_runner> {
    auto runners = ledger_.runners_of(service, context_.clock_.now());
    for (auto& runner : runners) {
        runner.speed_ = speed_of(runner.id_);
    }
    return runners;
}

auto model_control::service_of(const std::string& runner) const -> std::string {
    const auto found = servers_.find(runner);
    if (found == servers_.end() || !config_) {
        return {};
    }
    const auto* const service =
        config_->find_service(found->second.server_.service_);
    return service != nullptr && service->engine_ ? service->name_ : "";
}

auto model_control::publish_server(const std::string& id) -> void {
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        observer_.on_residency_changed(
            overlay_.apply(found->second.server_, found->second.announced_at_,
                           context_.clock_.now()));
    }
}

auto model_control::on_update(const protocol::relay_update& update) -> void {
    const auto now = context_.clock_.now();
    auto unserved = false;
    for (const auto& demand : update.demands_) {
        demand_.add({demand.service_, demand.model_, demand.adapter_},
                    {static_cast<double>(demand.requests_),
                     static_cast<double>(demand.unserved_),
                     static_cast<double>(demand.tokens_),
                     static_cast<double>(demand.weighted_tokens_)},
                    now);
        unserved = unserved || demand.unserved_ > 0;
    }
    if (!epoch()) {
        for (const auto& demand : update.model_demands_) {
            demand_.set_rate({demand.service_, demand.model_, {}},
                             demand.tokens_per_second_, now);
            owner_demand_at_ = now;
        }
    }
    auto changed_servers = std::set<std::string>{};
    for (const auto& change : update.changes_) {
        overlay_.add({change.backend_, change.model_, change.adapter_,
                      state_of(change.state_), change.ready_in_},
                     now);
        if (change.state_ == protocol::residency_state::coming &&
            change.adapter_.empty()) {
            store_loads_.on_load_notice(change.backend_, change.model_, now);
        }
        changed_servers.insert(change.backend_);
    }
    for (const auto& id : changed_servers) {
        publish_server(id);
    }
    const auto boot_now = context_.boot_clock_.now();
    if (update.lease_epoch_ && update.lease_left_ > milliseconds{0}) {
        lease_.on_owner_heartbeat(*update.lease_epoch_, update.lease_left_,
                                  update.lease_end_, boot_now);
    } else if (update.lease_epoch_) {
        lease_.on_owner_released(*update.lease_epoch_, update.lease_end_,
                                 boot_now);
    }
    if (unserved) {
        request_plan();
    }
}

auto model_control::set_daemons(std::size_t count) -> void {
    flush_interval_ = std::max<duration>(
        demand_interval, demand_interval_per_daemon * static_cast<int>(count));
}

auto model_control::stop() -> void {
    auto update = protocol::relay_update{};
    set_lease_fields(update);
    lease_.stop();
    if (update.lease_epoch_) {
        update.lease_left_ = milliseconds{0};
        observer_.broadcast(update);
    }
}

auto model_control::tick() -> void {
    const auto now = context_.clock_.now();
    advance_lease();
    if (now >= next_flush_) {
        next_flush_ = now + flush_interval_;
        flush_demand();
        demand_.trim(now);
    }
    if (!epoch()) {
        return;
    }
    fetch_due_reports();
    if (now >= next_plan_) {
        request_plan();
    }
    publish_changes();
}

auto model_control::flush_demand() -> void {
    flush_scheduled_ = false;
    auto update = protocol::relay_update{};
    set_lease_fields(update);
    for (const auto& [key, sample] : std::exchange(unsent_demand_, {})) {
        update.demands_.push_back({key.service_, key.model_, key.adapter_,
                                   static_cast<std::uint32_t>(sample.requests_),
                                   static_cast<std::uint32_t>(sample.unserved_),
                                   static_cast<std::uint64_t>(sample.tokens_),
                                   static_cast<std::uint64_t>(
                                       std::llround(sample.weighted_tokens_))});
    }
    if (update.lease_epoch_) {
        observer_.broadcast(update);
    } else if (!update.demands_.empty()) {
        observer_.send_demand(update);
    }
}

auto model_control::call_runner(const std::string& runner, duration max_wait,
                                const std::function<void()>& call,
                                const std::function<void(duration)>& refused)
    -> void {
    const auto call_unless_paused = [this, runner, call, refused] {
        const auto pause = context_.notices_.pause_left(runner);
        if (pause > duration{0}) {
            refused(pause);
        } else {
            call();
        }
    };
    auto& permits = context_.permits_;
    const auto paused = context_.notices_.pause_left(runner) > duration{0};
    if (paused || !permits.limit_of(runner)) {
        call_unless_paused();
        return;
    }
    permits.acquire(
        runner, {.max_wait_ = max_wait},
        [this, call_unless_paused, refused](const coordination::permit& given,
                                            const server_slot& /*slot*/) {
            if (!given.granted_) {
                refused(given.wait_);
            } else if (given.wait_ == duration{0}) {
                call_unless_paused();
            } else {
                context_.thread_.after(
                    std::chrono::ceil<milliseconds>(given.wait_),
                    call_unless_paused);
            }
        });
}

auto model_control::note_reply(const std::string& runner,
                               const result<transport::small_reply>& reply,
                               time_point sent_at) -> void {
    if (!reply) {
        return;
    }
    const auto notice = place_.dialect().rate_limit(reply->headers_);
    if (notice.kind_ != per_second_notice::kind::absent) {
        context_.permits_.on_notice(runner, notice, sent_at);
    }
    const auto bearable = place_.dialect().bearable_rejections(reply->headers_);
    if (bearable.kind_ != per_second_notice::kind::absent) {
        context_.permits_.on_bearable_stated(runner, bearable, sent_at);
    }
    if (place_.dialect().is_leaving(runner, reply->headers_)) {
        context_.notices_.on_leaving_stated(runner);
    }
    context_.notices_.on_pause_stated(
        runner, place_.dialect().pause(reply->status_, reply->headers_));
}

auto model_control::fetch_due_reports() -> void {
    for (const auto& id : ledger_.reports_due(context_.clock_.now())) {
        call_runner(
            id, max_report_wait, [this, id] { fetch_report(id); },
            [this, id](duration /*wait*/) {
                ledger_.on_report_failed(id, context_.clock_.now());
            });
    }
}

auto model_control::fetch_report(const std::string& id) -> void {
    context_.permits_.on_sent(id);
    context_.notices_.on_sent(id, server_call::report, {});
    transport::fetch(
        calls_, context_.thread_,
        place_.report_call(id, ledger_.address_of(id)),
        [this, id, sent_at = context_.clock_.now()](
            const result<transport::small_reply>& reply) {
            const auto now = context_.clock_.now();
            note_reply(id, reply, sent_at);
            const auto report =
                reply ? place_.read_report(*reply)
                      : result<runner_report>{tl::unexpected(reply.error())};
            if (!report) {
                context_.log_.failure(transport::log_level::debug,
                                      "fetching a runner report failed",
                                      report.error());
                ledger_.on_report_failed(id, now);
                return;
            }
            store_loads_.on_report(id, names_of(report->models_),
                                   report->order_in_progress_, now);
            ledger_.on_report(id,
                              {report->models_, report->loading_adapters_,
                               report->order_in_progress_,
                               report->accepted_orders_},
                              now);
            publish_changes();
        });
}

auto model_control::store_load_capacity(
    const coordination::service_engine& engine) const -> std::size_t {
    return static_cast<std::size_t>(
        engine.loads_per_second_ *
        std::chrono::duration<double>(settings_.load_window_).count());
}

auto model_control::remaining_store_loads(
    const coordination::service_engine& engine) -> int {
    return static_cast<int>(store_load_capacity(engine)) -
           static_cast<int>(store_loads_.count_loads(context_.clock_.now()));
}

auto model_control::request_plan() -> void {
    const auto now = context_.clock_.now();
    if (!epoch() || plan_scheduled_) {
        return;
    }
    if (now >= plan_allowed_at_) {
        plan();
        return;
    }
    plan_scheduled_ = true;
    context_.thread_.after(
        std::chrono::ceil<milliseconds>(plan_allowed_at_ - now), [this] {
            plan_scheduled_ = false;
            plan();
        });
}

auto model_control::plan() -> void {
    const auto now = context_.clock_.now();
    if (!epoch() || !config_) {
        return;
    }
    next_plan_ = now + plan_interval;
    settings_.fleet_.even_work_ = evens_work();
    const auto explains = now >= next_unplaced_log_;
    work_unevenness_ = explains ? 0 : work_unevenness_;
    for (const auto& service : config_->services_) {
        if (!service.engine_) {
            continue;
        }
        const auto runners = runners_of(service.name_);
        const auto input = coordination::fleet_input{
            .service_ = service.name_,
            .engine_ = *service.engine_,
            .runners_ = runners,
            .demand_ = demand_,
            .store_loads_ = remaining_store_loads(*service.engine_),
            .now_ = now,
            .demand_settled_ = demand_settled(now)};
        const auto steps = coordination::plan_fleet(input, settings_.fleet_);
        if (explains) {
            log_unplaced_models(input);
            work_unevenness_ = std::max(work_unevenness_,
                                        coordination::work_unevenness(input));
        }
        for (const auto& step : steps) {
            send_order(step);
        }
    }
    if (explains) {
        next_unplaced_log_ = now + unplaced_log_interval;
    }
    const auto planning_time = context_.clock_.now() - now;
    plan_allowed_at_ = now + plan_pause_factor * planning_time;
    publish_changes();
}

auto model_control::demand_settled(time_point now) const -> bool {
    return demand_known_since_ &&
           now - *demand_known_since_ >=
               std::max<duration>(min_settling_time, 2 * flush_interval_);
}

auto model_control::log_unplaced_models(const coordination::fleet_input& input)
    -> void {
    for (const auto& unplaced :
         coordination::find_unplaced_models(input, settings_.fleet_)) {
        context_.log_.info(
            unplaced.copy_for_ == coordination::fleet_reason::unserved
                ? "model in demand gets no copy"
                : "busy model gets no further copy",
            {{"service", input.service_},
             {"model", unplaced.model_},
             {"blocked_runners", std::to_string(unplaced.blocked_runners_)},
             {"reason",
              coordination::unplaced_reason_names.name_of(unplaced.reason_)}});
    }
}

auto model_control::send_order(const coordination::fleet_step& step) -> void {
    const auto now = context_.clock_.now();
    const auto expected = ledger_.begin_order(step, now);
    // The lease may have expired since the plan was made, for example because
    // the VM was suspended.
    const auto fence = epoch();
    if (!expected || !fence) {
        return;
    }
    call_runner(
        step.runner_, duration{0},
        [this, step, expected = *expected, fence = *fence] {
            send_recorded_order(step, expected, fence);
        },
        [this, step](duration wait) {
            ledger_.on_order_postponed(step.runner_,
                                       context_.clock_.now() + wait);
        });
}

auto model_control::send_recorded_order(const coordination::fleet_step& step,
                                        std::uint64_t expected_orders,
                                        std::uint64_t lease_epoch) -> void {
    const auto now = context_.clock_.now();
    // The lease may have expired while the order waited for a permit.
    if (epoch() != lease_epoch) {
        ledger_.on_order_postponed(step.runner_, now);
        return;
    }
    if (step.from_store_ && step.is_load_) {
        store_loads_.add_load(now);
    }
    context_.permits_.on_sent(step.runner_);
    context_.notices_.on_sent(step.runner_, server_call::order, {});
    context_.log_.info(
        "sending order to runner",
        {{"runner", step.runner_},
         {"service", service_of(step.runner_)},
         {"operation", step.is_load_ ? "load" : "unload"},
         {"model", step.model_},
         {"adapter", step.adapter_},
         {"reason", coordination::fleet_reason_names.name_of(step.reason_)},
         {"from_store", step.from_store_ ? "yes" : "no"},
         {"expected_orders", std::to_string(expected_orders)},
         {"fence", std::to_string(lease_epoch + 1)}});
    const auto order =
        runner_order{.runner_ = step.runner_,
                     .address_ = ledger_.address_of(step.runner_),
                     .load_ = step.is_load_,
                     .model_ = step.model_,
                     .adapter_ = step.adapter_,
                     .expected_orders_ = expected_orders,
                     .holder_ = settings_.holder_,
                     // Epochs are log offsets and start at zero; fencing
                     // numbers start at one.
                     .fencing_number_ = lease_epoch + 1};
    transport::fetch(calls_, context_.thread_, place_.order_call(order),
                     [this, step, sent_at = now](
                         const result<transport::small_reply>& reply) {
                         note_reply(step.runner_, reply, sent_at);
                         on_order_answer(step, reply);
                     });
}

auto model_control::on_order_answer(const coordination::fleet_step& step,
                                    const result<transport::small_reply>& reply)
    -> void {
    const auto answer =
        reply ? place_.read_order_answer(*reply)
              : result<order_answer>{tl::unexpected(reply.error())};
    const auto outcome = result_of(answer);
    if (outcome != coordination::order_result::accepted) {
        context_.log_.info(
            "order not accepted",
            {{"runner", step.runner_},
             {"model", step.model_},
             {"adapter", step.adapter_},
             {"answer", answer ? order_answer_names.name_of(*answer)
                               : std::string_view{"unknown"}}});
    }
    ledger_.on_answer(step.runner_, outcome, context_.clock_.now());
    publish_changes();
    if (epoch() && answer && !step.is_load_) {
        // The unload has freed capacity, or will when it completes.
        request_plan();
    }
}

auto model_control::publish_changes() -> void {
    const auto now = context_.clock_.now();
    const auto changes = ledger_.take_changes(now);
    if (changes.empty()) {
        return;
    }
    auto update = protocol::relay_update{};
    set_lease_fields(update);
    auto changed_servers = std::set<std::string>{};
    for (const auto& change : changes) {
        overlay_.add(change, now);
        changed_servers.insert(change.runner_);
        update.changes_.push_back(
            {change.runner_, service_of(change.runner_), change.model_,
             change.adapter_, state_of(change.state_),
             std::chrono::ceil<milliseconds>(change.ready_in_)});
    }
    observer_.broadcast(update);
    for (const auto& id : changed_servers) {
        publish_server(id);
    }
}

} // namespace basilstream::daemon
