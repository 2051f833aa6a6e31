/// The commands of basilctl.
///
///     return run_command({"apply", {}, "models.json"}, link, std::cout);
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/ctl/session/session.hpp"

namespace basilstream::ctl {

/// Exit statuses, as documented in docs/operations/basilctl.md.
enum class exit_status {
    ok = 0,
    /// The change was refused: conflict, reference or limit.
    refused = 1,
    /// Bad command line or bad resource file.
    usage = 2,
    /// Log or daemons did not answer; nothing was changed, or it is said that
    /// the outcome is unknown.
    unreachable = 3,
    /// Accepted, but not in force everywhere in time.
    not_in_force = 4,
};

enum class output_format { table, json };

/// Names of formats, as `-o` takes them.
inline constexpr auto output_format_names = name_table<output_format, 2>{
    {{{output_format::table, "table"}, {output_format::json, "json"}}}};

/// A parsed command line.
struct command_line {
    std::string command_;
    std::vector<std::string> arguments_;
    std::string file_;
    std::string organisation_;
    output_format format_ = output_format::table;
    bool watch_ = false;
};

/// Runs a command and writes its answer to `out`, progress and errors to
/// `diagnostics`.
[[nodiscard]] auto run_command(const command_line& line, session& link,
                               std::ostream& out, std::ostream& diagnostics)
    -> exit_status;

/// Returns the names of all commands with a line of help each.
[[nodiscard]] auto command_help() -> std::string;

} // namespace basilstream::ctl
