#include "basilstream/coordination/reader_groups/reader_groups.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
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

auto followers_of(const group_member& self,
                  const std::vector<group_member>& members,
                  std::size_t group_size) -> std::vector<std::string> {
    const auto groups_for = [&](std::size_t count) {
        return (count + group_size - 1) / group_size;
    };
    auto zones = std::map<std::string, std::size_t>{};
    for (const auto& member : members) {
        ++zones[member.zone_];
    }
    // With few daemons, a group in each zone would mean more reads.
    const auto within_zones = zones.size() <= groups_for(members.size());
    const auto group_count =
        groups_for(within_zones ? zones[self.zone_] : members.size());
    if (group_count == 0) {
        return {};
    }
    const auto self_hash = hash_of(self.name_);
    const auto group = (self_hash >> 32U) % group_count;
    auto followers = std::vector<std::string>{};
    for (const auto& [name, zone] : members) {
        const auto hash = hash_of(name);
        if ((within_zones && zone != self.zone_) ||
            (hash >> 32U) % group_count != group || name == self.name_) {
            continue;
        }
        const auto low_bits = [](std::uint64_t value) {
            return static_cast<std::uint32_t>(value);
        };
        if (std::pair{low_bits(hash), name} >
            std::pair{low_bits(self_hash), self.name_}) {
            return {};
        }
        followers.push_back(name);
    }
    return followers;
}

} // namespace basilstream::coordination
