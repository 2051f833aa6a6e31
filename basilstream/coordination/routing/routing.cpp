#include "basilstream/coordination/routing/routing.hpp"

#include <algorithm>

#include <xxhash.h>

#include "basilstream/coordination/routing/internal/replica_index.hpp"

namespace basilstream::coordination {
namespace {

using internal::replica;
using internal::runner_entry;

constexpr auto hashed_prefix_bytes = std::size_t{256};

} // namespace

router::router(router_settings settings, random_source& random,
               router_guards guards)
    : settings_{std::move(settings)}, random_{random}, guards_{guards} {}

router::~router() = default;

auto router::find(std::string_view runner) const -> runner_entry* {
    const auto found = runners_.find(std::string{runner});
    return found == runners_.end() ? nullptr : found->second.get();
}

auto router::update_runner(const runner_info& info) -> void {
    auto& entry = runners_[info.name_];
    auto old_replicas = replicas{};
    if (!entry) {
        entry = std::make_unique<runner_entry>();
        entry->next_ejection_ = settings_.first_ejection_;
        if (const auto weight = weights_.find(info.name_);
            weight != weights_.end()) {
            entry->weight_ = weight->second;
        }
    } else {
        for (const auto& resident : entry->info_.residents_) {
            auto& replicas_of_model = models_[resident.model_];
            const auto previous =
                std::find_if(replicas_of_model.begin(), replicas_of_model.end(),
                             [&](const replica& model_replica) {
                                 return model_replica.runner_ == entry.get();
                             });
            if (previous != replicas_of_model.end()) {
                old_replicas.push_back(std::move(*previous));
            }
        }
        remove_from_index(*entry);
    }
    if (entry->info_.boot_id_ != info.boot_id_) {
        // A restarted process has an empty cache and restarts its sequences.
        old_replicas.clear();
        entry->external_load_.reset();
        entry->cache_sequence_ = 0;
        entry->rate_limited_until_ = {};
        entry->paused_until_ = {};
    }
    entry->info_ = info;
    entry->info_.slots_ = std::max(info.slots_, 1);
    refresh_leaving(*entry);
    add_to_index(*entry, old_replicas);
}

// Applies the leaving state of a new description. A mark that was set before
// the boot id was known takes the first one that is reported; a mark with
// another boot id belongs to an earlier process and is removed.
auto router::refresh_leaving(runner_entry& entry) -> void {
    const auto& info = entry.info_;
    const auto marked = leaving_boot_ids_.find(info.name_);
    if (marked != leaving_boot_ids_.end()) {
        if (marked->second.empty()) {
            marked->second = info.boot_id_;
        }
        if (!info.boot_id_.empty() && marked->second != info.boot_id_) {
            leaving_boot_ids_.erase(marked);
        }
    }
    if (info.leaving_) {
        leaving_boot_ids_[info.name_] = info.boot_id_;
    }
    entry.leaving_ = leaving_boot_ids_.contains(info.name_);
}

auto router::remove_runner(std::string_view runner) -> void {
    leaving_boot_ids_.erase(std::string{runner});
    if (auto* const entry = find(runner)) {
        remove_from_index(*entry);
        runners_.erase(std::string{runner});
    }
}

auto router::mark_leaving(std::string_view runner) -> void {
    auto* const entry = find(runner);
    leaving_boot_ids_[std::string{runner}] =
        entry == nullptr ? std::string{} : entry->info_.boot_id_;
    if (entry != nullptr) {
        entry->leaving_ = true;
    }
}

auto router::remove_from_index(runner_entry& entry) -> void {
    for (const auto& resident : entry.info_.residents_) {
        const auto found = models_.find(resident.model_);
        if (found == models_.end()) {
            continue;
        }
        std::erase_if(found->second, [&](const replica& model_replica) {
            return model_replica.runner_ == &entry;
        });
        if (found->second.empty()) {
            models_.erase(found);
        }
    }
}

auto router::add_to_index(runner_entry& entry, replicas& old_replicas) -> void {
    for (const auto& resident : entry.info_.residents_) {
        auto added = replica{&entry, resident, {}};
        for (auto& old_replica : old_replicas) {
            if (old_replica.resident_.model_ == resident.model_) {
                added.prefixes_ = std::move(old_replica.prefixes_);
                added.share_ = old_replica.share_;
            }
        }
        models_[resident.model_].push_back(std::move(added));
    }
}

auto router::on_load_report(const load_report& report, time_point now) -> void {
    auto* const entry = find(report.runner_);
    if (entry == nullptr ||
        (entry->external_load_ &&
         report.sequence_ <= entry->external_load_->sequence_)) {
        return;
    }
    const auto external = report.running_ + report.waiting_ - entry->in_flight_;
    entry->external_load_ = {report.sequence_, std::max(external, 0), now};
}

auto router::set_model_loads(std::map<std::string, double> loads,
                             time_point now) -> void {
    model_loads_ = std::move(loads);
    model_loads_received_ = now;
    next_share_refresh_ = now;
}

auto router::set_weights(std::map<std::string, server_weight> weights) -> void {
    if (weights == weights_) {
        return;
    }
    weights_ = std::move(weights);
    for (auto& [name, entry] : runners_) {
        const auto found = weights_.find(name);
        entry->weight_ =
            found == weights_.end() ? server_weight{} : found->second;
    }
}

auto router::shares_of(std::vector<model_load> loads,
                       const std::vector<const runner_entry*>& runners) const
    -> std::vector<std::vector<double>> {
    if (weights_.empty()) {
        auto slots = std::vector<int>{};
        for (const auto* const runner : runners) {
            slots.push_back(runner->info_.slots_);
        }
        return spread_loads(loads, slots);
    }
    // Bases are relative to the slots, so that loads are converted to requests
    // on a runner of typical speed. A request stays on a fast runner for a
    // shorter time, so that its slots take more of the load.
    auto rooms = std::vector<server_room>{};
    auto requests = 0.0;
    for (const auto* const runner : runners) {
        auto room = runner->room();
        room.slots_ *= runner->weight_.speed_;
        rooms.push_back(room);
        requests += runner->last_known_load() * runner->weight_.speed_;
    }
    auto total = 0.0;
    for (const auto& load : loads) {
        total += load.load_;
    }
    for (auto& load : loads) {
        load.load_ *= total > 0 ? requests / total : 0.0;
    }
    return spread_loads(loads, rooms);
}

auto router::refresh_shares(time_point now) -> void {
    const auto known =
        model_loads_received_ &&
        now - *model_loads_received_ < settings_.model_loads_lifetime_;
    next_share_refresh_ =
        known ? now + settings_.share_interval_ : time_point::max();
    auto runners = std::vector<const runner_entry*>{};
    auto index_of = std::unordered_map<const runner_entry*, std::size_t>{};
    auto loads = std::vector<model_load>{};
    auto spread_replicas = std::vector<std::vector<replica*>>{};
    for (auto& [model, model_replicas] : models_) {
        const auto found = model_loads_.find(model);
        auto load =
            model_load{found == model_loads_.end() ? 0.0 : found->second, {}};
        auto& usable = spread_replicas.emplace_back();
        for (auto& entry : model_replicas) {
            entry.share_ = 0;
            if (!known || !entry.resident_.ready_ || entry.runner_->leaving_ ||
                now < entry.runner_->ejected_until_) {
                continue;
            }
            const auto [position, added] =
                index_of.try_emplace(entry.runner_, runners.size());
            if (added) {
                runners.push_back(entry.runner_);
            }
            load.runners_.push_back(position->second);
            usable.push_back(&entry);
        }
        loads.push_back(std::move(load));
    }
    const auto shares = shares_of(std::move(loads), runners);
    for (auto index = std::size_t{0}; index < shares.size(); ++index) {
        for (auto position = std::size_t{0}; position < shares[index].size();
             ++position) {
            spread_replicas[index][position]->share_ = shares[index][position];
        }
    }
}

auto router::on_cache_event(const cache_event& event) -> void {
    auto* const entry = find(event.runner_);
    if (entry == nullptr || event.sequence_ <= entry->cache_sequence_) {
        return;
    }
    const auto gap = event.sequence_ != entry->cache_sequence_ + 1;
    entry->cache_sequence_ = event.sequence_;
    for (const auto& resident : entry->info_.residents_) {
        for (auto& model_replica : models_[resident.model_]) {
            if (model_replica.runner_ != entry) {
                continue;
            }
            if (gap) {
                model_replica.prefixes_.clear();
            }
            if (resident.model_ != event.model_) {
                continue;
            }
            if (event.stored_) {
                model_replica.prefixes_.insert(event.prefix_hash_,
                                               settings_.prefixes_per_replica_);
            } else {
                model_replica.prefixes_.erase(event.prefix_hash_);
            }
        }
    }
}

auto router::set_concurrency_limit(std::string_view runner, int limit) -> void {
    if (auto* const entry = find(runner)) {
        entry->limit_ = limit;
    }
}

auto router::set_rate_limited_until(std::string_view runner, time_point time)
    -> void {
    if (auto* const entry = find(runner)) {
        entry->rate_limited_until_ = time;
    }
}

auto router::set_paused_until(std::string_view runner, time_point time)
    -> void {
    if (auto* const entry = find(runner)) {
        entry->paused_until_ = time;
    }
}

auto router::has_replica(std::string_view model,
                         std::string_view software_version) const -> bool {
    const auto found = models_.find(std::string{model});
    return found != models_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const replica& model_replica) {
                           const auto& runner = *model_replica.runner_;
                           return !runner.leaving_ &&
                                  runner.info_.software_version_ ==
                                      software_version;
                       });
}

