/// The backend servers that exist, from the records in which they announce
/// themselves at a shared store.
///
///     auto directory = backend_directory{};
///     directory.replace_all(newest_of_each, now);
///     directory.apply({"i-7f3a", server}, now);
///     directory.set_store_available(false, now);   // keep what is known
///     for (const auto& id : directory.take_changes()) { ... }
///
/// Load pattern: after an outage of the store all announcements have expired
/// and come back one by one. Removals are held back for a while after the
/// store has come back, or all servers would be dropped at once.
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

/// A model in a runner's memory.
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
    /// Gets no new requests.
    bool draining_ = false;
    /// Time until it is taken away whatever it runs; nothing when not known.
    std::optional<milliseconds> remaining_;
    /// Start of the process, Unix milliseconds; 0 when not said.
    std::int64_t started_at_ = 0;
    std::vector<backend_model> models_;
    /// Models whose weights lie in its memory or on its disk.
    std::vector<std::string> weights_in_memory_;
    std::vector<std::string> weights_on_disk_;
    auto operator==(const backend_server&) const -> bool = default;
};

/// An announcement: the server, or nothing when it was withdrawn.
using backend_record = std::pair<std::string, std::optional<backend_server>>;

/// Settings of a backend_directory.
struct backend_directory_settings {
    /// How long after the store's return a missing announcement may still come
    /// back.
    duration return_period_ = milliseconds{2300};
};

/// The servers that are known, and which of them changed.
class backend_directory {
public:
    explicit backend_directory(backend_directory_settings settings = {})
        : settings_{settings} {}

    /// Replaces everything by a full listing.
    auto replace_all(const std::vector<backend_record>& records, time_point now)
        -> void;
    /// Takes in one record, in the order of the store's log. A record of an
    /// earlier process under the same id is ignored.
    /// Returns whether anything changes, now or after the return period.
    auto apply(const backend_record& record, time_point now) -> bool;
    /// Tells whether the store answers. While it does not, nothing is removed.
    auto set_store_available(bool available, time_point now) -> void;
    /// Carries out the removals that are due.
    auto tick(time_point now) -> void;

    [[nodiscard]] auto find(const std::string& id) const
        -> const backend_server*;
    [[nodiscard]] auto servers() const
        -> const std::map<std::string, backend_server>& {
        return servers_;
    }
    /// Whether a full listing has been read.
    [[nodiscard]] auto known() const -> bool { return known_; }
    /// Takes the ids of servers that were added, changed or removed.
    [[nodiscard]] auto take_changes() -> std::vector<std::string>;

private:
    auto remove(const std::string& id, time_point now) -> bool;
    [[nodiscard]] auto holds_back(time_point now) const -> bool;

    backend_directory_settings settings_;
    std::map<std::string, backend_server> servers_;
    std::set<std::string> changed_;
    // Servers whose removal is held back.
    std::set<std::string> missing_;
    bool known_ = false;
    bool available_ = true;
    time_point returned_at_{duration::min() / 2};
};

} // namespace basilstream::coordination
