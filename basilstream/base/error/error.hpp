/// Typed errors that carry the step and the peer at which they arose.
///
///     auto open() -> result<int> {
///         return tl::unexpected(error{error_code::unavailable, step::log,
///                                     "127.0.0.1:7000", "connect refused"});
///     }
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream {

/// Step of a request or of a control action at which an error arose.
enum class step {
    settings,
    caller,
    authentication,
    admission,
    claim,
    routing,
    attempt,
    runner,
    service,
    log,
    vm_list,
    peer,
    state,
    order,
    resource,
};

/// Whether the work of a refused or failed request has run on any backend
/// server. `not_run` promises that it has not run and never will.
enum class run_status { not_run, unknown, ran };

/// Stable error codes; their names appear in the caller API.
enum class error_code {
    invalid_argument,
    unauthenticated,
    not_found,
    conflict,
    payload_too_large,
    timeout,
    deadline_unreachable,
    overloaded,
    unavailable,
    not_ready,
    quarantined,
    outcome_unknown,
    duplicate_in_progress,
    answer_expired,
    idempotency_mismatch,
    incomplete_answer,
    crossed_answer,
    stale_epoch,
    stale_generation,
    capacity_exceeded,
    backend_error,
    cancelled,
    internal,
};

/// Names of steps, as they appear in logs, traces and the caller API.
inline constexpr auto step_names =
    name_table<step, 15>{{{{step::settings, "settings"},
                           {step::caller, "caller"},
                           {step::authentication, "authentication"},
                           {step::admission, "admission"},
                           {step::claim, "claim"},
                           {step::routing, "routing"},
                           {step::attempt, "attempt"},
                           {step::runner, "runner"},
                           {step::service, "service"},
                           {step::log, "log"},
                           {step::vm_list, "vm_list"},
                           {step::peer, "peer"},
                           {step::state, "state"},
                           {step::order, "order"},
                           {step::resource, "resource"}}}};

/// Names of run statuses, as they appear in the caller API.
inline constexpr auto run_status_names =
    name_table<run_status, 3>{{{{run_status::not_run, "not_run"},
                                {run_status::unknown, "unknown"},
                                {run_status::ran, "ran"}}}};

/// Names of error codes, as they appear in the caller API.
inline constexpr auto error_code_names = name_table<error_code, 23>{
    {{{error_code::invalid_argument, "invalid_argument"},
      {error_code::unauthenticated, "unauthenticated"},
      {error_code::not_found, "not_found"},
      {error_code::conflict, "conflict"},
      {error_code::payload_too_large, "payload_too_large"},
      {error_code::timeout, "timeout"},
      {error_code::deadline_unreachable, "deadline_unreachable"},
      {error_code::overloaded, "overloaded"},
      {error_code::unavailable, "unavailable"},
      {error_code::not_ready, "not_ready"},
      {error_code::quarantined, "quarantined"},
      {error_code::outcome_unknown, "outcome_unknown"},
      {error_code::duplicate_in_progress, "duplicate_in_progress"},
      {error_code::answer_expired, "answer_expired"},
      {error_code::idempotency_mismatch, "idempotency_mismatch"},
      {error_code::incomplete_answer, "incomplete_answer"},
      {error_code::crossed_answer, "crossed_answer"},
      {error_code::stale_epoch, "stale_epoch"},
      {error_code::stale_generation, "stale_generation"},
      {error_code::capacity_exceeded, "capacity_exceeded"},
      {error_code::backend_error, "backend_error"},
      {error_code::cancelled, "cancelled"},
      {error_code::internal, "internal"}}}};

/// An error: what went wrong, at which step, with which peer. A value type.
struct error {
    error_code code_ = error_code::internal;
    step step_ = step::caller;
    /// Address or name of the other side; empty when there is none.
    std::string peer_ = {};
    /// One sentence for a person; not stable.
    std::string detail_ = {};
    run_status run_ = run_status::not_run;
    /// When a retry makes sense; nothing when it does not.
    std::optional<std::chrono::milliseconds> retry_after_ = {};

    /// Returns "code at step (peer): detail" for logs.
    [[nodiscard]] auto to_string() const -> std::string;
};

/// A value or an error.
template <class Value>
using result = tl::expected<Value, error>;

/// Returns the HTTP status code under which `code` reaches a caller.
[[nodiscard]] auto http_status(error_code code) -> int;

} // namespace basilstream
