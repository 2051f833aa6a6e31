/// Replicates the deployment-wide limits: reads and appends to the log stream
/// `limits`, from which every daemon derives the same ledger of limit holders.
///
///     auto limits = limit_log{context, settings, connection, incarnation};
///     limits.permits();      // for the order executor
///     limits.tick();
///
/// If the head of the stream has expired, the daemon waits for a checkpoint of
/// the ledger and grants itself no units until then. Control thread only.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/coordination/limits/limits.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/daemon/stream_reader/stream_reader.hpp"
#include "basilstream/protocol/limit_codec/limit_codec.hpp"

namespace basilstream::daemon {

/// Reads and writes the `limits` stream for this daemon.
class limit_log {
public:
    /// `incarnation` must be unique to this start of the process.
    limit_log(const context& base, const daemon_settings& settings,
              transport::log_connection& connection, std::string incarnation);

    /// Returns the permits for model and adapter loads, which enforce the
    /// weight store's limits.
    [[nodiscard]] auto permits() -> coordination::load_permits& {
        return permits_;
    }
    /// Reads the stream and appends due records; call every few milliseconds.
    auto tick() -> void;
    /// Returns whether the ledger is restored, so that units can be granted.
    [[nodiscard]] auto is_restored() const -> bool { return is_restored_; }

private:
    auto define_limits() -> void;
    auto on_read(const result<transport::log_read>& read) -> void;
    auto apply_entry(std::uint64_t offset, const protocol::limit_entry& entry)
        -> void;
    auto restore_checkpoint(const protocol::limit_checkpoint& checkpoint)
        -> void;
    auto restore_empty_when_expired() -> void;
    auto write_checkpoint_when_due() -> void;
    auto append(std::vector<std::string> payloads) -> void;

    context base_;
    transport::log_connection& connection_;
    deployment_settings deployment_;
    coordination::limit_settings settings_;
    coordination::limit_holder holder_;
    coordination::weight_store_permits permits_;
    stream_reader reader_;
    // Whether the ledger is complete. False until the first successful read,
    // and from a truncated read until the ledger is restored.
    bool is_restored_ = false;
    bool truncated_ = false;
    std::uint64_t next_offset_ = 0;
    // Changes read before the ledger was restored, with their offsets.
    std::vector<std::pair<std::uint64_t, coordination::limit_record>>
        buffered_changes_;
    std::uint64_t changes_since_checkpoint_ = 0;
    time_point checkpoint_due_;
    time_point last_record_;
    bool append_in_flight_ = false;
};

} // namespace basilstream::daemon
