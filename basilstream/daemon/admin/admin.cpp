#include "basilstream/daemon/admin/admin.hpp"

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::daemon {
namespace {

using protocol::json;

auto send(const transport::http_exchange_ptr& reply, int status,
          const json& document) -> void {
    reply->respond(
        status, {{"Content-Type", "application/json"}},
        document.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace

admin::admin(const context& base, admin_parts parts)
    : base_{base}, parts_{parts} {}

auto admin::handler() -> transport::http_handler {
    return [this](transport::http_request request,
                  transport::http_exchange_ptr reply) {
        if (request.method_ != "GET") {
            send(reply, http_status(error_code::invalid_argument),
                 {{"error",
                   "only GET is supported; make changes with basilctl"}});
            return;
        }
        if (request.path_ == "/metrics") {
            reply->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                           parts_.telemetry_.registry_.prometheus_text());
            return;
        }
        base_.on_control([this, request = std::move(request), reply] {
            answer(request, reply);
        });
    };
}

auto admin::answer(const transport::http_request& request,
                   const transport::http_exchange_ptr& reply) -> void {
    if (request.path_ == "/status") {
        send(reply, 200, status());
    } else if (request.path_ == "/explain") {
        const auto name = std::string{request.query("name")};
        send(reply, 200,
             {{"name", name},
              {"planner", !parts_.log_.held().empty()},
              {"lines", parts_.placement_.explain(name)}});
    } else {
        send(reply, http_status(error_code::not_found),
             {{"error", "no such path"}});
    }
}

auto admin::status() const -> json {
    auto shards = json::object();
    for (const auto& [shard, epoch] : parts_.log_.held()) {
        shards[shard] = epoch;
    }
    const auto& state = parts_.log_.state();
    return {{"name", parts_.settings_.name_},
            {"zone", parts_.settings_.zone_},
            {"ready", parts_.api_.ready()},
            {"phase",
             coordination::drain_phase_names.name_of(parts_.drain_.phase())},
            {"log",
             {{"phase",
               coordination::replica_phase_names.name_of(parts_.log_.phase())},
              {"offset", state.next_offset()},
              {"current", parts_.log_.current()},
              {"digest", state.digest()}}},
            {"shards", shards},
            {"members", members()},
            {"models", models()},
            {"runners", runners()},
            {"quarantine", quarantined()},
            {"counters", counters()}};
}

auto admin::members() const -> json {
    auto list = json::array();
    for (const auto& member : parts_.cluster_.members()) {
        list.push_back(
            {{"name", member.name_},
             {"zone", member.zone_},
             {"state", coordination::member_state_names.name_of(member.state_)},
             {"caller_address", member.caller_address_}});
    }
    return list;
}

auto admin::models() const -> json {
    auto list = json::array();
    for (const auto& condition : parts_.log_.state().conditions()) {
        list.push_back({{"name", condition.name_},
                        {"generation", condition.generation_},
                        {"reachable", condition.reachable_},
                        {"ready_replicas", condition.ready_replicas_},
                        {"loading_replicas", condition.loading_replicas_},
                        {"wanted_replicas", condition.wanted_replicas_},
                        {"zones", condition.zones_},
                        {"reason", condition.reason_}});
    }
    return list;
}

auto admin::runners() const -> json {
    auto list = json::array();
    for (const auto& [name, runner] : parts_.fleet_.runners()) {
        const auto* registered_runner = parts_.log_.state().find_runner(name);
        list.push_back(
            {{"name", name},
             {"address", runner.vm_.address_},
             {"zone", runner.vm_.zone_},
             {"reachable", runner.reachable_},
             {"leaving", runner.leaving_},
             {"memory_bytes", registered_runner != nullptr
                                  ? registered_runner->memory_bytes_
                                  : 0},
             {"committed_bytes", registered_runner != nullptr
                                     ? registered_runner->committed_bytes_
                                     : 0},
             {"residents", registered_runner != nullptr
                               ? registered_runner->residents_.size()
                               : 0}});
    }
    return list;
}

auto admin::quarantined() const -> json {
    auto list = json::array();
    for (const auto& entry : parts_.quarantine_.list(base_.clock_.now())) {
        list.push_back(
            {{"fingerprint", entry.fingerprint_.to_string()},
             {"quarantined",
              entry.verdict_ == coordination::quarantine_verdict::quarantined},
             {"runners", entry.runners_},
             {"remaining_s",
              std::chrono::duration_cast<seconds>(entry.remaining_).count()}});
    }
    return list;
}

auto admin::counters() const -> json {
    const auto claims = parts_.claims_.statistics();
    const auto cluster_statistics = parts_.cluster_.statistics();
    return {{"open_completions", parts_.completions_.open()},
            {"open_service_requests", parts_.services_.open()},
            {"queued", parts_.admission_.queue_size()},
            {"orders_sent", parts_.placement_.orders_sent()},
            {"claims_owned", claims.shards_owned_},
            {"claim_appends", claims.appends_},
            {"claim_records", claims.records_},
            {"peer_messages_sent", cluster_statistics.messages_sent_},
            {"peer_bytes_sent", cluster_statistics.bytes_sent_},
            {"invariant_violations", invariant_violations()}};
}

} // namespace basilstream::daemon
