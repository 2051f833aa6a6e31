#include "basilstream/daemon/relay_status/relay_status.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::daemon {
namespace {

using coordination::backend_server;
using coordination::shared_topic;
using protocol::json;

// Number of ready replicas of a model, and their availability zones.
struct model_replicas {
    int ready_ = 0;
    std::set<std::string> zones_;
};

// Returns -1 if `since` is empty.
auto seconds_since(std::optional<time_point> since, time_point now) -> double {
    return since ? std::chrono::duration<double>(now - *since).count() : -1.0;
}

auto adapters_text(const coordination::backend_model& model) -> std::string {
    auto text = std::string{};
    for (const auto& adapter : model.adapters_) {
        text.append(text.empty() ? " with adapters " : ", ").append(adapter);
    }
    return text;
}

} // namespace

auto relay_status::add_gauges(transport::metrics_registry& metrics) const
    -> void {
    const auto& parts = parts_;
    const auto add = [&](const char* name, const char* help, auto value) {
        metrics.add_gauge(name, help, [value = std::move(value)] {
            return static_cast<double>(value());
        });
    };
    add("basilstream_log_lines_dropped",
        "Log lines dropped because the queue was full.",
        [parts] { return parts.log_.dropped(); });
    add("basilstream_relay_in_progress", "Requests in progress.",
        [parts] { return parts.relay_.in_progress(); });
    add("basilstream_backend_servers", "Backend servers known.",
        [parts] { return parts.watch_.backends().servers().size(); });
    add("basilstream_daemons", "Daemons known.", [parts] {
        return parts.cluster_ ? parts.cluster_->members().size() : 0U;
    });
    add("basilstream_placement_epoch",
        "Epoch of the placement lease, -1 if not held.", [parts] {
            const auto epoch = parts.models_.epoch();
            return epoch ? static_cast<double>(*epoch) : -1.0;
        });
    add("basilstream_placement_work_unevenness",
        "Mean expected work of the busiest tenth of the runners over that of "
        "all, 0 if the placement lease is not held.",
        [parts] { return parts.models_.work_unevenness(); });
    add("basilstream_backend_connections_opened",
        "Connections opened to backend servers.",
        [parts] { return parts.relay_.backend_pool().statistics().opened_; });
    add("basilstream_backend_connections_reused",
        "Requests sent on kept connections.",
        [parts] { return parts.relay_.backend_pool().statistics().reused_; });
    add_quarantine_gauges(metrics);
    add_prompt_quarantine_gauges(metrics);
    const auto age = [parts](shared_topic topic) {
        return [parts, topic] {
            return seconds_since(parts.watch_.last_read(topic),
                                 parts.clock_.now());
        };
    };
    add("basilstream_config_age_seconds",
        "Time since the configuration was last read.",
        age(shared_topic::configuration));
    add("basilstream_backends_age_seconds",
        "Time since the backend servers were last read.",
        age(shared_topic::backends));
    add("basilstream_quarantine_age_seconds",
        "Time since the quarantine records were last read.",
        age(shared_topic::quarantine));
}

auto relay_status::add_quarantine_gauges(
    transport::metrics_registry& metrics) const -> void {
    using coordination::quarantine_statistics;
    struct gauge {
        const char* name_;
        const char* help_;
        std::uint64_t quarantine_statistics::*value_;
    };
    constexpr auto gauges = std::array{
        gauge{"basilstream_quarantine_refusals",
              "Attempts refused because the request is quarantined.",
              &quarantine_statistics::refusals_},
        gauge{"basilstream_quarantine_lost_runs",
              "Attempts whose connection was lost.",
              &quarantine_statistics::lost_runs_},
        gauge{"basilstream_quarantine_expired_runs",
              "Lost attempts that expired without a known crash.",
              &quarantine_statistics::expired_runs_},
        gauge{"basilstream_quarantine_crashes",
              "Crashes counted, once for each request on the server.",
              &quarantine_statistics::crashes_},
        gauge{"basilstream_quarantine_duplicate_crashes",
              "Reports of crashes that were already counted.",
              &quarantine_statistics::duplicate_crashes_},
        gauge{"basilstream_quarantine_clearances",
              "Requests cleared by a complete answer.",
              &quarantine_statistics::clearances_},
        gauge{"basilstream_quarantine_marks", "Quarantine marks set.",
              &quarantine_statistics::marks_},
        gauge{"basilstream_quarantine_trials",
              "Attempts sent after a quarantine mark had expired.",
              &quarantine_statistics::trials_}};
    for (const auto& entry : gauges) {
        metrics.add_gauge(
            entry.name_, entry.help_, [parts = parts_, value = entry.value_] {
                return static_cast<double>(
                    parts.relay_.crash_quarantine().statistics().*value);
            });
    }
}

