/// Least-loaded routing without affinity or admission, as a baseline.
#pragma once

#include <vector>

#include "bench/policy_benchmark/traffic.hpp"

namespace basilstream::bench {

/// Sends each request to the replica with the fewest requests that this entry
/// VM knows of: its own in flight plus those in the last report.
class least_loaded final : public traffic_policy {
public:
    /// Refuses when all replicas have `limit` requests.
    least_loaded(const deployment& made, std::uint64_t seed, int limit);

    auto on_runner(const runner_state& state, double now) -> void override;
    auto on_report(std::size_t runner, int running, int waiting, double now)
        -> void override;
    auto on_cache(std::size_t, std::uint64_t, bool) -> void override {}
    [[nodiscard]] auto submit(request_index index, const trace_request& request,
                              double first_token_deadline, double now)
        -> traffic_answer override;
    auto on_release(const traffic_release& release, double now)
        -> void override;
    [[nodiscard]] auto poll(double) -> std::vector<traffic_answer> override {
        return {};
    }

private:
    struct load {
        int reported_ = 0;
        int since_report_ = 0;
    };

    int limit_;
    seeded_random random_;
    std::vector<load> loads_;
    // Runners with the model ready, by model.
    std::vector<std::vector<std::size_t>> replicas_;
};

} // namespace basilstream::bench
