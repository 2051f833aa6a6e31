/// The callers' HTTP interface as typed values: completion requests, streamed
/// chunks, whole answers and errors.
///
///     auto call = parse_completion(body, completion_style::chat);
///     auto chunk = stream_chunk(identity, escaped_text);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::protocol {

/// Which of the two interfaces a caller used.
enum class completion_style { text, chat };

/// Bounds of a completion request.
struct completion_limits {
    static constexpr std::size_t max_prompt_bytes_ = std::size_t{512} << 10U;
    static constexpr std::uint64_t max_tokens_ = 8192;
    static constexpr std::uint64_t default_tokens_ = 256;
};

/// A caller's request for a completion.
struct completion_call {
    completion_style style_ = completion_style::text;
    /// "organisation/model".
    std::string model_;
    std::string adapter_;
    std::string prompt_;
    std::uint64_t max_tokens_ = completion_limits::default_tokens_;
    bool stream_ = false;
};

/// Parses and checks a body; `invalid_argument` at step caller names the key.
/// Unknown keys are ignored, as callers' libraries send many.
[[nodiscard]] auto parse_completion(std::string_view body,
                                    completion_style style)
    -> result<completion_call>;

/// What the chunks of one answer have in common.
struct answer_identity {
    std::string request_id_;
    /// As the caller wrote it.
    std::string model_;
    completion_style style_ = completion_style::text;
    /// Unix time in seconds.
    std::int64_t created_ = 0;
};

/// The fixed parts of an answer's chunks, made once per request, so that a
/// token costs one append.
class chunk_writer {
public:
    explicit chunk_writer(const answer_identity& identity);

    /// Appends one token's server-sent event. `escaped_text` is the inside of
    /// a JSON string.
    auto append_token(std::string& target, std::string_view escaped_text) const
        -> void;
    /// Appends the last event of a whole answer and the end marker.
    auto append_finish(std::string& target, std::string_view finish) const
        -> void;

private:
    std::string before_text_;
    std::string after_text_;
    std::string before_finish_;
    std::string after_finish_;
};

/// Returns the event that ends a broken stream, without the end marker: a
/// caller cannot take the answer for whole.
[[nodiscard]] auto stream_error(const error& failure,
                                std::string_view request_id) -> std::string;

/// Returns the body of an answer that was not streamed.
[[nodiscard]] auto whole_answer(const answer_identity& identity,
                                std::string_view escaped_text,
                                std::string_view finish, std::uint64_t tokens)
    -> std::string;

/// Returns the body of an error answer.
[[nodiscard]] auto error_body(const error& failure, std::string_view request_id)
    -> std::string;

/// Returns the value of a Retry-After header in whole seconds, at least one,
/// or an empty string when a retry makes no sense.
[[nodiscard]] auto retry_after_header(const error& failure) -> std::string;

/// A model's line in `GET /v1/models`.
struct model_line {
    std::string name_;
    std::string organisation_;
};

/// Returns the body of `GET /v1/models`.
[[nodiscard]] auto models_body(const std::vector<model_line>& models)
    -> std::string;

/// Returns the body of `GET /v1/endpoints`.
[[nodiscard]] auto endpoints_body(const std::vector<std::string>& addresses,
                                  std::int64_t time_to_live_ms) -> std::string;

} // namespace basilstream::protocol
