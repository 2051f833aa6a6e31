/// Decides which daemons read the shared store for which others.
///
///     for (const auto& name : followers_of("entry-1", members)) {
///         send(name, page);
///     }
///
/// Load pattern: each daemon of a large deployment polls the store for news,
/// and the calls grow with the daemons. Here one daemon of each group reads and
/// passes on what it has read; the others read for themselves only while they
/// hear nothing. Groups are small, so that a reader on a weak VM serves few and
/// the loss of one leaves few to read for themselves.
///
/// Stateless; safe to call from several threads.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace basilstream::coordination {

/// Daemons of a group: some 20 messages for each page that is read, which a VM
/// with a tenth of a core and 10 Mbit/s sends in a few milliseconds.
inline constexpr auto max_group_size = std::size_t{20};

/// Returns the daemons for which `self` reads the store; none if it is not the
/// reader of its group. `members`: the names of all daemons that live, `self`
/// included, in any order. Daemons that see other members may read twice or
/// not at all for a while.
[[nodiscard]] auto followers_of(const std::string& self,
                                const std::vector<std::string>& members,
                                std::size_t group_size = max_group_size)
    -> std::vector<std::string>;

} // namespace basilstream::coordination
