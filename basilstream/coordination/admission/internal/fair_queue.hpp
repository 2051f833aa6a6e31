/// The bounded queue behind an admission: weighted fairness between
/// organisations, then priority, then the latest start that still meets the
/// deadlines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilstream/coordination/admission/admission.hpp"

namespace basilstream::coordination::internal {

/// A request on its way through the admission.
struct queued_request {
    admission_request request_;
    std::uint64_t arrival_order_ = 0;
    time_point submitted_at_;
    time_point latest_start_;
    /// What it counts for in the fairness between organisations.
    double cost_ = 1;
};

/// Sorts by priority, then by latest start, then by arrival.
struct queue_key {
    int priority_ = 0;
    time_point latest_start_;
    std::uint64_t arrival_order_ = 0;

    explicit queue_key(const queued_request& queued)
        : priority_{queued.request_.priority_},
          latest_start_{queued.latest_start_}, arrival_order_{
                                                   queued.arrival_order_} {}
    [[nodiscard]] auto operator<(const queue_key& other) const -> bool;
};

/// The requests of one organisation for one model.
using model_queue = std::map<queue_key, queued_request>;

/// Names one model queue.
struct queue_name {
    std::string organisation_;
    std::string model_;
};

/// Queues by organisation and model. Organisations are served by start-time
/// fair queueing (Goyal, Vin and Cheng, 1996): each has a virtual time that
/// advances by cost / weight, and the least goes first.
class fair_queue {
public:
    explicit fair_queue(std::map<std::string, double> weights)
        : weights_{std::move(weights)} {}

    auto insert(queued_request queued) -> void;
    /// Removes and returns a request that is queued.
    auto remove(std::string request_id) -> queued_request;
    [[nodiscard]] auto contains(const std::string& request_id) const -> bool {
        return locations_.contains(request_id);
    }
    [[nodiscard]] auto size() const -> std::size_t { return locations_.size(); }
    [[nodiscard]] auto queued_count(const std::string& model) const
        -> std::size_t;

    /// Returns the queue, or nothing if it is empty.
    [[nodiscard]] auto find(const std::string& organisation,
                            const std::string& model) const
        -> const model_queue*;
    /// Returns the names of the queues for `model` that are not empty.
    [[nodiscard]] auto queues_for(const std::string& model) const
        -> std::vector<queue_name>;
    [[nodiscard]] auto models() const -> std::vector<std::string>;

    /// Returns how many requests are likely to go before `queued`, or `bound`
    /// if that is less.
    [[nodiscard]] auto estimate_requests_ahead(const queued_request& queued,
                                               double bound) const -> double;
    /// Returns the request to give up when the queue is too long: the last of
    /// the organisation that is furthest over its share. Must not be empty.
    [[nodiscard]] auto select_eviction_candidate() const -> std::string;
    /// Returns the request with the earliest latest start.
    [[nodiscard]] auto earliest_latest_start() const
        -> std::optional<std::pair<time_point, std::string>>;

    [[nodiscard]] auto virtual_time(const std::string& organisation) const
        -> double;
    /// Charges a dispatched request to its organisation.
    auto charge(const std::string& organisation, double cost) -> void;

private:
    struct organisation_queue {
        double weight_ = 1;
        double virtual_time_ = 0;
        std::size_t size_ = 0;
        std::map<std::string, model_queue> models_;
    };
    struct queue_location {
        std::string organisation_;
        std::string model_;
        queue_key key_;
    };

    auto organisation_for(const std::string& name) -> organisation_queue&;

    std::map<std::string, double> weights_;
    std::map<std::string, organisation_queue> organisations_;
    std::unordered_map<std::string, queue_location> locations_;
    std::map<std::string, std::set<std::string>> organisations_by_model_;
    std::unordered_map<std::string, std::size_t> queued_by_model_;
    std::set<std::pair<time_point, std::string>> latest_starts_;
    // The virtual time of the request dispatched last.
    double virtual_time_ = 0;
};

} // namespace basilstream::coordination::internal
