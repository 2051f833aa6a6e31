/// Shared by the commands of basilctl; for this library only.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "basilstream/ctl/commands/commands.hpp"

namespace basilstream::ctl::internal {

/// What a command works with.
struct environment {
    const command_line& line_;
    session& link_;
    std::ostream& out_;
    std::ostream& diagnostics_;
};

/// Rows of a table; the first is the heading.
using table = std::vector<std::vector<std::string>>;

/// Reports a failure and returns the exit status that it stands for.
[[nodiscard]] auto fail(environment& in, const error& failure) -> exit_status;

/// Reports a mistake of the command line.
[[nodiscard]] auto usage_error(environment& in, const std::string& text)
    -> exit_status;

/// Writes rows in aligned columns.
auto write_table(std::ostream& out, const table& rows) -> void;

/// Returns a JSON value as a person reads it: strings without quotes.
[[nodiscard]] auto shown(const protocol::json& value) -> std::string;

/// Returns the text of a file; "-" is standard input.
[[nodiscard]] auto read_file(const std::string& path) -> result<std::string>;

/// Finds the resource that the arguments "KIND NAME" name, or null.
[[nodiscard]] auto find_named(environment& in) -> const state::resource_state*;

// The commands.
auto metrics(environment& in) -> exit_status;
auto validate(environment& in) -> exit_status;
auto apply(environment& in) -> exit_status;
auto remove(environment& in) -> exit_status;
auto lift(environment& in) -> exit_status;
auto get(environment& in) -> exit_status;
auto describe(environment& in) -> exit_status;
auto status(environment& in) -> exit_status;
auto explain(environment& in) -> exit_status;
auto endpoints(environment& in) -> exit_status;
auto export_organisation(environment& in) -> exit_status;
auto schema(environment& in) -> exit_status;

} // namespace basilstream::ctl::internal
