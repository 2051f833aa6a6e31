/// Process-wide dependencies, passed to each component's constructor.
///
///     auto runners = fleet{context, settings, ...};
#pragma once

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/transport/http_client/http_client.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/reactor/reactor.hpp"

namespace basilstream::daemon {

/// Clock, threads and clients of the process; all outlive the components.
struct context {
    const clock& clock_;
    /// Control thread only.
    random_source& random_;
    /// The control thread, which makes all decisions.
    transport::reactor_thread& control_;
    /// Sends callers' requests to runners and services.
    transport::http_client& engines_;
    /// Calls the log and the VM list, fetches runner reports and cache events,
    /// and cancels requests at runners.
    transport::http_client& platform_;
    /// Sends orders to runners. Used for nothing else, because an order relies
    /// on this client's connections.
    transport::http_client& orders_;
    transport::logger& log_;

    /// Runs `work` on the control thread. Blocks while the queue is full, so
    /// that no result is lost. This cannot deadlock, because the control thread
    /// never waits for threads that call this function.
    auto on_control(transport::work_item work) const -> void {
        control_.post_wait(std::move(work));
    }
};

} // namespace basilstream::daemon
