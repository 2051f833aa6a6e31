/// A control stream of a deployment of a given size, for measurements.
///
///     auto sample = state_sample{1700};
///     auto state = sample.replay();
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilstream/state/machine/machine.hpp"

namespace basilstream::testing {

/// Records that declare and load a deployment in the proportions of the
/// target: for 1,700 runners 450 models with three adapters each and 19
/// shards; each runner holds one model with its adapters.
class state_sample {
public:
    explicit state_sample(std::size_t runners);

    /// Returns the records in the order of their offsets from zero.
    [[nodiscard]] auto records() const -> const std::vector<state::envelope>& {
        return records_;
    }
    /// Returns the state after all of them.
    [[nodiscard]] auto replay() const -> state::machine;

    /// Returns further records that load and unload models in turn: what a
    /// busy day appends. `count` is rounded down to whole turns.
    [[nodiscard]] auto moves(std::size_t count) const
        -> std::vector<state::envelope>;

    [[nodiscard]] auto models() const -> std::size_t { return models_; }

private:
    auto add(state::record body) -> state::record_id;
    auto declare() -> void;
    auto load(std::size_t runner) -> void;
    auto load_one(std::size_t runner, const state::resident_key& key,
                  state::order_action action, std::uint64_t bytes) -> void;
    [[nodiscard]] auto shard_of(std::size_t runner) const -> std::size_t;

    std::size_t runners_;
    std::size_t models_;
    std::size_t shards_;
    seeded_random random_{1};
    std::vector<state::envelope> records_;
};

} // namespace basilstream::testing
