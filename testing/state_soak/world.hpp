/// World of the randomised run: events on virtual time around controllers.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilstream/base/random/random.hpp"
#include "testing/state_soak/fakes.hpp"
#include "testing/state_soak/soak.hpp"

namespace basilstream::testing {

/// Permits of one daemon: a bound on loads at once.
class counting_permits final : public coordination::load_permits {
public:
    auto try_acquire(coordination::load_kind kind, time_point now)
        -> bool override;
    auto release(coordination::load_kind kind, time_point now) -> void override;

private:
    static constexpr auto limit_ = 4;
    int used_ = 0;
};

/// One daemon's controller and what surrounds it.
struct node {
    std::string name_;
    std::uint64_t incarnation_ = 0;
    std::unique_ptr<seeded_random> random_;
    std::unique_ptr<counting_permits> permits_;
    std::unique_ptr<coordination::controller> control_;
    time_point paused_until_{};
    bool stopping_ = false;
};

/// Ids or values of the last records, oldest forgotten first.
template <class Key, class Value, class Hash = std::hash<Key>>
class bounded_memory {
public:
    auto insert(const Key& key, Value value) -> bool {
        if (!values_.emplace(key, std::move(value)).second) {
            return false;
        }
        order_.push_back(key);
        if (order_.size() > limit_) {
            values_.erase(order_.front());
            order_.pop_front();
        }
        return true;
    }
    [[nodiscard]] auto find(const Key& key) const -> const Value* {
        const auto found = values_.find(key);
        return found == values_.end() ? nullptr : &found->second;
    }

private:
    static constexpr auto limit_ = std::size_t{50'000};
    std::unordered_map<Key, Value, Hash> values_;
    std::deque<Key> order_;
};

/// Runs the events and checks the invariants that need an outside view.
class world {
public:
    explicit world(const soak_options& options);
    ~world();
    world(const world&) = delete;
    auto operator=(const world&) -> world& = delete;

    auto run() -> soak_report;

private:
    struct event {
        time_point at_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;
        auto operator<(const event& other) const -> bool {
            return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
        }
    };
    using node_action = std::function<void(node&)>;

    // Events.
    auto schedule(duration delay, std::function<void()> action) -> void;
    auto to_node(std::size_t index, std::uint64_t incarnation, duration delay,
                 node_action action) -> void;
    auto advance(std::uint64_t steps) -> void;
    auto every(duration shortest, duration longest,
               const std::function<void()>& action) -> void;
    auto between(duration shortest, duration longest) -> duration;
    auto chance(double probability) -> bool;
    auto count(const std::string& name) -> void { ++report_.counts_[name]; }
    auto violate(const std::string& name, const std::string& detail) -> void;

    // Daemons.
    auto start_node(std::size_t index) -> void;
    auto tick(std::size_t index) -> void;
    auto perform(std::size_t index,
                 const coordination::controller_actions& actions) -> void;
    auto ask_reports(std::size_t index) -> void;
    auto plan(std::size_t index) -> void;
    auto disturb_node() -> void;
    auto measure(const std::string& name, time_point since) -> void;
    auto check_digest(const node& checked) -> void;

    // Log.
    auto append(std::size_t index, const coordination::append_batch& batch)
        -> void;
    auto store(const std::vector<state::envelope>& records)
        -> state::log_offset;
    auto note_recovery(const state::record& body) -> void;
    auto store_one(std::optional<state::envelope> entry) -> state::log_offset;
    auto read(std::size_t index, coordination::read_request request) -> void;
    auto answer_read(std::size_t index, std::uint64_t incarnation,
                     coordination::read_request request) -> void;
    auto deliver_records(node& reader, std::uint64_t ticket,
                         const std::vector<coordination::log_entry>& entries,
                         coordination::log_bounds bounds) -> void;
    auto disturb_log() -> void;

    // Runners.
    auto send_order(std::size_t index, const coordination::order_command& order)
        -> void;
    auto arrive(std::size_t index, std::uint64_t incarnation,
                const coordination::order_command& order) -> void;
    auto execute(fake_runner& runner, const coordination::order_command& order)
        -> coordination::order_answer;
    [[nodiscard]] auto is_served(const std::string& model) const -> bool;
    [[nodiscard]] auto served_models() const -> std::vector<std::string>;
    auto note_served() -> void;
    auto refresh(fake_runner& runner, const std::string& boot_id) -> void;
    auto start_runner(fake_runner& runner) -> void;
    auto note_loss(const fake_runner& runner) -> void;
    auto disturb_runner() -> void;

    // Operators.
    auto operate() -> void;
    auto put_model(node& through, const std::string& name) -> void;
    auto put_adapter(node& through, const std::string& name) -> void;
    auto remove(node& through, const state::resource_key& key) -> void;
    auto misbehave() -> void;
    auto random_node() -> node*;
    auto fresh_boot_id() -> std::string;

    auto settle() -> void;
    auto check_settled() -> void;

    soak_options options_;
    soak_report report_;
    seeded_random random_;
    manual_clock clock_;
    bool faults_ = true;
    std::uint64_t next_event_ = 0;
    std::uint64_t next_boot_ = 0;
    std::priority_queue<event> events_;
    fake_log log_;
    std::vector<std::string> shards_;
    std::vector<node> nodes_;
    std::vector<std::unique_ptr<fake_runner>> runners_;

    // The outside view.
    state::machine oracle_;
    // When a model was last declared anew, by name.
    std::map<std::string, time_point> declared_since_;
    // Since when a model is served without a break, by name.
    std::map<std::string, time_point> served_since_;
    // When a crash last took a ready replica, by model.
    std::map<std::string, time_point> last_loss_;
    bounded_memory<state::record_id, time_point, state::record_id_hash>
        valid_ids_;
    bounded_memory<state::log_offset, state::rejection> verdicts_;
    bounded_memory<state::log_offset, time_point> put_times_;
    bounded_memory<state::log_offset, std::uint64_t> digests_;
    // Owners killed and models lost, until they are made good.
    std::map<std::string, time_point> ownerless_since_;
    std::map<std::string, time_point> unserved_since_;
};

/// Returns a placement for everything declared: sticky, in memory, the same
/// on every daemon with the same state.
[[nodiscard]] auto plan_placement(const state::machine& state)
    -> coordination::desired_placement;

} // namespace basilstream::testing
