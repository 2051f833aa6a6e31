/// The queue of admission control: weighted fairness between organisations,
/// then priority, then the latest start that still meets the deadlines. The
/// queue does not bound its size: the user of the class evicts the request that
/// select_eviction_candidate() returns.
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

/// A request with the values that determine its place in the queue.
struct queued_request {
    admission_request request_;
    std::uint64_t arrival_order_ = 0;
    time_point submitted_at_;
    /// The latest dispatch time that is predicted to meet both deadlines.
    time_point latest_start_;
    /// Expected tokens, charged to the organisation on dispatch.
    double cost_ = 1;
};

/// Sort key of a queued request: descending priority, then latest start, then
/// arrival.
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

/// The queued requests of one organisation for one model.
using model_queue = std::map<queue_key, queued_request>;

/// Identifies a model queue.
struct queue_name {
    std::string organisation_;
    std::string model_;
};

/// Queues by organisation and model. Organisations are served by start-time
/// fair queueing (Goyal, Vin and Cheng, 1996): each has a virtual time that
/// advances by cost / weight, and the one with the lowest virtual time is
/// served first.
class fair_queue {
public:
    explicit fair_queue(std::map<std::string, double> weights)
        : weights_{std::move(weights)} {}

    auto insert(queued_request queued) -> void;
    /// Removes and returns a request, which must be queued.
    auto remove(std::string request_id) -> queued_request;
    [[nodiscard]] auto contains(const std::string& request_id) const -> bool {
        return locations_.contains(request_id);
    }
    [[nodiscard]] auto size() const -> std::size_t { return locations_.size(); }
    [[nodiscard]] auto queued_count(const std::string& model) const
        -> std::size_t;

    /// Returns the queue, or nullptr if it is empty.
    [[nodiscard]] auto find(const std::string& organisation,
                            const std::string& model) const
        -> const model_queue*;
    /// Returns the names of the queues for `model` that are not empty.
    [[nodiscard]] auto queues_for(const std::string& model) const
        -> std::vector<queue_name>;
    [[nodiscard]] auto models() const -> std::vector<std::string>;

    /// Returns the estimated number of requests that are dispatched before
    /// `queued`, at most `bound`.
    [[nodiscard]] auto estimate_requests_ahead(const queued_request& queued,
                                               double bound) const -> double;
    /// Returns the id of the request to evict from a full queue: the last one
    /// of the organisation with the most requests per weight. The queue must
    /// not be empty.
    [[nodiscard]] auto select_eviction_candidate() const -> std::string;
    /// Returns the smallest `latest_start_` of all requests and the id of that
    /// request, or nothing if the queue is empty.
    [[nodiscard]] auto earliest_latest_start() const
        -> std::optional<std::pair<time_point, std::string>>;

    [[nodiscard]] auto virtual_time(const std::string& organisation) const
        -> double;
    /// Charges a dispatched request to its organisation's virtual time.
    auto charge(const std::string& organisation, double cost) -> void;

private:
    struct organisation_queue {
        double weight_ = 1;
        double virtual_time_ = 0;
        std::size_t size_ = 0;
        std::map<std::string, model_queue> model_queues_;
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
    // The virtual start time of the request dispatched last; never decreases.
    double virtual_time_ = 0;
};

} // namespace basilstream::coordination::internal
