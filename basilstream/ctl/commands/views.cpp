// Commands that show resources, daemons and decisions.
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

#include "basilstream/ctl/commands/internal/environment.hpp"
#include "basilstream/protocol/resources/resources.hpp"

namespace basilstream::ctl::internal {
namespace {

using protocol::json;

constexpr auto watch_pause = milliseconds{1000};

auto described(const state::resource_state& entry) -> json {
    auto document = protocol::to_json(entry.resource_);
    document["generation"] = entry.generation_;
    return document;
}

auto condition_of(const state::machine& state, const std::string& name)
    -> std::optional<state::model_condition> {
    for (const auto& condition : state.conditions()) {
        if (condition.name_ == name) {
            return condition;
        }
    }
    return std::nullopt;
}

auto status_row(const daemon_status& daemon) -> std::vector<std::string> {
    if (!daemon.status_) {
        return {daemon.address_, "-", "unreachable", "-", "-", "-", "-"};
    }
    const auto& status = *daemon.status_;
    auto shards = std::string{};
    for (const auto& [shard, epoch] : status["shards"].items()) {
        shards += (shards.empty() ? "" : ",") + shard;
    }
    return {daemon.address_,
            shown(status["name"]),
            status["ready"] == true ? shown(status["phase"]) : "not ready",
            shown(status["log"]["offset"]),
            std::to_string(status["members"].size()),
            shards.empty() ? "-" : shards,
            shown(status["counters"]["invariant_violations"])};
}

// Sums the counters of organisations over all daemons; the level is the same
// for all.
auto write_organisations(std::ostream& out, const json& statuses) -> void {
    struct organisation_row {
        std::uint64_t admitted_ = 0;
        std::uint64_t units_ = 0;
        std::uint64_t over_limit_ = 0;
        std::uint64_t not_run_ = 0;
        json level_;
    };
    auto sums = std::map<std::string, organisation_row>{};
    for (const auto& status : statuses) {
        for (const auto& entry : status.value("organisations", json::array())) {
            auto& row = sums[entry.value("name", std::string{})];
            row.admitted_ += entry.value("admitted", std::uint64_t{0});
            row.units_ += entry.value("units", std::uint64_t{0});
            row.over_limit_ +=
                entry.value("refused_allowance", std::uint64_t{0});
            row.not_run_ += entry.value("refused_capacity", std::uint64_t{0});
            row.level_ = entry.value("level", json{});
        }
    }
    if (sums.empty()) {
        return;
    }
    auto rows = table{{"ORGANISATION", "ADMITTED", "UNITS", "OVER LIMIT",
                       "NOT RUN", "LEVEL"}};
    for (const auto& [name, row] : sums) {
        rows.push_back(
            {name, std::to_string(row.admitted_), std::to_string(row.units_),
             std::to_string(row.over_limit_), std::to_string(row.not_run_),
             row.level_.is_null() ? "-" : shown(row.level_)});
    }
    out << "\n";
    write_table(out, rows);
}

auto show_status(environment& in) -> exit_status {
    const auto daemons = in.link_.ask_daemons("/status");
    auto reachable = std::size_t{0};
    auto list = json::array();
    auto rows = table{{"ADMIN", "NAME", "PHASE", "OFFSET", "MEMBERS", "SHARDS",
                       "VIOLATIONS"}};
    const json* newest = nullptr;
    for (const auto& daemon : daemons) {
        rows.push_back(status_row(daemon));
        if (daemon.status_) {
            ++reachable;
            list.push_back(*daemon.status_);
            newest = &*daemon.status_;
        }
    }
    if (in.line_.format_ == output_format::json) {
        in.out_ << list.dump() << "\n";
    } else {
        write_table(in.out_, rows);
    }
    if (in.line_.format_ == output_format::table && newest != nullptr) {
        auto models = table{{"MODEL", "READY", "ZONES", "REASON"}};
        for (const auto& model : (*newest)["models"]) {
            models.push_back({shown(model["name"]),
                              shown(model["ready_replicas"]) + "/" +
                                  shown(model["wanted_replicas"]),
                              shown(model["zones"]), shown(model["reason"])});
        }
        in.out_ << "\n";
        write_table(in.out_, models);
        write_organisations(in.out_, list);
    }
    return reachable == daemons.size() && reachable > 0
               ? exit_status::ok
               : exit_status::unreachable;
}

// Values by name and labels out of Prometheus text. Histograms show by sum and
// count.
auto plain_values(const std::string& text)
    -> std::map<std::string, std::string> {
    auto values = std::map<std::string, std::string>{};
    auto lines = std::istringstream{text};
    for (auto line = std::string{}; std::getline(lines, line);) {
        const auto gap = line.rfind(' ');
        if (!line.starts_with('#') && gap != std::string::npos &&
            line.find("_bucket{") == std::string::npos) {
            values[line.substr(0, gap)] = line.substr(gap + 1);
        }
    }
    return values;
}

auto organisation_of(const state::resource& value) -> std::string {
    const auto name = state::full_name(value);
    return name.substr(0, name.find('/'));
}

} // namespace

auto get(environment& in) -> exit_status {
    if (const auto read = in.link_.refresh(); !read) {
        return fail(in, read.error());
    }
    const auto& words = in.line_.arguments_;
    auto list = json::array();
    auto rows = table{{"KIND", "NAME", "GENERATION", "READY", "REASON"}};
    for (const auto* entry : in.link_.state().resources()) {
        const auto kind = std::string{state::resource_kind_names.name_of(
            state::kind_of(entry->resource_))};
        const auto name = state::full_name(entry->resource_);
        if ((!words.empty() && words[0] != kind) ||
            (words.size() > 1 && words[1] != name)) {
            continue;
        }
        list.push_back(described(*entry));
        const auto condition = condition_of(in.link_.state(), name);
        rows.push_back({kind, name, std::to_string(entry->generation_),
                        condition
                            ? std::to_string(condition->ready_replicas_) + "/" +
                                  std::to_string(condition->wanted_replicas_)
                            : "-",
                        condition ? condition->reason_ : ""});
    }
    if (in.line_.format_ == output_format::json) {
        in.out_ << list.dump(2) << "\n";
    } else {
        write_table(in.out_, rows);
    }
    return exit_status::ok;
}

auto describe(environment& in) -> exit_status {
    if (const auto read = in.link_.refresh(); !read) {
        return fail(in, read.error());
    }
    const auto* present = find_named(in);
    if (present == nullptr) {
        return usage_error(in, "describe KIND NAME: no such resource");
    }
    auto document = described(*present);
    const auto name = state::full_name(present->resource_);
    if (const auto condition = condition_of(in.link_.state(), name)) {
        document["status"] = {
            {"observed_generation", condition->generation_},
            {"reachable", condition->reachable_},
            {"ready_replicas", condition->ready_replicas_},
            {"loading_replicas", condition->loading_replicas_},
            {"wanted_replicas", condition->wanted_replicas_},
            {"zones", condition->zones_},
            {"reason", condition->reason_}};
    }
    auto placements = json::array();
    for (const auto& placed : in.link_.state().placements(name)) {
        placements.push_back(
            {{"runner", placed.runner_->name_},
             {"zone", placed.runner_->zone_},
             {"resident", state::to_string(placed.key_)},
             {"state", state::resident_state_names.name_of(placed.state_)}});
    }
    if (!placements.empty()) {
        document["placements"] = placements;
    }
    in.out_ << document.dump(2) << "\n";
    return exit_status::ok;
}

auto status(environment& in) -> exit_status {
    if (in.link_.options().admins_.empty()) {
        return usage_error(in, "status: --admin is required");
    }
    while (in.line_.watch_) {
        in.out_ << "\x1b[2J\x1b[H";
        show_status(in);
        in.out_.flush();
        std::this_thread::sleep_for(watch_pause);
    }
    return show_status(in);
}

auto explain(environment& in) -> exit_status {
    if (in.line_.arguments_.size() != 1) {
        return usage_error(in, "explain NAME: a model or a runner");
    }
    for (const auto& daemon :
         in.link_.ask_daemons("/explain?name=" + in.line_.arguments_[0])) {
        if (!daemon.status_ || (*daemon.status_)["planner"] != true) {
            continue;
        }
        if (in.line_.format_ == output_format::json) {
            in.out_ << daemon.status_->dump() << "\n";
            return exit_status::ok;
        }
        in.out_ << "planned by " << daemon.address_ << "\n";
        for (const auto& line : (*daemon.status_)["lines"]) {
            in.out_ << shown(line) << "\n";
        }
        return exit_status::ok;
    }
    in.diagnostics_ << "basilctl: no daemon owns a shard now\n";
    return exit_status::unreachable;
}

auto metrics(environment& in) -> exit_status {
    if (in.link_.options().admins_.empty()) {
        return usage_error(in, "metrics: --admin is required");
    }
    auto by_daemon = std::vector<std::map<std::string, std::string>>{};
    auto names = std::set<std::string>{};
    auto rows = table{{"METRIC"}};
    auto all_answer = true;
    for (const auto& [address, text] :
         in.link_.ask_daemons_for_text("/metrics")) {
        rows[0].push_back(address);
        by_daemon.push_back(text ? plain_values(*text)
                                 : std::map<std::string, std::string>{});
        all_answer = all_answer && text;
        for (const auto& [name, value] : by_daemon.back()) {
            names.insert(name);
        }
    }
    auto document = json::object();
    for (const auto& name : names) {
        auto row = std::vector<std::string>{name};
        for (auto& values : by_daemon) {
            const auto value = values.find(name);
            row.push_back(value == values.end() ? "-" : value->second);
            document[name].push_back(row.back());
        }
        rows.push_back(std::move(row));
    }
    if (in.line_.format_ == output_format::json) {
        in.out_ << document.dump() << "\n";
    } else {
        write_table(in.out_, rows);
    }
    return all_answer ? exit_status::ok : exit_status::unreachable;
}

auto endpoints(environment& in) -> exit_status {
    for (const auto& daemon : in.link_.ask_daemons("/status")) {
        if (!daemon.status_) {
            continue;
        }
        if (in.line_.format_ == output_format::json) {
            in.out_ << (*daemon.status_)["members"].dump() << "\n";
            return exit_status::ok;
        }
        auto rows = table{{"ADDRESS", "NAME", "ZONE", "STATE"}};
        for (const auto& member : (*daemon.status_)["members"]) {
            rows.push_back({shown(member["caller_address"]),
                            shown(member["name"]), shown(member["zone"]),
                            shown(member["state"])});
        }
        write_table(in.out_, rows);
        return exit_status::ok;
    }
    in.diagnostics_ << "basilctl: no daemon answers\n";
    return exit_status::unreachable;
}

auto export_organisation(environment& in) -> exit_status {
    if (in.line_.organisation_.empty()) {
        return usage_error(in, "export: --organisation NAME is required");
    }
    if (const auto read = in.link_.refresh(); !read) {
        return fail(in, read.error());
    }
    auto list = json::array();
    for (const auto* entry : in.link_.state().resources()) {
        if (organisation_of(entry->resource_) == in.line_.organisation_) {
            list.push_back(protocol::to_json(entry->resource_));
        }
    }
    if (list.empty()) {
        return usage_error(in, "export: no such organisation");
    }
    in.out_ << list.dump(2) << "\n";
    return exit_status::ok;
}

auto schema(environment& in) -> exit_status {
    const auto kind =
        in.line_.arguments_.size() == 1
            ? state::resource_kind_names.parse(in.line_.arguments_[0])
            : std::nullopt;
    if (!kind) {
        return usage_error(in, "schema KIND: organisation, model, adapter or "
                               "service");
    }
    in.out_ << protocol::resource_schema(*kind) << "\n";
    return exit_status::ok;
}

} // namespace basilstream::ctl::internal
