#include "basilstream/protocol/resources/resources.hpp"

#include <array>

#include <openssl/evp.h>

namespace basilstream::protocol {
namespace {

using state::resource_kind;

constexpr auto organisation_schema = std::string_view{R"json({
  "title": "Organisation", "type": "object", "additionalProperties": false,
  "required": ["kind", "name"],
  "properties": {
    "kind": {"enum": ["organisation"]},
    "name": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "generation": {"type": "integer", "minimum": 0},
    "token_hashes": {"type": "array", "maxItems": 64, "items":
      {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
    "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
    "move_price": {"type": "number", "minimum": 0, "maximum": 1000000},
    "labels": {"type": "object", "maxProperties": 64,
      "additionalProperties": {"type": "string", "maxLength": 256}}
  }})json"};

constexpr auto model_schema = std::string_view{R"json({
  "title": "Model", "type": "object", "additionalProperties": false,
  "required": ["kind", "organisation", "name", "versions", "memory_bytes"],
  "properties": {
    "kind": {"enum": ["model"]},
    "organisation": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "name": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "generation": {"type": "integer", "minimum": 0},
    "versions": {"type": "array", "minItems": 1, "maxItems": 8, "items":
      {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"}},
    "priority": {"type": "integer", "minimum": -1000, "maximum": 1000},
    "zones": {"type": "array", "maxItems": 64, "items":
      {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"}},
    "memory_bytes": {"type": "integer", "minimum": 1},
    "minimum_replicas": {"type": "integer", "minimum": 1, "maximum": 64}
  }})json"};

constexpr auto adapter_schema = std::string_view{R"json({
  "title": "Adapter", "type": "object", "additionalProperties": false,
  "required": ["kind", "organisation", "name", "model", "memory_bytes"],
  "properties": {
    "kind": {"enum": ["adapter"]},
    "organisation": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "name": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "generation": {"type": "integer", "minimum": 0},
    "model": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "priority": {"type": "integer", "minimum": -1000, "maximum": 1000},
    "memory_bytes": {"type": "integer", "minimum": 1},
    "minimum_replicas": {"type": "integer", "minimum": 1, "maximum": 64}
  }})json"};

constexpr auto service_schema = std::string_view{R"json({
  "title": "Service", "type": "object", "additionalProperties": false,
  "required": ["kind", "organisation", "name"],
  "properties": {
    "kind": {"enum": ["service"]},
    "organisation": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "name": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "generation": {"type": "integer", "minimum": 0},
    "priority": {"type": "integer", "minimum": -1000, "maximum": 1000},
    "zones": {"type": "array", "maxItems": 64, "items":
      {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"}},
    "non_idempotent_methods": {"type": "array", "maxItems": 16, "items":
      {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]}}
  }})json"};

// What differs between the kinds.
struct kind_codec {
    std::string_view schema_;
    auto(*read_)(const json& document) -> state::resource;
};

auto strings(const json& document, const char* key)
    -> std::vector<std::string> {
    return document.value(key, std::vector<std::string>{});
}

auto read_organisation(const json& document) -> state::resource {
    auto value = state::organisation_resource{};
    value.name_ = document.at("name");
    value.token_hashes_ = strings(document, "token_hashes");
    value.weight_ = document.value("weight", value.weight_);
    value.move_price_ = document.value("move_price", value.move_price_);
    value.labels_ = document.value("labels", value.labels_);
    return value;
}

auto read_model(const json& document) -> state::resource {
    auto value = state::model_resource{};
    value.organisation_ = document.at("organisation");
    value.name_ = document.at("name");
    value.versions_ = strings(document, "versions");
    value.priority_ = document.value("priority", value.priority_);
    value.zones_ = strings(document, "zones");
    value.memory_bytes_ = document.at("memory_bytes");
    value.minimum_replicas_ =
        document.value("minimum_replicas", value.minimum_replicas_);
    return value;
}

auto read_adapter(const json& document) -> state::resource {
    auto value = state::adapter_resource{};
    value.organisation_ = document.at("organisation");
    value.name_ = document.at("name");
    value.model_ = document.at("model");
    value.priority_ = document.value("priority", value.priority_);
    value.memory_bytes_ = document.at("memory_bytes");
    value.minimum_replicas_ =
        document.value("minimum_replicas", value.minimum_replicas_);
    return value;
}

auto read_service(const json& document) -> state::resource {
    auto value = state::service_resource{};
    value.organisation_ = document.at("organisation");
    value.name_ = document.at("name");
    value.priority_ = document.value("priority", value.priority_);
    value.zones_ = strings(document, "zones");
    value.non_idempotent_methods_ = strings(document, "non_idempotent_methods");
    return value;
}

// Indexed by resource_kind.
constexpr auto codecs = std::array{
    kind_codec{organisation_schema, &read_organisation},
    kind_codec{model_schema, &read_model},
    kind_codec{adapter_schema, &read_adapter},
    kind_codec{service_schema, &read_service},
};

auto codec_of(resource_kind kind) -> const kind_codec& {
    return codecs.at(static_cast<std::size_t>(kind));
}

auto schema_of(resource_kind kind) -> const json_schema& {
    static const auto schemas = [] {
        auto made = std::array<std::unique_ptr<json_schema>, codecs.size()>{};
        for (auto index = std::size_t{0}; index < codecs.size(); ++index) {
            made.at(index) = std::make_unique<json_schema>(
                std::string{state::resource_kind_names.name_of(
                    static_cast<resource_kind>(index))},
                codecs.at(index).schema_, step::resource);
        }
        return made;
    }();
    return *schemas.at(static_cast<std::size_t>(kind));
}

auto read_one(const json& document, std::string_view source)
    -> result<declared_resource> {
    const auto fail = [&](std::string detail) {
        return tl::unexpected(error{error_code::invalid_argument,
                                    step::resource, std::string{source},
                                    std::move(detail)});
    };
    if (!document.is_object() || !document.contains("kind") ||
        !document["kind"].is_string()) {
        return fail("key kind: required, one of organisation, model, adapter, "
                    "service");
    }
    const auto kind = state::resource_kind_names.parse(
        document["kind"].get_ref<const std::string&>());
    if (!kind) {
        return fail("key kind, value " + document["kind"].dump() +
                    ": allowed are organisation, model, adapter, service");
    }
    if (auto checked = schema_of(*kind).check(document, source); !checked) {
        return tl::unexpected(checked.error());
    }
    auto declared = declared_resource{codec_of(*kind).read_(document), {}};
    if (document.contains("generation")) {
        declared.generation_ = document["generation"].get<std::uint64_t>();
    }
    if (auto defect = state::find_defect(declared.resource_); !defect.empty()) {
        return fail(state::full_name(declared.resource_) + ": " + defect);
    }
    return declared;
}

// Writes the JSON of each kind.
struct json_writer {
    auto operator()(const state::organisation_resource& value) const -> json {
        return {{"kind", "organisation"},
                {"name", value.name_},
                {"token_hashes", value.token_hashes_},
                {"weight", value.weight_},
                {"move_price", value.move_price_},
                {"labels", value.labels_}};
    }
    auto operator()(const state::model_resource& value) const -> json {
        return {{"kind", "model"},
                {"organisation", value.organisation_},
                {"name", value.name_},
                {"versions", value.versions_},
                {"priority", value.priority_},
                {"zones", value.zones_},
                {"memory_bytes", value.memory_bytes_},
                {"minimum_replicas", value.minimum_replicas_}};
    }
    auto operator()(const state::adapter_resource& value) const -> json {
        return {{"kind", "adapter"},
                {"organisation", value.organisation_},
                {"name", value.name_},
                {"model", value.model_},
                {"priority", value.priority_},
                {"memory_bytes", value.memory_bytes_},
                {"minimum_replicas", value.minimum_replicas_}};
    }
    auto operator()(const state::service_resource& value) const -> json {
        return {{"kind", "service"},
                {"organisation", value.organisation_},
                {"name", value.name_},
                {"priority", value.priority_},
                {"zones", value.zones_},
                {"non_idempotent_methods", value.non_idempotent_methods_}};
    }
};

} // namespace

auto parse_resources(std::string_view text, std::string_view source)
    -> result<std::vector<declared_resource>> {
    if (text.size() > max_resource_file_bytes) {
        return tl::unexpected(error{error_code::payload_too_large,
                                    step::resource, std::string{source},
                                    "larger than 1 MiB"});
    }
    auto document = parse_json(text, source, step::resource);
    if (!document) {
        return tl::unexpected(document.error());
    }
    if (!document->is_array()) {
        *document = json::array({std::move(*document)});
    }
    auto parsed = std::vector<declared_resource>{};
    for (const auto& entry : *document) {
        auto one = read_one(entry, source);
        if (!one) {
            return tl::unexpected(one.error());
        }
        parsed.push_back(std::move(*one));
    }
    return parsed;
}

auto to_json(const state::resource& value) -> json {
    return std::visit(json_writer{}, value);
}

auto resource_schema(resource_kind kind) -> std::string_view {
    return codec_of(kind).schema_;
}

auto token_hash(std::string_view token) -> std::string {
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto size = 0U;
    EVP_Digest(token.data(), token.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    auto text = std::string{};
    for (auto index = 0U; index < size; ++index) {
        text.push_back(digits[digest.at(index) >> 4U]);
        text.push_back(digits[digest.at(index) & 0xfU]);
    }
    return text;
}

} // namespace basilstream::protocol
