/// Logic of the stand-in weight store, without I/O: transfers start at a
/// limited rate and share the speed of `loads_at_once_` full-speed transfers.
///
///     auto store = weight_store{{}, time, random};
///     const auto id = store.begin(false);
///     store.next_due(); store.advance();     // ids of ended transfers
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::testing {

/// Limits of the store.
struct weight_store_settings {
    double loads_per_second_ = 2;
    std::uint64_t loads_at_once_ = 25;
    /// Time of a model's transfer at full speed.
    duration load_time_ = seconds{2};
    /// Adapters take a random time between these while no more than
    /// `adapters_at_once_` are in flight, proportionally longer beyond.
    duration adapter_shortest_ = milliseconds{10};
    duration adapter_longest_ = milliseconds{30};
    std::uint64_t adapters_at_once_ = 190;
};

/// What the store has seen.
struct weight_store_books {
    std::uint64_t model_loads_ = 0;
    std::uint64_t adapter_loads_ = 0;
    std::uint64_t peak_model_loads_ = 0;
    std::uint64_t peak_adapter_loads_ = 0;
    /// Model loads that had to wait for their start.
    std::uint64_t paced_ = 0;
};

/// The store. Not safe for concurrent use.
class weight_store {
public:
    weight_store(weight_store_settings settings, const clock& time,
                 random_source& random);

    /// Asks for a model's or an adapter's weights and returns the transfer's
    /// id. A model's transfer starts when the rate allows.
    auto begin(bool adapter) -> std::uint64_t;

    /// Returns the ids of the transfers that have ended by now.
    auto advance() -> std::vector<std::uint64_t>;

    /// Returns when `advance` next has something to do; nothing when idle.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

    [[nodiscard]] auto books() const -> const weight_store_books& {
        return books_;
    }

private:
    struct transfer {
        bool adapter_ = false;
        time_point start_ = {};
        /// Time that is left at full speed, in seconds.
        double left_ = 0;
    };

    auto progress_until(time_point at) -> void;
    auto active(bool adapter, time_point at) const -> std::uint64_t;
    auto speed(bool adapter, time_point at) const -> double;
    auto next_change() const -> std::optional<time_point>;

    weight_store_settings settings_;
    const clock& clock_;
    random_source& random_;
    time_point progressed_;
    time_point next_start_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, transfer> transfers_;
    weight_store_books books_;
};

} // namespace basilstream::testing
