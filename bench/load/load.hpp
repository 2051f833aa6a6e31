/// Load tool: open-loop arrivals over several organisations and models, with
/// every streamed answer checked token by token.
///
///     auto load = load_generator{options, prompts, time, random};
///     const auto report = load.run();
///     std::cout << to_text(report);
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::bench {

/// How the arrival rate changes over a run.
enum class arrival_pattern { steady, burst, meet_morning, tender_deadline };

inline constexpr auto arrival_pattern_names = name_table<arrival_pattern, 4>{
    {{{arrival_pattern::steady, "steady"},
      {arrival_pattern::burst, "burst"},
      {arrival_pattern::meet_morning, "meet-morning"},
      {arrival_pattern::tender_deadline, "tender-deadline"}}}};

/// Largest value of `rate_factor`.
inline constexpr double max_rate_factor = 10.0;

/// Returns by what the base rate is multiplied when `progress` (0 to 1) of the
/// run is over. Burst: tenfold in the middle third. Meet morning: a tenfold
/// rush at the start of each of five sessions that decays. Tender deadline:
/// exponential growth to tenfold at 85% of the run, then a tenth.
[[nodiscard]] auto rate_factor(arrival_pattern pattern, double progress)
    -> double;

/// Draws the arrival times, from 0 on, of a Poisson process with a varying
/// rate by thinning (Lewis and Shedler, 1979). `rate` is in arrivals a second.
[[nodiscard]] auto draw_arrivals(arrival_pattern pattern, double rate,
                                 duration length, std::size_t limit,
                                 random_source& random)
    -> std::vector<duration>;

/// One model or adapter that callers ask for.
struct load_target {
    std::string model_;
    std::string adapter_;
    /// Any of these versions may answer.
    std::vector<std::string> versions_ = {"v1"};
    std::string token_;
    /// Share of the arrivals, relative to the other targets.
    double weight_ = 1.0;
};

/// What to run.
struct load_options {
    arrival_pattern pattern_ = arrival_pattern::steady;
    double rate_ = 10;
    duration length_ = seconds{10};
    std::size_t max_requests_ = 100'000;
    std::size_t max_open_ = 4096;
    std::uint64_t max_tokens_ = 64;
    /// An answer counts as attained when it is whole by then.
    milliseconds deadline_{10'000};
    /// How often a request is sent again after a refusal or a broken answer.
    unsigned retries_ = 3;
    /// Entry addresses to ask for endpoints; runners in direct mode.
    std::vector<std::string> addresses_;
    /// Talk to runners themselves, as the baseline.
    bool direct_ = false;
    std::vector<load_target> targets_;
    /// Accelerators paid for; 0: not told.
    unsigned accelerators_ = 0;
    /// Runners whose books tell the loads that happened meanwhile.
    std::vector<std::string> runners_;
};

/// Percentiles in milliseconds.
struct latency_summary {
    std::uint64_t count_ = 0;
    double p50_ms_ = 0;
    double p95_ms_ = 0;
    double p99_ms_ = 0;
};

/// What a run gave. Each arrival is counted once in `outcomes_`, by its last
/// attempt: "ok", "wrong_token", "short_answer", or an error code.
struct load_report {
    std::uint64_t requests_ = 0;
    std::uint64_t ok_ = 0;
    std::uint64_t attained_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t address_changes_ = 0;
    std::uint64_t moves_ = 0;
    unsigned accelerators_ = 0;
    double elapsed_seconds_ = 0;
    std::map<std::string, std::uint64_t> outcomes_ = {};
    /// Refused attempts by code, also those that were sent again.
    std::map<std::string, std::uint64_t> refusals_ = {};
    /// Attempts without an answer ("no_connection") or with a part of one
    /// ("broken_answer"), also those that were sent again.
    std::map<std::string, std::uint64_t> failed_attempts_ = {};
    latency_summary first_token_ = {};
    latency_summary between_tokens_ = {};

    /// Answers that broke the contract: wrong text, or short without an error.
    [[nodiscard]] auto violations() const -> std::uint64_t;
    [[nodiscard]] auto attainment() const -> double;
};

[[nodiscard]] auto to_text(const load_report& report) -> std::string;
[[nodiscard]] auto to_json_text(const load_report& report) -> std::string;

/// Runs one load. Use an object for one run.
class load_generator {
public:
    load_generator(load_options options, std::vector<std::string> prompts,
                   const clock& time, random_source& random);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    auto operator=(const load_generator&) -> load_generator& = delete;

    /// Blocks until every request has ended.
    [[nodiscard]] auto run() -> load_report;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::bench
