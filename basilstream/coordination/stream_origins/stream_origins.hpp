/// Remembers at which software version of a service streams began, so that they
/// are resumed at the same version.
///
///     auto origins = stream_origins{};
///     origins.record("9c41d07b", "v1.2", now);
///     auto versions = version_history{};
///     versions.set_server("i-7f3a", "chat", "v1.2", now);
///     auto version = origins.find("9c41d07b", now);
///     if (!version) { version = versions.sole_version("chat", now); }
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// How long after its beginning a stream may be resumed. Longer than any stream
/// together with its client's retries.
inline constexpr auto stream_memory = seconds{60};

/// Versions at which streams began, by the id of the request that received the
/// first event.
class stream_origins {
public:
    /// Bounds the number of streams; the oldest are forgotten first.
    explicit stream_origins(std::size_t capacity = 65'536)
        : capacity_{capacity} {}

    /// Records where a stream began, or that it still goes on.
    auto record(const std::string& request, const std::string& version,
                time_point now) -> void;
    /// Returns nothing if the stream is not known.
    [[nodiscard]] auto find(const std::string& request, time_point now)
        -> std::optional<std::string>;
    [[nodiscard]] auto size() const -> std::size_t { return origins_.size(); }

private:
    struct origin {
        std::string version_;
        time_point recorded_at_{};
    };
    auto expire(time_point now) -> void;

    std::size_t capacity_;
    std::unordered_map<std::string, origin> origins_;
    // In order of recording; a stream that was recorded again occurs twice.
    std::deque<std::pair<time_point, std::string>> order_;
};

/// A software version of a service.
struct service_version {
    std::string service_;
    std::string version_;
    auto operator==(const service_version&) const -> bool = default;
};

/// Software versions of the servers of each service within the time for which
/// streams may be resumed.
///
/// A process that has just started sees only the present servers. Versions
/// whose last server left before are known from records that earlier processes
/// have written (see record_as_seen()).
class version_history {
public:
    /// Adds or updates a server. An empty version is unknown.
    auto set_server(const std::string& server, const std::string& service,
                    const std::string& version, time_point now) -> void;
    auto remove_server(const std::string& server, time_point now) -> void;

    /// No version is taken for the sole one until on_records_read(): earlier
    /// processes may have seen others.
    auto await_records() -> void { awaits_records_ = true; }
    /// Adds a version that an earlier process has seen. Its last server may
    /// have left just before this process started.
    auto record_as_seen(const service_version& record, time_point now) -> void;
    /// All records have been passed to record_as_seen(). The history of the
    /// services in them is then complete.
    auto on_records_read() -> void { awaits_records_ = false; }
    /// Returns the versions that servers have at present, unknown ones left
    /// out.
    [[nodiscard]] auto present_versions() const -> std::vector<service_version>;
    /// Removes and returns the versions whose streams can no longer be resumed,
    /// as their last server left more than `stream_memory` ago.
    [[nodiscard]] auto take_expired(time_point now)
        -> std::vector<service_version>;

    /// Returns the version of all servers that the service has had since
    /// `stream_memory` ago. Returns nothing if there were several, one is
    /// unknown, or the service has not been known for that long.
    [[nodiscard]] auto sole_version(const std::string& service,
                                    time_point now) const
        -> std::optional<std::string>;
    /// As sole_version(), but also for a service that has been known for a
    /// shorter time, in which streams may have begun at unknown versions.
    [[nodiscard]] auto sole_version_seen(const std::string& service,
                                         time_point now) const
        -> std::optional<std::string>;
    /// Returns whether the service has had servers of several versions, or of
    /// one and of an unknown one, since `stream_memory` ago.
    [[nodiscard]] auto has_seen_several(const std::string& service,
                                        time_point now) const -> bool {
        return recent_versions(service, now).size() > 1;
    }

private:
    // Returns the versions that the service has had since `stream_memory` ago.
    [[nodiscard]] auto recent_versions(const std::string& service,
                                       time_point now) const
        -> std::vector<std::string>;

    struct version_state {
        int servers_ = 0;
        time_point last_server_at_{};
    };
    struct service_state {
        time_point known_since_{};
        std::map<std::string, version_state> versions_;
        // Whether earlier processes have recorded the versions of the service.
        bool recorded_ = false;
    };
    struct server_state {
        std::string service_;
        std::string version_;
    };

    std::map<std::string, service_state> services_;
    std::map<std::string, server_state> servers_;
    bool awaits_records_ = false;
};

} // namespace basilstream::coordination
