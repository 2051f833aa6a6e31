/// Limits how many requests are on each backend server that falls over if it
/// has to reject too many.
///
///     auto ledger = slot_ledger{};
///     ledger.set_server("i-7f3a", started_at, 32, false);
///     ledger.take({.server_ = "i-7f3a", .daemon_ = "entry-2", .id_ = 7,
///                  .bearable_ = 5, .max_wait_ = milliseconds{400},
///                  .lifetime_ = seconds{3}}, now);
///     for (const auto& decision : ledger.take_decisions()) { ... }
///     ledger.give_back("i-7f3a", {"entry-2", 7}, slot_outcome::answered, now);
///
/// One daemon keeps the ledger of a server and decides for all. A request holds
/// a slot from the decision until its answer has ended, so that the ledger
/// never counts fewer requests than the server does. The ledger
/// grants as many slots as the server announces, because it may reject whatever
/// has to wait. Rejections reduce that number multiplicatively; it grows again
/// additively while it is fully used and nothing is rejected (AIMD; Chiu and
/// Jain, 1989). What a server announces may be more than it holds, and what it
/// holds may become less. Of the requests beyond what it has held of late, no
/// more are under way than it bears, until their rejection would be known.
///
/// Load pattern: tens of daemons that send a server a few requests per second
/// each. None of them sees from its own requests that the server is full.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// Daemon that sends a request, and the request's number, which is unique in
/// the daemon's process.
using slot_holder = std::pair<std::string, std::uint64_t>;

/// A request that needs a slot on a server.
struct slot_request {
    std::string server_;
    std::string daemon_;
    std::uint64_t id_ = 0;
    /// Rejections per second that the server bears.
    double bearable_ = 0;
    /// How long the request may wait for a slot.
    duration max_wait_{};
    /// Longest time for which the request holds its slot. A slot that is not
    /// given back becomes free after that.
    duration lifetime_{};
    /// Handed back with the decision: how long to wait after the grant because
    /// of a rate limit.
    duration rate_wait_{};
};

/// How a request ended that held a slot.
enum class slot_outcome : std::uint8_t {
    /// Not sent.
    unused,
    answered,
    /// Rejected for lack of room.
    rejected,
    /// Cancelled, lost, or ended in any other way.
    ended,
};

inline constexpr auto slot_outcome_names =
    name_table<slot_outcome, 4>{{{{slot_outcome::unused, "unused"},
                                  {slot_outcome::answered, "answered"},
                                  {slot_outcome::rejected, "rejected"},
                                  {slot_outcome::ended, "ended"}}}};

/// Whether a request gets a slot.
struct slot_decision {
    slot_holder holder_;
    bool granted_ = false;
    /// If granted, slot_request::rate_wait_; else the expected time until a
    /// slot is free.
    duration wait_{};
};

/// Keeps the slots of servers that this daemon owns.
class slot_ledger {
public:
    /// Adds a server or updates its description. A process that starts at
    /// another time has all its slots free; if `starting`, it gets them one
    /// after the other.
    auto set_server(const std::string& server, std::int64_t started_at,
                    int slots, bool starting) -> void;
    auto remove_server(const std::string& server) -> void;
    /// Frees the slots of daemons that are not among `daemons`.
    auto set_daemons(const std::vector<std::string>& daemons) -> void;

    /// Decides now or, if the request may wait and is expected to get a slot
    /// in time, later.
    auto take(const slot_request& request, time_point now) -> void;
    /// Frees the slot of a request, or ends its wait for one. Has no effect if
    /// there is neither.
    auto give_back(const std::string& server, const slot_holder& holder,
                   slot_outcome outcome, time_point now) -> void;
    /// Decides about requests whose wait has ended. Call about every 50 ms.
    auto tick(time_point now) -> void;
    /// Returns the decisions made since the last call.
    [[nodiscard]] auto take_decisions() -> std::vector<slot_decision>;

    /// Return the number of requests on the server, of requests that wait, and
    /// of slots; 0 if no request for the server was made.
    [[nodiscard]] auto in_use(const std::string& server) const -> int;
    [[nodiscard]] auto waiting(const std::string& server) const -> int;
    [[nodiscard]] auto limit(const std::string& server) const -> int;

private:
    struct description {
        std::int64_t started_at_ = 0;
        int slots_ = 1;
        bool starting_ = false;
    };
    struct lease {
        time_point granted_at_{};
        time_point expires_at_{};
        // Number of requests on the server, this one included, at the grant.
        int in_use_ = 0;
    };
    struct waiting_request {
        slot_request request_;
        time_point expires_at_{};
    };
    struct server_state {
        int slots_ = 1;
        int limit_ = 1;
        // Whether the limit has only grown since the process started.
        bool starting_ = false;
        // Whether the limit has kept a request waiting since it last changed.
        bool limit_reached_ = false;
        time_point limit_changed_at_{};
        time_point limit_reduced_at_ = time_point::min();
        std::map<slot_holder, lease> leases_;
        std::deque<waiting_request> waiting_;
        // Rejections of the last second.
        std::deque<time_point> rejections_;
        time_point last_rejection_ = time_point::min();
        // Numbers of requests that the server has held since then, not long
        // ago, and when it last did.
        std::map<int, time_point> confirmed_;
        // Until then the server may hold requests that took no slot.
        time_point settled_at_{};
        double bearable_ = 0;
        // Running mean of the time for which answered requests held a slot;
        // zero if not known.
        duration mean_hold_{};
        // When the next refused caller should return.
        time_point next_return_{};
    };

    auto state_of(const std::string& server, time_point now) -> server_state&;
    // Brings what depends on the time alone up to date.
    static auto refresh(server_state& state, time_point now) -> void;
    static auto grow(server_state& state, time_point now) -> void;
    static auto reduce(server_state& state, const lease& rejected,
                       time_point now) -> void;
    // Notes that the server has held as many requests as there were at the
    // grant of an answered one.
    static auto confirm(server_state& state, const lease& answered,
                        time_point now) -> void;
    // Returns whether another request may be sent.
    static auto has_room(server_state& state, time_point now) -> bool;
    // Returns the expected time until a request that is queued now gets a
    // slot.
    static auto expected_wait(const server_state& state) -> duration;
    auto grant(server_state& state, const slot_request& request, time_point now)
        -> void;
    auto refuse(const slot_request& request, duration wait) -> void;
    // Refuses a request whose caller should come back later.
    auto turn_back(server_state& state, const slot_request& request,
                   time_point now) -> void;
    auto serve_waiting(server_state& state, time_point now) -> void;

    std::map<std::string, description> descriptions_;
    std::map<std::string, server_state> servers_;
    std::vector<slot_decision> decisions_;
};

} // namespace basilstream::coordination
