/// Counts loads from the weight store within a sliding window, over all owners
/// of placement.
///
///     auto loads = load_window{seconds{5}};
///     loads.on_heard("i-7f3a", "m", now);        // the owner's order
///     loads.take_over(capacity, earlier, runners, now);
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
    auto add(time_point now) -> void { times_.push_back(now); }
    /// The owner of placement said that it has ordered a load.
    auto on_heard(const std::string& runner, const std::string& model,
                  time_point now) -> void;
    /// A runner has announced all models that it holds.
    auto on_announced(const std::string& runner,
                      const std::vector<std::string>& models, time_point now)
        -> void;
    auto remove_runner(const std::string& runner) -> void;

    /// This daemon has become the owner. The one before may have begun up to
    /// `capacity` loads until `earlier` that were not heard of. `runners`: all
    /// that may have been ordered to load.
    auto take_over(std::size_t capacity, time_point earlier,
                   std::set<std::string> runners) -> void;
    /// There was no owner before.
    auto begin() -> void;
    /// A runner said what it holds and whether it is loading. Of use after
    /// take_over().
    auto on_report(const std::string& runner,
                   const std::vector<std::string>& models, bool loading,
                   time_point now) -> void;

    /// Returns how many loads the window holds at most.
    [[nodiscard]] auto used(time_point now) -> std::size_t;

private:
    using held_model = std::pair<std::string, std::string>;

    struct sighting {
        time_point since_;
        bool heard_ = false;
    };

    auto trim(time_point now) -> void;
    [[nodiscard]] auto unexplained(const held_model& held, time_point now) const
        -> bool;

    duration window_;
    std::deque<time_point> times_;
    std::map<held_model, sighting> seen_;
    // What the owner before may have begun unheard, and when at the latest.
    std::size_t unheard_ = 0;
    time_point unheard_at_{};
    // Runners that have not reported since the takeover, and the loads that
    // the others' reports cannot otherwise be explained by.
    std::set<std::string> awaited_;
    std::size_t found_ = 0;
};

} // namespace basilstream::coordination
