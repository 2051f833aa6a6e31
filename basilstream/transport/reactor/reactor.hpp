/// One thread of one duty: an ACE reactor with timers, file descriptors and a
/// bounded ring through which other threads hand it work.
///
///     auto thread = reactor_thread{"control", 8192};
///     thread.start();
///     thread.post([] { ... });                    // from any thread
///     thread.every(milliseconds{50}, [] { ... }); // on the thread
///     thread.stop();
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "basilstream/base/clock/clock.hpp"

class ACE_Reactor;

namespace basilstream::transport {

using work_item = std::function<void()>;

/// The number of file descriptors that a reactor can watch: those that the
/// process may open, or fewer.
[[nodiscard]] auto handle_limit() -> std::size_t;

/// A named thread that runs an ACE reactor until it is stopped.
class reactor_thread {
public:
    /// `ring_capacity`: how much posted work may wait at once.
    reactor_thread(std::string name, std::size_t ring_capacity);
    reactor_thread(const reactor_thread&) = delete;
    auto operator=(const reactor_thread&) -> reactor_thread& = delete;
    /// Stops the thread.
    ~reactor_thread();

    /// Starts the thread. Call once.
    auto start() -> void;

    /// Ends the loop after the work at hand, joins, and destroys the work of
    /// timers. Idempotent. Work posted later is refused. Not from the thread
    /// itself.
    auto stop() -> void;

    /// Runs `work` on the thread, in order of posting. Returns false when the
    /// ring is full or the thread has stopped. Safe from any thread.
    [[nodiscard]] auto post(work_item work) -> bool;

    /// As `post`, but waits while the ring is full: for results that must not
    /// be lost, from threads on which this one never waits. Returns false only
    /// when the thread has stopped.
    auto post_wait(work_item work) -> bool;

    /// Calls `work` on the thread every `period` from now on. Call before
    /// `start` or on the thread.
    auto every(milliseconds period, work_item work) -> void;

    /// Calls `work` on the thread once, after `delay`. On the thread only. Does
    /// nothing once the thread has stopped.
    auto after(milliseconds delay, work_item work) -> void;

    /// The reactor, for handlers of file descriptors. On the thread only.
    [[nodiscard]] auto reactor() -> ACE_Reactor&;

    /// Whether the caller runs on this thread.
    [[nodiscard]] auto on_thread() const -> bool;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::transport
