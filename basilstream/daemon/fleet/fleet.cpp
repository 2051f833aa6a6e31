#include "basilstream/daemon/fleet/fleet.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::daemon {
namespace {

constexpr auto vm_list_timeout = milliseconds{2000};
constexpr auto report_timeout = milliseconds{1000};
constexpr auto crash_check_timeout = milliseconds{700};
// Consecutive failed polls after which a runner counts as unreachable.
constexpr auto polls_before_unreachable = 3;
constexpr auto service_slots = 64;
// Size of a load report on the wire, and the bandwidth that a daemon may spend
// on the reports of all runners that it does not own.
constexpr auto report_bytes = std::size_t{2048};
constexpr auto report_bytes_per_second = std::size_t{1536};
constexpr auto status_ok = 200;

} // namespace

auto service_route_name(std::string_view service) -> std::string {
    return "service:" + std::string{service};
}

fleet::fleet(const context& base, const daemon_settings& settings,
             traffic_policy policy, const control_stream_view& control_stream)
    : base_{base}, settings_{settings}, policy_{std::move(policy)},
      control_stream_{control_stream} {}

auto fleet::on_report(std::function<void(const runner_view&)> observer)
    -> void {
    report_observers_.push_back(std::move(observer));
}

auto fleet::on_removed(std::function<void(const std::string&)> observer)
    -> void {
    removal_observers_.push_back(std::move(observer));
}

auto fleet::on_entries(
    std::function<void(const std::vector<protocol::listed_vm>&)> observer)
    -> void {
    entry_observers_.push_back(std::move(observer));
}

auto fleet::on_leaving(std::function<void(const std::string&)> observer)
    -> void {
    leaving_observers_.push_back(std::move(observer));
}

auto fleet::tick() -> void {
    const auto now = base_.clock_.now();
    if (now >= next_vm_list_poll_ && !vm_list_in_flight_) {
        poll_vm_list();
    }
    if (std::exchange(residents_changed_, false)) {
        refresh_residents();
    }
    for (auto& [name, runner] : runners_) {
        if (now >= runner.next_poll_ && !runner.poll_in_flight_) {
            poll_runner(runner);
        }
    }
}

auto fleet::poll_vm_list() -> void {
    vm_list_in_flight_ = true;
    const auto& platform = settings_.platform_;
    base_.platform_.fetch(
        {.url_ = platform.vm_list_url_ + platform.vm_list_path_,
         .total_timeout_ = vm_list_timeout,
         .step_ = step::vm_list},
        [this,
         peer = platform.vm_list_url_](result<transport::http_reply> reply) {
            auto listed_vms = result<std::vector<protocol::listed_vm>>{};
            if (!reply) {
                listed_vms = tl::unexpected(reply.error());
            } else {
                listed_vms = protocol::parse_vm_list(reply->body_, peer);
            }
            base_.on_control([this, listed_vms = std::move(listed_vms)] {
                vm_list_in_flight_ = false;
                next_vm_list_poll_ =
                    base_.clock_.now() + settings_.platform_.vm_list_interval_;
                if (listed_vms) {
                    apply_vm_list(*listed_vms);
                } else {
                    // The last list stays in use during an outage.
                    base_.log_.failure(transport::log_level::debug,
                                       "cannot read VM list",
                                       listed_vms.error());
                }
            });
        });
}

auto fleet::apply_vm_list(const std::vector<protocol::listed_vm>& listed_vms)
    -> void {
    vm_list_received_ = true;
    last_listed_ = base_.clock_.now();
    auto names = std::set<std::string>{};
    auto entries = std::vector<protocol::listed_vm>{};
    for (const auto& vm : listed_vms) {
        names.insert(vm.name_);
        switch (vm.kind_) {
        case protocol::vm_kind::runner:
            apply_listed_runner(vm);
            break;
        case protocol::vm_kind::service:
            apply_listed_service(vm);
            break;
        case protocol::vm_kind::entry:
            entries.push_back(vm);
            break;
        }
    }
    remove_unlisted(names);
    for (const auto& observer : entry_observers_) {
        observer(entries);
    }
}

