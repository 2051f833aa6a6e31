/// Connects this daemon's claim service to the log's claim streams and to the
/// other daemons: performs its appends and reads and sends its messages.
///
///     auto claims = claim_log{context, settings, connection, peers, id};
///     claims.claim(request, {.permit_ = ..., .refuse_ = ...});
///     claims.tick();
///
/// Control thread only.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "basilstream/coordination/claims/claims.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/context/context.hpp"
#include "basilstream/daemon/services/services.hpp"
#include "basilstream/daemon/settings/settings.hpp"
#include "basilstream/daemon/stream_reader/stream_reader.hpp"
#include "basilstream/transport/log_connection/log_connection.hpp"

namespace basilstream::daemon {

/// Performs the I/O of the claim service.
class claim_log final : public idempotency_claims {
public:
    /// `boot_id` must be unique to this start of the process. `connection` and
    /// `peers` must outlive this object.
    claim_log(const context& base, const daemon_settings& settings,
              transport::log_connection& connection, cluster& peers,
              std::string boot_id);

    auto claim(const service_request& request, callbacks handlers)
        -> void override;
    auto finish(const std::string& request_id, int status,
                std::string content_type, std::string body) -> void override;
    auto mark_outcome_unknown(const std::string& request_id) -> void override;
    auto abandon(const std::string& request_id) -> void override;
    auto cancel(const std::string& request_id) -> bool override;

    /// Sets the names of the daemons that may own claim shards.
    auto set_members(const std::vector<std::string>& members) -> void;
    /// Advances timers, performs due operations and polls the stream readers.
    auto tick() -> void;
    /// Starts to hand over every owned shard; `idle` returns true when done.
    auto release_all() -> void;
    [[nodiscard]] auto idle() const -> bool { return service_.idle(); }
    [[nodiscard]] auto statistics() const -> coordination::claim_statistics {
        return service_.statistics();
    }

private:
    auto execute_outputs() -> void;
    auto execute(coordination::append_output output) -> void;
    auto execute(const coordination::follow_output& output) -> void;
    auto execute(const coordination::unfollow_output& output) -> void;
    auto execute(const coordination::send_output& output) -> void;
    auto execute(const coordination::dispatch_output& output) -> void;
    auto execute(coordination::answer_output output) -> void;
    auto on_read(std::uint32_t shard, const result<transport::log_read>& read)
        -> void;

    context base_;
    transport::log_connection& connection_;
    cluster& peers_;
    std::string name_;
    coordination::claim_service service_;
    std::unordered_map<std::string, callbacks> pending_callbacks_;
    std::map<std::uint32_t, std::unique_ptr<stream_reader>> readers_;
};

} // namespace basilstream::daemon
