#include "basilstream/base/random/random.hpp"

#include <array>
#include <random>

namespace basilstream {

auto random_source::multiply_high(std::uint64_t left, std::uint64_t right)
    -> std::uint64_t {
    constexpr auto half_bits = 32U;
    constexpr auto half_mask = 0xffffffffULL;
    const auto left_low = left & half_mask;
    const auto left_high = left >> half_bits;
    const auto right_low = right & half_mask;
    const auto right_high = right >> half_bits;
    const auto low = left_low * right_low;
    const auto middle = left_high * right_low + (low >> half_bits);
    const auto carry = left_low * right_high + (middle & half_mask);
    return left_high * right_high + (middle >> half_bits) +
           (carry >> half_bits);
}

auto seeded_random::next() -> std::uint64_t {
    state_ += 0x9e3779b97f4a7c15ULL;
    auto mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

auto entropy_seed() -> std::uint64_t {
    auto device = std::random_device{};
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

auto make_id(random_source& source) -> std::string {
    constexpr auto digits = std::array{'0', '1', '2', '3', '4', '5', '6', '7',
                                       '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    constexpr auto digits_per_word = 16;
    auto id = std::string{};
    for (auto word = 0; word < 2; ++word) {
        auto bits = source.next();
        for (auto digit = 0; digit < digits_per_word; ++digit) {
            id.push_back(digits.at(bits & 0xfU));
            bits >>= 4U;
        }
    }
    return id;
}

} // namespace basilstream
