/// The backend servers as this daemon sees them: polls the platform's VM list
/// and the runners' load reports, and feeds router, admission and quarantine.
///
///     auto servers = fleet{context, settings, policy};
///     servers.on_report([](const runner_view& runner) { ... });
///     servers.tick();
///
/// Control thread only.
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

/// A listed backend server with its newest report.
struct runner_view {
    protocol::listed_vm vm_;
    /// Nothing before the first report.
    std::optional<protocol::engine_report> report_;
    bool reachable_ = false;
    /// Leaving by the VM list, its own report or a peer.
    bool leaving_ = false;
    int failed_polls_ = 0;
    bool poll_in_flight_ = false;
    time_point next_poll_;
    std::uint64_t next_cache_event_ = 0;
    /// Offset of the control stream up to which this daemon had read when the
    /// newest report was asked for.
    std::uint64_t requested_at_offset_ = 0;
};

/// What the control stream tells of a runner; `control_log` in the daemon.
class control_stream_view {
public:
    control_stream_view() = default;
    control_stream_view(const control_stream_view&) = delete;
    auto operator=(const control_stream_view&) -> control_stream_view& = delete;
    virtual ~control_stream_view() = default;

    /// Offset up to which the control stream was read.
    [[nodiscard]] virtual auto position() const -> std::uint64_t = 0;
    /// Whether this daemon owns the runner's shard, and so must watch it.
    [[nodiscard]] virtual auto owns(const std::string& runner) const
        -> bool = 0;
    /// The boot of a runner that the stream knows; empty for none.
    [[nodiscard]] virtual auto boot_id(const std::string& runner) const
        -> std::string = 0;
    /// The models in place on a boot of a runner; nothing when the stream does
    /// not know this boot.
    [[nodiscard]] virtual auto residents(const std::string& runner,
                                         const std::string& boot_id) const
        -> std::optional<std::vector<coordination::resident_model>> = 0;
};

/// Name under which the router knows a plain service.
[[nodiscard]] auto service_route_name(std::string_view service) -> std::string;

/// The fleet.
class fleet final : public runner_directory {
public:
    /// `ledger` must outlive the fleet.
    fleet(const context& base, const daemon_settings& settings,
          traffic_policy policy, const control_stream_view& control_stream);

    /// Calls `observer` after each report of a runner.
    auto on_report(std::function<void(const runner_view&)> observer) -> void;
    /// Calls `observer` when a runner is neither listed nor reachable.
    auto on_removed(std::function<void(const std::string& runner)> observer)
        -> void;
    /// Calls `observer` with the listed entry VMs after each list.
    auto on_entries(
        std::function<void(const std::vector<protocol::listed_vm>&)> observer)
        -> void;
    /// Calls `observer` when a runner was first seen leaving here.
    auto on_leaving(std::function<void(const std::string& runner)> observer)
        -> void;

    /// Starts the polls that are due; call every few milliseconds.
    auto tick() -> void;
    /// The control stream changed what is in place on some runner.
    auto on_residents_changed() -> void { residents_changed_ = true; }
    /// A peer says that the runner is leaving.
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
    /// Whether the VM list was read at least once.
    [[nodiscard]] auto has_vm_list() const -> bool { return vm_list_received_; }
    /// When the VM list was read last.
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
    // Ready versions by model.
    std::map<std::string, std::set<std::string>> versions_;
    std::vector<std::function<void(const runner_view&)>> report_observers_;
    std::vector<std::function<void(const std::string&)>> removal_observers_;
    std::vector<std::function<void(const std::vector<protocol::listed_vm>&)>>
        entry_observers_;
    std::vector<std::function<void(const std::string&)>> leaving_observers_;
    bool vm_list_received_ = false;
    bool list_in_flight_ = false;
    time_point next_list_;
    time_point last_listed_;
};

} // namespace basilstream::daemon
