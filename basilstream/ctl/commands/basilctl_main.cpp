// basilctl: the operators' command line.

#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include <getopt.h>

#include "basilstream/ctl/commands/commands.hpp"

namespace {

using namespace basilstream;

constexpr auto usage_head = "usage: basilctl [OPTIONS] COMMAND [ARGUMENTS]\n\n"
                            "commands:\n";

constexpr auto usage_tail =
    "\noptions:\n"
    "  --log URL            log service (or BASILSTREAM_LOG)\n"
    "  --admin A:P[,A:P]    daemons' admin addresses (or BASILSTREAM_ADMIN)\n"
    "  --timeout SECONDS    how long to wait for answers, 1 to 3600 (12)\n"
    "  -f, --file FILE      resource file; - is standard input\n"
    "  -o, --output FORMAT  table or json\n"
    "  --organisation NAME  of export\n"
    "  --watch              of status: repeat until interrupted\n"
    "  --help, --version\n"
    "\nexit status: 0 done, 1 refused, 2 bad command line or file,\n"
    "3 log or daemons out of reach, 4 accepted but not in force in time\n";

auto environment_value(const char* name) -> std::string {
    const auto* value = std::getenv(name);
    return value != nullptr ? value : "";
}

auto split(const std::string& text) -> std::vector<std::string> {
    auto parts = std::vector<std::string>{};
    auto stream = std::istringstream{text};
    for (auto part = std::string{}; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

struct parsed_line {
    ctl::command_line line_;
    ctl::session_options options_;
    // Set when there is nothing to run.
    std::optional<ctl::exit_status> exit_;
};

auto show_usage(std::ostream& out) -> void {
    out << usage_head << ctl::command_help() << usage_tail;
}

auto take_option(int letter, parsed_line& parsed) -> bool {
    constexpr auto longest_wait = 3600;
    switch (letter) {
    case 'l':
        parsed.options_.log_url_ = optarg;
        return true;
    case 'a':
        parsed.options_.admins_ = split(optarg);
        return true;
    case 't': {
        const auto wait = std::atoi(optarg);
        parsed.options_.timeout_ = seconds{wait};
        return wait >= 1 && wait <= longest_wait;
    }
    case 'f':
        parsed.line_.file_ = optarg;
        return true;
    case 'o': {
        const auto format = ctl::output_format_names.parse(optarg);
        parsed.line_.format_ = format.value_or(ctl::output_format::table);
        return format.has_value();
    }
    case 'g':
        parsed.line_.organisation_ = optarg;
        return true;
    case 'w':
        parsed.line_.watch_ = true;
        return true;
    case 'h':
        show_usage(std::cout);
        parsed.exit_ = ctl::exit_status::ok;
        return true;
    case 'v':
        std::cout << "basilctl " << BASILSTREAM_VERSION << "\n";
        parsed.exit_ = ctl::exit_status::ok;
        return true;
    default:
        return false;
    }
}

auto parse(int count, char** words) -> parsed_line {
    static const auto options =
        std::array{option{"log", required_argument, nullptr, 'l'},
                   option{"admin", required_argument, nullptr, 'a'},
                   option{"timeout", required_argument, nullptr, 't'},
                   option{"file", required_argument, nullptr, 'f'},
                   option{"output", required_argument, nullptr, 'o'},
                   option{"organisation", required_argument, nullptr, 'g'},
                   option{"watch", no_argument, nullptr, 'w'},
                   option{"help", no_argument, nullptr, 'h'},
                   option{"version", no_argument, nullptr, 'v'},
                   option{nullptr, 0, nullptr, 0}};
    auto parsed = parsed_line{};
    parsed.options_.log_url_ = environment_value("BASILSTREAM_LOG");
    parsed.options_.admins_ = split(environment_value("BASILSTREAM_ADMIN"));
    auto letter = 0;
    while ((letter = getopt_long(count, words, "f:o:", options.data(),
                                 nullptr)) != -1) {
        if (!take_option(letter, parsed)) {
            parsed.exit_ = ctl::exit_status::usage;
            show_usage(std::cerr);
            return parsed;
        }
        if (parsed.exit_) {
            return parsed;
        }
    }
    if (optind >= count) {
        parsed.exit_ = ctl::exit_status::usage;
        show_usage(std::cerr);
        return parsed;
    }
    parsed.line_.command_ = words[optind];
    parsed.line_.arguments_.assign(words + optind + 1, words + count);
    return parsed;
}

} // namespace

auto main(int count, char** words) -> int {
    auto parsed = parse(count, words);
    if (!parsed.exit_) {
        auto link = ctl::session{parsed.options_};
        parsed.exit_ =
            ctl::run_command(parsed.line_, link, std::cout, std::cerr);
    }
    return static_cast<int>(*parsed.exit_);
}
