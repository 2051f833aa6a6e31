/// What every part of the daemon gets through its constructor.
///
///     auto part = fleet{context, settings, ...};
#pragma once

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/transport/http_client/http_client.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/reactor/reactor.hpp"

namespace basilstream::daemon {

/// Clock, threads and clients of the process; all outlive the parts.
struct context {
    const clock& clock_;
    /// Control thread only.
    random_source& random_;
    /// The thread of all decisions.
    transport::reactor_thread& control_;
    /// Calls to runners and services for callers.
    transport::http_client& engines_;
    /// Calls to the log, the VM list and for load reports.
    transport::http_client& platform_;
    /// Orders to runners; nothing else, because an order relies on this
    /// client's connections.
    transport::http_client& orders_;
    transport::logger& log_;

    /// Runs `work` on the control thread. For results that must not be lost:
    /// waits while the ring is full. The control thread never waits for the
    /// callers of this function.
    auto on_control(transport::work_item work) const -> void {
        control_.post_wait(std::move(work));
    }
};

} // namespace basilstream::daemon
