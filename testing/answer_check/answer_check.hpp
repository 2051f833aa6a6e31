/// Reads a streamed answer and compares it with what the stand-in must give.
///
///     auto check = answer_check{answer_format::caller, {text}, 64};
///     check.take(piece);
///     check.verdict();      /// "ok", "wrong_token", ...
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "testing/tokens/tokens.hpp"

namespace basilstream::testing {

/// The event format of the callers' interface or of a runner.
enum class answer_format { caller, runner };

/// The check of one answer. Not safe for concurrent use.
class answer_check {
public:
    /// One candidate per version that may answer.
    answer_check(answer_format format, std::vector<token_stream> candidates,
                 std::uint64_t max_tokens);

    /// Takes a piece of the body and returns how many tokens it completed.
    auto take(std::string_view piece) -> std::uint64_t;

    /// Returns what became of the answer, now that its end has been seen: "ok",
    /// "wrong_token", "short_answer" or the code of an error event.
    [[nodiscard]] auto verdict() const -> std::string;

    [[nodiscard]] auto tokens() const -> std::uint64_t { return tokens_; }
    /// Whether the answer came to its end marker.
    [[nodiscard]] auto ended() const -> bool { return ended_; }

private:
    auto take_data(std::string_view data) -> void;
    auto take_text(const std::string& text) -> void;
    auto take_finish(const std::string& finish) -> void;

    answer_format format_;
    std::vector<token_stream> candidates_;
    std::uint64_t max_tokens_;
    std::uint64_t tokens_ = 0;
    std::string line_;
    std::string error_;
    bool finished_ = false;
    bool ended_ = false;
    bool wrong_ = false;
};

} // namespace basilstream::testing
