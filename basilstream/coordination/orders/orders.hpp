/// Execution of orders to runners through write-ahead intents: an order leaves
/// only after its intent was read back from the log and found valid, and its
/// memory counts until the runner's own report settles it.
///
///     auto executor = order_executor{{}, permits, writer};
///     executor.set_wanted("r1", {{{"org/model", "", "v1"}, bytes}});
///     executor.on_report("r1", "10.0.0.1:80", "muc-a", "muc", report, now);
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
    virtual auto try_acquire(time_point now) -> bool = 0;
    /// Ends a load that was admitted.
    virtual auto release(time_point now) -> void = 0;
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
struct wanted_resident {
    state::resident_key key_;
    std::uint64_t bytes_ = 0;
};

/// What the planner wants on a runner.
struct wanted_runner {
    std::vector<wanted_resident> residents_;
    state::runner_role role_ = state::runner_role::mixed;
};

/// The planner's wish, by runner. A runner that is absent keeps what it has.
using wanted_placement = std::map<std::string, wanted_runner, std::less<>>;

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
    auto set_wanted(wanted_placement wanted) -> void;

    /// Takes a report of the runner called `runner`.
    auto on_report(std::string_view runner, std::string_view address,
                   std::string_view zone, std::string_view shard,
                   runner_report report) -> void;

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
              const std::map<std::string, state::epoch>& held, bool current,
              time_point now) -> std::vector<order_command>;

    /// Returns the wanted steps that could not be made at the last poll.
    [[nodiscard]] auto blocked() const -> const std::vector<blocked_step>& {
        return blocked_;
    }
    /// Returns the loads for which a permit is held.
    [[nodiscard]] auto loads_in_flight() const -> std::size_t {
        return permitted_.size();
    }

private:
    struct seen_runner {
        std::string address_;
        std::string zone_;
        std::string shard_;
        runner_report report_;
        bool gone_ = false;
    };
    struct attempt {
        time_point next_{};
        duration wait_{};
        state::epoch epoch_ = 0;
        bool accepted_ = false;
    };
    struct poll_context {
        const state::machine* state_ = nullptr;
        const std::map<std::string, state::epoch>* held_ = nullptr;
        time_point now_{};
        std::vector<order_command> commands_;
    };

    auto forget_settled(const state::machine& state, time_point now) -> void;
    auto poll_runner(poll_context& context, const std::string& name,
                     const seen_runner& seen) -> void;
    auto settle_orders(poll_context& context, const state::runner_state& runner,
                       const runner_report& report, state::epoch epoch) -> void;
    auto adopt_foreign(poll_context& context, const state::runner_state& runner,
                       const runner_report& report, state::epoch epoch) -> void;
    auto send_orders(poll_context& context, const state::runner_state& runner,
                     state::epoch epoch) -> void;
    auto make_step(poll_context& context, const state::runner_state& runner,
                   state::epoch epoch) -> void;
    auto make_room(poll_context& context, const state::runner_state& runner,
                   const wanted_resident& wanted, state::epoch epoch) -> bool;
    auto make_detour(poll_context& context, const state::runner_state& runner,
                     const state::resident& blocking) -> bool;
    auto unload_surplus(poll_context& context,
                        const state::runner_state& runner, state::epoch epoch)
        -> bool;
    auto load(poll_context& context, const state::runner_state& runner,
              const wanted_resident& wanted, state::epoch epoch) -> bool;
    auto unload(poll_context& context, const state::runner_state& runner,
                const state::resident_key& key, state::epoch epoch) -> bool;
    auto change_role(poll_context& context, const state::runner_state& runner,
                     state::runner_role role, state::epoch epoch) -> bool;
    auto submit_intent(poll_context& context, state::order_intent intent)
        -> bool;
    auto submit_once(const std::string& subject, state::record body,
                     const state::machine& state) -> bool;
    auto is_wanted(std::string_view runner,
                   const state::resident_key& key) const -> bool;
    auto is_replaced(const state::machine& state,
                     const state::resident_key& key) const -> bool;
    auto block(std::string_view runner, const state::resident_key& key,
               std::string reason) -> void;

    executor_options options_;
    load_permits* permits_;
    appender* writer_;
    wanted_placement wanted_;
    std::map<std::string, seen_runner, std::less<>> runners_;
    std::unordered_map<state::record_id, attempt, state::record_id_hash>
        attempts_;
    // Loads that hold a permit.
    std::unordered_map<state::record_id, std::string, state::record_id_hash>
        permitted_;
    // Records in flight by subject, and back: one of a subject at a time.
    std::map<std::string, state::record_id, std::less<>> subjects_;
    std::unordered_map<state::record_id, std::string, state::record_id_hash>
        submitted_;
    std::vector<blocked_step> blocked_;
};

} // namespace basilstream::coordination
