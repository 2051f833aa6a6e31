/// JSON form of declared resources, as operators write and read them.
///
///     auto parsed = parse_resources(text, "meets.json");
///     to_json(parsed->front().resource_);
///
/// A file holds one resource or an array of them. The schema of each kind is
/// `resource_schema(kind)`. Safe to call from several threads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/error/error.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/state/resource/resource.hpp"

namespace basilstream::protocol {

/// A resource as read from a file.
struct declared_resource {
    state::resource resource_;
    /// The generation which the writer saw; nothing when the file names none.
    /// Zero demands that the resource does not exist yet.
    std::optional<std::uint64_t> generation_;
};

/// Largest resource file, in bytes.
inline constexpr auto max_resource_file_bytes = std::size_t{1} << 20U;

/// Parses and checks a file. The error names the file, the key, the value and
/// what is allowed; nothing is returned unless all resources are good.
[[nodiscard]] auto parse_resources(std::string_view text,
                                   std::string_view source)
    -> result<std::vector<declared_resource>>;

/// Returns the JSON form of `value`, which `parse_resources` reads back.
[[nodiscard]] auto to_json(const state::resource& value) -> json;

/// Returns the JSON Schema text of a kind.
[[nodiscard]] auto resource_schema(state::resource_kind kind)
    -> std::string_view;

/// Returns the lower-case hexadecimal SHA-256 of a caller token.
[[nodiscard]] auto token_hash(std::string_view token) -> std::string;

} // namespace basilstream::protocol
