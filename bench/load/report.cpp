#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "bench/load/load.hpp"

namespace basilstream::bench {
namespace {

using nlohmann::json;

template <class... Values>
auto line(const char* format, Values... values) -> std::string {
    auto text = std::array<char, 256>{};
    std::snprintf(text.data(), text.size(), format, values...);
    return text.data();
}

auto count_of(const std::map<std::string, std::uint64_t>& counts,
              const std::string& name) -> std::uint64_t {
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

auto summary_line(const char* name, const latency_summary& summary)
    -> std::string {
    return line("%-22s p50 %9.2f  p95 %9.2f  p99 %9.2f  (%llu values)\n", name,
                summary.p50_ms_, summary.p95_ms_, summary.p99_ms_,
                static_cast<unsigned long long>(summary.count_));
}

auto summary_json(const latency_summary& summary) -> json {
    return {{"count", summary.count_},
            {"p50", summary.p50_ms_},
            {"p95", summary.p95_ms_},
            {"p99", summary.p99_ms_}};
}

auto per_accelerator(const load_report& report) -> double {
    return report.accelerators_ == 0
               ? 0
               : report.attainment() / report.accelerators_;
}

} // namespace

auto load_report::violations() const -> std::uint64_t {
    return count_of(outcomes_, "wrong_token") +
           count_of(outcomes_, "short_answer");
}

auto load_report::attainment() const -> double {
    return requests_ == 0 ? 0
                          : static_cast<double>(attained_) /
                                static_cast<double>(requests_);
}

auto to_text(const load_report& report) -> std::string {
    using wide = unsigned long long;
    auto text = line("%-22s %llu in %.2f s\n", "requests",
                     wide{report.requests_}, report.elapsed_seconds_);
    text += line("%-22s %llu\n", "whole and right", wide{report.ok_});
    text += line("%-22s %llu (%.2f%%)\n", "attained", wide{report.attained_},
                 100 * report.attainment());
    if (report.accelerators_ > 0) {
        text += line("%-22s %.5f (%u accelerators)\n", "per accelerator",
                     per_accelerator(report), report.accelerators_);
    }
    text += line("%-22s %llu (%.0f a second)\n", "tokens", wide{report.tokens_},
                 static_cast<double>(report.tokens_) / report.elapsed_seconds_);
    text += summary_line("first token, ms", report.first_token_);
    text += summary_line("between tokens, ms", report.between_tokens_);
    text += line("%-22s %llu\n", "moves", wide{report.moves_});
    text += line("%-22s %llu, changes of address %llu\n", "sent again",
                 wide{report.retries_}, wide{report.address_changes_});
    for (const auto& [code, count] : report.outcomes_) {
        text += line("outcome %-24s %llu\n", code.c_str(), wide{count});
    }
    for (const auto& [code, count] : report.refusals_) {
        text += line("refused %-24s %llu\n", code.c_str(), wide{count});
    }
    for (const auto& [code, count] : report.failed_attempts_) {
        text += line("failed attempt %-17s %llu\n", code.c_str(), wide{count});
    }
    return text;
}

auto to_json_text(const load_report& report) -> std::string {
    return json{{"requests", report.requests_},
                {"ok", report.ok_},
                {"attained", report.attained_},
                {"attainment", report.attainment()},
                {"attainment_per_accelerator", per_accelerator(report)},
                {"violations", report.violations()},
                {"tokens", report.tokens_},
                {"tokens_per_second",
                 static_cast<double>(report.tokens_) / report.elapsed_seconds_},
                {"retries", report.retries_},
                {"address_changes", report.address_changes_},
                {"moves", report.moves_},
                {"elapsed_seconds", report.elapsed_seconds_},
                {"outcomes", report.outcomes_},
                {"refusals", report.refusals_},
                {"failed_attempts", report.failed_attempts_},
                {"first_token_ms", summary_json(report.first_token_)},
                {"between_tokens_ms", summary_json(report.between_tokens_)}}
        .dump(2);
}

} // namespace basilstream::bench
