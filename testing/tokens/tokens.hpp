/// The text that a stand-in model generates: a pure function of the model,
/// adapter, version and prompt, so that whoever receives an answer can check
/// every token of it.
///
///     const auto text = token_stream{{"org/model", "", "v1", "Dear all"}};
///     text.at(0);        // "rudabe "
///     text.count(100);   // how many tokens the answer has
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilstream::testing {

/// What an answer depends on.
struct token_key {
    std::string model_;
    std::string adapter_;
    std::string version_;
    std::string prompt_;
};

/// The whole answer to one prompt. A small value type, cheap to copy.
class token_stream {
public:
    /// Fewest and most tokens of an answer that `max_tokens` does not cut.
    static constexpr std::uint64_t shortest_ = 16;
    static constexpr std::uint64_t longest_ = 255;

    explicit token_stream(const token_key& key);

    /// Returns the token at `position`: one word and a trailing space. Tokens
    /// of different answers or positions differ with near certainty.
    [[nodiscard]] auto at(std::uint64_t position) const -> std::string;

    /// Returns the number of tokens when at most `max_tokens` are wanted.
    [[nodiscard]] auto count(std::uint64_t max_tokens) const -> std::uint64_t;

    /// Returns the reason why an answer of count(max_tokens) ends: "stop", or
    /// "length" when `max_tokens` cut it.
    [[nodiscard]] auto finish(std::uint64_t max_tokens) const
        -> std::string_view;

    /// Returns the concatenation of the tokens in [from, to).
    [[nodiscard]] auto text(std::uint64_t from, std::uint64_t to) const
        -> std::string;

private:
    std::uint64_t seed_;
};

} // namespace basilstream::testing