auto fleet::apply_listed_service(const protocol::listed_vm& vm) -> void {
    services_[vm.name_] = vm;
    policy_.router_.update_runner(
        {.name_ = vm.name_,
         .address_ = vm.address_,
         .zone_ = vm.zone_,
         .slots_ = service_slots,
         .leaving_ = vm.leaving_,
         .residents_ = {{.model_ = service_route_name(vm.service_)}}});
    policy_.admission_.set_runner(vm.name_, service_slots);
}

auto fleet::apply_listed_runner(const protocol::listed_vm& vm) -> void {
    auto& runner = runners_[vm.name_];
    if (runner.vm_.address_ != vm.address_) {
        runner = runner_view{};
    }
    runner.vm_ = vm;
    if (vm.leaving_ && !runner.leaving_) {
        mark_leaving(vm.name_);
    }
}

auto fleet::remove_unlisted(const std::set<std::string>& listed_names) -> void {
    for (auto entry = services_.begin(); entry != services_.end();) {
        if (listed_names.contains(entry->first)) {
            ++entry;
            continue;
        }
        policy_.router_.remove_runner(entry->first);
        policy_.admission_.remove_runner(entry->first);
        entry = services_.erase(entry);
    }
    for (auto entry = runners_.begin(); entry != runners_.end();) {
        // The VM list is updated with a delay, so a runner that still answers
        // is kept.
        if (listed_names.contains(entry->first) || entry->second.reachable_) {
            ++entry;
            continue;
        }
        const auto name = entry->first;
        policy_.router_.remove_runner(name);
        policy_.admission_.remove_runner(name);
        entry = runners_.erase(entry);
        for (const auto& observer : removal_observers_) {
            observer(name);
        }
    }
    rebuild_versions();
}

auto fleet::mark_leaving(const std::string& runner) -> void {
    const auto found = runners_.find(runner);
    if (found != runners_.end() && !found->second.leaving_) {
        found->second.leaving_ = true;
        base_.log_.info("runner is leaving", {{"runner", runner}});
        for (const auto& observer : leaving_observers_) {
            observer(runner);
        }
    }
    policy_.router_.mark_leaving(runner);
    for (const auto& model : policy_.router_.models_on(runner)) {
        policy_.admission_.on_replicas_changed(model);
    }
}

auto fleet::fetch_report(
    const std::string& address, milliseconds timeout,
    std::function<void(result<protocol::engine_report>)> done) -> void {
    base_.platform_.fetch(
        {.url_ = "http://" + address + "/v1/report",
         .connect_timeout_ = timeout,
         .total_timeout_ = timeout},
        [this, address,
         done = std::move(done)](result<transport::http_reply> reply) {
            auto report = result<protocol::engine_report>{};
            if (!reply) {
                report = tl::unexpected(reply.error());
            } else if (reply->status_ != status_ok) {
                report = tl::unexpected(
                    error{error_code::backend_error, step::runner, address,
                          "status " + std::to_string(reply->status_)});
            } else {
                report = protocol::parse_report(reply->body_, address);
            }
            base_.on_control(
                [done, report = std::move(report)] { done(report); });
        });
}

auto fleet::poll_runner(runner_view& runner) -> void {
    runner.poll_in_flight_ = true;
    fetch_report(
        runner.vm_.address_, report_timeout,
        [this, name = runner.vm_.name_, position = control_stream_.position()](
            result<protocol::engine_report> report) {
            handle_report(name, position, std::move(report));
        });
}