auto relay_status::add_prompt_quarantine_gauges(
    transport::metrics_registry& metrics) const -> void {
    using coordination::prompt_quarantine_statistics;
    struct gauge {
        const char* name_;
        const char* help_;
        std::uint64_t prompt_quarantine_statistics::*value_;
    };
    constexpr auto gauges = std::array{
        gauge{"basilstream_prompt_quarantine_crashes",
              "Possible crashes of servers with prompt parts in flight.",
              &prompt_quarantine_statistics::crashes_},
        gauge{"basilstream_prompt_quarantine_refutations",
              "Possible crashes whose servers proved to live.",
              &prompt_quarantine_statistics::refutations_},
        gauge{"basilstream_prompt_quarantine_clearances",
              "Suspected parts that complete answers cleared.",
              &prompt_quarantine_statistics::clearances_},
        gauge{"basilstream_prompt_quarantine_marks", "Parts held.",
              &prompt_quarantine_statistics::marks_},
        gauge{"basilstream_prompt_quarantine_releases", "Parts released.",
              &prompt_quarantine_statistics::releases_},
        gauge{"basilstream_prompt_quarantine_trials",
              "Attempts sent with a held part.",
              &prompt_quarantine_statistics::trials_},
        gauge{"basilstream_prompt_quarantine_refusals",
              "Requests refused for a held part.",
              &prompt_quarantine_statistics::refusals_}};
    for (const auto& entry : gauges) {
        metrics.add_gauge(
            entry.name_, entry.help_, [parts = parts_, value = entry.value_] {
                return static_cast<double>(
                    parts.relay_.prompt_quarantine().statistics().*value);
            });
    }
}

auto relay_status::ready() const -> bool {
    return parts_.listeners_.is_open(listener_kind::callers) &&
           parts_.relay_.configured() && parts_.watch_.has_listed_backends() &&
           parts_.watch_.last_read(shared_topic::quarantine) &&
           parts_.drain_.phase() == coordination::drain_phase::serving;
}

auto relay_status::status() const -> json {
    const auto now = parts_.clock_.now();
    auto shards = json::object();
    if (const auto epoch = parts_.models_.epoch()) {
        shards["placement"] = *epoch;
    }
    const auto connections = parts_.relay_.backend_pool().statistics();
    auto quarantine = json::array();
    for (const auto& entry : parts_.relay_.crash_quarantine().list(now)) {
        quarantine.push_back(
            {{"fingerprint", entry.fingerprint_.to_string()},
             {"quarantined",
              entry.verdict_ == coordination::quarantine_verdict::quarantined},
             {"runners", entry.runners_}});
    }
    auto held_parts = json::array();
    for (const auto& entry : parts_.relay_.prompt_quarantine().list()) {
        held_parts.push_back({{"part", coordination::format_part(entry.part_)},
                              {"ambiguous", entry.ambiguous_},
                              {"failed_trials", entry.failed_trials_}});
    }
    auto listeners = json::object();
    for (const auto& entry : parts_.listeners_.status()) {
        listeners[std::string{listener_kind_names.name_of(entry.kind_)}] = {
            {"address", entry.address_},
            {"attempts", entry.attempts_},
            {"detail", entry.detail_}};
    }
    auto answer =
        json{{"name", name_},
             {"zone", zone_},
             {"ready", ready()},
             {"phase",
              coordination::drain_phase_names.name_of(parts_.drain_.phase())},
             {"log",
              {{"offset", parts_.relay_.config_version()},
               {"config_age_s",
                seconds_since(
                    parts_.watch_.last_read(shared_topic::configuration), now)},
               {"backends_age_s",
                seconds_since(parts_.watch_.last_read(shared_topic::backends),
                              now)}}},
             {"listeners", listeners},
             {"shards", shards},
             {"owner", parts_.models_.owner()},
             {"members", members()},
             {"models", models()},
             {"quarantine", quarantine},
             {"held_prompt_parts", held_parts},
             {"counters",
              {{"in_progress", parts_.relay_.in_progress()},
               {"backend_servers", parts_.watch_.backends().servers().size()},
               {"connections_opened", connections.opened_},
               {"connections_reused", connections.reused_},
               {"log_lines_dropped", parts_.log_.dropped()},
               {"invariant_violations", invariant_violations()}}}};
    // Left out without organisations, so that the status is as before.
    if (auto list = organisations(); !list.empty()) {
        answer["organisations"] = std::move(list);
    }
    return answer;
}

