#include "basilstream/coordination/admission/internal/fair_queue.hpp"

#include <algorithm>
#include <tuple>

namespace basilstream::coordination::internal {

auto queue_key::operator<(const queue_key& other) const -> bool {
    return std::tuple{-priority_, latest_start_, arrival_order_} <
           std::tuple{-other.priority_, other.latest_start_,
                      other.arrival_order_};
}

auto fair_queue::organisation_for(const std::string& name)
    -> organisation_queue& {
    const auto [found, added] = organisations_.try_emplace(name);
    if (added) {
        const auto weight = weights_.find(name);
        found->second.weight_ = weight == weights_.end() ? 1 : weight->second;
    }
    return found->second;
}

auto fair_queue::insert(queued_request queued) -> void {
    const auto key = queue_key{queued};
    const auto& request = queued.request_;
    auto& owner = organisation_for(request.organisation_);
    if (owner.size_ == 0) {
        // An organisation earns no credit while it is idle.
        owner.virtual_time_ = std::max(owner.virtual_time_, virtual_time_);
    }
    ++owner.size_;
    ++queued_by_model_[request.model_];
    organisations_by_model_[request.model_].insert(request.organisation_);
    latest_starts_.emplace(queued.latest_start_, request.request_id_);
    locations_.emplace(
        request.request_id_,
        queue_location{request.organisation_, request.model_, key});
    owner.model_queues_[request.model_].emplace(key, std::move(queued));
}

// Takes the id by value, since it may be part of the removed request.
auto fair_queue::remove(std::string request_id) -> queued_request {
    const auto found = locations_.find(request_id);
    const auto location = found->second;
    locations_.erase(found);
    auto& owner = organisation_for(location.organisation_);
    auto& queue = owner.model_queues_[location.model_];
    auto queued = std::move(queue.extract(location.key_).mapped());
    latest_starts_.erase({queued.latest_start_, std::move(request_id)});
    --owner.size_;
    if (queue.empty()) {
        owner.model_queues_.erase(location.model_);
        organisations_by_model_[location.model_].erase(location.organisation_);
    }
    if (--queued_by_model_[location.model_] == 0) {
        queued_by_model_.erase(location.model_);
        organisations_by_model_.erase(location.model_);
    }
    return queued;
}

auto fair_queue::queued_count(const std::string& model) const -> std::size_t {
    const auto found = queued_by_model_.find(model);
    return found == queued_by_model_.end() ? 0 : found->second;
}

auto fair_queue::find(const std::string& organisation,
                      const std::string& model) const -> const model_queue* {
    const auto owner = organisations_.find(organisation);
    if (owner == organisations_.end()) {
        return nullptr;
    }
    const auto queue = owner->second.model_queues_.find(model);
    return queue == owner->second.model_queues_.end() ? nullptr
                                                      : &queue->second;
}

auto fair_queue::queues_for(const std::string& model) const
    -> std::vector<queue_name> {
    auto names = std::vector<queue_name>{};
    const auto found = organisations_by_model_.find(model);
    if (found == organisations_by_model_.end()) {
        return names;
    }
    for (const auto& organisation : found->second) {
        names.push_back({organisation, model});
    }
    return names;
}

auto fair_queue::models() const -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& [model, organisations] : organisations_by_model_) {
        names.push_back(model);
    }
    return names;
}

auto fair_queue::estimate_requests_ahead(const queued_request& queued,
                                         double bound) const -> double {
    const auto& request = queued.request_;
    const auto organisations = organisations_by_model_.find(request.model_);
    if (organisations == organisations_by_model_.end()) {
        return 0;
    }
    const auto weight_of = [&](const std::string& name) {
        const auto weight = weights_.find(name);
        return weight == weights_.end() ? 1.0 : weight->second;
    };
    const auto own_weight = weight_of(request.organisation_);
    auto total_weight = own_weight;
    for (const auto& name : organisations->second) {
        total_weight += name == request.organisation_ ? 0 : weight_of(name);
    }
    const auto requests_per_turn = total_weight / own_weight;
    auto ahead = requests_per_turn - 1;
    if (const auto* const queue = find(request.organisation_, request.model_)) {
        const auto key = queue_key{queued};
        for (const auto& [other, entry] : *queue) {
            if (!(other < key) || ahead >= bound) {
                break;
            }
            ahead += requests_per_turn;
        }
    }
    const auto queued_for_model =
        static_cast<double>(queued_count(request.model_));
    return std::min({ahead, queued_for_model, bound});
}

auto fair_queue::select_eviction_candidate() const -> std::string {
    const auto has_fewer_requests_per_weight = [](const auto& left,
                                                  const auto& right) {
        return static_cast<double>(left.second.size_) / left.second.weight_ <
               static_cast<double>(right.second.size_) / right.second.weight_;
    };
    const auto furthest_over_share =
        std::max_element(organisations_.begin(), organisations_.end(),
                         has_fewer_requests_per_weight);
    const auto& model_queues = furthest_over_share->second.model_queues_;
    const auto sorts_earlier = [](const auto& left, const auto& right) {
        return left.second.rbegin()->first < right.second.rbegin()->first;
    };
    const auto last = std::max_element(model_queues.begin(), model_queues.end(),
                                       sorts_earlier);
    return last->second.rbegin()->second.request_.request_id_;
}

auto fair_queue::earliest_latest_start() const
    -> std::optional<std::pair<time_point, std::string>> {
    if (latest_starts_.empty()) {
        return std::nullopt;
    }
    return *latest_starts_.begin();
}

auto fair_queue::virtual_time(const std::string& organisation) const -> double {
    const auto found = organisations_.find(organisation);
    return found == organisations_.end() ? 0 : found->second.virtual_time_;
}

auto fair_queue::charge(const std::string& name, double cost) -> void {
    auto& owner = organisation_for(name);
    virtual_time_ = std::max(virtual_time_, owner.virtual_time_);
    owner.virtual_time_ =
        std::max(owner.virtual_time_, virtual_time_) + cost / owner.weight_;
}

} // namespace basilstream::coordination::internal
