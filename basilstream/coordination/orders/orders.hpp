/// Executes orders to runners through write-ahead intents. An order is sent
/// only after its intent was read back from the log and found valid. The memory
/// of an order stays reserved until the runner's own report settles the order.
///
///     auto executor = order_executor{{}, permits, writer};
///     executor.set_desired_placement(
///         {{"r1", {{{{"org/model", "", "v1"}, bytes}}}}});
///     executor.on_report({"r1", "10.0.0.1:80", "muc-a", "muc", at, report},
///                        now);
///     for (auto& command :
///          executor.poll(state, owned_shards, true, now)) { send(command); }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/log_client/log_client.hpp"

namespace basilstream::coordination {

/// What a load fetches from the weight store.
enum class load_kind { model, adapter };

/// Limits the load on the weight store: loads per second and concurrent loads
/// of the whole deployment. Implementations are called from one thread.
class load_permits {
public:
    load_permits() = default;
    load_permits(const load_permits&) = delete;
    auto operator=(const load_permits&) -> load_permits& = delete;
    virtual ~load_permits() = default;

    /// Returns whether a load may start at `now`. Each success must be followed
    /// by one release().
    virtual auto try_acquire(load_kind kind, time_point now) -> bool = 0;
    /// Returns the permit of a load that has ended.
    virtual auto release(load_kind kind, time_point now) -> void = 0;
};

/// A resident (model or adapter in memory) as reported by an engine.
struct reported_resident {
    state::resident_key key_;
    std::uint64_t bytes_ = 0;
    /// Order that loaded it; absent if it was not loaded by an order of this
    /// deployment.
    std::optional<state::record_id> order_;
    enum class phase { loading, ready, failed } phase_ = phase::ready;
};

/// A finished order as reported by an engine.
struct reported_order {
    state::record_id id_;
    enum class outcome { done, failed, refused } outcome_ = outcome::done;
    std::string detail_;
};

/// The part of an engine's load report that orders need. A report is a
/// consistent snapshot; it may be out of date.
struct runner_report {
    std::string boot_id_;
    std::uint64_t sequence_ = 0;
    std::uint64_t memory_bytes_ = 0;
    std::vector<reported_resident> residents_;
    std::vector<reported_order> finished_;
};

/// A report together with what the daemon knows about the reporting runner.
struct runner_observation {
    std::string runner_;
    /// "IP:PORT".
    std::string address_;
    std::string zone_;
    /// Shard to which the runner belongs.
    std::string shard_;
    /// Log offset of the state when the report was requested. A report
    /// requested before the runner's current boot was recorded may describe an
    /// earlier boot and is ignored.
    state::log_offset requested_at_ = 0;
    runner_report report_;
};

/// An order to send. The transport must send it only on a connection on which
/// the engine has already presented `boot_id_`, and must not open a new
/// connection for it, so that an order can't reach a later boot of the
/// engine.
struct order_command {
    state::record_id order_;
    state::epoch fencing_ = 0;
    std::string shard_;
    std::string runner_;
    std::string address_;
    std::string boot_id_;
    state::order_action action_ = state::order_action::load_model;
    state::resident_key resident_;
    std::uint64_t bytes_ = 0;
    state::runner_role role_ = state::runner_role::mixed;
};

/// Result of sending an order to an engine.
enum class order_answer {
    /// 202: the engine has accepted the order.
    accepted,
    /// 409: the engine has seen a higher fencing number.
    stale_fencing,
    /// The engine has too little memory.
    no_memory,
    /// Error or no answer: the engine may or may not have received the order.
    unknown,
};

/// A resident that the planner assigns to a runner.
struct desired_resident {
    state::resident_key key_;
    std::uint64_t bytes_ = 0;
};

/// Desired state of one runner.
struct desired_runner {
    std::vector<desired_resident> residents_;
    state::runner_role role_ = state::runner_role::mixed;
};

/// Desired state by runner name. A runner without an entry is left as it is.
using desired_placement = std::map<std::string, desired_runner, std::less<>>;

/// Whether an order waits for its intent to be read back. Tests turn the wait
/// off to verify that their checks detect the resulting violations.
struct order_gate {
    /// Sends only after the intent was read back. False only in tests.
    bool after_read_back_ = true;
};

/// Settings of an executor.
struct executor_options {
    /// Time after which an unsettled order is first sent again under its id;
    /// doubles with each attempt up to `max_resend_`.
    duration resend_after_ = std::chrono::seconds{2};
    duration max_resend_ = std::chrono::seconds{30};
    /// Maximum number of unsettled orders per runner.
    std::size_t orders_per_runner_ = 4;
    /// Maximum age of a runner's report for creating new intents for the runner
    /// and for counting its replica as ready when another one is to be
    /// unloaded.
    duration fresh_report_age_ = std::chrono::seconds{5};
    order_gate gate_ = {};
};

/// Reason why a step towards the desired placement is blocked, for `explain`.
struct blocked_step {
    std::string runner_;
    state::resident_key key_;
    std::string reason_;
};

/// Reconciles runners with the desired placement, one safe step at a time.
/// Acts only for shards that the daemon owns. Sans-I/O; not safe for
/// concurrent use.
class order_executor {
public:
    /// `permits` and `writer` must outlive the executor.
    order_executor(executor_options options, load_permits& permits,
                   appender& writer);

