// Long randomised run: state_soak SEED STEPS. Prints what it did and found;
// ends with 1 when an invariant was broken.
#include <cstdlib>
#include <iostream>

#include "testing/state_soak/soak.hpp"

auto main(int argc, char** argv) -> int {
    if (argc != 3) {
        std::cerr << "usage: state_soak SEED STEPS\n";
        return EXIT_FAILURE;
    }
    auto options = basilstream::testing::soak_options{};
    options.seed_ = std::strtoull(argv[1], nullptr, 10);
    options.steps_ = std::strtoull(argv[2], nullptr, 10);
    const auto report = basilstream::testing::run_soak(options);
    std::cout << "steps " << report.steps_ << "\nvirtual_seconds "
              << report.virtual_seconds_ << '\n';
    for (const auto& [name, number] : report.counts_) {
        std::cout << name << ' ' << number << '\n';
    }
    for (const auto& violation : report.violations_) {
        std::cout << "VIOLATION " << violation << '\n';
    }
    return report.violations_.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
