// Events, daemons and the end of a run.
#include "testing/state_soak/world.hpp"

#include <algorithm>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto retained_records = std::size_t{100};
constexpr auto id_window = state::log_offset{128};
constexpr auto runner_memory = std::uint64_t{105};

auto controller_settings(const soak_guards& guards)
    -> coordination::controller_options {
    auto options = coordination::controller_options{};
    options.appender_.window_ = id_window;
    options.appender_.max_batch_records_ = 16;
    options.replica_.guards_ = guards.machine_;
    options.replica_.window_ = id_window;
    options.replica_.max_records_ = 64;
    options.replica_.scan_records_ = 40;
    options.snapshots_.every_records_ = 30;
    options.snapshots_.max_part_bytes_ = 4096;
    options.snapshots_.retry_ = seconds{3};
    options.snapshots_.enabled_ = guards.snapshots_;
    options.ownership_.hand_over_after_ = seconds{20};
    options.executor_.gate_.after_read_back_ = guards.read_back_;
    return options;
}

} // namespace

auto counting_permits::try_acquire(coordination::load_kind /*kind*/,
                                   time_point /*now*/) -> bool {
    if (used_ >= limit_) {
        return false;
    }
    ++used_;
    return true;
}

auto counting_permits::release(coordination::load_kind /*kind*/,
                               time_point /*now*/) -> void {
    --used_;
}

world::world(const soak_options& options)
    : options_{options}, random_{options.seed_}, log_{retained_records},
      nodes_(options.daemons_), oracle_{options.guards_.machine_, id_window} {
    set_invariant_handler(
        [this](std::string_view name, std::string_view detail) {
            violate(std::string{name}, std::string{detail});
        });
    for (auto i = std::size_t{0}; i < options.shards_; ++i) {
        shards_.push_back("shard-" + std::to_string(i));
    }
    for (auto i = std::size_t{0}; i < options.runners_; ++i) {
        runners_.push_back(std::make_unique<fake_runner>(
            "runner-" + std::to_string(i), "zone-" + std::to_string(i % 3),
            shards_[i % shards_.size()], runner_memory, i % 2 == 0));
        start_runner(*runners_.back());
    }
    for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
        start_node(i);
    }
    every(milliseconds{200}, milliseconds{1500}, [this] { operate(); });
    every(seconds{1}, seconds{4}, [this] { misbehave(); });
    every(seconds{3}, seconds{20}, [this] { disturb_node(); });
    every(seconds{5}, seconds{60}, [this] { disturb_log(); });
    every(seconds{5}, seconds{40}, [this] { disturb_runner(); });
}

world::~world() {
    set_invariant_handler({});
}

auto world::schedule(duration delay, std::function<void()> action) -> void {
    events_.push({clock_.now() + delay, next_event_++, std::move(action)});
}

// A paused daemon takes what reaches it when it runs again; a dead one never.
auto world::to_node(std::size_t index, std::uint64_t incarnation,
                    duration delay, node_action action) -> void {
    schedule(delay, [this, index, incarnation, action = std::move(action)] {
        auto& target = nodes_[index];
        if (target.incarnation_ != incarnation || !target.control_) {
            return;
        }
        if (clock_.now() < target.paused_until_) {
            to_node(index, incarnation, target.paused_until_ - clock_.now(),
                    action);
            return;
        }
        action(target);
    });
}

auto world::every(duration shortest, duration longest,
                  const std::function<void()>& action) -> void {
    schedule(between(shortest, longest), [=, this] {
        action();
        every(shortest, longest, action);
    });
}

auto world::between(duration shortest, duration longest) -> duration {
    const auto span = static_cast<double>((longest - shortest).count());
    return shortest +
           duration{static_cast<duration::rep>(random_.fraction() * span)};
}

auto world::chance(double probability) -> bool {
    return faults_ && options_.faults_.messages_ &&
           random_.fraction() < probability;
}

auto world::violate(const std::string& name, const std::string& detail)
    -> void {
    if (report_.violations_.size() < 20) {
        report_.violations_.push_back(name + ": " + detail);
    }
}

auto world::advance(std::uint64_t steps) -> void {
    for (auto i = std::uint64_t{0}; i < steps; ++i) {
        if (options_.stop_at_violation_ && !report_.violations_.empty()) {
            return;
        }
        auto next = events_.top();
        events_.pop();
        clock_.advance(next.at_ - clock_.now());
        next.action_();
        ++report_.steps_;
    }
}

auto world::run() -> soak_report {
    advance(options_.steps_);
    if (report_.violations_.empty()) {
        settle();
    }
    report_.virtual_seconds_ =
        std::chrono::duration<double>(clock_.now().time_since_epoch()).count();
    for (auto& [name, values] : report_.durations_) {
        std::sort(values.begin(), values.end());
    }
    return report_;
}

auto world::start_node(std::size_t index) -> void {
    auto& fresh = nodes_[index];
    ++fresh.incarnation_;
    fresh.name_ = "daemon-" + std::to_string(index) + '#' +
                  std::to_string(fresh.incarnation_);
    fresh.control_.reset();
    fresh.random_ = std::make_unique<seeded_random>(random_.next());
    fresh.permits_ = std::make_unique<counting_permits>();
    fresh.control_ = std::make_unique<coordination::controller>(
        controller_settings(options_.guards_), fresh.name_, shards_,
        *fresh.permits_, *fresh.random_);
    fresh.stopping_ = false;
    fresh.paused_until_ = clock_.now();
    tick(index);
    ask_reports(index);
    plan(index);
}

