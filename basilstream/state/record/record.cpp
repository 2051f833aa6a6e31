#include "basilstream/state/record/record.hpp"

#include <charconv>
#include <cstdio>

namespace basilstream::state {
namespace {

constexpr auto digits_of_half = std::size_t{16};

auto parse_half(std::string_view digits, std::uint64_t& half) -> bool {
    const auto* end = digits.data() + digits.size();
    const auto [stop, failure] =
        std::from_chars(digits.data(), end, half, digits_of_half);
    return failure == std::errc{} && stop == end;
}

} // namespace

auto make_record_id(random_source& random) -> record_id {
    const auto high = random.next();
    return {high, random.next()};
}

auto to_string(const record_id& id) -> std::string {
    auto text = std::string(2 * digits_of_half + 1, '0');
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(id.high_),
                  static_cast<unsigned long long>(id.low_));
    text.pop_back();
    return text;
}

auto parse_record_id(std::string_view text) -> std::optional<record_id> {
    auto id = record_id{};
    if (text.size() != 2 * digits_of_half ||
        !parse_half(text.substr(0, digits_of_half), id.high_) ||
        !parse_half(text.substr(digits_of_half), id.low_)) {
        return std::nullopt;
    }
    return id;
}

auto to_string(const resident_key& key) -> std::string {
    auto text = key.model_ + '@' + key.version_;
    return key.adapter_.empty() ? text : text + '+' + key.adapter_;
}

auto kind_of(const record& value) -> record_kind {
    return static_cast<record_kind>(value.index());
}

} // namespace basilstream::state
