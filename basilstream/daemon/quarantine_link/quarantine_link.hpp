/// Connects the quarantine of this daemon to its peers: gossips suspicions,
/// replicates marks through the control log, and requests permission for
/// isolated runs from the arbiter.
///
///     auto link = quarantine_link{context, settings, quarantine, peers, log};
///     link.request_isolation(
///         run, [](const std::optional<error>& refusal) { ... });
///     link.tick();
///
/// Not thread-safe: use on the control thread only.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/control_log/control_log.hpp"
#include "basilstream/daemon/settings/settings.hpp"

namespace basilstream::daemon {

/// Executes the events that the quarantine emits and forwards messages of peers
/// and records of the control log to it.
class quarantine_link {
public:
    /// Receives the error of a refused request, or `nullopt` if it is granted.
    using answer_handler = std::function<void(const std::optional<error>&)>;

    quarantine_link(const context& base, const daemon_settings& settings,
                    coordination::quarantine& quarantine, cluster& peers,
                    control_log& log);

    /// Requests permission from the arbiter to run a suspected request in
    /// isolation. No answer within the time-out counts as a refusal with
    /// `error_code::unavailable`.
    auto request_isolation(const coordination::fingerprint_run& run,
                           answer_handler answer) -> void;
    /// Handles pending events and expires unanswered requests; call every few
    /// milliseconds.
    auto tick() -> void;
    /// Applies all marks of the control log's state again, after that state was
    /// replaced.
    auto reload_marks() -> void;

private:
    struct pending_request {
        answer_handler on_answer_;
        time_point deadline_;
    };

    auto handle_event(const coordination::suspicion& event) -> void;
    auto handle_event(const coordination::clearance& event) -> void;
    auto handle_event(const coordination::quarantine_mark& event) -> void;
    auto handle_event(const coordination::quarantine_release& event) -> void;
    auto handle_event(const coordination::isolation_request& event) -> void;
    auto handle_event(const coordination::isolation_release& event) -> void;
    auto on_message(const std::string& sender, const std::string& bytes)
        -> void;
    auto on_applied(const coordination::applied_record& record) -> void;
    auto on_isolation_answer(const coordination::isolation_answer& answer)
        -> void;
    auto apply_mark(const state::quarantine_mark& mark) -> void;

    context base_;
    std::string name_;
    coordination::quarantine& quarantine_;
    cluster& peers_;
    control_log& control_log_;
    std::map<std::string, pending_request> pending_requests_;
};

} // namespace basilstream::daemon
