/// Types and interface for the annotations of relayed requests and of backend
/// servers' answers. The relay uses these types only; an implementation for the
/// platform reads and writes the header fields that carry them.
///
///     auto request = dialect.read(std::move(message));
///     auto headers = dialect.request_headers(*request, attempt);
///     switch (dialect.classify_answer(head, request->id_)) { ... }
///
/// Implementations are stateless and thread-safe.
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

/// A part of a prompt that other requests may have in common.
struct prompt_part {
    std::uint64_t id_ = 0;
    std::int64_t tokens_ = 0;
};

/// A client's request and the values of its annotations, which are header
/// fields defined by the platform.
struct relayed_request {
    transport::request_message message_;
    /// Unique for each attempt of a client; empty if the annotation is missing.
    std::string id_;
    std::string host_;
    /// Time that the client waits for the answer; empty if not given.
    std::optional<milliseconds> client_timeout_;
    std::string model_;
    std::string adapter_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    std::vector<prompt_part> prompt_parts_;
    /// Last event of the stream that the client has received; empty for a new
    /// stream.
    std::optional<std::uint64_t> last_event_;
    /// Id of the client's attempt that received the first event of the stream
    /// that this request resumes; empty if not given.
    std::string resumed_request_;
    /// The caller's API key; empty if it is not given, an empty string if the
    /// credentials cannot be read.
    std::optional<std::string> api_key_;
    /// Whether the request declares its numbers of tokens.
    bool declares_tokens_ = false;
};

/// An attempt to send a request to a backend server.
struct relay_attempt {
    /// Empty if the request is forwarded to another daemon.
    std::string backend_id_;
    /// Time until the deadline of the request.
    milliseconds remaining_time_{0};
    /// From 0, the most urgent, to 9.
    int urgency_ = 5;
    /// Event after which a stream resumes; empty for a new stream.
    std::optional<std::uint64_t> resume_after_;
    /// Whether callers authenticate to this daemon. Their credentials and what
    /// they say of their organisation are then not passed on.
    bool authenticates_callers_ = false;
    /// Organisation that a backend server is told; empty for none.
    std::string organisation_ = {};
};

/// Which request an answer belongs to, and whether that request has run.
enum class answer_verdict {
    /// Answer to this request by the server that ran it.
    answer,
    /// Not run: the server is at capacity, is draining or the deadline has
    /// passed.
    refused,
    /// Not run: another server has this address, or the server does not hold
    /// the model or adapter of the request.
    misdirected,
    /// Answer to another request.
    other_request,
};

inline constexpr auto answer_verdict_names = name_table<answer_verdict, 4>{
    {{{answer_verdict::answer, "answer"},
      {answer_verdict::refused, "refused"},
      {answer_verdict::misdirected, "misdirected"},
      {answer_verdict::other_request, "foreign"}}}};

/// What an answer states about a number per second.
struct per_second_notice {
    enum class kind { absent, malformed, valid };
    kind kind_ = kind::absent;
    /// For all daemons together, finite and not negative. Set if `kind_` is
    /// `valid`.
    double per_second_ = 0;
};

/// What an answer states about a time in which its server wants no calls from
/// this daemon.
struct pause_notice {
    enum class kind { absent, malformed, valid };
    kind kind_ = kind::absent;
    /// Time from the answer on. Set if `kind_` is `valid`.
    milliseconds length_{0};
};

/// Reads and writes the annotations of requests and answers.
class backend_dialect {
public:
    backend_dialect() = default;
    backend_dialect(const backend_dialect&) = delete;
    auto operator=(const backend_dialect&) -> backend_dialect& = delete;
    virtual ~backend_dialect() = default;

    /// Reads the annotations of a client's request. Returns `invalid_argument`
    /// at step `caller` if one cannot be parsed.
    [[nodiscard]] virtual auto read(transport::request_message message) const
        -> result<relayed_request> = 0;
    /// Returns the header fields of the request to a backend server: those of
    /// the client, except hop-by-hop fields and fields that the daemon sets
    /// itself.
    [[nodiscard]] virtual auto
    request_headers(const relayed_request& request,
                    const relay_attempt& attempt) const
        -> transport::header_list = 0;
    [[nodiscard]] virtual auto
    classify_answer(const transport::answer_head& head,
                    const std::string& request_id) const -> answer_verdict = 0;
    /// Returns whether the answer names the request. One that does not may be
    /// left over from an earlier exchange on its connection.
    [[nodiscard]] virtual auto
    names_request(const transport::answer_head& head,
                  const std::string& request_id) const -> bool = 0;
    /// Returns what the answer, or the reply to any other call, states about
    /// the requests that its server accepts.
    [[nodiscard]] virtual auto
    rate_limit(const transport::header_list& headers) const
        -> per_second_notice = 0;
    /// Returns what the answer, or the reply to any other call, states about
    /// the rejections for lack of room that its server bears.
    [[nodiscard]] virtual auto
    bearable_rejections(const transport::header_list& headers) const
        -> per_second_notice = 0;
    /// Returns what the answer to a request, or the reply to any other call,
    /// states about a pause.
    [[nodiscard]] virtual auto
    pause(int status, const transport::header_list& headers) const
        -> pause_notice = 0;
    /// Returns whether the answer to a request to `backend`, or the reply to
    /// any other call to it, states that it is leaving.
    [[nodiscard]] virtual auto
    is_leaving(const std::string& backend,
               const transport::header_list& headers) const -> bool = 0;
    /// Returns the header fields with which a backend server's answer is
    /// forwarded to the client.
    [[nodiscard]] virtual auto
    answer_headers(const transport::answer_head& head) const
        -> transport::header_list = 0;
    /// Returns the header fields of a reply that the relay generates itself.
    [[nodiscard]] virtual auto
    local_reply_headers(const std::string& request_id,
                        std::optional<milliseconds> retry_after) const
        -> transport::header_list = 0;
};

} // namespace basilstream::daemon