auto router::accepts_work(std::string_view runner, time_point now) const
    -> bool {
    const auto* const entry = find(runner);
    return entry != nullptr && !entry->leaving_ && now >= entry->paused_until_;
}

auto router::start_attempt(std::string_view runner) -> void {
    if (auto* const entry = find(runner)) {
        ++entry->in_flight_;
    }
}

auto router::finish_attempt(std::string_view runner) -> void {
    auto* const entry = find(runner);
    // The count is zero if the runner was removed and added again meanwhile.
    if (entry != nullptr && entry->in_flight_ > 0) {
        --entry->in_flight_;
    }
}

auto router::on_success(std::string_view runner) -> void {
    if (auto* const entry = find(runner)) {
        entry->failures_ = 0;
        entry->next_ejection_ = settings_.first_ejection_;
    }
}

auto router::on_failure(std::string_view runner, time_point now) -> void {
    auto* const entry = find(runner);
    if (entry == nullptr ||
        ++entry->failures_ < settings_.failures_before_ejection_) {
        return;
    }
    // A single failure after the ejection ejects the runner again, for longer.
    entry->failures_ = settings_.failures_before_ejection_ - 1;
    entry->ejected_until_ = now + entry->next_ejection_;
    entry->next_ejection_ =
        std::min(2 * entry->next_ejection_, settings_.longest_ejection_);
}

