/// Tables that give each value of an `enum class` its name.
///
///     inline constexpr auto color_names = name_table<color, 2>{{{
///         {color::red, "red"}, {color::blue, "blue"}}}};
///     color_names.name_of(color::red);   // "red"
///     color_names.parse("blue");         // color::blue
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace basilstream {

/// Maps `Enum` values to names and back. A value type, safe to share between
/// threads. Lookup is linear: the tables are short.
template <class Enum, std::size_t Size>
struct name_table {
    std::array<std::pair<Enum, std::string_view>, Size> rows_;

    /// Returns the name of `value`, or "unknown" when the table lacks it.
    [[nodiscard]] constexpr auto name_of(Enum value) const -> std::string_view {
        for (const auto& [row_value, row_name] : rows_) {
            if (row_value == value) {
                return row_name;
            }
        }
        return "unknown";
    }

    /// Returns the value called `name`, or nothing.
    [[nodiscard]] constexpr auto parse(std::string_view name) const
        -> std::optional<Enum> {
        for (const auto& [row_value, row_name] : rows_) {
            if (row_name == name) {
                return row_value;
            }
        }
        return std::nullopt;
    }
};

} // namespace basilstream
