/// Counts model loads from the weight store within a sliding window, across
/// changes of the placement owner.
///
///     auto loads = load_window{seconds{5}};
///     loads.on_load_notice("i-7f3a", "m", now);  // ordered by the owner
///     loads.on_takeover(capacity, latest_order_at, runners);
///     loads.on_report("i-7f3a", {"m"}, false, now);
///     if (loads.count_loads(now) < capacity) { order(); loads.add_load(now); }
///
/// Guards against more than `capacity` loads per window when the owner is
/// partitioned or killed while demand shifts. Its successor does not know which
/// loads it ordered last, and presumes that the window is full until every
/// runner has reported its models. After that, it counts a reported model
/// without a notice only if this daemon had not seen it on the runner before
/// the window.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

class load_window {
public:
    explicit load_window(duration window) : window_{window} {}

    /// Records a load that this daemon ordered.
    auto add_load(time_point now) -> void { load_times_.push_back(now); }
    /// Records a load that the placement owner announced. Repeated notices
    /// within the window count once.
    auto on_load_notice(const std::string& runner, const std::string& model,
                        time_point now) -> void;
    /// Handles a runner's announcement of all models that it holds.
    auto on_models_announced(const std::string& runner,
                             const std::vector<std::string>& models,
                             time_point now) -> void;
    auto remove_runner(const std::string& runner) -> void;

    /// Must be called when this daemon becomes the owner. Presumes that the
    /// previous owner ordered up to `capacity` loads on any of `runners`, no
    /// later than `latest_order_at`, of which this daemon received no notice.
    auto on_takeover(std::size_t capacity, time_point latest_order_at,
                     std::set<std::string> runners) -> void;
    /// Must be called instead of on_takeover() if there was no owner before.
    auto begin_without_predecessor() -> void;
    /// Handles a runner's reply to a query of the models that it holds and of
    /// whether it is loading one. Only the first report of each runner after
    /// on_takeover() has an effect.
    auto on_report(const std::string& runner,
                   const std::vector<std::string>& models, bool loading,
                   time_point now) -> void;

    /// Returns an upper bound on the number of loads within the window.
    [[nodiscard]] auto count_loads(time_point now) -> std::size_t;

private:
    using runner_model = std::pair<std::string, std::string>;

    struct replica_record {
        // Time of the first announcement or of the latest notice.
        time_point seen_at_;
        bool is_from_notice_ = false;
    };

    auto expire(time_point now) -> void;
    [[nodiscard]] auto is_unexplained(const runner_model& key,
                                      time_point now) const -> bool;

    duration window_;
    std::deque<time_point> load_times_;
    std::map<runner_model, replica_record> replicas_;
    // Loads that the predecessor may have ordered without a notice, and the
    // latest time of such an order.
    std::size_t presumed_loads_ = 0;
    time_point presumed_loads_at_{};
    // Runners that have not reported since the takeover.
    std::set<std::string> unreported_runners_;
    // Loads in the other runners' reports that were neither announced before
    // the window nor known from a notice.
    std::size_t unexplained_loads_ = 0;
};

} // namespace basilstream::coordination
