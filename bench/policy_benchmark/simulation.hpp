/// Runs one trace against one set of decisions on virtual time.
///
///     auto run = simulation{deployment, trace, options};
///     auto figures = run.run();
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "bench/policy_benchmark/engine.hpp"
#include "bench/policy_benchmark/placement_policy.hpp"
#include "bench/policy_benchmark/trace.hpp"
#include "bench/policy_benchmark/traffic.hpp"

namespace basilstream::bench {

/// The decisions under test.
struct run_options {
    std::string name_;
    placement_kind placement_ = placement_kind::ours;
    traffic_kind traffic_ = traffic_kind::ours;
    /// Relaxation for the bound: memory, moves, lag and cache misses cost
    /// nothing.
    bool relaxed_ = false;
};

/// What one run showed.
struct run_figures {
    std::size_t requests_ = 0;
    std::size_t attained_ = 0;
    std::size_t refused_ = 0;
    /// Model loads and adapter loads after the start of the trace.
    std::size_t moves_ = 0;
    std::size_t adapter_loads_ = 0;
    double first_token_p50_ = 0;
    double first_token_p95_ = 0;
    double first_token_p99_ = 0;
    double interval_p50_ = 0;
    double interval_p95_ = 0;
    double interval_p99_ = 0;
    /// Least share of the models with a ready replica at any time.
    double reachable_ = 1;
    std::map<std::string, double> attainment_by_organisation_;
    std::size_t runners_ = 0;

    [[nodiscard]] auto attainment() const -> double {
        return requests_ == 0 ? 1
                              : static_cast<double>(attained_) /
                                    static_cast<double>(requests_);
    }
    [[nodiscard]] auto attainment_per_accelerator() const -> double {
        return attainment() / static_cast<double>(runners_);
    }
};

/// Goals of the brief, in seconds.
inline constexpr auto first_token_goal = 1.3;
inline constexpr auto token_interval_goal = 0.078;

/// One run. Used once.
class simulation {
public:
    simulation(deployment made, const trace& events, run_options options);

    [[nodiscard]] auto run() -> run_figures;

private:
    enum class event_kind { engine, load_done, second_tick, plan, fault };

    struct event {
        double at_ = 0;
        std::uint64_t order_ = 0;
        event_kind kind_ = event_kind::engine;
        std::size_t subject_ = 0;
        std::uint64_t generation_ = 0;
        auto operator>(const event& other) const -> bool {
            return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
        }
    };

    struct runner {
        engine engine_;
        std::uint64_t generation_ = 0;
        int loads_ = 0;
        bool gone_ = false;
    };

    // Where a request is.
    struct flight {
        std::size_t runner_ = 0;
        double dispatched_ = 0;
        double first_token_ = -1;
        double position_ = 0;
        int tokens_left_ = 0;
        bool running_ = false;
        bool done_ = false;
    };

    struct cache_change {
        double due_ = 0;
        std::size_t runner_ = 0;
        std::uint64_t prefix_ = 0;
        bool stored_ = true;
    };

    struct load_snapshot {
        double due_ = 0;
        std::vector<std::pair<int, int>> loads_;
    };

    auto fill() -> void;
    auto schedule(double at, event_kind kind, std::size_t subject,
                  std::uint64_t generation = 0) -> void;
    auto handle(const event& due) -> void;
    auto arrive(request_index index) -> void;
    auto submit(request_index index) -> void;
    auto take(const traffic_answer& answer) -> void;
    auto dispatch(request_index index, std::size_t runner) -> void;
    auto on_engine(std::size_t index) -> void;
    auto finish(request_index index, double now) -> void;
    auto poll(std::size_t entry_vm) -> void;
    auto reschedule(std::size_t index) -> void;
    auto deliver_reports() -> void;
    auto take_snapshot() -> void;
    auto plan() -> void;
    auto make_input(double interval) -> coordination::placement_input;
    auto carry_out(const std::vector<coordination::placement_step>& steps,
                   bool at_once) -> void;
    auto start_load(const coordination::placement_step& step, bool at_once)
        -> void;
    auto remove_resident(const coordination::placement_resident& resident)
        -> void;
    auto load_done(std::size_t resident_id) -> void;
    auto lose_runner(std::size_t index) -> void;
    auto on_fault(const fault& what) -> void;
    auto announce(std::size_t runner) -> void;
    auto check_reachable() -> void;
    auto check_memory(std::size_t runner) -> void;
    auto summarise() -> run_figures;

    deployment made_;
    const trace& trace_;
    run_options options_;
    std::unique_ptr<placement_policy> placement_;
    std::vector<std::unique_ptr<traffic_policy>> entry_vms_;
    std::vector<runner> runners_;
    std::vector<flight> flights_;
    std::map<std::string, std::size_t> runner_index_;
    std::map<std::string, std::uint32_t> model_index_;
    // Residents by number, as the ledger counts them.
    std::map<std::size_t, coordination::placement_resident> residents_;
    std::size_t next_resident_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t next_order_ = 0;
    std::deque<load_snapshot> snapshots_;
    std::deque<cache_change> cache_changes_;
    std::vector<double> arrivals_;
    double now_ = 0;
    double next_load_start_ = 0;
    int loads_in_flight_ = 0;
    bool log_down_ = false;
    run_figures figures_;
    std::vector<float> first_tokens_;
    std::vector<float> intervals_;
};

} // namespace basilstream::bench
