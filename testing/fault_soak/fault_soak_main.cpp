#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <getopt.h>

#include "testing/fault_soak/soak.hpp"

namespace basilstream::testing {
namespace {

auto make_directory() -> std::string {
    auto pattern =
        (std::filesystem::temp_directory_path() / "fault_soak_XXXXXX").string();
    return ::mkdtemp(pattern.data()) == nullptr ? std::string{} : pattern;
}

// Prints the outcome; keeps the logs of a run that broke a promise.
auto play(const soak_options& options) -> bool {
    auto soak = fault_soak{options};
    const auto outcome = soak.run();
    std::cout << "seed " << options.seed_ << ": " << outcome.faults_.size()
              << " faults, " << outcome.sent_ << " requests, "
              << outcome.served_ << " served, " << outcome.crashes_
              << " servers crashed by requests, " << outcome.violations_.size()
              << " broken promises" << std::endl;
    if (outcome.violations_.empty()) {
        std::filesystem::remove_all(options.directory_);
        return true;
    }
    for (const auto& fault : outcome.faults_) {
        std::cout << "  fault at " << fault << '\n';
    }
    for (const auto& found : outcome.violations_) {
        std::cout << "  broken: " << promise_names.name_of(found.promise_)
                  << ": " << found.detail_ << '\n';
    }
    std::cout << "  logs: " << options.directory_ << std::endl;
    return false;
}

auto print_usage(std::ostream& out) -> void {
    out << "Usage: fault_soak [--seed N] [--runs N] [--seconds N] "
           "[--daemons N] [--servers N] [--only FAULT] "
           "[--program PATH]\n"
           "Runs daemons under random faults and checks promises.\n";
}

auto run(int argc, char** argv) -> int {
    constexpr auto usage_status = 2;
    constexpr auto known =
        std::array{option{"seed", required_argument, nullptr, 's'},
                   option{"runs", required_argument, nullptr, 'r'},
                   option{"seconds", required_argument, nullptr, 't'},
                   option{"daemons", required_argument, nullptr, 'd'},
                   option{"servers", required_argument, nullptr, 'b'},
                   option{"only", required_argument, nullptr, 'o'},
                   option{"program", required_argument, nullptr, 'p'},
                   option{"help", no_argument, nullptr, 'h'},
                   option{nullptr, 0, nullptr, 0}};
    auto options = soak_options{};
    auto runs = std::uint64_t{1};
    for (auto chosen = 0; (chosen = ::getopt_long(argc, argv, "", known.data(),
                                                  nullptr)) != -1;) {
        switch (chosen) {
        case 's':
            options.seed_ = std::stoull(optarg);
            break;
        case 'r':
            runs = std::stoull(optarg);
            break;
        case 't':
            options.seconds_ = std::stoi(optarg);
            break;
        case 'd':
            options.daemons_ = std::stoi(optarg);
            break;
        case 'b':
            options.servers_ = std::stoi(optarg);
            break;
        case 'o':
            options.only_fault_ = optarg;
            break;
        case 'p':
            options.program_ = optarg;
            break;
        case 'h':
            print_usage(std::cout);
            return EXIT_SUCCESS;
        default:
            print_usage(std::cerr);
            return usage_status;
        }
    }
    auto failed = 0;
    for (auto index = std::uint64_t{0}; index < runs; ++index) {
        options.directory_ = make_directory();
        failed += play(options) ? 0 : 1;
        ++options.seed_;
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace basilstream::testing

auto main(int argc, char** argv) -> int {
    return basilstream::testing::run(argc, argv);
}