    auto set_desired_placement(desired_placement desired) -> void;

    /// Processes a runner's report. Ignores it if a later one of the same boot
    /// was already received.
    auto on_report(runner_observation observation, time_point now) -> void;

    /// Marks a runner as gone: it is missing from the VM list and its address
    /// does not answer.
    auto on_runner_gone(std::string_view runner) -> void;

    /// Processes the answer to an order_command.
    auto on_answer(const state::record_id& order, order_answer answer,
                   time_point now) -> void;

    /// Processes the resolution of an append. Ignores records that this
    /// executor did not submit.
    auto on_resolution(const append_resolution& resolution) -> void;

    /// Submits the records that are due and returns the orders to send.
    /// `owned_shards`: epochs of the shards that this daemon owns, by name.
    /// `current`: whether the state has caught up with the end of the log;
    /// otherwise nothing is submitted or sent.
    auto poll(const state::machine& state,
              const std::map<std::string, state::epoch>& owned_shards,
              bool current, time_point now) -> std::vector<order_command>;

    /// Returns the steps that were blocked at the last poll.
    [[nodiscard]] auto blocked() const -> const std::vector<blocked_step>& {
        return blocked_;
    }
    /// Returns the number of loads that hold a permit.
    [[nodiscard]] auto loads_in_flight() const -> std::size_t {
        return permitted_loads_.size();
    }

private:
    struct attempt {
        time_point next_send_at_{};
        duration backoff_{};
        state::epoch epoch_ = 0;
    };
    struct observed_runner {
        runner_observation observation_;
        time_point received_at_{};
        bool gone_ = false;
    };
    // State shared by the steps of one poll.
    struct poll_context {
        const state::machine& state_;
        const std::map<std::string, state::epoch>& owned_shards_;
        time_point now_;
        std::vector<order_command> commands_ = {};
    };
    // A runner whose shard this daemon owns.
    struct owned_runner {
        const state::runner_state& state_;
        const runner_report& report_;
        state::epoch epoch_ = 0;
    };

    auto discard_settled(const poll_context& context) -> void;
    auto poll_runner(poll_context& context, const observed_runner& observed)
        -> void;
    auto register_boot(const poll_context& context,
                       const runner_observation& observation,
                       state::epoch epoch) -> void;
    auto settle_orders(const poll_context& context, const owned_runner& runner)
        -> void;
    auto record_foreign_residents(const poll_context& context,
                                  const owned_runner& runner) -> void;
    auto send_orders(poll_context& context, const owned_runner& runner) -> void;
    auto send(poll_context& context, const state::record_id& id,
              const state::order_intent& intent, state::epoch epoch) -> void;
    auto acquire_permit(const state::record_id& id,
                        const state::order_intent& intent, time_point now)
        -> bool;

    auto submit_next_step(poll_context& context, const owned_runner& runner)
        -> void;
    auto change_role(poll_context& context, const owned_runner& runner,
                     state::runner_role role) -> bool;
    auto load_missing(poll_context& context, const owned_runner& runner,
                      const desired_runner& desired) -> bool;
    auto free_memory(poll_context& context, const owned_runner& runner,
                     const desired_resident& desired) -> bool;
    auto load_temporary_replica(poll_context& context,
                                const owned_runner& runner,
                                const state::resident& blocking) -> bool;
    auto temporary_replica_of(const poll_context& context,
                              const state::resident& blocking) const
        -> std::optional<desired_resident>;
    auto fits_temporary_replica(const poll_context& context,
                                const state::runner_state& other,
                                const desired_resident& temporary) const
        -> bool;
    auto unload_surplus(poll_context& context, const owned_runner& runner)
        -> bool;
    auto load(poll_context& context, const state::runner_state& runner,
              const desired_resident& desired, state::epoch epoch) -> bool;
    auto unload(poll_context& context, const owned_runner& runner,
                const state::resident_key& key) -> bool;
    auto submit_intent(poll_context& context, const state::order_intent& intent)
        -> bool;
    auto submit_once(const poll_context& context, std::string subject,
                     state::record body) -> std::optional<state::record_id>;
    auto is_removable(const poll_context& context,
                      const state::runner_state& runner,
                      const state::resident& entry, bool whole_runner) const
        -> bool;
    auto is_desired(std::string_view runner,
                    const state::resident_key& key) const -> bool;
    auto is_replaced(const state::machine& state,
                     const state::resident_key& key) const -> bool;
    auto pending_load_bytes(const state::runner_state& runner) const
        -> std::uint64_t;
    auto record_blocked_step(std::string_view runner,
                             const state::resident_key& key, std::string reason)
        -> void;

    executor_options options_;
    load_permits* permits_;
    appender* writer_;
    desired_placement desired_;
    std::map<std::string, observed_runner, std::less<>> runners_;
    std::unordered_map<state::record_id, attempt, state::record_id_hash>
        attempts_;
    // Loads that hold a permit, by order.
    std::unordered_map<state::record_id, load_kind, state::record_id_hash>
        permitted_loads_;
    // Unresolved appends. At most one per subject, so that a record is not
    // submitted twice.
    std::map<std::string, state::record_id, std::less<>> pending_by_subject_;
    std::unordered_map<state::record_id, std::string, state::record_id_hash>
        subjects_by_record_;
    std::vector<blocked_step> blocked_;
};

} // namespace basilstream::coordination
