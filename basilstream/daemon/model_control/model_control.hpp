/// Controls the placement of models and adapters on runners: counts the demand
/// of this daemon's requests and, while this daemon holds the placement lease,
/// plans for the whole deployment and sends load and unload orders to runners.
///
///     auto control = model_control{context, settings, place, store, calls,
///                                  observer};
///     control.set_config(config);
///     control.set_backend(server);
///     thread.every(milliseconds{50}, [&] { control.tick(); });
///
/// Use on the traffic thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/demand_placement/demand_placement.hpp"
#include "basilstream/coordination/fleet_ledger/fleet_ledger.hpp"
#include "basilstream/coordination/load_window/load_window.hpp"
#include "basilstream/coordination/placement_lease/placement_lease.hpp"
#include "basilstream/coordination/residency_overlay/residency_overlay.hpp"
#include "basilstream/coordination/server_speeds/server_speeds.hpp"
#include "basilstream/daemon/installation/installation.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/daemon/server_notices/server_notices.hpp"
#include "basilstream/daemon/server_permits/server_permits.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"

namespace basilstream::daemon {

/// Receives residency changes and outgoing messages of a model_control.
class model_observer {
public:
    model_observer() = default;
    model_observer(const model_observer&) = delete;
    auto operator=(const model_observer&) -> model_observer& = delete;
    virtual ~model_observer() = default;

    /// Called when the models or adapters on a backend server have changed, or
    /// its announcement was received. `server` describes the current state.
    virtual auto
    on_residency_changed(const coordination::backend_server& server)
        -> void = 0;
    /// Sends an update to all other daemons.
    virtual auto broadcast(const protocol::relay_update& update) -> void = 0;
    /// Sends demand to the owner of the placement lease, or to all daemons that
    /// may become its owner.
    virtual auto send_demand(const protocol::relay_update& update) -> void = 0;
};

/// Dependencies of a model_control; all must outlive it.
struct model_control_context {
    const clock& clock_;
    /// Also advances while the VM is suspended; used for lease times.
    const clock& boot_clock_;
    random_source& random_;
    transport::reactor_thread& thread_;
    transport::logger& log_;
    server_permits& permits_;
    server_notices& notices_;
};

struct model_control_settings {
    /// Name of this VM, the lease holder's name in orders.
    std::string holder_;
    coordination::placement_lease_settings lease_ = {};
    /// Length of the sliding window over which loads from the weight store are
    /// limited.
    duration load_window_ = seconds{5};
    coordination::fleet_settings fleet_ = {};
    /// Whether the expected work of the runners is evened out if the
    /// configuration has organisations; see coordination::fleet_settings.
    bool even_work_ = false;
};

class model_control final : public model_provisioner {
public:
    model_control(const model_control_context& context,
                  model_control_settings settings, const installation& place,
                  coordination::record_store& store,
                  transport::http_pool& calls, model_observer& observer);

    auto on_request(const model_reference& want, std::int64_t tokens,
                    bool served, int urgency) -> void override;
    [[nodiscard]] auto expected_wait(const model_reference& want) const
        -> std::optional<milliseconds> override;

    auto set_config(std::shared_ptr<const coordination::relay_config> config)
        -> void;
    auto set_backend(const coordination::backend_server& announced) -> void;
    auto remove_backend(const std::string& id) -> void;
    /// Sets the number of daemons; the interval at which each daemon sends its
    /// demand grows with it.
    auto set_daemons(std::size_t count) -> void;
    /// Sets the source of speed_of(), which must outlive this object. Where
    /// speeds are known to differ, expected work is evened out also without
    /// organisations.
    auto use_speeds(const coordination::server_speeds& speeds) -> void {
        speeds_ = &speeds;
    }
    /// Returns the speed of a server: 1 for a typical one of its service, also
    /// if speeds are not known or differ little; 2 if it is twice as fast.
    [[nodiscard]] auto speed_of(const std::string& server) const -> double {
        return speeds_ == nullptr
                   ? 1.0
                   : speeds_->speed_of(server, context_.clock_.now());
    }
    /// Applies demand, residency changes and lease state sent by another
    /// daemon.
    auto on_update(const protocol::relay_update& update) -> void;

    /// Renews the lease, sends demand, plans and sends orders as due. Call
    /// about every 50 ms.
    auto tick() -> void;
    /// Releases the lease and stops claiming it.
    auto stop() -> void;
    /// Returns the backend servers with the models and adapters known to be on
    /// them: those of their last announcements, updated by later changes.
    [[nodiscard]] auto servers() -> std::vector<coordination::backend_server>;
    /// Returns lines for operators that describe the known demand for a model
    /// and its adapters, and when the next replica will be ready. Empty if
    /// there is neither.
    [[nodiscard]] auto describe_demand(const std::string& model) const
        -> std::vector<std::string>;
    /// Returns the demand for each model that is in demand, as known to this
    /// daemon.
    [[nodiscard]] auto model_demands() const
        -> std::vector<protocol::model_demand>;
    /// Returns the mean expected work of the busiest tenth of the runners for
    /// their speeds, in units of the mean, of the service where that is
    /// highest; 0 if this daemon does not hold the placement lease.
    [[nodiscard]] auto work_unevenness() const -> double;
    /// Returns whether no lease is left to release after stop().
    [[nodiscard]] auto stopped() const -> bool { return lease_.released(); }
    /// Returns the VM known to own the placement lease; empty if none is known.
    [[nodiscard]] auto owner() const -> std::string { return lease_.owner(); }
    /// Returns the lease epoch while this daemon holds the lease.
    [[nodiscard]] auto epoch() const -> std::optional<std::uint64_t> {
        return lease_.valid_epoch(context_.boot_clock_.now());
    }

private:
    struct announced_server {
        coordination::backend_server server_;
        time_point announced_at_{};
    };

