#include "basilstream/daemon/settings/settings.hpp"

#include <fstream>
#include <sstream>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::daemon {
namespace {

using protocol::json;

constexpr auto schema_text = std::string_view{R"json({
  "title": "Settings of basilstreamd", "type": "object",
  "additionalProperties": false,
  "required": ["name", "zone", "caller", "peer", "platform"],
  "definitions": {
    "address": {"type": "string", "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}$"},
    "port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "url": {"type": "string", "pattern": "^http://[0-9.]+:[0-9]+(/.*)?$"},
    "period": {"type": "integer", "minimum": 10, "maximum": 3600000}
  },
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "zone": {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"},
    "caller": {"type": "object", "additionalProperties": false,
      "required": ["address", "port"], "properties": {
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"},
        "threads": {"type": "integer", "minimum": 1, "maximum": 64},
        "max_connections": {"type": "integer", "minimum": 1, "maximum": 65536},
        "max_body_bytes": {"type": "integer", "minimum": 1024,
                           "maximum": 67108864}}},
    "admin": {"type": "object", "additionalProperties": false,
      "required": ["address", "port"], "properties": {
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"}}},
    "peer": {"type": "object", "additionalProperties": false,
      "required": ["address", "port"], "properties": {
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"},
        "seeds": {"type": "array", "maxItems": 1024, "items":
          {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}}}},
    "platform": {"type": "object", "additionalProperties": false,
      "required": ["log_url", "vm_list_url"], "properties": {
        "log_url": {"$ref": "#/definitions/url"},
        "vm_list_url": {"$ref": "#/definitions/url"},
        "vm_list_interval_ms": {"$ref": "#/definitions/period"},
        "appends_per_second": {"type": "number", "minimum": 0.1,
                               "maximum": 1000}}},
    "requests": {"type": "object", "additionalProperties": false,
      "properties": {
        "first_token_deadline_ms": {"$ref": "#/definitions/period"},
        "deadline_ms": {"$ref": "#/definitions/period"},
        "queue_capacity": {"type": "integer", "minimum": 1, "maximum": 65536},
        "max_open_requests": {"type": "integer", "minimum": 1,
                              "maximum": 65536},
        "progress_timeout_ms": {"$ref": "#/definitions/period"},
        "first_piece_timeout_ms": {"$ref": "#/definitions/period"},
        "report_interval_ms": {"$ref": "#/definitions/period"}}},
    "deployment": {"type": "object", "additionalProperties": false,
      "properties": {
        "shards": {"type": "array", "minItems": 1, "maxItems": 64, "items":
          {"type": "string", "pattern": "^[a-z0-9._-]{1,64}$"}},
        "loads_per_second": {"type": "integer", "minimum": 1, "maximum": 1000},
        "loads_at_once": {"type": "integer", "minimum": 1, "maximum": 10000},
        "adapters_in_flight": {"type": "integer", "minimum": 1,
                               "maximum": 100000},
        "plan_interval_ms": {"$ref": "#/definitions/period"},
        "replicas": {"type": "integer", "minimum": 1, "maximum": 16}}},
    "trace": {"type": "object", "additionalProperties": false, "properties": {
        "zipkin_url": {"$ref": "#/definitions/url"},
        "sample": {"type": "number", "minimum": 0, "maximum": 1}}},
    "logging": {"type": "object", "additionalProperties": false, "properties": {
        "level": {"enum": ["debug", "info", "warning", "error", "off"]},
        "format": {"enum": ["text", "json"]}}},
    "endpoint_time_to_live_ms": {"$ref": "#/definitions/period"}
  }})json"};

auto section(const json& document, const char* key) -> json {
    return document.value(key, json::object());
}

auto read_duration(const json& document, const char* key, milliseconds& value)
    -> void {
    value = milliseconds{document.value(key, value.count())};
}

template <class Value>
auto read(const json& document, const char* key, Value& value) -> void {
    value = document.value(key, value);
}

auto read_caller(const json& document, caller_settings& caller) -> void {
    read(document, "address", caller.address_);
    read(document, "port", caller.port_);
    read(document, "threads", caller.threads_);
    read(document, "max_connections", caller.max_connections_);
    read(document, "max_body_bytes", caller.max_body_bytes_);
}

auto read_platform(const json& document, platform_settings& platform) -> void {
    read(document, "log_url", platform.log_url_);
    read(document, "vm_list_url", platform.vm_list_url_);
    read_duration(document, "vm_list_interval_ms", platform.vm_list_interval_);
    read(document, "appends_per_second", platform.appends_per_second_);
}

auto read_requests(const json& document, request_settings& requests) -> void {
    read_duration(document, "first_token_deadline_ms",
                  requests.first_token_deadline_);
    read_duration(document, "deadline_ms", requests.deadline_);
    read(document, "queue_capacity", requests.queue_capacity_);
    read(document, "max_open_requests", requests.max_open_requests_);
    read_duration(document, "progress_timeout_ms", requests.progress_timeout_);
    read_duration(document, "first_piece_timeout_ms",
                  requests.first_piece_timeout_);
    read_duration(document, "report_interval_ms", requests.report_interval_);
}

auto read_deployment(const json& document, deployment_settings& deployment)
    -> void {
    read(document, "shards", deployment.shards_);
    read(document, "loads_per_second", deployment.loads_per_second_);
    read(document, "loads_at_once", deployment.loads_at_once_);
    read(document, "adapters_in_flight", deployment.adapters_in_flight_);
    read_duration(document, "plan_interval_ms", deployment.plan_interval_);
    read(document, "replicas", deployment.replicas_);
}

auto read_logging(const json& document, transport::logger_options& logging)
    -> void {
    const auto level = document.value("level", std::string{"info"});
    const auto format = document.value("format", std::string{"text"});
    logging.level_ = transport::log_level_names.parse(level).value_or(
        transport::log_level::info);
    logging.format_ = transport::log_format_names.parse(format).value_or(
        transport::log_format::text);
}

} // namespace

auto parse_settings(std::string_view text, std::string_view source)
    -> result<daemon_settings> {
    static const auto schema =
        protocol::json_schema{"settings", schema_text, step::settings};
    auto document = protocol::parse_json(text, source, step::settings);
    if (!document) {
        return tl::unexpected(document.error());
    }
    if (auto checked = schema.check(*document, source); !checked) {
        return tl::unexpected(checked.error());
    }
    auto settings = daemon_settings{};
    read(*document, "name", settings.name_);
    read(*document, "zone", settings.zone_);
    read_caller(section(*document, "caller"), settings.caller_);
    read(section(*document, "admin"), "address", settings.admin_.address_);
    read(section(*document, "admin"), "port", settings.admin_.port_);
    read(section(*document, "peer"), "address", settings.peer_.address_);
    read(section(*document, "peer"), "port", settings.peer_.port_);
    read(section(*document, "peer"), "seeds", settings.peer_.seeds_);
    read_platform(section(*document, "platform"), settings.platform_);
    read_requests(section(*document, "requests"), settings.requests_);
    read_deployment(section(*document, "deployment"), settings.deployment_);
    read(section(*document, "trace"), "zipkin_url",
         settings.trace_.zipkin_url_);
    read(section(*document, "trace"), "sample", settings.trace_.sample_);
    read_logging(section(*document, "logging"), settings.logging_);
    read_duration(*document, "endpoint_time_to_live_ms",
                  settings.endpoint_time_to_live_);
    return settings;
}

auto load_settings(const std::string& path) -> result<daemon_settings> {
    auto file = std::ifstream{path};
    if (!file) {
        return tl::unexpected(error{error_code::not_found, step::settings, path,
                                    "cannot open the file"});
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return parse_settings(text.str(), path);
}

auto settings_schema() -> std::string_view {
    return schema_text;
}

} // namespace basilstream::daemon
