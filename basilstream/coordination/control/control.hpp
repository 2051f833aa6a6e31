/// Combines the control plane of a daemon in one sans-I/O object: log client,
/// replicated state, shard ownership, order execution and snapshots.
///
///     auto control =
///         controller{options, "entry-1#4f", {"muc"}, permits, random};
///     auto actions = control.poll(now);
///     if (actions.read_) {
///         read_log(*actions.read_);
///     }
///     if (actions.append_) {
///         append(encode(*actions.append_));
///     }
///     for (auto& order : actions.orders_) {
///         send(order);
///     }
///
/// The caller carries out the actions, reports each result, and polls again
/// after each result and at least every 100 ms. Not safe for concurrent use.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/coordination/log_client/log_client.hpp"
#include "basilstream/coordination/orders/orders.hpp"
#include "basilstream/coordination/ownership/ownership.hpp"

namespace basilstream::coordination {

/// Settings of a controller.
struct controller_options {
    appender_options appender_ = {};
    replica_options replica_ = {};
    snapshot_options snapshots_ = {};
    ownership_options ownership_ = {};
    executor_options executor_ = {};
};

/// Actions that the caller has to carry out.
struct controller_actions {
    std::optional<read_request> read_;
    std::optional<append_batch> append_;
    std::vector<order_command> orders_;
    /// Final outcomes of records that were submitted.
    std::vector<append_resolution> resolutions_;
};

/// Controls the shards that a daemon owns.
class controller {
public:
    /// `daemon` is unique for each start of a process.
    /// `permits` and `random` must outlive the controller.
    controller(controller_options options, std::string daemon,
               std::vector<std::string> shards, load_permits& permits,
               random_source& random);

    /// Returns the actions due at `now`.
    auto poll(time_point now) -> controller_actions;

    /// Report the log's results of reads and appends; see `replica` and
    /// `appender`.
    auto on_bounds(std::uint64_t ticket, log_bounds bounds, time_point now)
        -> void;
    auto on_records(std::uint64_t ticket, std::vector<log_entry> entries,
                    log_bounds bounds, time_point now)
        -> std::vector<applied_record>;
    auto on_truncated(std::uint64_t ticket, log_bounds bounds, time_point now)
        -> void;
    auto on_read_failed(std::uint64_t ticket, time_point now) -> void;
    auto on_append_accepted(std::uint64_t ticket,
                            state::log_offset first_offset) -> void;
    auto on_append_failed(std::uint64_t ticket,
                          std::optional<duration> retry_after, time_point now)
        -> void;

    /// Queues a record of the caller, such as a resource or a quarantine mark.
    /// A later poll() returns its outcome. Fails with not_ready until the state
    /// has been restored from the log.
    auto submit(append_purpose purpose, state::record body)
        -> result<state::record_id>;

    /// Report changes of the membership, of the wanted placement and of the
    /// runners, and the runners' answers to orders.
    auto on_members(std::vector<std::string> members) -> void;
    auto set_desired_placement(desired_placement wanted) -> void;
    auto on_report(runner_observation sighting, time_point now) -> void;
    auto on_runner_gone(std::string_view runner) -> void;
    auto on_order_answer(const state::record_id& order, order_answer answer,
                         time_point now) -> void;

    /// Starts a graceful shutdown: owned shards are released and none is
    /// claimed.
    auto stop() -> void { ownership_.stop(); }
    /// Returns whether this daemon owns no shard and has no claim, renewal or
    /// release pending.
    [[nodiscard]] auto released() const -> bool;

    [[nodiscard]] auto ready() const -> bool { return reader_.ready(); }
    [[nodiscard]] auto state() const -> const state::machine& {
        return reader_.state();
    }
    [[nodiscard]] auto reader() const -> const replica& { return reader_; }
    /// Mutable access, only for a rebase() requested by an operator.
    [[nodiscard]] auto reader() -> replica& { return reader_; }
    [[nodiscard]] auto writer() const -> const appender& { return writer_; }
    [[nodiscard]] auto executor() const -> const order_executor& {
        return executor_;
    }
    /// Returns the epoch of each shard that this daemon owns, by shard.
    [[nodiscard]] auto held() const -> std::map<std::string, state::epoch> {
        return ownership_.held(state());
    }
    [[nodiscard]] auto snapshots_written() const -> std::uint64_t {
        return snapshots_.written();
    }

private:
    auto handle_reader_restart() -> void;

    appender writer_;
    replica reader_;
    snapshot_writer snapshots_;
    ownership ownership_;
    order_executor executor_;
    std::uint64_t handled_restarts_ = 0;
};

} // namespace basilstream::coordination
