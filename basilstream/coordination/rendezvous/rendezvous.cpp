#include "basilstream/coordination/rendezvous/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include <xxhash.h>

namespace basilstream::coordination {

auto select_by_weight(std::string_view key,
                      const std::vector<std::string>& candidates,
                      std::size_t count) -> std::vector<std::string> {
    const auto seed = XXH3_64bits(key.data(), key.size());
    auto weights = std::vector<std::pair<std::uint64_t, const std::string*>>{};
    weights.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        weights.emplace_back(
            XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed),
            &candidate);
    }
    const auto heavier = [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first
                                         : *left.second > *right.second;
    };
    count = std::min(count, weights.size());
    std::partial_sort(weights.begin(),
                      weights.begin() + static_cast<std::ptrdiff_t>(count),
                      weights.end(), heavier);
    auto selected = std::vector<std::string>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        selected.push_back(*weights[index].second);
    }
    return selected;
}

} // namespace basilstream::coordination
