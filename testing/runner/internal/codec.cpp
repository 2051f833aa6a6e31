#include "testing/runner/internal/codec.hpp"

namespace basilstream::testing::internal {

using nlohmann::json;

auto completion_from_json(const json& body) -> completion_request {
    auto request = completion_request{};
    request.model_ = body.at("model").get<std::string>();
    request.adapter_ = body.value("adapter", "");
    request.version_ = body.value("version", "");
    request.prompt_ = body.at("prompt").get<std::string>();
    request.max_tokens_ = body.value("max_tokens", request.max_tokens_);
    request.priority_ = body.value("priority", request.priority_);
    request.request_id_ = body.at("request_id").get<std::string>();
    request.attempt_ = body.value("attempt", request.attempt_);
    request.resume_position_ = body.value("resume_position", std::uint64_t{0});
    return request;
}

auto order_from_json(const json& body) -> std::optional<engine_order> {
    const auto action =
        order_action_names.parse(body.at("action").get<std::string>());
    if (!action) {
        return std::nullopt;
    }
    auto order = engine_order{};
    order.order_id_ = body.at("order_id").get<std::string>();
    order.fencing_ = body.at("fencing").get<std::uint64_t>();
    order.action_ = *action;
    order.model_ = body.value("model", "");
    order.adapter_ = body.value("adapter", "");
    order.version_ = body.value("version", "");
    order.bytes_ = body.value("bytes", std::uint64_t{0});
    order.role_ = body.value("role", "");
    return order;
}

auto order_to_json(const engine_order& order) -> json {
    return {{"order_id", order.order_id_},
            {"fencing", order.fencing_},
            {"action", order_action_names.name_of(order.action_)},
            {"model", order.model_},
            {"adapter", order.adapter_},
            {"version", order.version_},
            {"bytes", order.bytes_},
            {"role", order.role_}};
}

auto report_to_json(const engine_report& report,
                    const engine_settings& settings) -> json {
    auto residents = json::array();
    for (const auto& held : report.residents_) {
        residents.push_back(
            {{"model", held.model_},
             {"adapter", held.adapter_},
             {"version", held.version_},
             {"bytes", held.bytes_},
             {"order_id", held.order_id_},
             {"state", resident_state_names.name_of(held.state_)}});
    }
    auto finished = json::array();
    for (const auto& order : report.finished_orders_) {
        finished.push_back({{"order_id", order.order_id_},
                            {"outcome", order.outcome_},
                            {"detail", order.detail_}});
    }
    return {{"boot_id", settings.boot_id_},
            {"sequence", report.sequence_},
            {"memory_bytes", settings.memory_bytes_},
            {"used_bytes", report.used_bytes_},
            {"leaving", report.leaving_},
            {"role", report.role_},
            {"running", report.running_},
            {"waiting", report.waiting_},
            {"slots", settings.slots_},
            {"highest_fencing", report.highest_fencing_},
            {"token_ms", report.token_ms_},
            {"residents", residents},
            {"finished_orders", finished}};
}

auto cache_events_to_json(const cache_event_page& page) -> json {
    auto events = json::array();
    for (const auto& event : page.events_) {
        events.push_back({{"sequence", event.sequence_},
                          {"kind", event.stored_ ? "stored" : "evicted"},
                          {"model", event.model_},
                          {"prefix_hash", event.prefix_hash_}});
    }
    return {{"next", page.next_}, {"events", events}};
}

auto books_to_json(const engine_books& books) -> json {
    auto generations = json::array();
    for (const auto& record : books.generations_) {
        const auto* finish = "";
        if (record.finish_) {
            finish = finish_reason_names.name_of(*record.finish_).data();
        }
        generations.push_back({{"request_id", record.request_id_},
                               {"attempt", record.attempt_},
                               {"model", record.model_},
                               {"first_position", record.first_position_},
                               {"tokens", record.tokens_},
                               {"started", record.started_},
                               {"finish", finish}});
    }
    auto orders = json::array();
    for (const auto& order : books.orders_) {
        orders.push_back(order_to_json(order));
    }
    return {{"generations", generations},
            {"orders", orders},
            {"peak_used_bytes", books.peak_used_bytes_},
            {"memory_refusals", books.memory_refusals_},
            {"fencing_refusals", books.fencing_refusals_},
            {"not_resident_refusals", books.not_resident_refusals_},
            {"loads", books.loads_},
            {"unloads", books.unloads_},
            {"cache_hits", books.cache_hits_}};
}

} // namespace basilstream::testing::internal
