#include <algorithm>
#include <optional>

#include "basilstream/coordination/placement/internal/draft.hpp"
#include "basilstream/coordination/placement/internal/flow.hpp"

namespace basilstream::coordination::internal::placement {
namespace {

// Candidates that one load is chosen from; the rest of the fleet isn't looked
// at in detail.
constexpr auto models_considered = std::size_t{12};
constexpr auto runners_considered = std::size_t{12};

struct candidate {
    std::size_t model_ = none;
    std::size_t runner_ = none;
    eviction eviction_;
    double gain_ = 0;
    double cost_ = 0;

    [[nodiscard]] auto surplus() const -> double { return gain_ - cost_; }
};

struct ranked {
    double key_ = 0;
    std::size_t index_ = 0;
};

auto keep_first(std::vector<ranked>& all, std::size_t count) -> void {
    std::sort(all.begin(), all.end(), [](const ranked& a, const ranked& b) {
        return a.key_ != b.key_ ? a.key_ < b.key_ : a.index_ < b.index_;
    });
    all.resize(std::min(all.size(), count));
}

// Models whose replicas lose most tokens, the greatest loss first.
auto crowded_models(const fleet& picture) -> std::vector<ranked> {
    auto result = std::vector<ranked>{};
    for (auto index = std::size_t{0}; index < picture.models_.size(); ++index) {
        auto loss = 0.0;
        for (const auto at : picture.models_[index].replicas_) {
            const auto& one = picture.replicas_[at];
            const auto load = picture.runners_[one.runner_].utilisation();
            loss += one.flow_ * marginal_loss(load);
        }
        if (loss > 0) {
            result.push_back({-loss * picture.models_[index].weight_, index});
        }
    }
    keep_first(result, models_considered);
    return result;
}

auto idle_runners(const fleet& picture, std::size_t model)
    -> std::vector<ranked> {
    auto result = std::vector<ranked>{};
    for (auto index = std::size_t{0}; index < picture.runners_.size();
         ++index) {
        if (picture.allowed(index, model) && !picture.hosts(index, model)) {
            result.push_back({picture.runners_[index].utilisation(), index});
        }
    }
    keep_first(result, runners_considered);
    return result;
}

// Converts tokens per second into requests over the horizon.
auto to_requests(const draft& plan, const model_view& model, double tokens)
    -> double {
    if (model.tokens_per_second_ <= 0) {
        return 0;
    }
    const auto horizon =
        std::chrono::duration<double>(plan.settings_.horizon_).count();
    const auto requests_per_token =
        model.requests_per_second_ / model.tokens_per_second_;
    return tokens * requests_per_token * horizon * model.weight_;
}

class chooser {
public:
    explicit chooser(draft& plan) : plan_{plan} {}

    auto run() -> candidate {
        for (const auto& model : crowded_models(plan_.fleet_)) {
            consider_model(model.index_);
        }
        return best_;
    }

private:
    auto consider_model(std::size_t model) -> void {
        auto best = candidate{};
        for (const auto& runner : idle_runners(plan_.fleet_, model)) {
            const auto one = weigh(model, runner.index_);
            if (one && (best.runner_ == none || one->gain_ > best.gain_)) {
                best = *one;
            }
        }
        if (best.runner_ == none) {
            plan_.reject(model, none, placement_rejection_reason::no_memory, 0,
                         0);
        } else if (best.gain_ <= best.cost_) {
            plan_.reject(model, best.runner_,
                         placement_rejection_reason::gain_below_price,
                         best.gain_, best.cost_);
        } else if (best_.runner_ == none || best.surplus() > best_.surplus()) {
            best_ = best;
        }
    }

    auto weigh(std::size_t model, std::size_t runner)
        -> std::optional<candidate> {
        const auto& view = plan_.fleet_.models_[model];
        auto found =
            plan_.find_eviction(runner, view.bytes_, eviction_tier::surplus);
        if (!found) {
            return std::nullopt;
        }
        auto result = candidate{};
        result.model_ = model;
        result.runner_ = runner;
        const auto change = loss_change(plan_.fleet_, model,
                                        view.tokens_per_second_, runner, none);
        result.gain_ = to_requests(plan_, view, -change - found->loss_);
        result.cost_ =
            std::max(view.move_price_, plan_.settings_.minimum_gain_);
        result.eviction_ = std::move(*found);
        return result;
    }

    draft& plan_;
    candidate best_;
};

} // namespace

auto improve(draft& plan) -> void {
    while (plan.fleet_.loading_ < plan.settings_.improvements_in_flight_) {
        balance(plan.fleet_);
        plan.rejections_.erase(
            std::remove_if(
                plan.rejections_.begin(), plan.rejections_.end(),
                [](const placement_rejection& one) {
                    return one.reason_ ==
                           placement_rejection_reason::gain_below_price;
                }),
            plan.rejections_.end());
        const auto best = chooser{plan}.run();
        if (best.runner_ == none) {
            return;
        }
        for (const auto index : best.eviction_.replicas_) {
            plan.unload(plan.fleet_.replicas_[index],
                        placement_reason::eviction);
        }
        plan.load(best.runner_, best.model_, placement_reason::demand,
                  best.gain_, best.cost_);
    }
}

} // namespace basilstream::coordination::internal::placement
