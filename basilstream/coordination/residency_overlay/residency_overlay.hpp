/// Overlays the announcements of runners with more recent changes of the models
/// and adapters that they hold.
///
///     overlay.add(change, now);
///     const auto server = overlay.apply(announced, announced_at, now);
///
/// Load pattern: an adapter is loaded within about 30 ms, but its runner
/// announces it only after a second or two, and requests for the adapter would
/// wait for that. A change applies until an announcement arrives that is
/// certain to include it.
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
    /// An announcement that arrives later than this after a change includes the
    /// change. Sum of the announcement interval, the interval at which the
    /// store is read, and the lag of both.
    duration announcement_lag_ = milliseconds{2600};
    /// Time after which a change is discarded even without a newer
    /// announcement, counted from its arrival or from when its model or adapter
    /// was expected to be ready, whichever is later.
    duration max_age_ = seconds{15};
};

class residency_overlay {
public:
    explicit residency_overlay(residency_overlay_settings settings = {})
        : settings_{settings} {}

    /// Records a change; it replaces an earlier one of the same model or
    /// adapter on the runner.
    auto add(const holding_change& change, time_point now) -> void;
    /// Discards all changes of a runner that has restarted or is gone.
    auto remove_runner(const std::string& runner) -> void;
    /// Returns the announced server with the changes applied that its
    /// announcement, received at `announced_at`, may not include yet. Discards
    /// outdated changes.
    [[nodiscard]] auto apply(backend_server announced, time_point announced_at,
                             time_point now) -> backend_server;
    /// Returns the expected time until the model or adapter is ready on the
    /// first runner that is loading it; nothing if no runner is.
    [[nodiscard]] auto ready_in(const std::string& model,
                                const std::string& adapter,
                                time_point now) const
        -> std::optional<duration>;
    /// Returns the expected time until a runner has loaded the models that it
    /// is loading; zero if it is loading none. It loads no adapter before.
    [[nodiscard]] auto loading_for(const std::string& runner,
                                   time_point now) const -> duration;

private:
    struct update {
        load_state state_ = load_state::ready;
        time_point received_at_;
        time_point ready_at_;
    };
    // Keyed by model and adapter.
    using runner_updates =
        std::map<std::pair<std::string, std::string>, update>;

    residency_overlay_settings settings_;
    std::map<std::string, runner_updates> runners_;
};

} // namespace basilstream::coordination
