/// Writes to a descriptor whose reader may have stopped reading, without
/// blocking for longer than the caller allows.
///
///     write_while(STDOUT_FILENO, line, [&] { return clock.now() < limit; });
#pragma once

#include <functional>
#include <string_view>

namespace basilstream {

/// Writes `text`. While the descriptor has no room, calls `may_wait` about
/// every 20 ms and gives up once it returns false. Returns whether all of the
/// text was written; it may have been written in part.
///
/// A file, or a pipe to which no other process writes, never blocks longer;
/// other kinds of descriptors may.
auto write_while(int descriptor, std::string_view text,
                 const std::function<bool()>& may_wait) -> bool;

} // namespace basilstream
