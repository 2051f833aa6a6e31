#include <cstdio>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "bench/load/load.hpp"
#include "testing/program/program.hpp"

namespace {

using namespace basilstream;
using namespace basilstream::bench;
using basilstream::testing::option;
using nlohmann::json;

constexpr auto violation_status = 1;
constexpr auto usage_status = 2;
constexpr auto default_prompt_bytes = std::size_t{400};

struct command_line {
    load_options load_ = {};
    duration deadline_ = seconds{10};
    duration length_ = seconds{10};
    std::string targets_file_ = {};
    std::string prompts_file_ = {};
    std::size_t prompt_bytes_ = default_prompt_bytes;
    std::uint64_t seed_ = 1;
    bool as_json_ = false;
};

auto list_option(std::string name, std::string help,
                 std::vector<std::string>& target) -> option {
    return {std::move(name), "IP:PORT,...", std::move(help),
            [&target](const std::string& text) {
                auto stream = std::istringstream{text};
                for (auto part = std::string{};
                     std::getline(stream, part, ',');) {
                    target.push_back(part);
                }
                return !target.empty();
            }};
}

auto pattern_option(arrival_pattern& target) -> option {
    return {"pattern", "NAME", "steady, burst, meet-morning or tender-deadline",
            [&target](const std::string& text) {
                const auto parsed = arrival_pattern_names.parse(text);
                target = parsed.value_or(target);
                return parsed.has_value();
            }};
}

auto options_of(command_line& line) -> std::vector<option> {
    using namespace basilstream::testing;
    auto& load = line.load_;
    return {
        list_option("address", "entry addresses, or runners with --direct",
                    load.addresses_),
        switch_option("direct", "talk to runners themselves", load.direct_),
        text_option("targets", "FILE", "JSON array of models to ask for",
                    line.targets_file_),
        text_option("prompts", "FILE", "text file; prompts are cut from it",
                    line.prompts_file_),
        number_option("prompt-bytes", "N", "size of a prompt",
                      line.prompt_bytes_),
        pattern_option(load.pattern_),
        number_option("rate", "N", "base arrivals a second", load.rate_),
        duration_option("length-ms", "for how long requests arrive",
                        line.length_),
        number_option("max-requests", "N", "bound on the arrivals",
                      load.max_requests_),
        number_option("max-open", "N", "bound on requests at once",
                      load.max_open_),
        number_option("max-tokens", "N", "bound on an answer",
                      load.max_tokens_),
        duration_option("deadline-ms", "when an answer must be whole",
                        line.deadline_),
        number_option("retries", "N", "how often to send again", load.retries_),
        number_option("accelerators", "N", "accelerators paid for",
                      load.accelerators_),
        list_option("runners", "stand-in runners whose loads are counted",
                    load.runners_),
        number_option("seed", "N", "seed of arrivals and choices", line.seed_),
        switch_option("json", "print JSON", line.as_json_),
    };
}

auto read_targets(const std::string& path) -> std::vector<load_target> {
    auto file = std::ifstream{path};
    const auto list = json::parse(file, nullptr, false);
    auto targets = std::vector<load_target>{};
    if (!list.is_array()) {
        return targets;
    }
    for (const auto& entry : list) {
        auto target = load_target{};
        target.model_ = entry.value("model", "");
        target.adapter_ = entry.value("adapter", "");
        target.versions_ = entry.value("versions", target.versions_);
        target.token_ = entry.value("token", "");
        target.weight_ = entry.value("weight", target.weight_);
        targets.push_back(std::move(target));
    }
    return targets;
}

// Cuts the file into prompts at spaces, each of about `size` bytes.
auto read_prompts(const std::string& path, std::size_t size)
    -> std::vector<std::string> {
    auto file = std::ifstream{path};
    auto prompts = std::vector<std::string>{};
    auto prompt = std::string{};
    for (auto word = std::string{}; file >> word;) {
        prompt += prompt.empty() ? word : " " + word;
        if (prompt.size() >= size) {
            prompts.push_back(std::exchange(prompt, {}));
        }
    }
    if (!prompt.empty()) {
        prompts.push_back(prompt);
    }
    return prompts;
}

auto refuse(const char* reason) -> int {
    std::fprintf(stderr, "basilload: %s\n", reason);
    return usage_status;
}

auto run(command_line& line) -> int {
    auto& load = line.load_;
    load.deadline_ = std::chrono::ceil<milliseconds>(line.deadline_);
    load.length_ = line.length_;
    load.targets_ = read_targets(line.targets_file_);
    auto prompts = read_prompts(line.prompts_file_, line.prompt_bytes_);
    if (load.addresses_.empty()) {
        return refuse("--address is missing");
    }
    if (load.targets_.empty()) {
        return refuse("--targets names no JSON array of targets");
    }
    if (prompts.empty()) {
        return refuse("--prompts names no text");
    }
    const auto time = steady_clock{};
    auto random = seeded_random{line.seed_};
    auto generator = load_generator{load, std::move(prompts), time, random};
    const auto report = generator.run();
    const auto text = line.as_json_ ? to_json_text(report) : to_text(report);
    std::printf("%s\n", text.c_str());
    return report.violations() == 0 ? 0 : violation_status;
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto line = command_line{};
    const auto status = testing::parse_options(
        argc, argv,
        "Sends requests in an open loop and checks every token of the "
        "answers.\n"
        "Exit status: 0 no answer was wrong or silently short, 1 one was, 2 "
        "usage.",
        options_of(line));
    return status ? *status : run(line);
}
