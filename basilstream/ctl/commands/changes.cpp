// Commands that change resources.
#include <iostream>
#include <thread>

#include "basilstream/ctl/commands/internal/environment.hpp"
#include "basilstream/protocol/resources/resources.hpp"

namespace basilstream::ctl::internal {
namespace {

using protocol::json;

constexpr auto poll_pause = milliseconds{100};

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

} // namespace

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

} // namespace basilstream::ctl::internal
