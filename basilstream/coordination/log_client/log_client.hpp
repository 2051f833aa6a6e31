/// Client of the control stream as decisions without I/O: `appender` queues,
/// paces and resolves appends, `replica` reads and holds the state, and
/// `snapshot_writer` keeps the state recoverable from the retained log.
///
///     auto writer = appender{{}, random};
///     auto reader = replica{{}, random};
///     auto id = writer.submit(append_purpose::configuration, put,
///                             reader.state().next_offset());
///     if (auto batch = writer.poll(now)) { send(encode(*batch)); }
///     for (auto& read : reader.on_records(ticket, entries, bounds, now)) {
///         writer.on_record(read.envelope_.id_, read.offset_, read.outcome_);
///     }
///     writer.on_position(reader.state().next_offset());
#pragma once

#include "basilstream/coordination/log_client/appender.hpp"
#include "basilstream/coordination/log_client/replica.hpp"
#include "basilstream/coordination/log_client/snapshot_writer.hpp"
