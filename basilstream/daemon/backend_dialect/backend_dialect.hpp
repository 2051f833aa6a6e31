/// How relayed requests and backend servers' answers are annotated. The relay
/// decides by these types; an adapter for the installation reads and writes
/// the header fields that carry them.
///
///     auto request = dialect.read(std::move(message));
///     auto headers = dialect.request_headers(*request, attempt);
///     switch (dialect.judge(head, request->id_)) { ... }
///
/// Implementations are stateless and safe to call from several threads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/transport/http_message/http_message.hpp"

namespace basilstream::daemon {

/// A part of a prompt that other requests may share.
struct prompt_part {
    std::uint64_t id_ = 0;
    std::int64_t tokens_ = 0;
};

/// A client's request with what its annotations say.
struct relayed_request {
    transport::request_message message_;
    /// Unique for each attempt of a client; empty when missing.
    std::string id_;
    std::string host_;
    /// How long the client waits; nothing when not said.
    std::optional<milliseconds> patience_;
    std::string model_;
    std::string adapter_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    std::vector<prompt_part> prompt_parts_;
    /// The last event of the stream that the client already has.
    std::optional<std::uint64_t> last_event_;
};

/// One sending of a request to a backend server.
struct relay_attempt {
    std::string backend_id_;
    /// Time that is left for the whole request.
    milliseconds time_left_{0};
    /// 0 is the most urgent, 9 the least.
    int urgency_ = 5;
    /// Set when a stream goes on after this event.
    std::optional<std::uint64_t> resume_after_;
};

/// Whose answer arrived, and whether the request has run.
enum class answer_verdict {
    /// The answer to this request by the server that ran it.
    answer,
    /// Not run: the server is full, leaving or out of time.
    refused,
    /// Not run: another server has this address, or the server lacks what the
    /// request needs.
    misdirected,
    /// The answer to another request.
    foreign,
};

inline constexpr auto answer_verdict_names = name_table<answer_verdict, 4>{
    {{{answer_verdict::answer, "answer"},
      {answer_verdict::refused, "refused"},
      {answer_verdict::misdirected, "misdirected"},
      {answer_verdict::foreign, "foreign"}}}};

/// Reads and writes annotations.
class backend_dialect {
public:
    backend_dialect() = default;
    backend_dialect(const backend_dialect&) = delete;
    auto operator=(const backend_dialect&) -> backend_dialect& = delete;
    virtual ~backend_dialect() = default;

    /// Reads a client's request. `invalid_argument` at step caller when an
    /// annotation cannot be read.
    [[nodiscard]] virtual auto read(transport::request_message message) const
        -> result<relayed_request> = 0;
    /// Returns the header fields under which the request goes to a backend
    /// server: the client's own but for those of its connection and those that
    /// are the system's to set.
    [[nodiscard]] virtual auto
    request_headers(const relayed_request& request,
                    const relay_attempt& attempt) const
        -> transport::header_list = 0;
    [[nodiscard]] virtual auto judge(const transport::answer_head& head,
                                     const std::string& request_id) const
        -> answer_verdict = 0;
    /// Returns the header fields of an answer as the client gets them.
    [[nodiscard]] virtual auto
    answer_headers(const transport::answer_head& head) const
        -> transport::header_list = 0;
    /// Returns the header fields of an answer by the relay itself.
    [[nodiscard]] virtual auto
    own_headers(const std::string& request_id,
                std::optional<milliseconds> retry_after) const
        -> transport::header_list = 0;
};

} // namespace basilstream::daemon
