/// Header fields of requests that one daemon forwards to another one, and of
/// their answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/transport/http_message/http_message.hpp"

namespace basilstream::daemon::internal {

/// What a forwarded request needs besides the fields of its client.
struct forwarding_order {
    /// Key of the receiving daemon's process.
    std::string key_;
    /// Number of backend servers on which it may still run.
    int runs_ = 1;
    /// Configuration by which it was routed.
    std::uint64_t config_version_ = 0;
    /// Software version at which its stream has begun.
    std::optional<std::string> stream_version_ = {};
    /// Organisation as which the sender has authenticated the caller; empty if
    /// it has none.
    std::string organisation_ = {};
};

/// How a forwarded request ended.
enum class forwarding_outcome {
    /// With the answer of a backend server.
    answered,
    /// Refused: it has not run and will not.
    not_run,
    /// As `not_run`, because this daemon does not reach the servers either, or
    /// its configuration is older.
    unreached,
    /// By an error of the daemon; the request may have run.
    failed,
};

inline constexpr auto forwarding_outcome_names =
    name_table<forwarding_outcome, 4>{
        {{{forwarding_outcome::answered, "answered"},
          {forwarding_outcome::not_run, "not_run"},
          {forwarding_outcome::unreached, "unreached"},
          {forwarding_outcome::failed, "failed"}}}};

struct forwarding_result {
    forwarding_outcome kind_ = forwarding_outcome::failed;
    /// Backend server that answered; empty if none did.
    std::string server_ = {};
};

/// Replaces the forwarding fields of a request, which its client may have set.
auto write_forwarding_fields(const forwarding_order& order,
                             transport::header_list& headers) -> void;
/// Reads the fields; nullopt if one is missing or malformed.
[[nodiscard]] auto read_forwarding_fields(const transport::header_list& headers)
    -> std::optional<forwarding_order>;

auto write_forwarding_outcome(const forwarding_result& result,
                              transport::header_list& headers) -> void;
/// Reads the outcome; `failed` if it is missing or malformed.
[[nodiscard]] auto
read_forwarding_outcome(const transport::header_list& headers)
    -> forwarding_result;

auto erase_forwarding_fields(transport::header_list& headers) -> void;

} // namespace basilstream::daemon::internal
