#include "basilstream/coordination/load_window/load_window.hpp"

#include <algorithm>

namespace basilstream::coordination {

auto load_window::on_heard(const std::string& runner, const std::string& model,
                           time_point now) -> void {
    auto& known = seen_[{runner, model}];
    if (!known.heard_ || now - known.since_ > window_) {
        times_.push_back(now);
    }
    known = {now, true};
}

auto load_window::on_announced(const std::string& runner,
                               const std::vector<std::string>& models,
                               time_point now) -> void {
    for (const auto& model : models) {
        seen_.try_emplace({runner, model}, sighting{now, false});
    }
    // What is gone may be loaded anew. What was heard of lately may still be
    // on its way.
    std::erase_if(seen_, [&](const auto& each) {
        const auto& [held, known] = each;
        const auto coming = known.heard_ && now - known.since_ <= window_;
        return held.first == runner && !coming &&
               std::find(models.begin(), models.end(), held.second) ==
                   models.end();
    });
}

auto load_window::remove_runner(const std::string& runner) -> void {
    std::erase_if(seen_,
                  [&](const auto& each) { return each.first.first == runner; });
    awaited_.erase(runner);
}

auto load_window::take_over(std::size_t capacity, time_point earlier,
                            std::set<std::string> runners) -> void {
    unheard_ = capacity;
    unheard_at_ = earlier;
    awaited_ = std::move(runners);
    found_ = 0;
}

auto load_window::begin() -> void {
    unheard_ = 0;
    awaited_.clear();
}

auto load_window::unexplained(const held_model& held, time_point now) const
    -> bool {
    const auto known = seen_.find(held);
    return known == seen_.end() ||
           (!known->second.heard_ && now - known->second.since_ <= window_);
}

auto load_window::on_report(const std::string& runner,
                            const std::vector<std::string>& models,
                            bool loading, time_point now) -> void {
    if (awaited_.erase(runner) == 0) {
        return;
    }
    for (const auto& model : models) {
        found_ += unexplained({runner, model}, now) ? 1U : 0U;
    }
    const auto coming =
        std::any_of(seen_.begin(), seen_.end(), [&](const auto& each) {
            return each.first.first == runner && each.second.heard_ &&
                   now - each.second.since_ <= window_;
        });
    found_ += loading && !coming ? 1U : 0U;
    if (awaited_.empty()) {
        unheard_ = std::min(unheard_, found_);
    }
}

auto load_window::trim(time_point now) -> void {
    while (!times_.empty() && now - times_.front() > window_) {
        times_.pop_front();
    }
    if (now - unheard_at_ > window_) {
        unheard_ = 0;
    }
}

auto load_window::used(time_point now) -> std::size_t {
    trim(now);
    return times_.size() + unheard_;
}

} // namespace basilstream::coordination
