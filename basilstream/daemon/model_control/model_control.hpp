/// Brings models and adapters to runners: counts what this daemon's requests
/// ask for, and while it holds the placement lease, plans and gives orders for
/// the whole deployment.
///
///     auto control = model_control{context, settings, place, store, calls,
///                                  observer};
///     control.set_config(config);
///     control.set_backend(server);
///     thread.every(milliseconds{50}, [&] { control.tick(); });
///
/// On the traffic thread only.
#pragma once

#include <cstdint>
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
#include "basilstream/daemon/installation/installation.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"

namespace basilstream::daemon {

/// What a model_control tells its daemon.
class model_observer {
public:
    model_observer() = default;
    model_observer(const model_observer&) = delete;
    auto operator=(const model_observer&) -> model_observer& = delete;
    virtual ~model_observer() = default;

    /// A backend server holds something else than it did.
    virtual auto
    on_residency_changed(const coordination::backend_server& server)
        -> void = 0;
    /// Send to all other daemons.
    virtual auto broadcast(const protocol::relay_update& update) -> void = 0;
    /// Send to whoever plans, or may plan next.
    virtual auto send_demand(const protocol::relay_update& update) -> void = 0;
};

/// What it gets from its process; all outlive it.
struct model_control_context {
    const clock& clock_;
    /// Counts time during which the machine is suspended.
    const clock& boot_clock_;
    random_source& random_;
    transport::reactor_thread& thread_;
    transport::logger& log_;
};

struct model_control_settings {
    /// Name of this VM, under which orders are given.
    std::string holder_;
    coordination::placement_lease_settings lease_ = {};
    /// The window in which loads from the weight store are counted.
    duration load_window_ = seconds{5};
    coordination::fleet_settings fleet_ = {};
};

class model_control final : public model_supply {
public:
    model_control(const model_control_context& context,
                  model_control_settings settings, const installation& place,
                  coordination::record_store& store,
                  transport::http_pool& calls, model_observer& observer);

    auto on_request(const model_want& want, std::int64_t tokens, bool served)
        -> void override;
    [[nodiscard]] auto expected_wait(const model_want& want) const
        -> std::optional<milliseconds> override;

    auto set_config(std::shared_ptr<const coordination::relay_config> config)
        -> void;
    auto set_backend(const coordination::backend_server& server) -> void;
    auto remove_backend(const std::string& id) -> void;
    /// Sets how many daemons there are: the more, the less often each of them
    /// tells its demand.
    auto set_daemons(std::size_t count) -> void;
    /// Takes in what another daemon has sent.
    auto on_update(const protocol::relay_update& update) -> void;

    /// Renews the lease, plans and orders; call every 50 ms or so.
    auto tick() -> void;
    /// Gives the lease up.
    auto stop() -> void;
    /// Returns the backend servers with what they hold now, as far as is known:
    /// their announcements and the orders that followed them.
    [[nodiscard]] auto servers() -> std::vector<coordination::backend_server>;
    /// Returns what is known of the demand for a model and its adapters, and of
    /// copies that are coming, in lines for operators.
    [[nodiscard]] auto describe_demand(const std::string& model) const
        -> std::vector<std::string>;
    [[nodiscard]] auto stopped() const -> bool { return lease_.released(); }
    /// The VM that gives orders, as far as is known.
    [[nodiscard]] auto owner() const -> std::string { return lease_.owner(); }
    [[nodiscard]] auto epoch() const -> std::optional<std::uint64_t> {
        return lease_.held(context_.boot_clock_.now());
    }

private:
    struct announced_server {
        coordination::backend_server server_;
        time_point announced_at_{};
    };

    auto advance_lease() -> void;
    auto read_lease() -> void;
    auto append_lease(const coordination::lease_append& due) -> void;
    auto on_lease_gained() -> void;
    auto flush_demand() -> void;
    auto set_lease_fields(protocol::relay_update& update) const -> void;
    auto fetch_due_reports() -> void;
    /// Plans now, or as soon as the share of the processor allows.
    auto request_plan() -> void;
    auto plan() -> void;
    auto send_order(const std::string& service,
                    const coordination::fleet_step& step) -> void;
    auto on_order_answer(const coordination::fleet_step& step,
                         const result<transport::small_reply>& reply) -> void;
    auto publish_changes() -> void;
    auto publish_server(const std::string& id) -> void;
    // Loads from the weight store that the window may hold.
    [[nodiscard]] auto
    store_load_capacity(const coordination::service_engine& engine) const
        -> std::size_t;
    [[nodiscard]] auto
    remaining_store_loads(const coordination::service_engine& engine) -> int;
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
    bool lease_reading_ = false;
    bool owns_lease_ = false;
    std::optional<std::uint64_t> next_lease_offset_;
    coordination::demand_book demand_;
    // Own demand that the others have not been told.
    std::map<coordination::demand_key, coordination::demand_sample>
        unsent_demand_;
    bool flush_scheduled_ = false;
    bool plan_scheduled_ = false;
    time_point plan_allowed_at_{};
    time_point next_plan_{};
    time_point next_flush_{};
    duration flush_interval_;
    coordination::fleet_ledger ledger_;
    coordination::residency_overlay overlay_;
    std::map<std::string, announced_server> servers_;
    coordination::load_window store_loads_;
};

} // namespace basilstream::daemon
