/// Keeps the daemon's replica of the control stream: moves bytes between the
/// log service and the decisions of coordination/log_client and ownership.
///
///     auto log = control_log{context, settings, connection};
///     log.on_applied([](const coordination::applied_record& read) { ... });
///     log.start();
///     log.state().find_model("acme/chat");
///
/// Control thread only.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "basilstream/coordination/log_client/log_client.hpp"
#include "basilstream/coordination/ownership/ownership.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/transport/log_connection/log_connection.hpp"

namespace basilstream::daemon {

/// The control stream's client in the daemon.
class control_log {
public:
    using applied_observer =
        std::function<void(const coordination::applied_record&)>;
    using resolution_observer =
        std::function<void(const coordination::append_resolution&)>;

    control_log(const context& base, const daemon_settings& settings,
                transport::log_connection& connection);

    /// Calls `observer` for each record applied, in order.
    auto on_applied(applied_observer observer) -> void;
    /// Calls `observer` for the fate of each record submitted.
    auto on_resolution(resolution_observer observer) -> void;
    /// Calls `observer` when the state was replaced by a snapshot or became
    /// ready: what was derived from it must be derived anew.
    auto on_replaced(std::function<void()> observer) -> void;

    /// Carries out what is due; call every few milliseconds.
    auto tick() -> void;

    [[nodiscard]] auto state() const -> const state::machine& {
        return replica_.state();
    }
    [[nodiscard]] auto ready() const -> bool { return replica_.ready(); }
    [[nodiscard]] auto current() const -> bool { return replica_.current(); }
    [[nodiscard]] auto phase() const -> coordination::replica_phase {
        return replica_.phase();
    }
    [[nodiscard]] auto in_outage() const -> bool {
        return appender_.in_outage();
    }
    /// The shards that this daemon owns, with their epochs.
    [[nodiscard]] auto held() const -> std::map<std::string, state::epoch> {
        return ownership_.held(replica_.state());
    }
    [[nodiscard]] auto appender() -> coordination::appender& {
        return appender_;
    }
    /// Submits a record; its fate reaches the resolution observers.
    auto submit(coordination::append_purpose purpose, state::record body)
        -> result<state::record_id>;
    /// Sets the daemons that may own shards.
    auto set_members(std::vector<std::string> members) -> void;
    /// Releases all shards and claims none any more.
    auto release_shards() -> void { ownership_.stop(); }

private:
    auto start_reads() -> void;
    auto start_appends() -> void;
    auto on_bounds(std::uint64_t ticket, result<transport::log_read> read)
        -> void;
    auto on_records(std::uint64_t ticket, result<transport::log_read> read)
        -> void;
    auto apply(std::uint64_t ticket, const transport::log_read& read) -> void;
    auto resolve() -> void;

    context base_;
    transport::log_connection& connection_;
    coordination::appender appender_;
    coordination::replica replica_;
    coordination::ownership ownership_;
    coordination::snapshot_writer snapshots_;
    std::vector<applied_observer> applied_observers_;
    std::vector<resolution_observer> resolution_observers_;
    std::vector<std::function<void()>> replaced_observers_;
    std::uint64_t seen_restarts_ = 0;
    bool was_ready_ = false;
};

} // namespace basilstream::daemon
