/// News of what runners hold, laid over what they last announced themselves.
///
///     overlay.add(change, now);
///     const auto server = overlay.apply(announced, announced_at, now);
///
/// Load pattern: an adapter is in place after some 30 ms, while its runner
/// announces it after a second or two; requests for it wait meanwhile. News
/// hold until an announcement that is certainly newer has come.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/backend_directory/backend_directory.hpp"
#include "basilstream/coordination/demand_placement/demand_placement.hpp"
#include "basilstream/coordination/fleet_ledger/fleet_ledger.hpp"

namespace basilstream::coordination {

struct residency_overlay_settings {
    /// An announcement that came this long after a piece of news includes it:
    /// the interval of announcements, of reads of the store, and their lag.
    duration announcement_lag_ = milliseconds{2600};
    /// Nothing is believed longer than this.
    duration max_age_ = seconds{15};
};

class residency_overlay {
public:
    explicit residency_overlay(residency_overlay_settings settings = {})
        : settings_{settings} {}

    auto add(const holding_change& change, time_point now) -> void;
    /// Forgets all news of a runner, which has restarted or is gone.
    auto remove_runner(const std::string& runner) -> void;
    /// Returns the server with the news that its announcement, which came at
    /// `announced_at`, cannot contain yet.
    [[nodiscard]] auto apply(backend_server announced, time_point announced_at,
                             time_point now) -> backend_server;
    /// Returns how long until the model or adapter is expected on any runner.
    [[nodiscard]] auto ready_in(const std::string& model,
                                const std::string& adapter,
                                time_point now) const
        -> std::optional<duration>;

private:
    struct update {
        load_state state_ = load_state::ready;
        time_point received_at_;
        time_point ready_at_;
    };
    // By model and adapter.
    using runner_updates =
        std::map<std::pair<std::string, std::string>, update>;

    residency_overlay_settings settings_;
    std::map<std::string, runner_updates> runners_;
};

} // namespace basilstream::coordination
