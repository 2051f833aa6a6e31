#include "bench/policy_benchmark/report.hpp"

#include <array>
#include <cmath>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace basilstream::bench {
namespace {

auto rounded(double value) -> double {
    constexpr auto scale = 10'000.0;
    return std::round(value * scale) / scale;
}

auto percentiles(double p50, double p95, double p99) -> nlohmann::json {
    return {
        {"p50", rounded(p50)}, {"p95", rounded(p95)}, {"p99", rounded(p99)}};
}

auto to_json(const experiment_result& result) -> nlohmann::json {
    const auto& run = result.experiment_;
    const auto& figures = result.figures_;
    auto organisations = nlohmann::json::object();
    for (const auto& [name, share] : figures.attainment_by_organisation_) {
        organisations[name] = rounded(share);
    }
    return {{"deployment", deployment_names.name_of(run.deployment_)},
            {"trace", trace_names.name_of(run.trace_)},
            {"policy", run.options_.name_},
            {"trace_seconds", run.seconds_},
            {"accelerators", run.accelerators_},
            {"requests", figures.requests_},
            {"refused", figures.refused_},
            {"attainment", rounded(figures.attainment())},
            {"attainment_per_accelerator",
             rounded(figures.attainment_per_accelerator())},
            {"attainment_by_organisation", organisations},
            {"moves", figures.moves_},
            {"adapter_loads", figures.adapter_loads_},
            {"reachable_share", rounded(figures.reachable_)},
            {"first_token_seconds",
             percentiles(figures.first_token_p50_, figures.first_token_p95_,
                         figures.first_token_p99_)},
            {"token_interval_seconds",
             percentiles(figures.interval_p50_, figures.interval_p95_,
                         figures.interval_p99_)}};
}

template <class... Values>
auto format(const char* pattern, Values... values) -> std::string {
    auto text = std::array<char, 512>{};
    std::snprintf(text.data(), text.size(), pattern, values...);
    return text.data();
}

constexpr auto colors =
    std::array{"#1b6ca8", "#b0b0b0", "#e08e45", "#7a9e7e", "#333333"};
constexpr auto bar_width = 9.0;
constexpr auto group_gap = 16.0;
constexpr auto panel_height = 120.0;
constexpr auto panel_gap = 60.0;
constexpr auto left_margin = 60.0;

// One panel of bars: a group for each trace, a bar for each policy.
class panel {
public:
    panel(const report& what, deployment_kind deployment, double top)
        : what_{what}, deployment_{deployment}, top_{top} {}

    auto draw(const char* title, double (*value)(const run_figures&),
              double highest) -> std::string {
        auto svg = format("<text x='%.0f' y='%.0f' font-weight='bold'>%s, "
                          "%s</text>\n",
                          left_margin, top_ - 10,
                          deployment_names.name_of(deployment_).data(), title);
        svg += format("<text x='20' y='%.0f'>%.4g</text>\n", top_ + 6, highest);
        svg += format("<text x='20' y='%.0f'>0</text>\n", top_ + panel_height);
        auto x = left_margin;
        for (const auto& [trace, name] : trace_names.rows_) {
            const auto start = x;
            for (auto index = std::size_t{0}; index < colors.size(); ++index) {
                svg += bar(trace, index, x, value, highest);
                x += bar_width;
            }
            svg += format("<text x='%.0f' y='%.0f' font-size='8'>%s</text>\n",
                          start, top_ + panel_height + 12, name.data());
            x += group_gap;
        }
        return svg;
    }

private:
    auto bar(trace_kind trace, std::size_t policy, double x,
             double (*value)(const run_figures&), double highest) const
        -> std::string {
        const auto name = compared_options()[policy].name_;
        for (const auto& result : what_.results_) {
            const auto& run = result.experiment_;
            if (run.deployment_ != deployment_ || run.trace_ != trace ||
                run.options_.name_ != name) {
                continue;
            }
            const auto share = std::min(1.0, value(result.figures_) / highest);
            const auto height = share * panel_height;
            return format("<rect x='%.1f' y='%.1f' width='%.1f' "
                          "height='%.1f' fill='%s'><title>%s %.4f</title>"
                          "</rect>\n",
                          x, top_ + panel_height - height, bar_width - 1,
                          height, colors[policy], name.c_str(),
                          value(result.figures_));
        }
        return {};
    }

    const report& what_;
    deployment_kind deployment_;
    double top_;
};

auto most_moves(const report& what) -> double {
    auto most = 1.0;
    for (const auto& result : what.results_) {
        most = std::max(most, static_cast<double>(result.figures_.moves_));
    }
    return most;
}

} // namespace

auto to_json(const report& what) -> std::string {
    auto runs = nlohmann::json::array();
    for (const auto& result : what.results_) {
        runs.push_back(to_json(result));
    }
    auto needs = nlohmann::json::array();
    for (const auto& one : what.needs_) {
        needs.push_back(
            {{"deployment", deployment_names.name_of(one.deployment_)},
             {"trace", trace_names.name_of(one.trace_)},
             {"policy", one.name_},
             {"accelerators", one.accelerators_}});
    }
    const auto document =
        nlohmann::json{{"seed", what.seed_},
                       {"runs", runs},
                       {"accelerators_needed_for_attainment_goal", needs}};
    return document.dump(1) + "\n";
}

auto to_svg(const report& what) -> std::string {
    auto svg = std::string{
        "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 640 800' "
        "font-family='sans-serif' font-size='11'>\n"
        "<rect width='640' height='800' fill='white'/>\n"};
    const auto options = compared_options();
    for (auto index = std::size_t{0}; index < colors.size(); ++index) {
        const auto x = left_margin + 110.0 * static_cast<double>(index);
        svg += format("<rect x='%.0f' y='12' width='10' height='10' "
                      "fill='%s'/><text x='%.0f' y='21'>%s</text>\n",
                      x, colors[index], x + 14, options[index].name_.c_str());
    }
    auto top = 60.0;
    for (const auto& [deployment, name] : deployment_names.rows_) {
        svg += panel{what, deployment, top}.draw(
            "attainment", [](const run_figures& f) { return f.attainment(); },
            1);
        top += panel_height + panel_gap;
        svg += panel{what, deployment, top}.draw(
            "moves",
            [](const run_figures& f) { return static_cast<double>(f.moves_); },
            most_moves(what));
        top += panel_height + panel_gap;
    }
    return svg + "</svg>\n";
}

auto to_text(const report& what) -> std::string {
    auto text = std::string{};
    for (const auto& result : what.results_) {
        const auto& run = result.experiment_;
        const auto& f = result.figures_;
        text += format(
            "%-12s %-15s %-25s attainment %.4f refused %zu moves %zu "
            "adapters %zu first %.2f/%.2f interval %.4f/%.4f reachable %.3f\n",
            deployment_names.name_of(run.deployment_).data(),
            trace_names.name_of(run.trace_).data(), run.options_.name_.c_str(),
            f.attainment(), f.refused_, f.moves_, f.adapter_loads_,
            f.first_token_p50_, f.first_token_p95_, f.interval_p50_,
            f.interval_p95_, f.reachable_);
    }
    for (const auto& one : what.needs_) {
        text += format("needed: %-12s %-15s %-25s %d accelerators\n",
                       deployment_names.name_of(one.deployment_).data(),
                       trace_names.name_of(one.trace_).data(),
                       one.name_.c_str(), one.accelerators_);
    }
    return text;
}

} // namespace basilstream::bench
