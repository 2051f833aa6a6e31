/// Deployment-wide limits in the daemon: reads and writes the stream `limits`,
/// by which all daemons replay the same division of each limit.
///
///     auto limits = limit_log{context, settings, connection, incarnation};
///     limits.permits();      // for the order executor
///     limits.tick();
///
/// A daemon that starts where the head of the stream has expired waits for a
/// checkpoint of the division before it counts; until then it grants itself
/// nothing. Control thread only.
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

/// The limits' client.
class limit_log {
public:
    /// `incarnation` names this start of the process and is never used again.
    limit_log(const context& base, const daemon_settings& settings,
              transport::log_connection& connection, std::string incarnation);

    /// Permits for loads, within the weight store's limits.
    [[nodiscard]] auto permits() -> coordination::load_permits& {
        return permits_;
    }
    /// Reads, and appends what is due; call every few milliseconds.
    auto tick() -> void;
    /// Whether the division is known.
    [[nodiscard]] auto known() const -> bool { return known_; }

private:
    auto define_limits() -> void;
    auto take(const result<transport::log_read>& read) -> void;
    auto take_entry(std::uint64_t offset, const protocol::limit_entry& entry)
        -> void;
    auto begin(const protocol::limit_checkpoint& checkpoint) -> void;
    auto begin_empty_when_safe() -> void;
    auto write_checkpoint_when_due() -> void;
    auto append(std::vector<std::string> payloads) -> void;

    context base_;
    transport::log_connection& connection_;
    deployment_settings deployment_;
    coordination::limit_settings settings_;
    coordination::limit_holder holder_;
    coordination::weight_store_permits permits_;
    stream_reader reader_;
    // False while the head has expired and no checkpoint was read.
    bool known_ = false;
    bool truncated_ = false;
    std::uint64_t next_offset_ = 0;
    // Changes read before the division was known, with their offsets.
    std::vector<std::pair<std::uint64_t, coordination::limit_record>> early_;
    std::uint64_t changes_since_checkpoint_ = 0;
    time_point checkpoint_due_;
    time_point last_record_;
    bool append_in_flight_ = false;
};

} // namespace basilstream::daemon
