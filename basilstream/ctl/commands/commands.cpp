#include "basilstream/ctl/commands/commands.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "basilstream/protocol/resources/resources.hpp"

namespace basilstream::ctl {
namespace {

using protocol::json;

// What a command works with.
struct environment {
    const command_line& line_;
    session& link_;
    std::ostream& out_;
    std::ostream& diagnostics_;
};

constexpr auto poll_pause = milliseconds{100};
constexpr auto watch_pause = milliseconds{1000};
constexpr auto column_gap = std::size_t{2};

auto fail(environment& in, const error& failure) -> exit_status {
    in.diagnostics_ << "basilctl: " << failure.to_string() << "\n";
    switch (failure.code_) {
    case error_code::invalid_argument:
    case error_code::payload_too_large:
        return exit_status::usage;
    case error_code::timeout:
    case error_code::unavailable:
    case error_code::backend_error:
        return exit_status::unreachable;
    default:
        return exit_status::refused;
    }
}

auto usage_error(environment& in, const std::string& text) -> exit_status {
    in.diagnostics_ << "basilctl: " << text << "\n";
    return exit_status::usage;
}

using table = std::vector<std::vector<std::string>>;

// Writes rows in aligned columns; the first is the heading.
auto write_table(std::ostream& out, const table& rows) -> void {
    auto widths = std::vector<std::size_t>{};
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (auto column = std::size_t{0}; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows) {
        auto line = std::string{};
        for (auto column = std::size_t{0}; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size()) {
                line.append(widths[column] + column_gap - row[column].size(),
                            ' ');
            }
        }
        out << line << "\n";
    }
}

auto shown(const json& value) -> std::string {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

auto read_file(const std::string& path) -> result<std::string> {
    auto text = std::ostringstream{};
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    auto file = std::ifstream{path};
    if (!file) {
        return tl::unexpected(error{error_code::invalid_argument,
                                    step::resource, path,
                                    "cannot open the file"});
    }
    text << file.rdbuf();
    return text.str();
}

auto load_resources(environment& in)
    -> result<std::vector<protocol::declared_resource>> {
    const auto text = read_file(in.line_.file_);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return protocol::parse_resources(*text, in.line_.file_);
}

// The smallest offset that every daemon that answers has applied, with how
// many have reached `offset`.
auto count_in_force(environment& in, state::log_offset offset) -> std::size_t {
    auto reached = std::size_t{0};
    for (const auto& daemon : in.link_.ask_daemons("/status")) {
        if (daemon.status_ && daemon.status_->contains("log") &&
            (*daemon.status_)["log"].value("offset", std::uint64_t{0}) >
                offset) {
            ++reached;
        }
    }
    return reached;
}

// Waits until all daemons have applied `offset`, showing progress.
auto wait_in_force(environment& in, state::log_offset offset) -> std::size_t {
    const auto daemons = in.link_.options().admins_.size();
    const auto until = in.link_.now() + in.link_.options().timeout_;
    auto reached = count_in_force(in, offset);
    auto told = reached + 1;
    while (reached < daemons && in.link_.now() < until) {
        if (reached != told) {
            in.diagnostics_ << "in force on " << reached << " of " << daemons
                            << " daemons...\n";
            told = reached;
        }
        std::this_thread::sleep_for(poll_pause);
        reached = count_in_force(in, offset);
    }
    return reached;
}

struct change {
    std::string name_;
    state::record body_;
};

// Appends changes one after the other; stops at the first that is refused.
auto make_changes(environment& in, const std::vector<change>& changes)
    -> exit_status {
    auto last = state::log_offset{0};
    auto report = json::array();
    auto status = exit_status::ok;
    for (const auto& one : changes) {
        const auto answer = in.link_.append(one.body_);
        if (!answer) {
            if (answer.error().run_ == run_status::unknown) {
                in.diagnostics_ << "basilctl: " << one.name_
                                << ": outcome unknown; look with "
                                   "'basilctl get' before trying again\n";
            }
            return fail(in, answer.error());
        }
        const auto valid = answer->outcome_.valid();
        report.push_back({{"name", one.name_},
                          {"accepted", valid},
                          {"generation", valid ? answer->offset_ + 1 : 0},
                          {"reason", state::rejection_names.name_of(
                                         answer->outcome_.reason_)}});
        if (!valid) {
            status = exit_status::refused;
            break;
        }
        last = answer->offset_;
    }
    const auto daemons = in.link_.options().admins_.size();
    auto reached = std::size_t{0};
    if (status == exit_status::ok && daemons > 0 && !changes.empty()) {
        reached = wait_in_force(in, last);
        status = reached < daemons ? exit_status::not_in_force : status;
    }
    if (in.line_.format_ == output_format::json) {
        in.out_ << json{{"changes", report},
                        {"in_force", reached},
                        {"daemons", daemons}}
                       .dump()
                << "\n";
        return status;
    }
    for (const auto& row : report) {
        in.out_ << shown(row["name"]) << ": "
                << (row["accepted"] == true
                        ? "accepted, generation " + shown(row["generation"])
                        : "refused: " + shown(row["reason"]))
                << "\n";
    }
    if (daemons > 0 && status != exit_status::refused) {
        in.out_ << "in force on " << reached << " of " << daemons
                << " daemons\n";
    }
    return status;
}

auto validate(environment& in) -> exit_status {
    const auto resources = load_resources(in);
    if (!resources) {
        return fail(in, resources.error());
    }
    in.out_ << in.line_.file_ << ": " << resources->size()
            << " resources are valid\n";
    return exit_status::ok;
}

auto apply(environment& in) -> exit_status {
    auto resources = load_resources(in);
    if (!resources) {
        return fail(in, resources.error());
    }
    if (const auto read = in.link_.refresh(); !read) {
        return fail(in, read.error());
    }
    auto changes = std::vector<change>{};
    for (auto& declared : *resources) {
        const auto key = state::key_of(declared.resource_);
        const auto* present = in.link_.state().find_resource(key);
        if (!declared.generation_ && present != nullptr &&
            present->resource_ == declared.resource_) {
            continue;
        }
        const auto seen = present != nullptr ? present->generation_ : 0;
        changes.push_back(
            {key.name_,
             state::resource_put{std::move(declared.resource_),
                                 declared.generation_.value_or(seen)}});
    }
    if (changes.empty() && in.line_.format_ == output_format::table) {
        in.out_ << "nothing to change\n";
    }
    return make_changes(in, changes);
}

// Finds "KIND NAME" in the state.
auto find_named(environment& in) -> const state::resource_state* {
    const auto& words = in.line_.arguments_;
    const auto kind = words.size() == 2
                          ? state::resource_kind_names.parse(words[0])
                          : std::nullopt;
    return kind ? in.link_.state().find_resource({*kind, words[1]}) : nullptr;
}

auto remove(environment& in) -> exit_status {
    if (const auto read = in.link_.refresh(); !read) {
        return fail(in, read.error());
    }
    const auto* present = find_named(in);
    if (present == nullptr) {
        return usage_error(in, "delete KIND NAME: no such resource");
    }
    return make_changes(
        in, {{in.line_.arguments_[1],
              state::resource_delete{state::key_of(present->resource_),
                                     present->generation_}}});
}

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
    }
    return reachable == daemons.size() && reachable > 0
               ? exit_status::ok
               : exit_status::unreachable;
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

auto organisation_of(const state::resource& value) -> std::string {
    const auto name = state::full_name(value);
    return name.substr(0, name.find('/'));
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

auto lift(environment& in) -> exit_status {
    if (in.line_.arguments_.size() != 1) {
        return usage_error(in, "lift FINGERPRINT");
    }
    if (const auto read = in.link_.refresh(); !read) {
        return fail(in, read.error());
    }
    const auto& print = in.line_.arguments_[0];
    return make_changes(in, {{print, state::quarantine_lift{print}}});
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

struct command_row {
    const char* name_;
    const char* help_;
    bool needs_file_;
    auto(*run_)(environment& in) -> exit_status;
};

constexpr auto commands = std::array{
    command_row{"apply", "-f FILE: declare resources", true, &apply},
    command_row{"validate", "-f FILE: check a file, change nothing", true,
                &validate},
    command_row{"get", "[KIND [NAME]]: list resources", false, &get},
    command_row{"describe", "KIND NAME: one resource with its status", false,
                &describe},
    command_row{"delete", "KIND NAME: delete a resource", false, &remove},
    command_row{"status", "[--watch]: daemons and models", false, &status},
    command_row{"explain", "NAME: why a model or runner is placed so", false,
                &explain},
    command_row{"endpoints", "the daemons' addresses for callers", false,
                &endpoints},
    command_row{"export", "--organisation NAME: all it needs to leave", false,
                &export_organisation},
    command_row{"lift", "FINGERPRINT: lift a quarantine", false, &lift},
    command_row{"schema", "KIND: print the kind's JSON Schema", false, &schema},
};

} // namespace

auto run_command(const command_line& line, session& link, std::ostream& out,
                 std::ostream& diagnostics) -> exit_status {
    auto in = environment{line, link, out, diagnostics};
    for (const auto& row : commands) {
        if (line.command_ != row.name_) {
            continue;
        }
        if (row.needs_file_ && line.file_.empty()) {
            return usage_error(in, line.command_ + ": -f FILE is required");
        }
        return row.run_(in);
    }
    return usage_error(in, "unknown command: " + line.command_);
}

auto command_help() -> std::string {
    constexpr auto column = std::size_t{12};
    auto text = std::string{};
    for (const auto& row : commands) {
        auto name = std::string{row.name_};
        name.resize(column, ' ');
        text += "  " + name + row.help_ + "\n";
    }
    return text;
}

} // namespace basilstream::ctl
