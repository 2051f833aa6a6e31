/// Counts loads from the weight store within a sliding window, over all owners
/// of placement.
///
///     auto loads = load_window{seconds{5}};
///     loads.on_load_notice("i-7f3a", "m", now);        // the owner's order
///     loads.on_takeover(capacity, earlier, runners, now);
///     loads.on_report("i-7f3a", {"m"}, false, now);
///     if (loads.used(now) < capacity) { loads.add(now); /* order */ }
///
/// Load pattern: the owner is cut off or killed while demand moves. The next
/// one does not know what was ordered last. It assumes that the window was used
/// up, until every runner has said what it holds; then only models that this
/// daemon had not seen there before the window count.
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

    /// This daemon has ordered a load.
    auto add_load(time_point now) -> void { load_times_.push_back(now); }
    /// The owner of placement said that it has ordered a load.
    auto on_load_notice(const std::string& runner, const std::string& model,
                        time_point now) -> void;
    /// A runner has announced all models that it holds.
    auto on_models_announced(const std::string& runner,
                             const std::vector<std::string>& models,
                             time_point now) -> void;
    auto remove_runner(const std::string& runner) -> void;

    /// This daemon has become the owner. The one before may have begun up to
    /// `capacity` loads until `earlier` that were not heard of. `runners`: all
    /// that may have been ordered to load.
    auto on_takeover(std::size_t capacity, time_point latest_order_at,
                     std::set<std::string> runners) -> void;
    /// There was no owner before.
    auto begin_without_predecessor() -> void;
    /// A runner said what it holds and whether it is loading. Of use after
    /// on_takeover().
    auto on_report(const std::string& runner,
                   const std::vector<std::string>& models, bool loading,
                   time_point now) -> void;

    /// Returns how many loads the window holds at most.
    [[nodiscard]] auto count(time_point now) -> std::size_t;

private:
    using runner_model = std::pair<std::string, std::string>;

    struct replica_sighting {
        time_point seen_at_;
        bool is_from_notice_ = false;
    };

    auto expire(time_point now) -> void;
    [[nodiscard]] auto is_unexplained(const runner_model& key,
                                      time_point now) const -> bool;

    duration window_;
    std::deque<time_point> load_times_;
    std::map<runner_model, replica_sighting> replicas_;
    // What the owner before may have begun unheard, and when at the latest.
    std::size_t presumed_loads_ = 0;
    time_point presumed_loads_at_{};
    // Runners that have not reported since the takeover, and the loads that
    // the others' reports cannot otherwise be explained by.
    std::set<std::string> unreported_runners_;
    std::size_t unexplained_loads_ = 0;
};

} // namespace basilstream::coordination