auto fleet::handle_report(const std::string& name,
                          std::uint64_t requested_at_offset,
                          result<protocol::engine_report> report) -> void {
    const auto found = runners_.find(name);
    if (found == runners_.end()) {
        return;
    }
    auto& runner = found->second;
    const auto now = base_.clock_.now();
    const auto interval = poll_interval(name);
    runner.poll_in_flight_ = false;
    // Up to 10% jitter prevents the daemons from polling in synchrony.
    runner.next_poll_ =
        now + interval +
        milliseconds{base_.random_.below(
            static_cast<std::uint64_t>(interval.count()) / 10 + 1)};
    if (!report) {
        on_poll_failed(runner, report.error());
        return;
    }
    const auto restarted = runner.report_ &&
                           runner.report_->boot_id_ != report->boot_id_ &&
                           !runner.leaving_;
    if (restarted) {
        base_.log_.warning("runner restarted", {{"runner", name}});
        policy_.quarantine_.on_crash(name, now);
        runner.next_cache_event_ = 0;
    }
    runner.report_ = std::move(*report);
    runner.requested_at_offset_ = requested_at_offset;
    runner.reachable_ = true;
    runner.failed_polls_ = 0;
    if (runner.report_->leaving_) {
        mark_leaving(name);
    }
    update_router(runner);
    policy_.router_.on_load_report({.runner_ = name,
                                    .sequence_ = runner.report_->sequence_,
                                    .running_ = runner.report_->running_,
                                    .waiting_ = runner.report_->waiting_},
                                   now);
    policy_.admission_.on_runner_waiting(name, runner.report_->waiting_, now);
    for (const auto& observer : report_observers_) {
        observer(runner);
    }
    poll_cache(runner);
}

auto fleet::on_poll_failed(runner_view& runner, const error& failure) -> void {
    ++runner.failed_polls_;
    const auto refused = failure.code_ == error_code::unavailable;
    if (!runner.reachable_ ||
        (!refused && runner.failed_polls_ < polls_before_unreachable)) {
        return;
    }
    runner.reachable_ = false;
    base_.log_.failure(transport::log_level::warning, "runner is unreachable",
                       failure);
    if (refused && !runner.leaving_) {
        policy_.quarantine_.on_crash(runner.vm_.name_, base_.clock_.now());
    }
    update_router(runner);
}

auto fleet::update_router(const runner_view& runner) -> void {
    if (!runner.report_) {
        // The number of slots is unknown before the first report.
        return;
    }
    auto info = coordination::runner_info{};
    info.name_ = runner.vm_.name_;
    info.address_ = runner.vm_.address_;
    info.zone_ = runner.vm_.zone_;
    info.leaving_ = runner.leaving_;
    auto models = std::set<std::string>{};
    if (runner.report_) {
        info.boot_id_ = runner.report_->boot_id_;
        info.slots_ = std::max(runner.report_->slots_, 1);
    }
    info.residents_ = residents_of(runner);
    for (const auto& resident : info.residents_) {
        models.insert(resident.model_);
    }
    policy_.router_.update_runner(info);
    policy_.admission_.set_runner(info.name_, info.slots_);
    for (const auto& model : models) {
        policy_.admission_.on_replicas_changed(model);
    }
    rebuild_versions();
}

// The owner of a runner polls it at the configured interval. Every other daemon
// learns of changes through the control stream, so its poll interval grows with
// the number of runners to keep the total bandwidth of its polls constant.
auto fleet::poll_interval(const std::string& runner) const -> milliseconds {
    const auto min_interval = settings_.requests_.report_interval_;
    if (control_stream_.owns(runner)) {
        return min_interval;
    }
    const auto budget_interval =
        seconds{runners_.size() * report_bytes / report_bytes_per_second};
    return std::max<milliseconds>(min_interval, budget_interval);
}

