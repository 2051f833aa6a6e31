#include "basilstream/coordination/reader_groups/reader_groups.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace basilstream::coordination {
namespace {

// The high 32 bits select the group and the low 32 bits rank its members, so
// that any member of a group can be its reader.
auto hash_of(const std::string& name) -> std::uint64_t {
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

auto followers_of(const std::string& self,
                  const std::vector<std::string>& members,
                  std::size_t group_size) -> std::vector<std::string> {
    const auto group_count = (members.size() + group_size - 1) / group_size;
    if (group_count == 0) {
        return {};
    }
    const auto group = (hash_of(self) >> 32U) % group_count;
    auto followers = std::vector<std::string>{};
    for (const auto& name : members) {
        const auto hash = hash_of(name);
        if ((hash >> 32U) % group_count != group || name == self) {
            continue;
        }
        const auto low_bits = [](std::uint64_t value) {
            return static_cast<std::uint32_t>(value);
        };
        if (std::pair{low_bits(hash), name} >
            std::pair{low_bits(hash_of(self)), self}) {
            return {};
        }
        followers.push_back(name);
    }
    return followers;
}

} // namespace basilstream::coordination
