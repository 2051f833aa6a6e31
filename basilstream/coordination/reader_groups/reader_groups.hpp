/// Selects which daemons read the shared store on behalf of which others.
///
///     for (const auto& name : followers_of({"entry-1", "zone-a"}, members)) {
///         send(name, page);
///     }
///
/// If every daemon polled the store, the load on it would grow with the number
/// of daemons. Instead, members are divided into groups, within their zones if
/// those are large enough, as traffic between zones costs, and by hash. One
/// daemon of
/// each group, the reader, polls the store and forwards what it has read to its
/// followers; a follower polls only while it receives nothing. Groups are small
/// so that a reader on a weak VM serves few followers, and the loss of a reader
/// makes only few daemons poll for themselves.
///
/// Stateless; safe for concurrent use.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace basilstream::coordination {

/// Target for the number of daemons in a group; hashing makes some groups
/// larger. A reader sends about 20 messages for each page that it reads, which
/// takes a VM with a tenth of a core and 10 Mbit/s a few milliseconds.
inline constexpr auto max_group_size = std::size_t{20};

/// A daemon that reads the store or has it read.
struct group_member {
    std::string name_;
    std::string zone_;
};

/// Returns the names of the daemons for which `self` reads the store; empty if
/// `self` is not the reader of its group or is alone in it. `members` holds all
/// live daemons, `self` included, in any order. While daemons have different
/// views of the members, a daemon may have two readers or none.
[[nodiscard]] auto followers_of(const group_member& self,
                                const std::vector<group_member>& members,
                                std::size_t group_size = max_group_size)
    -> std::vector<std::string>;

} // namespace basilstream::coordination