auto world::tick(std::size_t index) -> void {
    auto& polled = nodes_[index];
    auto actions = polled.control_->poll(clock_.now());
    for (const auto& resolution : actions.resolutions_) {
        count("fate_" + std::string{coordination::append_fate_names.name_of(
                            resolution.fate_)});
    }
    if (chance(0.0005)) {
        // Paused between the decision and its effect.
        count("pauses");
        polled.paused_until_ = clock_.now() + between({}, seconds{40});
        to_node(index, polled.incarnation_, {},
                [this, index, actions](node&) { perform(index, actions); });
    } else {
        perform(index, actions);
    }
    check_digest(polled);
    if (polled.stopping_ && polled.control_->released()) {
        count("planned_stops");
        polled.control_.reset();
        schedule(between({}, seconds{5}), [this, index] { start_node(index); });
        return;
    }
    to_node(index, polled.incarnation_,
            between(milliseconds{20}, milliseconds{100}),
            [this, index](node&) { tick(index); });
}

auto world::perform(std::size_t index,
                    const coordination::controller_actions& actions) -> void {
    if (actions.append_) {
        append(index, *actions.append_);
    }
    if (actions.read_) {
        read(index, *actions.read_);
    }
    for (const auto& order : actions.orders_) {
        send_order(index, order);
    }
}

auto world::ask_reports(std::size_t index) -> void {
    const auto& asking = nodes_[index];
    const auto position = asking.control_->state().next_offset();
    const auto incarnation = asking.incarnation_;
    for (auto& runner : runners_) {
        const auto delay = between(milliseconds{1}, milliseconds{50});
        schedule(delay, [=, this, asked = runner.get()] {
            if (!asked->up_ || chance(0.02)) {
                return;
            }
            auto sighting = coordination::runner_observation{
                asked->name_,  "127.0.0.1:1", asked->zone_,
                asked->shard_, position,      asked->report()};
            const auto late = chance(0.02) ? between({}, seconds{20})
                                           : between({}, milliseconds{50});
            to_node(index, incarnation, late, [this, sighting](node& target) {
                target.control_->on_report(sighting, clock_.now());
            });
        });
    }
    to_node(index, incarnation, between(milliseconds{300}, milliseconds{900}),
            [this, index](node&) { ask_reports(index); });
}

auto world::plan(std::size_t index) -> void {
    auto& planning = nodes_[index];
    auto wanted = plan_placement(planning.control_->state());
    for (auto& [name, runner] : wanted) {
        if (chance(0.02)) {
            runner.role_ = state::runner_role::prefill;
        }
    }
    planning.control_->set_desired_placement(std::move(wanted));
    auto members = std::vector<std::string>{};
    for (const auto& other : nodes_) {
        if (other.control_ && !chance(0.1)) {
            members.push_back(other.name_);
        }
    }
    planning.control_->on_members(std::move(members));
    to_node(index, planning.incarnation_, between(seconds{1}, seconds{3}),
            [this, index](node&) { plan(index); });
}

auto world::disturb_node() -> void {
    const auto index = random_.below(nodes_.size());
    auto& target = nodes_[index];
    if (!faults_ || !options_.faults_.daemon_stops_ || !target.control_) {
        return;
    }
    if (random_.below(2) == 0) {
        target.stopping_ = true;
        target.control_->stop();
        return;
    }
    count("kills");
    for (const auto& shard : shards_) {
        if (oracle_.find_shard(shard).owner_ == target.name_) {
            ownerless_since_[shard] = clock_.now();
        }
    }
    target.control_.reset();
    schedule(between({}, seconds{15}), [this, index] { start_node(index); });
}

auto world::measure(const std::string& name, time_point since) -> void {
    report_.durations_[name].push_back(
        std::chrono::duration<double>(clock_.now() - since).count());
}

auto world::check_digest(const node& checked) -> void {
    if (!checked.control_->ready()) {
        return;
    }
    const auto& state = checked.control_->state();
    const auto* expected = digests_.find(state.next_offset());
    if (expected != nullptr && random_.below(8) == 0) {
        count("digests_compared");
        if (state.digest() != *expected) {
            violate("states_equal_at_equal_offsets", checked.name_);
        }
    }
}

// Without faults everything must come to rest as declared.
auto world::settle() -> void {
    faults_ = false;
    log_.down_ = false;
    for (auto& target : nodes_) {
        target.paused_until_ = std::min(target.paused_until_, clock_.now());
    }
    constexpr auto resting_time = seconds{400};
    const auto end = clock_.now() + resting_time;
    while (clock_.now() < end && report_.violations_.empty()) {
        advance(1);
    }
    if (report_.violations_.empty()) {
        check_settled();
    }
}

auto world::check_settled() -> void {
    for (const auto& target : nodes_) {
        if (!target.control_ || !target.control_->ready()) {
            violate("daemon_starts", target.name_);
        }
    }
    for (const auto& condition : oracle_.conditions()) {
        if (condition.name_ != "org/huge" && !condition.reachable_) {
            violate("declared_model_is_served",
                    condition.name_ + ": " + condition.reason_);
        }
    }
    if (oracle_.open_order_count() > 0) {
        violate("orders_settle", std::to_string(oracle_.open_order_count()));
    }
}

auto run_soak(const soak_options& options) -> soak_report {
    return world{options}.run();
}

} // namespace basilstream::testing
