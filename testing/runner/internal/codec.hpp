// JSON of the engine's API, as docs/protocols.md states it.
#pragma once

#include <nlohmann/json.hpp>

#include "testing/engine/engine.hpp"

namespace basilstream::testing::internal {

auto completion_from_json(const nlohmann::json& body) -> completion_request;
auto order_from_json(const nlohmann::json& body) -> std::optional<engine_order>;
auto order_to_json(const engine_order& order) -> nlohmann::json;
auto report_to_json(const engine_report& report,
                    const engine_settings& settings) -> nlohmann::json;
auto cache_events_to_json(const cache_event_page& page) -> nlohmann::json;
auto books_to_json(const engine_books& books) -> nlohmann::json;

} // namespace basilstream::testing::internal
