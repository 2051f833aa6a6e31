/// The two ways to treat requests, behind one interface.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/traffic_benchmark/internal/event_loop.hpp"
#include "bench/traffic_benchmark/internal/fake_runner.hpp"
#include "bench/traffic_benchmark/traffic.hpp"

namespace basilstream::bench::internal {

/// One try of a caller.
struct caller_try {
    std::uint64_t id_ = 0;
    int daemon_ = 0;
    int model_ = 0;
    std::uint64_t prefix_ = 0;
    int tokens_ = 1;
    time_point first_token_deadline_;
    time_point deadline_;
    std::function<void()> on_first_token_;
    std::function<void()> on_finished_;
    /// Called when the connection broke off for good.
    std::function<void()> on_broken_;
    /// Called with the retry hint.
    std::function<void(duration)> on_refused_;
};

/// The deployment as callers see it.
class daemons {
public:
    daemons() = default;
    daemons(const daemons&) = delete;
    auto operator=(const daemons&) -> daemons& = delete;
    virtual ~daemons() = default;

    virtual auto submit(caller_try request) -> void = 0;
    /// The caller no longer waits.
    virtual auto abandon(std::uint64_t id) -> void = 0;
    /// Crashes a runner; returns how many attempts were on it.
    virtual auto crash(int runner, duration down) -> int = 0;
    [[nodiscard]] virtual auto runs() const -> std::uint64_t = 0;
    [[nodiscard]] virtual auto no_slot() const -> std::uint64_t = 0;
    [[nodiscard]] virtual auto cached_share() const -> double = 0;
};

/// Returns the index of the replica `rank` of a model; replicas of a model are
/// in distinct availability zones.
[[nodiscard]] auto replica_of(const scenario& settings, int model, int rank)
    -> int;

/// One way between a daemon and a runner.
inline constexpr auto network_delay = milliseconds{1};

using runners = std::vector<std::unique_ptr<fake_runner>>;

/// Returns the scenario's runners.
[[nodiscard]] auto make_runners(const scenario& settings, event_loop& loop,
                                bool queueing) -> runners;
/// Crashes the runner; returns how many attempts were on it.
auto crash_runner(fake_runner& runner, duration down) -> int;
[[nodiscard]] auto count_runs(const runners& all) -> std::uint64_t;
[[nodiscard]] auto share_of_hits(const runners& all) -> double;

/// Returns daemons that run the decisions of basilstream.
[[nodiscard]] auto make_basilstream_daemons(const scenario& settings,
                                            event_loop& loop)
    -> std::unique_ptr<daemons>;

/// Returns the daemons for the scenario's policy.
[[nodiscard]] auto make_daemons(const scenario& settings, event_loop& loop)
    -> std::unique_ptr<daemons>;

} // namespace basilstream::bench::internal
