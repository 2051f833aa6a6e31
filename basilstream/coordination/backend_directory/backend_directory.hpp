/// Tracks the backend servers by the announcements that they write to a shared
/// store.
///
///     auto directory = backend_directory{};
///     directory.replace_all(newest_of_each, now);
///     directory.apply({"i-7f3a", server}, now);
///     directory.set_store_available(false, now);   // defer removals
///     for (const auto& id : directory.take_changes()) { ... }
///
/// All announcements expire during an outage of the store and are written again
/// one by one afterwards. Removals are therefore deferred during an outage and
/// for removal_grace_period_ after it; otherwise all servers would be removed
/// at once.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// A model loaded on a runner, with its adapters.
struct backend_model {
    std::string name_;
    std::uint64_t version_ = 0;
    std::vector<std::string> adapters_;
    auto operator==(const backend_model&) const -> bool = default;
};

/// A runner, or a backend server of a plain service.
struct backend_server {
    std::string id_;
    std::string service_;
    std::string address_;
    std::string zone_;
    int slots_ = 1;
    /// True if the server is to get no new requests.
    bool draining_ = false;
    /// Time until the VM is terminated regardless of requests in progress;
    /// absent if not known.
    std::optional<milliseconds> remaining_;
    /// Start of the process, in Unix milliseconds; 0 if not announced.
    std::int64_t started_at_ = 0;
    /// Version of the server's software; empty if not announced.
    std::string software_version_;
    std::vector<backend_model> models_;
    /// Models whose weights are in the host's memory or on its disk.
    std::vector<std::string> weights_in_memory_;
    std::vector<std::string> weights_on_disk_;
    auto operator==(const backend_server&) const -> bool = default;
};

/// An announcement: the server's id and the server, or no server if the
/// announcement was withdrawn or has expired.
using backend_record = std::pair<std::string, std::optional<backend_server>>;

/// Settings of a backend_directory.
struct backend_directory_settings {
    /// How long removals stay deferred after the store is available again, so
    /// that servers can renew their announcements.
    duration removal_grace_period_ = milliseconds{2300};
};

/// Holds the announced servers and collects the ids of those that changed.
class backend_directory {
public:
    explicit backend_directory(backend_directory_settings settings = {})
        : settings_{settings} {}

    /// Applies a full listing: servers missing from it are removed, or their
    /// removal is deferred.
    auto replace_all(const std::vector<backend_record>& records, time_point now)
        -> void;
    /// Applies one record; the caller passes records in log order. A record of
    /// an earlier process under the same id is ignored.
    /// Returns whether the directory changes, now or when removals are no
    /// longer deferred.
    auto apply(const backend_record& record, time_point now) -> bool;
    /// Sets whether the store answers. While it does not, removals are
    /// deferred.
    auto set_store_available(bool available, time_point now) -> void;
    /// Carries out the deferred removals once the grace period is over.
    auto tick(time_point now) -> void;

    /// Returns the server with this id, null if there is none.
    [[nodiscard]] auto find(const std::string& id) const
        -> const backend_server*;
    [[nodiscard]] auto servers() const
        -> const std::map<std::string, backend_server>& {
        return servers_;
    }
    /// Returns whether a full listing has been applied.
    [[nodiscard]] auto has_listing() const -> bool { return has_listing_; }
    /// Returns the ids of the servers added, changed or removed since the last
    /// call, in ascending order.
    [[nodiscard]] auto take_changes() -> std::vector<std::string>;

private:
    auto remove(const std::string& id, time_point now) -> bool;
    [[nodiscard]] auto removals_deferred(time_point now) const -> bool;

    backend_directory_settings settings_;
    std::map<std::string, backend_server> servers_;
    std::set<std::string> changed_;
    // Ids of the servers whose removal is deferred.
    std::set<std::string> deferred_removals_;
    bool has_listing_ = false;
    bool available_ = true;
    // End of the store's last outage; in the far past if there was none.
    time_point available_since_{duration::min() / 2};
};

} // namespace basilstream::coordination
