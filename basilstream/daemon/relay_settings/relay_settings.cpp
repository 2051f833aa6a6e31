#include "basilstream/daemon/relay_settings/relay_settings.hpp"

#include <fstream>
#include <sstream>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::daemon {
namespace {

using protocol::json;

// Maximum number of log lines per second for one event: enough for an example
// of each kind of failure at a low CPU cost on a small VM.
constexpr auto default_lines_per_second = 20U;
constexpr auto queued_log_lines = std::size_t{1024};

constexpr auto schema_text = std::string_view{R"json({
  "title": "Settings of a relaying basilstreamd", "type": "object",
  "additionalProperties": false,
  "required": ["name", "zone", "relay", "peer", "store"],
  "definitions": {
    "address": {"type": "string",
                "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "period": {"type": ["number", "null"], "minimum": 10, "maximum": 3600000},
    "window": {"type": ["number", "null"], "minimum": 1, "maximum": 3600},
    "delay": {"type": ["number", "null"], "minimum": 500, "maximum": 60000},
    "figure": {"type": ["number", "null"], "minimum": 0, "maximum": 1000000}
  },
  "properties": {
    "name": {"type": "string", "minLength": 1, "maxLength": 128},
    "zone": {"type": "string", "minLength": 1, "maxLength": 128},
    "relay": {"type": "object", "additionalProperties": false,
      "required": ["callers", "readiness", "directory"], "properties": {
        "callers": {"$ref": "#/definitions/address"},
        "readiness": {"$ref": "#/definitions/address"},
        "directory": {"$ref": "#/definitions/address"},
        "metrics": {"$ref": "#/definitions/address"},
        "endpoint_time_to_live_ms": {"$ref": "#/definitions/period"}}},
    "peer": {"type": "object", "additionalProperties": false,
      "required": ["ip", "ports"], "properties": {
        "ip": {"type": "string", "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}$"},
        "ports": {"type": "array", "minItems": 2, "maxItems": 2,
                  "items": {"$ref": "#/definitions/port"}}}},
    "store": {"type": "object", "additionalProperties": false,
      "required": ["address"], "properties": {
        "address": {"$ref": "#/definitions/address"}}},
    "limits": {"type": "object", "additionalProperties": false, "properties": {
        "retry_ratio": {"$ref": "#/definitions/figure"},
        "retry_allowance": {"$ref": "#/definitions/figure"},
        "retry_window_s": {"$ref": "#/definitions/window"},
        "lease_ms": {"$ref": "#/definitions/period"},
        "load_window_s": {"$ref": "#/definitions/window"},
        "announcement_delay_ms": {"$ref": "#/definitions/delay"},
        "config_delay_ms": {"$ref": "#/definitions/delay"},
        "allowance_window_s": {"$ref": "#/definitions/window"},
        "allowance_overrun": {"$ref": "#/definitions/figure"},
        "allowance_slack": {"$ref": "#/definitions/figure"},
        "memory_mb": {"type": ["number", "null"], "minimum": 64,
                      "maximum": 1048576}}},
    "routing": {"type": "object", "additionalProperties": false,
      "properties": {
        "speed_spread": {"type": ["number", "null"], "minimum": 1.1,
                         "maximum": 1000}}},
    "scheduling": {"type": "object", "additionalProperties": false,
      "properties": {"least_cost": {"type": ["boolean", "null"]}}},
    "stop": {"type": "object", "additionalProperties": false, "properties": {
        "grace_s": {"$ref": "#/definitions/window"}}},
    "logging": {"type": "object", "additionalProperties": false, "properties": {
        "level": {"enum": ["debug", "info", "warning", "error", "off"]},
        "format": {"enum": ["text", "json"]},
        "lines_per_second": {"type": "integer", "minimum": 1,
                             "maximum": 100000}}}
  }})json"};

auto section_of(const json& document, const char* key) -> json {
    return document.value(key, json::object());
}

template <class Value>
auto read(const json& document, const char* key, Value& value) -> void {
    // Null selects the default.
    if (const auto found = document.find(key);
        found != document.end() && !found->is_null()) {
        value = found->get<Value>();
    }
}

template <class Period>
auto read_period(const json& document, const char* key, Period& value) -> void {
    auto count = value.count();
    read(document, key, count);
    value = Period{count};
}

auto read_relay(const json& document, relay_daemon_settings& settings) -> void {
    read(document, "callers", settings.caller_address_);
    read(document, "readiness", settings.readiness_address_);
    read(document, "directory", settings.directory_address_);
    read(document, "metrics", settings.metrics_address_);
    read_period(document, "endpoint_time_to_live_ms",
                settings.endpoint_time_to_live_);
}

auto read_peer(const json& document, relay_daemon_settings& settings) -> void {
    read(document, "ip", settings.peer_ip_);
    settings.first_peer_port_ = document["ports"][0].get<std::uint16_t>();
    settings.last_peer_port_ = document["ports"][1].get<std::uint16_t>();
}

auto read_limits(const json& document, shared_limits& limits) -> void {
    read(document, "retry_ratio", limits.retry_ratio_);
    read(document, "retry_allowance", limits.retry_allowance_);
    read_period(document, "retry_window_s", limits.retry_window_);
    read_period(document, "lease_ms", limits.lease_);
    read_period(document, "load_window_s", limits.load_window_);
    read_period(document, "announcement_delay_ms", limits.announcement_delay_);
    read_period(document, "config_delay_ms", limits.config_delay_);
    read_period(document, "allowance_window_s", limits.allowance_window_);
    read(document, "allowance_overrun", limits.allowance_overrun_);
    read(document, "allowance_slack", limits.allowance_slack_);
    if (const auto memory = document.find("memory_mb");
        memory != document.end() && !memory->is_null()) {
        limits.memory_mb_ = static_cast<std::size_t>(memory->get<double>());
    }
}

auto read_logging(const json& document, transport::logger_options& logging)
    -> void {
    const auto level = document.value("level", std::string{"info"});
    const auto format = document.value("format", std::string{"json"});
    logging.level_ = transport::log_level_names.parse(level).value_or(
        transport::log_level::info);
    logging.format_ = transport::log_format_names.parse(format).value_or(
        transport::log_format::json);
    logging.target_ = transport::log_target::standard_output;
    logging.lines_per_second_ = default_lines_per_second;
    read(document, "lines_per_second", logging.lines_per_second_);
    logging.queued_lines_ = queued_log_lines;
}

auto read_file(const std::string& path) -> result<std::string> {
    auto file = std::ifstream{path};
    if (!file) {
        return tl::unexpected(error{error_code::not_found, step::settings, path,
                                    "cannot open the file"});
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

} // namespace

auto parse_relay_settings(std::string_view text, std::string_view source)
    -> result<relay_daemon_settings> {
    static const auto schema =
        protocol::json_schema{"relay settings", schema_text, step::settings};
    auto document = protocol::parse_json(text, source, step::settings);
    if (!document) {
        return tl::unexpected(document.error());
    }
    if (auto checked = schema.check(*document, source); !checked) {
        return tl::unexpected(checked.error());
    }
    auto settings = relay_daemon_settings{};
    read(*document, "name", settings.name_);
    read(*document, "zone", settings.zone_);
    read_relay(section_of(*document, "relay"), settings);
    read_peer(section_of(*document, "peer"), settings);
    read(section_of(*document, "store"), "address", settings.store_address_);
    read_limits(section_of(*document, "limits"), settings.limits_);
    read(section_of(*document, "routing"), "speed_spread",
         settings.routing_.speed_spread_);
    read(section_of(*document, "scheduling"), "least_cost",
         settings.least_cost_);
    auto grace = std::chrono::duration<double>(settings.stop_.grace_).count();
    read(section_of(*document, "stop"), "grace_s", grace);
    settings.stop_.grace_ = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(grace));
    read_logging(section_of(*document, "logging"), settings.logging_);
    return settings;
}

auto load_relay_settings(const std::string& path)
    -> result<relay_daemon_settings> {
    const auto text = read_file(path);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parse_relay_settings(*text, path);
}

auto settings_kind_of(const std::string& path) -> settings_kind {
    const auto text = read_file(path);
    if (!text) {
        return settings_kind::unreadable;
    }
    const auto document = protocol::parse_json(*text, path, step::settings);
    if (!document) {
        return settings_kind::unreadable;
    }
    return document->is_object() && document->contains("relay")
               ? settings_kind::relay
               : settings_kind::product;
}

auto relay_settings_schema() -> std::string_view {
    return schema_text;
}

} // namespace basilstream::daemon