auto relay_status::organisations() const -> json {
    auto list = json::array();
    for (const auto& [name, counters] : parts_.relay_.usage().counters()) {
        auto entry = json{{"name", name},
                          {"admitted", counters.admitted_.value()},
                          {"units", counters.units_.value()}};
        for (const auto& row : refusal_kind_names.rows_) {
            const auto kind = row.first;
            entry["refused_" + std::string{row.second}] =
                counters.refused_.at(static_cast<std::size_t>(kind))->value();
        }
        const auto level = parts_.allowances_.level_of(name);
        entry["level"] = level ? json(std::llround(*level)) : json(nullptr);
        list.push_back(std::move(entry));
    }
    return list;
}

auto relay_status::members() const -> json {
    auto list = json::array();
    if (!parts_.cluster_) {
        return list;
    }
    for (const auto& member : parts_.cluster_->members()) {
        list.push_back(
            {{"name", member.name_},
             {"zone", member.zone_},
             {"state", coordination::member_state_names.name_of(member.state_)},
             {"caller_address", member.caller_address_}});
    }
    return list;
}

auto relay_status::models() const -> json {
    auto replicas_by_model = std::map<std::string, model_replicas>{};
    for (const auto& server : parts_.models_.servers()) {
        for (const auto& model : server.models_) {
            auto& replicas = replicas_by_model[model.name_];
            ++replicas.ready_;
            replicas.zones_.insert(server.zone_);
        }
    }
    auto list = json::array();
    for (const auto& [name, replicas] : replicas_by_model) {
        list.push_back({{"name", name},
                        {"ready_replicas", replicas.ready_},
                        {"wanted_replicas", "-"},
                        {"zones", replicas.zones_},
                        {"reason", "placed by demand"}});
    }
    return list;
}

auto relay_status::explain_model(const std::string& name) const
    -> std::vector<std::string> {
    auto lines = std::vector<std::string>{};
    for (const auto& server : parts_.models_.servers()) {
        for (const auto& model : server.models_) {
            if (model.name_ == name) {
                lines.push_back("on " + server.id_ + " in " + server.zone_ +
                                (server.draining_ ? ", leaving" : "") +
                                adapters_text(model));
            }
        }
    }
    const auto demand = parts_.models_.describe_demand(name);
    lines.insert(lines.end(), demand.begin(), demand.end());
    return lines;
}

auto relay_status::explain_backend(const backend_server& server) const
    -> std::vector<std::string> {
    auto lines = std::vector<std::string>{
        "service " + server.service_ + " at " + server.address_ + " in " +
            server.zone_ + ", slots " + std::to_string(server.slots_) +
            (server.draining_ ? ", leaving" : "") +
            (server.software_version_.empty()
                 ? ""
                 : ", version " + server.software_version_),
        "requests of this daemon on it: " +
            std::to_string(parts_.relay_.local_loads()[server.id_])};
    for (const auto& model : server.models_) {
        lines.push_back("holds " + model.name_ + adapters_text(model));
    }
    return lines;
}

auto relay_status::explain(const std::string& name) const -> json {
    auto lines = std::vector<std::string>{};
    const auto add = [&](const std::vector<std::string>& new_lines) {
        lines.insert(lines.end(), new_lines.begin(), new_lines.end());
    };
    for (const auto& entry : parts_.relay_.journal().find(name)) {
        add(describe(entry, parts_.clock_.now()));
    }
    for (const auto& server : parts_.models_.servers()) {
        if (server.id_ == name) {
            add(explain_backend(server));
        }
    }
    add(explain_model(name));
    return {{"name", name}, {"planner", !lines.empty()}, {"lines", lines}};
}

} // namespace basilstream::daemon