auto fleet::residents_of(const runner_view& runner) const
    -> std::vector<coordination::resident_model> {
    if (!runner.report_ || !runner.reachable_) {
        return {};
    }
    if (auto recorded = control_stream_.residents(runner.vm_.name_,
                                                  runner.report_->boot_id_)) {
        return std::move(*recorded);
    }
    auto residents = std::map<std::pair<std::string, std::string>,
                              coordination::resident_model>{};
    for (const auto& entry : runner.report_->residents_) {
        auto& resident = residents[{entry.model_, entry.version_}];
        resident.model_ = entry.model_;
        resident.version_ = entry.version_;
        if (entry.adapter_.empty()) {
            resident.ready_ = entry.state_ == "ready";
        } else if (entry.state_ == "ready") {
            resident.adapters_.push_back(entry.adapter_);
        }
    }
    auto list = std::vector<coordination::resident_model>{};
    for (auto& [key, resident] : residents) {
        list.push_back(std::move(resident));
    }
    return list;
}

auto fleet::refresh_residents() -> void {
    for (auto& [name, runner] : runners_) {
        const auto boot_id = control_stream_.boot_id(name);
        if (runner.report_ && !boot_id.empty() &&
            runner.report_->boot_id_ != boot_id) {
            // The owner recorded a restart that this daemon has not seen yet;
            // poll at once.
            runner.next_poll_ = {};
        }
        update_router(runner);
    }
}

auto fleet::rebuild_versions() -> void {
    versions_.clear();
    for (const auto& [name, runner] : runners_) {
        if (runner.leaving_) {
            continue;
        }
        for (const auto& resident : residents_of(runner)) {
            if (resident.ready_) {
                versions_[resident.model_].insert(resident.version_);
            }
        }
    }
}

auto fleet::serving_version(const std::string& model,
                            const std::vector<std::string>& versions) const
    -> std::string {
    const auto found = versions_.find(model);
    if (found == versions_.end()) {
        return versions.empty() ? std::string{} : versions.front();
    }
    for (const auto& version : versions) {
        if (found->second.contains(version)) {
            return version;
        }
    }
    // A version that is no longer declared serves until a declared one is
    // ready, so that the model stays available during a rollout.
    return *found->second.begin();
}

auto fleet::check_crash(const std::string& runner, const std::string& boot_id,
                        std::function<void(bool)> done) -> void {
    const auto found = runners_.find(runner);
    if (found == runners_.end()) {
        done(false);
        return;
    }
    fetch_report(
        found->second.vm_.address_, crash_check_timeout,
        [this, runner, boot_id, done = std::move(done)](
            const result<protocol::engine_report>& report) {
            const auto view = runners_.find(runner);
            const auto leaving =
                view != runners_.end() && view->second.leaving_;
            const auto refused =
                !report && report.error().code_ == error_code::unavailable;
            const auto restarted =
                report && !boot_id.empty() && report->boot_id_ != boot_id;
            const auto crashed = (refused || restarted) && !leaving;
            if (crashed) {
                policy_.quarantine_.on_crash(runner, base_.clock_.now());
            }
            if (refused && view != runners_.end() && view->second.reachable_) {
                view->second.reachable_ = false;
                update_router(view->second);
            }
            done(crashed);
        });
}

auto fleet::poll_cache(const runner_view& runner) -> void {
    const auto name = runner.vm_.name_;
    base_.platform_.fetch(
        {.url_ = "http://" + runner.vm_.address_ + "/v1/cache/events?from=" +
                 std::to_string(runner.next_cache_event_),
         .total_timeout_ = report_timeout},
        [this, name,
         peer = runner.vm_.address_](result<transport::http_reply> reply) {
            if (!reply || reply->status_ != status_ok) {
                return;
            }
            auto events = protocol::parse_cache_events(reply->body_, peer);
            if (!events) {
                return;
            }
            base_.on_control([this, name, events = std::move(*events)] {
                const auto found = runners_.find(name);
                if (found == runners_.end()) {
                    return;
                }
                found->second.next_cache_event_ = events.next_;
                for (const auto& event : events.events_) {
                    policy_.router_.on_cache_event({name, event.sequence_,
                                                    event.stored_, event.model_,
                                                    event.prefix_hash_});
                }
            });
        });
}

} // namespace basilstream::daemon
