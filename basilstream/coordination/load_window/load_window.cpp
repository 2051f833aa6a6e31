#include "basilstream/coordination/load_window/load_window.hpp"

#include <algorithm>

namespace basilstream::coordination {

auto load_window::on_load_notice(const std::string& runner,
                                 const std::string& model, time_point now)
    -> void {
    auto& record = replicas_[{runner, model}];
    if (!record.is_from_notice_ || now - record.seen_at_ > window_) {
        load_times_.push_back(now);
    }
    record = {now, true};
}

auto load_window::on_models_announced(const std::string& runner,
                                      const std::vector<std::string>& models,
                                      time_point now) -> void {
    for (const auto& model : models) {
        replicas_.try_emplace({runner, model}, replica_record{now, false});
    }
    // Removes models that the runner no longer holds, so that a later load of
    // them counts. Keeps those with a recent notice, which may still be
    // loading.
    std::erase_if(replicas_, [&](const auto& entry) {
        const auto& [key, record] = entry;
        const auto is_pending =
            record.is_from_notice_ && now - record.seen_at_ <= window_;
        return key.first == runner && !is_pending &&
               std::find(models.begin(), models.end(), key.second) ==
                   models.end();
    });
}

auto load_window::remove_runner(const std::string& runner) -> void {
    std::erase_if(replicas_, [&](const auto& entry) {
        return entry.first.first == runner;
    });
    unreported_runners_.erase(runner);
}

auto load_window::on_takeover(std::size_t capacity, time_point latest_order_at,
                              std::set<std::string> runners) -> void {
    presumed_loads_ = capacity;
    presumed_loads_at_ = latest_order_at;
    unreported_runners_ = std::move(runners);
    unexplained_loads_ = 0;
}

auto load_window::begin_without_predecessor() -> void {
    presumed_loads_ = 0;
    unreported_runners_.clear();
}

auto load_window::is_unexplained(const runner_model& key, time_point now) const
    -> bool {
    const auto record = replicas_.find(key);
    return record == replicas_.end() ||
           (!record->second.is_from_notice_ &&
            now - record->second.seen_at_ <= window_);
}

auto load_window::on_report(const std::string& runner,
                            const std::vector<std::string>& models,
                            bool loading, time_point now) -> void {
    if (unreported_runners_.erase(runner) == 0) {
        return;
    }
    for (const auto& model : models) {
        unexplained_loads_ += is_unexplained({runner, model}, now) ? 1U : 0U;
    }
    const auto is_pending =
        std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
            return entry.first.first == runner &&
                   entry.second.is_from_notice_ &&
                   now - entry.second.seen_at_ <= window_;
        });
    unexplained_loads_ += loading && !is_pending ? 1U : 0U;
    if (unreported_runners_.empty()) {
        presumed_loads_ = std::min(presumed_loads_, unexplained_loads_);
    }
}

auto load_window::expire(time_point now) -> void {
    while (!load_times_.empty() && now - load_times_.front() > window_) {
        load_times_.pop_front();
    }
    if (now - presumed_loads_at_ > window_) {
        presumed_loads_ = 0;
    }
}

auto load_window::count_loads(time_point now) -> std::size_t {
    expire(now);
    return load_times_.size() + presumed_loads_;
}

} // namespace basilstream::coordination
