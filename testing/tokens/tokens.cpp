#include "testing/tokens/tokens.hpp"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace basilstream::testing {
namespace {

constexpr auto consonants = std::string_view{"bdfgklmnprstvwzh"};
constexpr auto vowels = std::string_view{"aeio"};
constexpr auto syllables_per_token = 4;

// The separator keeps ("ab", "c") and ("a", "bc") apart.
auto hash_field(const std::string& field, std::uint64_t seed) -> std::uint64_t {
    const auto size = field.size();
    const auto mixed = XXH64(&size, sizeof size, seed);
    return XXH64(field.data(), size, mixed);
}

auto hash_number(std::uint64_t number, std::uint64_t seed) -> std::uint64_t {
    return XXH64(&number, sizeof number, seed);
}

} // namespace

token_stream::token_stream(const token_key& key)
    : seed_{hash_field(
          key.prompt_,
          hash_field(key.version_,
                     hash_field(key.adapter_, hash_field(key.model_, 0))))} {}

auto token_stream::at(std::uint64_t position) const -> std::string {
    auto bits = hash_number(position, seed_);
    auto word = std::string{};
    word.reserve(2 * syllables_per_token + 1);
    for (auto syllable = 0; syllable < syllables_per_token; ++syllable) {
        word += consonants[bits % consonants.size()];
        bits /= consonants.size();
        word += vowels[bits % vowels.size()];
        bits /= vowels.size();
    }
    word += ' ';
    return word;
}

auto token_stream::count(std::uint64_t max_tokens) const -> std::uint64_t {
    const auto natural = shortest_ + seed_ % (longest_ - shortest_ + 1);
    return std::min(natural, max_tokens);
}

auto token_stream::finish(std::uint64_t max_tokens) const -> std::string_view {
    return count(max_tokens) < max_tokens ? "stop" : "length";
}

auto token_stream::text(std::uint64_t from, std::uint64_t to) const
    -> std::string {
    auto all = std::string{};
    for (auto position = from; position < to; ++position) {
        all += at(position);
    }
    return all;
}

} // namespace basilstream::testing
