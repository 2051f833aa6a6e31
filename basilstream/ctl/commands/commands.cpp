#include "basilstream/ctl/commands/commands.hpp"

#include <array>

#include "basilstream/ctl/commands/internal/environment.hpp"

namespace basilstream::ctl {
namespace {

struct command_row {
    const char* name_;
    const char* help_;
    bool needs_file_;
    auto(*run_)(internal::environment& in) -> exit_status;
};

constexpr auto commands = std::array{
    command_row{"apply", "-f FILE: declare resources", true, &internal::apply},
    command_row{"validate", "-f FILE: check a file, change nothing", true,
                &internal::validate},
    command_row{"get", "[KIND [NAME]]: list resources", false, &internal::get},
    command_row{"describe", "KIND NAME: one resource with its status", false,
                &internal::describe},
    command_row{"delete", "KIND NAME: delete a resource", false,
                &internal::remove},
    command_row{"status", "[--watch]: daemons and models", false,
                &internal::status},
    command_row{"explain", "NAME: a model, a runner or a request's id", false,
                &internal::explain},
    command_row{"metrics", "the daemons' metrics side by side", false,
                &internal::metrics},
    command_row{"endpoints", "the daemons' addresses for callers", false,
                &internal::endpoints},
    command_row{"export", "--organisation NAME: all it needs to leave", false,
                &internal::export_organisation},
    command_row{"lift", "FINGERPRINT: lift a quarantine", false,
                &internal::lift},
    command_row{"schema", "KIND: print the kind's JSON Schema", false,
                &internal::schema},
};

} // namespace

auto run_command(const command_line& line, session& link, std::ostream& out,
                 std::ostream& diagnostics) -> exit_status {
    auto in = internal::environment{line, link, out, diagnostics};
    for (const auto& row : commands) {
        if (line.command_ != row.name_) {
            continue;
        }
        if (row.needs_file_ && line.file_.empty()) {
            return internal::usage_error(in, line.command_ +
                                                 ": -f FILE is required");
        }
        return row.run_(in);
    }
    return internal::usage_error(in, "unknown command: " + line.command_);
}

auto command_help() -> std::string {
    constexpr auto column = std::size_t{12};
    auto text = std::string{};
    for (const auto& row : commands) {
        auto name = std::string{row.name_};
        name.resize(column, ' ');
        text += "  " + name + row.help_ + "\n";
    }
    return text;
}

} // namespace basilstream::ctl
