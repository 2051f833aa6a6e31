/// Drives the daemon's replica of the control stream and its controller:
/// performs the log reads, log appends and runner orders that
/// coordination/control requests.
///
///     auto log = control_log{context, settings, incarnation, connection,
///                            permits};
///     log.set_order_sender(send_order);
///     log.on_applied([](const coordination::applied_record& record) {});
///     log.tick();
///     log.state().find_model("acme/chat");
///
/// Control thread only.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilstream/coordination/control/control.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/fleet/fleet.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/transport/log_connection/log_connection.hpp"

namespace basilstream::daemon {

/// Performs the I/O of the controller.
class control_log final : public control_stream_view {
public:
    using applied_observer =
        std::function<void(const coordination::applied_record&)>;
    using resolution_handler =
        std::function<void(const coordination::append_resolution&)>;
    using order_sender =
        std::function<void(const coordination::order_command&)>;

    /// `incarnation` must be unique to this start of the process.
    /// `permits` and `connection` must outlive this object.
    control_log(const context& base, const daemon_settings& settings,
                std::string incarnation, transport::log_connection& connection,
                coordination::load_permits& permits);

    /// Calls `observer` for each record applied, in order.
    auto on_applied(applied_observer observer) -> void;
    /// Calls `observer` after the reader restarted or readiness changed;
    /// anything derived from the state must then be rebuilt.
    auto on_replaced(std::function<void()> observer) -> void;
    /// Sets the function that sends orders to runners; required before `tick`.
    auto set_order_sender(order_sender sender) -> void;

    [[nodiscard]] auto position() const -> std::uint64_t override {
        return state().next_offset();
    }
    [[nodiscard]] auto owns(const std::string& runner) const -> bool override;
    [[nodiscard]] auto boot_id(const std::string& runner) const
        -> std::string override;
    [[nodiscard]] auto residents(const std::string& runner,
                                 const std::string& boot_id) const
        -> std::optional<std::vector<coordination::resident_model>> override;

    /// Performs due operations; call every few milliseconds.
    auto tick() -> void;

    /// Submits a record for appending; calls `done` with the outcome. On error
    /// nothing was submitted and `done` is not called.
    auto submit(coordination::append_purpose purpose, state::record body,
                resolution_handler done) -> result<void>;

    [[nodiscard]] auto controller() -> coordination::controller& {
        return controller_;
    }
    [[nodiscard]] auto state() const -> const state::machine& {
        return controller_.state();
    }
    [[nodiscard]] auto ready() const -> bool { return controller_.ready(); }
    [[nodiscard]] auto current() const -> bool {
        return controller_.reader().current();
    }
    [[nodiscard]] auto phase() const -> coordination::replica_phase {
        return controller_.reader().phase();
    }
    [[nodiscard]] auto in_outage() const -> bool {
        return controller_.writer().in_outage();
    }
    /// The shards that this daemon owns, with their epochs.
    [[nodiscard]] auto held() const -> std::map<std::string, state::epoch> {
        return controller_.held();
    }

private:
    auto start_read(const coordination::read_request& request) -> void;
    auto start_append(const coordination::append_batch& batch) -> void;
    auto on_bounds(std::uint64_t ticket,
                   const result<transport::log_read>& read) -> void;
    auto on_records(std::uint64_t ticket,
                    const result<transport::log_read>& read) -> void;
    auto apply(std::uint64_t ticket, const transport::log_read& read) -> void;
    auto notify_resolutions(
        const std::vector<coordination::append_resolution>& resolutions)
        -> void;
    auto notify_if_replaced() -> void;

    context base_;
    transport::log_connection& connection_;
    coordination::controller controller_;
    std::vector<applied_observer> applied_observers_;
    std::vector<std::function<void()>> replaced_observers_;
    std::unordered_map<state::record_id, resolution_handler,
                       state::record_id_hash>
        pending_handlers_;
    order_sender send_order_;
    std::uint64_t seen_restarts_ = 0;
    bool was_ready_ = false;
};

} // namespace basilstream::daemon
