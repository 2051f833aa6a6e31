/// Spreads the load of models over the runners that hold them, so that the
/// load per slot of the runners is as even as the placement of the models
/// allows.
///
///     auto models = std::vector<model_load>{
///         {.load_ = 24, .runners_ = {0, 1}}, {.load_ = 8, .runners_ = {1}}};
///     const auto shares = spread_loads(models, std::vector{16, 16});
///     // shares[0] is about {2.0 / 3, 1.0 / 3}
///
/// Load pattern: hundreds of daemons send requests for models whose copies
/// share runners with copies of other models. Counts of the requests on each
/// runner are older than a request lasts when a daemon gets them, but how many
/// requests a model gets changes slowly. Daemons that know the same rates
/// choose the same shares, and none of them needs to react to the others.
///
/// Where servers differ in speed, `spread_loads` takes a `server_room` for each
/// in place of its slots.
///
/// Pure functions.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace basilstream::coordination {

/// A place that can take requests: `width_` is its number of slots, `height_`
/// its load per slot.
struct load_column {
    std::size_t candidate_ = 0;
    double width_ = 1;
    double height_ = 0;
};

/// Sorts the columns by height. Returns the water level: the load per slot that
/// the lower columns reach when `arrivals` requests are added to equalise them.
[[nodiscard]] auto water_level(std::vector<load_column>& columns,
                               double arrivals) -> double;

/// How much load a server of a given speed takes. Its height, the value that is
/// to be equal over all servers, is `base_` while it is idle and 1 once the
/// load has reached `slots_`, and grows linearly with the load.
struct server_room {
    double slots_ = 1;
    double base_ = 0;
};

/// How a server differs from one of typical speed; the default is one that
/// does not.
struct server_weight {
    /// Work per unit of time, 1 for a typical server.
    double speed_ = 1;
    /// Share of its slots that are filled before it counts as full.
    double slot_share_ = 1;
    /// See server_room.
    double base_ = 0;
    auto operator==(const server_weight&) const -> bool = default;
};

/// Returns the height of a server under `load`.
[[nodiscard]] auto height_of(const server_room& room, double load) -> double;
/// Returns the load that raises the height of a server by 1.
[[nodiscard]] auto width_of(const server_room& room) -> double;

/// The load that a model causes, in a unit that is the same for all models, and
/// the indices of the runners that hold it.
struct model_load {
    double load_ = 0;
    std::vector<std::size_t> runners_;
};

/// Returns, for each model, the shares of its requests that its runners should
/// get, in the order of model_load::runners_; they add up to 1. `slots` are
/// those of each runner, at least 1. Takes a few passes over all models, each
/// of which gives a model the best shares for those of the others.
[[nodiscard]] auto spread_loads(std::span<const model_load> models,
                                std::span<const int> slots)
    -> std::vector<std::vector<double>>;
/// The same for servers that differ in speed: evens out their heights. The unit
/// of the loads is that of server_room::slots_.
[[nodiscard]] auto spread_loads(std::span<const model_load> models,
                                std::span<const server_room> rooms)
    -> std::vector<std::vector<double>>;

} // namespace basilstream::coordination