    // Places nothing more on a runner that has said that it is leaving.
    auto set_leaving(const std::string& id) -> void;
    // Returns the shortest time that a server with the model is still loading
    // another one and so takes no adapter; zero if one is not, nothing if no
    // server has the model.
    [[nodiscard]] auto shortest_model_load(const model_reference& want) const
        -> std::optional<duration>;
    // Enters a server in the ledger if it can hold models.
    auto update_ledger(const coordination::backend_server& server) -> void;
    auto advance_lease() -> void;
    auto read_lease() -> void;
    // Tells the lease the era in an answer; returns whether the answer counts.
    [[nodiscard]] auto
    lease_answer_counts(std::optional<std::uint64_t> era_when_sent,
                        std::optional<std::uint64_t> era) -> bool;
    auto append_lease(const coordination::lease_append& due) -> void;
    auto on_lease_gained() -> void;
    auto flush_demand() -> void;
    auto set_lease_fields(protocol::relay_update& update) const -> void;
    auto fetch_due_reports() -> void;
    // Plans now, or as soon as the limit on planning time allows.
    auto request_plan() -> void;
    auto plan() -> void;
    // Returns whether copies are placed to even out the expected work.
    [[nodiscard]] auto evens_work() const -> bool;
    [[nodiscard]] auto runners_of(const std::string& service) const
        -> std::vector<coordination::fleet_runner>;
    // Returns whether the demand for models is known well enough for them to
    // be compared.
    [[nodiscard]] auto demand_settled(time_point now) const -> bool;
    // Logs why models in demand get no copy.
    auto log_unplaced_models(const coordination::fleet_input& input) -> void;
    auto fetch_report(const std::string& id) -> void;
    auto send_order(const coordination::fleet_step& step) -> void;
    // Sends an order that ledger_ has recorded, under the lease of
    // `lease_epoch`.
    auto send_recorded_order(const coordination::fleet_step& step,
                             std::uint64_t expected_orders,
                             std::uint64_t lease_epoch) -> void;
    // Makes a call to a runner as soon as its rate limit permits, if that is
    // within `max_wait`; else, or if it has asked for a pause, calls `refused`
    // with the time to wait.
    auto call_runner(const std::string& runner, duration max_wait,
                     const std::function<void()>& call,
                     const std::function<void(duration)>& refused) -> void;
    // Handles what a runner's reply states about the calls that it wants.
    auto note_reply(const std::string& runner,
                    const result<transport::small_reply>& reply,
                    time_point sent_at) -> void;
    auto on_order_answer(const coordination::fleet_step& step,
                         const result<transport::small_reply>& reply) -> void;
    auto publish_changes() -> void;
    auto publish_server(const std::string& id) -> void;
    // Returns how many loads from the weight store the window allows.
    [[nodiscard]] auto
    store_load_capacity(const coordination::service_engine& engine) const
        -> std::size_t;
    [[nodiscard]] auto
    remaining_store_loads(const coordination::service_engine& engine) -> int;
    // Returns the runner's service; empty if the runner is unknown or its
    // service has no engine.
    [[nodiscard]] auto service_of(const std::string& runner) const
        -> std::string;

    model_control_context context_;
    model_control_settings settings_;
    const installation& place_;
    coordination::record_store& store_;
    transport::http_pool& calls_;
    model_observer& observer_;
    std::shared_ptr<const coordination::relay_config> config_;
    coordination::placement_lease lease_;
    bool lease_read_in_flight_ = false;
    bool owns_lease_ = false;
    // Offset of the next lease entry to read; absent until the newest was read.
    std::optional<std::uint64_t> next_lease_offset_;
    coordination::demand_tracker demand_;
    // Demand of this daemon that has not been sent to other daemons yet.
    std::map<coordination::demand_key, coordination::demand_sample>
        unsent_demand_;
    bool flush_scheduled_ = false;
    bool plan_scheduled_ = false;
    time_point plan_allowed_at_{};
    time_point next_unplaced_log_{};
    time_point next_plan_{};
    time_point next_flush_{};
    duration flush_interval_;
    // Since when this daemon has collected demand, or has known what the owner
    // of the lease collected; empty if it has seen none yet.
    std::optional<time_point> demand_known_since_;
    // When the owner of the lease last told the demand that it knows.
    std::optional<time_point> owner_demand_at_;
    coordination::fleet_ledger ledger_;
    coordination::residency_overlay overlay_;
    std::map<std::string, announced_server> servers_;
    coordination::load_window store_loads_;
    // Null until use_speeds().
    const coordination::server_speeds* speeds_ = nullptr;
    // As of the last line on models that get no copy.
    double work_unevenness_ = 0;
};

} // namespace basilstream::daemon
