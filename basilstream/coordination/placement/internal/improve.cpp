#include <algorithm>
#include <optional>

#include "basilstream/coordination/placement/internal/draft.hpp"
#include "basilstream/coordination/placement/internal/flow.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

// Limits on the candidates evaluated for each load; they bound the time of a
// plan in large fleets.
constexpr auto max_candidate_models = std::size_t{12};
constexpr auto max_candidate_runners = std::size_t{12};

struct load_candidate {
    std::size_t model_ = npos;
    std::size_t runner_ = npos;
    eviction eviction_;
    double gain_ = 0;
    double price_ = 0;

    [[nodiscard]] auto net_gain() const -> double { return gain_ - price_; }
};

struct ranked_index {
    double key_ = 0;
    std::size_t index_ = 0;
};

auto keep_smallest(std::vector<ranked_index>& all, std::size_t count) -> void {
    std::sort(all.begin(), all.end(),
              [](const ranked_index& a, const ranked_index& b) {
                  return a.key_ != b.key_ ? a.key_ < b.key_
                                          : a.index_ < b.index_;
              });
    all.resize(std::min(all.size(), count));
}

// Returns the models whose replicas lose the most tokens per second, weighted
// by organisation, in descending order of the loss.
auto overloaded_models(const fleet_view& fleet) -> std::vector<ranked_index> {
    auto result = std::vector<ranked_index>{};
    for (auto index = std::size_t{0}; index < fleet.models_.size(); ++index) {
        auto loss = 0.0;
        for (const auto at : fleet.models_[index].replicas_) {
            const auto& replica = fleet.replicas_[at];
            const auto utilisation =
                fleet.runners_[replica.runner_].utilisation();
            loss += replica.assigned_load_ * marginal_lost_share(utilisation);
        }
        if (loss > 0) {
            result.push_back({-loss * fleet.models_[index].weight_, index});
        }
    }
    keep_smallest(result, max_candidate_models);
    return result;
}

auto least_utilised_runners(const fleet_view& fleet, std::size_t model)
    -> std::vector<ranked_index> {
    auto result = std::vector<ranked_index>{};
    for (auto index = std::size_t{0}; index < fleet.runners_.size(); ++index) {
        if (fleet.is_allowed(index, model) && !fleet.hosts(index, model)) {
            result.push_back({fleet.runners_[index].utilisation(), index});
        }
    }
    keep_smallest(result, max_candidate_runners);
    return result;
}

// Converts a rate of tokens into weighted requests over the horizon.
auto weighted_requests(const plan_builder& builder, const model_view& model,
                       double tokens_per_second) -> double {
    if (model.tokens_per_second_ <= 0) {
        return 0;
    }
    const auto horizon =
        std::chrono::duration<double>(builder.settings_.horizon_).count();
    const auto requests_per_token =
        model.requests_per_second_ / model.tokens_per_second_;
    return tokens_per_second * requests_per_token * horizon * model.weight_;
}

class load_selector {
public:
    explicit load_selector(plan_builder& builder) : builder_{builder} {}

    auto run() -> load_candidate {
        for (const auto& model : overloaded_models(builder_.fleet_)) {
            consider_model(model.index_);
        }
        return best_;
    }

private:
    auto consider_model(std::size_t model) -> void {
        auto best = load_candidate{};
        for (const auto& runner :
             least_utilised_runners(builder_.fleet_, model)) {
            const auto evaluated = evaluate(model, runner.index_);
            if (evaluated &&
                (best.runner_ == npos || evaluated->gain_ > best.gain_)) {
                best = *evaluated;
            }
        }
        if (best.runner_ == npos) {
            builder_.reject(model, npos, placement_rejection_reason::no_memory,
                            0, 0);
        } else if (best.gain_ <= best.price_) {
            builder_.reject(model, best.runner_,
                            placement_rejection_reason::gain_below_price,
                            best.gain_, best.price_);
        } else if (best_.runner_ == npos ||
                   best.net_gain() > best_.net_gain()) {
            best_ = best;
        }
    }

    auto evaluate(std::size_t model, std::size_t runner)
        -> std::optional<load_candidate> {
        const auto& view = builder_.fleet_.models_[model];
        auto found =
            builder_.find_eviction(runner, view.bytes_, eviction_tier::surplus);
        if (!found) {
            return std::nullopt;
        }
        auto result = load_candidate{};
        result.model_ = model;
        result.runner_ = runner;
        const auto change = loss_change(builder_.fleet_, model,
                                        view.tokens_per_second_, runner, npos);
        result.gain_ =
            weighted_requests(builder_, view, -change - found->loss_);
        result.price_ =
            std::max(view.move_price_, builder_.settings_.minimum_price_);
        result.eviction_ = std::move(*found);
        return result;
    }

    plan_builder& builder_;
    load_candidate best_;
};

} // namespace

auto improve(plan_builder& builder) -> void {
    while (builder.fleet_.loads_in_flight_ <
           builder.settings_.improvements_in_flight_) {
        balance_load(builder.fleet_);
        // Every iteration compares gains and prices again, which replaces the
        // rejections for a gain below the price.
        builder.rejections_.erase(
            std::remove_if(
                builder.rejections_.begin(), builder.rejections_.end(),
                [](const placement_rejection& rejection) {
                    return rejection.reason_ ==
                           placement_rejection_reason::gain_below_price;
                }),
            builder.rejections_.end());
        const auto best = load_selector{builder}.run();
        if (best.runner_ == npos) {
            return;
        }
        for (const auto index : best.eviction_.replicas_) {
            builder.unload(builder.fleet_.replicas_[index],
                           placement_reason::eviction);
        }
        builder.load(best.runner_, best.model_, placement_reason::demand,
                     best.gain_, best.price_);
    }
}

} // namespace basilstream::coordination::internal::placement
