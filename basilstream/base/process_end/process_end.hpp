/// Writes a line before this process ends in a way that nothing else reports:
/// by an exception that nothing catches, or by a signal of a fault.
///
///     report_abnormal_end("entry-1", STDOUT_FILENO);
///     std::thread{[] { throw std::runtime_error{"lost"}; }}.join();
///
/// writes, and ends with SIGABRT:
///
///     {"time":"2026-12-07T02:51:59.012Z","level":"critical",
///      "event":"process ends","node":"entry-1","thread":"entry",
///      "cause":"uncaught exception","detail":"std::runtime_error: lost"}
///
/// (in one line). The line goes past the log's queue, which may be ahead of it
/// or lost with the process.
#pragma once

#include <string_view>

namespace basilstream {

/// Installs the handlers of the process; call once, before other threads start.
/// `node` stands in each line, cut to 128 bytes. A signal that already has a
/// handler keeps it. The process still ends as it would without, by SIGABRT
/// after an exception, and leaves a core where that is configured.
auto report_abnormal_end(std::string_view node, int descriptor) -> void;

} // namespace basilstream
