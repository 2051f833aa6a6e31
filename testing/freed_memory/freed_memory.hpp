/// An allocator for test programs that keeps the blocks freed last and tells
/// whether something has written to them. Such a write goes unnoticed
/// otherwise: no test fails, and the block's next owner may.
///
///     run_what_is_tested();
///     EXPECT_EQ(take_written_blocks(), 0);
///
/// Programs that call take_written_blocks() get operator new and delete from
/// this library. Safe for concurrent use.
#pragma once

namespace basilstream::testing {

/// Returns how many blocks have been written to after they were freed, since
/// the last call, as far as they were still kept.
[[nodiscard]] auto take_written_blocks() -> int;

} // namespace basilstream::testing
