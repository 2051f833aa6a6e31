// Long randomised run: state_soak SEED STEPS [figures|faults [DAEMONS SHARDS]].
// Prints what it did and found; ends with 1 when an invariant was broken. With
// `figures`, only daemons and runners fail and the log is slow, and the
// durations mean something.
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "testing/state_soak/soak.hpp"

namespace {

using basilstream::testing::soak_options;
using basilstream::testing::soak_report;

auto parse(int argc, char** argv) -> soak_options {
    auto options = soak_options{};
    options.seed_ = std::strtoull(argv[1], nullptr, 10);
    options.steps_ = std::strtoull(argv[2], nullptr, 10);
    if (argc > 3 && std::string_view{argv[3]} == "figures") {
        options.faults_.messages_ = false;
        options.faults_.log_outages_ = false;
        options.faults_.misbehaviour_ = false;
        options.log_delay_ = std::chrono::milliseconds{500};
    }
    if (argc > 5) {
        options.daemons_ = std::strtoull(argv[4], nullptr, 10);
        options.shards_ = std::strtoull(argv[5], nullptr, 10);
    }
    return options;
}

auto print(const soak_report& report) -> void {
    std::cout << "steps " << report.steps_ << "\nvirtual_seconds "
              << report.virtual_seconds_ << '\n';
    for (const auto& [name, number] : report.counts_) {
        std::cout << name << ' ' << number << '\n';
    }
    for (const auto& [name, values] : report.durations_) {
        const auto at = [&values = values](double share) {
            return values[static_cast<std::size_t>(
                share * static_cast<double>(values.size() - 1))];
        };
        std::cout << name << "_seconds count " << values.size() << " p50 "
                  << at(0.5) << " p99 " << at(0.99) << " max " << at(1.0)
                  << '\n';
    }
    for (const auto& violation : report.violations_) {
        std::cout << "VIOLATION " << violation << '\n';
    }
}

} // namespace

auto main(int argc, char** argv) -> int {
    if (argc < 3) {
        std::cerr << "usage: state_soak SEED STEPS [figures|faults [DAEMONS "
                     "SHARDS]]\n";
        return EXIT_FAILURE;
    }
    const auto report = basilstream::testing::run_soak(parse(argc, argv));
    print(report);
    return report.violations_.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
