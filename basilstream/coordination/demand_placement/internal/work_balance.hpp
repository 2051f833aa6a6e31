/// Expected work of each runner, given which runner holds which model.
///
///     auto balance = work_balance{speeds, works};
///     balance.add_copy(model, runner);
///     balance.settle();
///     balance.gain(model, other_runner, 0);
///
/// Load pattern: the router sends each request to the runner with the lowest
/// load among those that hold its model, so the work of a model flows to its
/// copies until their runners are equally loaded for their speeds. A runner's
/// level is its work per speed; 1 is the mean if works are given in units of
/// the mean work of a runner of speed 1. The cost of a placement is the sum of
/// speed * level^2 over the runners, so that work on a busy runner costs more.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <vector>

namespace basilstream::coordination::internal {

class work_balance {
public:
    /// Takes the speeds of the runners and the work of each model.
    work_balance(const std::vector<double>& speeds,
                 const std::vector<double>& works);

    auto add_copy(std::size_t model, std::size_t runner) -> void;
    auto remove_copy(std::size_t model, std::size_t runner) -> void;
    /// Distributes the work of all models; call after the first copies have
    /// been added.
    auto settle() -> void;
    /// Distributes the work of the model anew, that of the others unchanged.
    auto distribute(std::size_t model) -> void;

    [[nodiscard]] auto level_of_runner(std::size_t runner) const -> double {
        return runners_[runner].work_ / runners_[runner].speed_;
    }
    [[nodiscard]] auto work_of(std::size_t model) const -> double {
        return models_[model].work_;
    }
    /// Returns the work of the model on the runner; 0 without a copy there.
    [[nodiscard]] auto work_on(std::size_t model, std::size_t runner) const
        -> double;
    /// Returns the decrease in cost if a runner with this speed and level gets
    /// a copy of the model.
    [[nodiscard]] auto gain(std::size_t model, double speed, double level) const
        -> double;
    /// Returns the increase in cost if the copy, of which at least one other
    /// exists, is removed.
    [[nodiscard]] auto loss(std::size_t model, std::size_t runner) const
        -> double;
    /// Returns the mean level of the busiest tenth of the runners, in units of
    /// the mean level of all; 1 without work.
    [[nodiscard]] auto unevenness() const -> double;

private:
    struct copy {
        std::size_t model_ = 0;
        double work_ = 0;
    };
    struct runner_state {
        double speed_ = 1;
        double work_ = 0;
        // A few: what fits into the memory of a runner.
        std::vector<copy> copies_;
    };
    struct model_state {
        // Work to be distributed; that of a model without a copy is nowhere.
        double work_ = 0;
        std::vector<std::size_t> runners_;
        // Common level of the runners that get work, and the sum of their
        // speeds.
        double level_ = 0;
        double speed_ = 0;
    };

    // Returns what one copy more than `copies`, at least 1, is worth even if
    // all runners are equally busy.
    static auto value_of_spread(const model_state& state, std::size_t copies)
        -> double;
    auto copy_on(std::size_t model, std::size_t runner) -> copy&;

    std::vector<runner_state> runners_;
    std::vector<model_state> models_;
};

} // namespace basilstream::coordination::internal
