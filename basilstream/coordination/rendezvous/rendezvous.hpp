/// Highest random weight hashing (Thaler and Ravishankar, 1998): selects
/// daemons for a key so that all callers with the same candidates agree, and a
/// change of the candidates moves few keys.
///
///     const auto holders = select_by_weight("9c41d07b", daemons, 2);
///
/// Stateless; safe to call from several threads.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilstream::coordination {

/// Returns the `count` candidates with the highest weights for `key`, the
/// highest first; all of them if there are fewer.
[[nodiscard]] auto select_by_weight(std::string_view key,
                                    const std::vector<std::string>& candidates,
                                    std::size_t count)
    -> std::vector<std::string>;

} // namespace basilstream::coordination
