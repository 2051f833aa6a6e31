/// Random numbers as an injected dependency, repeatable from a seed.
///
///     auto random = seeded_random{42};
///     random.below(6);      // 0..5
///     random.fraction();    // [0, 1)
#pragma once

#include <cstdint>
#include <string>

namespace basilstream {

/// Source of random numbers. Not safe for concurrent use.
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    auto operator=(const random_source&) -> random_source& = delete;
    virtual ~random_source() = default;

    /// Returns 64 uniformly distributed bits.
    virtual auto next() -> std::uint64_t = 0;

    /// Returns a number in [0, bound). `bound` must be positive.
    auto below(std::uint64_t bound) -> std::uint64_t {
        return multiply_high(next(), bound);
    }

    /// Returns a number in [0, 1).
    auto fraction() -> double {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }

private:
    // Returns the upper half of the 128-bit product.
    static auto multiply_high(std::uint64_t left, std::uint64_t right)
        -> std::uint64_t;
};

/// SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): equal seeds give equal
/// sequences on every machine.
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : state_{seed} {}
    auto next() -> std::uint64_t override;

private:
    std::uint64_t state_;
};

/// Returns a seed from the operating system's entropy source.
[[nodiscard]] auto entropy_seed() -> std::uint64_t;

/// Returns 32 hexadecimal digits drawn from `source`.
[[nodiscard]] auto make_id(random_source& source) -> std::string;

} // namespace basilstream
