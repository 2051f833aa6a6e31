#include "basilstream/protocol/json/json.hpp"

#include <cstdlib>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace basilstream::protocol {
namespace {

// Deeper documents are refused before they cost stack.
constexpr auto max_depth = 64;
// Longest value shown in an error.
constexpr auto max_shown_value = std::size_t{60};

auto nesting_is_bounded(std::string_view text) -> bool {
    auto depth = 0;
    auto in_string = false;
    for (auto index = std::size_t{0}; index < text.size(); ++index) {
        const auto letter = text[index];
        if (in_string) {
            if (letter == '\\') {
                ++index;
            } else if (letter == '"') {
                in_string = false;
            }
            continue;
        }
        if (letter == '"') {
            in_string = true;
        } else if (letter == '{' || letter == '[') {
            if (++depth > max_depth) {
                return false;
            }
        } else if (letter == '}' || letter == ']') {
            --depth;
        }
    }
    return true;
}

// Turns the validator's context ("<root>", "[caller]", "[port]") into
// "caller.port", and the part of the document there.
auto key_path(const std::vector<std::string>& context, const json& document)
    -> std::pair<std::string, const json*> {
    auto path = std::string{};
    const auto* value = &document;
    for (const auto& part : context) {
        if (part.size() < 2 || part.front() != '[') {
            continue;
        }
        const auto key = part.substr(1, part.size() - 2);
        path += (path.empty() ? "" : ".") + key;
        if (value != nullptr && value->is_object() && value->contains(key)) {
            value = &(*value)[key];
        } else if (value != nullptr && value->is_array() && !key.empty() &&
                   key.find_first_not_of("0123456789") == std::string::npos &&
                   std::stoul(key) < value->size()) {
            value = &(*value)[std::stoul(key)];
        } else {
            value = nullptr;
        }
    }
    return {path.empty() ? "(document)" : path, value};
}

} // namespace

class json_schema::implementation {
public:
    std::string name_;
    step step_ = step::settings;
    valijson::Schema schema_;
    json text_;
};

auto parse_json(std::string_view text, std::string_view source, step at)
    -> result<json> {
    const auto fail = [&](std::string detail) {
        return tl::unexpected(error{error_code::invalid_argument, at,
                                    std::string{source}, std::move(detail)});
    };
    if (!nesting_is_bounded(text)) {
        return fail("JSON is nested too deeply");
    }
    auto document = json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return fail("not valid JSON");
    }
    return document;
}

json_schema::json_schema(std::string name, std::string_view text, step at)
    : implementation_{std::make_unique<implementation>()} {
    implementation_->name_ = std::move(name);
    implementation_->step_ = at;
    implementation_->text_ = json::parse(text);
    auto parser = valijson::SchemaParser{};
    const auto adapter =
        valijson::adapters::NlohmannJsonAdapter{implementation_->text_};
    parser.populateSchema(adapter, implementation_->schema_);
}

json_schema::~json_schema() = default;

auto json_schema::check(const json& document, std::string_view source) const
    -> result<void> {
    auto validator = valijson::Validator{};
    auto failures = valijson::ValidationResults{};
    const auto target = valijson::adapters::NlohmannJsonAdapter{document};
    if (validator.validate(implementation_->schema_, target, &failures)) {
        return {};
    }
    // The first result is the innermost and names the offending key.
    auto failure = valijson::ValidationResults::Error{};
    failures.popError(failure);
    const auto [path, value] = key_path(failure.context, document);
    auto detail = "key " + path;
    if (value != nullptr && !value->is_object()) {
        auto shown =
            value->dump(-1, ' ', false, json::error_handler_t::replace);
        if (shown.size() > max_shown_value) {
            shown.resize(max_shown_value);
            shown += "...";
        }
        detail += ", value " + shown;
    }
    detail += ": " + failure.description;
    return tl::unexpected(error{error_code::invalid_argument,
                                implementation_->step_, std::string{source},
                                std::move(detail)});
}

} // namespace basilstream::protocol
