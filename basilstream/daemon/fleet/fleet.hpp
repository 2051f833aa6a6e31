/// Tracks the backend servers: polls the platform's VM list and the runners'
/// load reports, and updates the router, admission and quarantine from them.
///
///     auto servers = fleet{context, settings, policy, control_stream};
///     servers.on_report([](const runner_view& runner) { ... });
///     servers.tick();
///
/// Not thread-safe: use on the control thread only.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilstream/daemon/completions/completions.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/protocol/engine_api/engine_api.hpp"

namespace basilstream::daemon {

/// A runner from the VM list with its newest load report.
struct runner_view {
    protocol::listed_vm vm_;
    /// The newest load report; empty before the first one.
    std::optional<protocol::engine_report> report_;
    /// Whether the runner answers polls.
    bool reachable_ = false;
    /// Whether the VM list, the runner's own report or a peer announced that
    /// the runner is leaving.
    bool leaving_ = false;
    /// Consecutive failed polls.
    int failed_polls_ = 0;
    bool poll_in_flight_ = false;
    time_point next_poll_;
    /// Sequence number of the next prefix cache event to fetch.
    std::uint64_t next_cache_event_ = 0;
    /// Offset up to which this daemon had read the control stream when it
    /// requested the newest report.
    std::uint64_t requested_at_offset_ = 0;
};

/// Read access to the state of the runners in the control stream. Implemented
/// by `control_log` in the daemon.
class control_stream_view {
public:
    control_stream_view() = default;
    control_stream_view(const control_stream_view&) = delete;
    auto operator=(const control_stream_view&) -> control_stream_view& = delete;
    virtual ~control_stream_view() = default;

    /// Returns the offset up to which the control stream was read.
    [[nodiscard]] virtual auto position() const -> std::uint64_t = 0;
    /// Returns whether this daemon owns the runner's shard and must therefore
    /// poll the runner at the full rate.
    [[nodiscard]] virtual auto owns(const std::string& runner) const
        -> bool = 0;
    /// Returns the boot id recorded for the runner; empty if none is recorded.
    [[nodiscard]] virtual auto boot_id(const std::string& runner) const
        -> std::string = 0;
    /// Returns the models resident on the runner during the given boot, or
    /// `nullopt` if the control stream has no record of this boot.
    [[nodiscard]] virtual auto residents(const std::string& runner,
                                         const std::string& boot_id) const
        -> std::optional<std::vector<coordination::resident_model>> = 0;
};

/// Returns the model name under which the router lists a plain service.
[[nodiscard]] auto service_route_name(std::string_view service) -> std::string;

/// Polls the VM list and the runners, and notifies observers of changes.
class fleet final : public runner_directory {
public:
    /// `settings` and `control_stream` must outlive the fleet.
    fleet(const context& base, const daemon_settings& settings,
          traffic_policy policy, const control_stream_view& control_stream);

    /// Calls `observer` after each report of a runner.
    auto on_report(std::function<void(const runner_view&)> observer) -> void;
    /// Calls `observer` when a runner is removed because it is neither listed
    /// nor reachable.
    auto on_removed(std::function<void(const std::string& runner)> observer)
        -> void;
    /// Calls `observer` with the listed entry VMs after each read of the VM
    /// list.
    auto on_entries(
        std::function<void(const std::vector<protocol::listed_vm>&)> observer)
        -> void;
    /// Calls `observer` when this daemon first learns that a runner is
    /// leaving.
    auto on_leaving(std::function<void(const std::string& runner)> observer)
        -> void;

    /// Starts the polls that are due; call every few milliseconds.
    auto tick() -> void;
    /// Schedules a refresh of the resident models at the next tick, after the
    /// control stream changed them.
    auto on_residents_changed() -> void { residents_changed_ = true; }
    /// Marks the runner as leaving, for example on the report of a peer.
    auto mark_leaving(const std::string& runner) -> void;

    [[nodiscard]] auto
    serving_version(const std::string& model,
                    const std::vector<std::string>& versions) const
        -> std::string override;
    auto check_crash(const std::string& runner, const std::string& boot_id,
                     std::function<void(bool crashed)> done) -> void override;

    [[nodiscard]] auto runners() const
        -> const std::map<std::string, runner_view>& {
        return runners_;
    }
    /// Returns whether the VM list was read at least once.
    [[nodiscard]] auto has_vm_list() const -> bool { return vm_list_received_; }
    /// Returns the time of the last successful read of the VM list.
    [[nodiscard]] auto last_listed() const -> time_point {
        return last_listed_;
    }

private:
    auto poll_vm_list() -> void;
    auto apply_vm_list(const std::vector<protocol::listed_vm>& listed_vms)
        -> void;
    auto apply_listed_service(const protocol::listed_vm& vm) -> void;
    auto apply_listed_runner(const protocol::listed_vm& vm) -> void;
    auto remove_unlisted(const std::set<std::string>& listed_names) -> void;
    auto poll_runner(runner_view& runner) -> void;
    auto handle_report(const std::string& name,
                       std::uint64_t requested_at_offset,
                       result<protocol::engine_report> report) -> void;
    auto on_poll_failed(runner_view& runner, const error& failure) -> void;
    auto poll_cache(const runner_view& runner) -> void;
    [[nodiscard]] auto poll_interval(const std::string& runner) const
        -> milliseconds;
    [[nodiscard]] auto residents_of(const runner_view& runner) const
        -> std::vector<coordination::resident_model>;
    auto update_router(const runner_view& runner) -> void;
    auto rebuild_versions() -> void;
    auto refresh_residents() -> void;
    auto fetch_report(const std::string& address, milliseconds timeout,
                      std::function<void(result<protocol::engine_report>)> done)
        -> void;

    context base_;
    const daemon_settings& settings_;
    traffic_policy policy_;
    const control_stream_view& control_stream_;
    bool residents_changed_ = false;
    std::map<std::string, runner_view> runners_;
    std::map<std::string, protocol::listed_vm> services_;
    // Versions by model that are ready on at least one runner.
    std::map<std::string, std::set<std::string>> versions_;
    std::vector<std::function<void(const runner_view&)>> report_observers_;
    std::vector<std::function<void(const std::string&)>> removal_observers_;
    std::vector<std::function<void(const std::vector<protocol::listed_vm>&)>>
        entry_observers_;
    std::vector<std::function<void(const std::string&)>> leaving_observers_;
    bool vm_list_received_ = false;
    bool vm_list_in_flight_ = false;
    time_point next_vm_list_poll_;
    time_point last_listed_;
};

} // namespace basilstream::daemon
