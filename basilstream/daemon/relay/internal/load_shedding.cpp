#include "basilstream/daemon/relay/internal/load_shedding.hpp"

#include <utility>

namespace basilstream::daemon::internal {

load_shedding::load_shedding(transport::metrics_registry& metrics)
    : held_back_{metrics.add_counter("basilstream_relay_held_back_total",
                                     "Requests that waited for capacity.")},
      refused_{metrics.add_counter(
          "basilstream_relay_capacity_refused_total",
          "Requests refused as no capacity was expected in time.")},
      rejected_{metrics.add_counter(
          "basilstream_relay_capacity_rejections_total",
          "Attempts rejected by servers for lack of capacity.")},
      moved_{metrics.add_counter(
          "basilstream_relay_moved_total",
          "Requests moved from the queue of a server to another one.")},
      errors_{metrics.add_histogram(
          "basilstream_relay_first_event_error_seconds",
          "Difference of the predicted and the measured time to the first "
          "event of a stream.")} {
    metrics.add_gauge("basilstream_relay_held_back_requests",
                      "Requests that wait for capacity.",
                      [this] { return static_cast<double>(requests_.size()); });
}

auto load_shedding::expected_wait(const std::string& service, int rank,
                                  time_point now) -> std::optional<duration> {
    return estimates_.expected_wait(
        service, services_[service].waiting_.count_ahead(rank), now);
}

auto load_shedding::backlog(const std::string& service, time_point now)
    -> std::optional<duration> {
    return estimates_.expected_wait(
        service, services_[service].waiting_.size() + 1, now);
}

auto load_shedding::join(const std::string& service,
                         const std::shared_ptr<held_request>& waiting,
                         coordination::waiting_request request) -> void {
    held_back_.add();
    requests_[request.id_] = waiting;
    for (const auto id : services_[service].waiting_.add(request)) {
        expire(id);
    }
}

auto load_shedding::leave(const std::string& service, std::uint64_t id)
    -> void {
    if (requests_.erase(id) > 0) {
        services_[service].waiting_.remove(id);
    }
}

auto load_shedding::find(std::uint64_t id) const
    -> std::shared_ptr<held_request> {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.lock();
}

auto load_shedding::expire(std::uint64_t id) -> void {
    const auto waiting = find(id);
    requests_.erase(id);
    if (waiting) {
        waiting->on_wait_expired();
    }
}

auto load_shedding::serve_waiting(time_point now) -> void {
    for (auto& [service, state] : services_) {
        for (const auto id : state.waiting_.take_expired(now)) {
            expire(id);
        }
        for (const auto& group : state.waiting_.groups()) {
            serve_group(state, group, now);
        }
    }
}

auto load_shedding::serve_group(service_state& state, const std::string& group,
                                time_point now) -> void {
    while (const auto id = state.waiting_.first(group, now)) {
        const auto waiting = find(*id);
        if (waiting && !waiting->on_room_expected()) {
            // Those behind it are less urgent.
            return;
        }
        requests_.erase(*id);
        state.waiting_.remove(*id);
    }
}

} // namespace basilstream::daemon::internal
