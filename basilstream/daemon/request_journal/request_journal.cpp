#include "basilstream/daemon/request_journal/request_journal.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilstream::daemon {
namespace {

auto name_or_none(const std::string& name) -> std::string {
    return name.empty() ? "none" : name;
}

} // namespace

auto describe(const request_record& entry, time_point now)
    -> std::vector<std::string> {
    const auto age = std::chrono::duration_cast<seconds>(now - entry.ended_at_);
    auto lines = std::vector<std::string>{
        "request " + entry.request_id_ + " " +
            std::string{request_outcome_names.name_of(entry.outcome_)} + " " +
            std::to_string(age.count()) + " s ago after " +
            std::to_string(entry.duration_.count()) + " ms",
        "route " + entry.route_ + ", service " + entry.service_ + ", model " +
            name_or_none(entry.model_) + ", adapter " +
            name_or_none(entry.adapter_) + ", configuration " +
            std::to_string(entry.config_version_),
        "attempts " + std::to_string(entry.attempts_) +
            ", last backend server " + name_or_none(entry.backend_) +
            ", requests there when chosen " +
            std::to_string(std::lround(entry.backend_load_)) +
            ", events passed on " + std::to_string(entry.events_)};
    if (entry.outcome_ == request_outcome::answered) {
        lines.push_back("status " + std::to_string(entry.status_) +
                        " of the backend server passed on");
        return lines;
    }
    lines.push_back("cause " +
                    std::string{error_code_names.name_of(entry.code_)} +
                    " at step " + std::string{step_names.name_of(entry.step_)} +
                    ": " + entry.detail_ + "; run " +
                    std::string{run_status_names.name_of(entry.run_)} +
                    "; further attempt " + std::string{entry.retry_});
    return lines;
}

auto request_journal::add(request_record entry) -> void {
    auto& records =
        entry.outcome_ == request_outcome::answered ? answered_ : unanswered_;
    if (records.size() == capacity_) {
        records.pop_front();
    }
    records.push_back(std::move(entry));
}

auto request_journal::find(std::string_view request_id) const
    -> std::vector<request_record> {
    auto found = std::vector<request_record>{};
    for (const auto* const records : {&answered_, &unanswered_}) {
        std::copy_if(records->begin(), records->end(),
                     std::back_inserter(found),
                     [&](const request_record& entry) {
                         return entry.request_id_ == request_id;
                     });
    }
    std::sort(found.begin(), found.end(),
              [](const auto& left, const auto& right) {
                  return left.ended_at_ < right.ended_at_;
              });
    return found;
}

} // namespace basilstream::daemon
