#include "basilstream/ctl/commands/internal/environment.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace basilstream::ctl::internal {
namespace {

using protocol::json;

constexpr auto column_gap = std::size_t{2};

} // namespace

auto fail(environment& in, const error& failure) -> exit_status {
    in.diagnostics_ << "basilctl: " << failure.to_string() << "\n";
    switch (failure.code_) {
    case error_code::invalid_argument:
    case error_code::payload_too_large:
        return exit_status::usage;
    case error_code::timeout:
    case error_code::unavailable:
    case error_code::backend_error:
        return exit_status::unreachable;
    default:
        return exit_status::refused;
    }
}

auto usage_error(environment& in, const std::string& text) -> exit_status {
    in.diagnostics_ << "basilctl: " << text << "\n";
    return exit_status::usage;
}

auto write_table(std::ostream& out, const table& rows) -> void {
    auto widths = std::vector<std::size_t>{};
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (auto column = std::size_t{0}; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows) {
        auto line = std::string{};
        for (auto column = std::size_t{0}; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size()) {
                line.append(widths[column] + column_gap - row[column].size(),
                            ' ');
            }
        }
        out << line << "\n";
    }
}

auto shown(const json& value) -> std::string {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

auto read_file(const std::string& path) -> result<std::string> {
    auto text = std::ostringstream{};
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    auto file = std::ifstream{path};
    if (!file) {
        return tl::unexpected(error{error_code::invalid_argument,
                                    step::resource, path,
                                    "cannot open the file"});
    }
    text << file.rdbuf();
    return text.str();
}

auto find_named(environment& in) -> const state::resource_state* {
    const auto& words = in.line_.arguments_;
    const auto kind = words.size() == 2
                          ? state::resource_kind_names.parse(words[0])
                          : std::nullopt;
    return kind ? in.link_.state().find_resource({*kind, words[1]}) : nullptr;
}

} // namespace basilstream::ctl::internal
