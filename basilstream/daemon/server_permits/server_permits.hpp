/// Keeps the daemons together within the request rates that backend servers
/// name in their answers, and within the slots of servers that bear few
/// rejections. Asks the daemon that owns a server for a permit for each
/// request, and hands out permits for the servers that this daemon owns.
///
///     auto permits = server_permits{{clock, log, metrics}, "entry-1"};
///     permits.connect(send);
///     permits.set_daemons({"entry-1", "entry-2"});
///     permits.on_notice("i-7f3a", dialect.rate_limit(headers), sent_at);
///     if (permits.needs_permit("i-7f3a")) {
///         permits.acquire("i-7f3a", {max_wait, time_left},
///                         [](const permit& given, server_slot slot) {...});
///     }
///
/// Costs two messages for each request to a limited server that another daemon
/// owns, three if it needs a slot, and nothing for other requests.
///
/// Not thread-safe: use on the traffic thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/server_limits/server_limits.hpp"
#include "basilstream/coordination/server_slots/server_slots.hpp"
#include "basilstream/daemon/backend_dialect/backend_dialect.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Dependencies of server_permits; each must outlive it.
struct server_permits_context {
    const clock& clock_;
    transport::logger& log_;
    transport::metrics_registry& metrics_;
};

/// Sends an update to another daemon. Returns false if it is not known.
using update_sender = std::function<bool(const std::string& daemon,
                                         const protocol::relay_update& update)>;

class server_permits;

/// A slot on a server, given back when it is destroyed. Empty if the request
/// needs none.
class server_slot {
public:
    server_slot() = default;
    server_slot(server_permits& permits, std::uint64_t id)
        : permits_{&permits}, id_{id} {}
    server_slot(server_slot&& other) noexcept
        : permits_{std::exchange(other.permits_, nullptr)}, id_{other.id_} {}
    auto operator=(server_slot&& other) noexcept -> server_slot&;
    ~server_slot() { give_back(coordination::slot_outcome::unused); }

    auto give_back(coordination::slot_outcome outcome) -> void;

private:
    server_permits* permits_ = nullptr;
    std::uint64_t id_ = 0;
};

/// What a permit is asked for.
struct permit_terms {
    /// How long to wait for it, apart from the time for the messages.
    duration max_wait_{};
    /// Longest time until the request has ended; zero for calls that need no
    /// slot.
    duration lifetime_{};
};

using permit_handler =
    std::function<void(const coordination::permit&, server_slot)>;

class server_permits {
public:
    server_permits(const server_permits_context& context, std::string self);

    /// Sets how updates are sent; until then, this daemon owns all servers.
    auto connect(update_sender send) -> void { send_ = std::move(send); }
    /// Forgets all pending requests without a call, before their owners end.
    auto drop_pending() -> void { pending_.clear(); }
    /// Sets the daemons considered alive, this one included.
    auto set_daemons(const std::vector<std::string>& daemons) -> void;
    /// Handles limits, permit requests and permits sent by another daemon.
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;
    /// Adds the limits that changed within `age` to an update.
    auto add_changes(protocol::relay_update& update, duration age) const
        -> void;
    /// Refuses the requests for permits that no daemon has answered. Call about
    /// every 50 ms.
    auto tick() -> void;

    /// Sets the service of a backend server, when its current process started,
    /// in Unix milliseconds, 0 if not known, and how many requests it runs at
    /// once.
    auto set_server(const std::string& server, const std::string& service,
                    std::int64_t started_at, int slots) -> void;
    auto remove_server(const std::string& server) -> void;

    /// Handles what an answer to a request sent at `sent_at` states.
    auto on_notice(const std::string& server, const per_second_notice& notice,
                   time_point sent_at) -> void;
    /// Handles what an answer to a request sent at `sent_at` states about the
    /// rejections that its server bears. The other servers of its service are
    /// treated alike, those that have just started too.
    auto on_bearable_stated(const std::string& server,
                            const per_second_notice& notice, time_point sent_at)
        -> void;
    /// Asks for a permit to send one request to a backend server. Calls `done`
    /// exactly once, possibly before it returns.
    auto acquire(const std::string& server, const permit_terms& terms,
                 permit_handler done) -> void;
    /// Returns whether a request to the server needs a permit.
    [[nodiscard]] auto needs_permit(const std::string& server) const -> bool {
        return limit_of(server) || bearable_of(server);
    }
    /// Returns the rejections per second that the server bears, empty if it
    /// bears any number.
    [[nodiscard]] auto bearable_of(const std::string& server) const
        -> std::optional<double>;
    /// Counts a request that is sent to a backend server.
    auto on_sent(const std::string& server) -> void;
    /// Returns the backend servers that have named a limit.
    [[nodiscard]] auto limited_servers() const -> std::vector<std::string> {
        return limits_.servers();
    }
    /// Returns the limit that the backend server has named, empty if none.
    [[nodiscard]] auto limit_of(const std::string& server) const
        -> std::optional<double>;

private:
    friend class server_slot;

    struct pending_request {
        permit_handler done_;
        time_point expires_at_{};
        std::string owner_;
        std::string server_;
        bool needs_slot_ = false;
    };
    struct held_slot {
        std::string owner_;
        std::string server_;
    };

    auto log_change(const std::string& server, const char* source) -> void;
    // Handles a change of what servers bear.
    auto on_bearable_changed(const std::string& server, const char* source)
        -> void;
    auto find_brittle_services() -> void;
    // Hands out or refuses a permit, apart from the slot, of a server that
    // this daemon owns.
    [[nodiscard]] auto reserve(const protocol::permit_request& request)
        -> coordination::permit;
    // Answers a request of this or another daemon for a permit of a server
    // that this daemon owns, now or later.
    auto decide(const std::string& daemon,
                const protocol::permit_request& request) -> void;
    auto answer(const std::string& daemon, const protocol::permit_answer& given,
                const std::string& server) -> void;
    // Passes on what the ledger of slots has decided.
    auto pass_on_decisions() -> void;
    auto on_answer(const std::string& sender,
                   const protocol::permit_answer& given) -> void;
    auto give_back(std::uint64_t id, coordination::slot_outcome outcome)
        -> void;
    auto return_slot(const std::string& owner,
                     const protocol::slot_return& given_back) -> void;
    auto apply_return(const std::string& daemon,
                      const protocol::slot_return& given_back) -> void;
    // Counts the permit and passes it on.
    auto settle(const permit_handler& done, const coordination::permit& given,
                server_slot slot) -> void;

    const server_permits_context context_;
    const std::string self_;
    update_sender send_;
    coordination::named_limits limits_;
    coordination::permit_ownership ownership_;
    coordination::permit_ledger ledger_;
    // What servers state about the rejections that they bear.
    coordination::named_limits bearable_;
    coordination::slot_ledger slots_;
    std::map<std::string, std::string> services_;
    // The smallest number that a server of the service bears.
    std::map<std::string, double> brittle_services_;
    std::map<std::uint64_t, held_slot> held_slots_;
    // Requests to other daemons that have not been answered, by id.
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_request_ = 0;
    transport::counter& named_;
    transport::counter& malformed_;
    transport::counter& limited_requests_;
    transport::counter& granted_;
    transport::counter& refused_;
    transport::counter& unanswered_;
    transport::counter& rejected_;
};

} // namespace basilstream::daemon
