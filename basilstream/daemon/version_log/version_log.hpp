/// Keeps in the shared store which software versions services have had lately,
/// so that a daemon that has just started knows versions whose last servers
/// left before, also if all daemons have ended at once.
///
///     auto shared = version_log{context, "entry-1", history, store};
///     shared.set_daemons({"entry-1", "entry-2"});
///     shared.tick();                    // every 50 ms or so
///
/// Load pattern: all daemons are killed while a service is moved to another
/// version, and clients resume their streams at the daemons that come back.
/// Those see only the servers of the new version; if they took it for the only
/// one, they would join the streams from two versions.
///
/// Two daemons, which the service selects, write a record when a version is
/// first seen and remove it `stream_memory` after its last server has left. A
/// present version is written again from time to time, in case a daemon with an
/// older view has removed it. Use on one thread only.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/coordination/stream_origins/stream_origins.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Dependencies of a version_log; all must outlive it.
struct version_log_context {
    const clock& clock_;
    random_source& random_;
    transport::logger& log_;
};

class version_log {
public:
    /// Makes `history` await the records of earlier processes. `name` is the
    /// name of this daemon.
    version_log(const version_log_context& context, std::string name,
                coordination::version_history& history,
                coordination::record_store& store);

    /// Sets the daemons considered alive, this one included. Nothing is written
    /// until then.
    auto set_daemons(std::vector<std::string> daemons) -> void {
        daemons_ = std::move(daemons);
    }
    /// Reads the records once, and then writes those that are due.
    auto tick() -> void;

private:
    using version_key = std::pair<std::string, std::string>;

    auto read_records() -> void;
    auto on_records(const result<coordination::record_page>& page) -> void;
    // Returns whether this daemon writes the records of a service.
    [[nodiscard]] auto writes(const std::string& service) const -> bool;
    auto write(const coordination::service_version& version, bool present)
        -> void;
    auto on_written(const version_key& key, bool present,
                    const result<coordination::append_outcome>& outcome)
        -> void;
    auto retry_later() -> void;

    version_log_context context_;
    std::string name_;
    coordination::version_history& history_;
    coordination::record_store& store_;
    std::vector<std::string> daemons_;
    bool records_read_ = false;
    bool call_in_flight_ = false;
    time_point next_call_at_{};
    // When the record of a present version is due again.
    std::map<version_key, time_point> next_write_;
    // Versions whose records are to be removed.
    std::vector<coordination::service_version> expired_;
};

} // namespace basilstream::daemon
