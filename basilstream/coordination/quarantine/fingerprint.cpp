#include <array>
#include <charconv>

#include <xxhash.h>

#include "basilstream/coordination/quarantine/quarantine.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto hex_digits = std::size_t{16};

auto to_hex(std::uint64_t value) -> std::string {
    auto buffer = std::array<char, hex_digits>{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, 16)
            .ptr;
    const auto length = static_cast<std::size_t>(end - buffer.data());
    return std::string(hex_digits - length, '0') +
           std::string{buffer.data(), length};
}

auto from_hex(std::string_view digits) -> std::optional<std::uint64_t> {
    auto value = std::uint64_t{0};
    const auto [end, error] = std::from_chars(
        digits.data(), digits.data() + digits.size(), value, 16);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto fingerprint::to_string() const -> std::string {
    return to_hex(high_) + to_hex(low_);
}

auto make_fingerprint(std::string_view organisation, std::string_view model,
                      std::string_view body) -> fingerprint {
    // The hash of each part seeds the next, so that moving bytes from one part
    // to its neighbour changes the fingerprint.
    auto seed = XXH3_64bits(organisation.data(), organisation.size());
    seed = XXH3_64bits_withSeed(model.data(), model.size(), seed);
    const auto hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
    return {hash.high64, hash.low64};
}

auto parse_fingerprint(std::string_view digits) -> std::optional<fingerprint> {
    if (digits.size() != 2 * hex_digits) {
        return std::nullopt;
    }
    const auto high = from_hex(digits.substr(0, hex_digits));
    const auto low = from_hex(digits.substr(hex_digits));
    if (!high || !low) {
        return std::nullopt;
    }
    return fingerprint{*high, *low};
}

} // namespace basilstream::coordination
