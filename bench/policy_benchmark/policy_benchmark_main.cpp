// Runs the policy benchmark. Deterministic: equal seeds give equal figures.
//
//     policy_benchmark [--seed N] [--workers N] [--json FILE] [--svg FILE]

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <getopt.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "bench/policy_benchmark/report.hpp"

namespace {

using namespace basilstream;

constexpr auto needs_seconds = 600.0;

struct command_line {
    std::uint64_t seed_ = 1;
    int workers_ = 4;
    std::string json_;
    std::string svg_;
};

auto parse(int argc, char** argv) -> command_line {
    static const option options[] = {
        {"seed", required_argument, nullptr, 's'},
        {"workers", required_argument, nullptr, 'w'},
        {"json", required_argument, nullptr, 'j'},
        {"svg", required_argument, nullptr, 'g'},
        {nullptr, 0, nullptr, 0}};
    auto parsed = command_line{};
    for (auto found = 0;
         (found = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (found) {
        case 's':
            parsed.seed_ = std::strtoull(optarg, nullptr, 10);
            break;
        case 'w':
            parsed.workers_ = std::atoi(optarg);
            break;
        case 'j':
            parsed.json_ = optarg;
            break;
        case 'g':
            parsed.svg_ = optarg;
            break;
        default:
            std::exit(EXIT_FAILURE);
        }
    }
    return parsed;
}

auto write(const std::string& path, const std::string& text) -> void {
    if (!path.empty()) {
        std::ofstream{path} << text;
    }
}

} // namespace

auto main(int argc, char** argv) -> int {
    const auto wanted = parse(argc, argv);
    auto result = bench::report{};
    result.seed_ = wanted.seed_;
    result.results_ = bench::run_all(bench::plan_comparison(wanted.seed_, {}),
                                     wanted.workers_);
    result.needs_ =
        bench::find_needs(wanted.seed_, needs_seconds, wanted.workers_);
    std::fputs(bench::to_text(result).c_str(), stdout);
    write(wanted.json_, bench::to_json(result));
    write(wanted.svg_, bench::to_svg(result));
    return invariant_violations() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
