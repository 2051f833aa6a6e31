/// Execution of orders to runners through write-ahead intents: an order leaves
/// only after its intent was read back from the log and found valid, and its
/// memory counts until the runner's own report settles it.
///
///     auto executor = order_executor{{}, permits, writer};
///     executor.set_desired_placement("r1", {{{"org/model", "", "v1"},
///     bytes}}); executor.on_report({"r1", "10.0.0.1:80", "muc-a", "muc", at,
///     report},
///                        now);
///     for (auto& command : executor.poll(state, held, now)) { send(command); }
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

/// Limits of the weight store: loads a second and loads at once, over the
/// whole deployment. Implementations are called from one thread.
class load_permits {
public:
    load_permits() = default;
    load_permits(const load_permits&) = delete;
    auto operator=(const load_permits&) -> load_permits& = delete;
    virtual ~load_permits() = default;

    /// Returns whether a load may start at `now`; each success is matched by
    /// one release().
    virtual auto try_acquire(load_kind kind, time_point now) -> bool = 0;
    /// Ends a load that was admitted.
    virtual auto release(load_kind kind, time_point now) -> void = 0;
};

/// A resident as an engine reports it.
struct reported_resident {
    state::resident_key key_;
    std::uint64_t bytes_ = 0;
    /// Order that loaded it; nothing when it isn't an id of ours.
    std::optional<state::record_id> order_;
    enum class phase { loading, ready, failed } phase_ = phase::ready;
};

/// A finished order as an engine reports it.
struct reported_order {
    state::record_id id_;
    enum class outcome { done, failed, refused } outcome_ = outcome::done;
    std::string detail_;
};

/// An engine's load report, as far as orders need it. One report is a
/// consistent view; it may be old.
struct runner_report {
    std::string boot_id_;
    std::uint64_t sequence_ = 0;
    std::uint64_t memory_bytes_ = 0;
    std::vector<reported_resident> residents_;
    std::vector<reported_order> finished_;
};

/// A report with what the daemon knows of the runner that gave it.
struct runner_observation {
    std::string runner_;
    /// "IP:PORT".
    std::string address_;
    std::string zone_;
    /// Shard to which the runner belongs.
    std::string shard_;
    /// Position of the state when the report was asked for. An older report
    /// could name a boot that the state has already left behind.
    state::log_offset requested_at_ = 0;
    runner_report report_;
};

/// An order to send. It must travel only on a connection whose other end has
/// shown `boot_id_` on that same connection; the transport opens no new
/// connection for it. So an order can't reach a later boot of the engine.
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

/// Answer to an order's call.
enum class order_answer {
    /// 202: the engine has it.
    accepted,
    /// 409: the engine knows a higher fencing number.
    stale_fencing,
    /// Refused for lack of memory.
    no_memory,
    /// Error or no answer: unknown whether the engine has it.
    unknown,
};

/// A resident that the planner wants on a runner.
struct desired_resident {
    state::resident_key key_;
    std::uint64_t bytes_ = 0;
};

/// What the planner wants on a runner.
struct desired_runner {
    std::vector<desired_resident> residents_;
    state::runner_role role_ = state::runner_role::mixed;
};

/// The planner's wish, by runner. A runner that is absent keeps what it has.
using desired_placement = std::map<std::string, desired_runner, std::less<>>;

/// When an order leaves relative to its intent. Strategy object, so that
/// tests can show that the checks find a wrong one.
struct order_gate {
    /// True in the programs.
    bool after_read_back_ = true;
};

/// Settings of an executor.
struct executor_options {
    /// Time after which an order without end is sent again under its id.
    duration resend_after_ = std::chrono::seconds{2};
    duration max_resend_ = std::chrono::seconds{30};
    /// Unsettled orders of one runner that the executor allows itself.
    std::size_t orders_per_runner_ = 4;
    /// Age up to which a runner's report allows new intents for it, and
    /// vouches that a replica is ready there so that one elsewhere may go.
    duration fresh_report_age_ = std::chrono::seconds{5};
    order_gate gate_ = {};
};

/// Why a wanted step is not being made, for `explain`.
struct blocked_step {
    std::string runner_;
    state::resident_key key_;
    std::string reason_;
};

/// Turns the wanted placement into safe single steps and carries each through.
/// Acts only for shards that the daemon owns. Sans-I/O; not safe for
/// concurrent use.
class order_executor {
public:
    /// `permits` and `writer` must outlive the executor.
    order_executor(executor_options options, load_permits& permits,
                   appender& writer);

    /// Replaces the wanted placement.
    auto set_desired_placement(desired_placement desired) -> void;

    /// Takes a runner's report; older ones of the same boot are ignored.
    auto on_report(runner_observation observation, time_point now) -> void;

    /// The VM list no longer has the runner and nothing answers there.
    auto on_gone(std::string_view runner) -> void;

    /// Answer to a command.
    auto on_answer(const state::record_id& order, order_answer answer,
                   time_point now) -> void;

    /// Takes the fate of a record that this executor may have submitted.
    auto on_resolution(const append_resolution& resolution) -> void;

    /// Submits the records that are due and returns the orders to send.
    /// `held`: shards that this daemon owns with their epochs. `current`: the
    /// state is at the log's end; no new intent is made otherwise.
    auto poll(const state::machine& state,
              const std::map<std::string, state::epoch>& owned_shards,
              bool current, time_point now) -> std::vector<order_command>;

    /// Returns the wanted steps that could not be made at the last poll.
    [[nodiscard]] auto blocked() const -> const std::vector<blocked_step>& {
        return blocked_;
    }
    /// Returns the loads for which a permit is held.
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
    // What the steps of one poll share.
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
    auto record_foreign(const poll_context& context, const owned_runner& runner)
        -> void;
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
    auto block(std::string_view runner, const state::resident_key& key,
               std::string reason) -> void;

    executor_options options_;
    load_permits* permits_;
    appender* writer_;
    desired_placement desired_;
    std::map<std::string, observed_runner, std::less<>> runners_;
    std::unordered_map<state::record_id, attempt, state::record_id_hash>
        attempts_;
    // Loads that hold a permit.
    std::unordered_map<state::record_id, load_kind, state::record_id_hash>
        permitted_loads_;
    // Records whose fate is open: one of a subject at a time.
    std::map<std::string, state::record_id, std::less<>> pending_by_subject_;
    std::unordered_map<state::record_id, std::string, state::record_id_hash>
        subjects_by_record_;
    std::vector<blocked_step> blocked_;
};

} // namespace basilstream::coordination
