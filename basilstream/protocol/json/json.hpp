/// Parsing of JSON against a JSON Schema, with errors that name the key.
///
///     const auto schema = json_schema{"settings", settings_schema_text};
///     auto document = parse_json(text, "settings.json", step::settings);
///     auto checked = schema.check(*document, "settings.json");
///
/// Immutable after construction; safe to share between threads.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "basilstream/base/error/error.hpp"

namespace basilstream::protocol {

using json = nlohmann::json;

/// Parses `text`. Fails with `invalid_argument` at `at`, with `source` as the
/// peer, when it is not JSON or nested deeper than 64 levels.
[[nodiscard]] auto parse_json(std::string_view text, std::string_view source,
                              step at) -> result<json>;

/// A JSON Schema (draft 7).
class json_schema {
public:
    /// `text` must be a valid schema; a broken one is a programming error and
    /// ends the process.
    json_schema(std::string name, std::string_view text, step at);
    ~json_schema();
    json_schema(const json_schema&) = delete;
    auto operator=(const json_schema&) -> json_schema& = delete;

    /// Checks `document`. The error is one line that names source, key, the
    /// value found and what is allowed.
    [[nodiscard]] auto check(const json& document,
                             std::string_view source) const -> result<void>;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::protocol