auto router::models_on(std::string_view runner) const
    -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    if (const auto* const entry = find(runner)) {
        for (const auto& resident : entry->info_.residents_) {
            names.push_back(resident.model_);
        }
    }
    return names;
}

auto router::in_flight(std::string_view runner) const -> int {
    const auto* const entry = find(runner);
    return entry == nullptr ? 0 : entry->in_flight_;
}

auto router::reported_load_per_slot(std::string_view runner) const -> double {
    const auto* const entry = find(runner);
    return entry == nullptr ? 0.0
                            : static_cast<double>(entry->last_known_load()) /
                                  entry->info_.slots_;
}

auto router::in_flight_on_replicas(std::string_view model) const -> int {
    const auto found = models_.find(std::string{model});
    if (found == models_.end()) {
        return 0;
    }
    auto sum = 0;
    for (const auto& model_replica : found->second) {
        sum += model_replica.runner_->in_flight_;
    }
    return sum;
}

auto router::usable_replicas(std::string_view model) const -> int {
    const auto found = models_.find(std::string{model});
    if (found == models_.end()) {
        return 0;
    }
    return static_cast<int>(
        std::count_if(found->second.begin(), found->second.end(),
                      [](const replica& model_replica) {
                          return model_replica.resident_.ready_ &&
                                 !model_replica.runner_->leaving_;
                      }));
}

auto router::has_capacity(std::string_view model) const -> bool {
    const auto found = models_.find(std::string{model});
    if (found == models_.end()) {
        return true;
    }
    auto any_usable = false;
    for (const auto& model_replica : found->second) {
        const auto& runner = *model_replica.runner_;
        if (!model_replica.resident_.ready_ || runner.leaving_) {
            continue;
        }
        if (!guards_.at_limit_(runner.in_flight_, runner.limit_)) {
            return true;
        }
        any_usable = true;
    }
    return !any_usable;
}

auto router::size() const -> std::size_t {
    return runners_.size();
}

auto prefix_hash(std::string_view prompt) -> std::uint64_t {
    if (prompt.empty()) {
        return 0;
    }
    const auto length = std::min(prompt.size(), hashed_prefix_bytes);
    const auto hash = XXH3_64bits(prompt.data(), length);
    return hash == 0 ? 1 : hash;
}

} // namespace basilstream::coordination
