/// The control side of a daemon in one sans-I/O object: log client, state,
/// shard ownership, order execution and snapshots.
///
///     auto control = controller{options, "entry-1#4f", {"muc"}, permits,
///     random}; auto actions = control.poll(now); if (actions.read_) {
///     ask_log(*actions.read_); } if (actions.append_) {
///     append(encode(*actions.append_)); } for (auto& order : actions.orders_)
///     { send(order); }
///
/// The caller carries out the actions, feeds each answer back, and polls again
/// after every answer and at least every 100 ms. One thread.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/coordination/log_client/log_client.hpp"
#include "basilstream/coordination/orders/orders.hpp"
#include "basilstream/coordination/ownership/ownership.hpp"

namespace basilstream::coordination {

/// Settings of the control side.
struct controller_options {
    appender_options appender_ = {};
    replica_options replica_ = {};
    snapshot_options snapshots_ = {};
    ownership_options ownership_ = {};
    executor_options executor_ = {};
};

/// What the caller is to do.
struct controller_actions {
    std::optional<read_request> read_;
    std::optional<append_batch> append_;
    std::vector<order_command> orders_;
    /// Fates of records given to submit().
    std::vector<append_resolution> resolutions_;
};

/// See above. Not safe for concurrent use.
class controller {
public:
    /// `daemon` names this start of the process and is never used again.
    /// `permits` and `random` must outlive the controller.
    controller(controller_options options, std::string daemon,
               std::vector<std::string> shards, load_permits& permits,
               random_source& random);

    /// Returns what is to be done at `now`.
    auto poll(time_point now) -> controller_actions;

    /// Answers of the log; see `replica` and `appender`.
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

    /// Queues a record of the caller's, such as a resource or a quarantine
    /// mark; its fate comes with poll(). Error not_ready before the state is
    /// complete.
    auto submit(append_purpose purpose, state::record body)
        -> result<state::record_id>;

    /// Inputs from membership, the planner, the VM list and engines.
    auto on_members(std::vector<std::string> members) -> void;
    auto set_desired_placement(desired_placement wanted) -> void;
    auto on_report(runner_observation sighting, time_point now) -> void;
    auto on_runner_gone(std::string_view runner) -> void;
    auto on_order_answer(const state::record_id& order, order_answer answer,
                         time_point now) -> void;

    /// Begins the planned stop: shards are released, none is claimed.
    auto stop() -> void { ownership_.stop(); }
    /// Returns whether a stopping daemon holds nothing any more.
    [[nodiscard]] auto released() const -> bool;

    [[nodiscard]] auto ready() const -> bool { return reader_.ready(); }
    [[nodiscard]] auto state() const -> const state::machine& {
        return reader_.state();
    }
    [[nodiscard]] auto reader() const -> const replica& { return reader_; }
    /// For rebase() by an operator only.
    [[nodiscard]] auto reader() -> replica& { return reader_; }
    [[nodiscard]] auto writer() const -> const appender& { return writer_; }
    [[nodiscard]] auto executor() const -> const order_executor& {
        return executor_;
    }
    /// Returns the shards that this daemon owns with their epochs.
    [[nodiscard]] auto held() const -> std::map<std::string, state::epoch> {
        return ownership_.held(state());
    }
    [[nodiscard]] auto snapshots_written() const -> std::uint64_t {
        return snapshots_.written();
    }

private:
    auto follow_restarts() -> void;

    appender writer_;
    replica reader_;
    snapshot_writer snapshots_;
    ownership ownership_;
    order_executor executor_;
    std::uint64_t restarts_seen_ = 0;
};

} // namespace basilstream::coordination
