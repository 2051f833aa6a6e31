/// The project's router and admission behind the benchmark's interface.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilstream/coordination/admission/admission.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "bench/policy_benchmark/traffic.hpp"

namespace basilstream::bench {

/// One entry VM with the real decisions.
class project_traffic final : public traffic_policy {
public:
    project_traffic(traffic_kind kind, const deployment& made, int entry_vm,
                    std::uint64_t seed);

    auto on_runner(const runner_state& state, double now) -> void override;
    auto on_report(std::size_t runner, int running, int waiting, double now)
        -> void override;
    auto on_cache(std::size_t runner, std::uint64_t prefix, bool stored)
        -> void override;
    [[nodiscard]] auto submit(request_index index, const trace_request& request,
                              double first_token_deadline, double now)
        -> traffic_answer override;
    auto on_release(const traffic_release& release, double now)
        -> void override;
    [[nodiscard]] auto poll(double now) -> std::vector<traffic_answer> override;

private:
    [[nodiscard]] auto
    to_answer(const coordination::admission_event& event) const
        -> traffic_answer;

    const deployment& made_;
    bool affinity_;
    seeded_random random_;
    coordination::router router_;
    coordination::admission admission_;
    std::unordered_map<std::string, std::size_t> runner_index_;
    std::vector<bool> known_;
    std::vector<std::uint64_t> report_sequences_;
    std::vector<std::uint64_t> cache_sequences_;
};

} // namespace basilstream::bench
