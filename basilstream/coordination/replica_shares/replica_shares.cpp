#include "basilstream/coordination/replica_shares/replica_shares.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

constexpr auto passes = 8;
// A model without load still has shares, for its next request.
constexpr auto min_load = 0.1;

// Gives a model its best shares; `heights` are those of the runners without
// this model, `widths` the loads that raise them by 1.
auto share_model(const model_load& model, std::span<const double> widths,
                 std::span<const double> heights) -> std::vector<double> {
    auto columns = std::vector<load_column>{};
    for (auto position = std::size_t{0}; position < model.runners_.size();
         ++position) {
        const auto runner = model.runners_[position];
        columns.push_back({position, widths[runner], heights[runner]});
    }
    const auto load = std::max(model.load_, min_load);
    const auto level = water_level(columns, load);
    auto shares = std::vector<double>(model.runners_.size());
    for (const auto& column : columns) {
        shares[column.candidate_] =
            column.width_ * std::max(level - column.height_, 0.0) / load;
    }
    return shares;
}

auto spread(std::span<const model_load> models, std::span<const double> widths,
            std::vector<double> heights) -> std::vector<std::vector<double>> {
    auto shares = std::vector<std::vector<double>>{};
    const auto add = [&](std::size_t index, double sign) {
        const auto& model = models[index];
        for (auto position = std::size_t{0}; position < model.runners_.size();
             ++position) {
            const auto runner = model.runners_[position];
            heights[runner] += sign * shares[index][position] *
                               std::max(model.load_, min_load) / widths[runner];
        }
    };
    for (auto index = std::size_t{0}; index < models.size(); ++index) {
        const auto count = models[index].runners_.size();
        shares.emplace_back(count, 1.0 / static_cast<double>(count));
        add(index, 1);
    }
    for (auto pass = 0; pass < passes; ++pass) {
        for (auto index = std::size_t{0}; index < models.size(); ++index) {
            if (models[index].runners_.size() > 1) {
                add(index, -1);
                shares[index] = share_model(models[index], widths, heights);
                add(index, 1);
            }
        }
    }
    return shares;
}

} // namespace

auto water_level(std::vector<load_column>& columns, double arrivals) -> double {
    std::sort(columns.begin(), columns.end(),
              [](const load_column& left, const load_column& right) {
                  return left.height_ < right.height_;
              });
    auto width = 0.0;
    auto filled = 0.0;
    auto level = 0.0;
    for (const auto& entry : columns) {
        if (width > 0 && entry.height_ >= level) {
            break;
        }
        width += entry.width_;
        filled += entry.width_ * entry.height_;
        level = (arrivals + filled) / width;
    }
    return level;
}

auto height_of(const server_room& room, double load) -> double {
    return room.base_ + (1.0 - room.base_) * (load / room.slots_);
}

auto width_of(const server_room& room) -> double {
    return room.slots_ / (1.0 - room.base_);
}

auto spread_loads(std::span<const model_load> models,
                  std::span<const int> slots)
    -> std::vector<std::vector<double>> {
    return spread(models, std::vector<double>{slots.begin(), slots.end()},
                  std::vector<double>(slots.size()));
}

auto spread_loads(std::span<const model_load> models,
                  std::span<const server_room> rooms)
    -> std::vector<std::vector<double>> {
    auto widths = std::vector<double>{};
    auto bases = std::vector<double>{};
    for (const auto& room : rooms) {
        widths.push_back(width_of(room));
        bases.push_back(room.base_);
    }
    return spread(models, widths, std::move(bases));
}

} // namespace basilstream::coordination
